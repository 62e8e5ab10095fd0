package bbrplace

import (
	"slices"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrfair"
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

// Requirements describes which members may serve a statement, and how it is queued.
type Requirements struct {
	// PrimaryOnly is set for statements that only the primary can run.
	PrimaryOnly bool
	// MinPosition is the log position that a replica must have applied.
	MinPosition bbrmessage.LogPosition
	// Exclude lists members that must not serve the statement, because earlier attempts
	// failed there. PrimaryOnly and OnlyMember take precedence.
	Exclude []bbrtype.MemberName
	// OnlyMember names the one member that may serve the statement, empty for any
	// member.
	OnlyMember bbrtype.MemberName
	// Priority orders the queue; lower values are granted first.
	Priority int
	// Tenant is the tenant on whose connections the statement runs, empty where callers
	// are not identified.
	Tenant bbrtype.TenantName
	// Deadline is the end of the time in the queue. It is not enforced here: the owner
	// of the statement calls Remove. A new statement that can't be answered by then is
	// rejected under overload.
	Deadline bbrtype.Mono
	// SoftDeadline is the time by which the latency objective requires a reply, 0 if
	// there is no objective. A later reply is worth less to the caller.
	SoftDeadline bbrtype.Mono
	// LatencyObjective is the time in which the caller should get a reply. Of the
	// statements of one priority that are not late, the one with the shortest objective
	// is scheduled first. Statements with a short objective run shorter, so that more
	// callers are served in time under overload.
	LatencyObjective time.Duration
}

// Waiter is a statement that is submitted for scheduling.
type Waiter struct {
	Requirements
	// OnGrant is called once, with the member that serves the statement.
	OnGrant func(bbrtype.MemberName)
	// OnReject is called once instead of OnGrant if the statement is rejected
	// because it can't be served in time. If it is nil, the statement is never
	// rejected.
	OnReject func(RejectReason)

	seq    uint64
	queued bool
}

// RejectReason is why a statement is rejected without being sent to a member.
type RejectReason string

// The reasons to reject a statement.
const (
	// RejectOverload means that the members have more statements in flight and queued
	// than they can serve in time.
	RejectOverload RejectReason = "overload"
	// RejectLate means that the statement is late, and that more statements are late than
	// the members can serve beside those that are not.
	RejectLate RejectReason = "late"
	// RejectQueueFull means that the queue is full, and that this statement comes first in
	// the order of rejection.
	RejectQueueFull RejectReason = "queueFull"
	// RejectConnectionsRefused means that all eligible members refuse connections of
	// this instance, and it has none open.
	RejectConnectionsRefused RejectReason = "connectionsRefused"
)

// QueueLen returns the number of statements in the queue.
func (s *Scheduler) QueueLen() int { return len(s.queue) }

// Submit grants a member to a statement at once, adds the statement to the queue, or
// rejects it.
func (s *Scheduler) Submit(w *Waiter, now bbrtype.Mono) {
	if m := s.pick(&w.Requirements, now); m != nil {
		s.grantTo(m, w, now)
		w.OnGrant(m.ID)
		return
	}
	if w.OnReject != nil {
		if reason, ok := s.shouldReject(w, now); ok {
			s.recordRejection(&w.Requirements, now)
			w.OnReject(reason)
			return
		}
	}
	s.enqueue(w, now)
}

// grantTo records that a member is granted to a statement.
func (s *Scheduler) grantTo(m *memberState, w *Waiter, now bbrtype.Mono) {
	s.sampleUsage()
	m.recordKind(&w.Requirements)
	m.beginLagTrial(&w.Requirements, now)
	m.acquire(now)
	s.granted(w, now)
}

// enqueue adds a statement to the queue. If the queue is full, one statement is rejected.
func (s *Scheduler) enqueue(w *Waiter, now bbrtype.Mono) {
	s.seq++
	w.seq = s.seq
	victim := s.evict(w)
	if victim != w {
		w.queued = true
		i, _ := slices.BinarySearchFunc(s.queue, w, compareWaiters)
		s.queue = slices.Insert(s.queue, i, w)
		s.enqueued(w, now)
	}
	if victim != nil {
		s.Remove(victim)
		victim.OnReject(RejectQueueFull)
	}
}

// compareWaiters orders by priority, then by latency objective, then by arrival.
func compareWaiters(a, b *Waiter) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if a.LatencyObjective != b.LatencyObjective {
		return compare(a.LatencyObjective, b.LatencyObjective)
	}
	return compare(a.seq, b.seq)
}

func compare[T time.Duration | uint64 | bbrfair.Time](a, b T) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// minLatency returns the lowest latency of the members that are available for a
// statement, 0 if there is no such member.
func (s *Scheduler) minLatency(r *Requirements, now bbrtype.Mono) time.Duration {
	lowest := time.Duration(0)
	for _, m := range s.members {
		if s.serves(m, r, now) && (lowest == 0 || m.latency < lowest) {
			lowest = m.latency
		}
	}
	return lowest
}

// Remove removes a statement from the queue. It returns false if the statement is
// not in the queue because a member was already granted to it, or because it was
// rejected.
func (s *Scheduler) Remove(w *Waiter) bool {
	if !w.queued {
		return false
	}
	w.queued = false
	s.dequeued(w)
	s.queue = slices.DeleteFunc(s.queue, func(o *Waiter) bool { return o == w })
	return true
}

// Release records that a statement is no longer in flight at a member, and calls
// Dispatch to use the capacity for queued statements.
func (s *Scheduler) Release(id bbrtype.MemberName, now bbrtype.Mono) {
	if m := s.members[id]; m != nil && m.inFlight > 0 {
		m.inFlight--
	}
	s.Dispatch(now)
}

// acquire counts a statement as in flight at the member.
func (m *memberState) acquire(now bbrtype.Mono) {
	m.inFlight++
	m.granted++
	if m.saturatedSince == 0 && !m.hasCapacity(now) {
		m.saturatedSince = now
	}
}

// Dispatch grants members with free capacity to queued statements. It rejects queued
// statements that are late while the members are saturated, and statements whose
// eligible members all refuse connections.
func (s *Scheduler) Dispatch(now bbrtype.Mono) {
	d := dispatchPass{scheduler: s, now: now}
	for _, waiters := range s.starving(now) {
		d.grantOne(waiters)
	}
	for _, waiters := range byPriority(s.queue) {
		onTime, late := d.split(waiters)
		d.process(onTime, false)
		d.process(late, true)
	}
	s.queue = slices.DeleteFunc(s.queue, func(w *Waiter) bool { return !w.queued })
	for _, m := range s.members {
		if m.hasCapacity(now) {
			m.saturatedSince = 0
		}
	}
	s.recordLateWait(d.lateWait, now)
	for _, call := range d.callbacks {
		call()
	}
}

// dispatchPass is one pass over the queue. The callbacks run after the pass, when
// the queue has been updated.
type dispatchPass struct {
	scheduler *Scheduler
	now       bbrtype.Mono
	callbacks []func()
	// lateWait is set if late statements stay in the queue.
	lateWait bool
}

// split splits the statements of one priority into those that are not late and those that
// are, each in the order in which they are granted.
func (d *dispatchPass) split(waiters []*Waiter) (onTime, late []*Waiter) {
	for _, w := range waiters {
		switch {
		case !w.queued:
		case d.scheduler.willBeLate(w, d.now):
			late = append(late, w)
		default:
			onTime = append(onTime, w)
		}
	}
	return d.scheduler.order(onTime), d.scheduler.order(late)
}

// process grants members to the statements of one priority or rejects them. late is set
// if they are late.
func (d *dispatchPass) process(waiters []*Waiter, late bool) {
	ahead := 0
	for _, w := range waiters {
		if d.grant(w) {
			if late {
				d.scheduler.recordLateGrant(d.now)
			}
		} else if reason, ok := d.shouldReject(w, late, ahead); ok {
			d.dequeue(w)
			if reason != RejectLate {
				d.scheduler.recordRejection(&w.Requirements, d.now)
			}
			d.callbacks = append(d.callbacks, func() { w.OnReject(reason) })
		} else {
			ahead++
		}
	}
	d.lateWait = d.lateWait || late && ahead > 0
}

// grantOne grants a member to the first of the statements of one priority that one has
// capacity for.
func (d *dispatchPass) grantOne(waiters []*Waiter) {
	onTime, late := d.split(waiters)
	for _, w := range append(onTime, late...) {
		if d.grant(w) {
			return
		}
	}
}

// grant grants a member to a statement. It returns false if none has capacity.
func (d *dispatchPass) grant(w *Waiter) bool {
	m := d.scheduler.pick(&w.Requirements, d.now)
	if m == nil {
		return false
	}
	d.scheduler.grantTo(m, w, d.now)
	d.dequeue(w)
	id := m.ID
	d.callbacks = append(d.callbacks, func() { w.OnGrant(id) })
	return true
}

// dequeue marks a statement as no longer queued. Dispatch removes it after the pass.
func (d *dispatchPass) dequeue(w *Waiter) {
	w.queued = false
	d.scheduler.dequeued(w)
}

// shouldReject reports whether a queued statement is rejected, and why. ahead is the number
// of statements of its priority that come before it and are late if it is.
func (d *dispatchPass) shouldReject(w *Waiter, late bool, ahead int) (RejectReason, bool) {
	switch {
	case w.OnReject == nil:
		return "", false
	case d.scheduler.allRefuseConnections(&w.Requirements, d.now):
		return RejectConnectionsRefused, true
	}
	r := &w.Requirements
	if late && !d.scheduler.shouldRejectLate(r, d.now) && d.scheduler.isHopeless(r, ahead, d.now) {
		return RejectLate, true
	}
	return RejectOverload, late && d.scheduler.shouldRejectLate(r, d.now)
}

// isSaturated reports whether every member that is available for a statement has
// been saturated for at least a duration. If there is no such member, it returns
// false: the statement can wait until a member becomes available.
func (s *Scheduler) isSaturated(r *Requirements, atLeast time.Duration, now bbrtype.Mono) bool {
	found := false
	for _, m := range s.members {
		if !s.serves(m, r, now) {
			continue
		}
		if m.saturatedSince == 0 || now.Sub(m.saturatedSince) < atLeast {
			return false
		}
		found = true
	}
	return found
}

// shouldRejectLate reports whether late statements are rejected: the members have
// been saturated for lateRejectDelay, and no member was granted to a late statement
// in this time.
func (s *Scheduler) shouldRejectLate(r *Requirements, now bbrtype.Mono) bool {
	return now.Sub(s.lastLateGrant) > lateRejectDelay && s.isSaturated(r, lateRejectDelay, now)
}

// allRefuseConnections reports whether every member that is eligible for a statement
// has refused the connections of this instance for overloadDelay, and this instance
// has no open connection to any of them. Other instances have connections there.
func (s *Scheduler) allRefuseConnections(r *Requirements, now bbrtype.Mono) bool {
	found := false
	for _, m := range s.members {
		if !m.isEligible(r, now) {
			continue
		}
		if m.openConns > 0 || m.connRefusals == 0 || now.Sub(m.connRefusedSince) < overloadDelay {
			return false
		}
		found = true
	}
	return found
}

// shouldReject reports whether a new statement is rejected rather than queued, and why:
// the members refuse all connections, or they have been saturated for overloadDelay and
// the expected reply is after the deadline, or after the latency objective while
// late statements are rejected.
func (s *Scheduler) shouldReject(w *Waiter, now bbrtype.Mono) (RejectReason, bool) {
	if s.allRefuseConnections(&w.Requirements, now) {
		return RejectConnectionsRefused, true
	}
	if w.SoftDeadline == 0 || !s.isSaturated(&w.Requirements, overloadDelay, now) {
		return "", false
	}
	untilReply, ok := s.expectedReplyTime(&w.Requirements, now)
	if !ok {
		return "", false
	}
	replyAt := now.Add(untilReply)
	return RejectOverload, replyAt > w.Deadline || replyAt > w.SoftDeadline && s.shouldRejectLate(&w.Requirements, now)
}

// waitingBefore returns the number of queued statements that come before a new one.
func (s *Scheduler) waitingBefore(r *Requirements, now bbrtype.Mono) int {
	ahead := 0
	for _, o := range s.queue {
		if o.Priority < r.Priority || r.Tenant == "" && o.Priority == r.Priority && o.LatencyObjective <= r.LatencyObjective && !s.willBeLate(o, now) {
			ahead++
		}
	}
	if r.Tenant != "" {
		ahead += s.turnsBefore(r, now)
	}
	return ahead
}

// expectedReplyTime estimates the time until the reply to a new statement, from the
// latency of the members and the number of statements ahead of it in the queue. It
// returns false if no member has any capacity because idle transactions use all
// connections: the end of these transactions can't be predicted.
func (s *Scheduler) expectedReplyTime(r *Requirements, now bbrtype.Mono) (time.Duration, bool) {
	ahead := s.waitingBefore(r, now)
	// statementsPerHour is the throughput of the members as a whole number.
	statementsPerHour, latency := time.Duration(0), time.Duration(0)
	for _, m := range s.members {
		if s.serves(m, r, now) {
			statementsPerHour += time.Duration(m.capacity(now)) * time.Hour / max(m.latency, time.Millisecond)
			latency = max(latency, m.latency)
		}
	}
	if statementsPerHour == 0 {
		return 0, false
	}
	return latency + time.Duration(ahead+1)*time.Hour/statementsPerHour, true
}

// recordRejection raises the adaptive limits of the members that were available for
// a rejected statement.
func (s *Scheduler) recordRejection(r *Requirements, now bbrtype.Mono) {
	for _, m := range s.members {
		if m.isAvailable(r, now) {
			m.adaptiveLimit.recordRejection()
		}
	}
}
