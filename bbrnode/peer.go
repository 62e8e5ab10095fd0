package bbrnode

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// askTimeout bounds a question to another instance.
	askTimeout = 80 * time.Millisecond
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
	n.instances = len(rows)
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

// pickPeer returns the address of another instance, of the same data centre if
// near is set and there is one.
func (n *Node) pickPeer(near bool) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []string
	for _, p := range n.peers {
		if !near || p.DataCentre == n.settings.DataCentre {
			all = append(all, p.Address)
		}
	}
	if len(all) == 0 && len(n.peers) == 0 {
		all = n.settings.Seeds
	}
	if len(all) == 0 {
		return "", false
	}
	return all[rand.IntN(len(all))], true
}

// errNoPeer means that no other instance is known.
var errNoPeer = errors.New("no other instance is known")

// askNear asks an instance of the same data centre for its proofs. One question
// serves all that ask meanwhile.
func (n *Node) askNear(ctx context.Context) error {
	return n.asker.do(ctx, func(ctx context.Context) error {
		return n.pull(ctx, askTimeout, true, nil)
	})
}

// pull asks an instance for its proofs and for rows newer than versions.
func (n *Node) pull(ctx context.Context, timeout time.Duration, near bool, v bbrshare.Versions) error {
	address, ok := n.pickPeer(near)
	if !ok {
		return errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	askedAt := n.clock.Now()
	k, err := n.others.Pull(ctx, address, v)
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
func (n *Node) share(v bbrshare.Versions) bbrshare.Knowledge {
	var k bbrshare.Knowledge
	for _, g := range n.allGroups() {
		k.Groups = append(k.Groups, g.Share())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for table, version := range v {
		k.Rows = append(k.Rows, n.mirror.Since(table, version)...)
	}
	return k
}

// borrow asks other instances for what the store does not answer.
func (n *Node) borrow(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, borrowEvery)
		v := n.lostVersions()
		if len(v) == 0 {
			continue
		}
		if err := n.pull(ctx, borrowTimeout, false, v); err != nil {
			n.log.WithError(err).Debug("nothing borrowed")
		}
	}
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
