// Package bbrroute chooses the member that serves a read. A replica may serve
// it if its data is part of the group's present history, includes all that the
// caller has seen, and is not older than the read policy allows. Among those,
// the less loaded of two random ones is taken.
//
// The age of data follows from samples of the primary's position: data at a
// position is at most as old as the latest sample at or before it.
//
// A Tracker is safe for concurrent use. It reads no clock.
//
// # Usage
//
//	t := bbrroute.NewTracker(rand.Uint64)
//	t.Observe(group, "m2", state, sentAt)
//	d := t.Choose(now, group, bbrroute.Request{MaxAge: 10 * time.Second})
package bbrroute

import (
	"sync"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// smoothing is the weight of a new value in a moving average.
	smoothing = 0.1
	// avoidFor is how long a member is avoided after a failure.
	avoidFor = 500 * time.Millisecond
	// rampFor is the time in which a member that became eligible again takes
	// up its full share.
	rampFor = 2 * time.Second
	// gapForRamp is the time without eligibility after which a member ramps
	// up.
	gapForRamp = time.Second
	// farPenalty is what a member in another data centre costs, as a factor.
	farPenalty = 2
	// defaultLatency stands for the latency of a member without experience.
	defaultLatency = time.Millisecond
)

// Request is what a read needs.
type Request struct {
	// Term and Position are what the caller has seen. A Term of 0 has seen
	// nothing.
	Term     bbrtype.Term
	Position bbrtype.Position
	// SeenAt is when the caller saw it, 0 if unknown.
	SeenAt bbrtype.Mono
	// MaxAge is the highest age of the data.
	MaxAge time.Duration
	// CatchUpWait bounds the wait for a replica.
	CatchUpWait time.Duration
	// PrimaryDelay is the expected wait at the primary.
	PrimaryDelay time.Duration
	// PrimaryOnly keeps the read from replicas.
	PrimaryOnly bool
	// Avoid are members that failed the same read before.
	Avoid []bbrtype.MemberName
}

// IsKept reports whether the group's present history includes what the caller
// has seen. Positions of different histories can't be compared.
func (r Request) IsKept(g *bbrjournal.Group) bool {
	return r.Term == 0 || g.Fate(r.Term, r.Position) == bbrjournal.FateKept
}

// Target tells where a read goes.
type Target string

// The targets. TargetWait means that a replica is about to catch up.
const (
	TargetReplica Target = "replica"
	TargetPrimary Target = "primary"
	TargetWait    Target = "wait"
)

// Decision is the choice for a read.
type Decision struct {
	Target Target
	Member bbrtype.MemberName
	// For is how long to wait before the next choice.
	For time.Duration
}

// track is what is known of one member.
type track struct {
	state   bbrmember.State
	known   bool
	lag     time.Duration
	latency time.Duration
	// inFlight are the statements at work, waiting those before them.
	inFlight   int
	waiting    int
	avoidUntil bbrtype.Mono
	// eligibleAt is when the member was last eligible, rampFrom when it
	// became so again.
	eligibleAt bbrtype.Mono
	rampFrom   bbrtype.Mono
}

// Tracker keeps what is known of a group's members.
type Tracker struct {
	random func() uint64

	mu      sync.Mutex
	members map[bbrtype.MemberName]*track
	samples samples
	// history is the one that the samples belong to.
	history bbrtype.History
	near    map[bbrtype.MemberName]bool
}

// NewTracker returns a tracker that draws from the given random numbers.
func NewTracker(random func() uint64) *Tracker {
	return &Tracker{random: random, members: map[bbrtype.MemberName]*track{}}
}

// SetNear names the members in the instance's own data centre.
func (t *Tracker) SetNear(near map[bbrtype.MemberName]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.near = near
}

func (t *Tracker) of(m bbrtype.MemberName) *track {
	tr := t.members[m]
	if tr == nil {
		tr = &track{}
		t.members[m] = tr
	}
	return tr
}

// Observe takes a member's state. asOf is a time at or before its reading, 0 if
// unknown. A state of the primary becomes a sample only if the primary was
// known to be one at asOf, which the caller tells by authority.
func (t *Tracker) Observe(g *bbrjournal.Group, m bbrtype.MemberName, st bbrmember.State, asOf bbrtype.Mono, authority bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.of(m)
	if tr.known && tr.state.History == st.History && tr.state.Primary == st.Primary {
		st.Position = max(st.Position, tr.state.Position)
		st.Received = max(st.Received, tr.state.Received)
	}
	tr.state, tr.known = st, true
	l, ok := g.Primary()
	if !ok {
		return
	}
	if l.History != t.history {
		t.history = l.History
		t.samples.reset()
	}
	if m == l.Member {
		if st.Primary && st.History == l.History && authority && asOf != 0 {
			t.samples.add(asOf, st.Position)
		}
		return
	}
	if shared, ok := g.Shared(st.History, st.Position); ok && asOf != 0 {
		if passed, ok := t.samples.passedAbout(shared); ok {
			lag := max(0, asOf.Sub(passed))
			tr.lag += time.Duration(smoothing * float64(lag-tr.lag))
		}
	}
}

// Copies returns the number of replicas that hold a position of the group's
// present history.
func (t *Tracker) Copies(g *bbrjournal.Group, p bbrtype.Position) int {
	primary, _ := g.Last()
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, m := range g.Members {
		tr := t.members[m]
		if tr == nil || !tr.known || m == primary.Member || tr.state.Primary || tr.state.History != primary.History {
			continue
		}
		if tr.state.Received >= p {
			n++
		}
	}
	return n
}

// Forget drops what is known of a member's state, because its connections
// broke: it may come back with other data.
func (t *Tracker) Forget(m bbrtype.MemberName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(m).known = false
}

// Waiting changes the number of statements that wait for a connection to a
// member.
func (t *Tracker) Waiting(m bbrtype.MemberName, by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(m).waiting += by
}

// Started counts a statement sent to a member.
func (t *Tracker) Started(m bbrtype.MemberName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(m).inFlight++
}

// Ended counts a statement answered by a member.
func (t *Tracker) Ended(m bbrtype.MemberName, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.of(m)
	tr.inFlight--
	if tr.latency == 0 {
		tr.latency = took
		return
	}
	tr.latency += time.Duration(smoothing * float64(took-tr.latency))
}

// Failed makes reads avoid a member for a while.
func (t *Tracker) Failed(now bbrtype.Mono, m bbrtype.MemberName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(m).avoidUntil = now.Add(avoidFor)
}

// AgeOf returns the age of a member's data. ok is false if it is unknown.
func (t *Tracker) AgeOf(now bbrtype.Mono, g *bbrjournal.Group, m bbrtype.MemberName) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.members[m]
	if tr == nil || !tr.known {
		return 0, false
	}
	return t.ageLocked(now, g, tr.state)
}

func (t *Tracker) ageLocked(now bbrtype.Mono, g *bbrjournal.Group, st bbrmember.State) (time.Duration, bool) {
	shared, ok := g.Shared(st.History, st.Position)
	if !ok {
		return 0, false
	}
	covered, ok := t.samples.coveredAt(shared)
	if !ok {
		return 0, false
	}
	return max(0, now.Sub(covered)), true
}

// LagOf returns the usual lag of a replica.
func (t *Tracker) LagOf(m bbrtype.MemberName) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.of(m).lag
}

// Serves reports whether a state, as read along with a read's answer, meets the
// request. The samples must cover it.
func (t *Tracker) Serves(now bbrtype.Mono, g *bbrjournal.Group, st bbrmember.State, r Request) bool {
	if st.Primary || st.Position < r.Position || !r.IsKept(g) || !g.Includes(st.History, st.Position) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	age, ok := t.ageLocked(now, g, st)
	return ok && age <= r.MaxAge
}

// IsPrimaryFresh reports whether an answer of the primary may be passed on. The
// member was known to be the primary until the end of the authority, and its
// data is as old as the request that read it. A maxAge of 0 asks for authority
// at this moment.
func IsPrimaryFresh(now, until, sentAt bbrtype.Mono, maxAge time.Duration) bool {
	if maxAge == 0 {
		return now < until
	}
	return now.Sub(min(sentAt, until)) <= maxAge
}

// Choose picks the member for a read.
func (t *Tracker) Choose(now bbrtype.Mono, g *bbrjournal.Group, r Request) Decision {
	primary, _ := g.Last()
	toPrimary := Decision{Target: TargetPrimary, Member: primary.Member}
	if r.PrimaryOnly || !r.IsKept(g) {
		return toPrimary
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var eligible [8]bbrtype.MemberName
	found := eligible[:0]
	soonest := time.Duration(-1)
	for _, m := range g.Members {
		if m == primary.Member || contains(r.Avoid, m) {
			continue
		}
		tr := t.of(m)
		if !tr.known || tr.state.Primary || now < tr.avoidUntil || !g.Includes(tr.state.History, tr.state.Position) {
			continue
		}
		age, ok := t.ageLocked(now, g, tr.state)
		if !ok || age > r.MaxAge {
			continue
		}
		if tr.state.Position >= r.Position {
			found = append(found, m)
			t.ramp(now, tr)
			continue
		}
		if expect := t.expect(now, tr, r); soonest < 0 || expect < soonest {
			soonest = expect
		}
	}
	if m, ok := t.pick(now, found); ok {
		return Decision{Target: TargetReplica, Member: m}
	}
	if soonest >= 0 && soonest <= max(r.CatchUpWait, r.PrimaryDelay) && r.CatchUpWait > 0 {
		return Decision{Target: TargetWait, For: soonest}
	}
	return toPrimary
}

// expect estimates how long a replica needs to show what the caller has seen.
func (t *Tracker) expect(now bbrtype.Mono, tr *track, r Request) time.Duration {
	since := time.Duration(0)
	if r.SeenAt != 0 {
		since = now.Sub(r.SeenAt)
	}
	return max(0, tr.lag-since)
}

// ramp notes when a member became eligible again after a longer pause.
func (t *Tracker) ramp(now bbrtype.Mono, tr *track) {
	if now.Sub(tr.eligibleAt) > gapForRamp {
		tr.rampFrom = now
	}
	tr.eligibleAt = now
}

// pick takes the better of two random members. A member that became eligible
// lately is taken with a chance that grows.
func (t *Tracker) pick(now bbrtype.Mono, found []bbrtype.MemberName) (bbrtype.MemberName, bool) {
	switch len(found) {
	case 0:
		return "", false
	case 1:
		return found[0], true
	}
	i := int(t.random() % uint64(len(found)))
	j := int(t.random() % uint64(len(found)-1))
	if j >= i {
		j++
	}
	a, b := t.of(found[i]), t.of(found[j])
	if t.cost(now, found[j], b) < t.cost(now, found[i], a) {
		return found[j], true
	}
	return found[i], true
}

// cost is the expected work before a member answers.
func (t *Tracker) cost(now bbrtype.Mono, m bbrtype.MemberName, tr *track) float64 {
	latency := tr.latency
	if latency == 0 {
		latency = defaultLatency
	}
	c := float64(latency) * float64(tr.inFlight+tr.waiting+1)
	if t.near != nil && !t.near[m] {
		c *= farPenalty
	}
	if since := now.Sub(tr.rampFrom); since < rampFor {
		c *= float64(rampFor) / float64(max(since, rampFor/16))
	}
	return c
}

func contains(list []bbrtype.MemberName, m bbrtype.MemberName) bool {
	for _, x := range list {
		if x == m {
			return true
		}
	}
	return false
}
