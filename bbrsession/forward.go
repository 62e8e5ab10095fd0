package bbrsession

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrforward"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// pingAfter is how long a holder may work on a forwarded statement before it is
	// pinged, and the pause between two pings.
	pingAfter = 150 * time.Millisecond
	// pingTimeout is how long a holder may take to reply to a ping.
	pingTimeout = 250 * time.Millisecond
	// probeTimeout is how long a holder may take to reply to the ping before a statement,
	// which it gets unless it has replied to something recently.
	probeTimeout = 150 * time.Millisecond
	// endTimeout bounds the request by which a holder rolls a transaction back.
	endTimeout = 300 * time.Millisecond
)

// Forwarder sends statements to the instances that hold connections to members.
type Forwarder interface {
	// Holder returns the instance to which statements of a group are forwarded, false if
	// this instance serves them itself.
	Holder(group bbrtype.GroupName) (Holder, bool)
	// Exclude leaves out an instance that did not respond until it responds again.
	Exclude(address string)
	// ExcludeFor leaves out an instance that declined a statement of a group for some
	// time.
	ExcludeFor(address string, group bbrtype.GroupName)
	// HasRepliedRecently reports whether an instance has just replied to this one.
	HasRepliedRecently(address string) bool
	Run(ctx context.Context, address string, s bbrforward.Statement) (bbrforward.Result, error)
	Ping(ctx context.Context, address string) error
	// RecordForward counts a forwarded statement by its outcome.
	RecordForward(outcome ForwardOutcome)
}

// Holder is an instance to which statements are forwarded.
type Holder struct {
	Address string
	// LastResort is set if so many holders have declined statements of the group that
	// this one is to serve them anyway.
	LastResort bool
}

// ForwardOutcome is what became of the request by which a statement was forwarded.
type ForwardOutcome string

// The outcomes of forwarding. With ForwardDone the holder replied; with ForwardDeclined
// it did not run the statement, and with ForwardNotSent it was not reached. With
// ForwardLost it did not reply, so that it is unknown whether the statement ran.
const (
	ForwardDone     ForwardOutcome = "done"
	ForwardDeclined ForwardOutcome = "declined"
	ForwardNotSent  ForwardOutcome = "notSent"
	ForwardLost     ForwardOutcome = "lost"
)

// holder returns the instance to which a group's statements are forwarded, false if this
// instance serves them itself.
func (s *Server) holder(group bbrtype.GroupName) (Holder, bool) {
	if s.Forward == nil {
		return Holder{}, false
	}
	return s.Forward.Holder(group)
}

// forwarded is a statement that is forwarded, over all holders that are tried.
type forwarded struct {
	sess      *session
	statement bbrforward.Statement
	route     bbrcatalog.Route
	arrivedAt bbrtype.Mono
	begunAt   bbrtype.Mono
	deadline  bbrtype.Mono
	// mayRepeat is set if the statement may be run again elsewhere after a holder did not
	// reply: it only reads, or it begins a transaction, which is never committed then.
	mayRepeat bool
}

// newForwarded returns a statement that has not been forwarded yet.
func (sess *session) newForwarded(st bbrmessage.Statement, route bbrcatalog.Route, arrivedAt bbrtype.Mono) *forwarded {
	f := &forwarded{
		sess: sess, route: route, arrivedAt: arrivedAt, begunAt: arrivedAt, deadline: sess.server.deadline(route, arrivedAt),
		statement: bbrforward.Statement{Statement: st, Route: route, Tenant: sess.tenant, Values: sess.state.Values, Prepared: sess.state.Prepared},
	}
	if tx := sess.tx; tx != nil {
		f.begunAt = tx.arrivedAt
		f.statement.InTransaction, f.statement.ReadOnly, f.statement.Transaction = true, tx.readOnly, tx.remote.id
	}
	return f
}

// run forwards the statement to a holder. Unless the statement may have run, it then
// tries the next holder. It returns false if no other instance is left to forward to.
func (f *forwarded) run(ctx context.Context) (bbrforward.Result, string, error) {
	s := f.sess.server
	for {
		holder, ok := s.holder(f.route.Group)
		if !ok {
			return bbrforward.Result{}, "", errNoHolder
		}
		address := holder.Address
		f.statement.LastResort = holder.LastResort
		result, outcome, err := f.probeAndRunAt(ctx, address)
		if outcome == ForwardDone {
			return result, address, nil
		}
		f.exclude(address, outcome, result.Stopping)
		f.logAttempt(address, outcome, result, err)
		if outcome == ForwardLost && !f.mayRepeat {
			return result, address, err
		}
		if outcome == ForwardDeclined && holder.LastResort {
			return result, address, errors.Wrap(errNotRun, result.Declined)
		}
		if f.deadline.Sub(s.Clock.Now()) < retryDelay || ctx.Err() != nil {
			return result, address, errors.Wrap(errNotRun, "no holder took the statement in time")
		}
	}
}

// errNoHolder means that this instance has to serve a statement itself.
var errNoHolder = errors.New("no other instance holds connections")

// errNotRun means that a statement has not run, or only reads.
var errNotRun = errors.New("the statement was not run")

// exclude leaves out a holder that has not run the statement: for the group if it declined
// for another reason than that it is stopping, else for all groups.
func (f *forwarded) exclude(address string, outcome ForwardOutcome, stopping bool) {
	if outcome == ForwardDeclined && !stopping {
		f.sess.server.Forward.ExcludeFor(address, f.route.Group)
		return
	}
	f.sess.server.Forward.Exclude(address)
}

// probeAndRunAt forwards the statement to one holder. It first pings a holder that has not
// replied recently, because it would be unknown whether a statement has run that was sent
// to a holder without a reply.
func (f *forwarded) probeAndRunAt(ctx context.Context, address string) (bbrforward.Result, ForwardOutcome, error) {
	s := f.sess.server
	if !s.Forward.HasRepliedRecently(address) {
		startedAt := s.Clock.Now()
		err := f.ping(ctx, address, probeTimeout)
		f.sess.phases.Forward += s.Clock.Now().Sub(startedAt)
		if err != nil {
			s.Forward.RecordForward(ForwardNotSent)
			return bbrforward.Result{}, ForwardNotSent, err
		}
	}
	return f.runAt(ctx, address)
}

// runAt forwards the statement to one holder.
func (f *forwarded) runAt(ctx context.Context, address string) (bbrforward.Result, ForwardOutcome, error) {
	s := f.sess.server
	now := s.Clock.Now()
	st := f.statement
	st.ArrivedAgo, st.BegunAgo, st.LastWrite = now.Sub(f.arrivedAt), now.Sub(f.begunAt), f.sess.lastWritePosition
	ctx, cancel := context.WithTimeout(ctx, f.deadline.Sub(now))
	defer cancel()
	stopWatch := f.watch(ctx, address, cancel)
	result, err := s.Forward.Run(ctx, address, st)
	stopWatch()
	elapsed := s.Clock.Now().Sub(now)
	f.sess.phases.addForwarded(result, elapsed)
	outcome := forwardOutcome(result, err)
	s.Forward.RecordForward(outcome)
	return result, outcome, err
}

// forwardOutcome returns the outcome of a request to a holder.
func forwardOutcome(result bbrforward.Result, err error) ForwardOutcome {
	switch {
	case errors.Is(err, bbrforward.ErrNotSent):
		return ForwardNotSent
	case err != nil:
		return ForwardLost
	case result.Declined != "":
		return ForwardDeclined
	}
	return ForwardDone
}

// watch pings the holder while the statement is with it. A holder that does not reply to
// a ping is excluded; a statement that may be repeated is then given up by cancel. The
// returned function ends the watch.
func (f *forwarded) watch(ctx context.Context, address string, cancel context.CancelFunc) func() {
	ctx, stop := context.WithCancel(ctx)
	s := f.sess.server
	s.Tasks.Go(func() error {
		for {
			if bbrtype.Sleep(ctx, pingAfter); ctx.Err() != nil {
				return nil
			}
			err := f.ping(ctx, address, pingTimeout)
			if err != nil && !errors.Is(err, bbrforward.ErrStopping) && ctx.Err() == nil {
				s.Forward.Exclude(address)
				if f.mayRepeat {
					cancel()
					return nil
				}
			}
		}
	})
	return stop
}

// ping returns an error if a holder does not reply to a ping in time.
func (f *forwarded) ping(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.sess.server.Forward.Ping(ctx, address)
}

func (f *forwarded) logAttempt(address string, outcome ForwardOutcome, result bbrforward.Result, err error) {
	f.sess.server.Log.WithFields(logrus.Fields{
		"request": f.statement.ID, "group": f.route.Group, "holder": address, "outcome": outcome, "declined": result.Declined,
		"leftMs": f.deadline.Sub(f.sess.server.Clock.Now()).Milliseconds(),
	}).WithError(err).Info("statement not taken by the holder")
}

// forward runs a statement outside of a transaction at a holder. It returns false if this
// instance has to serve the statement itself.
func (sess *session) forward(ctx context.Context, st bbrmessage.Statement, access bbrmessage.Access, route bbrcatalog.Route, arrivedAt bbrtype.Mono) (bbrmessage.Reply, bool) {
	f := sess.newForwarded(st, route, arrivedAt)
	f.mayRepeat = access == bbrmessage.AccessRead
	result, address, err := f.run(ctx)
	switch {
	case errors.Is(err, errNoHolder):
		return bbrmessage.Reply{}, false
	case errors.Is(err, errNotRun):
		return sess.failureReply(busyFailure(err.Error())), true
	case err != nil:
		return sess.failureReply(&bbrmessage.Failure{Class: bbrmessage.ClassInDoubt, Text: err.Error()}), true
	}
	sess.servedBy = address
	sess.lastWritePosition = bbrmessage.LaterPosition(sess.lastWritePosition, result.LastWrite)
	result.Reply.State = bbrmessage.StateIdle
	return result.Reply, true
}

// remoteTransaction is a transaction that is open at a holder. The zero value is none.
type remoteTransaction struct {
	address string
	id      bbrforward.TransactionID
}

// isOpen reports whether the transaction has begun at a holder.
func (r remoteTransaction) isOpen() bool { return r.id != "" }

// forwardInTransaction runs a statement of the open transaction, or its commit, at the
// holder. It returns false if the transaction has not begun and this instance has to
// serve it itself.
func (sess *session) forwardInTransaction(ctx context.Context, st bbrmessage.Statement, arrivedAt bbrtype.Mono) (bbrmessage.Reply, bool) {
	tx := sess.tx
	f := sess.newForwarded(st, tx.route, arrivedAt)
	if !tx.remote.isOpen() {
		f.mayRepeat = true
		return sess.endForward(f.run(ctx))
	}
	result, outcome, err := f.runAt(ctx, tx.remote.address)
	if outcome != ForwardDone {
		f.exclude(tx.remote.address, outcome, result.Stopping)
		f.logAttempt(tx.remote.address, outcome, result, err)
	}
	if outcome == ForwardDeclined || outcome == ForwardNotSent {
		err = errors.Wrap(errNotRun, "the holder of the transaction is gone")
	}
	return sess.endForward(result, tx.remote.address, err)
}

// endForward takes over the result of a statement of a transaction.
func (sess *session) endForward(result bbrforward.Result, address string, err error) (bbrmessage.Reply, bool) {
	if errors.Is(err, errNoHolder) {
		return bbrmessage.Reply{}, false
	}
	tx := sess.tx
	if err != nil {
		tx.remote = remoteTransaction{}
		return sess.failureReply(&bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: err.Error()}), true
	}
	sess.servedBy = address
	sess.lastWritePosition = bbrmessage.LaterPosition(sess.lastWritePosition, result.LastWrite)
	tx.remote = remoteTransaction{address: address, id: result.Transaction}
	return result.Reply, true
}

// runForwardedTransaction runs a statement of a transaction at a holder, and fails the
// transaction if the statement fails. It returns false if this instance has to serve the
// transaction itself.
func (sess *session) runForwardedTransaction(ctx context.Context, st bbrmessage.Statement, access bbrmessage.Access, arrivedAt bbrtype.Mono) (bbrmessage.Reply, bool) {
	tx := sess.tx
	reply, ok := sess.forwardInTransaction(ctx, st, arrivedAt)
	if !ok {
		return reply, false
	}
	tx.wrote = tx.wrote || access == bbrmessage.AccessWrite
	if reply.Failure != nil {
		sess.rollback()
		return sess.failTransaction(reply.Failure), true
	}
	reply.State = sess.transactionState()
	return reply, true
}

// commitForwarded commits the open transaction at its holder. It returns false if this
// instance has to serve the transaction itself.
func (sess *session) commitForwarded(ctx context.Context, st bbrmessage.Statement, arrivedAt bbrtype.Mono) (bbrmessage.Reply, bool) {
	tx := sess.tx
	f := sess.newForwarded(st, tx.route, arrivedAt)
	if !tx.remote.isOpen() {
		// The transaction is empty, so that it may be committed twice.
		f.mayRepeat = true
		reply, ok := sess.endForward(f.run(ctx))
		if ok {
			sess.tx = nil
			reply.State = bbrmessage.StateIdle
		}
		return reply, ok
	}
	result, outcome, err := f.runAt(ctx, tx.remote.address)
	sess.tx = nil
	if outcome != ForwardDone {
		f.exclude(tx.remote.address, outcome, result.Stopping)
		f.logAttempt(tx.remote.address, outcome, result, err)
	}
	switch outcome {
	case ForwardDone:
	case ForwardLost:
		return sess.failureReply(lostCommitFailure(tx)), true
	default:
		return sess.failureReply(&bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: "the holder of the transaction is gone; the transaction is rolled back"}), true
	}
	sess.servedBy = tx.remote.address
	sess.lastWritePosition = bbrmessage.LaterPosition(sess.lastWritePosition, result.LastWrite)
	result.Reply.State = bbrmessage.StateIdle
	return result.Reply, true
}

// rollbackForwarded rolls the open transaction back at its holder. Without a reply the
// holder rolls it back by itself, since it is never committed.
func (sess *session) rollbackForwarded() {
	tx := sess.tx
	f := sess.newForwarded(bbrmessage.Statement{ID: bbrmessage.InternalRequestID, Op: bbrmessage.Rollback{}}, tx.route, sess.server.Clock.Now())
	address := tx.remote.address
	tx.remote = remoteTransaction{}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if _, err := sess.server.Forward.Run(ctx, address, f.statement); err != nil {
		sess.server.Log.WithFields(logrus.Fields{"group": tx.route.Group, "holder": address}).WithError(err).Info("transaction not rolled back by the holder yet")
	}
}
