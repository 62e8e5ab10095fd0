// Package bbrlimit limits the operations of tenants over all instances. Each tenant has
// owners: in some data centres, one instance is ranked first for it. An owner holds an equal
// part of the tenant's limit in a token bucket (Bucket). An instance that has an operation
// to begin takes a token from the owner of its data centre, and keeps a few spare ones for a
// short time where the tenant is active (Holder). An owner that runs out of tokens takes
// some from the other owners.
//
// Tokens are only ever moved: what an owner grants it no longer has, and a reply that is lost
// loses its tokens. In any Window, the operations of a tenant are therefore at most Bound,
// whichever instances are cut off, suspended or gone. While an owner does not respond, its
// part of the limit is not used, and the buckets of an instance that starts are empty. What
// the bound allows beyond the rate and the burst is spent on two things:
//
//   - capacityReserve, by which the buckets are larger than the burst: it keeps the buckets
//     of a small tenant usable, although its burst is divided among the owners,
//   - the time for which spare tokens may be kept, see Limit.TokenLifetime.
//
// The package is pure: it holds no lock and reads no clock.
//
// # Usage
//
//	owners := bbrlimit.Owners("acme", "dc1", instances)
//	owner := bbrlimit.Owner{StartedAt: now}
//	grant := owner.Take(now, "acme", limit, len(owners), bbrlimit.Request{Needed: 1, Spare: 2})
//
//	var holder bbrlimit.Holder
//	holder.Add("acme", limit, askedAt, now, grant)
//	admission := holder.Admit(now, "acme", limit)
package bbrlimit

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
)

// The bound on a tenant's operations.
const (
	// Window is the length of the spans of time in which operations are counted.
	Window = 5 * time.Second
	// excessShare is the part of the limit by which it may be exceeded in a window.
	excessShare = 0.1
	// excessOperations is the number of operations by which it may be exceeded besides.
	excessOperations = 20
)

const (
	// capacityReserve is how many tokens the buckets of a tenant hold beyond its burst.
	capacityReserve = 10
)

// The lifetime of tokens is minTokenLifetime, and longer for tenants whose operations are rare:
// the time in which lifetimeOperations begin at the tenant's rate, if that is below
// maxTokenLifetime.
const (
	minTokenLifetime   = 250 * time.Millisecond
	maxTokenLifetime   = 5 * time.Second
	lifetimeOperations = 2
)

// Limit is the limit of a tenant's operations over all instances.
type Limit struct {
	// RatePerSecond is how many operations may begin in a second.
	RatePerSecond float64
	// Burst is how many operations may begin beyond the rate at once.
	Burst float64
}

// LimitOf returns the limit of a tenant.
func LimitOf(t bbrcatalog.Tenant) Limit {
	return Limit{RatePerSecond: t.RatePerSecond, Burst: t.Burst}
}

// Bound returns how many operations of a tenant may run in a Window.
func (l Limit) Bound() float64 {
	return (l.RatePerSecond*Window.Seconds()+l.Burst)*(1+excessShare) + excessOperations
}

// TokenLifetime returns how long a token may be used after it was granted. The operations of
// a window have tokens that were granted at most this long before it.
func (l Limit) TokenLifetime() time.Duration {
	if l.RatePerSecond <= 0 {
		return maxTokenLifetime
	}
	rare := min(maxTokenLifetime.Seconds(), lifetimeOperations/l.RatePerSecond)
	return max(minTokenLifetime, time.Duration(rare*float64(time.Second)))
}

// capacity returns how many tokens the buckets of all owners hold.
func (l Limit) capacity() float64 { return l.Burst + capacityReserve }

// refill returns how many tokens the buckets of all owners get in a second.
func (l Limit) refill() float64 { return l.RatePerSecond }
