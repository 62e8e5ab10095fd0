package bbrplace

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// The decisions in this file answer two loads: many instances that choose at the same
// moment from what they knew a moment ago, and members whose load moves.

const (
	// remotePenalty is added to the cost of a member in another data centre, beyond
	// the higher latency, because traffic between data centres is expensive.
	remotePenalty = 4 * time.Millisecond
	// connectPenalty is added to the cost of a member to which a connection would
	// have to be opened, because the member spends capacity on opening it.
	connectPenalty = 14 * time.Millisecond
	// primaryCostFactor multiplies the cost of the primary for statements that replicas
	// can run.
	primaryCostFactor = 1.6
	// minUnseenFraction is the least part of the other instances' statements whose members
	// are taken as unknown, however new the reports: the others have read them as well,
	// and choose at the same moment.
	minUnseenFraction = 0.5
	// latencyHalfLife is the age at which a member's latency counts half, beside the
	// lowest latency of the other members.
	latencyHalfLife = time.Second
)

// Sharing describes the instances that send statements to the same members.
type Sharing struct {
	// Instances is the number of instances, this one included. With 0 or 1, this
	// instance chooses as if it were alone.
	Instances int
	// Seed is the seed of this instance's random choices. It should differ between
	// instances.
	Seed uint64
}

// SetSharing sets the instances that send statements to the same members.
func (s *Scheduler) SetSharing(sharing Sharing) {
	if s.rng == nil || s.sharing.Seed != sharing.Seed {
		s.rng = rand.New(rand.NewPCG(sharing.Seed, sharing.Seed))
	}
	s.sharing = sharing
}

// isShared reports whether other instances send statements to the same members.
func (s *Scheduler) isShared() bool { return s.sharing.Instances > 1 }

// loadReport is what a member reported of its load.
type loadReport struct {
	// others is the number of statements of other instances that the member executed.
	others int
	at     bbrtype.Mono
}

// RecordLoad records that a member reported the number of statements that it was
// executing. sentAt is when the report was requested: the report is at least as new.
func (s *Scheduler) RecordLoad(id bbrtype.MemberName, active int, sentAt bbrtype.Mono) {
	m := s.members[id]
	if m == nil || sentAt < m.load.at {
		return
	}
	m.load = loadReport{others: max(0, active-m.inFlight), at: sentAt}
}

// estimate returns the number of other instances' statements that the member's last report
// shows at a later time. The report counts half when a usual statement has had the time to
// end, and the less the older it is.
func (m *memberState) estimate(now bbrtype.Mono) float64 {
	if m.load.others == 0 {
		return 0
	}
	return float64(m.load.others) * decay(now.Sub(m.load.at), m.latency)
}

// decay returns the weight of knowledge of an age: 1 if it is new, half of that after
// each half-life.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// candidate is a member that may get a statement.
type candidate struct {
	member *memberState
	// cost is the expected latency with penalties.
	cost float64
	// slope is how much each further statement in flight adds to the cost.
	slope float64
	// part is how many of the statements that other instances probably have in flight
	// are expected here.
	part float64
}

// pick returns the member for a statement among those that are available and have
// capacity, nil if there is no such member.
func (s *Scheduler) pick(r *Requirements, now bbrtype.Mono) *memberState {
	candidates := s.candidates(r, now)
	if len(candidates) == 0 {
		return nil
	}
	unseen := s.unseenStatements(candidates, now)
	if len(candidates) == 1 || unseen <= 0 {
		return candidates[0].member
	}
	distribute(candidates, unseen)
	return s.draw(candidates, unseen)
}

// candidates returns the members that may get a statement now, by rising cost.
func (s *Scheduler) candidates(r *Requirements, now bbrtype.Mono) []candidate {
	var out []candidate
	for _, m := range s.members {
		if m.isAvailable(r, now) && m.hasCapacity(now) && s.isAdmitted(m, r, now) {
			out = append(out, s.newCandidate(m, r, now))
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		switch {
		case a.cost < b.cost, a.cost == b.cost && a.member.ID < b.member.ID:
			return -1
		}
		return 1
	})
	return out
}

// newCandidate returns a member with its cost.
func (s *Scheduler) newCandidate(m *memberState, r *Requirements, now bbrtype.Mono) candidate {
	slope := float64(s.expectedLatency(m, now))
	if m.Primary && !r.PrimaryOnly {
		slope *= primaryCostFactor
	}
	c := candidate{member: m, slope: slope, cost: slope * float64(1+m.inFlight)}
	if s.isShared() {
		c.cost += slope * max(m.estimate(now), s.others()*m.pinnedInFlight())
	}
	if !m.SameDataCentre {
		c.cost += float64(remotePenalty)
	}
	if !m.hasConnection(r) {
		c.cost += float64(connectPenalty)
	}
	return c
}

// expectedLatency returns the latency of a member. Where members are shared, a latency
// that was not confirmed for long moves towards the lowest latency of all members, so
// that a member which was slow once is tried again.
func (s *Scheduler) expectedLatency(m *memberState, now bbrtype.Mono) time.Duration {
	if !s.isShared() || m.latencyAt == 0 {
		return m.latency
	}
	lowest := m.latency
	for _, o := range s.members {
		lowest = min(lowest, o.latency)
	}
	return lowest + time.Duration(float64(m.latency-lowest)*decay(now.Sub(m.latencyAt), latencyHalfLife))
}

// unseenStatements estimates how many statements the other instances have in flight
// at the candidates without this instance knowing where: each has as many as this one
// usually has, less those that the members' reports show.
func (s *Scheduler) unseenStatements(candidates []candidate, now bbrtype.Mono) float64 {
	own, seen := 0.0, 0.0
	for _, c := range candidates {
		own += c.member.usage.inFlight - c.member.pinnedInFlight()
		seen += c.member.estimate(now)
	}
	others := s.others() * own
	return max(others-seen, minUnseenFraction*others)
}

// others returns the number of other instances that send statements to the members.
func (s *Scheduler) others() float64 { return float64(max(0, s.sharing.Instances-1)) }

// distribute sets the parts of the candidates: n statements are divided so that the
// costs of all candidates that get some become equal. The candidates are ordered by
// cost.
func distribute(candidates []candidate, n float64) {
	level := levelOf(candidates, n)
	for i := range candidates {
		c := &candidates[i]
		c.part = max(0, level-c.cost) / c.slope
	}
}

// levelOf returns the cost that the cheapest candidates reach with n more statements.
func levelOf(candidates []candidate, n float64) float64 {
	level, weighted, rate := 0.0, 0.0, 0.0
	for i, c := range candidates {
		weighted += c.cost / c.slope
		rate += 1 / c.slope
		level = (n + weighted) / rate
		if i+1 == len(candidates) || level <= candidates[i+1].cost {
			break
		}
	}
	return level
}

// draw returns a candidate at random, in proportion to the parts, which add up to total.
func (s *Scheduler) draw(candidates []candidate, total float64) *memberState {
	x := s.rng.Float64() * total
	for _, c := range candidates {
		if x -= c.part; x < 0 {
			return c.member
		}
	}
	return candidates[0].member
}
