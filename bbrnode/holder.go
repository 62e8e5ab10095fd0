package bbrnode

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrforward"
	"github.com/bluebellroute/bluebellroute/bbrholder"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrsession"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// fleetTimeout is how long an instance that starts waits for the list of instances
	// before it takes itself for the only one. Otherwise all instances that start at the
	// same moment would connect to all members.
	fleetTimeout = 3 * time.Second
	// fleetPollInterval is the interval at which it checks for the list.
	fleetPollInterval = 50 * time.Millisecond
)

const (
	// recentReply is how long after a reply an instance counts as responsive.
	recentReply = 300 * time.Millisecond
	// declineExclusion is how long an instance is left out for a group after it declined
	// a statement of it.
	declineExclusion = time.Second
	// maxDeclined is how many instances are left out for a group at a time because they
	// declined. Beyond it the first-ranked one has to serve.
	maxDeclined = 4
	// adoptionTime is how long an instance counts as a holder of a group after another
	// one has forwarded a statement of it.
	adoptionTime = 5 * time.Second
	// minProbeInterval is the interval after which an excluded instance is pinged. It
	// doubles with each ping without a reply up to maxProbeInterval.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 8 * time.Second
	// probeTimeout is how long an excluded instance may take to reply to a ping.
	probeTimeout = 250 * time.Millisecond
)

// holderPeer is what this instance knows of another one as a holder. The zero value is an
// instance that has not replied yet.
type holderPeer struct {
	repliedAt bbrtype.Mono
	// excluded is set while the instance does not respond. It is then pinged at probeAt,
	// and probeInterval is the interval to the ping after it.
	excluded      bool
	probeAt       bbrtype.Mono
	probeInterval time.Duration
	// declinedUntil holds the groups of which the instance declined a statement.
	declinedUntil map[bbrtype.GroupName]bbrtype.Mono
}

// fleetView is the instances that this one knows, with the holders that it has computed
// from them.
type fleetView struct {
	*bbrholder.Fleet
	// ranked holds the order of the holders of each group that was asked for.
	ranked map[bbrtype.GroupName][]bbrtype.InstanceID
}

// setFleet replaces the known instances. n.mu must be held.
func (n *Node) setFleet(others []bbrholder.Instance) {
	self := bbrholder.Instance{ID: bbrtype.InstanceID(n.settings.PeerAddress), DataCentre: n.settings.DataCentre}
	n.fleet.Store(&fleetView{Fleet: bbrholder.NewFleet(self, others), ranked: map[bbrtype.GroupName][]bbrtype.InstanceID{}})
}

// awaitFleet waits for the list of instances, for at most fleetTimeout.
func (n *Node) awaitFleet(ctx context.Context) {
	for deadline := n.clock.Now().Add(fleetTimeout); !n.isListed() && n.clock.Now() < deadline && ctx.Err() == nil; {
		bbrtype.Sleep(ctx, fleetPollInterval)
	}
}

// isListed reports whether the list of instances has been read.
func (n *Node) isListed() bool { return n.listedInstanceCount.Load() > 0 }

// share returns this instance's share in a member of a group.
func (n *Node) share(group bbrtype.GroupName, maxConnections, slots int) bbrholder.Share {
	return n.fleet.Load().Share(group, maxConnections, slots, n.isAdopted(group))
}

// maxConnections returns the limit of connections of the members of a group, 0 if it is
// unknown.
func (n *Node) maxConnections(group bbrtype.GroupName) int {
	if c := n.catalog.Current(); c != nil {
		return c.Groups[group].MaxConnections
	}
	return 0
}

// holds reports whether this instance sends statements to the members of a group: by its
// rank, because other instances forward statements to it, or because it has no other
// instance to forward its own to.
func (n *Node) holds(group bbrtype.GroupName) bool {
	return n.fleet.Load().Holds(group, n.maxConnections(group)) || n.isAdopted(group) || n.isBefore(&n.servedUntil, group)
}

// isAdopted reports whether other instances have recently forwarded statements of a group
// to this one.
func (n *Node) isAdopted(group bbrtype.GroupName) bool { return n.isBefore(&n.adoptedUntil, group) }

// isBefore reports whether the time that a map has for a group is in the future.
func (n *Node) isBefore(times *sync.Map, group bbrtype.GroupName) bool {
	until, ok := times.Load(group)
	return ok && n.clock.Now() < until.(bbrtype.Mono)
}

// runForwarded runs a statement that another instance has forwarded.
func (n *Node) runForwarded(ctx context.Context, s bbrforward.Statement) bbrforward.Result {
	group := s.Route.Group
	wasHolder := n.holds(group)
	if g := n.group(group); g != nil {
		n.adoptedUntil.Store(group, n.clock.Now().Add(adoptionTime))
		if !wasHolder {
			g.RefreshScheduler()
		}
	}
	return n.sessions.RunForwarded(ctx, s)
}

// Holder implements bbrsession.Forwarder. It returns the first-ranked instance that is
// not left out.
func (n *Node) Holder(group bbrtype.GroupName) (bbrsession.Holder, bool) {
	fleet := n.fleet.Load()
	if !fleet.IsScarce(n.maxConnections(group)) {
		return bbrsession.Holder{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ranked, ok := fleet.ranked[group]
	if !ok {
		ranked = fleet.Ranked(group)
		fleet.ranked[group] = ranked
	}
	holder, ok := n.firstHolder(group, ranked)
	if !ok && !fleet.Holds(group, n.maxConnections(group)) {
		n.servedUntil.Store(group, n.clock.Now().Add(adoptionTime))
	}
	return holder, ok
}

// firstHolder returns the first of the ranked instances that responds and has not
// declined, or the first that responds if too many have declined. The second result is
// false if it is this instance. n.mu must be held.
func (n *Node) firstHolder(group bbrtype.GroupName, ranked []bbrtype.InstanceID) (bbrsession.Holder, bool) {
	self := bbrtype.InstanceID(n.settings.PeerAddress)
	now := n.clock.Now()
	var declined []bbrtype.InstanceID
	for _, id := range ranked {
		p := n.holderPeers[string(id)]
		switch {
		case id == self:
			return bbrsession.Holder{}, false
		case p == nil:
			return bbrsession.Holder{Address: string(id)}, true
		case p.excluded:
		case p.declinedUntil[group] < now:
			return bbrsession.Holder{Address: string(id)}, true
		default:
			if declined = append(declined, id); len(declined) >= maxDeclined {
				return bbrsession.Holder{Address: string(declined[0]), LastResort: true}, true
			}
		}
	}
	return bbrsession.Holder{}, false
}

// holderPeer returns what is known of an instance as a holder. n.mu must be held.
func (n *Node) holderPeer(address string) *holderPeer {
	p := n.holderPeers[address]
	if p == nil {
		p = &holderPeer{declinedUntil: map[bbrtype.GroupName]bbrtype.Mono{}}
		n.holderPeers[address] = p
	}
	return p
}

// Exclude implements bbrsession.Forwarder. The instance is pinged until it responds.
func (n *Node) Exclude(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.holderPeer(address)
	if p.excluded {
		return
	}
	p.excluded, p.probeInterval = true, minProbeInterval
	p.probeAt = n.clock.Now().Add(minProbeInterval)
}

// ExcludeFor implements bbrsession.Forwarder.
func (n *Node) ExcludeFor(address string, group bbrtype.GroupName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holderPeer(address).declinedUntil[group] = n.clock.Now().Add(declineExclusion)
}

// HasRepliedRecently implements bbrsession.Forwarder.
func (n *Node) HasRepliedRecently(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.holderPeers[address]
	return p != nil && p.repliedAt != 0 && n.clock.Now().Sub(p.repliedAt) < recentReply
}

// recordHolderReply records that an instance replied, and uses it again.
func (n *Node) recordHolderReply(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.holderPeer(address)
	p.repliedAt, p.excluded = n.clock.Now(), false
}

// Run implements bbrsession.Forwarder.
func (n *Node) Run(ctx context.Context, address string, s bbrforward.Statement) (bbrforward.Result, error) {
	result, err := n.forwardClient.Run(ctx, address, s)
	if err == nil && !result.Stopping {
		n.recordHolderReply(address)
	}
	return result, err
}

// Ping implements bbrsession.Forwarder.
func (n *Node) Ping(ctx context.Context, address string) error {
	err := n.forwardClient.Ping(ctx, address)
	if err == nil {
		n.recordHolderReply(address)
	}
	return err
}

// probeExcluded pings excluded instances until they respond again or ctx ends.
func (n *Node) probeExcluded(ctx context.Context) {
	for ctx.Err() == nil {
		bbrtype.Sleep(ctx, minProbeInterval)
		for _, address := range n.dueProbes() {
			n.runAsync(func() {
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				if err := n.Ping(ctx, address); err != nil {
					n.log.WithField("holder", address).WithError(err).Debug("holder does not respond")
				}
			})
		}
	}
}

// dueProbes returns the excluded instances that are to be pinged now. Instances that the
// store lists no more are forgotten.
func (n *Node) dueProbes() []string {
	listed := map[string]bool{}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		listed[p.Address] = true
	}
	now := n.clock.Now()
	var due []string
	for address, p := range n.holderPeers {
		switch {
		case !listed[address]:
			delete(n.holderPeers, address)
		case p.excluded && now >= p.probeAt:
			p.probeInterval = min(2*p.probeInterval, maxProbeInterval)
			p.probeAt = now.Add(p.probeInterval)
			due = append(due, address)
		}
	}
	return due
}

// RecordForward implements bbrsession.Forwarder.
func (n *Node) RecordForward(outcome bbrsession.ForwardOutcome) {
	n.metrics.forwards.WithLabelValues(string(outcome)).Inc()
}

// usePrimaryOfRecord sets the primary in use from the group's record, without a query to
// the members. It is for instances that hold no connections to them.
func (n *Node) usePrimaryOfRecord(g *bbrlink.Group) {
	if r := n.knownRecord(g.Name()).Record; r.Phase == bbrsuccession.PhaseNamed {
		g.SetPrimary(bbrlink.Primary{Member: r.Primary, Term: r.Term})
	}
}
