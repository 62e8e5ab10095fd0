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

// TestCommitThatALeavingReplicaAloneConfirmed guards against the loss of commits that only
// the primary and a replica that leaves have received.
func TestCommitThatALeavingReplicaAloneConfirmed(t *testing.T) {
	commit := bbrmessage.LogPosition{Term: 2, Index: 475}
	lacks, has := bbrmessage.LogPosition{Term: 2, Index: 474}, bbrmessage.LogPosition{Term: 2, Index: 480}
	newer := bbrmessage.LogPosition{Term: 3, Index: 500}
	leaving := func(id bbrtype.MemberName) bbrdirectory.Member {
		return bbrdirectory.Member{ID: id, Group: "g", Draining: true}
	}
	staying := func(id bbrtype.MemberName) bbrdirectory.Member { return bbrdirectory.Member{ID: id, Group: "g"} }
	tests := map[string]struct {
		members  []bbrdirectory.Member
		received map[bbrtype.MemberName]bbrmessage.LogPosition
		// left is how long ago the member "l", which left, was gone; 0 if there was none.
		left  time.Duration
		async bool
		want  bool
	}{
		"no replica leaves":                       {members: []bbrdirectory.Member{staying("p"), staying("r")}, want: true},
		"the one that stays lacks it":             {members: []bbrdirectory.Member{staying("p"), staying("r"), leaving("l")}, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": lacks, "l": has}},
		"nothing is known of the one that stays":  {members: []bbrdirectory.Member{staying("p"), staying("r"), leaving("l")}},
		"the one that stays has it":               {members: []bbrdirectory.Member{staying("p"), staying("r"), leaving("l")}, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": has}, want: true},
		"the one that stays has a newer term":     {members: []bbrdirectory.Member{staying("p"), staying("r"), leaving("l")}, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": newer}},
		"two leave, the one that stays lacks it":  {members: []bbrdirectory.Member{staying("p"), staying("r"), leaving("l"), leaving("m")}, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"l": has, "m": has}},
		"one of two that stay has it":             {members: []bbrdirectory.Member{staying("p"), staying("r"), staying("s"), leaving("l")}, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"s": has}, want: true},
		"no replica stays":                        {members: []bbrdirectory.Member{staying("p"), leaving("l")}, want: true},
		"only the primary leaves":                 {members: []bbrdirectory.Member{leaving("p"), staying("r")}, want: true},
		"it has just left":                        {members: []bbrdirectory.Member{staying("p"), staying("r")}, left: 100 * time.Millisecond},
		"it left long ago":                        {members: []bbrdirectory.Member{staying("p"), staying("r")}, left: time.Minute, want: true},
		"commits do not wait for replicas at all": {members: []bbrdirectory.Member{staying("p"), staying("r"), leaving("l")}, async: true, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(t, 23, 1)
			g.Tasks = &errgroup.Group{}
			settings := bbrcatalog.GroupSettings{Group: "g", MaxConnections: 23, SyncReplicas: 1}
			if tt.async {
				settings.SyncReplicas = 0
			}
			g.SetPrimary(Primary{Member: "p", Term: 2})
			if tt.left != 0 {
				g.SetMembers(append([]bbrdirectory.Member{leaving("l")}, tt.members...), nil, settings)
			}
			g.SetMembers(tt.members, nil, settings)
			if tt.left != 0 {
				g.replicaLeftAt = g.replicaLeftAt.Add(-tt.left)
			}
			for id, position := range tt.received {
				g.recordReceived(g.members[id], position)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*lastingCheckInterval)
			defer cancel()
			is.Equal(g.AwaitLasting(ctx, "p", commit, g.Clock.Now()), tt.want)
			is.Equal(g.LastAcked() == commit, tt.want) // a change of primary does not wait for the others
			is.NoErr(g.Tasks.Wait())
		})
	}
}

// TestReportEndsTheFirstWait guards against commits that wait for the check interval although
// a replica has reported its position, as each would while an entry without a process is
// listed.
func TestReportEndsTheFirstWait(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(t, 23, 1)
	reported := g.nextReport()
	g.mu.Lock()
	g.recordReceived(g.members["r"], bbrmessage.LogPosition{Term: 1, Index: 7})
	g.mu.Unlock()
	_, isOpen := <-reported
	is.True(!isOpen)
	awaitReport(context.Background(), reported) // returns at once
	is.True(g.nextReport() != reported)
}
