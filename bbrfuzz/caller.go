package bbrfuzz

import (
	"fmt"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrrequest"
	"github.com/bluebellroute/bluebellroute/bbrroute"
	"github.com/bluebellroute/bluebellroute/bbrtoken"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Durations of a caller's requests.
const (
	patience        = 5 * time.Second
	answerPatience  = 2 * time.Second
	confirmWait     = 2 * time.Second
	resolvePatience = 8 * time.Second
	retryPause      = 40 * time.Millisecond
	pollPause       = 15 * time.Millisecond
	callerPatience  = 30 * time.Second
)

// fakeCaller is a session that writes and reads, one request after another.
type fakeCaller struct {
	w     *World
	name  string
	group bbrtype.GroupName
	at    int

	token         bbrtoken.Token
	positionKnown bool
	seenAt        bbrtype.Mono
	// lost is set when the session is to be told that its position was lost.
	lost bool
	// retry is a keyed request that is to be sent again.
	retry *request
}

// request is one write of a caller.
type request struct {
	id     int
	group  bbrtype.GroupName
	caller *fakeCaller
	key    string
}

func (w *World) addCaller(n int) {
	names := make([]bbrtype.GroupName, 0, len(w.groups))
	for i := range len(w.groups) {
		names = append(names, bbrtype.GroupName(fmt.Sprintf("g%d", i+1)))
	}
	c := &fakeCaller{w: w, name: fmt.Sprintf("c%d", n+1), group: names[n%len(names)], at: n % w.opts.Instances}
	w.callers = append(w.callers, c)
	w.after(time.Duration(w.r.Int64N(int64(time.Second))), c.next)
}

// next begins the caller's next request.
func (c *fakeCaller) next() {
	c.w.after(time.Duration(c.w.r.Int64N(int64(2*callerThink))), func() {
		n := c.w.nodes[c.at]
		if !n.up || n.leaving || c.w.r.IntN(25) == 0 {
			c.move()
			n = c.w.nodes[c.at]
		}
		if !n.up || n.leaving {
			c.next()
			return
		}
		op := &operation{c: c, w: c.w, n: n, incarnation: n.incarnation}
		n.run(n.incarnation, func() {
			op.startedAt = n.clock()
			op.start()
		})
		// Now and then a caller hangs up before its answer comes.
		limit := callerPatience
		if c.w.r.IntN(20) == 0 {
			limit = time.Duration(c.w.r.Int64N(int64(patience)))
		}
		c.w.after(limit, op.giveUp)
	})
}

// move takes the session to another instance, with its token or without.
func (c *fakeCaller) move() {
	c.at = c.w.r.IntN(len(c.w.nodes))
	if c.w.r.IntN(2) == 0 {
		c.token, c.positionKnown = bbrtoken.Token{}, false
		c.w.oracle.movedWithoutToken(c)
	}
	c.seenAt = 0
}

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
	fate := bbrjournal.FateAhead
	if g := o.n.view.Group(c.group); g != nil {
		fate = g.Fate(c.token.Term, c.token.Position)
	}
	switch fate {
	case bbrjournal.FateAhead:
		o.again(func() { o.settle(then) }, bbroutcome.NotRun, "the term is not known here")
		return
	case bbrjournal.FateLost:
		if !o.abandoned {
			c.token, c.positionKnown = bbrtoken.Token{}, false
			o.w.oracle.toldLost(c)
		}
		o.tell(bbroutcome.NotRun, "the position was lost")
		return
	case bbrjournal.FateUnknown:
		if !o.abandoned {
			c.token, c.positionKnown = bbrtoken.Token{}, false
		}
	}
	then()
}

// primary returns the primary that the instance may write to.
func (o *operation) primary() (bbrjournal.Lineage, bool) {
	g := o.n.view.Group(o.c.group)
	if g == nil || o.n.clock() >= o.n.view.Until {
		return bbrjournal.Lineage{}, false
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
func (o *operation) onPrimary(op func(m *fakeMember) written, good func(wr written, l bbrjournal.Lineage), lost, refused func()) {
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
func (o *operation) confirm(l bbrjournal.Lineage, p bbrtype.Position, until bbrtype.Mono, good, lost func()) {
	g := o.n.view.Group(o.c.group)
	copies := o.n.trackers[o.c.group].Copies(g, p)
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
	if g := o.n.view.Group(c.group); c.token.Term < term && g.Fate(c.token.Term, c.token.Position) == bbrjournal.FateLost {
		c.lost = true
	}
	next := c.token.Max(bbrtoken.Token{Group: c.group, Term: term, Position: p})
	if next != c.token {
		c.token = next
		c.seenAt = o.n.clock()
	}
	c.positionKnown = true
}

// write sends the request to the primary.
func (o *operation) write() {
	keyed := o.req.key != "" && o.w.opts.Mutation != MutateKey
	o.onPrimary(func(m *fakeMember) written {
		if keyed {
			if row, found := m.row(o.req.key); found {
				return written{row: row, found: true}
			}
		}
		e := entry{write: o.req.id}
		if keyed {
			e.key, e.row = o.req.key, bbrrequest.Row{Outcome: bbrrequest.OutcomeDone}
		}
		return written{done: m.commit(e)}
	}, func(wr written, l bbrjournal.Lineage) {
		if wr.found {
			o.taken(wr, l)
			return
		}
		o.acknowledge(wr, l)
	}, o.lost, func() {
		o.again(o.write, bbroutcome.NotRun, "no primary")
	})
}

// acknowledge tells the caller that its write is done.
func (o *operation) acknowledge(wr written, l bbrjournal.Lineage) {
	o.done(l, "acknowledged", func() { o.raise(l.Term, wr.state.Position) })
}

// done tells the caller that its request has run. The lineage is empty where an
// earlier run was found.
func (o *operation) done(l bbrjournal.Lineage, why string, raise func()) {
	if !o.abandoned && !o.n.drained {
		raise()
		o.w.oracle.acknowledged(o.req, l)
	}
	o.tell(bbroutcome.Done, why)
}

// lost goes on after an answer was lost.
func (o *operation) lost() {
	if o.req.key == "" || o.w.opts.Mutation == MutateKey {
		o.tell(bbroutcome.Unknown, "the answer was lost")
		return
	}
	if o.w.opts.Mutation == MutateTombstone {
		o.settled("mutation: no tombstone")
		return
	}
	o.deadline = o.n.clock().Add(resolvePatience)
	o.resolve()
}

// unresolved tries again to find out the fate of a request.
func (o *operation) unresolved() { o.again(o.resolve, bbroutcome.Unknown, "not resolved") }

// resolve finds out the fate of a keyed request.
func (o *operation) resolve() {
	o.onPrimary(func(m *fakeMember) written {
		if row, found := m.row(o.req.key); found {
			return written{row: row, found: true}
		}
		return written{done: m.commit(entry{key: o.req.key, row: bbrrequest.Row{Outcome: bbrrequest.OutcomeNotRun, Attempt: 1}})}
	}, func(wr written, l bbrjournal.Lineage) {
		if wr.done {
			o.settled("closed by a tombstone")
			return
		}
		switch step := bbrrequest.OnLost(wr.row, wr.found, bbrrequest.AnyFingerprint); step.Do {
		case bbrrequest.TellAlreadyRun:
			o.done(bbrjournal.Lineage{}, "found run", func() { o.raise(l.Term, wr.state.Position) })
		case bbrrequest.Close:
			o.closeKey(step.Attempt)
		default:
			o.unresolved()
		}
	}, o.unresolved, o.unresolved)
}

// closeKey makes the present attempt under the key impossible.
func (o *operation) closeKey(attempt uint64) {
	o.onPrimary(func(m *fakeMember) written {
		row, found := m.row(o.req.key)
		if !found || row.Outcome != bbrrequest.OutcomeNotRun || row.Attempt != attempt {
			return written{row: row, found: true}
		}
		return written{done: m.commit(entry{key: o.req.key, row: bbrrequest.Row{Outcome: bbrrequest.OutcomeNotRun, Attempt: attempt + 1}})}
	}, func(wr written, _ bbrjournal.Lineage) {
		if wr.done {
			o.settled("closed")
			return
		}
		o.unresolved()
	}, o.unresolved, o.unresolved)
}

// taken goes on after the key was found taken.
func (o *operation) taken(wr written, l bbrjournal.Lineage) {
	arrived := o.n.clock().Sub(o.startedAt)
	switch step := bbrrequest.OnTaken(wr.row, true, "", arrived); step.Do {
	case bbrrequest.TellAlreadyRun:
		o.done(bbrjournal.Lineage{}, "was run before", func() { o.raise(l.Term, wr.state.Position) })
	case bbrrequest.Claim:
		o.claim(step.Attempt)
	default:
		o.deadline = o.n.clock().Add(resolvePatience)
		o.resolve()
	}
}

// claim runs a request whose earlier attempts did not run.
func (o *operation) claim(attempt uint64) {
	o.onPrimary(func(m *fakeMember) written {
		row, found := m.row(o.req.key)
		if !found || row.Outcome != bbrrequest.OutcomeNotRun || row.Attempt != attempt {
			return written{row: row, found: true}
		}
		return written{done: m.commit(entry{
			write: o.req.id, key: o.req.key, row: bbrrequest.Row{Outcome: bbrrequest.OutcomeDone, Attempt: attempt},
		})}
	}, func(wr written, l bbrjournal.Lineage) {
		if wr.done {
			o.acknowledge(wr, l)
			return
		}
		o.tell(bbroutcome.NotRun, "somebody else claimed the key")
	}, o.lost, func() {
		o.tell(bbroutcome.NotRun, "the claim was refused")
	})
}

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
	q := bbrroute.Request{Term: o.c.token.Term, Position: o.c.token.Position, SeenAt: o.c.seenAt, MaxAge: maxAge, CatchUpWait: 100 * time.Millisecond}
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
			return o.n.trackers[o.c.group].Serves(o.n.clock(), o.n.view.Group(o.c.group), s.state, q)
		})
	case bbrroute.TargetWait:
		o.poll(g)
		o.again(func() { o.settle(o.read) }, bbroutcome.NotRun, "no replica caught up")
	default:
		l, ok := g.Primary()
		if !ok || o.n.clock() >= o.n.view.Until.Add(q.MaxAge) {
			o.again(func() { o.settle(o.read) }, bbroutcome.NotRun, "no member for the read")
			return
		}
		o.readFrom(l.Member, func(s seen, sentAt bbrtype.Mono) bool {
			now := o.n.view.Group(o.c.group)
			cur, ok := now.Primary()
			return ok && cur == l && q.IsKept(now) && s.state.Primary && s.state.History == l.History &&
				bbrroute.IsPrimaryFresh(o.n.clock(), o.n.view.Until, sentAt, q.MaxAge)
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
		if l, ok := o.n.view.Group(o.c.group).Last(); ok {
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
		if !ok || !st.Primary || st.History != l.History || o.n.view.Until <= sentAt {
			o.again(func() { o.settle(o.read) }, bbroutcome.NotRun, "the primary's position is unknown")
			return
		}
		o.n.observe(ref, st, sentAt)
		o.raise(l.Term, st.Position)
		o.read()
	})
}
