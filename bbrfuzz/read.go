package bbrfuzz

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrroute"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// seen is what a member shows to a read.
type seen struct {
	state   bbrmember.State
	entries []entry
}

// read serves a read by a replica or the primary.
func (o *operation) read() {
	if o.abandoned {
		o.tell(bbroutcome.Unknown, "nobody waits for the read")
		return
	}
	if !o.c.positionKnown && o.w.opts.Mutation != MutateToken {
		o.learnPosition()
		return
	}
	g := o.n.view.Group(o.c.group)
	if g == nil {
		o.again(func() { o.settle(o.read) }, bbroutcome.NotRun, "the group is not known")
		return
	}
	if o.w.opts.Mutation == MutateRemoved {
		order := o.w.groups[o.c.group].order
		o.sent(bbrmember.Ref{Group: o.c.group, Member: order[o.w.r.IntN(len(order))]})
	}
	q := bbrroute.Requirements{Term: o.c.token.Term, Position: o.c.token.Position, SeenAt: o.c.seenAt, MaxAge: maxAge, CatchUpWait: 100 * time.Millisecond}
	switch o.w.opts.Mutation {
	case MutateToken:
		q.Term, q.Position = 0, 0
	case MutateAge:
		q.MaxAge = time.Hour
	}
	d := o.n.trackers[o.c.group].Choose(o.n.clock(), g, q)
	switch d.Target {
	case bbrroute.TargetReplica:
		o.readFrom(d.Member, func(s seen, _ bbrtype.Mono) bool {
			return o.n.trackers[o.c.group].Satisfies(o.n.clock(), o.n.view.Group(o.c.group), s.state, q)
		})
	case bbrroute.TargetWait:
		o.poll(g)
		o.again(func() { o.settle(o.read) }, bbroutcome.NotRun, "no replica caught up")
	default:
		l, ok := g.Primary()
		if !ok || o.n.clock() >= o.n.view.AuthorityUntil.Add(q.MaxAge) {
			o.again(func() { o.settle(o.read) }, bbroutcome.NotRun, "no member for the read")
			return
		}
		o.readFrom(l.Member, func(s seen, sentAt bbrtype.Mono) bool {
			now := o.n.view.Group(o.c.group)
			cur, ok := now.Primary()
			return ok && cur == l && q.IsPositionIncluded(now) && s.state.Primary && s.state.History == l.History &&
				bbrroute.IsPrimaryReadFresh(o.n.clock(), o.n.view.AuthorityUntil, sentAt, q.MaxAge)
		})
	}
}

// readFrom reads from a member and passes the answer on if it is good.
func (o *operation) readFrom(m bbrtype.MemberName, good func(s seen, sentAt bbrtype.Mono) bool) {
	ref := bbrmember.Ref{Group: o.c.group, Member: m}
	o.sent(ref)
	epoch := o.w.groups[ref.Group].members[ref.Member].epoch
	sentAt := o.n.clock()
	o.n.memberCall(ref, answerPatience, func(f *fakeMember) any {
		if f.epoch != epoch {
			return nil
		}
		st := f.state()
		return seen{state: st, entries: f.log[:f.shown:f.shown]}
	}, func(v any, _ bbrmember.FailureKind) {
		if o.ended {
			return
		}
		s, ok := v.(seen)
		if !ok {
			o.again(func() { o.settle(o.read) }, bbroutcome.NotRun, "no answer to the read")
			return
		}
		o.n.observe(ref, s.state, sentAt)
		if !good(s, sentAt) {
			o.again(func() { o.settle(o.read) }, bbroutcome.NotRun, "the member is behind")
			return
		}
		if l, ok := o.n.view.Group(o.c.group).LastPrimary(); ok {
			o.raise(l.Term, s.state.Position)
		}
		if !o.abandoned {
			o.w.oracle.read(o.c, m, s.entries)
		}
		o.tell(bbroutcome.Done, "read")
	})
}

// learnPosition takes the primary's position as the session's token.
func (o *operation) learnPosition() {
	l, ok := o.primary()
	if !ok {
		o.again(func() { o.settle(o.read) }, bbroutcome.NotRun, "no primary to ask for its position")
		return
	}
	ref := bbrmember.Ref{Group: o.c.group, Member: l.Member}
	sentAt := o.n.clock()
	o.n.memberCall(ref, answerPatience, func(m *fakeMember) any { return m.state() }, func(v any, _ bbrmember.FailureKind) {
		if o.ended {
			return
		}
		st, ok := v.(bbrmember.State)
		if !ok || !st.Primary || st.History != l.History || o.n.view.AuthorityUntil <= sentAt {
			o.again(func() { o.settle(o.read) }, bbroutcome.NotRun, "the primary's position is unknown")
			return
		}
		o.n.observe(ref, st, sentAt)
		o.raise(l.Term, st.Position)
		o.read()
	})
}
