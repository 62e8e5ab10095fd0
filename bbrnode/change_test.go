package bbrnode

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// fakeMembers are members that note what they are told. Their looks never change.
type fakeMembers struct {
	mu    sync.Mutex
	looks map[bbrtype.MemberName]bbrmessage.Look
	told  []string
}

// wasTold reports whether any member was told something that begins so.
func (f *fakeMembers) wasTold(prefix string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.told {
		if strings.HasPrefix(t, prefix) {
			return true
		}
	}
	return false
}

// fakeConn is a connection to a fake member.
type fakeConn struct {
	members *fakeMembers
	id      bbrtype.MemberName
}

func (c *fakeConn) Texts() bbrmessage.Texts { return fakeTexts{c: c} }
func (c *fakeConn) Close() error            { return nil }

func (c *fakeConn) Send(_ time.Time, statements ...bbrmessage.Guarded) error {
	c.members.mu.Lock()
	defer c.members.mu.Unlock()
	for _, s := range statements {
		c.members.told = append(c.members.told, s.Text+" "+string(c.id))
	}
	return nil
}

func (c *fakeConn) Receive(time.Time) (bbrmessage.Reply, error) {
	return bbrmessage.Reply{Rows: []string{string(c.id)}}, nil
}

// fakeTexts are the words of fake members.
type fakeTexts struct {
	bbrmessage.Texts
	c *fakeConn
}

func (fakeTexts) Look() string                   { return "look" }
func (fakeTexts) Hold(t bbrtype.Term) string     { return fmt.Sprintf("hold %d", t) }
func (fakeTexts) Resume() string                 { return "resume" }
func (fakeTexts) StepDown(t bbrtype.Term) string { return fmt.Sprintf("stepDown %d", t) }
func (t fakeTexts) ParseLook(string) (bbrmessage.Look, error) {
	t.c.members.mu.Lock()
	defer t.c.members.mu.Unlock()
	return t.c.members.looks[t.c.id], nil
}

// fakeRows are a store's rows. Each write is answered by refuse first.
type fakeRows struct {
	bbrrows.Rows
	refuse func(bbrsuccession.Record) error
	last   bbrsuccession.Record
	n      int64
}

func (f *fakeRows) Write(_ context.Context, c bbrrows.Change) (int64, error) {
	var r bbrsuccession.Record
	for _, v := range c.Set {
		_ = json.Unmarshal(v, &r)
	}
	if err := f.refuse(r); err != nil {
		return 0, err
	}
	f.n++
	f.last = r
	return f.n, nil
}

func (f *fakeRows) Read(context.Context, string) ([]bbrrows.Row, int64, error) {
	return nil, 0, errors.New("away")
}

type fakePromoter func() error

func (f fakePromoter) Promote(context.Context, bbrsuccession.Order) error { return f() }

// TestHoldsOfOthers shows when a change that ends badly lets replicas receive
// again: only if nobody can need the holds.
func TestHoldsOfOthers(t *testing.T) {
	replica := bbrmessage.Look{Role: bbrmessage.RoleReplica, Term: 1, Received: bbrmessage.Place{Term: 1, Number: 9}, Held: 2}
	leader := bbrmessage.Look{Role: bbrmessage.RolePrimary, Term: 2, Received: bbrmessage.Place{Term: 2, Number: 1}}
	tests := map[string]struct {
		promote func() error
		// after is what r1 shows once its promotion was ordered.
		after  bbrmessage.Look
		refuse func(bbrsuccession.Record) error
		// resumed is set if replicas are to receive again.
		resumed bool
		phase   bbrsuccession.Phase
	}{
		"the promotion took effect": {after: leader, resumed: true, phase: bbrsuccession.PhaseNamed},
		"the promotion was refused": {
			promote: func() error { return bbrsuccession.ErrRefused }, after: replica,
			resumed: true, phase: bbrsuccession.PhaseNamed,
		},
		"a promotion without an answer, and the claim runs out": {
			promote: func() error { return errors.New("no answer") }, after: replica,
			refuse: refuseRenewals, phase: bbrsuccession.PhaseClaimed,
		},
		"a promotion without an answer is refused the second time": {
			promote: once(errors.New("no answer"), bbrsuccession.ErrRefused), after: replica, phase: bbrsuccession.PhaseClaimed,
		},
		"another one claims before the new primary is named": {
			after: leader, phase: bbrsuccession.PhaseClaimed,
			refuse: func(r bbrsuccession.Record) error {
				if r.Phase == bbrsuccession.PhaseNamed {
					return bbrrows.ErrConflict
				}
				return nil
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := &fakeMembers{looks: map[bbrtype.MemberName]bbrmessage.Look{
				"old": {Role: bbrmessage.RolePrimary, Term: 1, Received: replica.Received}, "r1": replica, "r2": replica,
			}}
			rows := &fakeRows{refuse: tt.refuse}
			if rows.refuse == nil {
				rows.refuse = func(bbrsuccession.Record) error { return nil }
			}
			n, g := newChangeNode(members, rows)
			n.ports.Promoter = fakePromoter(func() error {
				members.mu.Lock()
				members.looks["r1"] = tt.after
				members.mu.Unlock()
				if tt.promote == nil {
					return nil
				}
				return tt.promote()
			})
			n.change(context.Background(), g, bbrlink.Primary{Member: "old", Term: 1}, "test")
			_ = n.work.Wait()
			is.True(members.wasTold("hold 2 r2"))
			is.Equal(members.wasTold("resume"), tt.resumed)
			is.Equal(rows.last.Phase, tt.phase)
		})
	}
}

// refuseRenewals lets the first claim through and no other change.
func refuseRenewals(r bbrsuccession.Record) error {
	if r.Renewed > 0 || r.Phase != bbrsuccession.PhaseClaimed {
		return bbrrows.ErrTurnedAway
	}
	return nil
}

// once returns a first error, and another one from then on.
func once(first, then error) func() error {
	n := 0
	return func() error {
		n++
		if n == 1 {
			return first
		}
		return then
	}
}

// newChangeNode returns an instance that knows a group of three fake members.
func newChangeNode(members *fakeMembers, rows bbrrows.Rows) (*Node, *bbrlink.Group) {
	n := newTestNode()
	n.settings.Name = "i1"
	n.ports.Rows = rows
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	g := bbrlink.NewGroup("orders", bbrlink.Deps{
		Clock: n.clock, Log: log, Group: n.work, Instances: n.instanceCount,
		Dial: func(_ context.Context, m bbrdirectory.Member) (bbrmessage.MemberConn, error) {
			return &fakeConn{members: members, id: m.ID}, nil
		},
	})
	g.SetMembers([]bbrdirectory.Member{{ID: "old", Draining: true}, {ID: "r1"}, {ID: "r2", Draining: true}}, nil,
		bbrcatalog.Service{Group: "orders", MaxConnections: 23, SyncReplicas: 1})
	n.groups["orders"] = g
	return n, g
}
