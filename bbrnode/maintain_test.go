package bbrnode

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestNewPrimaryByOldCopyOfRecord guards against stale reads on primary routes: an instance
// whose copy of a group's record is from before the first change of primary must not use
// the new primary while other instances may have proofs of the old one.
func TestNewPrimaryByOldCopyOfRecord(t *testing.T) {
	claim := bbrsuccession.Record{Phase: bbrsuccession.PhaseClaimed, FencingToken: 1, Holder: "other"}
	named := bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, FencingToken: 1, Holder: "other", Primary: "r1", Term: 2}
	older := bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, FencingToken: 1, Holder: "other", Primary: "old", Term: 1}
	tests := map[string]struct {
		// copied is the record in the instance's copy, nil if there was none.
		copied *bbrsuccession.Record
		// meanwhile changes the store before the members are queried, and duringQuery
		// while they are.
		meanwhile, duringQuery func(*is.I, *memoryStore)
		// isDown is set if the store cannot be read any more.
		isDown bool
		// wantWait is set if the proofs of the old primary have to expire first.
		wantWait bool
	}{
		"the store shows no change":             {},
		"the store is down":                     {isDown: true, wantWait: true},
		"a change has begun":                    {meanwhile: putRecord(claim), wantWait: true},
		"a change has begun, the store is down": {meanwhile: putRecord(claim), isDown: true, wantWait: true},
		"a change begins during the query":      {duringQuery: putRecord(claim), wantWait: true},
		"the change is complete":                {meanwhile: putRecord(named)},
		"the store was restored":                {meanwhile: func(_ *is.I, s *memoryStore) { s.restore(&memoryStore{}) }, wantWait: true},
		"the copy names the primary":            {copied: &named, isDown: true},
		"the copy names an older primary":       {copied: &older, wantWait: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &memoryStore{}
			if tt.copied != nil {
				store.put(is, groupTable, "orders", tt.copied)
			}
			n, g, members := newRecordNodeWithMembers(store)
			g.SetPrimary(bbrlink.Primary{})
			rows, version, err := store.Read(context.Background(), groupTable)
			is.NoErr(err)
			n.applyTable(groupTable, rows, version)
			if tt.meanwhile != nil {
				tt.meanwhile(is, store)
			}
			members.lead("r1", 2)
			if tt.isDown {
				store.readErr = errors.New("the store is down")
			}
			if tt.duringQuery != nil {
				members.onStatement = sync.OnceFunc(func() { tt.duringQuery(is, store) })
			}
			n.findPrimary(context.Background(), g)
			is.Equal(g.Primary().Member, bbrtype.MemberName("r1"))
			is.Equal(g.Primary().Term, bbrtype.Term(2))
			is.Equal(g.Primary().UsableFrom > n.clock.Now(), tt.wantWait)
		})
	}
}

// putRecord returns a function that writes a record to a store.
func putRecord(r bbrsuccession.Record) func(*is.I, *memoryStore) {
	return func(is *is.I, s *memoryStore) { s.put(is, groupTable, "orders", r) }
}
