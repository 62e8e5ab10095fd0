package bbrsession

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// runInTransaction executes a statement of an open transaction.
func (sess *session) runInTransaction(ctx context.Context, st bbrmessage.Statement, access bbrmessage.Access, arrivedAt bbrtype.Mono) bbrmessage.Reply {
	if access == bbrmessage.AccessWrite && sess.tx.readOnly {
		return sess.rollbackAndFail(malformedFailure("the transaction only reads"))
	}
	if sess.isForwarded() {
		if reply, ok := sess.runForwardedTransaction(ctx, st, access, arrivedAt); ok {
			return reply
		}
	}
	if failure := sess.beginAtMember(ctx, st, arrivedAt); failure != nil {
		return sess.failTransaction(failure)
	}
	tx := sess.tx
	e := sess.newExecution(st, tx.route, tx.group, access, arrivedAt)
	tx.wrote = tx.wrote || access == bbrmessage.AccessWrite
	reply, err := sess.runOnTransactionConn(ctx, e)
	if errors.Is(err, bbrlink.ErrUnattributed) && access == bbrmessage.AccessWrite {
		return sess.failTransaction(&bbrmessage.Failure{Class: bbrmessage.ClassInDoubt, Text: err.Error()})
	}
	if err != nil {
		return sess.failTransaction(&bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: "the connection to the member was lost; the transaction is rolled back"})
	}
	if reply.Failure != nil {
		return sess.rollbackAndFail(reply.Failure)
	}
	tx.conn.MarkIdleInTransaction()
	return bbrmessage.Reply{Rows: reply.Rows, Signature: reply.Signature, State: sess.transactionState()}
}

// isForwarded reports whether the open transaction's statements are forwarded. Those of
// another instance's session are not forwarded again.
func (sess *session) isForwarded() bool {
	tx := sess.tx
	if sess.caller == nil || tx.conn != nil {
		return false
	}
	_, ok := sess.server.holder(tx.route.Group)
	return ok || tx.remote.isOpen()
}

// rollbackAndFail rolls the transaction back at its member and returns the reply with
// the cause.
func (sess *session) rollbackAndFail(f *bbrmessage.Failure) bbrmessage.Reply {
	sess.rollback()
	return sess.failTransaction(f)
}

// runOnTransactionConn runs a statement on the transaction's connection. If the reply
// is lost, it releases the connection and returns an error.
func (sess *session) runOnTransactionConn(ctx context.Context, e *execution) (bbrmessage.Reply, error) {
	conn := sess.tx.conn
	text, name := sess.memberText(e.st, conn.Dialect())
	sentAt := sess.server.Clock.Now()
	e.commitSentAt = sentAt
	_, isCommit := e.st.Op.(bbrmessage.Commit)
	replyDeadline := e.wallDeadline()
	if !isCommit {
		// Nothing is durable before the commit, so the shorter deadline is safe:
		// after a timeout the transaction fails and the caller can begin it again.
		replyDeadline = e.nextReplyDeadline(conn.Member().ID)
	}
	reply, err := e.runAt(conn, replyDeadline, conn.SetupStatements(&sess.state, name), e.memberStatement(text))
	if err != nil {
		sess.tx.conn = nil
		e.handleLostReply(conn, sentAt, err)
		return reply, err
	}
	usableFrom := e.group.RecordReply(conn, bbrlink.ReplyRecord{SentAt: sentAt, Reply: reply, IsWriteCommit: isCommit && sess.tx.wrote})
	sess.sleepUntil(ctx, usableFrom)
	return reply, nil
}

// beginAtMember begins the transaction at a member, unless that has been done.
func (sess *session) beginAtMember(ctx context.Context, st bbrmessage.Statement, arrivedAt bbrtype.Mono) *bbrmessage.Failure {
	tx := sess.tx
	if tx.conn != nil {
		return nil
	}
	e := sess.newExecution(st, tx.route, tx.group, bbrmessage.AccessRead, arrivedAt)
	e.asOf = tx.arrivedAt
	for {
		req, failure := sess.transactionRequirements(ctx, e)
		if failure != nil {
			return failure
		}
		conn, failure := e.acquire(ctx, req)
		if failure != nil {
			return failure
		}
		failure, retry := sess.tryBegin(ctx, e, conn, req)
		if !retry {
			return failure
		}
	}
}

// transactionRequirements returns the requirements of the transaction on its member.
// For a read-write transaction it starts a proof in the background.
func (sess *session) transactionRequirements(ctx context.Context, e *execution) (bbrplace.Requirements, *bbrmessage.Failure) {
	if !sess.tx.readOnly {
		e.proveInBackground(ctx)
		return bbrplace.Requirements{PrimaryOnly: true}, nil
	}
	return e.readRequirements(ctx)
}

// tryBegin begins the transaction at one member. It returns true if another attempt
// is to be made.
func (sess *session) tryBegin(ctx context.Context, e *execution, conn *bbrlink.Conn, req bbrplace.Requirements) (*bbrmessage.Failure, bool) {
	id := conn.Member().ID
	sentAt := sess.server.Clock.Now()
	begin := bbrmessage.MemberStatement{
		ID: bbrmessage.InternalRequestID, Kind: bbrmessage.KindBegin, Text: conn.Dialect().Begin(sess.tx.readOnly), MinPosition: req.MinPosition,
	}
	reply, err := e.runAt(conn, e.nextReplyDeadline(id), conn.SetupStatements(&sess.state, ""), begin)
	if err != nil {
		e.handleLostReply(conn, sentAt, err)
		r, retry := e.prepareRetry(ctx, id, &bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: err.Error()})
		return r.Failure, retry
	}
	if reply.Failure != nil {
		e.group.RecordReply(conn, bbrlink.ReplyRecord{SentAt: sentAt, Reply: reply, MinPosition: req.MinPosition})
		e.group.Release(conn)
		r, retry := e.prepareRetry(ctx, id, reply.Failure)
		return r.Failure, retry
	}
	sess.tx.conn = conn
	if !req.PrimaryOnly || e.awaitPrimaryProof(ctx, id) {
		return nil, false
	}
	sess.rollback()
	return busyFailure("the primary could not be shown to be the only one"), false
}

// commit commits the transaction. Success is reported only if the member confirmed
// the commit.
func (sess *session) commit(ctx context.Context, st bbrmessage.Statement, arrivedAt bbrtype.Mono) bbrmessage.Reply {
	if sess.isForwarded() {
		if reply, ok := sess.commitForwarded(ctx, st, arrivedAt); ok {
			return reply
		}
	}
	if failure := sess.beginAtMember(ctx, st, arrivedAt); failure != nil {
		sess.tx = nil
		return sess.failureReply(failure)
	}
	tx := sess.tx
	e := sess.newExecution(st, tx.route, tx.group, bbrmessage.AccessWrite, arrivedAt)
	reply, err := sess.runOnTransactionConn(ctx, e)
	sess.tx = nil
	if err != nil {
		return sess.failureReply(lostCommitFailure(tx))
	}
	if reply.State != bbrmessage.StateIdle {
		// The transaction is still open at the member, so the connection is not reused.
		tx.conn.MarkBroken()
	}
	tx.group.Release(tx.conn)
	if reply.Failure != nil {
		return sess.failureReply(reply.Failure)
	}
	if tx.wrote {
		if !e.awaitLasting(ctx, tx.conn.Member().ID, reply.Position) {
			return sess.failureReply(notLastingFailure())
		}
		sess.lastWritePosition = bbrmessage.LaterPosition(sess.lastWritePosition, reply.Position)
	}
	return bbrmessage.Reply{Rows: reply.Rows, Signature: reply.Signature, State: bbrmessage.StateIdle}
}

// lostCommitFailure returns the failure to report if the reply to a commit was lost.
func lostCommitFailure(tx *transaction) *bbrmessage.Failure {
	if tx.wrote {
		return &bbrmessage.Failure{Class: bbrmessage.ClassInDoubt, Text: "the answer to the commit was lost"}
	}
	return &bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: "the answer to the commit was lost; the transaction had written nothing"}
}
