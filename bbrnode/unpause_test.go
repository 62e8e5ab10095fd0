package bbrnode

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrholder"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// received returns the statements that members have received, and forgets them.
func (f *fakeMembers) received() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.statements
	f.statements = nil
	slices.Sort(out)
	return out
}

// advance lets time pass for the checks of a group.
func (c *pauseChecks) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedAt -= bbrtype.Mono(d)
	if c.checkedAt != 0 {
		c.checkedAt -= bbrtype.Mono(d)
	}
	for id, p := range c.paused {
		p.firstAt -= bbrtype.Mono(d)
		c.paused[id] = p
	}
}

// newPausedNode returns an instance whose group has the replica r1, which has stayed paused
// after a change of primary that has kept the old one.
func newPausedNode(t *testing.T) (*Node, *bbrlink.Group, *fakeMembers, *memoryStore) {
	is := is.New(t)
	store := &memoryStore{}
	store.put(is, groupTable, "orders", bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, FencingToken: 1, Holder: "other", Primary: "old", Term: 1})
	n, g, members := newRecordNodeWithMembers(store)
	readRecords(is, n, store)
	members.statuses["r1"] = bbrmessage.MemberStatus{Role: bbrmessage.RoleReplica, Term: 1, PausedTerm: 2}
	return n, g, members, store
}

// rankLast lists other instances until one of them ranks before this one.
func rankLast(n *Node) {
	var others []bbrholder.Instance
	for n.inspectionRank("orders") == 0 {
		others = append(others, bbrholder.Instance{ID: bbrtype.InstanceID(fmt.Sprintf("other%d", len(others)))})
		n.setFleet(others)
	}
}

// restoreLongAgo lets an instance know the records after a restore of the store that was
// longer ago than any claim or promotion lasts.
func restoreLongAgo(is *is.I, n *Node, s *memoryStore) {
	s.restore(s.copy())
	readRecords(is, n, s)
	letErasAge(n)
}

// readRecords lets an instance read the records.
func readRecords(is *is.I, n *Node, s *memoryStore) {
	rows, version, err := s.Read(context.Background(), groupTable)
	is.NoErr(err)
	n.applyTable(groupTable, rows, version)
}

// letErasAge lets the time pass for which claims and promotions last, since the store was
// restored and the record was read.
func letErasAge(n *Node) {
	n.storeEra.Since = n.storeEra.Since.Add(-bbrsuccession.OrderTTL)
	r := n.records["orders"]
	r.FirstReadAt = r.FirstReadAt.Add(-bbrsuccession.OrderTTL)
	n.records["orders"] = r
}

// check runs the check that is due, if any.
func check(n *Node, g *bbrlink.Group, c *pauseChecks) {
	n.checkPaused(context.Background(), g, c)
	_ = n.background.Wait()
}

// TestReplicaThatStayedPaused guards against a replica that receives nothing any more
// because an order to resume replication got lost, and against an order to resume that
// undoes the barrier of another change of primary.
func TestReplicaThatStayedPaused(t *testing.T) {
	claim := bbrsuccession.Record{Phase: bbrsuccession.PhaseClaimed, FencingToken: 2, Holder: "other", Primary: "old", Term: 1}
	again := bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, FencingToken: 2, Holder: "other", Primary: "old", Term: 1}
	tests := map[string]struct {
		// before happens before the first check, between happens before the second one.
		before, between func(*is.I, *Node, *bbrlink.Group, *fakeMembers, *memoryStore)
		wantResumed     bool
	}{
		"paused since the change": {wantResumed: true},
		"not paused": {before: func(_ *is.I, _ *Node, _ *bbrlink.Group, m *fakeMembers, _ *memoryStore) {
			m.pauseReplicas(0)
		}},
		"resumed meanwhile": {between: func(_ *is.I, _ *Node, _ *bbrlink.Group, m *fakeMembers, _ *memoryStore) {
			m.pauseReplicas(0)
		}},
		"paused again meanwhile, under a newer term": {between: func(_ *is.I, _ *Node, _ *bbrlink.Group, m *fakeMembers, _ *memoryStore) {
			m.pauseReplicas(3)
		}},
		"the store shows a claim": {between: func(is *is.I, _ *Node, _ *bbrlink.Group, _ *fakeMembers, s *memoryStore) {
			s.put(is, groupTable, "orders", claim)
		}},
		"another change has ended meanwhile": {between: func(is *is.I, _ *Node, _ *bbrlink.Group, _ *fakeMembers, s *memoryStore) {
			s.put(is, groupTable, "orders", again)
		}},
		"the store does not respond": {between: func(_ *is.I, _ *Node, _ *bbrlink.Group, _ *fakeMembers, s *memoryStore) {
			s.readErr = errors.New("the store is down")
		}},
		"the store was restored": {between: func(_ *is.I, _ *Node, _ *bbrlink.Group, _ *fakeMembers, s *memoryStore) {
			s.restore(s.copy())
		}},
		"the record is unconfirmed, and claims that a restore lost have expired": {before: func(is *is.I, n *Node, _ *bbrlink.Group, _ *fakeMembers, s *memoryStore) {
			restoreLongAgo(is, n, s)
		}, wantResumed: true},
		"the record is unconfirmed": {before: func(is *is.I, n *Node, _ *bbrlink.Group, _ *fakeMembers, s *memoryStore) {
			restoreLongAgo(is, n, s)
			n.storeEra.Since = n.clock.Now()
		}},
		"the record is of an older era": {before: func(_ *is.I, n *Node, _ *bbrlink.Group, _ *fakeMembers, _ *memoryStore) {
			n.recordEra(1)
			letErasAge(n)
		}},
		"the record is claimed": {before: func(is *is.I, n *Node, _ *bbrlink.Group, _ *fakeMembers, s *memoryStore) {
			s.put(is, groupTable, "orders", claim)
			readRecords(is, n, s)
			letErasAge(n)
		}},
		"another primary is in use": {before: func(_ *is.I, _ *Node, g *bbrlink.Group, _ *fakeMembers, _ *memoryStore) {
			g.SetPrimary(bbrlink.Primary{Member: "r2", Term: 2})
		}},
		"this instance changes the primary": {between: func(is *is.I, n *Node, _ *bbrlink.Group, _ *fakeMembers, _ *memoryStore) {
			is.True(n.beginChange("orders"))
		}},
		"another instance ranks first": {before: func(_ *is.I, n *Node, _ *bbrlink.Group, _ *fakeMembers, _ *memoryStore) {
			rankLast(n)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, g, members, store := newPausedNode(t)
			if tt.before != nil {
				tt.before(is, n, g, members, store)
			}
			c := &pauseChecks{}
			check(n, g, c)
			is.Equal(len(members.received()), 0) // the change may still resume it
			c.advance(firstPauseCheckDelay)
			check(n, g, c)
			is.True(!members.hasReceived("resume")) // a change may just have paused it
			if tt.between != nil {
				tt.between(is, n, g, members, store)
			}
			c.advance(minPauseCheckInterval)
			check(n, g, c)
			is.Equal(members.hasReceived("resume r1"), tt.wantResumed)
			is.True(!members.hasReceived("resume r2") && !members.hasReceived("resume old"))
		})
	}
}

// TestQueriesForPausedReplicas guards against queries of members without end.
func TestQueriesForPausedReplicas(t *testing.T) {
	is := is.New(t)
	n, g, members, store := newPausedNode(t)
	members.pauseReplicas(0)
	c := &pauseChecks{}
	queries := func() (count int) {
		for _, s := range members.received() {
			if strings.HasPrefix(s, "look") {
				count++
			}
		}
		return count
	}
	run := func(d time.Duration) int {
		for ; d > 0; d -= 100 * time.Millisecond {
			c.advance(100 * time.Millisecond)
			check(n, g, c)
		}
		return queries()
	}
	check(n, g, c)
	is.Equal(run(10*time.Second), 2)
	is.Equal(run(10*time.Second), 2)
	is.Equal(run(10*time.Minute), 0)
	store.put(is, groupTable, "orders", bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, FencingToken: 2, Holder: "other", Primary: "old", Term: 1})
	readRecords(is, n, store)
	is.Equal(run(10*time.Second), 2)
}

// TestNoQueriesWithoutChange guards against queries of members where no primary was changed.
func TestNoQueriesWithoutChange(t *testing.T) {
	tests := map[string]*bbrsuccession.Record{
		"no record":          nil,
		"a confirmed record": {Phase: bbrsuccession.PhaseNamed, Primary: "old", Term: 1},
	}
	for name, record := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, g, members := newRecordNodeWithMembers(&memoryStore{})
			if record != nil {
				n.setRecord("orders", *record, bbrrows.Version{Number: 1})
			}
			c := &pauseChecks{}
			check(n, g, c)
			c.advance(time.Minute)
			check(n, g, c)
			is.Equal(len(members.received()), 0)
		})
	}
}

// TestOrderedReplicaIsResumedFirst guards against the loss of commits that other replicas
// confirm before the one whose promotion may still act receives them.
func TestOrderedReplicaIsResumedFirst(t *testing.T) {
	paused := bbrsuccession.Candidate{Responded: true, Status: bbrmessage.MemberStatus{Role: bbrmessage.RoleReplica, PausedTerm: 2}}
	receives := bbrsuccession.Candidate{Responded: true, Status: bbrmessage.MemberStatus{Role: bbrmessage.RoleReplica}}
	tests := map[string]struct {
		r1, r2  bbrsuccession.Candidate
		stayed  []bbrtype.MemberName
		ordered []bbrtype.MemberName
		want    []bbrtype.MemberName
	}{
		"nothing was ordered":               {r1: paused, r2: paused, stayed: []bbrtype.MemberName{"r1", "r2"}, want: []bbrtype.MemberName{"r1", "r2"}},
		"the ordered one is paused":         {r1: paused, r2: paused, stayed: []bbrtype.MemberName{"r1", "r2"}, ordered: []bbrtype.MemberName{"r1"}, want: []bbrtype.MemberName{"r1"}},
		"the ordered one is silent":         {r2: paused, stayed: []bbrtype.MemberName{"r2"}, ordered: []bbrtype.MemberName{"r1"}},
		"the ordered one receives":          {r1: receives, r2: paused, stayed: []bbrtype.MemberName{"r2"}, ordered: []bbrtype.MemberName{"r1"}, want: []bbrtype.MemberName{"r2"}},
		"the ordered one is listed no more": {r1: receives, r2: paused, stayed: []bbrtype.MemberName{"r2"}, ordered: []bbrtype.MemberName{"gone"}, want: []bbrtype.MemberName{"r2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tt.r1.ID, tt.r2.ID = "r1", "r2"
			got := resumableReplicas(tt.stayed, []bbrsuccession.Candidate{tt.r1, tt.r2}, tt.ordered)
			is.Equal(len(got), len(tt.want))
			for _, id := range tt.want {
				is.True(slices.Contains(got, id))
			}
		})
	}
}
