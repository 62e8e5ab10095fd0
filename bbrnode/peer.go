package bbrnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrfollow"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// fetchProofsTimeout bounds a request for proofs to the proof delegate, which
	// may read the store before it replies.
	fetchProofsTimeout = 120 * time.Millisecond
	// memberProofWait bounds the time for which a proof delegate waits for proofs by the
	// members before it replies. It is well below fetchProofsTimeout.
	memberProofWait = 60 * time.Millisecond
	// proofRenewAge is the age above which the proof delegate renews its proofs
	// before it replies.
	proofRenewAge = 400 * time.Millisecond
	// peerExclusion is how long an instance that did not respond is excluded from
	// being the proof delegate.
	peerExclusion = 2 * time.Second
	// pullRowsTimeout bounds a request for rows, whose reply may be large.
	pullRowsTimeout = 500 * time.Millisecond
	// pullRowsInterval is the interval between two requests for rows while the store
	// is unavailable.
	pullRowsInterval = 250 * time.Millisecond
)

// randomPeer returns the address of another instance, chosen at random from those
// that the store lists, or from the seeds if it lists none.
func (n *Node) randomPeer() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	addresses := n.settings.PeerSeeds
	if len(n.peers) > 0 {
		addresses = addresses[:0:0]
		for _, p := range n.peers {
			addresses = append(addresses, p.Address)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// proofDelegate returns the address of the proof delegate of this data centre: the
// instance that renews proofs from the store for all instances of the data centre.
// The other instances pull the proofs from the delegate. The delegate is the
// highest-ranked instance, leaving out those that excludePeer has excluded. The
// second result is false if it is this instance.
func (n *Node) proofDelegate() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	self := bbrtype.InstanceID(n.settings.PeerAddress)
	candidates := []bbrtype.InstanceID{self}
	for _, p := range n.peers {
		if p.DataCentre == n.settings.DataCentre && n.excludedUntil[p.Address] < now {
			candidates = append(candidates, bbrtype.InstanceID(p.Address))
		}
	}
	delegate := bbrrendezvous.Top(bbrfollow.RankKey, candidates, 1)[0]
	return string(delegate), delegate != self
}

// excludePeer excludes an instance that did not respond from being the proof delegate
// for peerExclusion.
func (n *Node) excludePeer(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.excludedUntil[address] = n.clock.Now().Add(peerExclusion)
}

// errNoPeer means that there is no other instance to send a request to: none is
// known, or this instance is itself the proof delegate.
var errNoPeer = errors.New("no other instance is known")

// fetchPeerProofs pulls proofs from the proof delegate. Concurrent calls share one
// request. It returns errNoPeer if this instance is the delegate.
func (n *Node) fetchPeerProofs(ctx context.Context) error {
	address, isOther := n.proofDelegate()
	if !isOther {
		return errNoPeer
	}
	return n.peerProofFlight.do(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, fetchProofsTimeout)
		defer cancel()
		err := n.pull(ctx, address, bbrshare.Question{
			RenewOlder: proofRenewAge, Groups: n.heldPrimaries(), Versions: bbrshare.Versions{groupTable: n.recordsVersion()},
		})
		if err != nil {
			n.excludePeer(address)
		}
		return err
	})
}

// heldPrimaries returns the primaries in use of the groups that this instance holds.
func (n *Node) heldPrimaries() []bbrshare.GroupPrimary {
	var out []bbrshare.GroupPrimary
	for _, g := range n.allGroups() {
		if p := g.Primary(); p.Member != "" && n.holds(g.Name()) {
			out = append(out, bbrshare.GroupPrimary{Group: g.Name(), Primary: p.Member, Term: p.Term})
		}
	}
	return out
}

// wantedGroups returns the groups that a request asks for. An instance that does not know
// a group's primary uses the one of the asker, so that it can prove it from the store.
func (n *Node) wantedGroups(wanted []bbrshare.GroupPrimary) []*bbrlink.Group {
	if len(wanted) == 0 {
		return n.allGroups()
	}
	var out []*bbrlink.Group
	for _, w := range wanted {
		g := n.group(w.Group)
		if g == nil {
			continue
		}
		if g.Primary().Member == "" {
			// Proofs of an older primary may be valid elsewhere.
			g.SetPrimary(bbrlink.Primary{Member: w.Primary, Term: w.Term, UsableFrom: n.clock.Now().Add(bbrproof.LeaseDuration)})
		}
		out = append(out, g)
	}
	return out
}

// pull requests proofs and rows from another instance and applies the reply.
func (n *Node) pull(ctx context.Context, address string, req bbrshare.Question) error {
	sentAt := n.clock.Now()
	reply, err := n.peerClient.Pull(ctx, address, req)
	if err != nil {
		return err
	}
	n.applyRows(reply.Rows)
	n.recordSharedRead(req, reply.Records, sentAt)
	for _, s := range reply.Groups {
		if g := n.group(s.Group); g != nil {
			g.MergeProof(s, sentAt)
		}
	}
	return nil
}

// servePull replies to a request of another instance with the proofs and rows of
// this one.
func (n *Node) servePull(ctx context.Context, req bbrshare.Question) bbrshare.Knowledge {
	n.applyRows(req.Rows)
	if req.FollowFor > 0 {
		return n.serveFollow(ctx, req)
	}
	groups := n.wantedGroups(req.Groups)
	if req.RenewOlder > 0 && n.hasOlderProof(groups, req.RenewOlder) {
		// If this fails, the reply contains the existing proofs with their actual
		// ages.
		if n.proveFromStore(ctx) != nil {
			n.proveByMembers(ctx, groups, req.RenewOlder)
		}
	} else if req.RenewOlder > 0 && n.areRecordsOlder(req.RenewOlder) {
		n.readRecordsFor(ctx)
	}
	var reply bbrshare.Knowledge
	for _, g := range groups {
		reply.Groups = append(reply.Groups, g.ExportProof())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Records = n.sharedRead()
	for table, version := range req.Versions {
		reply.Rows = append(reply.Rows, n.mirror.ChangedSince(table, version)...)
	}
	return reply
}

// proveByMembers renews the proofs that are older than age by the groups' members, on
// behalf of the instances whose proof delegate this one is. It returns after
// memberProofWait at the latest.
func (n *Node) proveByMembers(ctx context.Context, groups []*bbrlink.Group, age time.Duration) {
	waitCtx, cancel := context.WithTimeout(ctx, memberProofWait)
	defer cancel()
	done := make(chan struct{}, len(groups))
	pending := 0
	for _, g := range groups {
		if g.ExportProof().ProofAge <= age {
			continue
		}
		pending++
		n.runAsync(func() {
			g.ObtainProof(context.WithoutCancel(ctx))
			done <- struct{}{}
		})
	}
	for ; pending > 0; pending-- {
		select {
		case <-done:
		case <-waitCtx.Done():
			return
		}
	}
}

// hasOlderProof reports whether the proof of any of the groups is older than age.
func (n *Node) hasOlderProof(groups []*bbrlink.Group, age time.Duration) bool {
	for _, g := range groups {
		if g.ExportProof().ProofAge > age {
			return true
		}
	}
	return false
}

// pullUnavailableTables pulls the rows of tables that cannot be read from the store
// from other instances, until ctx ends.
func (n *Node) pullUnavailableTables(ctx context.Context) {
	for ctx.Err() == nil {
		bbrtype.Sleep(ctx, pullRowsInterval)
		versions := n.unavailableVersions()
		if len(versions) == 0 {
			continue
		}
		if err := n.pullRows(ctx, versions); err != nil {
			n.log.WithError(err).Debug("cannot pull rows from another instance")
		}
	}
}

// pullRows requests rows from a random other instance.
func (n *Node) pullRows(ctx context.Context, versions bbrshare.Versions) error {
	address, ok := n.randomPeer()
	if !ok {
		return errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, pullRowsTimeout)
	defer cancel()
	return n.pull(ctx, address, bbrshare.Question{Versions: versions})
}

// unavailableVersions returns, for each table that cannot be read from the store,
// the version of this instance's copy.
func (n *Node) unavailableVersions() bbrshare.Versions {
	n.mu.Lock()
	defer n.mu.Unlock()
	versions := bbrshare.Versions{}
	for table := range n.unavailable {
		versions[table] = n.mirror.Version(table)
	}
	return versions
}
