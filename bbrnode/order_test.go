package bbrnode

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestOrderIsInTheRecordWhileItMayAct guards against a promotion that acts late and that no
// other change of primary knows of.
func TestOrderIsInTheRecordWhileItMayAct(t *testing.T) {
	replica := bbrmessage.MemberStatus{Role: bbrmessage.RoleReplica, Term: 1, Received: bbrmessage.LogPosition{Term: 1, Index: 9}, PausedTerm: 2}
	order := bbrsuccession.Order{Member: "r1", FencingToken: 1}
	tests := map[string]struct {
		promote func() error
		// leads is set if the member leads once its promotion was requested.
		leads bool
		want  []bbrsuccession.Order
	}{
		"the member leads":                       {promote: func() error { return nil }, leads: true},
		"no reply, and then the member leads":    {promote: func() error { return errors.New("no reply") }, leads: true, want: []bbrsuccession.Order{order}},
		"not sent, and then the member leads":    {promote: func() error { return errors.Wrap(bbrsuccession.ErrPromotionNotSent, "connect") }, leads: true},
		"not sent, and then refused":             {promote: errorsInTurn(bbrsuccession.ErrPromotionNotSent, bbrsuccession.ErrPromotionRefused)},
		"refused":                                {promote: func() error { return bbrsuccession.ErrPromotionRefused }},
		"no reply, and then refused":             {promote: errorsInTurn(errors.New("no reply"), bbrsuccession.ErrPromotionRefused), want: []bbrsuccession.Order{order}},
		"accepted, but the member does not lead": {promote: errorsInTurn(nil, bbrsuccession.ErrPromotionRefused), want: []bbrsuccession.Order{order}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := &fakeMembers{statuses: map[bbrtype.MemberName]bbrmessage.MemberStatus{
				"old": {Role: bbrmessage.RolePrimary, Term: 1, Received: replica.Received}, "r1": replica, "r2": replica,
			}}
			store := &fakeStore{writeErr: func(bbrsuccession.Record) error { return nil }}
			n, g := newFailoverNode(members, store)
			var atRequest []bbrsuccession.Order
			n.platform.Promoter = fakePromoter(func() error {
				atRequest = store.lastRecord.Orders
				if tt.leads {
					members.lead("r1", 2)
				}
				return tt.promote()
			})
			n.changePrimary(context.Background(), g, bbrlink.Primary{Member: "old", Term: 1}, "test")
			_ = n.background.Wait()
			is.Equal(atRequest, []bbrsuccession.Order{order}) // entered before it was requested
			is.Equal(store.lastRecord.Orders, tt.want)
		})
	}
}

// TestPromotionIsNotRequestedUnlessEntered guards against a promotion of which the record
// shows nothing because the store did not take the write.
func TestPromotionIsNotRequestedUnlessEntered(t *testing.T) {
	is := is.New(t)
	replica := bbrmessage.MemberStatus{Role: bbrmessage.RoleReplica, Term: 1, Received: bbrmessage.LogPosition{Term: 1, Index: 9}, PausedTerm: 2}
	members := &fakeMembers{statuses: map[bbrtype.MemberName]bbrmessage.MemberStatus{
		"old": {Role: bbrmessage.RolePrimary, Term: 1, Received: replica.Received}, "r1": replica, "r2": replica,
	}}
	store := &fakeStore{writeErr: func(r bbrsuccession.Record) error {
		if len(r.Orders) > 0 {
			return bbrrows.ErrRejected
		}
		return nil
	}}
	n, g := newFailoverNode(members, store)
	requests := 0
	n.platform.Promoter = fakePromoter(func() error {
		requests++
		return nil
	})
	n.changePrimary(context.Background(), g, bbrlink.Primary{Member: "old", Term: 1}, "test")
	_ = n.background.Wait()
	is.Equal(requests, 0)
}

// TestMemberIsChosenAgainOnceEntered guards against the loss of commits that a replica has
// confirmed between the barrier and the time at which the instances know of the promotion,
// as one that was restarted or was told late to resume replication.
func TestMemberIsChosenAgainOnceEntered(t *testing.T) {
	is := is.New(t)
	replica := bbrmessage.MemberStatus{Role: bbrmessage.RoleReplica, Term: 1, Received: bbrmessage.LogPosition{Term: 1, Index: 9}, PausedTerm: 2}
	members := &fakeMembers{statuses: map[bbrtype.MemberName]bbrmessage.MemberStatus{
		"old": {Role: bbrmessage.RolePrimary, Term: 1, Received: replica.Received}, "r1": replica, "r2": replica,
	}}
	ahead := replica
	ahead.Received.Index++
	store := &fakeStore{writeErr: func(r bbrsuccession.Record) error {
		if len(r.Orders) > 0 && r.Orders[0].Member == "r1" {
			members.mu.Lock()
			defer members.mu.Unlock()
			members.statuses["r2"] = ahead
		}
		return nil
	}}
	n, g := newFailoverNode(members, store)
	var entered []bbrsuccession.Order
	n.platform.Promoter = fakePromoter(func() error {
		entered = store.lastRecord.Orders
		members.lead("r2", 2)
		return nil
	})
	n.changePrimary(context.Background(), g, bbrlink.Primary{Member: "old", Term: 1}, "test")
	_ = n.background.Wait()
	is.Equal(entered, []bbrsuccession.Order{{Member: "r2", FencingToken: 1}})
	is.Equal(store.lastRecord.Primary, bbrtype.MemberName("r2"))
}

// TestReplicasStayPausedUntilOrderedOneResumes guards against the loss of commits at an
// instance that knows nothing of an order: the old primary is kept, and the other replica
// confirms its commits while the one that was ordered to lead receives nothing.
func TestReplicasStayPausedUntilOrderedOneResumes(t *testing.T) {
	tests := map[string]struct {
		unreachable bbrtype.MemberName
		// isRefused is set if the order is this change's own, which is refused.
		isRefused   bool
		wantResumed []string
	}{
		"the ordered one resumes":       {wantResumed: []string{"resume r1", "resume r2"}},
		"the ordered one does not":      {unreachable: "r1"},
		"the other one does not":        {unreachable: "r2", wantResumed: []string{"resume r1"}},
		"the order was refused":         {isRefused: true, wantResumed: []string{"resume r1", "resume r2"}},
		"it was refused, and is silent": {isRefused: true, unreachable: "r1", wantResumed: []string{"resume r2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			replica := bbrmessage.MemberStatus{Role: bbrmessage.RoleReplica, Term: 1, Received: bbrmessage.LogPosition{Term: 1, Index: 9}, PausedTerm: 2}
			members := &fakeMembers{statuses: map[bbrtype.MemberName]bbrmessage.MemberStatus{
				"old": {Role: bbrmessage.RolePrimary, Term: 1, Received: replica.Received}, "r1": replica, "r2": replica,
			}}
			n, g := newFailoverNode(members, &fakeStore{writeErr: func(bbrsuccession.Record) error { return nil }})
			n.platform.Promoter = fakePromoter(func() error {
				members.setUnreachable(tt.unreachable)
				return bbrsuccession.ErrPromotionRefused
			})
			if !tt.isRefused {
				record := bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, FencingToken: 7, Primary: "old", Term: 1, Orders: []bbrsuccession.Order{{Member: "r1", FencingToken: 6}}}
				n.records["orders"] = bbrsuccession.VersionedRecord{}.Next(record, bbrrows.Version{}, n.clock.Now())
			}
			n.changePrimary(context.Background(), g, bbrlink.Primary{Member: "old", Term: 1}, "test")
			_ = n.background.Wait()
			for _, s := range []string{"resume r1", "resume r2"} {
				isReached := !strings.HasSuffix(s, string(tt.unreachable)) || tt.unreachable == ""
				is.Equal(isReached && members.hasReceived(s), slices.Contains(tt.wantResumed, s))
			}
		})
	}
}

// TestStoreDoesNotProveWhileOrderMayAct guards against stale reads at an old primary that a
// change has kept, while the promotion of another member acts late.
func TestStoreDoesNotProveWhileOrderMayAct(t *testing.T) {
	tests := map[string]struct {
		orders []bbrsuccession.Order
		want   bool
	}{
		"nothing was ordered":                {want: true},
		"the primary itself was ordered":     {orders: []bbrsuccession.Order{{Member: "old", FencingToken: 1}}, want: true},
		"another member was ordered to lead": {orders: []bbrsuccession.Order{{Member: "r1", FencingToken: 1}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &memoryStore{}
			store.put(is, groupTable, "orders", bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, FencingToken: 1, Holder: "other", Primary: "old", Term: 1, Orders: tt.orders})
			n, g, _ := newRecordNodeWithMembers(store)
			is.NoErr(n.proveByRecords(context.Background()))
			is.Equal(g.ProofSentAt(g.Primary()) != 0, tt.want)
		})
	}
}

// TestLeaderThatNoChangeNamedIsRecorded guards against a record that proves an old primary
// for good after a promotion that was given up has acted.
func TestLeaderThatNoChangeNamedIsRecorded(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	store.put(is, groupTable, "orders", bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, FencingToken: 1, Holder: "other", Primary: "old", Term: 1})
	n, g, members := newRecordNodeWithMembers(store)
	is.NoErr(n.proveByRecords(context.Background()))
	members.lead("r1", 2)
	n.findPrimary(context.Background(), g)
	_ = n.background.Wait()
	record := n.knownRecord("orders").Record
	is.Equal(record.Phase, bbrsuccession.PhaseNamed)
	is.Equal(record.Primary, bbrtype.MemberName("r1"))
	is.Equal(record.Term, bbrtype.Term(2))
	is.True(members.hasReceived("stepDown 2 old"))
}

// TestPausedOldPrimaryIsLookedAtAgain guards against the loss of commits of a newer primary
// that the old one, a replica by now, confirms after it was restarted.
func TestPausedOldPrimaryIsLookedAtAgain(t *testing.T) {
	is := is.New(t)
	paused := bbrmessage.MemberStatus{Role: bbrmessage.RoleReplica, Term: 2, Received: bbrmessage.LogPosition{Term: 2, Index: 9}, PausedTerm: 3}
	behind, ahead := paused, paused
	behind.Received.Index, ahead.Received.Index = 8, 20
	members := &fakeMembers{statuses: map[bbrtype.MemberName]bbrmessage.MemberStatus{"old": behind, "r1": {}, "r2": paused}}
	members.setUnreachable("r1") // the newer primary
	store := &fakeStore{writeErr: func(r bbrsuccession.Record) error {
		if len(r.Orders) > 0 && r.Orders[0].Member == "r2" {
			members.mu.Lock()
			defer members.mu.Unlock()
			members.statuses["old"] = ahead
		}
		return nil
	}}
	n, g := newFailoverNode(members, store)
	var entered []bbrsuccession.Order
	n.platform.Promoter = fakePromoter(func() error {
		entered = store.lastRecord.Orders
		members.lead(entered[0].Member, 4)
		return nil
	})
	n.changePrimary(context.Background(), g, bbrlink.Primary{Member: "old", Term: 1}, "test")
	_ = n.background.Wait()
	is.Equal(entered, []bbrsuccession.Order{{Member: "old", FencingToken: 1}})
}
