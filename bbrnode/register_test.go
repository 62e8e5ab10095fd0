package bbrnode

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrrows"
)

// entryEra returns the era of an instance's entry in a store, 0 if there is none.
func entryEra(is *is.I, store *memoryStore, name string) bbrrows.Era {
	store.mu.Lock()
	defer store.mu.Unlock()
	row, ok := store.rows[bbrrows.RowKey{Table: instanceTable, Key: name}]
	if !ok {
		return 0
	}
	var e instanceEntry
	is.NoErr(json.Unmarshal(row.Value, &e))
	return e.Era
}

// TestRegisteredAgainAfterRestore restores the store to a copy that lacks the instance's
// entry and has the one of an instance that left: the first is written again, the second
// no longer counts once registerTimeout has passed.
func TestRegisteredAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{version: bbrrows.Version{Era: 1}}
	store.put(is, instanceTable, "gone", instanceEntry{Address: "10.0.0.2:1", Era: 1})
	c := store.copy()
	n := newTestNode()
	n.settings.Name, n.settings.PeerAddress = "i1", "10.0.0.1:1"
	n.platform.Store = store
	ctx, cancel := context.WithCancel(context.Background())
	n.runAsync(func() { n.register(ctx) })
	defer func() { cancel(); _ = n.background.Wait() }()
	waitUntil(t, func() bool { return entryEra(is, store, "i1") == 1 })

	store.restore(c)
	n.recordEra(2) // another call shows the new era
	waitUntil(t, func() bool { return entryEra(is, store, "i1") == 2 })
	waitUntil(t, func() bool { return n.instanceCount() == 2 }) // the other one may still run

	n.mu.Lock()
	n.storeEra.Since = n.storeEra.Since.Add(-registerTimeout)
	n.mu.Unlock()
	n.listInstances(ctx)
	is.Equal(n.instanceCount(), 1)
	_, known := n.randomPeer()
	is.True(!known)
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("not in time")
}
