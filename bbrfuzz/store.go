package bbrfuzz

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// storeName is the store's end of links.
const storeName = "store"

// revoked is a heartbeat that none can follow.
const revoked = ^uint64(0)

// store is the fake of the platform's store. Its operations are atomic.
type store struct {
	w       *World
	records []bbrjournal.Record
	state   *bbrjournal.State
	beats   map[bbrtype.InstanceID]uint64
	snap    *bbrjournal.State
	down    bool
	slow    time.Duration
	// loseReplies is the chance, in percent, that a reply is lost after the
	// request took effect.
	loseReplies int
}

func newStore(w *World) *store {
	return &store{w: w, state: &bbrjournal.State{}, beats: map[bbrtype.InstanceID]uint64{}}
}

// call runs an operation of the store for a node.
func (s *store) call(n *node, op func() any, reply func(v any, ok bool)) {
	s.w.call(n, storeName, true, storeTimeout+time.Second, func() (any, bool) {
		if s.down {
			return nil, false
		}
		v := op()
		return v, s.w.r.IntN(100) >= s.loseReplies
	}, func(v any, ok bool) {
		if s.slow > 0 {
			incarnation := n.incarnation
			s.w.after(s.slow, func() { n.run(incarnation, func() { reply(v, ok) }) })
			return
		}
		reply(v, ok)
	})
}

// headReply is what a read returns.
type headReply struct {
	records []bbrjournal.Record
	more    bool
}

// read returns records behind an index.
func (s *store) read(after bbrtype.Index) headReply {
	const limit = 30
	i := min(int(after), len(s.records))
	end := min(i+limit, len(s.records))
	return headReply{records: s.records[i:end:end], more: end < len(s.records)}
}

// append stores a record if its index is free.
func (s *store) append(r bbrjournal.Record) bbrcontrol.AppendResult {
	if int(r.Index) != len(s.records)+1 {
		return bbrcontrol.AppendIndexTaken
	}
	s.records = append(s.records, r)
	effective, err := s.state.Apply(r)
	if err != nil {
		s.w.fail(PromiseConfiguration, "the journal has a gap: %v", err)
		return bbrcontrol.AppendIndexTaken
	}
	s.w.oracle.recorded(r, effective)
	return bbrcontrol.AppendStored
}

func (s *store) beat(id bbrtype.InstanceID, beat uint64) bool {
	if s.beats[id] >= beat {
		return false
	}
	s.beats[id] = beat
	return true
}

func (s *store) revoke(beats map[bbrtype.InstanceID]uint64) bool {
	ok := true
	for id, seen := range beats {
		if s.beats[id] != seen && s.beats[id] != revoked {
			ok = false
			continue
		}
		s.beats[id] = revoked
	}
	return ok
}
