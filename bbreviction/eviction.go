// Package bbreviction decides which unused connection to a member is closed to open one for
// another tenant. A connection belongs to the tenant that was named when it was opened, and
// members accept fewer connections than there are tenants. The package is pure: it holds no
// lock and reads no clock.
//
// It closes the connection that is least likely to be needed soon. A tenant needs its first
// unused connection as often as it runs statements; it needs the second one only while a
// statement runs on the first, and so on. The order of use alone would be worse: a large
// tenant's statements come close together, so that its spare connections would displace the
// only ones of small tenants.
//
// # Usage
//
//	var u bbreviction.Usage
//	u.Record("north", now)
//	if i := u.Choose(unused, now); i >= 0 {
//		// Close unused[i].
//	}
package bbreviction

import (
	"math"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// halfLife is the time in which the weight of a use falls to a half.
	halfLife = 10 * time.Second
	// useDuration is how long a use of a connection is assumed to take.
	useDuration = 20 * time.Millisecond
	// maxTenants is how many tenants Usage keeps before it forgets those whose uses have
	// lost their weight.
	maxTenants = 1024
	// minWeight is the weight below which a tenant's uses may be forgotten.
	minWeight = 0.01
)

// decayed is a count of uses that lose their weight over time.
type decayed struct {
	weight float64
	at     bbrtype.Mono
}

// value returns the count at a time.
func (d decayed) value(now bbrtype.Mono) float64 {
	return d.weight * math.Exp2(-float64(now.Sub(d.at))/float64(halfLife))
}

// Usage counts how often each tenant has needed a connection lately. The zero value has no
// uses.
type Usage struct {
	counts map[bbrtype.TenantName]decayed
}

// Record records that a tenant needed a connection.
func (u *Usage) Record(tenant bbrtype.TenantName, now bbrtype.Mono) {
	if u.counts == nil {
		u.counts = map[bbrtype.TenantName]decayed{}
	}
	if _, known := u.counts[tenant]; !known && len(u.counts) >= maxTenants {
		u.forget(now)
	}
	u.counts[tenant] = decayed{weight: u.counts[tenant].value(now) + 1, at: now}
}

// forget drops the tenants whose uses have lost their weight.
func (u *Usage) forget(now bbrtype.Mono) {
	for tenant, d := range u.counts {
		if d.value(now) < minWeight {
			delete(u.counts, tenant)
		}
	}
}

// Rate returns how many connections a tenant has needed lately, in uses a second.
func (u *Usage) Rate(tenant bbrtype.TenantName, now bbrtype.Mono) float64 {
	return u.counts[tenant].value(now) * math.Ln2 / halfLife.Seconds()
}

// Unused is a connection that carries no statement.
type Unused struct {
	Tenant    bbrtype.TenantName
	IdleSince bbrtype.Mono
}

// Choose returns the index of the connection to close, -1 if there is none. Of connections
// that are needed equally often it is the one that has been unused for the longest time.
func (u *Usage) Choose(unused []Unused, now bbrtype.Mono) int {
	best, lowest := -1, 0.0
	before := map[bbrtype.TenantName]int{}
	for i, c := range unused {
		need := u.need(c.Tenant, before[c.Tenant], now)
		before[c.Tenant]++
		if best < 0 || need < lowest || need == lowest && c.IdleSince < unused[best].IdleSince {
			best, lowest = i, need
		}
	}
	return best
}

// need returns how often a tenant needs a connection, in uses a second, of which it has n
// other unused ones.
func (u *Usage) need(tenant bbrtype.TenantName, n int, now bbrtype.Mono) float64 {
	rate := u.Rate(tenant, now)
	return rate * math.Pow(min(1, rate*useDuration.Seconds()), float64(n))
}
