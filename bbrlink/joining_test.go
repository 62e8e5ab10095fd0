package bbrlink

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestCommitThatAJoiningReplicaAloneConfirmed guards against the loss of commits that only a
// replica has confirmed which joined after the barrier of a change of primary, or before
// each instance knew of it.
func TestCommitThatAJoiningReplicaAloneConfirmed(t *testing.T) {
	commit := bbrmessage.LogPosition{Term: 2, Index: 475}
	lacks, has := bbrmessage.LogPosition{Term: 2, Index: 474}, bbrmessage.LogPosition{Term: 2, Index: 480}
	settings := bbrcatalog.GroupSettings{Group: "g", MaxConnections: 23, SyncReplicas: 1}
	const longAgo, justNow = time.Minute, time.Second
	tests := map[string]struct {
		// listed is how long ago each member was first listed. The group exists for an
		// hour, or if isNew is set, for as long as its oldest member.
		listed     map[bbrtype.MemberName]time.Duration
		isNew      bool
		draining   map[bbrtype.MemberName]bool
		isChanging bool
		received   map[bbrtype.MemberName]bbrmessage.LogPosition
		want       bool
	}{
		"no replica joins": {
			listed: map[bbrtype.MemberName]time.Duration{"p": longAgo, "r": longAgo}, want: true,
		},
		"one joins, and the settled one lacks it": {
			listed:   map[bbrtype.MemberName]time.Duration{"p": longAgo, "r": longAgo, "j": justNow},
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": lacks, "j": has},
		},
		"one joins, and the settled one has it": {
			listed:   map[bbrtype.MemberName]time.Duration{"p": longAgo, "r": longAgo, "j": justNow},
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": has}, want: true,
		},
		"the instance has just started": {
			listed: map[bbrtype.MemberName]time.Duration{"p": justNow, "r": justNow}, isNew: true, want: true,
		},
		"a change has begun, and the replica lacks it": {
			listed:     map[bbrtype.MemberName]time.Duration{"p": longAgo, "r": longAgo},
			isChanging: true, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": lacks},
		},
		"a change has begun, and the replica has it": {
			listed:     map[bbrtype.MemberName]time.Duration{"p": longAgo, "r": longAgo},
			isChanging: true, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": has}, want: true,
		},
		"the settled one leaves, and the joining one lacks it": {
			listed:   map[bbrtype.MemberName]time.Duration{"p": longAgo, "r": longAgo, "j": justNow},
			draining: map[bbrtype.MemberName]bool{"r": true},
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": has, "j": lacks},
		},
		"the settled one leaves, and the joining one has it": {
			listed:   map[bbrtype.MemberName]time.Duration{"p": longAgo, "r": longAgo, "j": justNow},
			draining: map[bbrtype.MemberName]bool{"r": true},
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"j": has}, want: true,
		},
		"a change has begun, and only a leaving replica is there, which lacks it": {
			listed:   map[bbrtype.MemberName]time.Duration{"p": longAgo, "r": longAgo},
			draining: map[bbrtype.MemberName]bool{"r": true}, isChanging: true,
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": lacks},
		},
		"the primary has just joined": {
			listed: map[bbrtype.MemberName]time.Duration{"p": justNow, "r": longAgo}, want: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(t, 23, 1)
			g.Tasks = &errgroup.Group{}
			g.IsChanging = func(bbrtype.GroupName) bool { return tt.isChanging }
			g.SetPrimary(Primary{Member: "p", Term: 2})
			var members []bbrdirectory.Member
			for id := range tt.listed {
				members = append(members, bbrdirectory.Member{ID: id, Group: "g", Draining: tt.draining[id]})
			}
			g.SetMembers(members, nil, settings)
			if !tt.isNew {
				g.firstListing = g.Clock.Now().Add(-time.Hour)
			}
			for id, ago := range tt.listed {
				g.firstListed[id] = g.Clock.Now().Add(-ago)
			}
			for id, position := range tt.received {
				g.recordReceived(g.members[id], position)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*lastingCheckInterval)
			defer cancel()
			is.Equal(g.AwaitLasting(ctx, "p", commit, g.Clock.Now()), tt.want)
			is.NoErr(g.Tasks.Wait())
		})
	}
}

// TestCommitProvesNothingDuringChange guards against stale reads by a proof from a commit
// that a replica confirmed which the change of primary does not know of. Once a settled
// replica is known to have the commit, it is a proof, so that reads go on.
func TestCommitProvesNothingDuringChange(t *testing.T) {
	tests := map[string]struct {
		isChanging, joins bool
		// settledHas is set if the settled replica is known to have the commit.
		settledHas bool
		want       bool
	}{
		"no change has begun, no replica joins":         {want: true},
		"a change has begun":                            {isChanging: true},
		"a replica has just joined":                     {joins: true},
		"a change has begun, the replica has it":        {isChanging: true, settledHas: true, want: true},
		"a replica has just joined, the settled has it": {joins: true, settledHas: true, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(t, 23, 1)
			g.IsChanging = func(bbrtype.GroupName) bool { return tt.isChanging }
			members := []bbrdirectory.Member{{ID: "p", Group: "g"}, {ID: "r", Group: "g"}}
			if tt.joins {
				g.firstListing = g.Clock.Now().Add(-time.Hour)
				g.firstListed["r"] = g.firstListing
				members = append(members, bbrdirectory.Member{ID: "j", Group: "g"})
			}
			g.SetMembers(members, nil, bbrcatalog.GroupSettings{Group: "g", MaxConnections: 23, SyncReplicas: 1})
			sentAt := g.Clock.Now()
			reply := bbrmessage.Reply{Signature: "sig", State: bbrmessage.StateIdle, Position: bbrmessage.LogPosition{Term: 1, Index: 7}}
			g.RecordReply(&Conn{member: bbrdirectory.Member{ID: "p"}}, ReplyRecord{SentAt: sentAt, Reply: reply, IsWriteCommit: true})
			if tt.settledHas {
				g.recordReceived(g.members["r"], reply.Position)
			}
			g.checkLasting(&lastingWait{primary: "p", commit: reply.Position, sentAt: sentAt})
			is.Equal(g.IsProvenAt(g.Primary(), sentAt), tt.want)
		})
	}
}

// TestCommitOfReplacedPrimaryIsReportedAtOnce checks that a commit of which no replica can
// show any more that it lasts is not waited for until the statement's time is over.
func TestCommitOfReplacedPrimaryIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(t, 23, 1)
	g.Tasks = &errgroup.Group{}
	g.IsChanging = func(bbrtype.GroupName) bool { return true }
	g.SetMembers(g.Members(), nil, bbrcatalog.GroupSettings{Group: "g", MaxConnections: 23, SyncReplicas: 1})
	g.SetPrimary(Primary{Member: "r", Term: 3})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.True(!g.AwaitLasting(ctx, "p", bbrmessage.LogPosition{Term: 2, Index: 475}, g.Clock.Now()))
	is.NoErr(ctx.Err()) // it did not wait
	is.NoErr(g.Tasks.Wait())
}

// TestCommitIsNotKeptBecauseAChangeEnds guards against the loss of commits that wait for a
// settled replica while the primary is changed: that the change has ended, or was given up,
// does not show that anything has them.
func TestCommitIsNotKeptBecauseAChangeEnds(t *testing.T) {
	lacks := bbrmessage.LogPosition{Term: 1, Index: 6}
	tests := map[string]struct {
		next Primary
	}{
		"another member leads":    {next: Primary{Member: "r", Term: 2}},
		"the change was given up": {next: Primary{Member: "p", Term: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(t, 23, 1)
			isChanging := true
			g.IsChanging = func(bbrtype.GroupName) bool { return isChanging }
			g.SetMembers(g.Members(), nil, bbrcatalog.GroupSettings{Group: "g", MaxConnections: 23, SyncReplicas: 1})
			g.recordReceived(g.members["r"], lacks)
			w := lastingWait{primary: "p", commit: bbrmessage.LogPosition{Term: 1, Index: 7}, sentAt: g.Clock.Now()}
			g.checkLasting(&w)
			is.True(!w.lasts)
			isChanging = false
			g.SetPrimary(tt.next)
			g.checkLasting(&w)
			is.True(!w.lasts)
			is.Equal(w.isReplaced, tt.next.Term > 1)
		})
	}
}
