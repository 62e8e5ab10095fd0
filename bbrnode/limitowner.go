package bbrnode

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrallowance"
	"github.com/bluebellroute/bluebellroute/bbrlimit"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// takeoverWait is how long a new owner waits for an instance that may have owned the
	// tenant before.
	takeoverWait = 3 * time.Second
	// yieldRetryDelay is the delay before it is asked again.
	yieldRetryDelay = 250 * time.Millisecond
)

// ownerView is the owners of the tenants' limits by a list of the instances.
type ownerView struct {
	// fleet is the list that the view was computed from.
	fleet     *fleetView
	instances []bbrlimit.Instance
	// owners holds the owners of each tenant that was asked for.
	owners map[bbrtype.TenantName][]bbrlimit.Instance
}

// ownersOf returns the owners of a tenant's limit, that of this data centre first.
func (l *limiter) ownersOf(tenant bbrtype.TenantName) ([]bbrlimit.Instance, error) {
	if !l.node.isListed() {
		return nil, errNotListed
	}
	fleet := l.node.fleet.Load()
	l.mu.Lock()
	isCurrent := l.owners.fleet == fleet
	l.mu.Unlock()
	var instances []bbrlimit.Instance
	if !isCurrent {
		instances = l.node.limitInstances()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isCurrent {
		l.setInstances(fleet, instances)
	}
	owners := l.owners.owners[tenant]
	if owners == nil {
		owners = bbrlimit.Owners(tenant, l.node.settings.DataCentre, l.owners.instances)
		l.owners.owners[tenant] = owners
	}
	return owners, nil
}

// setInstances records a list of instances. If it differs from the one before, the buckets of
// tenants that this instance no longer owns are forgotten, and those of tenants that it owns
// from now on are filled from now on. With the first list, they are filled since the instance
// started. l.mu must be held.
func (l *limiter) setInstances(fleet *fleetView, instances []bbrlimit.Instance) {
	if slices.Equal(instances, l.owners.instances) {
		l.owners.fleet = fleet
		return
	}
	isFirst := l.owners.instances == nil
	l.owners = ownerView{fleet: fleet, instances: instances, owners: map[bbrtype.TenantName][]bbrlimit.Instance{}}
	if isFirst {
		return
	}
	l.owner.Relist(l.node.clock.Now(), func(t bbrtype.TenantName) bool {
		return contains(bbrlimit.Owners(t, l.node.settings.DataCentre, instances), l.self())
	})
}

// owns reports whether this instance has the bucket of a tenant that it owns by its list. If
// not, it takes the tenant over, and waits for that for at most balanceWait.
func (l *limiter) owns(tenant bbrtype.TenantName, limit bbrlimit.Limit, owners int) bool {
	l.mu.Lock()
	if l.owner.HasYielded(l.node.clock.Now(), tenant) || l.owner.Has(tenant) {
		defer l.mu.Unlock()
		return l.owner.Has(tenant)
	}
	done := l.takeovers[tenant]
	if done == nil {
		done = make(chan struct{})
		l.takeovers[tenant] = done
		runnersUp := bbrlimit.RunnersUp(tenant, l.node.settings.DataCentre, l.owners.instances)
		l.node.runAsync(func() { l.takeOver(tenant, limit, owners, runnersUp, done) })
	}
	l.mu.Unlock()
	select {
	case <-done:
	case <-time.After(balanceWait):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.Has(tenant)
}

// takeOver asks the runners-up to yield a tenant, makes its bucket, and closes done. A
// runner-up that does not respond for takeoverWait is passed over.
func (l *limiter) takeOver(tenant bbrtype.TenantName, limit bbrlimit.Limit, owners int, runnersUp []bbrtype.InstanceID, done chan struct{}) {
	var handover bbrlimit.Handover
	deadline := l.node.clock.Now().Add(takeoverWait)
	for _, id := range runnersUp {
		h, err := l.askToYield(id, tenant, deadline)
		if err != nil {
			l.node.log.WithError(err).WithFields(logrus.Fields{"tenant": tenant, "instance": id}).Warn("limit taken over from an instance that does not respond")
		}
		handover.Owned = handover.Owned || h.Owned
		handover.Tokens += h.Tokens
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	delete(l.takeovers, tenant)
	now := l.node.clock.Now()
	if l.owner.HasYielded(now, tenant) {
		return
	}
	l.owner.TakeOver(now, tenant, limit, owners, handover)
	if handover.Owned {
		l.node.log.WithFields(logrus.Fields{"tenant": tenant, "tokens": handover.Tokens}).Info("limit taken over from its owner before")
	}
}

// askToYield asks a runner-up to yield a tenant until it replies, does not run, or the deadline
// has passed.
func (l *limiter) askToYield(id bbrtype.InstanceID, tenant bbrtype.TenantName, deadline bbrtype.Mono) (bbrlimit.Handover, error) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
		h, err := l.client.Yield(ctx, string(id), tenant)
		cancel()
		switch {
		case err == nil, errors.Is(err, bbrallowance.ErrNotRunning):
			return h, nil
		case l.node.clock.Now() >= deadline:
			return h, err
		}
		time.Sleep(yieldRetryDelay)
	}
}

// Yield implements bbrallowance.Source.
func (l *limiter) Yield(tenant bbrtype.TenantName) bbrlimit.Handover {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.Yield(l.node.clock.Now(), tenant)
}

// limitInstances returns this instance and the listed ones, sorted.
func (n *Node) limitInstances() []bbrlimit.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []bbrlimit.Instance{{ID: bbrtype.InstanceID(n.settings.PeerAddress), DataCentre: n.settings.DataCentre}}
	for _, p := range n.peers {
		out = append(out, bbrlimit.Instance{ID: bbrtype.InstanceID(p.Address), DataCentre: p.DataCentre})
	}
	slices.SortFunc(out, func(a, b bbrlimit.Instance) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return out
}

func contains(instances []bbrlimit.Instance, id bbrtype.InstanceID) bool {
	return slices.ContainsFunc(instances, func(i bbrlimit.Instance) bool { return i.ID == id })
}
