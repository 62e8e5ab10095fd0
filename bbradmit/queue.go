// Package bbradmit controls the admission of statements to one member. Queue
// orders the waiting statements. Limiter limits the number of statements in flight.
//
// The queue is ordered by priority, and within a priority by weighted fair
// queueing between tenants. The number of waiting statements of each tenant is
// bounded, and each statement has a deadline. The limit of statements in flight
// adapts to the latency of the member.
//
// The package is pure: it holds no lock and reads no clock.
//
// # Usage
//
//	var q bbradmit.Queue
//	w := &bbradmit.Waiter{Tenant: "residents", Weight: 1, Priority: 5, Deadline: now.Add(timeout)}
//	if err := q.Push(w, limit); err != nil {
//		// the statement is rejected
//	}
//	next := q.Pop(now)
package bbradmit

import (
	"container/heap"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrfair"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// ErrQueueFull is returned by Push when the tenant's number of waiting statements has
// reached the limit.
var ErrQueueFull = errors.New("the tenant's queue is full")

const (
	// numPriorities is the number of priorities. Priority 0 is for bluebellroute's own
	// statements.
	numPriorities = 10
	// lowestPriorityInterval is how often Pop takes a waiter from the lowest priority
	// that has waiters: every lowestPriorityInterval-th waiter, so that it does not
	// starve.
	lowestPriorityInterval = 8
)

// Waiter is a statement that waits for admission.
type Waiter struct {
	Tenant bbrtype.TenantName
	// Weight is the tenant's weight in fair queueing. 0 counts as 1.
	Weight int
	// Priority is from 0 (admitted first) to 9 (admitted last). Other values are
	// clamped.
	Priority int
	Deadline bbrtype.Mono
	// OnGrant is not used: the queue never calls it, Pop returns the waiter instead.
	OnGrant func()

	// virtualFinish is the virtual finish time of fair queueing.
	virtualFinish bbrfair.Time
	seq           uint64
	// heapIndex is the index in the heap of the level.
	heapIndex int
	queued    bool
}

// Queue holds the waiters for one member. The zero value is an empty queue.
type Queue struct {
	levels          [numPriorities]level
	waitersByTenant map[bbrtype.TenantName]int
	// seq is the sequence number of the newest waiter.
	seq  uint64
	size int
	// pops counts the waiters returned by Pop.
	pops int
}

// level holds the waiters of one priority, ordered by virtual finish time.
type level struct {
	heap waiterHeap
	// clock is at the virtual finish time of the waiter that Pop or PopAllowed removed
	// last.
	clock bbrfair.Clock
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.size }

// TenantLen returns the number of a tenant's waiters.
func (q *Queue) TenantLen(t bbrtype.TenantName) int { return q.waitersByTenant[t] }

// Push adds a waiter. It returns ErrQueueFull if the tenant already has limit waiters.
func (q *Queue) Push(w *Waiter, limit int) error {
	if q.waitersByTenant == nil {
		q.waitersByTenant = map[bbrtype.TenantName]int{}
	}
	if q.waitersByTenant[w.Tenant] >= limit {
		return ErrQueueFull
	}
	l := &q.levels[min(max(w.Priority, 0), numPriorities-1)]
	w.virtualFinish = l.clock.Next(w.Tenant, w.Weight)
	l.clock.Assign(w.Tenant, w.virtualFinish)
	q.seq++
	w.seq = q.seq
	w.queued = true
	heap.Push(&l.heap, w)
	q.waitersByTenant[w.Tenant]++
	q.size++
	return nil
}

// Pop removes and returns the next waiter whose deadline has not passed, nil if
// there is none. Waiters past their deadline are removed and not returned: their
// owners must run their own timeout.
func (q *Queue) Pop(now bbrtype.Mono) *Waiter {
	for q.size > 0 {
		l := q.nextLevel()
		w := l.heap[0]
		q.remove(l, w)
		l.clock.Advance(w.virtualFinish)
		if w.Deadline >= now {
			q.pops++
			return w
		}
	}
	return nil
}

// EachTenant calls f for each tenant that has waiters.
func (q *Queue) EachTenant(f func(bbrtype.TenantName)) {
	for t := range q.waitersByTenant {
		f(t)
	}
}

// PopAllowed removes and returns the next waiter whose tenant is allowed and whose
// deadline has not passed, nil if there is none. It takes the highest priority first
// and does not count for lowestPriorityInterval.
func (q *Queue) PopAllowed(now bbrtype.Mono, allowed func(bbrtype.TenantName) bool) *Waiter {
	for i := range q.levels {
		l := &q.levels[i]
		var first *Waiter
		for _, w := range l.heap {
			if w.Deadline >= now && allowed(w.Tenant) && (first == nil || w.isBefore(first)) {
				first = w
			}
		}
		if first != nil {
			q.remove(l, first)
			l.clock.Advance(first.virtualFinish)
			return first
		}
	}
	return nil
}

// nextLevel returns the non-empty level of the highest priority or, for every
// lowestPriorityInterval-th waiter, of the lowest priority. The queue must not be
// empty.
func (q *Queue) nextLevel() *level {
	first, last := -1, -1
	for i := range q.levels {
		if len(q.levels[i].heap) > 0 {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	if q.pops%lowestPriorityInterval == lowestPriorityInterval-1 {
		return &q.levels[last]
	}
	return &q.levels[first]
}

// Remove removes a waiter that its owner cancels. It returns false if the waiter is
// no longer in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	if !w.queued {
		return false
	}
	q.remove(&q.levels[min(max(w.Priority, 0), numPriorities-1)], w)
	return true
}

// remove removes a waiter from its level and updates the numbers of waiters.
func (q *Queue) remove(l *level, w *Waiter) {
	heap.Remove(&l.heap, w.heapIndex)
	w.queued = false
	q.size--
	if q.waitersByTenant[w.Tenant]--; q.waitersByTenant[w.Tenant] == 0 {
		delete(q.waitersByTenant, w.Tenant)
	}
	if len(l.heap) == 0 {
		// The level is empty. The finish times are reset, so that earlier admissions of
		// a tenant do not delay its next ones.
		l.clock.Reset()
	}
}

// waiterHeap implements heap.Interface.
type waiterHeap []*Waiter

func (h waiterHeap) Len() int { return len(h) }

// isBefore reports whether w is admitted before o within their level.
func (w *Waiter) isBefore(o *Waiter) bool {
	if w.virtualFinish != o.virtualFinish {
		return w.virtualFinish < o.virtualFinish
	}
	return w.seq < o.seq
}

func (h waiterHeap) Less(i, j int) bool { return h[i].isBefore(h[j]) }

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w, ok := x.(*Waiter)
	if !ok {
		return
	}
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
