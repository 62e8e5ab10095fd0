package bbrcatalog

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// KeyDigest is the digest of a caller's key. Instances keep and exchange digests, so that
// no key reaches a member, a log line or another instance.
type KeyDigest string

// DigestKey returns the digest of a caller's key. Keys are random texts, so that a digest
// without salt does not reveal them.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(base64.RawURLEncoding.EncodeToString(sum[:]))
}

// Tenant is an owner of callers, with the limit of the operations that they may begin. An
// operation is a transaction, or a statement outside of one.
type Tenant struct {
	Name bbrtype.TenantName
	// RatePerSecond is how many operations may begin in a second, over all instances. 0
	// stands for no limit.
	RatePerSecond float64
	// Burst is how many operations may begin beyond the rate at once.
	Burst float64
}

// IsLimited reports whether the tenant's operations are limited.
func (t Tenant) IsLimited() bool { return t.RatePerSecond > 0 }

// HasTenants reports whether callers are identified by keys. Without tenants everyone may
// use every route; with an empty list of tenants nobody may, except for public routes.
func (c *Catalogue) HasTenants() bool { return c.Tenants != nil }

// TenantOf returns the tenant that holds a key.
func (c *Catalogue) TenantOf(key KeyDigest) (bbrtype.TenantName, bool) {
	name, ok := c.Keys[key]
	return name, ok
}

// GuestTenant is the name under which callers without a known key use public routes. No
// tenant has this name.
const GuestTenant bbrtype.TenantName = "-"
