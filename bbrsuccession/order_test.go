package bbrsuccession

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestOrderExpires guards against an order that is forgotten while it may act, and against
// one that is kept for good.
func TestOrderExpires(t *testing.T) {
	const start = bbrtype.Mono(time.Hour)
	order := Order{Member: "m1", FencingToken: 3}
	claimed := Record{Phase: PhaseClaimed, FencingToken: 3, Orders: []Order{order}}
	renewed := claimed
	renewed.Renewals++
	named := Record{Phase: PhaseNamed, FencingToken: 3, Orders: []Order{order}}
	claimedNext := Record{Phase: PhaseClaimed, FencingToken: 4, Orders: []Order{order}}
	late := start.Add(OrderTTL - time.Second)
	tests := map[string]struct {
		records []Record
		now     bbrtype.Mono
		want    bool
	}{
		"it was just entered":                                {records: []Record{claimed}, now: start.Add(time.Second), want: true},
		"its time is over":                                   {records: []Record{claimed}, now: start.Add(OrderTTL)},
		"the holder has renewed its claim since":             {records: []Record{claimed, renewed}, now: start.Add(OrderTTL), want: true},
		"the record names a primary since":                   {records: []Record{claimed, named}, now: start.Add(OrderTTL)},
		"the next change keeps it, and its time is over":     {records: []Record{claimed, claimedNext}, now: start.Add(OrderTTL)},
		"an instance that has just started reads it":         {records: []Record{named}, now: start.Add(OrderTTL - 1), want: true},
		"the record of the next change has it no more":       {records: []Record{claimed, {Phase: PhaseNamed, FencingToken: 4}}, now: late},
		"the next change keeps it, and its time is not over": {records: []Record{claimed, claimedNext}, now: start.Add(OrderTTL - 1), want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var known VersionedRecord
			for n, r := range tt.records {
				at := start
				if n > 0 {
					at = late
				}
				known = known.Next(r, bbrrows.Version{Number: int64(n + 1)}, at)
			}
			is.Equal(len(known.PendingOrders(tt.now)) == 1, tt.want)
			is.Equal(len(known.OrderedMembers(tt.now)) == 1, tt.want)
		})
	}
}

// TestOrdersOfOtherChangesAreKept guards against a change of primary that drops what an
// earlier one has ordered.
func TestOrdersOfOtherChangesAreKept(t *testing.T) {
	is := is.New(t)
	now := bbrtype.Mono(time.Hour)
	first, second := Order{Member: "m1", FencingToken: 3}, Order{Member: "m2", FencingToken: 4}
	known := VersionedRecord{}.Next(Record{Phase: PhaseClaimed, FencingToken: 4, Orders: []Order{first}}, bbrrows.Version{Number: 1}, now)
	entered := WithOrder(known, second, now)
	is.Equal(entered.Orders, []Order{first, second})
	is.Equal(known.Record.Orders, []Order{first}) // the copy is not changed
	known = known.Next(entered, bbrrows.Version{Number: 2}, now)
	is.Equal(WithOrder(known, second, now).Orders, []Order{first, second})
	is.Equal(WithoutOrders(known, 4, now).Orders, []Order{first})
	is.Equal(len(WithoutOrders(known, 4, now.Add(OrderTTL)).Orders), 0)
}

// TestOrderedMemberIsPreferred guards against two members that are promoted one after the
// other because an earlier order acts late.
func TestOrderedMemberIsPreferred(t *testing.T) {
	at := func(index uint64, draining bool) Candidate {
		return Candidate{Responded: true, Draining: draining, Status: bbrmessage.MemberStatus{
			Role: bbrmessage.RoleReplica, PausedTerm: 2, Received: bbrmessage.LogPosition{Term: 1, Index: index},
		}}
	}
	tests := map[string]struct {
		r1, r2 Candidate
		want   bbrtype.MemberName
	}{
		"both have the same":                         {r1: at(7, false), r2: at(7, false), want: "r2"},
		"the other one has more":                     {r1: at(8, false), r2: at(7, false), want: "r1"},
		"the ordered one has more":                   {r1: at(7, false), r2: at(8, false), want: "r2"},
		"the ordered one leaves, both have the same": {r1: at(7, false), r2: at(7, true), want: "r1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tt.r1.ID, tt.r2.ID = "r1", "r2"
			got := Choose(ElectionInput{
				Members: []Candidate{tt.r1, tt.r2}, OldPrimary: "old", OldTerm: 1, PauseTerm: 2, SyncReplicas: 1,
				Ordered: []bbrtype.MemberName{"r2"},
			})
			is.Equal(got.Decision, DecisionPromote)
			is.Equal(got.Member, tt.want)
		})
	}
}

// TestPromotionThatActedUnseen guards against the loss of commits of a member that was
// ordered to lead by an instance that has ended, and that does not respond.
func TestPromotionThatActedUnseen(t *testing.T) {
	demoted := replica("old", 9, 0)
	tests := map[string]struct {
		members []Candidate
		ordered []bbrtype.MemberName
		want    Decision
		member  bbrtype.MemberName
	}{
		"nothing was ordered": {
			members: []Candidate{demoted, replica("r1", 9, 2), unreachable("r2")}, want: DecisionPromote, member: "r1",
		},
		"the one that was ordered is silent, and so is the other one": {
			members: []Candidate{demoted, unreachable("r1"), unreachable("r2")}, ordered: []bbrtype.MemberName{"r1"}, want: DecisionWait,
		},
		"the one that was ordered is silent, the old primary is not paused": {
			members: []Candidate{demoted, unreachable("r1"), replica("r2", 9, 2)}, ordered: []bbrtype.MemberName{"r1"}, want: DecisionWait,
		},
		"the one that was ordered is silent, all others are paused": {
			members: []Candidate{replica("old", 9, 2), unreachable("r1"), replica("r2", 9, 2)}, ordered: []bbrtype.MemberName{"r1"},
			want: DecisionPromote, member: "old",
		},
		"the one that was ordered responds and does not lead": {
			members: []Candidate{demoted, replica("r1", 9, 2), unreachable("r2")}, ordered: []bbrtype.MemberName{"r1"},
			want: DecisionPromote, member: "r1",
		},
		"the old primary leads": {
			members: []Candidate{primary("old", 9, 1), unreachable("r1"), replica("r2", 9, 2)}, ordered: []bbrtype.MemberName{"r1"}, want: DecisionWait,
		},
		"a primary that was ordered to pause replicates all the same": {
			members: []Candidate{pausedPrimary("old", 9, 1, 2), newerReplica("r1", 7, 2), unreachable("r2")}, want: DecisionWait,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := Choose(ElectionInput{Members: tt.members, OldPrimary: "old", OldTerm: 1, PauseTerm: 2, SyncReplicas: 1, Ordered: tt.ordered})
			is.Equal(got.Decision, tt.want)
			is.Equal(got.Member, tt.member)
		})
	}
}

// pausedPrimary returns a primary that reports the term of an order to pause.
func pausedPrimary(id bbrtype.MemberName, n uint64, term, pausedTerm bbrtype.Term) Candidate {
	c := primary(id, n, term)
	c.Status.PausedTerm = pausedTerm
	return c
}

// TestOrderIsKeptOverRestore guards against an order that a restore of the store lost and
// that acts afterwards.
func TestOrderIsKeptOverRestore(t *testing.T) {
	is := is.New(t)
	now := bbrtype.Mono(time.Hour)
	order := Order{Member: "m1", FencingToken: 2}
	known := VersionedRecord{}.Next(Record{Phase: PhaseClaimed, FencingToken: 2, Orders: []Order{order}}, bbrrows.Version{Era: 1, Number: 9}, now)
	copied := Record{Phase: PhaseNamed, FencingToken: 1, Primary: "old", Term: 1}
	restored := known.Next(copied, bbrrows.Version{Era: 2, Number: 5}, now.Add(time.Second))
	is.Equal(restored.PendingOrders(now.Add(time.Second)), []Order{order})
	is.Equal(len(restored.PendingOrders(now.Add(time.Second+OrderTTL))), 0)
	is.Equal(len(known.Next(copied, bbrrows.Version{Era: 1, Number: 10}, now).PendingOrders(now)), 0) // a later write
}
