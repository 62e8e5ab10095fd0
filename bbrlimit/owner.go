package bbrlimit

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// shortLevel is the part of a bucket's capacity below which an owner takes tokens
	// from the other owners.
	shortLevel = 0.25
	// balanceInterval is the interval after which an owner tries again to take tokens of
	// a tenant from the other owners, if they had fewer than it wanted. It is
	// exhaustedInterval if they had none.
	balanceInterval   = 20 * time.Millisecond
	exhaustedInterval = 250 * time.Millisecond
	// yieldTime bounds the time for which an instance grants nothing of a tenant after it
	// has yielded it. By then it knows of the owner that it yielded to, unless that one
	// has gone again.
	yieldTime = time.Minute
	// nearLimit is how long after a rejection a tenant counts as near its limit.
	nearLimit = 5 * time.Second
)

// Owner holds the buckets of the tenants that an instance owns. Set StartedAt before the
// first use.
//
// Instances learn at different times that there is a new owner, as after an instance was
// added. The new one calls TakeOver before it grants tokens, once the runners-up (see
// RunnersUp), one of which owned the tenant before, have yielded it.
type Owner struct {
	// StartedAt is when the instance became an owner of the tenants that have no bucket
	// yet.
	StartedAt bbrtype.Mono
	buckets   map[bbrtype.TenantName]*ownedBucket
	// yieldedUntil holds the tenants that were yielded to another instance.
	yieldedUntil map[bbrtype.TenantName]bbrtype.Mono
}

// Handover is what a runner-up had when it yielded a tenant.
type Handover struct {
	// Owned reports whether it was an owner of the tenant.
	Owned  bool
	Tokens int
}

// Has reports whether the instance has a bucket of a tenant.
func (o *Owner) Has(tenant bbrtype.TenantName) bool { return o.buckets[tenant] != nil }

// Yield gives the bucket of a tenant up for another instance, which ranks before this one.
func (o *Owner) Yield(now bbrtype.Mono, tenant bbrtype.TenantName) Handover {
	if o.yieldedUntil == nil {
		o.yieldedUntil = map[bbrtype.TenantName]bbrtype.Mono{}
	}
	o.yieldedUntil[tenant] = now.Add(yieldTime)
	b := o.buckets[tenant]
	if b == nil {
		return Handover{}
	}
	delete(o.buckets, tenant)
	b.fill(now)
	return Handover{Owned: true, Tokens: int(b.level)}
}

// HasYielded reports whether the instance has yielded a tenant.
func (o *Owner) HasYielded(now bbrtype.Mono, tenant bbrtype.TenantName) bool {
	return now < o.yieldedUntil[tenant]
}

// TakeOver makes the bucket of a tenant. If a runner-up owned the tenant, the bucket has the
// tokens that it had, else those that have come since StartedAt.
func (o *Owner) TakeOver(now bbrtype.Mono, tenant bbrtype.TenantName, l Limit, owners int, h Handover) {
	b := o.bucket(now, tenant, l, owners)
	if h.Owned {
		b.level = min(b.capacity, float64(max(0, h.Tokens)))
		b.filledAt = now
	}
}

// Relist is called when the list of instances has changed: buckets that are made from now on
// fill from now on, those of tenants that the instance no longer owns are forgotten, and who
// owns a tenant follows from the new list, not from what was yielded before.
func (o *Owner) Relist(now bbrtype.Mono, owns func(bbrtype.TenantName) bool) {
	o.StartedAt, o.yieldedUntil = now, nil
	o.Retain(owns)
}

// ownedBucket is a bucket with the state of its balance with the other owners.
type ownedBucket struct {
	*Bucket
	limit  Limit
	owners int
	// balanceAt is when tokens may next be taken from the other owners, and wanted is how
	// many were wanted when they were last taken.
	balanceAt bbrtype.Mono
	wanted    int
	// rejectedAt is when an operation was last rejected, 0 if never.
	rejectedAt bbrtype.Mono
}

// bucket returns the bucket of a tenant under its current limit.
func (o *Owner) bucket(now bbrtype.Mono, tenant bbrtype.TenantName, l Limit, owners int) *ownedBucket {
	owners = max(1, owners)
	b := o.buckets[tenant]
	if b == nil {
		if o.buckets == nil {
			o.buckets = map[bbrtype.TenantName]*ownedBucket{}
		}
		b = &ownedBucket{Bucket: newBucket(l, owners, o.StartedAt), limit: l, owners: owners}
		o.buckets[tenant] = b
	}
	if b.limit != l || b.owners != owners {
		b.setLimit(now, l, owners)
		b.limit, b.owners = l, owners
	}
	return b
}

// Take grants tokens of a tenant to an instance. owners is the number of the tenant's
// owners.
func (o *Owner) Take(now bbrtype.Mono, tenant bbrtype.TenantName, l Limit, owners int, r Request) Grant {
	b := o.bucket(now, tenant, l, owners)
	grant := b.take(now, r)
	if grant.Tokens < r.Needed {
		b.rejectedAt = now
	}
	return grant
}

// Give grants tokens of a tenant to another owner.
func (o *Owner) Give(now bbrtype.Mono, tenant bbrtype.TenantName, l Limit, owners, wanted int) Grant {
	return o.bucket(now, tenant, l, owners).give(now, wanted)
}

// Shortage returns how many tokens of a tenant are to be taken from the other owners now, and
// whether they are needed to grant a number of tokens. It counts on it that the caller does
// so and calls Receive.
func (o *Owner) Shortage(now bbrtype.Mono, tenant bbrtype.TenantName, l Limit, owners, needed int) (wanted int, urgent bool) {
	b := o.bucket(now, tenant, l, owners)
	if b.owners < 2 || now < b.balanceAt {
		return 0, false
	}
	wanted, urgent = b.shortage(now, needed)
	if wanted > 0 {
		b.balanceAt, b.wanted = now.Add(exhaustedInterval), wanted
	}
	return wanted, urgent
}

// Receive adds tokens of other owners.
func (o *Owner) Receive(now bbrtype.Mono, tenant bbrtype.TenantName, tokens int) {
	b := o.buckets[tenant]
	if b == nil || tokens <= 0 {
		return
	}
	b.receive(now, tokens)
	b.balanceAt = now.Add(balanceInterval)
	if tokens >= b.wanted {
		b.balanceAt = now
	}
}

// Retain forgets the buckets of the tenants that are not kept.
func (o *Owner) Retain(keep func(bbrtype.TenantName) bool) {
	for tenant := range o.buckets {
		if !keep(tenant) {
			delete(o.buckets, tenant)
		}
	}
}

// CountNearLimit returns the number of owned tenants of which operations were rejected
// recently.
func (o *Owner) CountNearLimit(now bbrtype.Mono) int {
	count := 0
	for tenant := range o.buckets {
		if o.IsNearLimit(now, tenant) {
			count++
		}
	}
	return count
}

// IsNearLimit reports whether operations of an owned tenant were rejected recently.
func (o *Owner) IsNearLimit(now bbrtype.Mono, tenant bbrtype.TenantName) bool {
	b := o.buckets[tenant]
	return b != nil && b.rejectedAt != 0 && now.Sub(b.rejectedAt) < nearLimit
}
