package bbrroute

import (
	"sort"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// minSampleInterval is the minimum time between two kept samples.
	minSampleInterval = 20 * time.Millisecond
	// maxSamples is the number of samples that are kept.
	maxSamples = 1024
)

// sample states that at time At, the primary's log did not reach beyond
// Position. At is when the request for the position was sent, and Position is
// from the reply.
type sample struct {
	At       bbrtype.Mono
	Position bbrtype.Position
}

// samples are positions of the primary over time, oldest first. They relate a
// position to the age of the data at that position.
type samples struct{ list []sample }

// add appends a sample. If maxSamples are kept already, every second sample of
// the older half is removed first.
func (s *samples) add(at bbrtype.Mono, p bbrtype.Position) {
	n := len(s.list)
	if n > 0 && at.Sub(s.list[n-1].At) < minSampleInterval {
		// The sample is out of order or too close to the last one. It can be
		// dropped: the last sample remains valid, and later samples follow.
		return
	}
	if n >= maxSamples {
		kept := s.list[:0]
		for i, x := range s.list {
			if i >= maxSamples/2 || i%2 == 0 {
				kept = append(kept, x)
			}
		}
		s.list = kept
	}
	s.list = append(s.list, sample{at, p})
}

// latestTimeFor returns the time of the latest sample whose position is at or
// before p. Data at p includes everything that was committed by that time.
func (s *samples) latestTimeFor(p bbrtype.Position) (bbrtype.Mono, bool) {
	i := sort.Search(len(s.list), func(i int) bool { return s.list[i].Position > p })
	if i == 0 {
		return 0, false
	}
	return s.list[i-1].At, true
}

// estimateReachedAt estimates when the primary's log reached p, by
// interpolation between the two samples around p. The estimate is not a bound
// on the age of data; latestTimeFor gives that bound. ok is false if p is not
// between two samples.
func (s *samples) estimateReachedAt(p bbrtype.Position) (at bbrtype.Mono, ok bool) {
	i := sort.Search(len(s.list), func(i int) bool { return s.list[i].Position > p })
	if i == 0 || i == len(s.list) {
		return 0, false
	}
	before, after := s.list[i-1], s.list[i]
	fraction := float64(p-before.Position) / float64(after.Position-before.Position)
	return before.At.Add(time.Duration(fraction * float64(after.At.Sub(before.At)))), true
}

// reset removes all samples. It is called when the history changes.
func (s *samples) reset() { s.list = s.list[:0] }
