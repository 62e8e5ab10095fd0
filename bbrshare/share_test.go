package bbrshare

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrshare/sharepb"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// FuzzKnowledge decodes another instance's reply and merges it: no proof holds for longer
// than one that was made at the time of the request, and no row is newer than all that can
// come.
func FuzzKnowledge(f *testing.F) {
	for _, k := range []*sharepb.Knowledge{
		{Groups: []*sharepb.GroupProof{{Group: "g", Primary: "p", Term: 1, ProvenAgoUs: 1000, PlaceTerm: 1, PlaceNumber: 7, PlaceAgoUs: 2000}}},
		{Groups: []*sharepb.GroupProof{{Group: "g", Primary: "p", Term: 1, ProvenAgoUs: -1 << 62}}},
		{Rows: []*sharepb.Row{{Table: "groups", Key: "g", Value: []byte("{}"), Version: 1 << 62, Era: -1}}},
		{RecordsVersion: 7, RecordsAgoUs: 1000},
		{RecordsVersion: -7, RecordsAgoUs: -1 << 62},
		{Reads: []*sharepb.TableRead{{Table: "members", Version: 7, AgoUs: -1000, Whole: true}}},
		{Reads: []*sharepb.TableRead{{Table: "members", AgoUs: -1 << 62}, {Table: "members", Era: -1}, {Table: "members", AgoUs: 1<<63 - 1}}},
	} {
		b, err := proto.Marshal(k)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		var k sharepb.Knowledge
		if proto.Unmarshal(message, &k) != nil {
			return
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		clock := bbrtype.NewClock()
		g := bbrlink.NewGroup("g", bbrlink.Deps{Clock: clock, Log: log})
		primary := bbrlink.Primary{Member: "p", Term: 1}
		g.SetPrimary(primary)
		requestedAt := clock.Now()
		knowledge := decode(&k)
		for _, s := range knowledge.Groups {
			g.MergeProof(s, requestedAt)
		}
		if g.IsProvenAt(primary, requestedAt.Add(bbrproof.LeaseDuration)) {
			t.Fatal("a proof holds beyond the lease of the request")
		}
		if _, ok := g.MinPosition(requestedAt.Add(time.Millisecond), 0); ok {
			t.Fatal("a position is newer than the request")
		}
		if r := knowledge.Records; r.Age < 0 || r.Age == 0 && r != (RecordsRead{}) || r.Version.Number < 0 || r.Version.Era < 0 {
			t.Fatalf("a read of the records that nobody can know of: %v", r)
		}
		for _, r := range knowledge.Reads {
			if r.Age < -maxFollowFor || r.Version.Number < 0 || r.Version.Era < 0 {
				t.Fatalf("a read of a table that nobody can know of: %v", r)
			}
		}
		var mirror bbrrows.Mirror
		mirror.Apply(knowledge.Rows)
	})
}
