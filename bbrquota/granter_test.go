package bbrquota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

const start = bbrtype.Mono(time.Hour)

// TestShares checks the max-min fair shares once all holders have reported.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		limit       int
		demands     []int
		wantGranted []int
	}{
		"the limit covers all demands":   {25, []int{4, 5, 6}, []int{4, 5, 6}},
		"small demands are met in full":  {12, []int{2, 20, 20}, []int{2, 5, 5}},
		"holders without demand get 1":   {9, []int{0, 0, 20}, []int{1, 1, 7}},
		"more holders than connections":  {2, []int{5, 5, 5}, []int{0, 1, 1}},
		"a single holder gets the limit": {25, []int{100}, []int{25}},
		"equal demands get equal shares": {25, []int{100, 100, 100, 100, 100, 100, 100, 100}, []int{3, 3, 3, 3, 3, 3, 3, 4}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGranter(tt.limit, start, 0)
			got := make([]int, len(tt.demands))
			for range 3 { // in the first round, the granter does not have all demands
				for i, demand := range tt.demands {
					got[i] = g.Renew(start, instanceID(i), Demand{Wanted: demand})
				}
			}
			is.Equal(got, tt.wantGranted)
		})
	}
}

// instanceID returns the ID of instance i.
func instanceID(i int) bbrtype.InstanceID { return bbrtype.InstanceID(rune('a' + i)) }

// TestAnExpiredGrantIsLentAgain checks that the connections of an expired lease are
// granted to another holder.
func TestAnExpiredGrantIsLentAgain(t *testing.T) {
	is := is.New(t)
	g := NewGranter(10, start, 0)
	is.Equal(g.Renew(start, "a", Demand{Wanted: 10}), 10)
	is.Equal(g.Renew(start, "b", Demand{Wanted: 10}), 0)
	is.Equal(g.Renew(start.Add(LeaseDuration+expiryMargin), "b", Demand{Wanted: 10}), 10)
}

// TestANewGranterWaitsForTheOldOnesGrants checks that, until all instances have
// reported, a new granter grants only connections that are already open: other
// instances may still use leases of the previous granter.
func TestANewGranterWaitsForTheOldOnesGrants(t *testing.T) {
	is := is.New(t)
	g := NewGranter(10, start, time.Second)
	is.Equal(g.Renew(start, "a", Demand{Open: 4, Wanted: 10}), 4) // a keeps its open connections
	is.Equal(g.Renew(start, "b", Demand{Open: 0, Wanted: 10}), 0)
	g.EndHandover([]bbrtype.InstanceID{"a", "b", "c"})
	is.Equal(g.Renew(start, "b", Demand{Wanted: 10}), 0) // c has not reported
	is.Equal(g.Renew(start, "c", Demand{Open: 2, Wanted: 2}), 2)
	g.EndHandover([]bbrtype.InstanceID{"a", "b", "c"})
	is.Equal(g.Renew(start, "b", Demand{Wanted: 10}), 4)
}

// TestSumNeverExceedsTheLimit checks for random sequences of renewals that the open
// connections of all holders never exceed the limit. At random, holders are suspended
// and keep their connections until their lease expires, holders change their demand,
// and another instance becomes the granter.
func TestSumNeverExceedsTheLimit(t *testing.T) {
	type holder struct {
		maxOpen, open int
		expiresAt     bbrtype.Mono
	}
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		holders := make([]holder, rapid.IntRange(1, 8).Draw(t, "holders"))
		g := NewGranter(limit, start, 0)
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 40).Draw(t, "newGranter") == 0 {
				g = NewGranter(limit, now, LeaseDuration)
			}
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
			h := &holders[i]
			if now >= h.expiresAt {
				h.maxOpen, h.open = 0, 0 // a holder whose lease has expired closes its connections
			}
			granted := g.Renew(now, instanceID(i), Demand{Open: h.open, Wanted: rapid.IntRange(0, 50).Draw(t, "want")})
			h.maxOpen, h.expiresAt = granted, now.Add(LeaseDuration)
			if h.open > h.maxOpen && rapid.Bool().Draw(t, "busy") {
				// Connections in use stay open until they are released, also beyond the grant.
				h.maxOpen = h.open
			}
			h.open = rapid.IntRange(0, h.maxOpen).Draw(t, "held")
			sum := 0
			for _, other := range holders {
				if now < other.expiresAt {
					sum += other.open
				}
			}
			if sum > limit {
				t.Fatalf("%d connections are open, the limit is %d", sum, limit)
			}
		}
	})
}
