package bbrlink

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
)

// TestMemberIsBornAgain guards against the loss of commits that a replica had in a former
// process: the new process holds nothing, and is paused by no order of before.
func TestMemberIsBornAgain(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(t, 23, 1)
	settings := bbrcatalog.GroupSettings{Group: "g", MaxConnections: 23, SyncReplicas: 1}
	former, next := bbrdirectory.Member{ID: "r", Group: "g", StartedAtMs: 1}, bbrdirectory.Member{ID: "r", Group: "g", StartedAtMs: 2}
	primary := bbrdirectory.Member{ID: "p", Group: "g"}
	commit := bbrmessage.LogPosition{Term: 1, Index: 7}
	g.SetMembers([]bbrdirectory.Member{primary, former}, nil, settings)
	g.firstListing = g.Clock.Now().Add(-time.Hour)
	g.firstListed["r"] = g.firstListing
	is.True(!g.hasJustJoined("r"))
	g.recordReceived(former, commit)
	is.Equal(g.received["r"], commit)
	g.SetMembers([]bbrdirectory.Member{primary, next}, nil, settings)
	is.True(g.hasJustJoined("r"))
	g.RecordReply(&Conn{member: former}, ReplyRecord{Reply: bbrmessage.Reply{Signature: "sig", Position: commit}}) // a late reply
	is.Equal(g.received["r"], bbrmessage.LogPosition{})
}
