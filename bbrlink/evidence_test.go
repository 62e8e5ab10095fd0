package bbrlink

import (
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func replicaLook(id bbrtype.MemberName, term, held bbrtype.Term) LookResult {
	return LookResult{Member: id, Look: bbrmessage.Look{Role: bbrmessage.RoleReplica, Term: term, Held: held}}
}

func primaryLook(id bbrtype.MemberName, term bbrtype.Term) LookResult {
	return LookResult{Member: id, Look: bbrmessage.Look{Role: bbrmessage.RolePrimary, Term: term}}
}

func TestShowsNoChange(t *testing.T) {
	p := Primary{Member: "p", Term: 1}
	silent := LookResult{Member: "r1", Err: errors.New("silent")}
	tests := map[string]struct {
		all  []LookResult
		want bool
	}{
		"all follow": {all: []LookResult{primaryLook("p", 1), replicaLook("r1", 1, 0), replicaLook("r2", 1, 0)}, want: true},
		"one holds":  {all: []LookResult{primaryLook("p", 1), replicaLook("r1", 1, 2), replicaLook("r2", 1, 0)}},
		// A promotion ends holds everywhere, so the silent one may lead already.
		"one is silent":                 {all: []LookResult{primaryLook("p", 1), silent, replicaLook("r2", 1, 0)}},
		"another one leads":             {all: []LookResult{primaryLook("p", 1), primaryLook("r1", 2), replicaLook("r2", 1, 0)}},
		"one has heard of a newer term": {all: []LookResult{primaryLook("p", 1), replicaLook("r1", 2, 0), replicaLook("r2", 1, 0)}},
		"the primary stepped down":      {all: []LookResult{replicaLook("p", 1, 0), replicaLook("r1", 1, 0), replicaLook("r2", 1, 0)}},
		"nobody answers":                {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(showsNoChange(tt.all, p), tt.want)
		})
	}
}

func TestNewerPrimary(t *testing.T) {
	is := is.New(t)
	old := Primary{Member: "p", Term: 1}
	_, ok := newerPrimary([]LookResult{primaryLook("p", 1), replicaLook("r1", 1, 0)}, old)
	is.True(!ok)
	p, ok := newerPrimary([]LookResult{primaryLook("reborn", 1), replicaLook("r1", 1, 0)}, old)
	is.True(ok)
	is.Equal(p, Primary{Member: "reborn", Term: 1})
	p, ok = newerPrimary([]LookResult{primaryLook("p", 1), primaryLook("r1", 3), primaryLook("r2", 2)}, old)
	is.True(ok)
	is.Equal(p, Primary{Member: "r1", Term: 3})
}

// TestProofOfTheNextPrimary replays a proof whose answer came after a change: it
// is about the new primary, and a read that the old one served is not covered.
func TestProofOfTheNextPrimary(t *testing.T) {
	is := is.New(t)
	clock := bbrtype.NewClock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := NewGroup("g", Deps{Clock: clock, Log: log, Instances: func() int { return 1 }})
	old := Primary{Member: "p", Term: 1}
	g.SetPrimary(old)
	arrived := clock.Now()
	g.SetPrimary(Primary{Member: "r1", Term: 2})
	g.ProveTerm(2, arrived.Add(1))
	is.True(!g.Covers(old, arrived))
	is.True(g.Covers(g.Primary(), arrived))
}
