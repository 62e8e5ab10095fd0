package bbrnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrallowance"
	"github.com/bluebellroute/bluebellroute/bbrlimit"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// takeTimeout bounds a request for tokens. An operation waits for at most two of them.
	takeTimeout = 100 * time.Millisecond
	// maxTakes is how many times an operation asks for a token, one that other operations
	// used included.
	maxTakes = 3
	// ownerExclusion is how long an owner that did not respond is not asked.
	ownerExclusion = time.Second
	// unknownRetry is the time to come back for a caller whose operation is rejected
	// because no owner of the tenant's limit responds.
	unknownRetry = 300 * time.Millisecond
	// balanceTimeout bounds a request for tokens to another owner. Tokens that come later
	// are dropped, because that owner has meanwhile got new ones.
	balanceTimeout = 100 * time.Millisecond
	// balanceWait is how long a request waits for tokens from other owners. It is below
	// takeTimeout.
	balanceWait = 30 * time.Millisecond
	// limitLogInterval is the interval at which an owner checks whether a tenant is still
	// near its limit.
	limitLogInterval = 5 * time.Second
)

var (
	// errNoOwner means that no owner of a tenant's limit responds.
	errNoOwner = errors.New("no owner of the tenant's limit responds")
	// errNotListed means that the list of instances has not been read.
	errNotListed = errors.New("the list of instances is not known")
)

// limiter limits the operations of tenants by the tokens of bbrlimit: it takes tokens from
// the owners of the limits, and grants those that this instance owns. It implements
// bbrsession.Limiter. Without limited tenants it does nothing.
type limiter struct {
	node    *Node
	client  *bbrallowance.Client
	metrics *limitMetrics
	// repliedAt is when an owner last replied, 0 if never.
	repliedAt atomic.Int64

	mu     sync.Mutex
	holder bbrlimit.Holder
	owner  bbrlimit.Owner
	owners ownerView
	// takes holds the requests for tokens in progress, by tenant.
	takes map[bbrtype.TenantName]*tokenTake
	// balances holds the tenants whose tokens are being taken from other owners. Each
	// channel is closed when that has ended.
	balances map[bbrtype.TenantName]chan struct{}
	// takeovers holds the tenants that this instance is about to own. Each channel is
	// closed when that has ended.
	takeovers map[bbrtype.TenantName]chan struct{}
	// excludedUntil maps the address of each owner that did not respond to the time until
	// which it is not asked.
	excludedUntil map[bbrtype.InstanceID]bbrtype.Mono
	// nearLimit holds the owned tenants whose limit was logged as reached.
	nearLimit map[bbrtype.TenantName]bool
	// prunedVersion is the version of the configuration whose tenants are kept.
	prunedVersion int64
}

// tokenTake is the requests of a tenant's operations for tokens.
type tokenTake struct {
	flight singleFlight
	// waiting is the number of operations that wait for a token.
	waiting int
}

// newLimiter returns the limiter of an instance that starts.
func newLimiter(n *Node) *limiter {
	return &limiter{
		node: n, client: bbrallowance.NewClient(n.platform.PeerTransport), metrics: newLimitMetrics(n.metrics.registry),
		owner: bbrlimit.Owner{StartedAt: n.clock.Now()}, takes: map[bbrtype.TenantName]*tokenTake{},
		balances: map[bbrtype.TenantName]chan struct{}{}, takeovers: map[bbrtype.TenantName]chan struct{}{},
		excludedUntil: map[bbrtype.InstanceID]bbrtype.Mono{}, nearLimit: map[bbrtype.TenantName]bool{},
	}
}

// limitOf returns the limit of a tenant, false if it has none.
func (l *limiter) limitOf(tenant bbrtype.TenantName) (bbrlimit.Limit, bool) {
	c := l.node.catalog.Current()
	if c == nil {
		return bbrlimit.Limit{}, false
	}
	t, ok := c.Tenants[tenant]
	return bbrlimit.LimitOf(t), ok && t.IsLimited()
}

// Admit implements bbrsession.Limiter.
func (l *limiter) Admit(ctx context.Context, tenant bbrtype.TenantName) (bool, time.Duration) {
	limit, ok := l.limitOf(tenant)
	if !ok {
		return true, 0
	}
	l.mu.Lock()
	l.prune()
	l.holder.Count(l.node.clock.Now(), tenant)
	l.mu.Unlock()
	for range maxTakes {
		admission := l.decide(tenant, limit)
		switch admission.Outcome {
		case bbrlimit.OutcomeAdmitted:
			l.metrics.count(operationAdmitted)
			return true, 0
		case bbrlimit.OutcomeRejected:
			l.metrics.count(operationRejected)
			return false, spread(admission.RetryAfter)
		}
		if err := l.take(ctx, tenant, limit, admission.Spare); err != nil {
			l.node.log.WithError(err).WithField("tenant", tenant).Debug("operation rejected without an answer of an owner")
			l.metrics.count(operationUndecided)
			return false, spread(unknownRetry)
		}
	}
	l.metrics.count(operationRejected)
	return false, spread(unknownRetry)
}

// spread lengthens the times that callers are told by different amounts, so that they do not
// come back at the same moment.
func spread(d time.Duration) time.Duration { return d + rand.N(d/4+time.Millisecond) }

// decide decides on an operation by the tokens that the instance has.
func (l *limiter) decide(tenant bbrtype.TenantName, limit bbrlimit.Limit) bbrlimit.Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Admit(l.node.clock.Now(), tenant, limit)
}

// take takes tokens from an owner. Operations of a tenant that wait at the same time share a
// request.
func (l *limiter) take(ctx context.Context, tenant bbrtype.TenantName, limit bbrlimit.Limit, spare int) error {
	l.mu.Lock()
	t := l.takes[tenant]
	if t == nil {
		t = &tokenTake{}
		l.takes[tenant] = t
	}
	t.waiting++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if t.waiting--; t.waiting == 0 {
			delete(l.takes, tenant)
		}
	}()
	return t.flight.do(ctx, func(ctx context.Context) error {
		return l.takeFromOwners(context.WithoutCancel(ctx), t, tenant, limit, spare)
	})
}

// takeFromOwners takes tokens from the first owner that responds.
func (l *limiter) takeFromOwners(ctx context.Context, t *tokenTake, tenant bbrtype.TenantName, limit bbrlimit.Limit, spare int) error {
	owners, err := l.ownersOf(tenant)
	if err != nil {
		return err
	}
	for _, o := range owners {
		if l.isExcluded(o.ID) {
			continue
		}
		l.mu.Lock()
		request := bbrallowance.Request{Tenant: tenant, Request: bbrlimit.Request{Needed: t.waiting, Spare: spare}}
		l.mu.Unlock()
		askedAt := l.node.clock.Now()
		grant, err := l.takeFrom(ctx, o.ID, request, takeTimeout)
		if err != nil {
			continue
		}
		l.mu.Lock()
		l.holder.Add(tenant, limit, askedAt, l.node.clock.Now(), grant)
		l.mu.Unlock()
		return nil
	}
	return errNoOwner
}

// takeFrom takes tokens from an owner, which may be this instance.
func (l *limiter) takeFrom(ctx context.Context, owner bbrtype.InstanceID, r bbrallowance.Request, timeout time.Duration) (bbrlimit.Grant, error) {
	if owner == l.self() {
		l.metrics.take(takeLocal)
		return l.Grant(r)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	grant, err := l.client.Take(ctx, string(owner), r)
	switch {
	case errors.Is(err, bbrallowance.ErrNotOwner):
		l.metrics.take(takeNotOwner)
		return grant, err
	case err != nil:
		l.metrics.take(takeFailed)
		l.exclude(owner, err)
		return grant, err
	}
	l.metrics.take(takeGranted)
	l.repliedAt.Store(int64(l.node.clock.Now()))
	l.include(owner)
	return grant, nil
}

// Grant implements bbrallowance.Source. An instance that stops grants nothing, because another
// one is about to become the owner.
func (l *limiter) Grant(r bbrallowance.Request) (bbrlimit.Grant, error) {
	limit, ok := l.limitOf(r.Tenant)
	if !ok {
		return bbrlimit.Grant{}, bbrallowance.ErrNotOwner
	}
	owners, err := l.ownersOf(r.Tenant)
	if err != nil || !contains(owners, l.self()) || l.node.isStopping() || !l.owns(r.Tenant, limit, len(owners)) {
		return bbrlimit.Grant{}, bbrallowance.ErrNotOwner
	}
	if r.FromOwner {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.owner.Give(l.node.clock.Now(), r.Tenant, limit, len(owners), r.Needed), nil
	}
	l.awaitBalance(r, limit, owners)
	l.mu.Lock()
	defer l.mu.Unlock()
	grant := l.owner.Take(l.node.clock.Now(), r.Tenant, limit, len(owners), r.Request)
	if grant.Tokens < r.Needed {
		l.logNearLimit(r.Tenant, limit)
	}
	return grant, nil
}

// awaitBalance takes tokens from the other owners if this one is short of them. It waits for
// them, for at most balanceWait, if it has fewer than a request needs.
func (l *limiter) awaitBalance(r bbrallowance.Request, limit bbrlimit.Limit, owners []bbrlimit.Instance) {
	l.mu.Lock()
	wanted, urgent := l.owner.Shortage(l.node.clock.Now(), r.Tenant, limit, len(owners), r.Needed)
	done := l.balances[r.Tenant]
	if wanted > 0 && done == nil {
		done = make(chan struct{})
		l.balances[r.Tenant] = done
		l.node.runAsync(func() { l.balance(r.Tenant, owners, wanted, done) })
	}
	l.mu.Unlock()
	if done == nil || wanted > 0 && !urgent {
		return
	}
	select {
	case <-done:
	case <-time.After(balanceWait):
	}
}

// balance takes tokens of an owned tenant from the other owners, and closes done.
func (l *limiter) balance(tenant bbrtype.TenantName, owners []bbrlimit.Instance, wanted int, done chan struct{}) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.balances, tenant)
		close(done)
	}()
	start := rand.IntN(len(owners))
	for i := range owners {
		o := owners[(start+i)%len(owners)]
		if wanted <= 0 || o.ID == l.self() || l.isExcluded(o.ID) {
			continue
		}
		wanted -= l.balanceFrom(o.ID, tenant, wanted)
	}
}

// balanceFrom takes tokens of an owned tenant from another owner, and returns how many.
func (l *limiter) balanceFrom(owner bbrtype.InstanceID, tenant bbrtype.TenantName, wanted int) int {
	askedAt := l.node.clock.Now()
	request := bbrallowance.Request{Tenant: tenant, Request: bbrlimit.Request{Needed: wanted}, FromOwner: true}
	grant, err := l.takeFrom(context.Background(), owner, request, balanceTimeout)
	now := l.node.clock.Now()
	if err != nil || now.Sub(askedAt) > balanceTimeout {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner.Receive(now, tenant, grant.Tokens)
	return grant.Tokens
}

func (l *limiter) self() bbrtype.InstanceID {
	return bbrtype.InstanceID(l.node.settings.PeerAddress)
}

func (l *limiter) isExcluded(id bbrtype.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.clock.Now() < l.excludedUntil[id]
}

// exclude leaves an owner that did not respond out for ownerExclusion.
func (l *limiter) exclude(id bbrtype.InstanceID, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.excludedUntil[id] == 0 {
		l.node.log.WithError(err).WithField("owner", id).Warn("owner of limits does not respond; other owners are asked")
	}
	l.excludedUntil[id] = l.node.clock.Now().Add(ownerExclusion)
}

// include records that an owner responds.
func (l *limiter) include(id bbrtype.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.excludedUntil[id] != 0 {
		delete(l.excludedUntil, id)
		l.node.log.WithField("owner", id).Info("owner of limits responds again")
	}
}

// prune forgets tenants that the configuration no longer has. l.mu must be held.
func (l *limiter) prune() {
	c := l.node.catalog.Current()
	if c == nil || c.Version == l.prunedVersion {
		return
	}
	l.prunedVersion = c.Version
	isLimited := func(t bbrtype.TenantName) bool { return c.Tenants[t].IsLimited() }
	l.holder.Retain(isLimited)
	l.owner.Retain(isLimited)
}

// logNearLimit logs that an owned tenant has reached its limit, and later that it has left
// it. l.mu must be held.
func (l *limiter) logNearLimit(tenant bbrtype.TenantName, limit bbrlimit.Limit) {
	if l.nearLimit[tenant] {
		return
	}
	l.nearLimit[tenant] = true
	log := l.node.log.WithFields(logrus.Fields{"tenant": tenant, "ratePerSecond": limit.RatePerSecond, "burst": limit.Burst})
	log.Info("tenant has reached its limit; operations are rejected")
	l.node.runAsync(func() { l.logLeft(tenant, log) })
}

// logLeft waits until an owned tenant is no longer near its limit, and logs it.
func (l *limiter) logLeft(tenant bbrtype.TenantName, log *logrus.Entry) {
	for !l.node.isStopping() {
		time.Sleep(limitLogInterval)
		l.mu.Lock()
		near := l.owner.IsNearLimit(l.node.clock.Now(), tenant)
		if !near {
			delete(l.nearLimit, tenant)
		}
		l.mu.Unlock()
		if !near {
			log.Info("tenant has left its limit")
			return
		}
	}
}
