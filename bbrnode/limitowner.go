package bbrnode

import (
	"slices"

	"github.com/bluebellroute/bluebellroute/bbrlimit"
	"github.com/bluebellroute/bluebellroute/bbrtype"
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
	if l.owners.instances != nil {
		l.owner.StartedAt = l.node.clock.Now()
	}
	l.owners = ownerView{fleet: fleet, instances: instances, owners: map[bbrtype.TenantName][]bbrlimit.Instance{}}
	l.owner.Retain(func(t bbrtype.TenantName) bool {
		return contains(bbrlimit.Owners(t, l.node.settings.DataCentre, instances), l.self())
	})
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
