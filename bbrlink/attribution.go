package bbrlink

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
)

// A member's reply names no statement, and a member may send a reply twice, byte for byte, the
// second time at any later moment. Replies are therefore attributed by what only the right one
// can show:
//
//   - The reply to a read, a write or a commit is signed, and the connection has not carried
//     the signature before. Other successes that arrive meanwhile are dropped.
//   - The reply to a statement of the instance's own has no signature, and shows the state
//     that the statement leads to. Signed replies that are repeated are dropped, and so are
//     unsigned ones that are repeated from a time at which the member's log was shorter or
//     lacked the position that the statement requires.
//   - A failure or a status is the statement's own if the connection has not carried the same
//     one before, with its log position. Else a status is unknown, a write or commit in doubt,
//     and behind anything else an empty transaction is run, see settle.
//   - In a transaction, a failure without one shows that the begin failed and a repeated reply
//     was taken for its success, so that the statement may have run outside of the transaction.
//
// A connection that carries a reply that cannot be attributed is closed, and the reply counts
// as lost. So is a connection on which a statement failed behind others that may have failed
// instead: a repeated reply of those could hide it.

// ErrUnattributed means that a reply may belong to an earlier statement of the connection. It
// is unknown whether the statement has run.
var ErrUnattributed = errors.New("the member's reply may belong to an earlier statement")

// maxConnReplies bounds the replies that a connection carries and that no other may repeat, and
// so the memory for them. Then it is replaced.
const maxConnReplies = 4096

// maxSetupBytes bounds the statements that set a connection up for sessions, and so what it keeps
// of their values and prepared statements. Then it is replaced.
const maxSetupBytes = 256 << 10

// expectation is what a statement's reply looks like if the statement succeeds.
type expectation struct {
	// signed is set for reads, writes and commits.
	signed bool
	// status is set if the reply is a row with the member's status.
	status bool
	// minPosition is the log position that the member must have reached, zero for any.
	minPosition bbrmessage.LogPosition
	// isData is set for reads and writes.
	isData bool
	// state is the transaction state after the statement, empty for any.
	state bbrmessage.TransactionState
}

// expectationOf returns the expectation for a statement that is sent in the given state.
func expectationOf(s bbrmessage.MemberStatement, state bbrmessage.TransactionState) expectation {
	switch s.Kind {
	case bbrmessage.KindBegin:
		return expectation{state: bbrmessage.StateInTransaction, minPosition: s.MinPosition}
	case bbrmessage.KindRollback:
		return expectation{state: bbrmessage.StateIdle}
	case bbrmessage.KindSetup:
		return expectation{state: state}
	case bbrmessage.KindControl:
		return expectation{status: true}
	case bbrmessage.KindCommit:
		return expectation{signed: true, state: bbrmessage.StateIdle}
	}
	return expectation{signed: true, isData: true, state: state}
}

// maxStrays bounds the replies that are dropped while a statement waits for its own.
const maxStrays = 256

var errStrays = errors.New("the member sends replies to no statement")

// receive returns the reply to the earliest statement without one.
func (c *Conn) receive(deadline time.Time, s bbrmessage.MemberStatement) (bbrmessage.Reply, error) {
	want := expectationOf(s, c.transactionState())
	for range maxStrays {
		r, isNew, err := c.next(deadline)
		if err != nil {
			return r, err
		}
		stray, err := c.check(want, r, isNew)
		if stray != "" {
			c.group.recordStray(c, stray, s.ID)
		}
		switch {
		case errors.Is(err, errRepeated):
			return c.settle(deadline, s, want, r)
		case err != nil:
			return r, err
		case stray == "":
			c.accept(r)
			return r, nil
		}
	}
	return bbrmessage.Reply{}, errStrays
}

// next receives a reply, and reports whether the connection has not carried the same one before.
func (c *Conn) next(deadline time.Time) (r bbrmessage.Reply, isNew bool, err error) {
	if r, err = c.conn.Receive(deadline); err != nil {
		return r, false, err
	}
	c.newest = bbrmessage.LaterPosition(c.newest, r.Position)
	if isBegun(r) {
		c.begun.receive(r)
	}
	return r, c.carried.add(contentOf(r)), nil
}

// accept records what the reply to a statement shows of the connection.
func (c *Conn) accept(r bbrmessage.Reply) {
	c.state = r.State
	if r.Failure != nil {
		c.failedAt, c.hasFailed = c.newest, true
	}
}

// errRepeated means that a reply is the statement's own or repeats an earlier one.
var errRepeated = errors.New("the reply is the same as an earlier one")

// check returns the kind of stray reply that r is, empty if r is the expected reply. An
// error means that what follows cannot be attributed either, or errRepeated.
func (c *Conn) check(want expectation, r bbrmessage.Reply, isNew bool) (StrayKind, error) {
	if r.Failure != nil {
		return c.checkFailure(want, r, isNew)
	}
	return c.checkSuccess(want, r, isNew)
}

// checkSuccess is check for a success.
func (c *Conn) checkSuccess(want expectation, r bbrmessage.Reply, isNew bool) (StrayKind, error) {
	if isSigned(r) {
		if !isNew {
			return strayRepeated, nil
		}
		if !want.signed || r.State != want.state {
			return strayUnexpected, errors.Wrapf(ErrUnattributed, "a signed reply in state %q", r.State)
		}
		return "", nil
	}
	if want.signed || want.status != (len(r.Rows) > 0) || r.Signature == "" || want.state != "" && r.State != want.state {
		return strayUnsigned, nil
	}
	if isNew {
		return "", nil
	}
	switch {
	case c.isOutdated(want, r):
		return strayRepeated, nil
	case want.status:
		return "", errRepeated
	}
	return "", nil
}

// isOutdated reports whether an unsigned reply that the connection has carried before is from a
// time at which the member's log was shorter, or lacked a position that is required.
func (c *Conn) isOutdated(want expectation, r bbrmessage.Reply) bool {
	return !r.Position.IsZero() && (r.Position.IsBefore(c.newest) || r.Position.IsBefore(want.minPosition))
}

// checkFailure is check for a failure.
func (c *Conn) checkFailure(want expectation, r bbrmessage.Reply, isNew bool) (StrayKind, error) {
	switch {
	case !isNew && c.isOutdated(expectation{}, r):
		return strayRepeated, nil
	case want.isData && c.transactionState() != bbrmessage.StateIdle && r.State == bbrmessage.StateIdle:
		return strayFailure, errors.Wrapf(ErrUnattributed, "%s outside of the transaction", r.Failure.Error())
	case !isNew:
		return "", errRepeated
	}
	return "", nil
}

// isOfData reports whether only reads, writes, commits and begins fail with a class, so that a
// statement which sets the session up cannot.
func isOfData(class bbrmessage.FailureClass) bool {
	switch class {
	case bbrmessage.ClassBusy, bbrmessage.ClassLagging, bbrmessage.ClassReadOnly, bbrmessage.ClassNoPreparedStatement:
		return true
	}
	return false
}

// transactionState returns the transaction state of the connection at its member.
func (c *Conn) transactionState() bbrmessage.TransactionState {
	if c.state == "" {
		return bbrmessage.StateIdle
	}
	return c.state
}

// doubtsFailure reports whether the next failure could look like one that the connection has
// carried, if the member's log is known to have reached newest.
func (c *Conn) doubtsFailure(newest bbrmessage.LogPosition) bool {
	return c.hasFailed && !c.failedAt.IsBefore(newest)
}

// mayBeReused reports whether the replies to further statements can be attributed.
func (c *Conn) mayBeReused() bool {
	return !c.broken && c.setupBytes <= maxSetupBytes && c.carried.len() < maxConnReplies && c.transactionState() == bbrmessage.StateIdle
}
