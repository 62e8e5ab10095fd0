package bbrfuzz

import (
	"fmt"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrroute"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// node is one instance: the real control logic with fake input and output.
type node struct {
	w           *World
	number      int
	name        string
	incarnation int
	up          bool
	// pausedUntil is when a paused process goes on.
	pausedUntil time.Duration
	// rate and offset make the node's clock.
	rate   float64
	offset time.Duration

	control  *bbrcontrol.Control
	view     *bbrgroup.View
	trackers map[bbrtype.GroupName]*bbrroute.Tracker
	version  uint64
	// leaving and drained are the steps of a planned stop.
	leaving, drained bool
}

// instanceOf describes the present incarnation of a node.
func (w *World) instanceOf(n int) bbrjournal.Instance {
	name := fmt.Sprintf("i%d", n+1)
	incarnation := 0
	if n < len(w.nodes) {
		incarnation = w.nodes[n].incarnation
	}
	return bbrjournal.Instance{
		ID: bbrtype.InstanceID(fmt.Sprintf("%s.%d", name, incarnation)), Name: name, Address: name,
		DataCentre: bbrtype.DataCentre(fmt.Sprintf("dc%d", n%3)),
	}
}

// startNode starts a node, or starts it again as a new incarnation.
func (w *World) startNode(number int) {
	if number == len(w.nodes) {
		w.nodes = append(w.nodes, &node{w: w, number: number, name: fmt.Sprintf("i%d", number+1)})
	}
	n := w.nodes[number]
	n.incarnation++
	n.up = true
	n.pausedUntil = 0
	n.rate = 1 + maxDrift*(2*w.r.Float64()-1)
	n.offset = time.Hour + time.Duration(w.r.Int64N(int64(time.Hour)))
	n.control = bbrcontrol.New(w.controlOptions(number))
	n.view = &bbrgroup.View{Journal: n.control.State()}
	n.trackers = map[bbrtype.GroupName]*bbrroute.Tracker{}
	n.version = 0
	n.leaving, n.drained = false, false
	for name := range w.groups {
		n.trackers[name] = bbrroute.NewTracker(w.r.Uint64)
	}
	w.note("%s starts as incarnation %d", n.name, n.incarnation)
	incarnation := n.incarnation
	n.carryOut(bbrcontrol.LoadSnapshot{})
	var hints []string
	for _, other := range w.nodes {
		hints = append(hints, other.name)
	}
	n.step(bbrcontrol.PeerAddressesListed{Addresses: hints})
	n.tick(incarnation)
}

// clock returns the node's monotonic clock.
func (n *node) clock() bbrtype.Mono {
	return bbrtype.Mono(n.offset + time.Duration(float64(n.w.now)*n.rate))
}

// run runs something on the node: later if it is paused, never if it has died.
func (n *node) run(incarnation int, f func()) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	if n.w.now < n.pausedUntil {
		n.w.after(n.pausedUntil-n.w.now+time.Duration(n.w.r.Int64N(int64(time.Millisecond))), func() { n.run(incarnation, f) })
		return
	}
	f()
}

func (n *node) tick(incarnation int) {
	n.run(incarnation, func() {
		n.step(bbrcontrol.Tick{})
		n.w.after(tickEvery, func() { n.tick(incarnation) })
	})
}

// step passes an event to the control logic.
func (n *node) step(ev bbrcontrol.Event) {
	actions := n.control.Step(n.clock(), ev)
	n.publish()
	for _, a := range actions {
		n.carryOut(a)
	}
	n.mutate()
}

// mutate feeds the control logic with messages that peers never sent.
func (n *node) mutate() {
	var forged []bbrtype.InstanceID
	switch n.w.opts.Mutation {
	case MutateVouch:
		n.takeForGranted()
		return
	case MutateFenceWait:
		for _, i := range n.control.State().SortedInstances() {
			forged = append(forged, i.ID)
		}
	}
	for name := range n.w.groups {
		if phase, running := n.control.ChangePhaseOf(name); !running || phase != bbrfailover.PhaseDraining {
			continue
		}
		for _, id := range forged {
			if id == n.id() {
				continue
			}
			m := bbrcontrol.Message{From: bbrjournal.Instance{ID: id, Name: "forged", Address: "forged"}, AppliedIndex: n.control.State().AppliedIndex}
			_, actions := n.control.HandleExchange(n.clock(), m)
			for _, a := range actions {
				n.carryOut(a)
			}
		}
	}
}

// takeForGranted makes up the promises of all stewards.
func (n *node) takeForGranted() {
	for _, id := range n.control.State().Stewards {
		m := bbrcontrol.Message{From: n.control.State().Instances[id], Granted: true}
		n.control.Step(n.clock(), bbrcontrol.ExchangeReplied{To: id, SentAt: n.clock(), Reply: m})
	}
	n.publish()
}

// publish makes the new view known to the data path.
func (n *node) publish() {
	n.view = &bbrgroup.View{Journal: n.control.State(), AuthorityUntil: n.control.AuthorityUntil()}
	if n.w.opts.Mutation == MutateAuthority {
		n.view.AuthorityUntil = n.clock().Add(time.Hour)
	}
}

// carryOut runs an action against the fakes.
func (n *node) carryOut(a bbrcontrol.Action) {
	w := n.w
	switch a := a.(type) {
	case bbrcontrol.ReadJournal:
		sentAt := n.clock()
		w.store.call(n, func() any { return w.store.read(a.After) }, func(v any, ok bool) {
			h, _ := v.(headReply)
			if w.opts.Mutation == MutateNonce {
				h.records = withoutNonces(h.records)
			}
			n.step(bbrcontrol.JournalRead{SentAt: sentAt, After: a.After, Records: h.records, More: h.more, Failed: !ok})
		})
	case bbrcontrol.LoadSnapshot:
		w.store.call(n, func() any { return w.store.snap }, func(v any, ok bool) {
			if s, _ := v.(*bbrjournal.State); ok && s != nil {
				n.step(bbrcontrol.SnapshotLoaded{State: s})
			}
		})
	case bbrcontrol.SaveSnapshot:
		w.store.call(n, func() any {
			if w.store.snap == nil || a.State.AppliedIndex > w.store.snap.AppliedIndex {
				w.store.snap = a.State
			}
			return nil
		}, func(_ any, ok bool) {
			if ok {
				n.step(bbrcontrol.SnapshotSaved{Index: a.State.AppliedIndex})
			}
		})
	case bbrcontrol.Append:
		n.append(a)
	case bbrcontrol.Exchange:
		n.exchange(a)
	case bbrcontrol.StoreHeartbeat:
		sentAt := n.clock()
		id := n.id()
		w.store.call(n, func() any { return w.store.beat(id, a.Heartbeat) }, func(v any, ok bool) {
			stored, _ := v.(bool)
			n.step(bbrcontrol.HeartbeatStored{SentAt: sentAt, OK: ok && stored})
		})
	case bbrcontrol.ReadHeartbeats:
		w.store.call(n, func() any {
			out := map[bbrtype.InstanceID]uint64{}
			for _, id := range a.Stewards {
				out[id] = w.store.beats[id]
			}
			return out
		}, func(v any, ok bool) {
			beats, _ := v.(map[bbrtype.InstanceID]uint64)
			n.step(bbrcontrol.HeartbeatsRead{Heartbeats: beats, Failed: !ok})
		})
	case bbrcontrol.RevokeHeartbeats:
		w.store.call(n, func() any { return w.store.revoke(a.Heartbeats) }, func(v any, ok bool) {
			done, _ := v.(bool)
			n.step(bbrcontrol.HeartbeatsRevoked{OK: ok && done})
		})
	default:
		n.carryOutMember(a)
	}
}

// carryOutMember runs an action that concerns members or the node itself.
func (n *node) carryOutMember(a bbrcontrol.Action) {
	switch a := a.(type) {
	case bbrcontrol.Probe:
		n.probe(a)
	case bbrcontrol.Promote:
		n.promote(a)
	case bbrcontrol.Follow:
		n.follow(a)
	case bbrcontrol.MemberStateReported:
		n.observe(a.Ref, a.State, a.AsOf)
	case bbrcontrol.RecordApplied:
		n.applied()
	case bbrcontrol.ConfigureDone:
		n.w.ops.done(a)
	case bbrcontrol.InstanceLeft:
		n.up = false
		n.w.note("%s has left", n.name)
	case bbrcontrol.LogMessage:
		n.w.note("%s: %s %s term %d %s", n.name, a.Text, a.Group, a.Term, a.Subject)
	}
}

func (n *node) id() bbrtype.InstanceID { return n.w.instanceOf(n.number).ID }

// withoutNonces returns records that nobody takes for its own.
func withoutNonces(records []bbrjournal.Record) []bbrjournal.Record {
	out := append([]bbrjournal.Record(nil), records...)
	for i := range out {
		out[i].Nonce = "somebody"
	}
	return out
}

// append stores a record.
func (n *node) append(a bbrcontrol.Append) {
	n.w.store.call(n, func() any { return n.w.store.append(a.Record) }, func(v any, ok bool) {
		result := bbrcontrol.AppendUnknown
		if r, _ := v.(bbrcontrol.AppendResult); ok {
			result = r
		}
		n.step(bbrcontrol.Appended{Record: a.Record, Result: result})
	})
}

// exchange calls a peer.
func (n *node) exchange(a bbrcontrol.Exchange) {
	w := n.w
	sentAt := n.clock()
	var peer *node
	for _, other := range w.nodes {
		if other.name == a.To.Address {
			peer = other
		}
	}
	w.callNode(n, peer, func() bbrcontrol.Message { return a.Message }, func(reply bbrcontrol.Message, ok bool) {
		if !ok {
			n.step(bbrcontrol.ExchangeFailed{To: a.To.ID})
			return
		}
		n.step(bbrcontrol.ExchangeReplied{To: a.To.ID, SentAt: sentAt, Reply: reply})
	})
}

// callNode sends a message to a peer. A paused peer answers when it goes on.
func (w *World) callNode(from, to *node, request func() bbrcontrol.Message, reply func(m bbrcontrol.Message, ok bool)) {
	incarnation := from.incarnation
	answered := false
	finish := func(m bbrcontrol.Message, ok bool) {
		if answered {
			return
		}
		answered = true
		from.run(incarnation, func() { reply(m, ok) })
	}
	w.after(callTimeout, func() { finish(bbrcontrol.Message{}, false) })
	deliver := func() {
		if to == nil || w.isCut(from.name, to.name) {
			return
		}
		target := to.incarnation
		w.after(w.delay(), func() {
			to.run(target, func() {
				m := request()
				answer, actions := to.control.HandleExchange(to.clock(), m)
				to.publish()
				for _, a := range actions {
					to.carryOut(a)
				}
				if !w.isCut(to.name, from.name) {
					w.after(w.delay(), func() { finish(answer, true) })
				}
			})
		})
	}
	deliver()
	if !w.calm && w.r.IntN(50) == 0 {
		deliver()
	}
}

// memberCall runs something on a member. A member that is down refuses, one
// behind a cut link is silent.
func (n *node) memberCall(ref bbrmember.Ref, timeout time.Duration, op func(m *fakeMember) any, reply func(v any, kind bbrmember.FailureKind)) {
	m := n.w.groups[ref.Group].members[ref.Member]
	type refusal struct{}
	n.w.call(n, m.end, false, timeout, func() (any, bool) {
		if !m.up {
			return refusal{}, true
		}
		return op(m), true
	}, func(v any, ok bool) {
		if _, refused := v.(refusal); refused {
			reply(nil, bbrmember.FailureRefused)
			return
		}
		if !ok {
			reply(nil, bbrmember.FailureNoResponse)
			return
		}
		reply(v, bbrmember.FailureNone)
	})
}

func (n *node) probe(a bbrcontrol.Probe) {
	sentAt := n.clock()
	n.memberCall(a.Ref, a.Timeout, func(m *fakeMember) any { return m.state() }, func(v any, kind bbrmember.FailureKind) {
		if kind != bbrmember.FailureNone {
			n.step(bbrcontrol.MemberFailed{Ref: a.Ref, Kind: kind, Probed: true, SentAt: sentAt})
			return
		}
		if st, ok := v.(bbrmember.State); ok {
			n.observe(a.Ref, st, sentAt)
			n.step(bbrcontrol.MemberAnswered{Ref: a.Ref, SentAt: sentAt, State: &st, Probed: true})
		}
	})
}

// observe passes a member's state to the routing of reads.
func (n *node) observe(ref bbrmember.Ref, st bbrmember.State, asOf bbrtype.Mono) {
	if g := n.view.Group(ref.Group); g != nil {
		n.trackers[ref.Group].Observe(g, ref.Member, st, asOf, n.view.AuthorityUntil > asOf)
	}
}

func (n *node) promote(a bbrcontrol.Promote) {
	type states struct{ before, after bbrmember.State }
	n.memberCall(a.Ref, a.Timeout, func(m *fakeMember) any {
		s := states{before: m.state()}
		if !s.before.Primary {
			m.promote(a.Term)
		}
		s.after = m.state()
		return s
	}, func(v any, _ bbrmember.FailureKind) {
		s, ok := v.(states)
		n.step(bbrcontrol.PromotionFinished{Ref: a.Ref, Term: a.Term, Before: s.before, After: s.after, Failed: !ok || !s.after.Primary})
	})
}

func (n *node) follow(a bbrcontrol.Follow) {
	target := n.w.groups[a.Ref.Group].members[a.Primary]
	n.memberCall(a.Ref, callTimeout, func(m *fakeMember) any { return m.follow(target, a.Term) }, func(any, bbrmember.FailureKind) {})
}

// applied brings the newest configuration into force and checks that none goes
// back.
func (n *node) applied() {
	v, ok := n.control.State().CurrentConfig()
	if !ok {
		return
	}
	if v.Version < n.version {
		n.w.fail(PromiseConfiguration, "%s went back from version %d to %d", n.name, n.version, v.Version)
	}
	if v.Version == n.version {
		return
	}
	n.version = v.Version
	incarnation := n.incarnation
	n.w.after(n.w.delay(), func() {
		n.run(incarnation, func() {
			n.control.SetConfigVersion(v.Version)
			policies := map[bbrtype.GroupName]bbrfailover.Policy{}
			for name := range n.w.groups {
				policies[name] = n.w.policy()
			}
			n.step(bbrcontrol.PoliciesChanged{Policies: policies})
		})
	})
}
