package bbrlink

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// errDialled is what the dialer of these tests returns: the group chose a member.
var errDialled = errors.New("dialled")

func newTestGroup(t *testing.T, connections, instances int) *Group {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := NewGroup("g", Deps{
		Clock: bbrtype.NewClock(), Log: log, DrainBound: 10 * time.Second, Instances: func() int { return instances },
		Dial: func(context.Context, bbrdirectory.Member) (bbrmessage.MemberConn, error) { return nil, errDialled },
	})
	g.SetMembers([]bbrdirectory.Member{{ID: "p", Group: "g"}, {ID: "r", Group: "g"}}, nil, bbrcatalog.Service{Group: "g", MaxConnections: connections})
	g.SetPrimary(Primary{Member: "p", Term: 1})
	return g
}

// chosen returns the member that a statement for the primary is sent to, empty if
// there is none.
func chosen(g *Group) bbrtype.MemberName {
	_, err := g.Acquire(context.Background(), bbrplace.Want{PrimaryOnly: true, Deadline: g.Clock.Now().Add(time.Millisecond)})
	var m *MemberError
	if errors.As(err, &m) {
		return m.Member
	}
	return ""
}

// TestOverdueMember shows that a primary that should have left gets no work, also
// if no other one was promoted.
func TestOverdueMember(t *testing.T) {
	tests := map[string]struct {
		draining bool
		since    time.Duration
		want     bbrtype.MemberName
	}{
		"it stays":                 {want: "p"},
		"it leaves":                {draining: true, since: time.Second, want: "p"},
		"it should have left soon": {draining: true, since: 9 * time.Second},
		"it should have left":      {draining: true, since: time.Minute},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(t, 23, 8)
			members := []bbrdirectory.Member{{ID: "p", Group: "g", Draining: tt.draining}}
			g.SetMembers(members, nil, g.Service())
			if tt.draining {
				g.leaving["p"] = g.Clock.Now().Add(-tt.since)
			}
			g.SetMembers(members, nil, g.Service())
			is.Equal(chosen(g), tt.want)
		})
	}
}

func TestShareOfConnections(t *testing.T) {
	tests := map[string]struct {
		connections, instances int
		share                  int
		scarce                 bool
	}{
		"alone":                        {connections: 23, instances: 1, share: 11},
		"some":                         {connections: 23, instances: 8, share: 2},
		"many":                         {connections: 34, instances: 67, share: 1, scarce: true},
		"many, and members take many":  {connections: 131, instances: 59, share: 2},
		"the instances aren't counted": {connections: 23, instances: 0, share: 11},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(t, tt.connections, tt.instances)
			is.Equal(g.share(), tt.share)
			is.Equal(g.isScarce(), tt.scarce)
		})
	}
}
