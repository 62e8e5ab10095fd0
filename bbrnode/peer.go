package bbrnode

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// pullProofsTimeout bounds a request for proofs to the proof delegate, which may
	// read the store before it replies.
	pullProofsTimeout = 120 * time.Millisecond
	// proofRenewAge is the age above which the proof delegate renews its proofs
	// before it replies.
	proofRenewAge = 400 * time.Millisecond
	// avoidDuration is how long an instance that did not respond is not used as the
	// proof delegate.
	avoidDuration = 2 * time.Second
	// pullRowsTimeout bounds a request for rows, whose reply may be large.
	pullRowsTimeout = 500 * time.Millisecond
	// pullRowsInterval is the interval between two requests for rows while the store
	// is unavailable.
	pullRowsInterval = 250 * time.Millisecond
)

// instanceEntry is the entry of an instance in the store.
type instanceEntry struct {
	DataCentre bbrtype.DataCentre `json:"dataCentre"`
	// Address is where the instance serves requests of other instances.
	Address string `json:"address"`
}

// applyInstances applies the list of instances that was read from the store.
func (n *Node) applyInstances(rows []bbrrows.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.instances.Store(int64(len(rows)))
	n.peers = n.peers[:0]
	for _, r := range rows {
		var e instanceEntry
		if err := json.Unmarshal(r.Value, &e); err != nil {
			n.log.WithField("instance", r.Key).WithError(err).Warn("entry left out")
			continue
		}
		if e.Address != "" && e.Address != n.settings.Peers {
			n.peers = append(n.peers, e)
		}
	}
	n.refreshGroups()
}

// randomPeer returns the address of another instance, chosen at random from those
// that the store lists, or from the seeds if it lists none.
func (n *Node) randomPeer() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	addresses := n.settings.Seeds
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
// instance that reads the store for proofs on behalf of the others, which pull them
// from it. It is the highest-ranked instance that has not failed to respond lately.
// The second result is false if the delegate is this instance.
func (n *Node) proofDelegate() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	self := bbrtype.InstanceID(n.settings.Peers)
	candidates := []bbrtype.InstanceID{self}
	for _, p := range n.peers {
		if p.DataCentre == n.settings.DataCentre && n.avoidedUntil[p.Address] < now {
			candidates = append(candidates, bbrtype.InstanceID(p.Address))
		}
	}
	// "speaker" is the key by which instances are ranked as proof delegates.
	delegate := bbrrendezvous.Top("speaker", candidates, 1)[0]
	return string(delegate), delegate != self
}

// avoid excludes an instance that did not respond from being the proof delegate for
// avoidDuration.
func (n *Node) avoid(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.avoidedUntil[address] = n.clock.Now().Add(avoidDuration)
}

// errNoPeer means that there is no other instance to send a request to.
var errNoPeer = errors.New("no other instance is known")

// pullProofs gets proofs from the proof delegate. Concurrent calls share one
// request. It returns errNoPeer if this instance is the delegate.
func (n *Node) pullProofs(ctx context.Context) error {
	address, ok := n.proofDelegate()
	if !ok {
		return errNoPeer
	}
	return n.peerProofs.do(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, pullProofsTimeout)
		defer cancel()
		err := n.pull(ctx, address, bbrshare.Question{RenewOlder: proofRenewAge})
		if err != nil {
			n.avoid(address)
		}
		return err
	})
}

// pull requests proofs and rows from another instance and applies the reply.
func (n *Node) pull(ctx context.Context, address string, req bbrshare.Question) error {
	sentAt := n.clock.Now()
	k, err := n.peerClient.Pull(ctx, address, req)
	if err != nil {
		return err
	}
	n.applyRows(k.Rows)
	for _, s := range k.Groups {
		if g := n.group(s.Group); g != nil {
			g.MergeProof(s, sentAt)
		}
	}
	return nil
}

// servePull replies to a request of another instance with the proofs and rows of
// this one.
func (n *Node) servePull(ctx context.Context, req bbrshare.Question) bbrshare.Knowledge {
	groups := n.allGroups()
	if req.RenewOlder > 0 && n.hasOlderProof(groups, req.RenewOlder) {
		// If the store does not respond, the reply states the proofs at their actual
		// age.
		_ = n.proveByStore(ctx)
	}
	var k bbrshare.Knowledge
	for _, g := range groups {
		k.Groups = append(k.Groups, g.ExportProof())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for table, version := range req.Versions {
		k.Rows = append(k.Rows, n.mirror.ChangedSince(table, version)...)
	}
	return k
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

// pullUnavailableTables pulls the rows of tables for which the store does not
// respond from other instances, until ctx ends.
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

// unavailableVersions returns the tables for which the store does not respond, with
// the version of each that this instance has.
func (n *Node) unavailableVersions() bbrshare.Versions {
	n.mu.Lock()
	defer n.mu.Unlock()
	versions := bbrshare.Versions{}
	for table := range n.unavailable {
		versions[table] = n.mirror.Version(table)
	}
	return versions
}
