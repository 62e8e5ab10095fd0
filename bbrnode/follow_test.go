package bbrnode

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrfollow"
	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// fleetSize is the number of instances of a testFleet.
const fleetSize = 8

// testInstance is an instance of a testFleet. Its way to the others and its ways to the store
// can be cut.
type testInstance struct {
	*Node
	address string
	// isSilent lets requests of others wait without a reply, also those that have arrived.
	isSilent atomic.Bool
	// store is its way to the store.
	store *unsteadyStore
}

// unsteadyStore is a way to a store that can be cut.
type unsteadyStore struct {
	bbrrows.Store
	mu sync.Mutex
	// err is the error of each call, nil if the store replies.
	err error
	// isFrozen lets calls that have begun, and all others, wait without a reply.
	isFrozen bool
	// isForgetful lets polls fail once more: the history is gone.
	isForgetful bool
	calls       int
}

// fail lets all calls fail.
func (s *unsteadyStore) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// freeze lets calls wait, also those that have begun.
func (s *unsteadyStore) freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isFrozen = true
}

// state counts a call, and returns how it is to end.
func (s *unsteadyStore) state(counted bool) (isFrozen bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if counted {
		s.calls++
	}
	return s.isFrozen, s.err
}

// callCount returns the number of calls so far.
func (s *unsteadyStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// gate lets a call wait, or fail.
func (s *unsteadyStore) gate(ctx context.Context, counted bool) error {
	isFrozen, err := s.state(counted)
	if isFrozen {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Read implements bbrrows.Store.
func (s *unsteadyStore) Read(ctx context.Context, table string) ([]bbrrows.Row, bbrrows.Version, error) {
	if err := s.gate(ctx, true); err != nil {
		return nil, bbrrows.Version{}, err
	}
	return s.Store.Read(ctx, table)
}

// Watch implements bbrrows.Store.
func (s *unsteadyStore) Watch(ctx context.Context, table string, after bbrrows.Version, wait time.Duration) (bbrrows.ChangeBatch, error) {
	if err := s.gate(ctx, true); err != nil {
		return bbrrows.ChangeBatch{}, err
	}
	s.mu.Lock()
	isForgotten := s.isForgetful
	s.isForgetful = false
	s.mu.Unlock()
	if isForgotten {
		return bbrrows.ChangeBatch{}, bbrrows.ErrCompacted
	}
	batch, err := s.Store.Watch(ctx, table, after, wait)
	if err != nil {
		return batch, err
	}
	return batch, s.gate(ctx, false) // the reply gets lost
}

// testFleet is the instances of a data centre.
type testFleet struct {
	store     *memoryStore
	instances []*testInstance
}

// newFleet runs instances until the test ends. They are listed in the store.
func newFleet(t *testing.T, size int) *testFleet {
	is := is.New(t)
	f := &testFleet{store: &memoryStore{}}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range size {
		f.start(ctx, t, i)
		f.store.put(is, instanceTable, f.instances[i].settings.Name, instanceEntry{DataCentre: "a", Address: f.instances[i].address})
	}
	t.Cleanup(func() {
		cancel()
		for _, instance := range f.instances {
			_ = instance.background.Wait()
		}
	})
	for _, instance := range f.instances {
		instance.run(ctx)
	}
	return f
}

// start makes an instance that serves the others.
func (f *testFleet) start(ctx context.Context, t *testing.T, i int) {
	instance := &testInstance{Node: newTestNode(), store: &unsteadyStore{Store: f.store}}
	n := instance.Node
	n.platform.Store = countedStore{store: instance.store, calls: n.metrics.storeCalls}
	n.platform.DecodeMember = func(id string, value []byte) (bbrdirectory.Member, error) {
		return bbrdirectory.Member{ID: bbrtype.MemberName(id), Group: "orders", Draining: string(value) == `"draining"`}, nil
	}
	n.settings.Name, n.settings.DataCentre = fmt.Sprintf("i%d", i), "a"
	n.settings.ConfigTimeout, n.settings.DrainTimeout = 4*time.Second, 4*time.Second
	n.peerClient = bbrshare.NewClient(&http.Transport{})
	serve := bbrshare.Handler(n.servePull)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply := httptest.NewRecorder()
		if !instance.isSilent.Load() {
			serve.ServeHTTP(reply, r)
		}
		if instance.isSilent.Load() {
			select {
			case <-r.Context().Done():
			case <-ctx.Done():
			}
			return
		}
		maps.Copy(w.Header(), reply.Header())
		w.WriteHeader(reply.Code)
		_, _ = w.Write(reply.Body.Bytes())
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	instance.address = server.Listener.Addr().String()
	n.settings.PeerAddress = instance.address
	if i > 0 {
		n.settings.PeerSeeds = []string{f.instances[0].address}
	}
	f.instances = append(f.instances, instance)
}

// run starts what an instance does to follow the store.
func (i *testInstance) run(ctx context.Context) {
	i.awaitChoice()
	for _, table := range i.followedTables() {
		i.runAsync(func() { i.followTable(ctx, table) })
	}
	i.runAsync(func() { i.followOthers(ctx) })
	i.runAsync(func() { i.pullUnavailableTables(ctx) })
	i.runAsync(func() { i.register(ctx) })
}

// ranked returns the instances by rank.
func (f *testFleet) ranked() []*testInstance {
	var ids []bbrtype.InstanceID
	byID := map[bbrtype.InstanceID]*testInstance{}
	for _, i := range f.instances {
		ids = append(ids, i.selfID())
		byID[i.selfID()] = i
	}
	var out []*testInstance
	for _, id := range bbrrendezvous.Top(bbrfollow.RankKey, ids, len(ids)) {
		out = append(out, byID[id])
	}
	return out
}

// awaitFollowing waits until all instances follow the first-ranked one.
func (f *testFleet) awaitFollowing(t *testing.T) {
	t.Helper()
	ranked := f.ranked()
	waitUntil(t, func() bool {
		for _, i := range ranked[1:] {
			if i.followed() != ranked[0].selfID() {
				return false
			}
		}
		return true
	})
}

// setMember writes a member's entry to the store.
func (f *testFleet) setMember(t *testing.T, state string) {
	f.store.put(is.New(t), "members", "m1", state)
}

// seesMember reports whether an instance knows a member's entry.
func (i *testInstance) seesMember(state string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range i.mirror.Snapshot("members") {
		if string(r.Value) == fmt.Sprintf("%q", state) {
			return true
		}
	}
	return false
}

// awaitMember waits until instances know a member's entry, and returns how long it took.
func awaitMember(t *testing.T, instances []*testInstance, state string) time.Duration {
	t.Helper()
	startedAt := time.Now()
	for _, i := range instances {
		waitUntil(t, func() bool { return i.seesMember(state) })
	}
	return time.Since(startedAt)
}

// TestInstancesFollowOne guards against calls to the store that grow with the number of
// instances: one of a data centre polls it, and the others know as much.
func TestInstancesFollowOne(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSize)
	f.awaitFollowing(t)
	ranked := f.ranked()
	for _, i := range ranked[1:] {
		waitUntil(t, func() bool { return !i.followsStore() }) // asked as a seed, or before the list was read
	}
	time.Sleep(time.Second) // polls that have begun end
	var before []int
	for _, i := range ranked {
		before = append(before, i.store.callCount())
	}
	f.setMember(t, "ready")
	is.True(awaitMember(t, ranked, "ready") < time.Second)
	time.Sleep(3 * time.Second)
	is.True(ranked[0].store.callCount() > before[0])
	for k, i := range ranked[1:] {
		is.Equal(i.store.callCount(), before[k+1])
	}
}

// TestFewInstancesFollowTheStore guards against a change for deployments of few instances.
func TestFewInstancesFollowTheStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, bbrfollow.MinInstances-1)
	time.Sleep(2 * time.Second)
	for _, i := range f.instances {
		is.Equal(i.followed(), bbrtype.InstanceID(""))
		is.True(i.followsStore())
	}
}

// TestFollowerFails guards against a data centre that does not learn of a change because its
// follower fails in some way, and against one that learns of it late.
func TestFollowerFails(t *testing.T) {
	errBusy := errors.New("503")
	tests := map[string]struct {
		// fail lets the first-ranked instance fail, or more.
		fail func(ranked []*testInstance)
		// within bounds the time until all instances that work know of a change.
		within time.Duration
		// failed is how many instances need not know of it.
		failed int
	}{
		"it is cut off from the others, or its replies get lost": {
			fail: func(r []*testInstance) { r[0].isSilent.Store(true) }, within: 2500 * time.Millisecond,
		},
		"it is frozen just after it replied": {fail: func(r []*testInstance) {
			r[0].isSilent.Store(true)
			r[0].store.freeze()
		}, within: 2500 * time.Millisecond, failed: 1},
		"the store rejects its calls": {
			fail: func(r []*testInstance) { r[0].store.fail(bbrrows.ErrRejected) }, within: 4 * time.Second,
		},
		"the store does not reply to it": {
			fail: func(r []*testInstance) { r[0].store.freeze() }, within: 4 * time.Second, failed: 1,
		},
		"its answers of the store get lost": {
			fail: func(r []*testInstance) { r[0].store.fail(errors.New("connection reset")) }, within: 4 * time.Second,
		},
		"it stops": {fail: func(r []*testInstance) {
			r[0].mu.Lock()
			defer r[0].mu.Unlock()
			r[0].stopping = true
		}, within: 2 * time.Second},
		"the history is gone": {fail: func(r []*testInstance) {
			r[0].store.mu.Lock()
			defer r[0].store.mu.Unlock()
			r[0].store.isForgetful = true
		}, within: 2 * time.Second},
		"the three first-ranked ones are rejected": {fail: func(r []*testInstance) {
			for _, i := range r[:3] {
				i.store.fail(errBusy)
			}
		}, within: 4 * time.Second},
		"all but the last-ranked one are rejected": {fail: func(r []*testInstance) {
			for _, i := range r[:len(r)-1] {
				i.store.fail(errBusy)
			}
		}, within: 8 * time.Second},
		"the three first-ranked ones are silent": {fail: func(r []*testInstance) {
			for _, i := range r[:3] {
				i.isSilent.Store(true)
			}
		}, within: 5 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, fleetSize)
			f.setMember(t, "ready")
			f.awaitFollowing(t)
			ranked := f.ranked()
			awaitMember(t, ranked, "ready")
			tt.fail(ranked)
			f.setMember(t, "draining")
			took := awaitMember(t, ranked[tt.failed:], "draining")
			t.Logf("known after %v", took)
			is.True(took < tt.within)
		})
	}
}

// TestFollowersThatDisagree guards against instances that learn nothing, or go back, because
// they follow each other: some can't reach the follower of the rest.
func TestFollowersThatDisagree(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSize)
	f.awaitFollowing(t)
	ranked := f.ranked()
	// The second-ranked one is asked by one of them, and goes on to follow the first itself.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	asker := newTestNode()
	asker.platform.DecodeMember = ranked[0].platform.DecodeMember
	asker.peerClient = bbrshare.NewClient(&http.Transport{})
	asker.settings.ConfigTimeout, asker.settings.DrainTimeout = 4*time.Second, 4*time.Second
	reason := asker.followInstance(ctx, ranked[1].selfID())
	is.Equal(reason, bbrfollow.ReasonNone)
	is.Equal(ranked[1].followed(), ranked[0].selfID())
	is.True(ranked[1].followsStore())
	for k := range 5 {
		state := fmt.Sprintf("ready%d", k)
		f.setMember(t, state)
		is.True(awaitMember(t, ranked, state) < time.Second)
		reason = asker.followInstance(ctx, ranked[1].selfID())
		is.Equal(reason, bbrfollow.ReasonNone)
	}
	is.Equal(asker.tableReads()["members"].Version, ranked[0].tableReads()["members"].Version)
}

// TestFollowerRestored restores the store to a copy that lacks a member's entry: instances
// that follow another one learn of the new era and of the loss, and none of them has the old
// entry back.
func TestFollowerRestored(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSize)
	f.awaitFollowing(t)
	ranked := f.ranked()
	c := f.store.copy()
	f.setMember(t, "lost")
	awaitMember(t, ranked, "lost")
	f.store.restore(c)
	for _, i := range ranked {
		waitUntil(t, func() bool { return i.currentEra().Era == 1 && !i.seesMember("lost") })
	}
	f.store.put(is, "members", "m1", "written again")
	is.True(awaitMember(t, ranked, "written again") < 3*time.Second)
}

// TestDeletionsThatAFollowerDoesNotKnow guards against an entry that stays in use because it
// was removed before its instance's new follower started: that one tells the whole table.
func TestDeletionsThatAFollowerDoesNotKnow(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	store.put(is, "members", "m1", "ready")
	n := newTestNode()
	n.platform.Store = store
	n.platform.DecodeMember = func(id string, _ []byte) (bbrdirectory.Member, error) {
		return bbrdirectory.Member{ID: bbrtype.MemberName(id), Group: "orders"}, nil
	}
	n.peerClient = bbrshare.NewClient(&http.Transport{})
	_, err := n.readWhole(context.Background(), "members")
	is.NoErr(err)
	_, err = store.Write(context.Background(), bbrrows.ConditionalWrite{Delete: []bbrrows.RowKey{{Table: "members", Key: "m1"}}})
	is.NoErr(err)

	follower := newTestNode()
	follower.platform.Store = store
	for _, table := range []string{"configuration", "members", groupTable, instanceTable} {
		_, err = follower.readWhole(context.Background(), table)
		is.NoErr(err)
	}
	address := instanceThat(servesPulls(follower))(t, store)
	is.Equal(n.followInstance(context.Background(), bbrtype.InstanceID(address)), bbrfollow.ReasonNone)
	is.Equal(len(n.mirror.Snapshot("members")), 0)
}

// TestLargeTablesAreReadFromTheStore guards against a narrow link of a follower that is filled
// with copies of a large configuration.
func TestLargeTablesAreReadFromTheStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSize)
	f.awaitFollowing(t)
	large := strings.Repeat("x", maxSharedBytes)
	f.setMember(t, large)
	is.True(awaitMember(t, f.ranked(), large) < 3*time.Second)
}

// TestOlderInstanceIsNoFollower guards against an instance that learns nothing from one of an
// older version, which does not know how to be followed.
func TestOlderInstanceIsNoFollower(t *testing.T) {
	is := is.New(t)
	n := newTestNode()
	n.peerClient = bbrshare.NewClient(&http.Transport{})
	address := instanceThat(func(*memoryStore) http.Handler {
		older := newTestNode()
		return bbrshare.Handler(func(ctx context.Context, q bbrshare.Question) bbrshare.Knowledge {
			q.FollowFor = 0
			return older.servePull(ctx, q)
		})
	})(t, nil)
	is.Equal(n.followInstance(context.Background(), bbrtype.InstanceID(address)), bbrfollow.ReasonNotFollowing)
	is.Equal(n.followed(), bbrtype.InstanceID(""))
}

// TestAllStart guards against a store that all instances read at once when they start
// together: those that are no seeds have the tables from one.
func TestAllStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSize)
	f.setMember(t, "ready")
	awaitMember(t, f.instances, "ready")
	f.awaitFollowing(t)
	read := 0
	for _, i := range f.instances {
		counts := storeCallCounts(is, i.Node)
		for call, count := range counts {
			if call[0] == string(callRead) && call[1] != instanceTable {
				read += int(count)
			}
		}
	}
	is.Equal(read, len(f.instances[0].followedTables())) // by the seed
}

// TestStartWithoutSeeds guards against an instance that does not start because its seeds do
// not reply, or that waits for one.
func TestStartWithoutSeeds(t *testing.T) {
	silent := instanceThat(doesNotRespond)
	tests := map[string]struct {
		seeds []func(*testing.T, *memoryStore) string
	}{
		"no seeds":               {},
		"it has ended":           {seeds: []func(*testing.T, *memoryStore) string{endedInstance}},
		"none replies":           {seeds: []func(*testing.T, *memoryStore) string{silent, silent, silent}},
		"it knows nothing":       {seeds: []func(*testing.T, *memoryStore) string{instanceThat(knowsNothing)}},
		"all but one have ended": {seeds: []func(*testing.T, *memoryStore) string{endedInstance, endedInstance, instanceThat(readsTheStore)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &memoryStore{}
			store.put(is, "members", "m1", "ready")
			n := newTestNode()
			n.platform.Store = store
			n.platform.DecodeMember = func(id string, _ []byte) (bbrdirectory.Member, error) {
				return bbrdirectory.Member{ID: bbrtype.MemberName(id), Group: "orders"}, nil
			}
			n.settings.Name, n.settings.PeerAddress = "i1", "10.0.0.1:1"
			n.settings.ConfigTimeout, n.settings.DrainTimeout = 4*time.Second, 4*time.Second
			n.peerClient = bbrshare.NewClient(&http.Transport{})
			for _, seed := range tt.seeds {
				n.settings.PeerSeeds = append(n.settings.PeerSeeds, seed(t, store))
			}
			instance := &testInstance{Node: n}
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); _ = n.background.Wait() }()
			startedAt := time.Now()
			instance.run(ctx)
			awaitMember(t, []*testInstance{instance}, "ready")
			is.True(time.Since(startedAt) < 2*seedTimeout)
		})
	}
}
