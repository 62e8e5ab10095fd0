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
	now   = bbrtype.Mono(time.Hour)
	later = now + bbrtype.Mono(time.Minute)
)

func waiter(tenant bbrtype.TenantName, weight, priority int) *Waiter {
	return &Waiter{Tenant: tenant, Weight: weight, Priority: priority, Deadline: now.Add(time.Minute)}
}

func TestOrdersGoAheadOfViews(t *testing.T) {
	is := is.New(t)
	var q Queue
	for range 5 {
		is.NoErr(q.Push(waiter("a", 1, 6), 100))
	}
	order := waiter("b", 1, 2)
	is.NoErr(q.Push(order, 100))
	is.Equal(q.Pop(now), order)
}

func TestViewsAreNotStarved(t *testing.T) {
	is := is.New(t)
	var q Queue
	view := waiter("a", 1, 6)
	is.NoErr(q.Push(view, 100))
	for i := range 2 * yieldEvery {
		is.NoErr(q.Push(waiter("b", 1, 2), 100))
		if q.Pop(now) == view {
			return
		}
		is.True(i < yieldEvery)
	}
	t.Fatal("the view never had its turn")
}

func TestTenantsShareByWeight(t *testing.T) {
	is := is.New(t)
	var q Queue
	for range 300 {
		is.NoErr(q.Push(waiter("noisy", 1, 5), 1000))
	}
	for range 100 {
		is.NoErr(q.Push(waiter("heavy", 3, 5), 1000))
	}
	counts := map[bbrtype.TenantName]int{}
	for range 100 {
		counts[q.Pop(now).Tenant]++
	}
	is.True(counts["heavy"] >= 70 && counts["heavy"] <= 80) // three of four
}

func TestAFullQueueTurnsAwayAtOnce(t *testing.T) {
	is := is.New(t)
	var q Queue
	is.NoErr(q.Push(waiter("a", 1, 5), 1))
	is.Equal(q.Push(waiter("a", 1, 5), 1), ErrFull)
	is.NoErr(q.Push(waiter("b", 1, 5), 1)) // others have their own room
}

// TestQueueAgainstModel checks that nobody is lost or served twice, and that
// nobody is served past the deadline.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		clock := now
		waiting := map[*Waiter]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock = clock.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				w := waiter(rapid.SampledFrom([]bbrtype.TenantName{"a", "b", "c"}).Draw(t, "tenant"), rapid.IntRange(1, 5).Draw(t, "weight"), rapid.IntRange(0, 9).Draw(t, "priority"))
				w.Deadline = clock.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "patience")) * time.Millisecond)
				if q.Push(w, 20) == nil {
					waiting[w] = true
				}
			case 2:
				w := q.Pop(clock)
				if w == nil {
					for left := range waiting {
						if left.Deadline >= clock {
							t.Fatalf("a waiter is left behind")
						}
					}
					clear(waiting)
					continue
				}
				if !waiting[w] || w.Deadline < clock {
					t.Fatalf("served twice, or past the deadline")
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

func TestLimiterFollowsLatency(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.SetMax(8)
	run := func(took time.Duration) {
		for range limiterWindow {
			for l.HasRoom() {
				l.Start()
			}
			l.End(took)
		}
	}
	run(time.Millisecond)
	is.Equal(l.Limit(), 8)
	for range 10 {
		run(10 * time.Millisecond)
	}
	is.True(l.Limit() < 4) // overload lowers the bound
	for range 20 {
		run(time.Millisecond)
	}
	is.Equal(l.Limit(), 8)
}

func TestPopOfTakesTheAllowedInOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	only := func(name bbrtype.TenantName) func(bbrtype.TenantName) bool {
		return func(t bbrtype.TenantName) bool { return t == name }
	}
	push := func(tenant bbrtype.TenantName, priority int, deadline bbrtype.Mono) *Waiter {
		w := &Waiter{Tenant: tenant, Priority: priority, Deadline: deadline}
		is.NoErr(q.Push(w, 10))
		return w
	}
	push("public", 1, later)
	push("staff", 2, 0) // its patience is over
	view := push("staff", 6, later)
	order := push("staff", 2, later)
	is.Equal(q.PopOf(now, only("staff")), order)
	is.Equal(q.PopOf(now, only("staff")), view)
	is.Equal(q.PopOf(now, only("staff")), nil)
	is.Equal(q.PopOf(now, only("nobody")), nil)
	is.Equal(q.Waiting("public"), 1)
}
