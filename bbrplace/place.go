// Package bbrplace schedules the statements of one group: it decides which member
// serves a statement, which statements wait in a queue, and which are rejected.
// The package is pure: it holds no lock and reads no clock.
//
// Its inputs are the members with their roles and limits, the statements with
// their requirements, and the replies and errors of the members. Each member has
// capacity for a number of statements of this instance in flight, which adapts to
// the latency of the member's replies. The rules are:
//
//   - A read is sent to the member with the lowest expected latency among the
//     replicas that are fresh enough and the primary. The expected latency of the
//     primary is raised, to keep its capacity for statements that only the primary
//     can run.
//   - A statement for which no eligible member has capacity waits in a queue. The
//     queue is ordered by priority. Within a priority, statements that can still
//     be answered in time are granted before late ones, and those with the
//     shorter latency objective are granted first.
//   - While all eligible members are saturated, statements that can't be answered
//     in time are rejected at once, so that the caller can retry elsewhere.
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
	// remotePenalty is added to the cost of a member in another data centre, because
	// traffic between data centres is expensive.
	remotePenalty = 4 * time.Millisecond
	// connectPenalty is added to the cost of a member to which a connection would
	// have to be opened, because the member spends capacity on opening it.
	connectPenalty = 14 * time.Millisecond
	// primaryFactor multiplies the cost of the primary for statements that replicas
	// can run.
	primaryFactor = 1.6
	// lagPause is how long a replica that lacked a position gets no statements that
	// need this position or a later one. The pause doubles with each further
	// rejection.
	lagPause = 100 * time.Millisecond
	// maxLagDoublings limits the number of doublings of lagPause.
	maxLagDoublings = 3
	// connRefusedPause is how long a member is paused that refused a connection while
	// this instance had none open to it. The pause doubles with each further refusal.
	connRefusedPause = 120 * time.Millisecond
	// maxConnRefusedDoublings limits the number of doublings of connRefusedPause.
	maxConnRefusedDoublings = 1
	// busyPause is how long a member that rejected a statement as busy is paused.
	busyPause = 30 * time.Millisecond
	// failurePause is how long a member that did not reply is paused.
	failurePause = 500 * time.Millisecond
	// connCapDuration is how long the capacity of a member that refused a connection
	// is capped at the number of connections that were open then.
	connCapDuration = 1500 * time.Millisecond
	// minReplyTimeout is the lower bound of the reply timeout, replyTimeoutFactor its
	// ratio to the member's latency.
	minReplyTimeout    = 350 * time.Millisecond
	replyTimeoutFactor = 8
	// latencyWeight is the weight of the newest reply in the moving average of the
	// latency.
	latencyWeight = 0.15
)

// Member describes a member of the group.
type Member struct {
	ID      bbrtype.MemberName
	Primary bool
	// Near is set for a member in the data centre of this instance.
	Near bool
	// Leaving is set for a member that is being drained. A draining replica gets no
	// new reads; a draining primary still serves what only the primary can run, and
	// reads that no replica can serve.
	Leaving bool
	// Limit is the base number of statements that this instance may have in flight at
	// the member. Most is the number for an instance that has more callers than
	// others; a value below Limit counts as Limit.
	Limit, Most int
}

// memberState is a member with what its replies and errors have shown.
type memberState struct {
	Member
	inFlight int
	// idleInTransaction is the number of connections held by transactions that have
	// no statement in flight.
	idleInTransaction int
	// openConns is the number of connections, in use or not.
	openConns int
	// latency is the moving average of the time to a reply.
	latency time.Duration
	// applied is the latest log position that a reply has shown.
	applied bbrmessage.Place
	// lagPosition is the position that the replica lacked at lagAt, lagRejections the
	// number of such rejections since the last reply.
	lagPosition   bbrmessage.Place
	lagAt         bbrtype.Mono
	lagRejections int
	// connRefusals counts the connections that were refused since the last reply,
	// while none was open.
	connRefusals int
	// connRefusedSince is when the first of them was refused.
	connRefusedSince bbrtype.Mono
	pausedUntil      bbrtype.Mono
	// connCap is an upper bound of the connections, in force until connCapUntil.
	connCap      int
	connCapUntil bbrtype.Mono
	adaptiveLimit
	// saturatedSince is when a grant took the last capacity, 0 if there has been
	// capacity since.
	saturatedSince bbrtype.Mono
}

// Board schedules the statements of this instance on the members of a group. The
// zero value has no members and an empty queue.
type Board struct {
	members map[bbrtype.MemberName]*memberState
	// waiting is the queue, in the order of compareWaiters.
	waiting []*Waiter
	// seq is the sequence number of the newest statement in the queue.
	seq uint64
	// lateGrantedAt is when a late statement was last granted a member.
	lateGrantedAt bbrtype.Mono
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

// pick returns the member with the lowest cost among those that may serve a
// statement and have capacity, nil if there is none.
func (b *Board) pick(w *Want, now bbrtype.Mono) *memberState {
	var best *memberState
	var bestCost time.Duration
	for _, s := range b.members {
		if !s.canServe(w, now) || !s.hasCapacity(now) {
			continue
		}
		cost := s.cost(w)
		if best == nil || cost < bestCost || cost == bestCost && s.ID < best.ID {
			best, bestCost = s, cost
		}
	}
	return best
}

// canServe reports whether the member is eligible for a statement and not paused.
// A pause does not apply to statements that no other member can run.
func (s *memberState) canServe(w *Want, now bbrtype.Mono) bool {
	if w.Only == "" && !w.PrimaryOnly && now < s.pausedUntil {
		return false
	}
	return s.isEligible(w, now)
}

// isEligible reports whether the member may serve a statement, pauses aside.
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
	return !s.Leaving && s.isFresh(w.Floor, now)
}

// hasCapacity reports whether another statement may be sent to the member.
func (s *memberState) hasCapacity(now bbrtype.Mono) bool {
	return s.inFlight < s.capacity(now)
}

// capacity is the number of statements that may be in flight at the member: the
// adaptive limit, or the number of connections that no idle transaction holds if
// it is lower.
func (s *memberState) capacity(now bbrtype.Mono) int {
	connections := max(s.Limit, s.Most)
	if now < s.connCapUntil {
		connections = min(connections, s.connCap)
	}
	return max(0, min(s.adaptiveLimit.value(), connections-s.idleInTransaction))
}

// isFresh reports whether a replica is expected to have applied a position. A
// replica whose position is unknown counts as fresh. Once it has rejected a
// position, it is tried again with this or a later one after a pause.
func (s *memberState) isFresh(floor bbrmessage.Place, now bbrtype.Mono) bool {
	if !s.applied.IsBefore(floor) {
		return true
	}
	if s.lagPosition.IsZero() || floor.IsBefore(s.lagPosition) {
		return true
	}
	return now.Sub(s.lagAt) > lagPause<<max(0, min(s.lagRejections-1, maxLagDoublings))
}

// cost is the expected latency of a statement at the member, weighted by what the
// member's capacity is worth to other statements.
func (s *memberState) cost(w *Want) time.Duration {
	cost := s.latency * time.Duration(1+s.inFlight)
	if s.Primary && !w.PrimaryOnly {
		cost = time.Duration(float64(cost) * primaryFactor)
	}
	if !s.Near {
		cost += remotePenalty
	}
	if s.openConns <= s.inFlight+s.idleInTransaction {
		cost += connectPenalty
	}
	return cost
}

// SetOpen sets the number of open connections to a member, in use or not.
func (b *Board) SetOpen(id bbrtype.MemberName, open int) {
	if s := b.members[id]; s != nil {
		s.openConns = open
	}
}

// Patience returns the reply timeout of a member: the time after which a reply
// counts as lost. It grows with the member's latency, so that a slow or loaded
// member gets more time.
func (b *Board) Patience(id bbrtype.MemberName) time.Duration {
	s := b.members[id]
	if s == nil {
		return minReplyTimeout
	}
	return max(minReplyTimeout, replyTimeoutFactor*s.latency)
}

// Answered records a reply of a member: its latency, and the log position that it
// showed.
func (b *Board) Answered(id bbrtype.MemberName, took time.Duration, applied bbrmessage.Place, now bbrtype.Mono) {
	s := b.members[id]
	if s == nil {
		return
	}
	s.lagRejections, s.connRefusals = 0, 0
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
	s.adaptiveLimit.recordLatency(s.latency, now)
	s.applied = bbrmessage.Latest(s.applied, applied)
}

// Refused records that a replica rejected a read because it has not applied the
// position floor.
func (b *Board) Refused(id bbrtype.MemberName, floor bbrmessage.Place, now bbrtype.Mono) {
	if s := b.members[id]; s != nil {
		s.lagPosition, s.lagAt = floor, now
		s.lagRejections++
	}
}

// TurnedAway records that a member rejected a statement as busy.
func (b *Board) TurnedAway(id bbrtype.MemberName, now bbrtype.Mono) {
	if s := b.members[id]; s != nil {
		s.pausedUntil = now.Add(busyPause)
	}
}

// Full records that a member refused a connection because it has too many. open is
// the number of connections that this instance has to it. If open is 0, the member
// is paused and Full returns the length of the pause: the caller must call Dispatch
// after it, because no statement is in flight whose end would do so.
func (b *Board) Full(id bbrtype.MemberName, open int, now bbrtype.Mono) time.Duration {
	s := b.members[id]
	if s == nil {
		return 0
	}
	s.connCap, s.connCapUntil = open, now.Add(connCapDuration)
	if open == 0 {
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
		s.pausedUntil = now.Add(failurePause)
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

// Rest records that a transaction holds its connection to a member but has no
// statement in flight. The statement's capacity is released.
func (b *Board) Rest(id bbrtype.MemberName, now bbrtype.Mono) {
	if s := b.members[id]; s != nil {
		s.idleInTransaction++
	}
	b.Release(id, now)
}

// Wake records that a transaction with an idle connection sends its next
// statement. The statement never waits for capacity, because other statements may
// wait for the locks that the transaction holds.
func (b *Board) Wake(id bbrtype.MemberName) {
	if s := b.members[id]; s != nil {
		s.idleInTransaction = max(0, s.idleInTransaction-1)
	}
	b.Occupy(id)
}
