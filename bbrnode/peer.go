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
	// askTimeout bounds a question to another instance, which may ask the store.
	askTimeout = 120 * time.Millisecond
	// renewOlder is the age of proofs that the asked instance is to renew.
	renewOlder = 400 * time.Millisecond
	// avoidTime is how long an instance that did not answer is not asked.
	avoidTime = 2 * time.Second
	// borrowTimeout bounds a question for rows, which may be large.
	borrowTimeout = 500 * time.Millisecond
	// borrowEvery is how often rows are asked for while the store does not answer.
	borrowEvery = 250 * time.Millisecond
)

// instanceEntry is what an instance says of itself in the store.
type instanceEntry struct {
	DataCentre bbrtype.DataCentre `json:"dataCentre"`
	// Address is where it answers other instances.
	Address string `json:"address"`
}

// takeInstances takes in the instances that the store lists.
func (n *Node) takeInstances(rows []bbrrows.Row) {
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

// anyPeer returns the address of another instance.
func (n *Node) anyPeer() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := n.settings.Seeds
	if len(n.peers) > 0 {
		all = all[:0:0]
		for _, p := range n.peers {
			all = append(all, p.Address)
		}
	}
	if len(all) == 0 {
		return "", false
	}
	return all[rand.IntN(len(all))], true
}

// speaker returns the address of the instance that asks the store for all of its
// data centre: the first one by rank that answers. It returns false if it is this
// instance.
func (n *Node) speaker() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	self := bbrtype.InstanceID(n.settings.Peers)
	near := []bbrtype.InstanceID{self}
	for _, p := range n.peers {
		if p.DataCentre == n.settings.DataCentre && n.avoided[p.Address] < now {
			near = append(near, bbrtype.InstanceID(p.Address))
		}
	}
	first := bbrrendezvous.Top("speaker", near, 1)[0]
	return string(first), first != self
}

// avoid leaves an instance that did not answer out for a while.
func (n *Node) avoid(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.avoided[address] = n.clock.Now().Add(avoidTime)
}

// errNoPeer means that no other instance is known.
var errNoPeer = errors.New("no other instance is known")

// askNear asks the speaker of the data centre for its proofs. One question serves
// all that ask meanwhile.
func (n *Node) askNear(ctx context.Context) error {
	address, ok := n.speaker()
	if !ok {
		return errNoPeer
	}
	return n.asker.do(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		err := n.pull(ctx, address, bbrshare.Question{RenewOlder: renewOlder})
		if err != nil {
			n.avoid(address)
		}
		return err
	})
}

// pull asks an instance and takes in what it tells.
func (n *Node) pull(ctx context.Context, address string, q bbrshare.Question) error {
	askedAt := n.clock.Now()
	k, err := n.others.Pull(ctx, address, q)
	if err != nil {
		return err
	}
	n.takeRows(k.Rows)
	for _, s := range k.Groups {
		if g := n.group(s.Group); g != nil {
			g.TakeShared(s, askedAt)
		}
	}
	return nil
}

// share tells other instances what this one knows.
func (n *Node) share(ctx context.Context, q bbrshare.Question) bbrshare.Knowledge {
	groups := n.allGroups()
	if q.RenewOlder > 0 && n.isOlder(groups, q.RenewOlder) {
		// Without the store the proofs are told as old as they are.
		_ = n.vouch(ctx)
	}
	var k bbrshare.Knowledge
	for _, g := range groups {
		k.Groups = append(k.Groups, g.Share())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for table, version := range q.Versions {
		k.Rows = append(k.Rows, n.mirror.Since(table, version)...)
	}
	return k
}

// isOlder reports whether a group's proof is older than a time.
func (n *Node) isOlder(groups []*bbrlink.Group, age time.Duration) bool {
	for _, g := range groups {
		if g.Share().ProvenAgo > age {
			return true
		}
	}
	return false
}

// borrow asks other instances for what the store does not answer.
func (n *Node) borrow(ctx context.Context) {
	for ctx.Err() == nil {
		bbrtype.Sleep(ctx, borrowEvery)
		v := n.lostVersions()
		if len(v) == 0 {
			continue
		}
		if err := n.borrowRows(ctx, v); err != nil {
			n.log.WithError(err).Debug("nothing borrowed")
		}
	}
}

// borrowRows asks any instance for rows.
func (n *Node) borrowRows(ctx context.Context, v bbrshare.Versions) error {
	address, ok := n.anyPeer()
	if !ok {
		return errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	return n.pull(ctx, address, bbrshare.Question{Versions: v})
}

// lostVersions returns the versions of the tables that the store does not answer
// for.
func (n *Node) lostVersions() bbrshare.Versions {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := bbrshare.Versions{}
	for name := range n.lost {
		v[name] = n.mirror.Version(name)
	}
	return v
}
