package bbrnode

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrholder"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// minListInterval is the interval between the first two reads of the list of
	// instances. It is short because many instances may have started at the same
	// time. Once the instance is registered, the interval doubles with each read up
	// to maxListInterval.
	minListInterval = 500 * time.Millisecond
	maxListInterval = 20 * time.Second
	// relistInterval is the interval before the list is read again in a new era.
	relistInterval = 5 * time.Second
	// registerSpread is the time over which the instances spread their registrations
	// when the store is in a new era.
	registerSpread = 2 * time.Second
	// registerTimeout is how long after the beginning of an era of the store an entry of
	// an older era counts. An instance that runs has registered again by then, unless it
	// cannot reach the store.
	registerTimeout = 20 * time.Second
)

// instanceEntry is the entry of an instance in the store.
type instanceEntry struct {
	DataCentre bbrtype.DataCentre `json:"dataCentre"`
	// Address is where the instance serves requests of other instances.
	Address string `json:"address"`
	// Era is the era of the store in which the instance registered.
	Era bbrrows.Era `json:"era,omitempty"`
}

// counts reports whether an entry is one of an instance that may run. Each instance
// registers again in each era of the store, because a restore may lose its entry, and put
// back the entry of one that has left. An entry without an era always counts.
func (e instanceEntry) counts(era bbrsuccession.StoreEra, now bbrtype.Mono) bool {
	return e.Era == 0 || e.Era >= era.Era || now.Sub(era.Since) <= registerTimeout
}

// decodeInstance decodes an instance's entry. It returns an error if the entry names no
// usable instance.
func decodeInstance(value []byte) (instanceEntry, error) {
	var e instanceEntry
	if err := json.Unmarshal(value, &e); err != nil {
		return e, errors.Wrap(err, "decode the entry of an instance")
	}
	if a, err := netip.ParseAddrPort(e.Address); e.Address != "" && (err != nil || a.Port() == 0) {
		return e, errors.Errorf("the address %.60q cannot be dialled", e.Address)
	}
	if e.Era < 0 {
		return e, errors.Errorf("the era %d is negative", e.Era)
	}
	return e, nil
}

// register writes the instance's entry to the store, again in each era of the store, and
// reads the list of instances at intervals while it follows the store.
func (n *Node) register(ctx context.Context) {
	registered := false
	registeredEra := bbrrows.Era(0)
	if n.currentEra().Since == 0 {
		n.sleepInEra(ctx, n.eraContext(), minListInterval)
	}
	for interval := minListInterval; ctx.Err() == nil; interval = min(2*interval, maxListInterval) {
		eraCtx := n.eraContext()
		if era := n.currentEra().Era; !registered || era != registeredEra {
			registered, registeredEra = n.writeEntry(ctx, era), era
		}
		if !n.isListed() || n.followsStore() {
			n.listInstances(ctx)
		}
		n.refreshInstances()
		if !registered {
			interval = minListInterval
		}
		if n.sleepInEra(ctx, eraCtx, interval) {
			interval = relistInterval
			bbrtype.Sleep(ctx, rand.N(registerSpread))
		}
	}
}

// listInstances reads the list of instances from the store.
func (n *Node) listInstances(ctx context.Context) {
	if _, err := n.readWhole(ctx, instanceTable); err != nil {
		n.log.WithError(err).Debug("cannot read the list of instances")
		return
	}
	n.refreshInstances()
}

// refreshInstances applies the known list of instances again. Whether an entry counts
// depends on the time.
func (n *Node) refreshInstances() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loaded[instanceTable] {
		n.applyInstances(n.mirror.Snapshot(instanceTable))
	}
}

// writeEntry writes the instance's entry and reports whether it is written. An instance
// that stops writes none.
func (n *Node) writeEntry(ctx context.Context, era bbrrows.Era) bool {
	if n.isStopping() {
		return false
	}
	entry, err := json.Marshal(instanceEntry{DataCentre: n.settings.DataCentre, Address: n.settings.PeerAddress, Era: era})
	if err != nil {
		n.log.WithError(err).Error("cannot encode the instance's entry; the instance is not registered")
		return false
	}
	version, err := n.platform.Store.Write(ctx, bbrrows.ConditionalWrite{Set: map[bbrrows.RowKey][]byte{n.entryKey(): entry}})
	if err != nil {
		n.log.WithError(err).Info("cannot register the instance yet")
		return false
	}
	n.recordEra(version.Era)
	if version.Era == era {
		n.recordRegistered(era)
	}
	return version.Era == era
}

// sleepInEra sleeps, but no longer than the store's era lasts. It reports whether the era
// ended.
func (n *Node) sleepInEra(ctx, eraCtx context.Context, d time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(eraCtx, cancel)
	defer stop()
	bbrtype.Sleep(ctx, d)
	return eraCtx.Err() != nil
}

// entryKey is the key of the instance's own entry.
func (n *Node) entryKey() bbrrows.RowKey {
	return bbrrows.RowKey{Table: instanceTable, Key: n.settings.Name}
}

func (n *Node) isStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping
}

// unregister removes the instance's entry from the store, so that the other
// instances take over its share of the members' connections.
func (n *Node) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if _, err := n.platform.Store.Write(ctx, bbrrows.ConditionalWrite{Delete: []bbrrows.RowKey{n.entryKey()}}); err != nil {
		n.log.WithError(err).Warn("cannot remove the instance's entry from the store")
	}
}

// applyInstances applies the list of instances. n.mu must be held.
func (n *Node) applyInstances(rows []bbrrows.Row) {
	count := len(rows)
	n.peers = n.peers[:0]
	var others []bbrholder.Instance
	for _, r := range rows {
		e, err := decodeInstance(r.Value)
		if err != nil {
			count--
			n.metrics.entriesLeftOut.WithLabelValues(r.Table).Inc()
			n.log.WithField("instance", r.Key).WithError(err).Warn("entry left out")
			continue
		}
		if !e.counts(n.storeEra, n.clock.Now()) {
			count--
			continue
		}
		if e.Address != "" && e.Address != n.settings.PeerAddress {
			n.peers = append(n.peers, e)
			others = append(others, bbrholder.Instance{ID: bbrtype.InstanceID(e.Address), DataCentre: e.DataCentre})
		}
	}
	n.listedInstanceCount.Store(int64(count))
	n.setFleet(others)
	n.refreshGroups()
}
