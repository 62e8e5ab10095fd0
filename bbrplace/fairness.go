package bbrplace

import (
	"slices"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrfair"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// The decisions in this file answer two loads: one tenant that sends many times what it
// usually does, and a burst of one class of statements. They apply to statements of
// tenants; without tenants the queue is in the order of compareWaiters.
//
// While the queue is full, or a statement can't be served in time, statements are rejected
// in this order: of the lowest priority first; within a priority those of the tenant with
// the most statements waiting; of a tenant the one with the longest objective that came
// last.

const (
	// starvationInterval is how long the statements of a priority wait without a grant
	// before one of them goes before those of higher priorities.
	starvationInterval = 250 * time.Millisecond
	// maxWaiting is the maximum number of statements of tenants in the queue.
	maxWaiting = 1024
	// tenantWeight is the weight of each tenant.
	tenantWeight = 1
)

// fairness shares slots and queue places between tenants. The zero value is ready to use.
type fairness struct {
	// levels holds the state of each priority with statements of tenants in the queue.
	levels map[int]*fairLevel
}

// fairLevel is the state of one priority.
type fairLevel struct {
	clock bbrfair.Clock
	// waiting is the number of statements of each tenant in the queue, total their sum.
	waiting map[bbrtype.TenantName]int
	total   int
	// grantedAt is when a member was last granted to a queued statement of this priority,
	// or when the first one began to wait.
	grantedAt bbrtype.Mono
}

// enqueued records that a statement was added to the queue.
func (f *fairness) enqueued(w *Waiter, now bbrtype.Mono) {
	if w.Tenant == "" {
		return
	}
	l := f.levels[w.Priority]
	if l == nil {
		l = &fairLevel{waiting: map[bbrtype.TenantName]int{}, grantedAt: now}
		if f.levels == nil {
			f.levels = map[int]*fairLevel{}
		}
		f.levels[w.Priority] = l
	}
	if l.waiting[w.Tenant] == 0 {
		l.clock.Join(w.Tenant)
	}
	l.waiting[w.Tenant]++
	l.total++
}

// dequeued records that a statement left the queue.
func (f *fairness) dequeued(w *Waiter) {
	l := f.levels[w.Priority]
	if w.Tenant == "" || l == nil {
		return
	}
	if l.waiting[w.Tenant]--; l.waiting[w.Tenant] == 0 {
		delete(l.waiting, w.Tenant)
	}
	if l.total--; l.total == 0 {
		delete(f.levels, w.Priority)
	}
}

// granted charges a tenant for a slot, if statements of tenants wait in its priority.
func (f *fairness) granted(w *Waiter, now bbrtype.Mono) {
	l := f.levels[w.Priority]
	if w.Tenant == "" || l == nil {
		return
	}
	if l.waiting[w.Tenant] == 0 {
		l.clock.Join(w.Tenant)
	}
	finish := l.clock.Last(w.Tenant) + bbrfair.Step(tenantWeight)
	l.clock.Assign(w.Tenant, finish)
	l.clock.Advance(finish)
	if w.queued {
		l.grantedAt = now
	}
}

// order returns statements of one priority, given in the order of compareWaiters, in the
// order in which tenants take turns. Of each tenant the order is kept.
func (f *fairness) order(waiters []*Waiter) []*Waiter {
	if len(waiters) == 0 {
		return waiters
	}
	l := f.levels[waiters[0].Priority]
	if l == nil || len(l.waiting) == 1 && l.total == len(waiters) {
		return waiters
	}
	clock := &l.clock
	finish := make(map[*Waiter]bbrfair.Time, len(waiters))
	last := map[bbrtype.TenantName]bbrfair.Time{}
	for _, w := range waiters {
		if _, ok := last[w.Tenant]; !ok {
			last[w.Tenant] = clock.Last(w.Tenant)
		}
		last[w.Tenant] += bbrfair.Step(tenantWeight)
		finish[w] = last[w.Tenant]
	}
	out := slices.Clone(waiters)
	slices.SortStableFunc(out, func(a, b *Waiter) int { return compare(finish[a], finish[b]) })
	return out
}

// starving returns the statements of the priorities below the first one that had no grant
// for starvationInterval, those of the lowest priority first.
func (s *Scheduler) starving(now bbrtype.Mono) [][]*Waiter {
	var out [][]*Waiter
	for _, level := range byPriority(s.queue)[1:] {
		l := s.levels[level[0].Priority]
		if l != nil && now.Sub(l.grantedAt) >= starvationInterval {
			out = append(out, level)
		}
	}
	slices.Reverse(out)
	return out
}

// byPriority splits a queue into the statements of each priority. There is at least one
// part, which is empty if the queue is.
func byPriority(queue []*Waiter) [][]*Waiter {
	var out [][]*Waiter
	for remaining := queue; len(remaining) > 0 || out == nil; {
		n := slices.IndexFunc(remaining, func(w *Waiter) bool { return w.Priority != remaining[0].Priority })
		if n < 0 {
			n = len(remaining)
		}
		out = append(out, remaining[:n])
		remaining = remaining[n:]
	}
	return out
}

// turnsBefore returns the number of queued statements of the same priority that come before
// a new one of a tenant and are not late.
func (s *Scheduler) turnsBefore(r *Requirements, now bbrtype.Mono) int {
	l := s.levels[r.Priority]
	if l == nil {
		return 0
	}
	waiting := map[bbrtype.TenantName]int{}
	own := 1
	for _, o := range s.queue {
		switch {
		case o.Priority != r.Priority || s.willBeLate(o, now):
		case o.Tenant != r.Tenant:
			waiting[o.Tenant]++
		case o.LatencyObjective <= r.LatencyObjective:
			own++
		}
	}
	start := max(l.clock.Last(r.Tenant), l.clock.Now())
	if l.waiting[r.Tenant] > 0 {
		start = l.clock.Last(r.Tenant)
	}
	finish := start + bbrfair.Time(own)*bbrfair.Step(tenantWeight)
	ahead := own - 1
	for t, n := range waiting {
		turns := int((finish - l.clock.Last(t)) / bbrfair.Step(tenantWeight))
		ahead += min(n, max(0, turns))
	}
	return ahead
}

// evict makes room for a new statement of a tenant while the queue is full. It returns the
// statement to reject, which may be the new one, nil if there is none.
func (s *Scheduler) evict(w *Waiter) *Waiter {
	if w.Tenant == "" || len(s.queue) < maxWaiting {
		return nil
	}
	lowest := max(w.Priority, s.queue[len(s.queue)-1].Priority)
	waiting := map[bbrtype.TenantName]int{}
	if w.Priority == lowest {
		waiting[w.Tenant]++
	}
	if l := s.levels[lowest]; l != nil {
		for t, n := range l.waiting {
			waiting[t] += n
		}
	}
	victim := w
	for _, o := range append(slices.Clone(s.queue), w) {
		if o.Priority != lowest || o.OnReject == nil {
			continue
		}
		if victim.Priority != lowest || waiting[o.Tenant] > waiting[victim.Tenant] || o.Tenant == victim.Tenant && compareWaiters(victim, o) < 0 {
			victim = o
		}
	}
	if victim.OnReject == nil {
		return nil
	}
	return victim
}
