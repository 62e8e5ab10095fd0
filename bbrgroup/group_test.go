package bbrgroup

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrstandindb"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const testGroup bbrtype.GroupName = "orders"

// newGroup returns a configured group whose members are unreachable.
func newGroup(t *testing.T) *Group {
	t.Helper()
	is := is.New(t)
	r := NewRegistry(Deps{Clock: bbrtype.NewClock(), Tasks: &errgroup.Group{}, DataCentre: "derby"})
	t.Cleanup(r.Close)
	r.SetConfig(&bbrconfig.Config{Groups: map[bbrtype.GroupName]*bbrconfig.Group{testGroup: {
		Name: testGroup, Slots: 1, Members: map[bbrtype.MemberName]bbrconfig.Member{
			"m1": {Group: testGroup, Name: "m1", Address: "127.0.0.1:1"},
			"m2": {Group: testGroup, Name: "m2", Address: "127.0.0.1:2"},
		},
	}}}, 1, "hash")
	var s bbrjournal.State
	_, err := s.Apply(bbrjournal.Record{Index: 1, Writer: "i1", Nonce: "n", Entries: []bbrjournal.Entry{
		bbrjournal.Configured{Version: 1, Hash: "hash", Groups: map[bbrtype.GroupName]bbrjournal.ReplicationConfig{
			testGroup: {Members: []bbrtype.MemberName{"m1", "m2"}},
		}},
	}})
	is.NoErr(err)
	r.SetJournalState(&s, 0)
	g, ok := r.Group(testGroup)
	is.True(ok)
	return g
}

func TestAwaitMoveWaitsForAnObservation(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(!g.AwaitObservation(ctx)) // no state was observed: the wait timed out
	is.True(ctx.Err() != nil)

	var tasks errgroup.Group
	result := make(chan bool, 1)
	tasks.Go(func() error {
		result <- g.AwaitObservation(context.Background())
		return nil
	})
	// Wait until the waiter is registered.
	for waiting := false; !waiting; {
		g.mu.Lock()
		waiting = g.waiterCount > 0
		g.mu.Unlock()
	}
	g.Observe("m2", bbrmember.State{Position: 8}, 0)
	is.True(<-result)
	is.NoErr(tasks.Wait())
}

// TestSuspicionCoversAllMembers checks that SuspectConnections closes the idle
// connections to all members, not only to the one that stopped responding.
func TestSuspicionCoversAllMembers(t *testing.T) {
	is := is.New(t)
	clock := bbrtype.NewClock()
	r := NewRegistry(Deps{Clock: clock, Tasks: &errgroup.Group{}, DataCentre: "derby"})
	defer r.Close()
	members := map[bbrtype.MemberName]bbrconfig.Member{}
	for name, primary := range map[bbrtype.MemberName]bool{"m1": true, "m2": false, "m3": false} {
		standIn, err := bbrstandindb.ListenCanned("127.0.0.1:0", primary)
		is.NoErr(err)
		defer standIn.Close()
		members[name] = bbrconfig.Member{Group: testGroup, Name: name, Address: standIn.Addr()}
	}
	r.SetConfig(&bbrconfig.Config{Groups: map[bbrtype.GroupName]*bbrconfig.Group{testGroup: {
		Name: testGroup, Database: "d", User: "u", Slots: 1, Members: members,
	}}}, 1, "hash")
	g, _ := r.Group(testGroup)
	deadline := clock.Now().Add(time.Minute)
	for _, p := range g.Pools() {
		p.Grant(1, deadline)
		c, err := p.Acquire(context.Background(), bbrpool.Ticket{Queue: 1, Deadline: deadline})
		is.NoErr(err)
		p.Release(c, 0)
		is.Equal(p.Stats().Idle, 1)
	}
	g.SuspectConnections()
	for _, p := range g.Pools() {
		is.Equal(p.Stats().Idle, 0)
	}
}
