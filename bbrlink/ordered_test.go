package bbrlink

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestCommitThatAnOrderedMemberLacks guards against the loss of commits by a promotion that
// acts seconds after it was ordered, while the member has received nothing.
func TestCommitThatAnOrderedMemberLacks(t *testing.T) {
	commit := bbrmessage.LogPosition{Term: 2, Index: 7}
	lacks := bbrmessage.LogPosition{Term: 2, Index: 6}
	newer := bbrmessage.LogPosition{Term: 3, Index: 9}
	tests := map[string]struct {
		ordered  []bbrtype.MemberName
		received map[bbrtype.MemberName]bbrmessage.LogPosition
		// isChanging is set if a change of primary has begun.
		isChanging bool
		// expired is a member whose entry has expired.
		expired bbrtype.MemberName
		want    bool
	}{
		"no promotion was ordered":                             {want: true},
		"the ordered member lacks it":                          {ordered: []bbrtype.MemberName{"r"}, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": lacks, "o": commit}},
		"the position of the ordered member is not known":      {ordered: []bbrtype.MemberName{"r"}, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"o": commit}},
		"the ordered member has it":                            {ordered: []bbrtype.MemberName{"r"}, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": commit}, want: true},
		"the ordered member has a newer term":                  {ordered: []bbrtype.MemberName{"r"}, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": newer, "o": commit}},
		"the ordered member is the primary":                    {ordered: []bbrtype.MemberName{"p"}, want: true},
		"one of two ordered members lacks it":                  {ordered: []bbrtype.MemberName{"r", "o"}, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": commit, "o": lacks}},
		"the ordered member is gone":                           {ordered: []bbrtype.MemberName{"gone"}, want: true},
		"the entry of the ordered member has expired":          {ordered: []bbrtype.MemberName{"x"}, expired: "x", received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": commit}},
		"a change has begun, and another replica has it":       {ordered: []bbrtype.MemberName{"r"}, isChanging: true, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"o": commit}},
		"a change has begun, and the ordered member has it":    {ordered: []bbrtype.MemberName{"r"}, isChanging: true, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"r": commit}, want: true},
		"a change has begun, nothing was ordered, one has it":  {isChanging: true, received: map[bbrtype.MemberName]bbrmessage.LogPosition{"o": commit}, want: true},
		"a change has begun, nothing was ordered, none has it": {isChanging: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(t, 23, 1)
			g.Tasks = &errgroup.Group{}
			g.IsChanging = func(bbrtype.GroupName) bool { return tt.isChanging }
			g.OrderedMembers = func(bbrtype.GroupName) []bbrtype.MemberName { return tt.ordered }
			g.SetPrimary(Primary{Member: "p", Term: 2})
			var expired []bbrdirectory.Member
			if tt.expired != "" {
				expired = append(expired, bbrdirectory.Member{ID: tt.expired, Group: "g"})
			}
			g.SetMembers([]bbrdirectory.Member{{ID: "p", Group: "g"}, {ID: "r", Group: "g"}, {ID: "o", Group: "g"}}, expired,
				bbrcatalog.GroupSettings{Group: "g", MaxConnections: 23, SyncReplicas: 1})
			for id, position := range tt.received {
				g.recordReceived(id, position)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*lastingCheckInterval)
			defer cancel()
			is.Equal(g.AwaitLasting(ctx, "p", commit, g.Clock.Now()), tt.want)
			is.NoErr(g.Tasks.Wait())
		})
	}
}
