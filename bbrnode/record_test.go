package bbrnode

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// recordStore is a store that holds the record of the group "orders", or none.
type recordStore struct {
	bbrrows.Store
	record  *bbrsuccession.Record
	version bbrrows.Version
}

func (s *recordStore) Read(context.Context, string) ([]bbrrows.Row, bbrrows.Version, error) {
	if s.record == nil {
		return nil, s.version, nil
	}
	value, err := json.Marshal(s.record)
	row := bbrrows.Row{RowKey: bbrrows.RowKey{Table: groupTable, Key: "orders"}, Value: value, Version: s.version}
	return []bbrrows.Row{row}, s.version, err
}

func (s *recordStore) Write(_ context.Context, c bbrrows.ConditionalWrite) (bbrrows.Version, error) {
	for row, value := range c.Set {
		if (c.ExpectedVersions[row].Number != 0) != (s.record != nil) {
			return s.version, bbrrows.ErrConflict
		}
		s.record = &bbrsuccession.Record{}
		if err := json.Unmarshal(value, s.record); err != nil {
			return s.version, err
		}
	}
	s.version.Number++
	return s.version, nil
}

// newRecordNode returns an instance that uses the first of three members as the primary
// of term 1, and read the store in era 1.
func newRecordNode(store bbrrows.Store) (*Node, *bbrlink.Group) {
	status := bbrmessage.MemberStatus{Role: bbrmessage.RoleReplica, Term: 1}
	members := &fakeMembers{statuses: map[bbrtype.MemberName]bbrmessage.MemberStatus{
		"old": {Role: bbrmessage.RolePrimary, Term: 1}, "r1": status, "r2": status,
	}}
	n, g := newFailoverNode(members, store)
	n.loaded[groupTable] = true
	n.recordEra(1)
	g.SetPrimary(bbrlink.Primary{Member: "old", Term: 1})
	return n, g
}

// TestNoProofByRecordOfOldEra restores the store to a copy from before a claim: that the
// copy shows no failover does not prove the old primary.
func TestNoProofByRecordOfOldEra(t *testing.T) {
	tests := map[string]struct {
		restored *bbrsuccession.Record
	}{
		"the copy has no record":       {},
		"the copy has an older record": {restored: &bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, Primary: "old", Term: 1, Era: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			claim := bbrsuccession.Claim(bbrsuccession.VersionedRecord{}, "other", 1)
			store := &recordStore{record: &claim, version: bbrrows.Version{Era: 1, Number: 9}}
			n, g := newRecordNode(store)
			_ = n.proveFromStore(context.Background())
			is.True(!g.IsProvenAt(g.Primary(), n.clock.Now()))

			store.record, store.version = tt.restored, bbrrows.Version{Era: 2, Number: 4}
			is.Equal(n.proveFromStore(context.Background()), errRecordUnconfirmed) // so the members are asked
			is.True(!g.IsProvenAt(g.Primary(), n.clock.Now()))
		})
	}
}

// TestRecordConfirmedAfterRestore confirms a record that a restore lost, once the primary
// is proven after all claims of the older era have expired.
func TestRecordConfirmedAfterRestore(t *testing.T) {
	is := is.New(t)
	store := &recordStore{version: bbrrows.Version{Era: 2, Number: 4}}
	n, g := newRecordNode(store)
	_ = n.proveFromStore(context.Background())
	p := g.Primary()
	is.True(!n.isConfirmDue(g, p, n.clock.Now())) // not proven

	g.RecordStoreProof(p.Term, n.clock.Now())
	is.True(!n.isConfirmDue(g, p, n.clock.Now())) // claims of the older era may be valid

	n.storeEra.Since = n.storeEra.Since.Add(-time.Minute)
	is.True(n.isConfirmDue(g, p, n.clock.Now()))
	n.confirmRecord(context.Background(), g, p)
	is.Equal(*store.record, bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, Primary: "old", Term: 1, Era: 2})
	is.True(!n.isConfirmDue(g, p, n.clock.Now()))
}
