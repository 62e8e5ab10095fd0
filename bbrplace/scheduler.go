// Package bbrplace schedules the statements of one group: it decides which member
// serves a statement, which statements wait in a queue, and which are rejected.
// The package is pure: it holds no lock and reads no clock.
//
// Its inputs are the members with their roles and limits, the statements with
// their requirements, and the replies and errors of the members. Each member has a
// capacity: the number of statements that this instance may have in flight at the
// member. The capacity adapts to the latency of the member's replies. A statement
// is late if it can't be answered within its latency objective any more. The rules
// are:
//
//   - A read is sent to the member with the lowest cost among the primary and the
//     replicas that are expected to have applied the required log position. The
//     cost is the expected latency, with penalties for a member in another data
//     centre and for opening a connection. The cost of the primary is multiplied
//     by primaryCostFactor, to keep its capacity for statements that only the
//     primary can run.
//   - A statement for which no eligible member has capacity waits in a queue. The
//     queue is ordered by priority. Within a priority, statements that are not
//     late are scheduled before late ones, and shorter latency objectives before
//     longer ones.
//   - While all eligible members are saturated, late statements are rejected, so
//     that the caller can retry elsewhere.
//
// # Usage
//
//	var b bbrplace.Board
//	b.SetMember(bbrplace.Member{ID: "m1", Primary: true, Limit: 3})
//	w := &bbrplace.Waiter{Want: want, Granted: func(id bbrtype.MemberName) { … }}
//	b.Ask(w, now)
//	…
//	b.Release("m1", now)
package bbrplace

import (
	"slices"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// initialLatency is the latency assumed of a member before its first reply.
	initialLatency = 20 * time.Millisecond
	// remotePenalty is added to the cost of a member in another data centre, beyond
	// the higher latency, because traffic between data centres is expensive.
	remotePenalty = 4 * time.Millisecond
	// connectPenalty is added to the cost of a member to which a connection would
	// have to be opened, because the member spends capacity on opening it.
	connectPenalty = 14 * time.Millisecond
	// primaryCostFactor multiplies the cost of the primary for statements that replicas
	// can run.
	primaryCostFactor = 1.6
	// lagPause is how long a replica that rejected a read at a log position gets no
	// reads at this or a later position. The pause doubles with each further
	// rejection.
	lagPause = 100 * time.Millisecond
	// maxLagDoublings limits the number of doublings of lagPause.
	maxLagDoublings = 3
	// connRefusedPause is how long a member is paused after it refused a connection
	// while this instance had no open connection to it. The pause doubles with each
	// further refusal.
	connRefusedPause = 120 * time.Millisecond
	// maxConnRefusedDoublings limits the number of doublings of connRefusedPause.
	maxConnRefusedDoublings = 1
	// busyPause is how long a member is paused after it rejected a statement because
	// the member was busy.
	busyPause = 30 * time.Millisecond
	// noReplyPause is how long a member is paused after it did not reply.
	noReplyPause = 500 * time.Millisecond
	// connCapDuration is how long the capacity of a member that refused a connection
	// is capped at the number of connections that this instance had open then.
	connCapDuration = 1500 * time.Millisecond
	// minReplyTimeout is the lower bound of the reply timeout.
	minReplyTimeout = 350 * time.Millisecond
	// replyTimeoutFactor is the ratio of the reply timeout to the member's latency.
	replyTimeoutFactor = 8
	// latencySmoothing is the smoothing factor of the moving average of the latency.
	latencySmoothing = 0.15
)

// Member describes a member of the group.
type Member struct {
	ID      bbrtype.MemberName
	Primary bool
	// Near is set for a member in the data centre of this instance.
	Near bool
	// Leaving is set for a member that is being drained. A draining replica gets no
	// new reads. A draining primary is not excluded.
	Leaving bool
	// Limit is the base value of the adaptive limit of statements in flight. Most is
	// the upper bound to which the adaptive limit may rise, for an instance that has
	// more callers than others; a value below Limit counts as Limit.
	Limit, Most int
}

// memberState is a member with the state derived from its replies and errors.
type memberState struct {
	Member
	inFlight int
	// idleInTransaction is the number of connections of transactions that have no
	// statement in flight.
	idleInTransaction int
	// openConns is the number of connections of this instance to the member, unused
	// ones included.
	openConns int
	// latency is the moving average of the time to a reply.
	latency time.Duration
	// appliedPosition is the latest log position in a reply of the member.
	appliedPosition bbrmessage.Place
	// lagPosition and lagRejectedAt are the position and the time of the last read
	// that the replica rejected because it lagged. lagRejections counts these
	// rejections since the last reply.
	lagPosition   bbrmessage.Place
	lagRejectedAt bbrtype.Mono
	lagRejections int
	// connRefusals counts the connections that the member refused since its last
	// reply, while this instance had no open connection to it.
	connRefusals int
	// connRefusedSince is the time of the first refusal in connRefusals.
	connRefusedSince bbrtype.Mono
	pausedUntil      bbrtype.Mono
	// connCap limits the number of connections until connCapUntil.
	connCap      int
	connCapUntil bbrtype.Mono
	adaptiveLimit
	// saturatedSince is when a grant used up the capacity, 0 if the member has had
	// free capacity since.
	saturatedSince bbrtype.Mono
}

// Board schedules the statements of this instance on the members of a group. The
// zero value has no members and an empty queue.
type Board struct {
	members map[bbrtype.MemberName]*memberState
	// queue holds the waiting statements in the order of compareWaiters.
	queue []*Waiter
	// seq is the sequence number of the newest statement in the queue.
	seq uint64
	// lastLateGrant is when a member was last granted to a late statement.
	lastLateGrant bbrtype.Mono
}

// SetMember adds or updates a member. The member's adaptive limit is reset if its
// configured limits have changed.
func (b *Board) SetMember(m Member) {
	if b.members == nil {
		b.members = map[bbrtype.MemberName]*memberState{}
	}
	s := b.members[m.ID]
	if s == nil {
		s = &memberState{latency: initialLatency}
		s.adaptiveLimit.reset(m)
		b.members[m.ID] = s
	}
	if s.Limit != m.Limit || s.Most != m.Most {
		s.adaptiveLimit.reset(m)
	}
	s.Member = m
}

// Forget removes a member.
func (b *Board) Forget(id bbrtype.MemberName) { delete(b.members, id) }

// pick returns the member with the lowest cost among those that are available for
// a statement and have capacity, nil if there is no such member.
func (b *Board) pick(w *Want, now bbrtype.Mono) *memberState {
	var best *memberState
	var bestCost time.Duration
	for _, s := range b.members {
		if !s.isAvailable(w, now) || !s.hasCapacity(now) {
			continue
		}
		cost := s.cost(w)
		if best == nil || cost < bestCost || cost == bestCost && s.ID < best.ID {
			best, bestCost = s, cost
		}
	}
	return best
}

// isAvailable reports whether the member is eligible for a statement and not paused.
// A pause does not apply to statements that no other member can run.
func (s *memberState) isAvailable(w *Want, now bbrtype.Mono) bool {
	if w.Only == "" && !w.PrimaryOnly && now < s.pausedUntil {
		return false
	}
	return s.isEligible(w, now)
}

// isEligible reports whether the member may serve a statement, ignoring pauses.
func (s *memberState) isEligible(w *Want, now bbrtype.Mono) bool {
	if w.Only != "" {
		return s.ID == w.Only
	}
	if w.PrimaryOnly {
		return s.Primary
	}
	if slices.Contains(w.Avoid, s.ID) {
		return false
	}
	if s.Primary {
		return true
	}
	return !s.Leaving && s.mayHaveApplied(w.Floor, now)
}

// hasCapacity reports whether another statement may be sent to the member.
func (s *memberState) hasCapacity(now bbrtype.Mono) bool {
	return s.inFlight < s.capacity(now)
}

// capacity returns the maximum number of statements in flight at the member: the
// lower of the adaptive limit and the number of connections that are not idle in a
// transaction.
func (s *memberState) capacity(now bbrtype.Mono) int {
	connections := max(s.Limit, s.Most)
	if now < s.connCapUntil {
		connections = min(connections, s.connCap)
	}
	return max(0, min(s.adaptiveLimit.value(), connections-s.idleInTransaction))
}

// mayHaveApplied reports whether a replica is expected to have applied a log
// position. It is true until the replica rejects a read because it lags. After
// that, the replica gets reads at the rejected position or a later one only after a
// pause, or when a reply shows that it has applied the position.
func (s *memberState) mayHaveApplied(position bbrmessage.Place, now bbrtype.Mono) bool {
	if !s.appliedPosition.IsBefore(position) {
		return true
	}
	if s.lagPosition.IsZero() || position.IsBefore(s.lagPosition) {
		return true
	}
	return now.Sub(s.lagRejectedAt) > lagPause<<max(0, min(s.lagRejections-1, maxLagDoublings))
}

// cost returns the expected latency of a statement at the member, with penalties
// for the primary, for another data centre and for opening a connection.
func (s *memberState) cost(w *Want) time.Duration {
	cost := s.latency * time.Duration(1+s.inFlight)
	if s.Primary && !w.PrimaryOnly {
		cost = time.Duration(float64(cost) * primaryCostFactor)
	}
	if !s.Near {
		cost += remotePenalty
	}
	if s.openConns <= s.inFlight+s.idleInTransaction {
		cost += connectPenalty
	}
	return cost
}

// SetOpen sets the number of open connections of this instance to a member, unused
// ones included.
func (b *Board) SetOpen(id bbrtype.MemberName, n int) {
	if s := b.members[id]; s != nil {
		s.openConns = n
	}
}

// Patience returns the reply timeout of a member: the time after which a reply
// counts as lost. The timeout grows with the member's latency, so that a slow or
// loaded member gets more time.
func (b *Board) Patience(id bbrtype.MemberName) time.Duration {
	s := b.members[id]
	if s == nil {
		return minReplyTimeout
	}
	return max(minReplyTimeout, replyTimeoutFactor*s.latency)
}

// Answered records the latency of a member's reply and the applied log position in
// the reply.
func (b *Board) Answered(id bbrtype.MemberName, latency time.Duration, applied bbrmessage.Place, now bbrtype.Mono) {
	s := b.members[id]
	if s == nil {
		return
	}
	s.lagRejections, s.connRefusals = 0, 0
	s.latency += time.Duration(latencySmoothing * float64(latency-s.latency))
	s.adaptiveLimit.recordLatency(s.latency, now)
	s.appliedPosition = bbrmessage.Latest(s.appliedPosition, applied)
}

// Refused records that a replica rejected a read because it lags: it has not applied
// the log position that the read requires.
func (b *Board) Refused(id bbrtype.MemberName, position bbrmessage.Place, now bbrtype.Mono) {
	if s := b.members[id]; s != nil {
		s.lagPosition, s.lagRejectedAt = position, now
		s.lagRejections++
	}
}

// TurnedAway records that a member rejected a statement because the member was busy.
func (b *Board) TurnedAway(id bbrtype.MemberName, now bbrtype.Mono) {
	if s := b.members[id]; s != nil {
		s.pausedUntil = now.Add(busyPause)
	}
}

// Full records that a member refused a connection because it has reached its
// connection limit. openConns is the number of connections that this instance has
// open to the member. If openConns is 0, the member is paused and the length of the
// pause is returned: Dispatch must be called after the pause, because there is no
// statement in flight whose Release would call it. Otherwise 0 is returned.
func (b *Board) Full(id bbrtype.MemberName, openConns int, now bbrtype.Mono) time.Duration {
	s := b.members[id]
	if s == nil {
		return 0
	}
	s.connCap, s.connCapUntil = openConns, now.Add(connCapDuration)
	if openConns == 0 {
		pause := connRefusedPause << min(s.connRefusals, maxConnRefusedDoublings)
		if s.connRefusals == 0 {
			s.connRefusedSince = now
		}
		s.connRefusals++
		s.connCapUntil = now.Add(pause)
		s.pausedUntil = now.Add(pause)
		return pause
	}
	return 0
}

// Failed records that a member did not reply.
func (b *Board) Failed(id bbrtype.MemberName, now bbrtype.Mono) {
	if s := b.members[id]; s != nil {
		s.pausedUntil = now.Add(noReplyPause)
	}
}

// Occupy counts a statement as in flight at a member whether or not the member has
// capacity. It is for statements that must not wait in the queue, such as status
// queries.
func (b *Board) Occupy(id bbrtype.MemberName) {
	if s := b.members[id]; s != nil {
		s.inFlight++
	}
}

// Rest records that a transaction is idle: it keeps its connection to the member but
// has no statement in flight. The capacity used by its last statement is released.
func (b *Board) Rest(id bbrtype.MemberName, now bbrtype.Mono) {
	if s := b.members[id]; s != nil {
		s.idleInTransaction++
	}
	b.Release(id, now)
}

// Wake records that an idle transaction sends its next statement. The statement never
// waits for capacity, because this could deadlock: statements in flight may wait for
// locks of the transaction.
func (b *Board) Wake(id bbrtype.MemberName) {
	if s := b.members[id]; s != nil {
		s.idleInTransaction = max(0, s.idleInTransaction-1)
	}
	b.Occupy(id)
}
