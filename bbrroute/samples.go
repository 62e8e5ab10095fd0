package bbrroute

import (
	"sort"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// sampleGap is the least time between two kept samples.
	sampleGap = 20 * time.Millisecond
	// sampleLimit bounds the kept samples.
	sampleLimit = 1024
)

// sample says that a primary held no more than Position at At.
type sample struct {
	At       bbrtype.Mono
	Position bbrtype.Position
}

// samples are places of the primary over time, oldest first. They turn a
// position into the age of its data.
type samples struct{ list []sample }

// add keeps a sample. When there are too many, the older half is thinned out.
func (s *samples) add(at bbrtype.Mono, p bbrtype.Position) {
	n := len(s.list)
	if n > 0 && at.Sub(s.list[n-1].At) < sampleGap {
		// A sample out of order, or too near to the last one: the last one
		// stays true, and a later one follows.
		return
	}
	if n >= sampleLimit {
		kept := s.list[:0]
		for i, x := range s.list {
			if i >= sampleLimit/2 || i%2 == 0 {
				kept = append(kept, x)
			}
		}
		s.list = kept
	}
	s.list = append(s.list, sample{at, p})
}

// coveredAt returns the time of the latest sample that lies at or before p:
// data at p includes all that was committed by then.
func (s *samples) coveredAt(p bbrtype.Position) (bbrtype.Mono, bool) {
	i := sort.Search(len(s.list), func(i int) bool { return s.list[i].Position > p })
	if i == 0 {
		return 0, false
	}
	return s.list[i-1].At, true
}

// passedAbout estimates when the primary passed p, between the two samples around
// it. It is no bound: only coveredAt tells how old data may be. ok is false while
// no sample lies past p.
func (s *samples) passedAbout(p bbrtype.Position) (at bbrtype.Mono, ok bool) {
	i := sort.Search(len(s.list), func(i int) bool { return s.list[i].Position > p })
	if i == 0 || i == len(s.list) {
		return 0, false
	}
	before, after := s.list[i-1], s.list[i]
	part := float64(p-before.Position) / float64(after.Position-before.Position)
	return before.At.Add(time.Duration(part * float64(after.At.Sub(before.At)))), true
}

// reset forgets all samples: they belong to another history.
func (s *samples) reset() { s.list = s.list[:0] }
