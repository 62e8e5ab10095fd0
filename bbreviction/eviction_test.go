package bbreviction

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const start = bbrtype.Mono(time.Hour)

func TestChoose(t *testing.T) {
	tests := map[string]struct {
		// uses is how often each tenant needed a connection in the last second.
		uses   map[bbrtype.TenantName]int
		unused []Unused
		want   int
	}{
		"nothing is unused": {want: -1},
		"the tenant that needs connections less often loses its": {uses: map[bbrtype.TenantName]int{"large": 20, "small": 1}, unused: []Unused{{Tenant: "large"}, {Tenant: "small"}}, want: 1},
		"a spare one of a large tenant goes first":               {uses: map[bbrtype.TenantName]int{"large": 20, "small": 1}, unused: []Unused{{Tenant: "large"}, {Tenant: "small"}, {Tenant: "large"}}, want: 2},
		"of two that are needed equally the longest unused goes": {uses: map[bbrtype.TenantName]int{"a": 1, "b": 1}, unused: []Unused{{Tenant: "a", IdleSince: 2}, {Tenant: "b", IdleSince: 1}}, want: 1},
		"a tenant that is gone loses its":                        {uses: map[bbrtype.TenantName]int{"a": 1}, unused: []Unused{{Tenant: "a"}, {Tenant: "gone", IdleSince: 9}}, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var u Usage
			for tenant, n := range tt.uses {
				for range n {
					u.Record(tenant, start)
				}
			}
			is.Equal(u.Choose(tt.unused, start.Add(time.Second)), tt.want)
		})
	}
}

// TestChooseAgainstModel checks that the choice is one of the connections, and that a tenant's
// only connection goes before another's only if that is needed at least as often.
func TestChooseAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var u Usage
		now := start
		tenant := rapid.SampledFrom([]bbrtype.TenantName{"a", "b", "c", "d"})
		for range rapid.IntRange(0, 100).Draw(t, "uses") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			u.Record(tenant.Draw(t, "tenant"), now)
		}
		seen := map[bbrtype.TenantName]bool{}
		var unused []Unused
		for range rapid.IntRange(1, 8).Draw(t, "unused") {
			c := Unused{Tenant: tenant.Draw(t, "owner")}
			if !seen[c.Tenant] {
				seen[c.Tenant] = true
				unused = append(unused, c)
			}
		}
		chosen := u.Choose(unused, now)
		if chosen < 0 || chosen >= len(unused) {
			t.Fatalf("chose %d of %d", chosen, len(unused))
		}
		for _, c := range unused {
			if u.Rate(c.Tenant, now) < u.Rate(unused[chosen].Tenant, now) {
				t.Fatalf("%s is needed less often than %s", c.Tenant, unused[chosen].Tenant)
			}
		}
	})
}

// TestManyTenantsBeforeFewConnections replays 82 tenants, a few of them large, before 20
// connections: the choice keeps more statements from opening one than the order of use does,
// and also small tenants are served.
func TestManyTenantsBeforeFewConnections(t *testing.T) {
	is := is.New(t)
	opened, openedByUse := replay(t, true), replay(t, false)
	t.Logf("opened for 4000 statements: %d, by the order of use %d", opened, openedByUse)
	is.True(opened < openedByUse) // fewer connections are opened
}

// replay returns how many connections are opened for 4,000 statements, 10 ms apart.
func replay(t *testing.T, chooses bool) int {
	t.Helper()
	const tenants, connections, statements = 82, 20, 4000
	var u Usage
	var unused []Unused
	opened, now := 0, start
	random := uint64(1)
	for range statements {
		now = now.Add(10 * time.Millisecond)
		random = random*6364136223846793005 + 1442695040888963407
		tenant := skewed(float64(random>>11)/(1<<53), tenants)
		u.Record(tenant, now)
		if i := find(unused, tenant); i >= 0 {
			unused[i].IdleSince = now
			continue
		}
		opened++
		if len(unused) >= connections {
			i := oldest(unused)
			if chooses {
				i = u.Choose(unused, now)
			}
			unused = append(unused[:i], unused[i+1:]...)
		}
		unused = append(unused, Unused{Tenant: tenant, IdleSince: now})
	}
	return opened
}

// skewed returns one of n tenants, whose shares fall with their rank.
func skewed(x float64, n int) bbrtype.TenantName {
	total := 0.0
	for i := 1; i <= n; i++ {
		total += math.Pow(float64(i), -1.2)
	}
	i := 1
	for ; i < n; i++ {
		if x -= math.Pow(float64(i), -1.2) / total; x < 0 {
			break
		}
	}
	return bbrtype.TenantName(fmt.Sprint(i))
}

func find(unused []Unused, tenant bbrtype.TenantName) int {
	for i, c := range unused {
		if c.Tenant == tenant {
			return i
		}
	}
	return -1
}

func oldest(unused []Unused) int {
	best := 0
	for i, c := range unused {
		if c.IdleSince < unused[best].IdleSince {
			best = i
		}
	}
	return best
}

// TestUsageForgets checks that what is kept stays bounded while names come and go.
func TestUsageForgets(t *testing.T) {
	is := is.New(t)
	var u Usage
	now := start
	for i := range 4 * maxTenants {
		now = now.Add(time.Second)
		u.Record(bbrtype.TenantName(fmt.Sprint(i)), now)
	}
	is.True(len(u.counts) <= maxTenants)
}
