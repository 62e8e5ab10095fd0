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
	// rollbackTimeout is the timeout of a rollback at a member.
	rollbackTimeout = 300 * time.Millisecond
	// stalenessMargin is subtracted from the maximum age of a route's data, to allow
	// for the time between the caller's request and its arrival at this instance.
	stalenessMargin = 50 * time.Millisecond
	// replyMargin is the part of a statement's timeout that is reserved for the reply
	// to the caller.
	replyMargin = 20 * time.Millisecond
	// retryDelay is the delay before a statement is sent again after a member was
	// busy. It doubles each time, up to maxRetryDelay.
	retryDelay    = 15 * time.Millisecond
	maxRetryDelay = 60 * time.Millisecond
	// proofRetryDelay is the delay before a proof is requested again.
	proofRetryDelay = 60 * time.Millisecond
	// defaultTimeout is the statement timeout of routes that set none.
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
	// asOf is the time relative to which the age of data is measured: when the
	// statement, or the begin of its transaction, arrived.
	asOf    bbrtype.Mono
	exclude []bbrtype.MemberName
	// attempts is the number of attempts with a deadline by nextReplyDeadline.
	attempts int
	// rejections is how often a busy member has rejected the statement.
	rejections int
	// primaryAtAcquire is the primary that was in use when the connection was
	// acquired.
	primaryAtAcquire bbrlink.Primary
	// commitSentAt is when the write or the commit of the transaction was sent.
	commitSentAt bbrtype.Mono
}

// wallDeadline returns the deadline as a wall-clock time, as connections expect it.
func (e *execution) wallDeadline() time.Time {
	return time.Now().Add(e.remaining())
}

// nextReplyDeadline counts an attempt of a statement that can be retried, and returns
// the deadline for its reply. The time for a reply grows with each attempt.
func (e *execution) nextReplyDeadline(id bbrtype.MemberName) time.Time {
	e.attempts++
	timeout := time.Duration(e.attempts) * e.group.ReplyTimeout(id)
	return time.Now().Add(min(timeout, e.remaining()))
}

// remaining returns the time left until the deadline.
func (e *execution) remaining() time.Duration { return e.deadline.Sub(e.sess.server.Clock.Now()) }

// objectiveDeadline returns the time by which the caller should get the reply under
// the route's latency objective, 0 if the route has none.
func (e *execution) objectiveDeadline() bbrtype.Mono {
	if e.route.LatencyObjective <= 0 {
		return 0
	}
	return e.arrivedAt.Add(e.route.LatencyObjective)
}

// newExecution returns the execution of a statement that has not been sent yet.
func (sess *session) newExecution(st bbrmessage.Statement, route bbrcatalog.Route, group *bbrlink.Group, access bbrmessage.Access, arrivedAt bbrtype.Mono) *execution {
	return &execution{
		sess: sess, group: group, route: route, st: st, access: access,
		arrivedAt: arrivedAt, asOf: arrivedAt, deadline: sess.server.deadline(route, arrivedAt).Add(-replyMargin),
	}
}

// memberText returns the statement's text for members and, for an Execute, the
// caller's name of the prepared statement.
func (sess *session) memberText(st bbrmessage.Statement, dialect bbrmessage.Dialect) (text, name string) {
	x, ok := st.Op.(bbrmessage.Execute)
	if !ok {
		return st.Text, ""
	}
	return dialect.Execute(bbrmessage.Execute{Name: sess.state.Prepared[x.Name].Name, Arguments: x.Arguments}), x.Name
}

// memberStatement returns the statement with its text for members.
func (e *execution) memberStatement(text string) bbrmessage.MemberStatement {
	s := bbrmessage.MemberStatement{ID: e.st.ID, Text: text}
	if _, isCommit := e.st.Op.(bbrmessage.Commit); isCommit {
		s.Kind, s.MayCommit = bbrmessage.KindCommit, true
	}
	if e.access == bbrmessage.AccessWrite && e.sess.tx == nil {
		s.MayCommit = true
	}
	return s
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
		return sess.failureReply(noStatementFailure())
	}
	if sess.tx != nil {
		return sess.runInTransaction(ctx, st, access, arrivedAt)
	}
	route, group, failure := sess.startOperation(ctx)
	if failure != nil {
		return sess.failureReply(failure)
	}
	if reply, ok := sess.forward(ctx, st, access, route, arrivedAt); ok {
		return reply
	}
	return sess.runSingle(ctx, sess.newExecution(st, route, group, access, arrivedAt))
}

// runSingle executes a statement outside of a transaction.
func (sess *session) runSingle(ctx context.Context, e *execution) bbrmessage.Reply {
	if e.access == bbrmessage.AccessWrite {
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
		req.Tenant = e.sess.tenant
		req.Deadline = e.deadline
		req.SoftDeadline = e.objectiveDeadline()
		req.LatencyObjective = e.route.LatencyObjective
		startedAt := e.sess.server.Clock.Now()
		conn, err := e.group.Acquire(ctx, req)
		if err == nil && e.access == bbrmessage.AccessWrite {
			conn, err = e.group.ForWrite(ctx, conn)
		}
		e.recordAcquire(conn, err, e.sess.server.Clock.Now().Sub(startedAt))
		if err == nil {
			e.primaryAtAcquire = e.group.Primary()
			return conn, nil
		}
		var m *bbrlink.ConnectError
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

// recordAcquire records the time that it took to get a connection, or to fail.
func (e *execution) recordAcquire(conn *bbrlink.Conn, err error, took time.Duration) {
	p := &e.sess.phases
	switch {
	case err == nil:
		p.Connect += conn.DialTime()
		p.Queue += took - conn.DialTime()
	case errors.As(err, new(*bbrlink.ConnectError)):
		p.Connect += took
		p.ConnectFailures++
	default:
		p.Queue += took
	}
}

// nextRetryDelay counts a rejection and returns the delay before the next attempt.
func (e *execution) nextRetryDelay() time.Duration {
	e.rejections++
	return min(retryDelay<<min(e.rejections-1, 8), maxRetryDelay)
}

// waitToRetry waits for a delay. It returns false if too little time is left for
// another attempt.
func (e *execution) waitToRetry(ctx context.Context, d time.Duration) bool {
	if e.remaining() < 2*d {
		return false
	}
	e.sess.phases.Pause += d
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// readRequirements returns the requirements of a read on its member, or the failure
// to
// report if no sufficiently recent log position is proven in time. On a route with
// the primary policy it starts a proof in the background.
func (e *execution) readRequirements(ctx context.Context) (bbrplace.Requirements, *bbrmessage.Failure) {
	if e.route.Policy == bbrcatalog.PolicyPrimary {
		e.proveInBackground(ctx)
		return bbrplace.Requirements{PrimaryOnly: true}, nil
	}
	minPosition, ok := e.group.MinPosition(e.asOf, e.route.MaxStaleness-stalenessMargin)
	for !ok {
		e.awaitProof(ctx)
		if minPosition, ok = e.group.MinPosition(e.asOf, e.route.MaxStaleness-stalenessMargin); !ok && !e.waitToRetry(ctx, proofRetryDelay) {
			return bbrplace.Requirements{}, busyFailure("no position of the primary is known that is recent enough")
		}
	}
	if e.route.Policy == bbrcatalog.PolicyReadYourWrites {
		minPosition = bbrmessage.LaterPosition(minPosition, e.sess.lastWritePosition)
	}
	return bbrplace.Requirements{MinPosition: minPosition}, nil
}

// prove obtains a proof of the primary within the statement's remaining time.
func (e *execution) prove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.remaining())
	defer cancel()
	e.group.ObtainProof(ctx)
}

// awaitProof is prove for a statement that can't go on without the proof.
func (e *execution) awaitProof(ctx context.Context) {
	startedAt := e.sess.server.Clock.Now()
	e.prove(ctx)
	e.sess.phases.Proof += e.sess.server.Clock.Now().Sub(startedAt)
}

// proveInBackground obtains a proof while the statement runs, unless the primary is
// already proven for the statement.
func (e *execution) proveInBackground(ctx context.Context) {
	if e.group.IsProvenAt(e.group.Primary(), e.asOf) {
		return
	}
	e.sess.server.Tasks.Go(func() error {
		e.prove(ctx)
		return nil
	})
}

// awaitPrimaryProof waits until the member that served the statement is proven to
// have been the only primary when the statement arrived. It returns false if there is
// no such proof in time, or if the primary in use has changed. Callers then get the
// failure that the primary "could not be shown to be the only one".
func (e *execution) awaitPrimaryProof(ctx context.Context, servedBy bbrtype.MemberName) bool {
	if servedBy != e.primaryAtAcquire.Member {
		return false
	}
	if e.group.IsProvenAt(e.primaryAtAcquire, e.asOf) {
		return true
	}
	for e.group.Primary() == e.primaryAtAcquire {
		e.awaitProof(ctx)
		if e.group.IsProvenAt(e.primaryAtAcquire, e.asOf) {
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

// runAt runs a statement at a member and records the time until the reply.
func (e *execution) runAt(conn *bbrlink.Conn, deadline time.Time, setup []bbrmessage.MemberStatement, s bbrmessage.MemberStatement) (bbrmessage.Reply, error) {
	startedAt := e.sess.server.Clock.Now()
	reply, err := conn.Run(deadline, setup, s)
	e.sess.phases.Member += e.sess.server.Clock.Now().Sub(startedAt)
	e.sess.phases.Attempts++
	return reply, err
}

// tryRead sends a read to one member. It returns true if the read is to be retried.
func (e *execution) tryRead(ctx context.Context, conn *bbrlink.Conn, req bbrplace.Requirements) (bbrmessage.Reply, bool) {
	sess, id := e.sess, conn.Member().ID
	text, name := sess.memberText(e.st, conn.Dialect())
	replyDeadline := e.nextReplyDeadline(id)
	sentAt := sess.server.Clock.Now()
	st := e.memberStatement(text)
	st.MinPosition = req.MinPosition
	reply, err := e.runAt(conn, replyDeadline, conn.SetupStatements(&sess.state, name), st)
	if err != nil {
		e.handleLostReply(conn, sentAt, err)
		return e.prepareRetry(ctx, id, &bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: err.Error()})
	}
	e.group.RecordReply(conn, bbrlink.ReplyRecord{SentAt: sentAt, Reply: reply, MinPosition: req.MinPosition})
	if reply.Failure != nil && reply.Failure.Class == bbrmessage.ClassNoPreparedStatement {
		conn.ResetPrepared()
	}
	e.group.Release(conn)
	if f := reply.Failure; f != nil {
		if wasRejected(f.Class) {
			return e.prepareRetry(ctx, id, f)
		}
		return sess.failureReply(f), false
	}
	if req.PrimaryOnly && !e.awaitPrimaryProof(ctx, id) {
		return sess.failureReply(busyFailure("the primary could not be shown to be the only one")), false
	}
	return bbrmessage.Reply{Rows: reply.Rows, Signature: reply.Signature, State: bbrmessage.StateIdle}, false
}

// handleLostReply releases a connection on which no reply came in time or the reply
// was lost. If the member has replied to other statements in the meantime, it is not
// recorded as failing: the statement is slow, or it is a commit that no replica
// confirms.
func (e *execution) handleLostReply(conn *bbrlink.Conn, sentAt bbrtype.Mono, err error) {
	id := conn.Member().ID
	if errors.Is(err, bbrlink.ErrUnattributed) {
		// The member responds.
		e.group.Release(conn)
		return
	}
	if isTimeout(err) && e.group.HasRepliedSince(id, sentAt) {
		if e.access == bbrmessage.AccessWrite {
			e.group.RecordUnconfirmedCommit(id, sentAt)
		}
	} else {
		e.group.RecordNoReply(id)
	}
	e.group.Release(conn)
}

// prepareRetry logs a failed attempt and waits before the next one. It returns true
// if the statement is to be retried, else the reply with the failure.
func (e *execution) prepareRetry(ctx context.Context, id bbrtype.MemberName, f *bbrmessage.Failure) (bbrmessage.Reply, bool) {
	e.sess.server.Log.WithFields(logrus.Fields{"request": e.st.ID, "group": e.group.Name(), "member": id, "class": f.Class, "leftMs": e.remaining().Milliseconds()}).Debug("statement attempt failed")
	delay := time.Duration(0)
	if f.Class == bbrmessage.ClassBusy || e.route.Policy == bbrcatalog.PolicyPrimary {
		delay = e.nextRetryDelay()
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

// wasRejected reports whether a failure class means that the member rejected the
// statement without running it.
func wasRejected(c bbrmessage.FailureClass) bool {
	switch c {
	case bbrmessage.ClassBusy, bbrmessage.ClassLagging, bbrmessage.ClassReadOnly, bbrmessage.ClassNoPreparedStatement,
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
		text, name := sess.memberText(e.st, conn.Dialect())
		sentAt := sess.server.Clock.Now()
		e.commitSentAt = sentAt
		reply, err := e.runAt(conn, e.wallDeadline(), conn.SetupStatements(&sess.state, name), e.memberStatement(text))
		if err != nil {
			e.handleLostReply(conn, sentAt, err)
			return sess.failureReply(&bbrmessage.Failure{Class: bbrmessage.ClassInDoubt, Text: err.Error()})
		}
		usableFrom := e.group.RecordReply(conn, bbrlink.ReplyRecord{SentAt: sentAt, Reply: reply, IsWriteCommit: true})
		if reply.Failure != nil && reply.Failure.Class == bbrmessage.ClassNoPreparedStatement {
			conn.ResetPrepared()
		}
		e.group.Release(conn)
		if reply.Failure == nil {
			if !e.awaitLasting(ctx, conn.Member().ID, reply.Position) {
				return sess.failureReply(notLastingFailure())
			}
			sess.lastWritePosition = bbrmessage.LaterPosition(sess.lastWritePosition, reply.Position)
			sess.sleepUntil(ctx, usableFrom)
			return bbrmessage.Reply{Rows: reply.Rows, Signature: reply.Signature, State: bbrmessage.StateIdle}
		}
		if !wasRejected(reply.Failure.Class) || !e.waitToRetry(ctx, e.nextRetryDelay()) {
			return sess.failureReply(reply.Failure)
		}
	}
}

// awaitLasting waits until a commit that the primary has acknowledged may be acknowledged
// to the caller. It returns false if that is not known in time, so that the commit is in
// doubt.
func (e *execution) awaitLasting(ctx context.Context, primary bbrtype.MemberName, commit bbrmessage.LogPosition) bool {
	ctx, cancel := context.WithTimeout(ctx, e.remaining())
	defer cancel()
	startedAt := e.sess.server.Clock.Now()
	defer func() { e.sess.phases.Proof += e.sess.server.Clock.Now().Sub(startedAt) }()
	return e.group.AwaitLasting(ctx, primary, commit, e.commitSentAt)
}

func notLastingFailure() *bbrmessage.Failure {
	return &bbrmessage.Failure{Class: bbrmessage.ClassInDoubt, Text: "no replica that is sure to stay is known to have received the commit"}
}

// sleepUntil sleeps until the given time, or until ctx ends.
func (sess *session) sleepUntil(ctx context.Context, t bbrtype.Mono) {
	if d := t.Sub(sess.server.Clock.Now()); d > 0 {
		bbrtype.Sleep(ctx, d)
	}
}

func busyFailure(text string) *bbrmessage.Failure {
	return &bbrmessage.Failure{Class: bbrmessage.ClassBusy, Text: text}
}
