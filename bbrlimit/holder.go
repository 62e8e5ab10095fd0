package bbrlimit

import (
	"math"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// maxBlock bounds the time after a rejection in which an instance asks for no
	// tokens of the tenant.
	maxBlock = 250 * time.Millisecond
	// minBlock is the least such time.
	minBlock = 10 * time.Millisecond
	// demandTime is the time over which an instance averages a tenant's operations.
	demandTime = 2 * time.Second
)

// Outcome is what becomes of an operation that is about to begin.
type Outcome string

// The outcomes. With OutcomeAsk the instance is to ask an owner for tokens, and then to call
// Holder.Admit again.
const (
	OutcomeAdmitted Outcome = "admitted"
	OutcomeRejected Outcome = "rejected"
	OutcomeAsk      Outcome = "ask"
)

// Admission is the decision on an operation.
type Admission struct {
	Outcome Outcome
	// RetryAfter is when the operation may begin, if it is rejected.
	RetryAfter time.Duration
	// Spare is the number of spare tokens to ask for.
	Spare int
}

// Holder holds the tokens of an instance. The zero value has none.
type Holder struct {
	tenants map[bbrtype.TenantName]*holding
}

// holding is what an instance holds of a tenant.
type holding struct {
	tokens    int
	expiresAt bbrtype.Mono
	// blockedUntil is until when no tokens are asked for. The tenant's next token can be
	// had at tokenAt, and further ones at intervals of tokenInterval.
	blockedUntil  bbrtype.Mono
	tokenAt       bbrtype.Mono
	tokenInterval time.Duration
	// demand is the number of operations in the last demandTime, on average, at the time
	// countedAt.
	demand    float64
	countedAt bbrtype.Mono
}

func (h *Holder) holding(tenant bbrtype.TenantName) *holding {
	t := h.tenants[tenant]
	if t == nil {
		if h.tenants == nil {
			h.tenants = map[bbrtype.TenantName]*holding{}
		}
		t = &holding{}
		h.tenants[tenant] = t
	}
	return t
}

// Count counts an operation that is about to begin. Call it once for each.
func (h *Holder) Count(now bbrtype.Mono, tenant bbrtype.TenantName) {
	t := h.holding(tenant)
	elapsed := now.Sub(t.countedAt).Seconds()
	t.demand = t.demand*math.Exp(-elapsed/demandTime.Seconds()) + 1
	t.countedAt = now
}

// Admit decides on an operation, and uses a token if it is admitted.
func (h *Holder) Admit(now bbrtype.Mono, tenant bbrtype.TenantName, l Limit) Admission {
	t := h.holding(tenant)
	switch {
	case t.tokens > 0 && now < t.expiresAt:
		t.tokens--
		return Admission{Outcome: OutcomeAdmitted}
	case now < t.blockedUntil:
		return Admission{Outcome: OutcomeRejected, RetryAfter: t.nextToken(now)}
	default:
		perSecond := t.demand / demandTime.Seconds()
		return Admission{Outcome: OutcomeAsk, Spare: int(perSecond * l.TokenLifetime().Seconds())}
	}
}

// nextToken returns the time until the next token that no other operation was told of.
func (t *holding) nextToken(now bbrtype.Mono) time.Duration {
	t.tokenAt = max(t.tokenAt, now.Add(minBlock))
	wait := t.tokenAt.Sub(now)
	t.tokenAt = min(t.tokenAt.Add(t.tokenInterval), now.Add(MaxRetryAfter))
	return wait
}

// Add adds the tokens that an owner granted in reply to a request sent at askedAt. Their
// lifetime counts from there, because the owner granted them later.
func (h *Holder) Add(tenant bbrtype.TenantName, l Limit, askedAt, now bbrtype.Mono, g Grant) {
	t := h.holding(tenant)
	if g.Tokens > 0 {
		t.tokens, t.expiresAt = g.Tokens, askedAt.Add(l.TokenLifetime())
	}
	if g.RetryAfter <= 0 {
		return
	}
	t.tokenInterval = g.RetryAfter
	t.tokenAt = now.Add(g.RetryAfter)
	t.blockedUntil = now.Add(min(max(g.RetryAfter, minBlock), maxBlock))
}

// Retain forgets the tenants that are not kept.
func (h *Holder) Retain(keep func(bbrtype.TenantName) bool) {
	for tenant := range h.tenants {
		if !keep(tenant) {
			delete(h.tenants, tenant)
		}
	}
}
