// Package bbrplace decides which member of a group serves a statement, and who
// waits until one has room. The package is pure: it holds no lock and reads no
// clock.
//
// Each member has room for a number of statements of this instance. A read goes
// to the member with the least expected wait among those that are fresh enough;
// the primary is kept for what only it can do. Who finds no room waits for any
// member that may serve the statement: in order of priority, then those that can
// still be served in time, the one that is due first going first. While members
// have more work than they can do, who can't be served in time is turned away at
// once, so that the caller can try elsewhere.
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
	// usualAnswer is the expected time of an answer before one was seen.
	usualAnswer = 20 * time.Millisecond
	// otherDataCentre is what an answer from another data centre is taken to
	// cost beyond its time: bytes between data centres are dear.
	otherDataCentre = 4 * time.Millisecond
	// opening is what it costs to open a connection: the member spends a place on it.
	opening = 14 * time.Millisecond
	// primaryFactor raises the expected wait at the primary for work that
	// replicas can do.
	primaryFactor = 1.6
	// laggingPause is how long a replica is left out for positions that it refused.
	// The pause doubles with each further refusal.
	laggingPause = 100 * time.Millisecond
	// laggingDoublings bounds the growth of the pause.
	laggingDoublings = 3
	// noConnectionPause is how long a member that took no connection at all is left
	// out. The pause doubles with each further refusal.
	noConnectionPause = 120 * time.Millisecond
	// noConnectionDoublings bounds the growth of the pause.
	noConnectionDoublings = 1
	// busyPause is how long a member that turned work away is left out.
	busyPause = 30 * time.Millisecond
	// suspectPause is how long a member that did not answer is left out.
	suspectPause = 500 * time.Millisecond
	// fullPause is how long the number of statements at a member stays bounded by
	// the connections that it took, after it refused one.
	fullPause = 1500 * time.Millisecond
	// leastPatience and patienceFactor tell how long an answer may take before it
	// counts as lost: a time, and a multiple of the usual one.
	leastPatience  = 350 * time.Millisecond
	patienceFactor = 8
	// answerWeight is the weight of the newest answer in the moving average.
	answerWeight = 0.15
)

// Member is what the board knows of a member.
type Member struct {
	ID      bbrtype.MemberName
	Primary bool
	// Near is set for a member in the instance's own data centre.
	Near bool
	// Leaving members take no new work that others can do.
	Leaving bool
	// Limit is the number of statements that may usually be at work there at once,
	// Most the number for an instance that has more callers than others, 0 for no
	// more than Limit.
	Limit, Most int
}

// seat is a member with what its answers told.
type seat struct {
	Member
	inUse int
	// resting is the number of connections that transactions keep while nothing is
	// at work for them.
	resting int
	// open is the number of connections, used or not.
	open    int
	answer  time.Duration
	applied bbrmessage.Place
	// refused is the least position that it lacked at refusedAt.
	refused   bbrmessage.Place
	refusedAt bbrtype.Mono
	refusals  int
	// fulls counts the connections that it refused since its last answer, while none
	// was open.
	fulls int
	// refusingFrom is when the first of them was refused.
	refusingFrom bbrtype.Mono
	pausedTo     bbrtype.Mono
	// ceiling bounds the statements at work until ceilingTo.
	ceiling   int
	ceilingTo bbrtype.Mono
	pace
	// fullFrom is since when the member has had work for every place, 0 if it has
	// room.
	fullFrom bbrtype.Mono
}

// Board holds the members of a group and the statements that wait. The zero
// value is empty.
type Board struct {
	seats   map[bbrtype.MemberName]*seat
	waiting []*Waiter
	order   uint64
	// lateServedAt is when a late statement last got a member.
	lateServedAt bbrtype.Mono
}

// SetMember enters a member or changes it.
func (b *Board) SetMember(m Member) {
	if b.seats == nil {
		b.seats = map[bbrtype.MemberName]*seat{}
	}
	s := b.seats[m.ID]
	if s == nil {
		s = &seat{answer: usualAnswer}
		s.pace.reset(m)
		b.seats[m.ID] = s
	}
	if s.Limit != m.Limit || s.Most != m.Most {
		s.pace.reset(m)
	}
	s.Member = m
}

// Forget drops a member.
func (b *Board) Forget(id bbrtype.MemberName) { delete(b.seats, id) }

// pick returns the member with room and the least expected wait, nil if none of
// those that may serve has room.
func (b *Board) pick(w *Want, now bbrtype.Mono) *seat {
	var best *seat
	var bestCost time.Duration
	for _, s := range b.seats {
		if !s.canServe(w, now) || !s.hasRoom(now) {
			continue
		}
		cost := s.cost(w)
		if best == nil || cost < bestCost || cost == bestCost && s.ID < best.ID {
			best, bestCost = s, cost
		}
	}
	return best
}

// canServe reports whether a member may serve a statement now.
func (s *seat) canServe(w *Want, now bbrtype.Mono) bool {
	if w.Only == "" && !w.PrimaryOnly && now < s.pausedTo {
		return false
	}
	return s.isFor(w, now)
}

// isFor reports whether a member may serve a statement, once it does not rest.
func (s *seat) isFor(w *Want, now bbrtype.Mono) bool {
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

// hasRoom reports whether another statement may be sent to a member.
func (s *seat) hasRoom(now bbrtype.Mono) bool {
	return s.inUse < s.room(now)
}

// room is the number of statements that may be at work at a member at once: the
// pace, as far as there are connections that no transaction keeps.
func (s *seat) room(now bbrtype.Mono) int {
	connections := max(s.Limit, s.Most)
	if now < s.ceilingTo {
		connections = min(connections, s.ceiling)
	}
	return max(0, min(s.pace.room(), connections-s.resting))
}

// isFresh reports whether a replica is expected to have a position.
func (s *seat) isFresh(floor bbrmessage.Place, now bbrtype.Mono) bool {
	if !s.applied.IsBefore(floor) {
		return true
	}
	if s.refused.IsZero() || floor.IsBefore(s.refused) {
		return true
	}
	return now.Sub(s.refusedAt) > laggingPause<<max(0, min(s.refusals-1, laggingDoublings))
}

// cost is the expected wait at a member for a statement that it has room for.
func (s *seat) cost(w *Want) time.Duration {
	cost := s.answer * time.Duration(1+s.inUse)
	if s.Primary && !w.PrimaryOnly {
		cost = time.Duration(float64(cost) * primaryFactor)
	}
	if !s.Near {
		cost += otherDataCentre
	}
	if s.open <= s.inUse+s.resting {
		cost += opening
	}
	return cost
}

// SetOpen notes the number of connections to a member, used or not.
func (b *Board) SetOpen(id bbrtype.MemberName, open int) {
	if s := b.seats[id]; s != nil {
		s.open = open
	}
}

// Patience returns how long an answer of a member may take before it counts as
// lost. A member that is slow, or where work waits, gets more.
func (b *Board) Patience(id bbrtype.MemberName) time.Duration {
	s := b.seats[id]
	if s == nil {
		return leastPatience
	}
	return max(leastPatience, patienceFactor*s.answer)
}

// Answered notes an answer: how long it took, and the position it showed.
func (b *Board) Answered(id bbrtype.MemberName, took time.Duration, applied bbrmessage.Place, now bbrtype.Mono) {
	s := b.seats[id]
	if s == nil {
		return
	}
	s.refusals, s.fulls = 0, 0
	s.answer += time.Duration(answerWeight * float64(took-s.answer))
	s.pace.answered(s.answer, now)
	s.applied = bbrmessage.Latest(s.applied, applied)
}

// Refused notes that a replica lacked a position.
func (b *Board) Refused(id bbrtype.MemberName, floor bbrmessage.Place, now bbrtype.Mono) {
	if s := b.seats[id]; s != nil {
		s.refused, s.refusedAt = floor, now
		s.refusals++
	}
}

// TurnedAway notes that a member had no room.
func (b *Board) TurnedAway(id bbrtype.MemberName, now bbrtype.Mono) {
	if s := b.seats[id]; s != nil {
		s.pausedTo = now.Add(busyPause)
	}
}

// Full notes that a member refused a connection, while a number of others were
// open. If none is open, it returns the time after which Dispatch is to be called:
// no answer would tell that there is room again.
func (b *Board) Full(id bbrtype.MemberName, open int, now bbrtype.Mono) time.Duration {
	s := b.seats[id]
	if s == nil {
		return 0
	}
	s.ceiling, s.ceilingTo = open, now.Add(fullPause)
	if open == 0 {
		pause := noConnectionPause << min(s.fulls, noConnectionDoublings)
		if s.fulls == 0 {
			s.refusingFrom = now
		}
		s.fulls++
		s.ceilingTo = now.Add(pause)
		s.pausedTo = now.Add(pause)
		return pause
	}
	return 0
}

// Failed notes that a member did not answer.
func (b *Board) Failed(id bbrtype.MemberName, now bbrtype.Mono) {
	if s := b.seats[id]; s != nil {
		s.pausedTo = now.Add(suspectPause)
	}
}

// Occupy enters a statement at a member beyond its limit, for looks that can't
// wait.
func (b *Board) Occupy(id bbrtype.MemberName) {
	if s := b.seats[id]; s != nil {
		s.inUse++
	}
}

// Rest notes that a transaction keeps a connection while nothing is at work for
// it.
func (b *Board) Rest(id bbrtype.MemberName, now bbrtype.Mono) {
	if s := b.seats[id]; s != nil {
		s.resting++
	}
	b.Release(id, now)
}

// Wake notes that a transaction that rested goes on. It waits for nobody: others
// may wait for what it holds.
func (b *Board) Wake(id bbrtype.MemberName) {
	if s := b.seats[id]; s != nil {
		s.resting = max(0, s.resting-1)
	}
	b.Occupy(id)
}
