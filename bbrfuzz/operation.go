package bbrfuzz

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrrequest"
	"github.com/bluebellroute/bluebellroute/bbrtoken"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// operation is one request on its way through an instance.
type operation struct {
	c           *fakeCaller
	w           *World
	n           *node
	incarnation int
	startedAt   bbrtype.Mono
	deadline    bbrtype.Mono
	req         *request
	ended       bool
	// abandoned is set once the caller has hung up. The instance carries on.
	abandoned bool
}

// start chooses what the caller does.
func (o *operation) start() {
	if o.abandoned {
		// The caller hung up before its request arrived.
		o.ended = true
		return
	}
	o.deadline = o.n.clock().Add(patience)
	c := o.c
	if c.retry != nil {
		o.req, c.retry = c.retry, nil
		if o.w.r.IntN(3) == 0 {
			// The caller looks its request up by the key instead.
			o.deadline = o.n.clock().Add(resolvePatience)
			o.resolve()
			return
		}
		o.settle(o.write)
		return
	}
	if o.w.r.IntN(2) == 0 {
		o.settle(o.read)
		return
	}
	o.req = o.w.oracle.newRequest(c, o.w.r.IntN(2) == 0)
	o.settle(o.write)
}

// run runs a later part of the operation on its instance.
func (o *operation) run(d time.Duration, f func()) {
	o.w.after(d, func() {
		o.n.run(o.incarnation, func() {
			if !o.ended {
				f()
			}
		})
	})
}

// giveUp lets the caller go on without an answer.
func (o *operation) giveUp() {
	if o.ended || o.abandoned {
		return
	}
	o.inform(bbroutcome.Unknown, "the caller hung up")
	o.abandoned = true
}

// settled ends an operation whose request's key tells that it was not run.
func (o *operation) settled(why string) {
	if !o.ended && !o.abandoned && !o.n.drained {
		o.w.oracle.told(o.req, bbroutcome.NotRun, true, o.n.name+": "+why)
	}
	o.tell(bbroutcome.NotRun, why)
}

// tell ends the operation.
func (o *operation) tell(outcome bbroutcome.Outcome, why string) {
	if o.ended {
		return
	}
	if o.n.drained {
		outcome = bbroutcome.Unknown
	}
	o.ended = true
	if !o.abandoned {
		o.inform(outcome, why)
	}
}

// inform passes an outcome to the caller, who goes on to its next request.
func (o *operation) inform(outcome bbroutcome.Outcome, why string) {
	if o.req != nil {
		o.w.oracle.told(o.req, outcome, false, o.n.name+": "+why)
		if o.req.key != "" && outcome != bbroutcome.Done && o.w.r.IntN(3) > 0 {
			o.c.retry = o.req
		}
	}
	if outcome != bbroutcome.Done && o.w.r.IntN(2) == 0 {
		o.c.move()
	}
	o.c.next()
}

// again tries a part of the operation again, until the deadline.
func (o *operation) again(part func(), atEnd bbroutcome.Outcome, why string) {
	if o.n.clock() >= o.deadline {
		o.tell(atEnd, why)
		return
	}
	o.run(retryPause, part)
}

// settle compares the session's token with the present history.
func (o *operation) settle(then func()) {
	c := o.c
	if c.lost && !o.abandoned {
		c.lost = false
		o.w.oracle.toldLost(c)
		o.tell(bbroutcome.NotRun, "the position was lost")
		return
	}
	if c.token.IsZero() {
		then()
		return
	}
	fate := bbrjournal.PositionAhead
	if g := o.n.view.Group(c.group); g != nil {
		fate = g.PositionStatus(c.token.Term, c.token.Position)
	}
	switch fate {
	case bbrjournal.PositionAhead:
		o.again(func() { o.settle(then) }, bbroutcome.NotRun, "the term is not known here")
		return
	case bbrjournal.PositionLost:
		if !o.abandoned {
			c.token, c.positionKnown = bbrtoken.Token{}, false
			o.w.oracle.toldLost(c)
		}
		o.tell(bbroutcome.NotRun, "the position was lost")
		return
	case bbrjournal.PositionUnknown:
		if !o.abandoned {
			c.token, c.positionKnown = bbrtoken.Token{}, false
		}
	}
	then()
}

// primary returns the primary that the instance may write to.
func (o *operation) primary() (bbrjournal.PrimaryTerm, bool) {
	g := o.n.view.Group(o.c.group)
	if g == nil || o.n.clock() >= o.n.view.AuthorityUntil {
		return bbrjournal.PrimaryTerm{}, false
	}
	return g.Primary()
}

// written is a member's answer to a write.
type written struct {
	state bbrmember.State
	row   bbrrequest.Row
	found bool
	done  bool
}

// onPrimary runs something on the primary and takes its answer under the rules
// for acknowledgements. lost is called if no answer came, refused if nothing
// was done.
func (o *operation) onPrimary(op func(m *fakeMember) written, good func(wr written, l bbrjournal.PrimaryTerm), lost, refused func()) {
	l, ok := o.primary()
	if !ok {
		refused()
		return
	}
	ref := bbrmember.Ref{Group: o.c.group, Member: l.Member}
	o.sent(ref)
	epoch := o.w.groups[ref.Group].members[ref.Member].epoch
	sentAt := o.n.clock()
	o.n.memberCall(ref, answerPatience, func(m *fakeMember) any {
		if m.epoch != epoch {
			return nil
		}
		wr := written{}
		if m.primary {
			wr = op(m)
		}
		wr.state = m.state()
		return wr
	}, func(v any, kind bbrmember.FailureKind) {
		if o.ended {
			return
		}
		if kind == bbrmember.FailureRefused {
			refused()
			return
		}
		wr, answered := v.(written)
		if !answered {
			lost()
			return
		}
		if !wr.done && !wr.found {
			// The member is not a primary, or the operation found nothing to do.
			if !wr.state.Primary {
				refused()
				return
			}
		}
		if !wr.state.Primary || wr.state.History != l.History {
			lost()
			return
		}
		o.n.observe(ref, wr.state, sentAt)
		o.confirm(l, wr.state.Position, o.n.clock().Add(confirmWait), func() { good(wr, l) }, lost)
	})
}

// sent tells the oracle that work goes to a member.
func (o *operation) sent(ref bbrmember.Ref) { o.w.oracle.sent(o.n, ref) }

// confirm waits until enough replicas hold a position, and then checks the
// authority.
func (o *operation) confirm(l bbrjournal.PrimaryTerm, p bbrtype.Position, until bbrtype.Mono, good, lost func()) {
	g := o.n.view.Group(o.c.group)
	copies := o.n.trackers[o.c.group].ReplicasAt(g, p)
	switch {
	case copies >= o.w.opts.Confirm || o.w.opts.Mutation == MutateConfirm:
		if !o.n.view.MayAcknowledge(o.n.clock(), o.c.group, l.Member, l.Term) && o.w.opts.Mutation != MutateAuthority {
			lost()
			return
		}
		good()
	case o.n.clock() >= until:
		lost()
	default:
		o.poll(g)
		o.run(pollPause, func() { o.confirm(l, p, until, good, lost) })
	}
}

// poll looks at the replicas.
func (o *operation) poll(g *bbrjournal.Group) {
	for _, m := range g.Members {
		ref := bbrmember.Ref{Group: o.c.group, Member: m}
		sentAt := o.n.clock()
		o.n.memberCall(ref, callTimeout, func(m *fakeMember) any { return m.state() }, func(v any, _ bbrmember.FailureKind) {
			if st, ok := v.(bbrmember.State); ok {
				o.n.observe(ref, st, sentAt)
			}
		})
	}
}

// raise moves the session's token forward.
func (o *operation) raise(term bbrtype.Term, p bbrtype.Position) {
	if o.abandoned {
		return
	}
	c := o.c
	if g := o.n.view.Group(c.group); c.token.Term < term && g.PositionStatus(c.token.Term, c.token.Position) == bbrjournal.PositionLost {
		c.lost = true
	}
	next := c.token.Later(bbrtoken.Token{Group: c.group, Term: term, Position: p})
	if next != c.token {
		c.token = next
		c.seenAt = o.n.clock()
	}
	c.positionKnown = true
}
