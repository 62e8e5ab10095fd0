package bbrnode

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrrows"
)

// listStore is a store of instances' entries that can be restored.
type listStore struct {
	bbrrows.Store
	mu      sync.Mutex
	rows    map[string]bbrrows.Row
	version bbrrows.Version
}

func (s *listStore) Read(context.Context, string) ([]bbrrows.Row, bbrrows.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []bbrrows.Row
	for _, r := range s.rows {
		out = append(out, r)
	}
	return out, s.version, nil
}

func (s *listStore) Write(_ context.Context, c bbrrows.ConditionalWrite) (bbrrows.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version.Number++
	for k, v := range c.Set {
		s.rows[k.Key] = bbrrows.Row{RowKey: k, Value: v, Version: s.version}
	}
	return s.version, nil
}

// restore puts the store back to a copy that has only an entry of an instance that left.
func (s *listStore) restore(gone bbrrows.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = map[string]bbrrows.Row{gone.Key: gone}
	s.version.Era++
}

// entries returns the entries of the store.
func (s *listStore) entries(is *is.I) map[string]instanceEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]instanceEntry{}
	for key, r := range s.rows {
		var e instanceEntry
		is.NoErr(json.Unmarshal(r.Value, &e))
		out[key] = e
	}
	return out
}

// TestRegisteredAgainAfterRestore restores the store to a copy that lacks the instance's
// entry and has the one of an instance that left: the first is written again, the second
// no longer counts once registerTimeout has passed.
func TestRegisteredAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	store := &listStore{rows: map[string]bbrrows.Row{}, version: bbrrows.Version{Era: 1}}
	n := newTestNode()
	n.settings.Name, n.settings.PeerAddress = "i1", "10.0.0.1:1"
	n.platform.Store = store
	ctx, cancel := context.WithCancel(context.Background())
	n.runAsync(func() { n.register(ctx) })
	defer func() { cancel(); _ = n.background.Wait() }()
	waitUntil(t, func() bool { return store.entries(is)["i1"].Era == 1 })

	value, err := json.Marshal(instanceEntry{Address: "10.0.0.2:1", Era: 1})
	is.NoErr(err)
	store.restore(bbrrows.Row{RowKey: bbrrows.RowKey{Table: instanceTable, Key: "gone"}, Value: value})
	n.recordEra(2) // another call shows the new era
	waitUntil(t, func() bool { return store.entries(is)["i1"].Era == 2 })
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
