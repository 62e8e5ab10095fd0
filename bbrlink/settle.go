package bbrlink

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
)

// maxSettleBegins bounds the empty transactions by which a reply is settled.
const maxSettleBegins = 64

// begunReplies counts what shows the reply to a begin, as far as it has the same log position at.
// Each begin that was sent is answered once or twice.
type begunReplies struct {
	at             bbrmessage.LogPosition
	sent, received int
	// batch is how many begins were sent last.
	batch int
}

// send counts begins that are sent.
func (b *begunReplies) send(n int) {
	b.sent += n
	b.batch = n
}

// receive counts a reply.
func (b *begunReplies) receive(r bbrmessage.Reply) {
	switch {
	case b.at.IsBefore(r.Position):
		b.at, b.sent, b.received = r.Position, b.batch, 1
	case b.at == r.Position:
		b.received++
	}
}

// outstanding returns how many replies may still come that show a position.
func (b *begunReplies) outstanding(at bbrmessage.LogPosition) int {
	if b.at != at {
		return 0
	}
	return max(0, 2*b.sent-b.received)
}

// isBegun reports whether a reply may be that to a begin.
func isBegun(r bbrmessage.Reply) bool {
	return r.Failure == nil && !isSigned(r) && len(r.Rows) == 0 && r.State == bbrmessage.StateInTransaction
}

// settle finds out which reply is the statement's own after r, a failure that the connection has
// carried before: r itself or one that is still to come. It runs empty transactions, which take
// none of the member's slots and see no data. The reply to a begin comes after the statement's
// own reply, and shows a state in which hardly any other reply without a signature is sent. So
// one with a new log position is the begin's, and of those with the same position one more than
// may be replies to begins before.
//
// The statement's own reply may also be lost, and r a repeated one. So what may be kept is in
// doubt, and a status is unknown. Of anything else the caller may be told r: nothing is kept.
func (c *Conn) settle(deadline time.Time, s bbrmessage.MemberStatement, want expectation, r bbrmessage.Reply) (bbrmessage.Reply, error) {
	if r.Failure == nil || s.MayCommit {
		c.group.recordStray(c, strayFailure, s.ID)
		return bbrmessage.Reply{}, errors.Wrap(ErrUnattributed, errRepeated.Error())
	}
	own, err := c.settleByTransaction(deadline, want, r)
	if err == nil {
		c.accept(own)
		return own, nil
	}
	c.broken = true
	if errors.Is(err, ErrUnattributed) {
		return r, nil
	}
	return r, err
}

// settleByTransaction returns the statement's own reply. Its error is ErrUnattributed if that
// cannot be told.
func (c *Conn) settleByTransaction(deadline time.Time, want expectation, r bbrmessage.Reply) (bbrmessage.Reply, error) {
	if c.transactionState() != bbrmessage.StateIdle || r.State != bbrmessage.StateIdle {
		return r, errors.Wrap(ErrUnattributed, "in a transaction")
	}
	earlier := c.begun.outstanding(c.newest)
	n := earlier + 1
	if n > maxSettleBegins {
		return r, errors.Wrap(ErrUnattributed, "after many begins")
	}
	if err := c.sendEmpty(deadline, n); err != nil {
		return r, err
	}
	own, ends, err := c.awaitBegin(deadline, want, r, earlier)
	if err != nil {
		return r, err
	}
	return own, c.awaitEnds(deadline, n-ends)
}

// sendEmpty sends n empty transactions.
func (c *Conn) sendEmpty(deadline time.Time, n int) error {
	begin := bbrmessage.MemberStatement{ID: bbrmessage.InternalRequestID, Text: c.Dialect().Begin(true), Kind: bbrmessage.KindBegin}
	end := bbrmessage.MemberStatement{ID: bbrmessage.InternalRequestID, Text: c.Dialect().Rollback(), Kind: bbrmessage.KindRollback}
	var statements []bbrmessage.MemberStatement
	for range n {
		statements = append(statements, begin, end)
	}
	c.begun.send(n)
	return c.conn.Send(deadline, statements...)
}

// candidates are the replies that may be a statement's own. One that the connection has not
// carried before is.
type candidates struct {
	own                bbrmessage.Reply
	isNew, isAmbiguous bool
}

// add adds a reply.
func (o *candidates) add(r bbrmessage.Reply, isNew bool) {
	switch {
	case isNew:
		o.isAmbiguous = o.isNew
		o.own, o.isNew = r, true
	case !o.isNew && contentOf(r) != contentOf(o.own):
		o.isAmbiguous = true
	}
}

// isEnded reports whether a reply may be that to a rollback.
func isEnded(r bbrmessage.Reply) bool {
	return r.Failure == nil && !isSigned(r) && r.Signature != "" && len(r.Rows) == 0 && r.State == bbrmessage.StateIdle
}

// awaitBegin receives the replies up to one to a begin of settle, and returns the statement's
// own, and how many replies to rollbacks came. earlier is how many replies to begins before may
// come.
func (c *Conn) awaitBegin(deadline time.Time, want expectation, repeated bbrmessage.Reply, earlier int) (own bbrmessage.Reply, ends int, err error) {
	found := candidates{own: repeated}
	begins := 0
	for range maxStrays {
		r, isNew, err := c.next(deadline)
		if err != nil {
			return found.own, ends, err
		}
		isRepeated := !isNew && c.isOutdated(expectation{}, r)
		switch {
		case isRepeated:
			continue
		case isEnded(r):
			ends = min(ends+1, begins)
			continue
		case isBegun(r):
			if begins++; !isNew && begins <= earlier {
				continue
			}
			if found.isAmbiguous {
				return found.own, ends, errors.Wrap(ErrUnattributed, "several replies")
			}
			return found.own, ends, nil
		}
		stray, err := c.check(want, r, isNew)
		switch {
		case errors.Is(err, errRepeated), err == nil && stray == "":
			found.add(r, err == nil)
		case err != nil:
			return found.own, ends, err
		}
	}
	return found.own, ends, errStrays
}

// awaitEnds receives the replies up to those to n rollbacks.
func (c *Conn) awaitEnds(deadline time.Time, n int) error {
	for range maxStrays {
		r, isNew, err := c.next(deadline)
		switch {
		case err != nil:
			return err
		case r.Failure != nil:
			return errors.Wrap(ErrUnattributed, r.Failure.Error())
		case isEnded(r) && (isNew || !c.isOutdated(expectation{}, r)):
			n--
		}
		if n <= 0 {
			return nil
		}
	}
	return errStrays
}
