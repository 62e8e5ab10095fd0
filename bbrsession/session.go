package bbrsession

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// session is the session of one caller's connection.
type session struct {
	server   *Server
	caller   bbrmessage.CallerConn
	database string
	// key is the digest of the caller's key.
	key bbrcatalog.KeyDigest
	// tenant is the tenant for which the operation in progress runs.
	tenant bbrtype.TenantName
	state  bbrlink.SessionState
	// lastWritePosition is the newest log position of the session's own commits.
	lastWritePosition bbrmessage.LogPosition
	tx                *transaction
	// phases is where the time of the statement in progress went.
	phases Phases
	// servedBy is the address of the instance that served the statement in progress,
	// empty for this one.
	servedBy string
}

// transaction is an open transaction. It has no connection before its first
// statement.
type transaction struct {
	readOnly bool
	// arrivedAt is when the begin of the transaction was received.
	arrivedAt bbrtype.Mono
	route     bbrcatalog.Route
	group     *bbrlink.Group
	conn      *bbrlink.Conn
	// remote is the transaction at the holder that its statements are forwarded to.
	remote remoteTransaction
	wrote  bool
	failed bool
	// inDoubt is set if a statement may have run outside of the transaction.
	inDoubt bool
	// untold is why the transaction failed between two statements, nil once the caller
	// has been told.
	untold *bbrmessage.Failure
}

// hasBegun reports whether the transaction has begun at a member.
func (tx *transaction) hasBegun() bool { return tx.conn != nil || tx.remote.isOpen() }

// closeDelay is how long a session that is to end waits for a request that the caller may
// have sent already, until the server rolls back idle transactions.
const closeDelay = 50 * time.Millisecond

// run serves the caller's requests until the session ends.
func (sess *session) run(ctx context.Context) error {
	for {
		closeAt := sess.setReceiveDeadline()
		req, err := sess.caller.Receive()
		if isTimeout(err) {
			if !closeAt.IsZero() && !time.Now().Before(closeAt) && sess.caller.IsIdle() {
				return nil
			}
			sess.handleReceiveTimeout()
			continue
		}
		reply, done := sess.handleRequest(ctx, req, err)
		if done {
			return nil
		}
		if err := sess.caller.Send(reply); err != nil {
			return errors.Wrap(err, "answer to the caller")
		}
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}

// setReceiveDeadline sets the deadline for the next request. While the server closes, it
// returns when the session is to end unless a request arrives; zero in a transaction.
func (sess *session) setReceiveDeadline() (closeAt time.Time) {
	// The idle deadline is set before the server is seen to close or to end transactions,
	// so that it does not undo the interruption by Drain or EndTransactions.
	sess.setIdleDeadline()
	isEnding := sess.server.ending.Load()
	switch {
	case sess.tx != nil && isEnding && !sess.tx.failed:
		// handleReceiveTimeout rolls the transaction back.
		_ = sess.caller.SetReceiveDeadline(sess.waitUntil(isEnding))
		return time.Time{}
	case sess.tx != nil || !sess.server.closing.Load():
		return time.Time{}
	}
	closeAt = sess.waitUntil(isEnding)
	_ = sess.caller.SetReceiveDeadline(closeAt)
	return closeAt
}

// waitUntil returns until when a session that is to end, or its transaction, waits for a
// request: not at all while transactions are ended, unless part of one has been read.
func (sess *session) waitUntil(isEnding bool) time.Time {
	if isEnding && sess.caller.IsIdle() {
		return time.Now()
	}
	return time.Now().Add(closeDelay)
}

// setIdleDeadline sets the receive deadline to the end of the idle timeout if a
// transaction has begun at a member, else to none.
func (sess *session) setIdleDeadline() {
	var until time.Time
	if c := sess.server.Catalog.Current(); sess.tx != nil && sess.tx.hasBegun() && c != nil && c.IdleTransactionTimeout > 0 {
		until = time.Now().Add(c.IdleTransactionTimeout)
	}
	_ = sess.caller.SetReceiveDeadline(until)
}

// handleReceiveTimeout rolls back the transaction after the idle timeout, or on
// EndTransactions. While the server closes, only EndTransactions rolls it back: Drain
// interrupts the receive too, but has to leave transactions open.
func (sess *session) handleReceiveTimeout() {
	if sess.tx == nil || sess.tx.failed || !sess.caller.IsIdle() {
		return
	}
	if sess.server.closing.Load() && !sess.server.ending.Load() {
		return
	}
	sess.server.Log.WithFields(logrus.Fields{"route": sess.tx.route.Name, "stopping": sess.server.closing.Load()}).Info("idle transaction rolled back")
	sess.rollback()
	sess.tx.failed = true
	sess.tx.untold = &bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: "the transaction was idle and has been rolled back"}
}

// handleRequest handles one received request. It returns true if the session must
// end.
func (sess *session) handleRequest(ctx context.Context, req bbrmessage.Request, err error) (bbrmessage.Reply, bool) {
	var rejected *bbrmessage.Failure
	if errors.As(err, &rejected) {
		sess.server.Log.WithFields(logrus.Fields{"database": sess.database, "class": rejected.Class, "cause": rejected.Text, "inTransaction": sess.tx != nil}).Info("message of a caller rejected")
		return sess.failureReply(sess.withoutPromise(rejected)), false
	}
	if err != nil {
		return bbrmessage.Reply{}, true
	}
	st, ok := req.(bbrmessage.Statement)
	if !ok {
		return bbrmessage.Reply{}, true
	}
	arrivedAt := sess.server.Clock.Now()
	sess.phases, sess.servedBy = Phases{}, ""
	reply := sess.handleStatement(ctx, st, arrivedAt)
	sess.recordOutcome(st, reply, arrivedAt)
	return reply, false
}

// recordOutcome records the outcome of a statement, and logs a failure or a reply that is
// later than the route's latency objective.
func (sess *session) recordOutcome(st bbrmessage.Statement, reply bbrmessage.Reply, arrivedAt bbrtype.Mono) {
	duration := sess.server.Clock.Now().Sub(arrivedAt)
	// In metrics and logs a success is "done".
	outcome := "done"
	if reply.Failure != nil {
		outcome = string(reply.Failure.Class)
	}
	route, _ := sess.server.Catalog.Route(sess.database)
	if sess.server.Recorder != nil {
		sess.server.Recorder.RecordStatement(route.Name, route.Policy, outcome, duration)
		sess.server.Recorder.RecordPhases(route.Policy, sess.phases)
	}
	log := sess.server.Log.WithFields(logrus.Fields{
		"request": st.ID, "route": route.Name, "policy": route.Policy, "group": route.Group, "version": sess.server.configVersion(),
		"outcome": outcome, "tookMs": duration.Milliseconds(),
	}).WithFields(sess.phases.logFields())
	if sess.servedBy != "" {
		log = log.WithField("holder", sess.servedBy)
	}
	switch {
	case reply.Failure != nil:
		log.WithField("cause", reply.Failure.Text).Info("statement not served")
	case route.LatencyObjective > 0 && duration > route.LatencyObjective:
		log.Info("statement served late")
	}
}

// handleStatement executes one statement and returns the reply to the caller.
func (sess *session) handleStatement(ctx context.Context, st bbrmessage.Statement, arrivedAt bbrtype.Mono) bbrmessage.Reply {
	if sess.tx != nil && sess.tx.failed {
		return sess.handleInFailedTransaction(st)
	}
	if sess.server.ending.Load() && startsWork(st.Op) {
		return sess.rejectAtStop(st.Op)
	}
	if sess.tx != nil && startsWork(st.Op) && !sess.keepsTenant() {
		return sess.rejectForKey(st.Op)
	}
	switch op := st.Op.(type) {
	case bbrmessage.Set:
		return sess.set(op)
	case bbrmessage.Prepare:
		return sess.prepare(op)
	case bbrmessage.Deallocate:
		return sess.deallocate(op)
	case bbrmessage.Begin:
		return sess.begin(ctx, op, arrivedAt)
	case bbrmessage.Rollback:
		if sess.tx == nil {
			return sess.failureReply(malformedFailure("no transaction is open"))
		}
		sess.rollback()
		sess.tx = nil
		return sess.successReply()
	case bbrmessage.Commit:
		if sess.tx == nil {
			return sess.failureReply(malformedFailure("no transaction is open"))
		}
		return sess.commit(ctx, st, arrivedAt)
	case bbrmessage.Read, bbrmessage.Write, bbrmessage.Execute:
		return sess.handleData(ctx, st, arrivedAt)
	}
	return sess.failureReply(malformedFailure("the statement can't be understood"))
}

// startsWork reports whether a statement begins work at a member, now or by the statements
// that follow it.
func startsWork(op bbrmessage.Operation) bool {
	switch op.(type) {
	case bbrmessage.Begin, bbrmessage.Commit, bbrmessage.Read, bbrmessage.Write, bbrmessage.Execute:
		return true
	}
	return false
}

// rejectAtStop rejects a statement because EndTransactions lets no more begin. An open
// transaction is rolled back.
func (sess *session) rejectAtStop(op bbrmessage.Operation) bbrmessage.Reply {
	const text = "the instance is stopping"
	if sess.tx == nil {
		return sess.failureReply(busyFailure(text))
	}
	reply := sess.rollbackAndFail(&bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: text + "; the transaction is rolled back"})
	if _, isCommit := op.(bbrmessage.Commit); isCommit {
		sess.tx = nil
		reply.State = sess.transactionState()
	}
	return reply
}

// handleInFailedTransaction handles a statement in a transaction that has failed:
// only commit and rollback are accepted, and both end the transaction.
func (sess *session) handleInFailedTransaction(st bbrmessage.Statement) bbrmessage.Reply {
	switch st.Op.(type) {
	case bbrmessage.Rollback:
		sess.tx = nil
		return sess.successReply()
	case bbrmessage.Commit:
		f := &bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: "the transaction had failed and was rolled back"}
		if sess.tx.inDoubt {
			f = &bbrmessage.Failure{Class: bbrmessage.ClassInDoubt, Text: "the transaction had failed, and a statement may have run outside of it"}
		}
		sess.tx = nil
		return sess.failureReply(f)
	}
	if f := sess.tx.untold; f != nil {
		sess.tx.untold = nil
		return sess.failureReply(f)
	}
	return sess.failureReply(malformedFailure("the transaction has failed; end it first"))
}

func malformedFailure(text string) *bbrmessage.Failure {
	return &bbrmessage.Failure{Class: bbrmessage.ClassMalformed, Text: text}
}

// transactionState returns the transaction state that is reported to the caller.
func (sess *session) transactionState() bbrmessage.TransactionState {
	switch {
	case sess.tx == nil:
		return bbrmessage.StateIdle
	case sess.tx.failed:
		return bbrmessage.StateFailed
	}
	return bbrmessage.StateInTransaction
}

// successReply returns the reply to a statement that the instance handled itself,
// without a member.
func (sess *session) successReply() bbrmessage.Reply {
	return bbrmessage.Reply{Signature: bbrmessage.NoSignature, State: sess.transactionState()}
}

// failureReply returns the reply to a statement that failed.
func (sess *session) failureReply(f *bbrmessage.Failure) bbrmessage.Reply {
	return bbrmessage.Reply{Failure: f, State: sess.transactionState()}
}

// failTransaction marks the transaction as failed and returns the reply with the
// cause.
func (sess *session) failTransaction(f *bbrmessage.Failure) bbrmessage.Reply {
	sess.tx.failed = true
	sess.tx.inDoubt = sess.tx.inDoubt || f.Class == bbrmessage.ClassInDoubt
	return sess.failureReply(f)
}

// begin opens a transaction. The transaction's first statement acquires the
// connection.
func (sess *session) begin(ctx context.Context, op bbrmessage.Begin, arrivedAt bbrtype.Mono) bbrmessage.Reply {
	if sess.tx != nil {
		return sess.failureReply(malformedFailure("a transaction is open"))
	}
	route, group, failure := sess.startOperation(ctx)
	if failure != nil {
		return sess.failureReply(failure)
	}
	sess.tx = &transaction{readOnly: op.ReadOnly, arrivedAt: arrivedAt, route: route, group: group}
	return sess.successReply()
}

// resolveRoute returns the route and the group of the session's database.
func (sess *session) resolveRoute() (bbrcatalog.Route, *bbrlink.Group, *bbrmessage.Failure) {
	route, ok := sess.server.Catalog.Route(sess.database)
	if !ok {
		return route, nil, noDatabaseFailure(sess.database)
	}
	group := sess.server.GroupByName(route.Group)
	if group == nil {
		return route, nil, busyFailure("no member of the group is known")
	}
	return route, group, nil
}

// rollback rolls the transaction back at its member and releases the connection. It
// leaves tx set, so that the caller has to end the transaction.
func (sess *session) rollback() {
	tx := sess.tx
	if tx == nil || !tx.hasBegun() {
		return
	}
	if tx.remote.isOpen() {
		sess.rollbackForwarded()
		return
	}
	conn := tx.conn
	tx.conn = nil
	reply, err := conn.Rollback(time.Now().Add(rollbackTimeout))
	if err != nil || reply.State != bbrmessage.StateIdle {
		conn.MarkBroken()
	}
	tx.group.Release(conn)
}

// cleanUp rolls back the open transaction of a session that ends.
func (sess *session) cleanUp() {
	sess.rollback()
	sess.tx = nil
}
