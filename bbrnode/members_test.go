package bbrnode

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// newListNode returns an instance that has read the members old, r1 and r2 of a group from
// the store.
func newListNode(is *is.I, store *memoryStore) (*Node, *bbrlink.Group, *fakeMembers) {
	n, g, members := newRecordNodeWithMembers(store)
	n.platform.DecodeMember = func(_ string, entry []byte) (m bbrdirectory.Member, err error) {
		err = json.Unmarshal(entry, &m)
		return m, err
	}
	n.catalog.PublishIfNewer(&bbrcatalog.Catalogue{Version: 8, Groups: map[bbrtype.GroupName]bbrcatalog.GroupSettings{"orders": g.Settings()}})
	for _, id := range []bbrtype.MemberName{"old", "r1", "r2"} {
		putMember(is, store, bbrdirectory.Member{ID: id})
	}
	is.NoErr(n.readMembers(context.Background()))
	return n, g, members
}

// putMember writes a member's entry to a store.
func putMember(is *is.I, store *memoryStore, m bbrdirectory.Member) {
	m.Group = "orders"
	store.put(is, "members", string(m.ID), m)
}

// TestPrimaryIsNotGoneByOldList guards against the loss of acknowledged commits when an
// instance whose list of members is old, as after a freeze, takes a primary that it does
// not list for gone and replaces it.
func TestPrimaryIsNotGoneByOldList(t *testing.T) {
	joined := bbrmessage.MemberStatus{Role: bbrmessage.RolePrimary, Term: 2, Received: bbrmessage.LogPosition{Term: 2, Index: 1}}
	follows := bbrmessage.MemberStatus{Role: bbrmessage.RoleReplica, Term: 2, Received: joined.Received}
	tests := map[string]struct {
		isListed, isDown bool
		wantChange       bool
	}{
		"the store lists the primary":         {isListed: true},
		"the store does not list the primary": {wantChange: true},
		"the store is down":                   {isDown: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &memoryStore{}
			n, g, members := newListNode(is, store)
			n.platform.Promoter = fakePromoter(func() error { return bbrsuccession.ErrPromotionRefused })
			members.mu.Lock()
			members.statuses = map[bbrtype.MemberName]bbrmessage.MemberStatus{"old": follows, "r1": follows, "r2": follows, "joined": joined}
			members.mu.Unlock()
			if tt.isListed {
				putMember(is, store, bbrdirectory.Member{ID: "joined"})
			}
			if tt.isDown {
				store.readErr = errors.New("the store is down")
			}
			p := bbrlink.Primary{Member: "joined", Term: 2}
			g.SetPrimary(p)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			n.inspectPrimary(ctx, g, p)
			_ = n.background.Wait()
			is.Equal(store.record(is) != nil, tt.wantChange)
			is.Equal(members.hasReceived("hold"), tt.wantChange)
		})
	}
}

// TestChangePausesMembersThatJoined guards against the loss of commits that a member
// confirms which joined after the instance had read its list of members.
func TestChangePausesMembersThatJoined(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	n, g, members := newListNode(is, store)
	n.platform.Promoter = fakePromoter(func() error { return bbrsuccession.ErrPromotionRefused })
	members.mu.Lock()
	members.statuses["joined"] = members.statuses["r1"]
	members.mu.Unlock()
	members.pauseReplicas(2)
	putMember(is, store, bbrdirectory.Member{ID: "joined"})
	n.changePrimary(context.Background(), g, bbrlink.Primary{Member: "old", Term: 1}, "test")
	_ = n.background.Wait()
	is.True(members.hasReceived("hold 2 r1"))
	is.True(members.hasReceived("hold 2 joined"))
}
