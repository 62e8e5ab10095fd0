package bbrplace

import (
	"slices"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// overloadDelay is how long all eligible members must have been saturated before a
	// new statement that would be late can be rejected, and how long they must have
	// refused all connections before any statement is rejected.
	overloadDelay = 300 * time.Millisecond
	// lateRejectDelay is how long the members must have been saturated, with no member
	// granted to a late statement, before late statements are rejected. In this state
	// the statements that are not late use all the capacity.
	lateRejectDelay = time.Second
)

// Want describes which members may serve a statement, and how it is queued.
type Want struct {
	// PrimaryOnly is set for statements that only the primary can run.
	PrimaryOnly bool
	// Floor is the log position that a replica must have applied.
	Floor bbrmessage.Place
	// Avoid lists members that must not serve the statement, because earlier attempts
	// failed there. PrimaryOnly and Only take precedence.
	Avoid []bbrtype.MemberName
	// Only names the one member that may serve the statement, empty for any member.
	Only bbrtype.MemberName
	// Priority orders the queue; lower values are granted first.
	Priority int
	// Deadline is the end of the time in the queue. It is not enforced here: the owner
	// of the statement calls Remove. A new statement that can't be answered by then is
	// rejected under overload.
	Deadline bbrtype.Mono
	// Due is the time by which the latency objective requires a reply, 0 if there is
	// no objective. A later reply is worth less to the caller.
	Due bbrtype.Mono
	// Objective is the latency objective. Of the statements of one priority that are
	// not late, the one with the shortest objective is scheduled first. Statements
	// with a short objective run shorter, so that more callers are served in time
	// under overload.
	Objective time.Duration
}

// Waiter is a statement that is submitted for scheduling.
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
func (b *Board) Waiting() int { return len(b.queue) }

// Ask grants a member to a statement at once, adds the statement to the queue, or
// rejects it.
func (b *Board) Ask(w *Waiter, now bbrtype.Mono) {
	if s := b.pick(&w.Want, now); s != nil {
		s.acquire(now)
		w.Granted(s.ID)
		return
	}
	if w.TurnedAway != nil && b.shouldReject(w, now) {
		b.recordRejection(&w.Want, now)
		w.TurnedAway()
		return
	}
	b.seq++
	w.seq = b.seq
	w.queued = true
	i, _ := slices.BinarySearchFunc(b.queue, w, compareWaiters)
	b.queue = slices.Insert(b.queue, i, w)
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

// willBeLate reports whether a statement is late: the expected reply would miss the
// latency objective even if the statement were sent now.
func (b *Board) willBeLate(w *Waiter, now bbrtype.Mono) bool {
	return w.Due != 0 && now.Add(b.minLatency(&w.Want, now)) > w.Due
}

// minLatency returns the lowest latency of the members that are available for a
// statement, 0 if there is no such member.
func (b *Board) minLatency(w *Want, now bbrtype.Mono) time.Duration {
	lowest := time.Duration(0)
	for _, s := range b.members {
		if s.isAvailable(w, now) && (lowest == 0 || s.latency < lowest) {
			lowest = s.latency
		}
	}
	return lowest
}

// Remove removes a statement from the queue. It returns false if the statement is
// not in the queue because a member was already granted to it, or because it was
// rejected.
func (b *Board) Remove(w *Waiter) bool {
	if !w.queued {
		return false
	}
	w.queued = false
	b.queue = slices.DeleteFunc(b.queue, func(o *Waiter) bool { return o == w })
	return true
}

// Release records that a statement is no longer in flight at a member, and calls
// Dispatch to use the capacity for queued statements.
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

// Dispatch grants members with free capacity to queued statements. It rejects queued
// statements that are late while the members are saturated, and statements whose
// eligible members all refuse connections.
func (b *Board) Dispatch(now bbrtype.Mono) {
	d := dispatchPass{scheduler: b, now: now}
	for priority, remaining := 0, b.queue; len(remaining) > 0; {
		priority = remaining[0].Priority
		n := slices.IndexFunc(remaining, func(w *Waiter) bool { return w.Priority != priority })
		if n < 0 {
			n = len(remaining)
		}
		d.process(remaining[:n], false)
		d.process(remaining[:n], true)
		remaining = remaining[n:]
	}
	b.queue = slices.DeleteFunc(b.queue, func(w *Waiter) bool { return !w.queued })
	for _, s := range b.members {
		if s.hasCapacity(now) {
			s.saturatedSince = 0
		}
	}
	for _, call := range d.callbacks {
		call()
	}
}

// dispatchPass is one pass over the queue. The callbacks run after the pass, when
// the queue has been updated.
type dispatchPass struct {
	scheduler *Board
	now       bbrtype.Mono
	callbacks []func()
}

// process grants members to the statements of one priority or rejects them. If late
// is set, it handles only late statements, else only statements that are not late.
func (d *dispatchPass) process(waiters []*Waiter, late bool) {
	for _, w := range waiters {
		if d.scheduler.willBeLate(w, d.now) != late {
			continue
		}
		if s := d.scheduler.pick(&w.Want, d.now); s != nil {
			s.acquire(d.now)
			if late {
				d.scheduler.lastLateGrant = d.now
			}
			w.queued = false
			id := s.ID
			d.callbacks = append(d.callbacks, func() { w.Granted(id) })
		} else if w.TurnedAway != nil && (late && d.scheduler.shouldRejectLate(&w.Want, d.now) || d.scheduler.allRefuseConnections(&w.Want, d.now)) {
			w.queued = false
			d.scheduler.recordRejection(&w.Want, d.now)
			d.callbacks = append(d.callbacks, w.TurnedAway)
		}
	}
}

// isSaturated reports whether every member that is available for a statement has
// been saturated for at least a duration. If there is no such member, it returns
// false: the statement can wait until a member becomes available.
func (b *Board) isSaturated(w *Want, atLeast time.Duration, now bbrtype.Mono) bool {
	found := false
	for _, s := range b.members {
		if !s.isAvailable(w, now) {
			continue
		}
		if s.saturatedSince == 0 || now.Sub(s.saturatedSince) < atLeast {
			return false
		}
		found = true
	}
	return found
}

// shouldRejectLate reports whether late statements are rejected: the members have
// been saturated for lateRejectDelay, and no member was granted to a late statement
// in this time.
func (b *Board) shouldRejectLate(w *Want, now bbrtype.Mono) bool {
	return now.Sub(b.lastLateGrant) > lateRejectDelay && b.isSaturated(w, lateRejectDelay, now)
}

// allRefuseConnections reports whether every member that is eligible for a statement
// has refused the connections of this instance for overloadDelay, and this instance
// has no open connection to any of them. Other instances have connections there.
func (b *Board) allRefuseConnections(w *Want, now bbrtype.Mono) bool {
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
// members refuse all connections, or they have been saturated for overloadDelay and
// the expected reply is after the deadline, or after the latency objective while
// late statements are rejected.
func (b *Board) shouldReject(w *Waiter, now bbrtype.Mono) bool {
	if b.allRefuseConnections(&w.Want, now) {
		return true
	}
	if w.Due == 0 || !b.isSaturated(&w.Want, overloadDelay, now) {
		return false
	}
	untilReply, ok := b.expectedReplyTime(&w.Want, now)
	if !ok {
		return false
	}
	replyAt := now.Add(untilReply)
	return replyAt > w.Deadline || replyAt > w.Due && b.shouldRejectLate(&w.Want, now)
}

// expectedReplyTime estimates the time until the reply to a new statement, from the
// latency of the members and the number of statements ahead of it in the queue. It
// returns false if no member has any capacity because idle transactions use all
// connections: the end of these transactions can't be predicted.
func (b *Board) expectedReplyTime(w *Want, now bbrtype.Mono) (time.Duration, bool) {
	ahead := 0
	for _, o := range b.queue {
		if o.Priority < w.Priority || o.Priority == w.Priority && o.Objective <= w.Objective && !b.willBeLate(o, now) {
			ahead++
		}
	}
	// statementsPerHour is the throughput of the members as a whole number.
	statementsPerHour, latency := time.Duration(0), time.Duration(0)
	for _, s := range b.members {
		if s.isAvailable(w, now) {
			statementsPerHour += time.Duration(s.capacity(now)) * time.Hour / max(s.latency, time.Millisecond)
			latency = max(latency, s.latency)
		}
	}
	if statementsPerHour == 0 {
		return 0, false
	}
	return latency + time.Duration(ahead+1)*time.Hour/statementsPerHour, true
}

// recordRejection raises the adaptive limits of the members that were available for
// a rejected statement.
func (b *Board) recordRejection(w *Want, now bbrtype.Mono) {
	for _, s := range b.members {
		if s.isAvailable(w, now) {
			s.adaptiveLimit.recordRejection()
		}
	}
}
