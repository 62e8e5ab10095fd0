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

// TestCommitThatAReplicaConfirmedWhichAChangeLeavesOut guards against the loss of commits
// that only a replica has confirmed which has replied to no instance, or whose entry is
// gone, or which joined after the claim of a change of primary.
func TestCommitThatAReplicaConfirmedWhichAChangeLeavesOut(t *testing.T) {
	commit := bbrmessage.LogPosition{Term: 2, Index: 475}
	lacks, has := bbrmessage.LogPosition{Term: 2, Index: 474}, bbrmessage.LogPosition{Term: 2, Index: 480}
	const longAgo, beforeClaim, afterClaim = time.Minute, 4 * time.Second, 2 * time.Second
	const claimed = 3 * time.Second
	tests := map[string]struct {
		// listed is how long ago each replica was first listed.
		listed   map[bbrtype.MemberName]time.Duration
		unseen   map[bbrtype.MemberName]bool
		draining map[bbrtype.MemberName]bool
		// missing is a member whose entry has disappeared, and expired one that was
		// dropped for that.
		missing, expired bbrtype.MemberName
		// isChanging is set if a change of primary was claimed.
		isChanging bool
		received   map[bbrtype.MemberName]bbrmessage.LogPosition
		want       bool
	}{
		"all replicas have shown that they run": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo, "x": longAgo}, want: true,
		},
		"one has not, and the other one lacks it": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo, "x": longAgo}, unseen: map[bbrtype.MemberName]bool{"x": true},
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": lacks, "x": has},
		},
		"one has not, and the position of the other one is not known": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo, "x": longAgo}, unseen: map[bbrtype.MemberName]bool{"x": true},
		},
		"one has not, and the other one has it": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo, "x": longAgo}, unseen: map[bbrtype.MemberName]bool{"x": true},
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": has}, want: true,
		},
		"none has, and none is known to have it": {
			listed: map[bbrtype.MemberName]time.Duration{"x": longAgo}, unseen: map[bbrtype.MemberName]bool{"x": true},
		},
		"none has, and one has it": {
			listed: map[bbrtype.MemberName]time.Duration{"x": longAgo}, unseen: map[bbrtype.MemberName]bool{"x": true},
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"x": has}, want: true,
		},
		"none has, one has it, and a change has begun": {
			listed: map[bbrtype.MemberName]time.Duration{"x": longAgo}, unseen: map[bbrtype.MemberName]bool{"x": true}, isChanging: true,
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"x": has},
		},
		"none has, one joined before the claim and has it": {
			listed: map[bbrtype.MemberName]time.Duration{"x": beforeClaim}, unseen: map[bbrtype.MemberName]bool{"x": true}, isChanging: true,
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"x": has}, want: true,
		},
		"an entry has disappeared, and the other one lacks it": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo, "x": longAgo}, missing: "x",
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": lacks, "x": has},
		},
		"an entry has disappeared, and the other one has it": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo, "x": longAgo}, missing: "x",
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": has}, want: true,
		},
		"all entries have disappeared, and one has it": {
			listed: map[bbrtype.MemberName]time.Duration{"x": longAgo}, missing: "x",
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"x": has}, want: true,
		},
		"an entry has expired, and the other one lacks it": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo}, expired: "x",
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": lacks},
		},
		"an entry has expired, and the other one has it": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo}, expired: "x",
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": has}, want: true,
		},
		"the entry of the primary has expired": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo}, expired: "p", want: true,
		},
		"the settled one leaves, one joined before the claim and has it": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo, "x": beforeClaim}, draining: map[bbrtype.MemberName]bool{"r": true}, isChanging: true,
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": lacks, "x": has}, want: true,
		},
		"the settled one leaves, one joined after the claim and has it": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo, "x": afterClaim}, draining: map[bbrtype.MemberName]bool{"r": true}, isChanging: true,
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": lacks, "x": has},
		},
		"the settled one leaves, one joined before the claim and lacks it": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo, "x": beforeClaim, "y": afterClaim}, draining: map[bbrtype.MemberName]bool{"r": true}, isChanging: true,
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"x": lacks, "y": has},
		},
		"the settled one leaves, one joined, and no change runs": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo, "x": afterClaim}, draining: map[bbrtype.MemberName]bool{"r": true},
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"x": has}, want: true,
		},
		"one joined after the claim, and the settled one has it": {
			listed: map[bbrtype.MemberName]time.Duration{"r": longAgo, "x": afterClaim}, isChanging: true,
			received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": has}, want: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(t, 23, 1)
			g.Tasks = &errgroup.Group{}
			g.IsChanging = func(bbrtype.GroupName) bool { return tt.isChanging }
			seen := map[bbrtype.MemberName]bool{}
			g.SeenMembers = func() map[bbrtype.MemberName]bool { return seen }
			g.SetPrimary(Primary{Member: "p", Term: 2})
			members := []bbrdirectory.Member{{ID: "p", Group: "g"}}
			for id := range tt.listed {
				seen[id] = !tt.unseen[id]
				members = append(members, bbrdirectory.Member{ID: id, Group: "g", Draining: tt.draining[id], EntryMissing: id == tt.missing})
			}
			var expired []bbrdirectory.Member
			if tt.expired != "" {
				expired = append(expired, bbrdirectory.Member{ID: tt.expired, Group: "g"})
			}
			g.SetMembers(members, expired, bbrcatalog.GroupSettings{Group: "g", MaxConnections: 23, SyncReplicas: 1})
			g.firstListing, g.unchangedAt = g.Clock.Now().Add(-time.Hour), g.Clock.Now().Add(-claimed)
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

// TestCommitProvesNothingIfAReplicaMayBeLeftOut guards against stale reads by a proof from a
// commit that a replica confirmed which a change of primary leaves out.
func TestCommitProvesNothingIfAReplicaMayBeLeftOut(t *testing.T) {
	tests := map[string]struct {
		seen    map[bbrtype.MemberName]bool
		expired []bbrdirectory.Member
		want    bool
	}{
		"all replicas have shown that they run": {seen: map[bbrtype.MemberName]bool{"r": true}, want: true},
		"one has not":                           {},
		"an entry has expired":                  {seen: map[bbrtype.MemberName]bool{"r": true}, expired: []bbrdirectory.Member{{ID: "x", Group: "g"}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(t, 23, 1)
			g.SeenMembers = func() map[bbrtype.MemberName]bool { return tt.seen }
			g.SetMembers(g.Members(), tt.expired, bbrcatalog.GroupSettings{Group: "g", MaxConnections: 23, SyncReplicas: 1})
			sentAt := g.Clock.Now()
			reply := bbrmessage.Reply{Signature: "sig", State: bbrmessage.StateIdle, Position: bbrmessage.LogPosition{Term: 1, Index: 7}}
			g.RecordReply(&Conn{member: bbrdirectory.Member{ID: "p"}}, ReplyRecord{SentAt: sentAt, Reply: reply, IsWriteCommit: true})
			is.Equal(g.IsProvenAt(g.Primary(), sentAt), tt.want)
		})
	}
}
