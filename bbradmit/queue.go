// Package bbradmit orders the statements that wait for a member: by priority,
// and within a priority by weighted fairness between tenants. The queues are
// bounded, and each waiter has a deadline.
//
// The package is pure: it holds no lock and reads no clock.
//
// # Usage
//
//	var q bbradmit.Queue
//	w := &bbradmit.Waiter{Tenant: "residents", Weight: 1, Priority: 5, Deadline: now.Add(patience)}
//	if err := q.Push(w, limit); err != nil {
//		// turned away at once
//	}
//	next := q.Pop(now)
package bbradmit

import (
	"container/heap"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// ErrFull is returned when a tenant's queue has no room.
var ErrFull = errors.New("the tenant's queue is full")

const (
	// priorities is the number of priorities: 0 is for the system's own work.
	priorities = 10
	// yieldEvery is how often a lower priority goes before a higher one, so
	// that nobody waits for ever.
	yieldEvery = 8
)

// Waiter is a statement that waits.
type Waiter struct {
	Tenant bbrtype.TenantName
	// Weight is the tenant's share. 0 counts as 1.
	Weight int
	// Priority is from 0, first, to 9, last.
	Priority int
	Deadline bbrtype.Mono
	// Granted is called once when the waiter's turn has come.
	Granted func()

	finish float64
	order  uint64
	index  int
	queued bool
}

// Queue holds the waiters for one member. The zero value is empty.
type Queue struct {
	levels [priorities]level
	counts map[bbrtype.TenantName]int
	order  uint64
	size   int
	pops   int
}

// level holds the waiters of one priority, ordered by virtual finish time.
type level struct {
	heap waiterHeap
	// clock is the virtual time: the finish time of the last one taken.
	clock float64
	last  map[bbrtype.TenantName]float64
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.size }

// Waiting returns the number of a tenant's waiters.
func (q *Queue) Waiting(t bbrtype.TenantName) int { return q.counts[t] }

// Push adds a waiter. It returns ErrFull if the tenant has limit waiters.
func (q *Queue) Push(w *Waiter, limit int) error {
	if q.counts == nil {
		q.counts = map[bbrtype.TenantName]int{}
	}
	if q.counts[w.Tenant] >= limit {
		return ErrFull
	}
	l := &q.levels[min(max(w.Priority, 0), priorities-1)]
	if l.last == nil {
		l.last = map[bbrtype.TenantName]float64{}
	}
	start := max(l.clock, l.last[w.Tenant])
	w.finish = start + 1/float64(max(w.Weight, 1))
	l.last[w.Tenant] = w.finish
	q.order++
	w.order = q.order
	w.queued = true
	heap.Push(&l.heap, w)
	q.counts[w.Tenant]++
	q.size++
	return nil
}

// Pop takes the next waiter whose deadline has not passed, nil if there is
// none. Waiters past their deadline are dropped: they notice by themselves.
func (q *Queue) Pop(now bbrtype.Mono) *Waiter {
	for q.size > 0 {
		l := q.nextLevel()
		w := l.heap[0]
		q.take(l, w)
		l.clock = w.finish
		if w.Deadline >= now {
			q.pops++
			return w
		}
	}
	return nil
}

// Tenants calls f for each tenant that waits.
func (q *Queue) Tenants(f func(bbrtype.TenantName)) {
	for t := range q.counts {
		f(t)
	}
}

// PopOf takes the next waiter of a tenant that is allowed, nil if there is none.
func (q *Queue) PopOf(now bbrtype.Mono, allowed func(bbrtype.TenantName) bool) *Waiter {
	for i := range q.levels {
		l := &q.levels[i]
		var first *Waiter
		for _, w := range l.heap {
			if w.Deadline >= now && allowed(w.Tenant) && (first == nil || w.isBefore(first)) {
				first = w
			}
		}
		if first != nil {
			q.take(l, first)
			l.clock = max(l.clock, first.finish)
			return first
		}
	}
	return nil
}

// nextLevel returns the highest priority that waits, or once in a while the
// lowest.
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
	if q.pops%yieldEvery == yieldEvery-1 {
		return &q.levels[last]
	}
	return &q.levels[first]
}

// Remove takes out a waiter that gave up. It returns false if its turn has
// come already.
func (q *Queue) Remove(w *Waiter) bool {
	if !w.queued {
		return false
	}
	q.take(&q.levels[min(max(w.Priority, 0), priorities-1)], w)
	return true
}

func (q *Queue) take(l *level, w *Waiter) {
	heap.Remove(&l.heap, w.index)
	w.queued = false
	q.size--
	if q.counts[w.Tenant]--; q.counts[w.Tenant] == 0 {
		delete(q.counts, w.Tenant)
	}
	if len(l.heap) == 0 {
		// Nobody waits: old finish times would punish tenants for the past.
		clear(l.last)
		l.clock = 0
	}
}

// waiterHeap implements heap.Interface.
type waiterHeap []*Waiter

func (h waiterHeap) Len() int { return len(h) }

// isBefore reports whether a waiter's turn comes first within its level.
func (w *Waiter) isBefore(o *Waiter) bool {
	if w.finish != o.finish {
		return w.finish < o.finish
	}
	return w.order < o.order
}

func (h waiterHeap) Less(i, j int) bool { return h[i].isBefore(h[j]) }

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w, ok := x.(*Waiter)
	if !ok {
		return
	}
	w.index = len(*h)
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
