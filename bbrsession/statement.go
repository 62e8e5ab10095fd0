package bbrsession

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// rollbackTimeout bounds a rollback at a member.
	rollbackTimeout = 300 * time.Millisecond
	// stalenessMargin is subtracted from the age that a route accepts. It covers the
	// time that a request took to reach this instance.
	stalenessMargin = 50 * time.Millisecond
	// replyMargin is how long before a statement's timeout the caller gets a reply.
	replyMargin = 20 * time.Millisecond
	// retryDelay is the delay before a statement is sent again after a member was
	// busy.
	retryDelay = 15 * time.Millisecond
	// proofRetryDelay is the delay before a proof is requested again.
	proofRetryDelay = 60 * time.Millisecond
	// defaultTimeout bounds statements of routes without a timeout.
	defaultTimeout = 2 * time.Second
)

// execution is the execution of one statement, over all attempts at members.
type execution struct {
	sess      *session
	group     *bbrlink.Group
	route     bbrcatalog.Route
	st        bbrmessage.Statement
	access    bbrmessage.Access
	arrivedAt bbrtype.Mono
	deadline  bbrtype.Mono
	// asOf is the time from which the age of data counts: the arrival of the
	// statement or of the begin of its transaction.
	asOf    bbrtype.Mono
	exclude []bbrtype.MemberName
	// attempts is the number of times that the statement was sent.
	attempts int
	// primary is the primary that was in use when the connection was acquired.
	primary bbrlink.Primary
}

// connDeadline returns the deadline as a wall-clock time, as connections expect it.
func (e *execution) connDeadline() time.Time {
	return time.Now().Add(e.remaining())
}

// replyDeadline returns the deadline for the reply to a statement that can be
// retried. The time for a reply grows with each attempt.
func (e *execution) replyDeadline(id bbrtype.MemberName) time.Time {
	e.attempts++
	timeout := time.Duration(e.attempts) * e.group.Patience(id)
	return time.Now().Add(min(timeout, e.remaining()))
}

// remaining returns the time left until the deadline.
func (e *execution) remaining() time.Duration { return e.deadline.Sub(e.sess.server.Clock.Now()) }

// objectiveDeadline is when the caller should have the reply by the route's latency
// objective, 0 if the route has none.
func (e *execution) objectiveDeadline() bbrtype.Mono {
	if e.route.Objective <= 0 {
		return 0
	}
	return e.arrivedAt.Add(e.route.Objective)
}

// newExecution returns the execution of a statement that has not been sent yet.
func (sess *session) newExecution(st bbrmessage.Statement, route bbrcatalog.Route, group *bbrlink.Group, access bbrmessage.Access, arrivedAt bbrtype.Mono) *execution {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &execution{
		sess: sess, group: group, route: route, st: st, access: access,
		arrivedAt: arrivedAt, asOf: arrivedAt, deadline: arrivedAt.Add(timeout - replyMargin),
	}
}

// memberText returns the statement's text for members, and the caller's name of the
// prepared statement that it executes, empty if it executes none.
func (sess *session) memberText(st bbrmessage.Statement, texts bbrmessage.Texts) (text, name string) {
	e, ok := st.Op.(bbrmessage.Execute)
	if !ok {
		return st.Text, ""
	}
	return texts.Execute(bbrmessage.Execute{Name: sess.state.Prepared[e.Name].Name, Arguments: e.Arguments}), e.Name
}

// accessOf returns whether a statement reads or writes. It returns false for a
// prepared name that the session does not have.
func (sess *session) accessOf(st bbrmessage.Statement) (bbrmessage.Access, bool) {
	switch op := st.Op.(type) {
	case bbrmessage.Write:
		return bbrmessage.AccessWrite, true
	case bbrmessage.Execute:
		p, ok := sess.state.Prepared[op.Name]
		return p.Access, ok
	}
	return bbrmessage.AccessRead, true
}

// handleData executes a statement that reads or writes data.
func (sess *session) handleData(ctx context.Context, st bbrmessage.Statement, arrivedAt bbrtype.Mono) bbrmessage.Reply {
	access, ok := sess.accessOf(st)
	if !ok {
		return sess.failureReply(&bbrmessage.Failure{Class: bbrmessage.ClassNoStatement, Text: "no such prepared statement"})
	}
	if sess.tx != nil {
		return sess.runInTransaction(ctx, st, access, arrivedAt)
	}
	route, group, failure := sess.resolveRoute()
	if failure != nil {
		return sess.failureReply(failure)
	}
	e := sess.newExecution(st, route, group, access, arrivedAt)
	if access == bbrmessage.AccessWrite {
		return sess.write(ctx, e)
	}
	return sess.read(ctx, e)
}

// acquire returns a connection for a statement, or the failure to report. It tries
// other members, or the primary again, if a connection can't be opened.
func (e *execution) acquire(ctx context.Context, req bbrplace.Requirements) (*bbrlink.Conn, *bbrmessage.Failure) {
	for {
		req.Exclude = e.exclude
		req.Priority = e.route.Priority
		req.Deadline = e.deadline
		req.SoftDeadline = e.objectiveDeadline()
		req.LatencyObjective = e.route.Objective
		conn, err := e.group.Acquire(ctx, req)
		if err == nil {
			e.primary = e.group.Primary()
			return conn, nil
		}
		var m *bbrlink.MemberError
		if !errors.As(err, &m) {
			return nil, busyFailure(err.Error())
		}
		if req.PrimaryOnly {
			if !e.waitToRetry(ctx, retryDelay) {
				return nil, busyFailure(err.Error())
			}
			continue
		}
		e.exclude = append(e.exclude, m.Member)
	}
}

// waitToRetry waits for a delay. It returns false if too little time is left for
// another attempt.
func (e *execution) waitToRetry(ctx context.Context, d time.Duration) bool {
	if e.remaining() < 2*d {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// readRequirements returns the requirements of a read. It returns the failure to
// report if no sufficiently recent log position is proven in time.
func (e *execution) readRequirements(ctx context.Context) (bbrplace.Requirements, *bbrmessage.Failure) {
	if e.route.Policy == bbrcatalog.PolicyPrimary {
		e.proveInBackground(ctx)
		return bbrplace.Requirements{PrimaryOnly: true}, nil
	}
	minPosition, ok := e.group.Floor(e.asOf, e.route.MaxAge-stalenessMargin)
	for !ok {
		e.prove(ctx)
		if minPosition, ok = e.group.Floor(e.asOf, e.route.MaxAge-stalenessMargin); !ok && !e.waitToRetry(ctx, proofRetryDelay) {
			return bbrplace.Requirements{}, busyFailure("no position of the primary is known that is recent enough")
		}
	}
	if e.route.Policy == bbrcatalog.PolicyOwnWrites {
		minPosition = bbrmessage.Latest(minPosition, e.sess.lastWrite)
	}
	return bbrplace.Requirements{MinPosition: minPosition}, nil
}

// prove obtains a proof of the primary within the statement's remaining time.
func (e *execution) prove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.remaining())
	defer cancel()
	e.group.Prove(ctx)
}

// proveInBackground starts to obtain a proof, unless the primary is already proven
// for the statement. The proof is then obtained while the statement runs.
func (e *execution) proveInBackground(ctx context.Context) {
	if e.group.Covers(e.group.Primary(), e.asOf) {
		return
	}
	e.sess.server.Work.Go(func() error {
		e.prove(ctx)
		return nil
	})
}

// isPrimaryProven reports whether the member that served the statement is proven to
// have been the only primary when the statement arrived. It waits for a proof if
// there is none yet.
func (e *execution) isPrimaryProven(ctx context.Context, served bbrtype.MemberName) bool {
	if served != e.primary.Member {
		return false
	}
	if e.group.Covers(e.primary, e.asOf) {
		return true
	}
	for e.group.Primary() == e.primary {
		e.prove(ctx)
		if e.group.Covers(e.primary, e.asOf) {
			return true
		}
		if !e.waitToRetry(ctx, proofRetryDelay) {
			return false
		}
	}
	return false
}

// read executes a read outside of a transaction. Failed attempts are retried while
// time is left.
func (sess *session) read(ctx context.Context, e *execution) bbrmessage.Reply {
	for {
		req, failure := e.readRequirements(ctx)
		if failure != nil {
			return sess.failureReply(failure)
		}
		conn, failure := e.acquire(ctx, req)
		if failure != nil {
			return sess.failureReply(failure)
		}
		reply, retry := e.tryRead(ctx, conn, req)
		if !retry {
			return reply
		}
	}
}

// tryRead sends a read to one member. It returns true if the read is to be retried.
func (e *execution) tryRead(ctx context.Context, conn *bbrlink.Conn, req bbrplace.Requirements) (bbrmessage.Reply, bool) {
	sess, id := e.sess, conn.Member().ID
	text, name := sess.memberText(e.st, conn.Texts())
	replyBy := e.replyDeadline(id)
	sentAt := sess.server.Clock.Now()
	reply, err := conn.Run(replyBy, conn.Prelude(&sess.state, name), bbrmessage.Guarded{ID: e.st.ID, Text: text, After: req.MinPosition})
	if err != nil {
		e.handleLostReply(conn, sentAt, err)
		return e.retryOrFail(ctx, id, &bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: err.Error()})
	}
	e.group.Note(conn, bbrlink.Evidence{SentAt: sentAt, Reply: reply, Floor: req.MinPosition})
	if reply.Failure != nil && reply.Failure.Class == bbrmessage.ClassNoStatement {
		conn.ForgetPrepared()
	}
	e.group.Release(conn)
	if f := reply.Failure; f != nil {
		if isNotExecuted(f.Class) {
			return e.retryOrFail(ctx, id, f)
		}
		return sess.failureReply(f), false
	}
	if req.PrimaryOnly && !e.isPrimaryProven(ctx, id) {
		return sess.failureReply(busyFailure("the primary could not be shown to be the only one")), false
	}
	return bbrmessage.Reply{Rows: reply.Rows, Proof: reply.Proof, State: bbrmessage.StateIdle}, false
}

// handleLostReply releases a connection on which a reply was lost. If the member has
// replied to other statements since, it is not recorded as failing: only this
// statement is stuck, because it is slow or a commit that no replica confirms.
func (e *execution) handleLostReply(conn *bbrlink.Conn, sentAt bbrtype.Mono, err error) {
	id := conn.Member().ID
	if isTimeout(err) && e.group.AnsweredSince(id, sentAt) {
		if e.access == bbrmessage.AccessWrite {
			e.group.NoteStall(id, sentAt)
		}
	} else {
		e.group.NoteSilence(id)
	}
	e.group.Release(conn)
}

// retryOrFail logs a failed attempt and waits before the next one. It returns true if
// the statement is to be retried, else the reply with the failure.
func (e *execution) retryOrFail(ctx context.Context, id bbrtype.MemberName, f *bbrmessage.Failure) (bbrmessage.Reply, bool) {
	e.sess.server.Log.WithFields(logrus.Fields{"request": e.st.ID, "group": e.group.Name(), "member": id, "class": f.Class, "leftMs": e.remaining().Milliseconds()}).Debug("statement attempt failed")
	delay := time.Duration(0)
	if f.Class == bbrmessage.ClassBusy || e.route.Policy == bbrcatalog.PolicyPrimary {
		delay = retryDelay
	} else {
		e.exclude = append(e.exclude, id)
		if len(e.exclude) >= len(e.group.Members()) {
			e.exclude = nil
			delay = retryDelay
		}
	}
	if !e.waitToRetry(ctx, max(delay, time.Millisecond)) {
		return e.sess.failureReply(f), false
	}
	return bbrmessage.Reply{}, true
}

// isNotExecuted reports whether a failure class means that the member did not run the
// statement.
func isNotExecuted(c bbrmessage.Class) bool {
	switch c {
	case bbrmessage.ClassBusy, bbrmessage.ClassLagging, bbrmessage.ClassReadOnly, bbrmessage.ClassNoStatement,
		bbrmessage.ClassWrongMember, bbrmessage.ClassTooManyConnections:
		return true
	}
	return false
}

// write executes a write outside of a transaction. It is sent again only if the
// member rejected it without running it.
func (sess *session) write(ctx context.Context, e *execution) bbrmessage.Reply {
	for {
		conn, failure := e.acquire(ctx, bbrplace.Requirements{PrimaryOnly: true})
		if failure != nil {
			return sess.failureReply(failure)
		}
		text, name := sess.memberText(e.st, conn.Texts())
		sentAt := sess.server.Clock.Now()
		reply, err := conn.Run(e.connDeadline(), conn.Prelude(&sess.state, name), bbrmessage.Guarded{ID: e.st.ID, Text: text})
		if err != nil {
			e.handleLostReply(conn, sentAt, err)
			return sess.failureReply(&bbrmessage.Failure{Class: bbrmessage.ClassInDoubt, Text: err.Error()})
		}
		e.group.Note(conn, bbrlink.Evidence{SentAt: sentAt, Reply: reply, Commit: true})
		if reply.Failure != nil && reply.Failure.Class == bbrmessage.ClassNoStatement {
			conn.ForgetPrepared()
		}
		e.group.Release(conn)
		if reply.Failure == nil {
			sess.lastWrite = bbrmessage.Latest(sess.lastWrite, reply.Place)
			return bbrmessage.Reply{Rows: reply.Rows, Proof: reply.Proof, State: bbrmessage.StateIdle}
		}
		if !isNotExecuted(reply.Failure.Class) || !e.waitToRetry(ctx, retryDelay) {
			return sess.failureReply(reply.Failure)
		}
	}
}

func busyFailure(text string) *bbrmessage.Failure {
	return &bbrmessage.Failure{Class: bbrmessage.ClassBusy, Text: text}
}
