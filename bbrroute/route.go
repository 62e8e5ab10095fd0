// Package bbrroute chooses the member that serves a read. A replica is eligible
// if its data is part of the group's current history, includes the position that
// the caller has seen, and is no older than the read policy allows. If several
// replicas are eligible, two of them are drawn at random, and the one with the
// lower expected latency serves the read. If none is eligible, the read waits
// for a replica that is about to catch up, or goes to the primary.
//
// The age of a replica's data follows from samples of the primary's log position
// over time: data at a position is at most as old as the latest sample at or
// before that position.
//
// A Tracker is safe for concurrent use. It reads no clock; the time is an
// argument of its methods.
//
// # Usage
//
//	t := bbrroute.NewTracker(rand.Uint64)
//	t.Observe(group, "m2", state, sentAt, hasAuthority)
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
	// averageWeight is the weight of a new value in the moving averages of lag
	// and latency.
	averageWeight = 0.1
	// failureCooldown is how long reads avoid a member after a failure.
	failureCooldown = 500 * time.Millisecond
	// slowStartTime is the time over which the share of reads of a member that
	// became eligible again grows to its full size.
	slowStartTime = 2 * time.Second
	// slowStartGap is the time since a member was last found eligible after
	// which its share of reads grows from the start again.
	slowStartGap = time.Second
	// remotePenalty multiplies the cost of members in other data centres.
	remotePenalty = 2
	// initialLatency is the assumed latency of a member on which no statement
	// has ended yet.
	initialLatency = time.Millisecond
)

// Request states what a read requires of the member that serves it.
type Request struct {
	// Term and Position are the latest position that the caller has seen. A
	// Term of 0 means that the caller has seen none.
	Term     bbrtype.Term
	Position bbrtype.Position
	// SeenAt is when the caller saw that position, 0 if unknown.
	SeenAt bbrtype.Mono
	// MaxAge is the maximum age of the data.
	MaxAge time.Duration
	// CatchUpWait bounds the wait for a replica to catch up. At 0, the read does
	// not wait.
	CatchUpWait time.Duration
	// PrimaryDelay is the expected wait at the primary. A read may wait that
	// long for a replica, even if CatchUpWait is shorter.
	PrimaryDelay time.Duration
	// PrimaryOnly excludes all replicas.
	PrimaryOnly bool
	// Avoid lists the members on which the same read has failed before.
	Avoid []bbrtype.MemberName
}

// IsKept reports whether the group's current history includes the position that
// the caller has seen. If it does not, the position can't be compared with those
// of the members.
func (r Request) IsKept(g *bbrjournal.Group) bool {
	return r.Term == 0 || g.Fate(r.Term, r.Position) == bbrjournal.FateKept
}

// Target is the kind of member that a read is sent to.
type Target string

// The targets. TargetWait means that the read is not sent yet, because a replica
// is expected to catch up soon.
const (
	TargetReplica Target = "replica"
	TargetPrimary Target = "primary"
	TargetWait    Target = "wait"
)

// Decision is the result of Choose.
type Decision struct {
	Target Target
	Member bbrtype.MemberName
	// For is how long to wait before the next call of Choose, for TargetWait.
	For time.Duration
}

// memberStats is the last known state of one member and its load.
type memberStats struct {
	state bbrmember.State
	// known is set while state is valid.
	known bool
	// lag and latency are moving averages.
	lag     time.Duration
	latency time.Duration
	// inFlight counts the statements that were sent to the member and not
	// answered yet, waiting those that wait for a connection to it.
	inFlight   int
	waiting    int
	avoidUntil bbrtype.Mono
	// eligibleAt is when the member was last found eligible. slowStartAt is when
	// it became eligible after a gap of slowStartGap.
	eligibleAt  bbrtype.Mono
	slowStartAt bbrtype.Mono
}

// Tracker keeps the last known state and the load of each member of a group, and
// chooses the member for a read by them.
type Tracker struct {
	random func() uint64

	mu      sync.Mutex
	members map[bbrtype.MemberName]*memberStats
	samples samples
	// history is the history that the samples belong to.
	history bbrtype.History
	// local holds the members in the instance's own data centre.
	local map[bbrtype.MemberName]bool
}

// NewTracker returns a tracker that draws its random numbers from random.
func NewTracker(random func() uint64) *Tracker {
	return &Tracker{random: random, members: map[bbrtype.MemberName]*memberStats{}}
}

// SetNear sets which members are in the instance's own data centre.
func (t *Tracker) SetNear(local map[bbrtype.MemberName]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.local = local
}

// member returns the statistics of a member, created on first use. t.mu must be
// held.
func (t *Tracker) member(m bbrtype.MemberName) *memberStats {
	stats := t.members[m]
	if stats == nil {
		stats = &memberStats{}
		t.members[m] = stats
	}
	return stats
}

// Observe records a state that a member reported. asOf is a time at or before
// the member read its state, 0 if unknown. hasAuthority states whether the
// instance's authority covers asOf, so that the member which the journal names
// as the primary was certainly the primary then. Only in that case is a state of
// the primary added to the samples.
func (t *Tracker) Observe(g *bbrjournal.Group, m bbrtype.MemberName, st bbrmember.State, asOf bbrtype.Mono, hasAuthority bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.member(m)
	if stats.known && stats.state.History == st.History && stats.state.Primary == st.Primary {
		st.Position = max(st.Position, stats.state.Position)
		st.Received = max(st.Received, stats.state.Received)
	}
	stats.state, stats.known = st, true
	l, ok := g.Primary()
	if !ok {
		return
	}
	if l.History != t.history {
		t.history = l.History
		t.samples.reset()
	}
	if m == l.Member {
		if st.Primary && st.History == l.History && hasAuthority && asOf != 0 {
			t.samples.add(asOf, st.Position)
		}
		return
	}
	if shared, ok := g.Shared(st.History, st.Position); ok && asOf != 0 {
		if passedAt, ok := t.samples.estimatePassedAt(shared); ok {
			lag := max(0, asOf.Sub(passedAt))
			stats.lag += time.Duration(averageWeight * float64(lag-stats.lag))
		}
	}
}

// Copies returns the number of replicas that have received position p of the
// group's current history.
func (t *Tracker) Copies(g *bbrjournal.Group, p bbrtype.Position) int {
	primary, _ := g.Last()
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, m := range g.Members {
		stats := t.members[m]
		if stats == nil || !stats.known || m == primary.Member || stats.state.Primary || stats.state.History != primary.History {
			continue
		}
		if stats.state.Received >= p {
			n++
		}
	}
	return n
}

// Forget discards a member's state. It is called when connections to the member
// broke, because the member may come back with other data.
func (t *Tracker) Forget(m bbrtype.MemberName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.member(m).known = false
}

// Waiting adds by to the number of statements that wait for a connection to a
// member.
func (t *Tracker) Waiting(m bbrtype.MemberName, by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.member(m).waiting += by
}

// Started records that a statement was sent to a member.
func (t *Tracker) Started(m bbrtype.MemberName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.member(m).inFlight++
}

// Ended records that a member answered a statement, or that its connection
// broke, after the duration took.
func (t *Tracker) Ended(m bbrtype.MemberName, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.member(m)
	stats.inFlight--
	if stats.latency == 0 {
		stats.latency = took
		return
	}
	stats.latency += time.Duration(averageWeight * float64(took-stats.latency))
}

// Failed records a failure of a member. Reads avoid the member for
// failureCooldown.
func (t *Tracker) Failed(now bbrtype.Mono, m bbrtype.MemberName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.member(m).avoidUntil = now.Add(failureCooldown)
}

// AgeOf returns the maximum age of a member's data. ok is false if it is
// unknown.
func (t *Tracker) AgeOf(now bbrtype.Mono, g *bbrjournal.Group, m bbrtype.MemberName) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.members[m]
	if stats == nil || !stats.known {
		return 0, false
	}
	return t.ageLocked(now, g, stats.state)
}

// ageLocked returns the maximum age of the data of a member in state st. The second
// result is false if no sample bounds the age. t.mu must be held.
func (t *Tracker) ageLocked(now bbrtype.Mono, g *bbrjournal.Group, st bbrmember.State) (time.Duration, bool) {
	shared, ok := g.Shared(st.History, st.Position)
	if !ok {
		return 0, false
	}
	sampledAt, ok := t.samples.latestAtOrBefore(shared)
	if !ok {
		return 0, false
	}
	return max(0, now.Sub(sampledAt)), true
}

// LagOf returns the average replication lag of a replica.
func (t *Tracker) LagOf(m bbrtype.MemberName) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.member(m).lag
}

// Serves reports whether a replica that reported state st along with its answer
// to a read meets the request. It returns false if no sample is at or before
// the state's position, so that the age is unknown.
func (t *Tracker) Serves(now bbrtype.Mono, g *bbrjournal.Group, st bbrmember.State, r Request) bool {
	if st.Primary || st.Position < r.Position || !r.IsKept(g) || !g.Includes(st.History, st.Position) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	age, ok := t.ageLocked(now, g, st)
	return ok && age <= r.MaxAge
}

// IsPrimaryFresh reports whether an answer of the primary may be returned to the
// caller. until is the end of the instance's authority, up to which the member
// is certain to be the primary. The data is as old as the request that read it,
// sent at sentAt, or as until if that is earlier. A maxAge of 0 requires that
// the authority lasts at now.
func IsPrimaryFresh(now, until, sentAt bbrtype.Mono, maxAge time.Duration) bool {
	if maxAge == 0 {
		return now < until
	}
	return now.Sub(min(sentAt, until)) <= maxAge
}

// Choose decides which member serves a read.
func (t *Tracker) Choose(now bbrtype.Mono, g *bbrjournal.Group, r Request) Decision {
	primary, _ := g.Last()
	toPrimary := Decision{Target: TargetPrimary, Member: primary.Member}
	if r.PrimaryOnly || !r.IsKept(g) {
		return toPrimary
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var buf [8]bbrtype.MemberName
	eligible := buf[:0]
	shortestWait := time.Duration(-1)
	for _, m := range g.Members {
		if m == primary.Member || contains(r.Avoid, m) {
			continue
		}
		stats := t.member(m)
		if !stats.known || stats.state.Primary || now < stats.avoidUntil || !g.Includes(stats.state.History, stats.state.Position) {
			continue
		}
		age, ok := t.ageLocked(now, g, stats.state)
		if !ok || age > r.MaxAge {
			continue
		}
		if stats.state.Position >= r.Position {
			eligible = append(eligible, m)
			t.markEligible(now, stats)
			continue
		}
		if expectedWait := t.expectedWait(now, stats, r); shortestWait < 0 || expectedWait < shortestWait {
			shortestWait = expectedWait
		}
	}
	if m, ok := t.pickLessLoaded(now, eligible); ok {
		return Decision{Target: TargetReplica, Member: m}
	}
	if shortestWait >= 0 && shortestWait <= max(r.CatchUpWait, r.PrimaryDelay) && r.CatchUpWait > 0 {
		return Decision{Target: TargetWait, For: shortestWait}
	}
	return toPrimary
}

// expectedWait estimates how long a replica needs to reach the position that the
// caller has seen: its average lag, less the time since the caller saw the
// position.
func (t *Tracker) expectedWait(now bbrtype.Mono, stats *memberStats, r Request) time.Duration {
	since := time.Duration(0)
	if r.SeenAt != 0 {
		since = now.Sub(r.SeenAt)
	}
	return max(0, stats.lag-since)
}

// markEligible records that a member was found eligible. If it was last eligible
// more than slowStartGap ago, its share of reads grows from the start again.
func (t *Tracker) markEligible(now bbrtype.Mono, stats *memberStats) {
	if now.Sub(stats.eligibleAt) > slowStartGap {
		stats.slowStartAt = now
	}
	stats.eligibleAt = now
}

// pickLessLoaded draws two members at random and returns the one with the lower
// cost.
func (t *Tracker) pickLessLoaded(now bbrtype.Mono, eligible []bbrtype.MemberName) (bbrtype.MemberName, bool) {
	switch len(eligible) {
	case 0:
		return "", false
	case 1:
		return eligible[0], true
	}
	i := int(t.random() % uint64(len(eligible)))
	j := int(t.random() % uint64(len(eligible)-1))
	if j >= i {
		j++
	}
	a, b := t.member(eligible[i]), t.member(eligible[j])
	if t.cost(now, eligible[j], b) < t.cost(now, eligible[i], a) {
		return eligible[j], true
	}
	return eligible[i], true
}

// cost estimates how long a member takes to answer: its latency times the number
// of its statements. The cost is raised for members in other data centres, and
// for a member that became eligible again, by a factor that falls to 1 within
// slowStartTime.
func (t *Tracker) cost(now bbrtype.Mono, m bbrtype.MemberName, stats *memberStats) float64 {
	latency := stats.latency
	if latency == 0 {
		latency = initialLatency
	}
	c := float64(latency) * float64(stats.inFlight+stats.waiting+1)
	if t.local != nil && !t.local[m] {
		c *= remotePenalty
	}
	if since := now.Sub(stats.slowStartAt); since < slowStartTime {
		c *= float64(slowStartTime) / float64(max(since, slowStartTime/16))
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
