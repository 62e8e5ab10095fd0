package bbradmit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

const (
	start    = bbrtype.Mono(time.Hour)
	deadline = start + bbrtype.Mono(time.Minute)
)

func newWaiter(tenant bbrtype.TenantName, weight, priority int) *Waiter {
	return &Waiter{Tenant: tenant, Weight: weight, Priority: priority, Deadline: start.Add(time.Minute)}
}

// TestOrdersGoAheadOfViews checks that a waiter of a higher priority is admitted
// first.
func TestOrdersGoAheadOfViews(t *testing.T) {
	is := is.New(t)
	var q Queue
	for range 5 {
		is.NoErr(q.Push(newWaiter("a", 1, 6), 100))
	}
	high := newWaiter("b", 1, 2)
	is.NoErr(q.Push(high, 100))
	is.Equal(q.Pop(start), high)
}

// TestViewsAreNotStarved checks that a waiter of a low priority is admitted although
// waiters of a higher priority keep arriving.
func TestViewsAreNotStarved(t *testing.T) {
	is := is.New(t)
	var q Queue
	low := newWaiter("a", 1, 6)
	is.NoErr(q.Push(low, 100))
	for i := range 2 * lowestPriorityInterval {
		is.NoErr(q.Push(newWaiter("b", 1, 2), 100))
		if q.Pop(start) == low {
			return
		}
		is.True(i < lowestPriorityInterval)
	}
	t.Fatal("the waiter of the low priority was not admitted")
}

// TestTenantsShareByWeight checks that a tenant of weight 3 is admitted three times
// as often as a tenant of weight 1 that has more waiters.
func TestTenantsShareByWeight(t *testing.T) {
	is := is.New(t)
	var q Queue
	for range 300 {
		is.NoErr(q.Push(newWaiter("noisy", 1, 5), 1000))
	}
	for range 100 {
		is.NoErr(q.Push(newWaiter("heavy", 3, 5), 1000))
	}
	counts := map[bbrtype.TenantName]int{}
	for range 100 {
		counts[q.Pop(start).Tenant]++
	}
	is.True(counts["heavy"] >= 70 && counts["heavy"] <= 80) // 3 of 4 waiters
}

// TestAFullQueueTurnsAwayAtOnce checks that a waiter beyond the limit is rejected,
// and that the limit applies to each tenant separately.
func TestAFullQueueTurnsAwayAtOnce(t *testing.T) {
	is := is.New(t)
	var q Queue
	is.NoErr(q.Push(newWaiter("a", 1, 5), 1))
	is.Equal(q.Push(newWaiter("a", 1, 5), 1), ErrQueueFull)
	is.NoErr(q.Push(newWaiter("b", 1, 5), 1)) // the waiters of tenant a do not count for b
}

// TestQueueAgainstModel checks for random sequences of operations that waiters are
// not lost, not returned twice and not returned after their deadline.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		now := start
		waiting := map[*Waiter]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				w := newWaiter(rapid.SampledFrom([]bbrtype.TenantName{"a", "b", "c"}).Draw(t, "tenant"), rapid.IntRange(1, 5).Draw(t, "weight"), rapid.IntRange(0, 9).Draw(t, "priority"))
				w.Deadline = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "patience")) * time.Millisecond)
				if q.Push(w, 20) == nil {
					waiting[w] = true
				}
			case 2:
				w := q.Pop(now)
				if w == nil {
					for other := range waiting {
						if other.Deadline >= now {
							t.Fatalf("a waiter was lost")
						}
					}
					clear(waiting)
					continue
				}
				if !waiting[w] || w.Deadline < now {
					t.Fatalf("a waiter was returned twice, or past its deadline")
				}
				delete(waiting, w)
			case 3:
				for w := range waiting {
					q.Remove(w)
					delete(waiting, w)
					break
				}
			}
		}
	})
}

// TestLimiterFollowsLatency checks that slow replies lower the limit and fast replies
// raise it again.
func TestLimiterFollowsLatency(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.SetMax(8)
	runWindow := func(latency time.Duration) {
		for range windowSize {
			for l.HasCapacity() {
				l.Start()
			}
			l.Done(latency)
		}
	}
	runWindow(time.Millisecond)
	is.Equal(l.Limit(), 8)
	for range 10 {
		runWindow(10 * time.Millisecond)
	}
	is.True(l.Limit() < 4) // overload lowers the limit
	for range 20 {
		runWindow(time.Millisecond)
	}
	is.Equal(l.Limit(), 8)
}

// TestPopOfTakesTheAllowedInOrder checks that only waiters of the allowed tenants
// are returned, in queue order and without expired waiters.
func TestPopOfTakesTheAllowedInOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	onlyTenant := func(name bbrtype.TenantName) func(bbrtype.TenantName) bool {
		return func(t bbrtype.TenantName) bool { return t == name }
	}
	push := func(tenant bbrtype.TenantName, priority int, deadline bbrtype.Mono) *Waiter {
		w := &Waiter{Tenant: tenant, Priority: priority, Deadline: deadline}
		is.NoErr(q.Push(w, 10))
		return w
	}
	push("public", 1, deadline)
	push("staff", 2, 0) // expired
	low := push("staff", 6, deadline)
	high := push("staff", 2, deadline)
	is.Equal(q.PopAllowed(start, onlyTenant("staff")), high)
	is.Equal(q.PopAllowed(start, onlyTenant("staff")), low)
	is.Equal(q.PopAllowed(start, onlyTenant("staff")), nil)
	is.Equal(q.PopAllowed(start, onlyTenant("nobody")), nil)
	is.Equal(q.TenantLen("public"), 1)
}
