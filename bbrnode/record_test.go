package bbrnode

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// newRecordNode returns an instance that uses the first of three members as the primary
// of term 1, and has read the store.
func newRecordNode(store *memoryStore) (*Node, *bbrlink.Group) {
	n, g, _ := newRecordNodeWithMembers(store)
	return n, g
}

// newRecordNodeWithMembers is newRecordNode, and returns the members as well.
func newRecordNodeWithMembers(store *memoryStore) (*Node, *bbrlink.Group, *fakeMembers) {
	status := bbrmessage.MemberStatus{Role: bbrmessage.RoleReplica, Term: 1}
	members := &fakeMembers{statuses: map[bbrtype.MemberName]bbrmessage.MemberStatus{
		"old": {Role: bbrmessage.RolePrimary, Term: 1}, "r1": status, "r2": status,
	}}
	n, g := newFailoverNode(members, store)
	n.loaded[groupTable] = true
	n.recordEra(store.version.Era)
	g.SetPrimary(bbrlink.Primary{Member: "old", Term: 1})
	return n, g, members
}

// TestNoProofByRecordOfOldEra restores the store to a copy from before a claim: that the
// copy shows no failover does not prove the old primary.
func TestNoProofByRecordOfOldEra(t *testing.T) {
	tests := map[string]struct {
		beforeCopy *bbrsuccession.Record
	}{
		"the copy has no record":       {},
		"the copy has an older record": {beforeCopy: &bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, Primary: "old", Term: 1, Era: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &memoryStore{version: bbrrows.Version{Era: 1}}
			if tt.beforeCopy != nil {
				store.put(is, groupTable, "orders", tt.beforeCopy)
			}
			c := store.copy()
			confirmed := bbrsuccession.VersionedRecord{Record: bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, Primary: "old", Term: 1, Era: 1}}
			store.put(is, groupTable, "orders", bbrsuccession.Claim(confirmed, "other", 1))
			n, g := newRecordNode(store)
			rows, version, err := store.Read(context.Background(), groupTable)
			is.NoErr(err)
			n.applyTable(groupTable, rows, version)

			store.restore(c)
			is.Equal(n.proveFromStore(context.Background()), errRecordUnconfirmed) // so the members are asked
			is.True(!g.IsProvenAt(g.Primary(), n.clock.Now()))
		})
	}
}

// TestRecordConfirmedAfterRestore confirms a record that a restore lost, once the primary
// is proven after all claims of the older era have expired.
func TestRecordConfirmedAfterRestore(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{version: bbrrows.Version{Era: 1}}
	n, g := newRecordNode(store)
	store.restore(&memoryStore{})
	n.recordEra(2)
	p := g.Primary()
	writes, unconfirmed := n.confirmableRecords(n.clock.Now())
	is.Equal(len(writes), 0) // not proven
	is.Equal(unconfirmed, 1)

	g.RecordStoreProof(p.Term, n.clock.Now())
	writes, _ = n.confirmableRecords(n.clock.Now())
	is.Equal(len(writes), 0) // claims of the older era may be valid

	n.storeEra.Since = n.storeEra.Since.Add(-time.Minute)
	n.confirmRecords(context.Background(), &confirmSchedule{})
	_ = n.background.Wait()
	is.Equal(*store.record(is), bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, Primary: "old", Term: 1, Era: 2})
	_, unconfirmed = n.confirmableRecords(n.clock.Now())
	is.Equal(unconfirmed, 0)
}

// TestLateWriteOfOldEra makes a write of a record late, after a restore, when the store has
// given out again the version that the write expects: the write must not take effect.
func TestLateWriteOfOldEra(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &memoryStore{version: bbrrows.Version{Era: 1}}
	a, _ := newRecordNode(store)
	named := bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, Primary: "old", Term: 1, Era: 1}
	known, err := a.writeRecord(ctx, recordWrite{group: "orders", record: named})
	is.NoErr(err)
	c := store.copy()
	known, err = a.writeRecord(ctx, recordWrite{group: "orders", known: known, record: bbrsuccession.Claim(known, "a", 1)})
	is.NoErr(err)

	var late bbrrows.ConditionalWrite
	store.intercept = func(w bbrrows.ConditionalWrite) error {
		late = w
		return errors.New("no reply")
	}
	_, err = a.writeRecord(ctx, recordWrite{group: "orders", known: known, record: bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, Primary: "r1", Term: 2, Era: 1}})
	is.True(err != nil)
	store.intercept = nil

	store.restore(c)
	b, _ := newRecordNode(store)
	rows, version, err := store.Read(ctx, groupTable)
	is.NoErr(err)
	b.applyTable(groupTable, rows, version)
	claimed, err := b.writeRecord(ctx, recordWrite{group: "orders", known: b.knownRecord("orders"), record: bbrsuccession.Claim(b.knownRecord("orders"), "b", 2)})
	is.NoErr(err)
	row := bbrrows.RowKey{Table: groupTable, Key: "orders"}
	late.ExpectedVersions[row] = claimed.Version // as if the number had been given out before
	_, err = store.Write(ctx, late)
	is.Equal(err, bbrrows.ErrConflict)
	is.Equal(store.record(is).Holder, "b")
}

// TestDelegateProvesByMembers pulls proofs from a delegate that cannot prove its groups by
// their records: it queries the members, once for all instances that pull.
func TestDelegateProvesByMembers(t *testing.T) {
	is := is.New(t)
	n, g := newRecordNode(&memoryStore{version: bbrrows.Version{Era: 1}})
	g.ProveFromStore, g.FetchPeerProofs = n.proveFromStore, n.fetchPeerProofs
	reply := n.servePull(context.Background(), bbrshare.Question{RenewOlder: proofRenewAge})
	is.Equal(len(reply.Groups), 1)
	is.True(reply.Groups[0].ProofAge < time.Second)
}

// TestChangeEndsAfterRestore restores the store while a change of primary writes the new
// primary: the change ends, so that the instance can begin another one.
func TestChangeEndsAfterRestore(t *testing.T) {
	tests := map[string]struct {
		// takesEffect is set if the store makes the write in the new era.
		takesEffect bool
	}{
		"the write is rejected":                 {},
		"the write takes effect in the new era": {takesEffect: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &memoryStore{version: bbrrows.Version{Era: 1}}
			n, g, members := newRecordNodeWithMembers(store)
			n.storeEra.Since = n.storeEra.Since.Add(-time.Minute)
			members.pauseReplicas(2)
			n.platform.Promoter = fakePromoter(func() error {
				members.lead("r1", 2)
				return nil
			})
			store.intercept = func(w bbrrows.ConditionalWrite) error {
				var r bbrsuccession.Record
				_ = json.Unmarshal(w.Set[recordKey("orders")], &r)
				if r.Phase != bbrsuccession.PhaseNamed {
					return nil
				}
				store.version.Era = 2
				n.recordEra(2)
				if tt.takesEffect {
					return nil
				}
				return bbrrows.ErrConflict
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			n.changePrimary(ctx, g, g.Primary(), "test")
			_ = n.background.Wait()
			is.NoErr(ctx.Err())
			is.Equal(g.Primary().Member, bbrtype.MemberName("r1"))
			is.True(n.beginChange("orders"))
		})
	}
}

// TestBegunChangeIsKnown checks that an instance knows of a change of primary as soon as it
// has the claim, until the new primary is named or the holder does not renew the claim.
// Otherwise the claim of a holder that was killed would leave a group without proofs.
func TestBegunChangeIsKnown(t *testing.T) {
	claimed, named := bbrsuccession.PhaseClaimed, bbrsuccession.PhaseNamed
	tests := map[string]struct {
		phases []bbrsuccession.Phase
		age    time.Duration
		want   bool
	}{
		"no record":              {},
		"a claim":                {phases: []bbrsuccession.Phase{claimed}, want: true},
		"the primary is named":   {phases: []bbrsuccession.Phase{claimed, named}},
		"another claim":          {phases: []bbrsuccession.Phase{claimed, named, claimed}, want: true},
		"a claim that is left":   {phases: []bbrsuccession.Phase{claimed}, age: time.Minute},
		"a claim that may renew": {phases: []bbrsuccession.Phase{claimed}, age: bbrsuccession.ClaimTTL, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, _ := newRecordNode(&memoryStore{})
			for i, phase := range tt.phases {
				n.setRecord("orders", bbrsuccession.Record{Phase: phase, Primary: "old", Term: 1}, bbrrows.Version{Number: int64(i + 1)})
			}
			r := n.records["orders"]
			r.FirstReadAt = r.FirstReadAt.Add(-tt.age)
			n.records["orders"] = r
			is.Equal(n.isChanging("orders"), tt.want)
		})
	}
}
