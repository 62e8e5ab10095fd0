package bbrlink

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

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
	_, ok := newerPrimary([]LookResult{primaryLook("p", 1), replicaLook("r1", 1, 0)}, 1)
	is.True(!ok)
	p, ok := newerPrimary([]LookResult{primaryLook("p", 1), primaryLook("r1", 3), primaryLook("r2", 2)}, 1)
	is.True(ok)
	is.Equal(p, Primary{Member: "r1", Term: 3})
}
