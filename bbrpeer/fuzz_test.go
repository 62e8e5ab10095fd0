package bbrpeer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellroute/bluebellroute/bbrpeer/peerpb"
)

// FuzzMessage decodes anything that a peer may send, and encodes it again.
func FuzzMessage(f *testing.F) {
	for _, m := range []*peerpb.Message{
		{},
		{From: &peerpb.Instance{Id: "i1"}},
		{From: &peerpb.Instance{Id: "i1"}, Records: [][]byte{[]byte("{}"), []byte(`{"index":1}`)}},
		{From: &peerpb.Instance{Id: "i1"}, Snapshot: []byte(`{"applied":3,"groups":{"g":null}}`)},
		{From: &peerpb.Instance{Id: "i1"}, Reports: []*peerpb.Report{{Group: "g", Members: []*peerpb.MemberReport{{Member: "m", State: &peerpb.MemberState{Position: 1<<64 - 1, ReceivedAhead: 5}}, nil}}, nil}},
	} {
		b, err := proto.Marshal(m)
		if err == nil {
			f.Add(b)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var wire peerpb.Message
		if proto.Unmarshal(data, &wire) != nil {
			return
		}
		m, err := messageFromProto(&wire)
		if err != nil {
			return
		}
		if _, err := messageToProto(m); err != nil {
			t.Errorf("what was decoded can't be encoded: %v", err)
		}
	})
}
