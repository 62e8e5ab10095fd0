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
	cases := map[string]struct {
		limit int
		want  []int
		grant []int
	}{
		"the limit covers all demands":   {25, []int{4, 5, 6}, []int{4, 5, 6}},
		"small demands are met first":    {12, []int{2, 20, 20}, []int{2, 5, 5}},
		"holders without demand get 1":   {9, []int{0, 0, 20}, []int{1, 1, 7}},
		"more holders than connections":  {2, []int{5, 5, 5}, []int{0, 1, 1}},
		"a single holder gets the limit": {25, []int{100}, []int{25}},
		"equal demands get equal shares": {25, []int{100, 100, 100, 100, 100, 100, 100, 100}, []int{3, 3, 3, 3, 3, 3, 3, 4}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGranter(c.limit, start, 0)
			got := make([]int, len(c.want))
			for range 3 { // in the first round, the granter has not received all demands
				for i, w := range c.want {
					got[i] = g.Renew(start, id(i), Ask{Want: w})
				}
			}
			is.Equal(got, c.grant)
		})
	}
}

// id returns the name of the instance with number i.
func id(i int) bbrtype.InstanceID { return bbrtype.InstanceID(rune('a' + i)) }

// TestAnExpiredGrantIsLentAgain checks that the connections of an expired lease are
// granted to another holder.
func TestAnExpiredGrantIsLentAgain(t *testing.T) {
	is := is.New(t)
	g := NewGranter(10, start, 0)
	is.Equal(g.Renew(start, "a", Ask{Want: 10}), 10)
	is.Equal(g.Renew(start, "b", Ask{Want: 10}), 0)
	is.Equal(g.Renew(start.Add(Lease+expiryMargin), "b", Ask{Want: 10}), 10)
}

// TestANewGranterWaitsForTheOldOnesGrants checks that a new granter grants only
// connections that are already open until all instances have reported, because
// other instances may hold leases of the earlier granter.
func TestANewGranterWaitsForTheOldOnesGrants(t *testing.T) {
	is := is.New(t)
	g := NewGranter(10, start, time.Second)
	is.Equal(g.Renew(start, "a", Ask{Held: 4, Want: 10}), 4) // keeps its open connections
	is.Equal(g.Renew(start, "b", Ask{Held: 0, Want: 10}), 0)
	g.Known([]bbrtype.InstanceID{"a", "b", "c"})
	is.Equal(g.Renew(start, "b", Ask{Want: 10}), 0) // c has not reported
	is.Equal(g.Renew(start, "c", Ask{Held: 2, Want: 2}), 2)
	g.Known([]bbrtype.InstanceID{"a", "b", "c"})
	is.Equal(g.Renew(start, "b", Ask{Want: 10}), 4)
}

// TestSumNeverExceedsTheLimit checks for random sequences of renewals that the open
// connections of all holders never exceed the limit. Holders are suspended, keep
// their connections until their lease expires, and change their demand; at random
// times another instance becomes the granter.
func TestSumNeverExceedsTheLimit(t *testing.T) {
	type holder struct {
		granted, open int
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
				g = NewGranter(limit, now, Lease)
			}
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
			h := &holders[i]
			if now >= h.expiresAt {
				h.granted, h.open = 0, 0 // the holder closes connections without a lease
			}
			granted := g.Renew(now, id(i), Ask{Held: h.open, Want: rapid.IntRange(0, 50).Draw(t, "want")})
			h.granted, h.expiresAt = granted, now.Add(Lease)
			if h.open > h.granted && rapid.Bool().Draw(t, "busy") {
				// Connections in use are closed only when they are released.
				h.granted = h.open
			}
			h.open = rapid.IntRange(0, h.granted).Draw(t, "held")
			sum := 0
			for _, x := range holders {
				if now < x.expiresAt {
					sum += x.open
				}
			}
			if sum > limit {
				t.Fatalf("%d connections are open, the limit is %d", sum, limit)
			}
		}
	})
}
