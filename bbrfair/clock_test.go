package bbrfair

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestClock checks the order in which units are served.
func TestClock(t *testing.T) {
	tests := map[string]struct {
		// units are the tenants of the waiting units, in order of arrival.
		units   []bbrtype.TenantName
		weights map[bbrtype.TenantName]int
		want    []bbrtype.TenantName
	}{
		"tenants take turns":          {units: []bbrtype.TenantName{"a", "a", "a", "b", "b"}, want: []bbrtype.TenantName{"a", "b", "a", "b", "a"}},
		"twice the weight, two units": {units: []bbrtype.TenantName{"a", "a", "a", "a", "b", "b"}, weights: map[bbrtype.TenantName]int{"a": 2}, want: []bbrtype.TenantName{"a", "a", "b", "a", "a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Clock
			finish := make([]Time, len(tt.units))
			for i, tenant := range tt.units {
				finish[i] = c.Next(tenant, tt.weights[tenant])
				c.Assign(tenant, finish[i])
			}
			var got []bbrtype.TenantName
			for range tt.units {
				first := -1
				for i, f := range finish {
					if f > 0 && (first < 0 || f < finish[first]) {
						first = i
					}
				}
				got = append(got, tt.units[first])
				c.Advance(finish[first])
				finish[first] = 0
			}
			is.Equal(got, tt.want)
		})
	}
}

// TestJoin checks that a tenant which had no work saves no units up.
func TestJoin(t *testing.T) {
	is := is.New(t)
	var c Clock
	for range 100 {
		finish := c.Next("busy", 1)
		c.Assign("busy", finish)
		c.Advance(finish)
	}
	c.Join("idle")
	is.Equal(c.Last("idle"), c.Now())
	c.Reset()
	is.Equal(c.Now(), Time(0))
}
