// Package bbrroute chooses the member that serves a read. A replica is eligible
// if its data is part of the group's current history, includes the latest
// position that the caller has read or written, and is no older than the read
// policy allows. If several replicas are eligible, two of them are drawn at
// random, and the one with the lower cost, an expected latency, serves the read
// (power of two choices). If none is eligible, the read waits for a replica that
// is about to catch up, or goes to the primary.
//
// The age of a replica's data follows from samples of the primary's log position
// over time: data at a position is at most as old as the latest sample at or
// before that position.
//
// A Tracker is safe for concurrent use. It has no clock of its own: its methods
// take the time as an argument.
//
// # Usage
//
//	t := bbrroute.NewTracker(rand.Uint64)
//	t.Observe(group, "m2", state, sentAt, hasAuthority)
//	d := t.Choose(now, group, bbrroute.Requirements{MaxAge: 10 * time.Second})
package bbrroute

import (
	"sync"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// smoothingFactor is the weight of a new value in the exponential moving
	// averages of lag and latency.
	smoothingFactor = 0.1
	// failureCooldown is how long no reads are sent to a member after a
	// failure.
	failureCooldown = 500 * time.Millisecond
	// slowStartDuration is the duration of the slow start, in which a member
	// that became eligible again ramps up to its full share of reads.
	slowStartDuration = 2 * time.Second
	// slowStartIdleTime is how long a member must not have been found eligible
	// for its slow start to begin again.
	slowStartIdleTime = time.Second
	// remoteCostFactor multiplies the cost of members in other data centres.
	remoteCostFactor = 2
	// initialLatency is the assumed latency of a member before the first
	// statement has ended on it.
	initialLatency = time.Millisecond
)

// Requirements state what a read requires of the member that serves it.
type Requirements struct {
	// Term and Position are the latest position that the caller has read or
	// written. A Term of 0 means that there is none.
	Term     bbrtype.Term
	Position bbrtype.Position
	// SeenAt is when the caller reached that position, 0 if unknown.
	SeenAt bbrtype.Mono
	// MaxAge is the maximum age of the data. 0 requires current data, which in
	// general only the primary has.
	MaxAge time.Duration
	// CatchUpWait bounds the wait for a replica to catch up. At 0, the read does
	// not wait.
	CatchUpWait time.Duration
	// PrimaryWait is the expected time in the primary's queue. Unless
	// CatchUpWait is 0, a read may wait that long for a replica even if
	// CatchUpWait is shorter.
	PrimaryWait time.Duration
	// PrimaryOnly excludes all replicas.
	PrimaryOnly bool
	// Exclude lists the members on which the same read has failed before. They
	// must not serve it again.
	Exclude []bbrtype.MemberName
}

// IsPositionIncluded reports whether the group's current history includes the
// position that the caller has reached. If it does not, the position can't be
// compared with those of the members.
func (r Requirements) IsPositionIncluded(g *bbrjournal.Group) bool {
	return r.Term == 0 || g.PositionStatus(r.Term, r.Position) == bbrjournal.PositionIncluded
}

// Target is what Choose decides to do with a read: send it to a replica or to
// the primary, or let it wait.
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
	// RetryAfter is how long to wait before Choose is called again. It is set
	// for TargetWait only.
	RetryAfter time.Duration
}

// memberStats is the last known state of one member and its load.
type memberStats struct {
	state bbrmember.State
	// stateValid is set while state is known and has not been invalidated.
	stateValid bool
	// averageLag and averageLatency are exponential moving averages.
	averageLag     time.Duration
	averageLatency time.Duration
	// inFlight counts the statements that were sent to the member and are not
	// answered yet. queued counts the statements that wait for a connection to
	// the member.
	inFlight      int
	queued        int
	cooldownUntil bbrtype.Mono
	// lastEligibleAt is when the member was last found eligible. slowStartAt is
	// when its last slow start began.
	lastEligibleAt bbrtype.Mono
	slowStartAt    bbrtype.Mono
}

// Tracker keeps the last reported state and the load of each member of a
// group, and chooses the member that serves a read.
type Tracker struct {
	random func() uint64

	mu      sync.Mutex
	members map[bbrtype.MemberName]*memberStats
	samples samples
	// history is the history that the samples belong to.
	history bbrtype.History
	// localMembers is the set of members in the instance's own data centre.
	localMembers map[bbrtype.MemberName]bool
}

// NewTracker returns a tracker that draws its random numbers from random.
func NewTracker(random func() uint64) *Tracker {
	return &Tracker{random: random, members: map[bbrtype.MemberName]*memberStats{}}
}

// SetLocal sets which members are in the instance's own data centre.
func (t *Tracker) SetLocal(localMembers map[bbrtype.MemberName]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.localMembers = localMembers
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

// Observe records a state that a member reported. sentAt is when the request
// for the state was sent, so the state is at least as new; it is 0 if unknown.
// hasAuthority states whether the instance had authority (a valid lease) at
// sentAt. Only then was the primary named in the journal certainly still the
// primary, and only then is its state added to the samples.
func (t *Tracker) Observe(g *bbrjournal.Group, m bbrtype.MemberName, st bbrmember.State, sentAt bbrtype.Mono, hasAuthority bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.member(m)
	if stats.stateValid && stats.state.History == st.History && stats.state.Primary == st.Primary {
		st.Position = max(st.Position, stats.state.Position)
		st.Received = max(st.Received, stats.state.Received)
	}
	stats.state, stats.stateValid = st, true
	primary, ok := g.Primary()
	if !ok {
		return
	}
	if primary.History != t.history {
		t.history = primary.History
		t.samples.reset()
	}
	if m == primary.Member {
		if st.Primary && st.History == primary.History && hasAuthority && sentAt != 0 {
			t.samples.add(sentAt, st.Position)
		}
		return
	}
	if common, ok := g.CommonPosition(st.History, st.Position); ok && sentAt != 0 {
		if reachedAt, ok := t.samples.estimateReachedAt(common); ok {
			lag := max(0, sentAt.Sub(reachedAt))
			stats.averageLag += time.Duration(smoothingFactor * float64(lag-stats.averageLag))
		}
	}
}

// ReplicasAt returns the number of replicas that have received position p of
// the group's current history.
func (t *Tracker) ReplicasAt(g *bbrjournal.Group, p bbrtype.Position) int {
	primary, _ := g.LastPrimary()
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, m := range g.Members {
		stats := t.members[m]
		if stats == nil || !stats.stateValid || m == primary.Member || stats.state.Primary || stats.state.History != primary.History {
			continue
		}
		if stats.state.Received >= p {
			n++
		}
	}
	return n
}

// InvalidateState invalidates a member's state. It is called when connections
// to the member broke, because the member may have other data after a restart.
func (t *Tracker) InvalidateState(m bbrtype.MemberName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.member(m).stateValid = false
}

// AddWaiting adds delta to the number of statements that wait for a connection
// to a member.
func (t *Tracker) AddWaiting(m bbrtype.MemberName, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.member(m).queued += delta
}

// StatementStarted records that a statement was sent to a member.
func (t *Tracker) StatementStarted(m bbrtype.MemberName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.member(m).inFlight++
}

// StatementEnded records that a statement ended after the elapsed time, with
// an answer or because its connection broke.
func (t *Tracker) StatementEnded(m bbrtype.MemberName, elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.member(m)
	stats.inFlight--
	if stats.averageLatency == 0 {
		stats.averageLatency = elapsed
		return
	}
	stats.averageLatency += time.Duration(smoothingFactor * float64(elapsed-stats.averageLatency))
}

// MemberFailed records a failure of a member. No reads are sent to the member
// for failureCooldown.
func (t *Tracker) MemberFailed(now bbrtype.Mono, m bbrtype.MemberName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.member(m).cooldownUntil = now.Add(failureCooldown)
}

// DataAge returns an upper bound of the age of a member's data. ok is false if
// the age is unknown.
func (t *Tracker) DataAge(now bbrtype.Mono, g *bbrjournal.Group, m bbrtype.MemberName) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.members[m]
	if stats == nil || !stats.stateValid {
		return 0, false
	}
	return t.ageLocked(now, g, stats.state)
}

// ageLocked returns an upper bound of the age of the data of a member in state
// st. The second result is false if the age is unknown, because no recorded
// term has the member's history or because no sample is old enough. t.mu must
// be held.
func (t *Tracker) ageLocked(now bbrtype.Mono, g *bbrjournal.Group, st bbrmember.State) (time.Duration, bool) {
	common, ok := g.CommonPosition(st.History, st.Position)
	if !ok {
		return 0, false
	}
	sampledAt, ok := t.samples.latestTimeFor(common)
	if !ok {
		return 0, false
	}
	return max(0, now.Sub(sampledAt)), true
}

// AverageLag returns the average replication lag of a replica.
func (t *Tracker) AverageLag(m bbrtype.MemberName) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.member(m).averageLag
}

// Satisfies reports whether the answer of a replica to a read meets the
// requirements. st is the state that the replica reported with the answer. The
// result is false if the age of the data is unknown.
func (t *Tracker) Satisfies(now bbrtype.Mono, g *bbrjournal.Group, st bbrmember.State, r Requirements) bool {
	if st.Primary || st.Position < r.Position || !r.IsPositionIncluded(g) || !g.Includes(st.History, st.Position) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	age, ok := t.ageLocked(now, g, st)
	return ok && age <= r.MaxAge
}

// IsPrimaryReadFresh reports whether an answer of the primary may be returned
// to the caller. The age of the answer counts from sentAt, when the read was
// sent, or from authorityUntil if that is earlier, because the member is
// certain to have been the primary only up to the end of the instance's
// authority. If maxAge is 0, the instance must still have authority at now.
func IsPrimaryReadFresh(now, authorityUntil, sentAt bbrtype.Mono, maxAge time.Duration) bool {
	if maxAge == 0 {
		return now < authorityUntil
	}
	return now.Sub(min(sentAt, authorityUntil)) <= maxAge
}

// Choose decides which member serves a read.
func (t *Tracker) Choose(now bbrtype.Mono, g *bbrjournal.Group, r Requirements) Decision {
	primary, _ := g.LastPrimary()
	toPrimary := Decision{Target: TargetPrimary, Member: primary.Member}
	if r.PrimaryOnly || !r.IsPositionIncluded(g) {
		return toPrimary
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var buf [8]bbrtype.MemberName
	eligible := buf[:0]
	shortestWait := time.Duration(-1)
	for _, m := range g.Members {
		if m == primary.Member || contains(r.Exclude, m) {
			continue
		}
		stats := t.member(m)
		if !stats.stateValid || stats.state.Primary || now < stats.cooldownUntil || !g.Includes(stats.state.History, stats.state.Position) {
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
	if m, ok := t.pickLowerCost(now, eligible); ok {
		return Decision{Target: TargetReplica, Member: m}
	}
	// A CatchUpWait of 0 forbids waiting, whatever the wait at the primary.
	if shortestWait >= 0 && shortestWait <= max(r.CatchUpWait, r.PrimaryWait) && r.CatchUpWait > 0 {
		return Decision{Target: TargetWait, RetryAfter: shortestWait}
	}
	return toPrimary
}

// expectedWait estimates how long a replica needs to reach the position that
// the caller has reached: its average lag, less the time since SeenAt.
func (t *Tracker) expectedWait(now bbrtype.Mono, stats *memberStats, r Requirements) time.Duration {
	sinceSeen := time.Duration(0)
	if r.SeenAt != 0 {
		sinceSeen = now.Sub(r.SeenAt)
	}
	return max(0, stats.averageLag-sinceSeen)
}

// markEligible records that a member was found eligible. If it was last found
// eligible more than slowStartIdleTime ago, its slow start begins.
func (t *Tracker) markEligible(now bbrtype.Mono, stats *memberStats) {
	if now.Sub(stats.lastEligibleAt) > slowStartIdleTime {
		stats.slowStartAt = now
	}
	stats.lastEligibleAt = now
}

// pickLowerCost draws two members at random and returns the one with the lower
// cost.
func (t *Tracker) pickLowerCost(now bbrtype.Mono, eligible []bbrtype.MemberName) (bbrtype.MemberName, bool) {
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

// cost estimates how long a member takes to answer: its average latency times
// the number of its statements, the new one included. The cost is multiplied
// by remoteCostFactor for members in other data centres, and during a slow
// start by a factor that falls from 16 to 1.
func (t *Tracker) cost(now bbrtype.Mono, m bbrtype.MemberName, stats *memberStats) float64 {
	averageLatency := stats.averageLatency
	if averageLatency == 0 {
		averageLatency = initialLatency
	}
	c := float64(averageLatency) * float64(stats.inFlight+stats.queued+1)
	if t.localMembers != nil && !t.localMembers[m] {
		c *= remoteCostFactor
	}
	if elapsed := now.Sub(stats.slowStartAt); elapsed < slowStartDuration {
		c *= float64(slowStartDuration) / float64(max(elapsed, slowStartDuration/16))
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
