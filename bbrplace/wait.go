package bbrplace

import (
	"slices"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// overloadDelay is how long all eligible members must have been saturated before
	// new statements that would be late are rejected. The same delay applies to
	// members that refuse all connections, for all statements.
	overloadDelay = 300 * time.Millisecond
	// lateRejectDelay is how long members must have been saturated without a late
	// statement being granted before late statements are rejected: the statements
	// that can be answered in time use up the capacity.
	lateRejectDelay = time.Second
)

// Want describes which members may serve a statement, and how it is queued.
type Want struct {
	// PrimaryOnly is set for statements that only the primary can run.
	PrimaryOnly bool
	// Floor is the log position that a replica must have applied.
	Floor bbrmessage.Place
	// Avoid lists members that are excluded, because earlier attempts failed there.
	Avoid []bbrtype.MemberName
	// Only names the one member that may serve the statement, empty for any member.
	Only bbrtype.MemberName
	// Priority orders the queue; lower values are granted first.
	Priority int
	// Deadline is when the statement stops waiting: the owner of the statement then
	// calls Remove.
	Deadline bbrtype.Mono
	// Due is when the latency objective ends, 0 if there is none. A statement that is
	// answered after it is late: the reply is worth less to the caller.
	Due bbrtype.Mono
	// Objective is the latency objective. Of the statements of one priority that can
	// still be answered in time, the one with the shortest objective is granted
	// first: it is usually the shortest work, so that more callers are served in
	// time under overload.
	Objective time.Duration
}

// Waiter is a statement that needs a member.
type Waiter struct {
	Want
	// Granted is called once, with the member that serves the statement.
	Granted func(bbrtype.MemberName)
	// TurnedAway is called once instead of Granted if the statement is rejected
	// because it can't be served in time. If it is nil, the statement is never
	// rejected.
	TurnedAway func()

	seq    uint64
	queued bool
}

// Waiting returns the number of statements in the queue.
func (b *Board) Waiting() int { return len(b.waiting) }

// Ask grants a statement a member at once, adds the statement to the queue, or
// rejects it.
func (b *Board) Ask(w *Waiter, now bbrtype.Mono) {
	if s := b.pick(&w.Want, now); s != nil {
		s.acquire(now)
		w.Granted(s.ID)
		return
	}
	if w.TurnedAway != nil && b.shouldReject(w, now) {
		b.recordReject(&w.Want, now)
		w.TurnedAway()
		return
	}
	b.seq++
	w.seq = b.seq
	w.queued = true
	i, _ := slices.BinarySearchFunc(b.waiting, w, compareWaiters)
	b.waiting = slices.Insert(b.waiting, i, w)
}

// compareWaiters orders by priority, then by latency objective, then by arrival.
func compareWaiters(a, b *Waiter) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if a.Objective != b.Objective {
		return compare(a.Objective, b.Objective)
	}
	return compare(a.seq, b.seq)
}

func compare[T time.Duration | uint64](a, b T) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// willBeLate reports whether the reply to a statement would miss the latency
// objective even if the statement were sent now.
func (b *Board) willBeLate(w *Waiter, now bbrtype.Mono) bool {
	return w.Due != 0 && now.Add(b.minLatency(&w.Want, now)) > w.Due
}

// minLatency is the lowest latency among the members that may serve a statement.
func (b *Board) minLatency(w *Want, now bbrtype.Mono) time.Duration {
	lowest := time.Duration(0)
	for _, s := range b.members {
		if s.canServe(w, now) && (lowest == 0 || s.latency < lowest) {
			lowest = s.latency
		}
	}
	return lowest
}

// Remove removes a statement from the queue. It returns false if the statement is
// not in the queue because it was already granted or rejected.
func (b *Board) Remove(w *Waiter) bool {
	if !w.queued {
		return false
	}
	w.queued = false
	b.waiting = slices.DeleteFunc(b.waiting, func(o *Waiter) bool { return o == w })
	return true
}

// Release records that a statement is no longer in flight at a member, and grants
// the capacity to queued statements.
func (b *Board) Release(id bbrtype.MemberName, now bbrtype.Mono) {
	if s := b.members[id]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
	b.Dispatch(now)
}

// acquire counts a statement as in flight at the member.
func (s *memberState) acquire(now bbrtype.Mono) {
	s.inFlight++
	if s.saturatedSince == 0 && !s.hasCapacity(now) {
		s.saturatedSince = now
	}
}

// Dispatch grants members to queued statements as far as there is capacity, and
// rejects those that have become late while the members are saturated.
func (b *Board) Dispatch(now bbrtype.Mono) {
	d := dispatch{board: b, now: now}
	for priority, rest := 0, b.waiting; len(rest) > 0; {
		priority = rest[0].Priority
		n := slices.IndexFunc(rest, func(w *Waiter) bool { return w.Priority != priority })
		if n < 0 {
			n = len(rest)
		}
		d.process(rest[:n], false)
		d.process(rest[:n], true)
		rest = rest[n:]
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(w *Waiter) bool { return !w.queued })
	for _, s := range b.members {
		if s.hasCapacity(now) {
			s.saturatedSince = 0
		}
	}
	for _, call := range d.callbacks {
		call()
	}
}

// dispatch is one pass over the queue. The callbacks run after the pass, when the
// queue has been updated.
type dispatch struct {
	board     *Board
	now       bbrtype.Mono
	callbacks []func()
}

// process grants or rejects statements of one priority: the late ones if late is
// set, else those that can still be answered in time.
func (d *dispatch) process(waiting []*Waiter, late bool) {
	for _, w := range waiting {
		if d.board.willBeLate(w, d.now) != late {
			continue
		}
		if s := d.board.pick(&w.Want, d.now); s != nil {
			s.acquire(d.now)
			if late {
				d.board.lateGrantedAt = d.now
			}
			w.queued = false
			id := s.ID
			d.callbacks = append(d.callbacks, func() { w.Granted(id) })
		} else if w.TurnedAway != nil && (late && d.board.rejectsLate(&w.Want, d.now) || d.board.refusesConnections(&w.Want, d.now)) {
			w.queued = false
			d.board.recordReject(&w.Want, d.now)
			d.callbacks = append(d.callbacks, w.TurnedAway)
		}
	}
}

// isSaturated reports whether every member that may serve a statement has been
// saturated for at least a duration. It is false if there is no such member,
// because one may be added.
func (b *Board) isSaturated(w *Want, atLeast time.Duration, now bbrtype.Mono) bool {
	found := false
	for _, s := range b.members {
		if !s.canServe(w, now) {
			continue
		}
		if s.saturatedSince == 0 || now.Sub(s.saturatedSince) < atLeast {
			return false
		}
		found = true
	}
	return found
}

// rejectsLate reports whether late statements are rejected: the members have been
// saturated for lateRejectDelay, and no late statement was granted in this time.
func (b *Board) rejectsLate(w *Want, now bbrtype.Mono) bool {
	return now.Sub(b.lateGrantedAt) > lateRejectDelay && b.isSaturated(w, lateRejectDelay, now)
}

// refusesConnections reports whether every member that is eligible for a statement
// has refused all connections of this instance for overloadDelay, so that only
// other instances have connections.
func (b *Board) refusesConnections(w *Want, now bbrtype.Mono) bool {
	found := false
	for _, s := range b.members {
		if !s.isEligible(w, now) {
			continue
		}
		if s.openConns > 0 || s.connRefusals == 0 || now.Sub(s.connRefusedSince) < overloadDelay {
			return false
		}
		found = true
	}
	return found
}

// shouldReject reports whether a new statement is rejected rather than queued: the
// members refuse all connections, or they have been saturated for a while and the
// expected reply comes too late.
func (b *Board) shouldReject(w *Waiter, now bbrtype.Mono) bool {
	if b.refusesConnections(&w.Want, now) {
		return true
	}
	if w.Due == 0 || !b.isSaturated(&w.Want, overloadDelay, now) {
		return false
	}
	wait, ok := b.expectedWait(&w.Want, now)
	if !ok {
		return false
	}
	repliedAt := now.Add(wait)
	return repliedAt > w.Deadline || repliedAt > w.Due && b.rejectsLate(&w.Want, now)
}

// expectedWait estimates the time until the reply to a new statement, from the
// latency of the members and the number of statements ahead of it in the queue.
// It returns false if transactions hold all connections, because their end can't
// be predicted.
func (b *Board) expectedWait(w *Want, now bbrtype.Mono) (time.Duration, bool) {
	ahead := 0
	for _, o := range b.waiting {
		if o.Priority < w.Priority || o.Priority == w.Priority && o.Objective <= w.Objective && !b.willBeLate(o, now) {
			ahead++
		}
	}
	perHour, latency := time.Duration(0), time.Duration(0)
	for _, s := range b.members {
		if s.canServe(w, now) {
			perHour += time.Duration(s.capacity(now)) * time.Hour / max(s.latency, time.Millisecond)
			latency = max(latency, s.latency)
		}
	}
	if perHour == 0 {
		return 0, false
	}
	return latency + time.Duration(ahead+1)*time.Hour/perHour, true
}

// recordReject raises the adaptive limit of the members that could have served a
// rejected statement.
func (b *Board) recordReject(w *Want, now bbrtype.Mono) {
	for _, s := range b.members {
		if s.canServe(w, now) {
			s.adaptiveLimit.recordReject()
		}
	}
}
