package bbrfuzz

import (
	"fmt"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	FaultCut         FaultKind = "cut"
	FaultCutOneWay   FaultKind = "cutOneWay"
	FaultIsolate     FaultKind = "isolate"
	FaultPause       FaultKind = "pause"
	FaultKillNode    FaultKind = "killNode"
	FaultLeave       FaultKind = "leave"
	FaultKillMember  FaultKind = "killMember"
	FaultKillPrimary FaultKind = "killPrimary"
	FaultCutPrimary  FaultKind = "cutPrimary"
	FaultStoreDown   FaultKind = "storeDown"
	FaultStoreSlow   FaultKind = "storeSlow"
	FaultLoseReplies FaultKind = "loseReplies"
	FaultLag         FaultKind = "lag"
	// FaultCutStore cuts one instance from the store only.
	FaultCutStore FaultKind = "cutStore"
	// FaultSplit leaves one instance and a primary to themselves, with the
	// store in reach.
	FaultSplit FaultKind = "split"
	// FaultCutPeers cuts one instance from all others only.
	FaultCutPeers FaultKind = "cutPeers"
)

// FaultKinds lists all kinds.
var FaultKinds = []FaultKind{
	FaultCut, FaultCutOneWay, FaultIsolate, FaultPause, FaultKillNode, FaultLeave, FaultKillMember, FaultKillPrimary,
	FaultCutPrimary, FaultStoreDown, FaultStoreSlow, FaultLoseReplies, FaultLag, FaultCutStore,
	FaultSplit, FaultCutPeers,
}

// Fault is one fault of a schedule. A and B pick what it strikes.
type Fault struct {
	Kind FaultKind
	// After is the time since the fault before it.
	After time.Duration
	For   time.Duration
	A, B  int
}

// scheduleFaults plans rounds: a time of faults, then calm with a check.
func (w *World) scheduleFaults() {
	at := 5 * time.Second
	if len(w.opts.Schedule) > 0 {
		for _, f := range w.opts.Schedule {
			at += f.After
			w.after(at, func() { w.strike(f) })
		}
		return
	}
	w.after(at, func() { w.round(w.now + roundLength) })
}

// round strikes random faults until a time, and then lets things calm down.
func (w *World) round(until time.Duration) {
	if w.now >= until {
		w.beginCalm()
		return
	}
	kinds := w.opts.Kinds
	if len(kinds) == 0 {
		kinds = FaultKinds
	}
	f := Fault{
		Kind: kinds[w.r.IntN(len(kinds))],
		For:  time.Duration(w.r.Int64N(int64(12*time.Second))) + 100*time.Millisecond,
		A:    w.r.IntN(1000), B: w.r.IntN(1000),
	}
	w.strike(f)
	gap := w.r.ExpFloat64() * float64(time.Minute) / w.opts.Faults
	w.after(time.Duration(gap), func() { w.round(until) })
}

// beginCalm ends all faults and checks after a while that all is well.
func (w *World) beginCalm() {
	if w.calm {
		return
	}
	w.note("calm")
	w.calm = true
	w.cuts = map[link]bool{}
	w.store.down, w.store.slow, w.store.loseReplies = false, 0, 0
	for _, g := range w.groups {
		for _, m := range g.members {
			m.up = true
			m.lag = 0
		}
	}
	for i, n := range w.nodes {
		n.pausedUntil = 0
		if !n.up {
			w.startNode(i)
		}
	}
	since := w.now
	w.after(calmLength, func() {
		w.oracle.checkCalm(since)
		w.calm = false
		w.calms++
		if len(w.opts.Schedule) == 0 {
			w.round(w.now + roundLength)
		}
	})
}

// ends lists all ends of links.
func (w *World) ends() []string {
	out := []string{storeName}
	for _, n := range w.nodes {
		out = append(out, n.name)
	}
	for i := range len(w.groups) {
		g := w.groups[bbrtype.GroupName(fmt.Sprintf("g%d", i+1))]
		for _, m := range g.order {
			out = append(out, g.members[m].end)
		}
	}
	return out
}

// strike begins a fault and schedules its end.
func (w *World) strike(f Fault) {
	if w.calm {
		return
	}
	w.note("fault %s %d %d for %v", f.Kind, f.A, f.B, f.For)
	ends := w.ends()
	a, b := ends[f.A%len(ends)], ends[f.B%len(ends)]
	n := w.nodes[f.A%len(w.nodes)]
	group := w.groups[bbrtype.GroupName(fmt.Sprintf("g%d", f.A%len(w.groups)+1))]
	member := group.members[group.order[f.B%len(group.order)]]
	switch f.Kind {
	case FaultCut:
		w.cut(f.For, link{a, b}, link{b, a})
	case FaultCutOneWay:
		w.cut(f.For, link{a, b})
	case FaultCutStore:
		w.cut(f.For, link{n.name, storeName}, link{storeName, n.name})
	case FaultCutPeers:
		w.cutPeers(f.For, n)
	case FaultSplit:
		w.split(f.For, n.name, w.oracle.present(group.name).end)
	case FaultIsolate:
		w.isolate(f.For, a)
	case FaultPause:
		n.pausedUntil = max(n.pausedUntil, w.now+f.For)
	case FaultKillNode:
		w.killNode(n, f.For)
	case FaultLeave:
		w.leave(n, f.For)
	case FaultKillMember:
		w.killMember(member, f.For)
	case FaultKillPrimary:
		w.killMember(w.oracle.present(group.name), f.For)
	case FaultCutPrimary:
		w.isolate(f.For, w.oracle.present(group.name).end)
	default:
		w.strikeStore(f, member)
	}
}

// strikeStore begins a fault of the store, or changes a replica's lag.
func (w *World) strikeStore(f Fault, member *fakeMember) {
	switch f.Kind {
	case FaultStoreDown:
		w.store.down = true
		w.after(3*f.For, func() { w.store.down = false })
	case FaultStoreSlow:
		w.store.slow = time.Duration(f.B) * time.Millisecond * 2
		w.after(f.For, func() { w.store.slow = 0 })
	case FaultLoseReplies:
		w.store.loseReplies = 50
		w.after(f.For, func() { w.store.loseReplies = 0 })
	case FaultLag:
		member.lag = time.Duration(f.A) * 10 * time.Millisecond
		w.after(2*f.For, func() { member.lag = 0 })
	}
}

// cut cuts links for a while.
func (w *World) cut(d time.Duration, links ...link) {
	for _, l := range links {
		w.cuts[l] = true
	}
	w.after(d, func() {
		for _, l := range links {
			delete(w.cuts, l)
		}
	})
}

// isolate cuts all links of an end.
func (w *World) isolate(d time.Duration, end string) {
	var links []link
	for _, other := range w.ends() {
		if other != end {
			links = append(links, link{end, other}, link{other, end})
		}
	}
	w.cut(d, links...)
}

// cutPeers cuts an instance from all others.
func (w *World) cutPeers(d time.Duration, n *node) {
	var links []link
	for _, other := range w.nodes {
		if other != n {
			links = append(links, link{n.name, other.name}, link{other.name, n.name})
		}
	}
	w.cut(d, links...)
}

// split cuts two ends from all others but the store.
func (w *World) split(d time.Duration, a, b string) {
	var links []link
	for _, other := range w.ends() {
		if other == a || other == b || other == storeName {
			continue
		}
		links = append(links, link{a, other}, link{other, a}, link{b, other}, link{other, b})
	}
	w.cut(d, links...)
}

func (w *World) killNode(n *node, d time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	incarnation := n.incarnation
	w.after(d, func() {
		if !n.up && n.incarnation == incarnation {
			w.startNode(n.number)
		}
	})
}

func (w *World) killMember(m *fakeMember, d time.Duration) {
	m.up = false
	m.epoch++
	w.after(d, func() { m.up = true })
}

// leave runs a planned stop: the steward's work goes first, then the callers,
// then the place in the journal.
func (w *World) leave(n *node, d time.Duration) {
	if !n.up || n.leaving {
		return
	}
	incarnation := n.incarnation
	n.run(incarnation, func() {
		n.leaving = true
		n.step(bbrcontrol.LeaveRequested{})
	})
	w.after(6*time.Second, func() {
		n.run(incarnation, func() {
			n.drained = true
			n.step(bbrcontrol.Drained{})
		})
	})
	w.after(12*time.Second+d, func() {
		if n.incarnation == incarnation {
			n.up = false
			w.startNode(n.number)
		}
	})
}
