package bbrlink

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrholder"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// errDialled is the error of the fake dialer. Acquire returns it if the scheduler has
// selected a member.
var errDialled = errors.New("dialled")

// testFleet returns a fleet of n instances in which the fleet's own is not a holder of
// group g if connections are scarce.
func testFleet(n int) *bbrholder.Fleet {
	others := make([]bbrholder.Instance, max(0, n-1))
	for i := range others {
		others[i].ID = bbrtype.InstanceID(fmt.Sprintf("i%d", i))
	}
	return bbrholder.NewFleet(bbrholder.Instance{ID: "self"}, others)
}

// testShare returns the shares in a fleet of n instances, see testFleet.
func testShare(n int) func(group bbrtype.GroupName, maxConnections, slots int) bbrholder.Share {
	return func(group bbrtype.GroupName, maxConnections, slots int) bbrholder.Share {
		return testFleet(n).Share(group, maxConnections, slots, false)
	}
}

func newTestGroup(t *testing.T, connections, instances int) *Group {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := NewGroup("g", Deps{
		Clock: bbrtype.NewClock(), Log: log, DrainTimeout: 10 * time.Second, Share: testShare(instances),
		Dial: func(context.Context, bbrdirectory.Member) (bbrmessage.MemberConn, error) { return nil, errDialled },
	})
	g.SetMembers([]bbrdirectory.Member{{ID: "p", Group: "g"}, {ID: "r", Group: "g"}}, nil, bbrcatalog.GroupSettings{Group: "g", MaxConnections: connections})
	g.SetPrimary(Primary{Member: "p", Term: 1})
	return g
}

// selectedMember returns the member that the scheduler selects for a statement that
// requires the primary, empty if it selects none.
func selectedMember(g *Group) bbrtype.MemberName {
	_, err := g.Acquire(context.Background(), bbrplace.Requirements{PrimaryOnly: true, Deadline: g.Clock.Now().Add(time.Millisecond)})
	var m *ConnectError
	if errors.As(err, &m) {
		return m.Member
	}
	return ""
}

// TestOverdueMember guards against statements that are sent to a primary whose drain
// time is over, even if no other member was promoted. The primary may stop before it
// replies to them.
func TestOverdueMember(t *testing.T) {
	tests := map[string]struct {
		draining bool
		since    time.Duration
		want     bbrtype.MemberName
	}{
		"the primary does not drain":  {want: "p"},
		"the drain has begun":         {draining: true, since: time.Second, want: "p"},
		"the drain is about to end":   {draining: true, since: 9 * time.Second},
		"the drain should have ended": {draining: true, since: time.Minute},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(t, 23, 8)
			members := []bbrdirectory.Member{{ID: "p", Group: "g", Draining: tt.draining}}
			g.SetMembers(members, nil, g.Settings())
			if tt.draining {
				g.drainingSince["p"] = g.Clock.Now().Add(-tt.since)
			}
			g.SetMembers(members, nil, g.Settings())
			is.Equal(selectedMember(g), tt.want)
		})
	}
}

func TestShareOfConnections(t *testing.T) {
	tests := map[string]struct {
		connections, instances int
		share                  int
		scarce                 bool
	}{
		"one instance":                           {connections: 23, instances: 1, share: 11},
		"a few instances":                        {connections: 23, instances: 8, share: 2},
		"more instances than shared connections": {connections: 34, instances: 67, share: 1, scarce: true},
		"many instances and many connections":    {connections: 131, instances: 59, share: 1, scarce: true},
		"some instances and many connections":    {connections: 131, instances: 24, share: 3},
		"the number of instances is unknown":     {connections: 23, instances: 0, share: 11},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(t, tt.connections, tt.instances)
			share := g.shareIn(bbrdirectory.Member{ID: "p"})
			is.Equal(share.Connections, tt.share)
			is.Equal(!share.KeepsIdle, tt.scarce)
		})
	}
}
