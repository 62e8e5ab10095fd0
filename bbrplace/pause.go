package bbrplace

import "github.com/bluebellroute/bluebellroute/bbrtype"

// NextPauseEnd returns the next time at which a pause of a member ends, so that queued
// statements may be granted it: Dispatch must be called then, because there may be no
// statement in flight whose Release would call it. It returns 0 if the queue is empty or no
// member is paused.
func (s *Scheduler) NextPauseEnd(now bbrtype.Mono) bbrtype.Mono {
	next := bbrtype.Mono(0)
	if len(s.queue) == 0 {
		return next
	}
	for _, m := range s.members {
		for _, end := range m.pauseEnds() {
			if end >= now && (next == 0 || end < next) {
				next = end
			}
		}
	}
	return next
}

// pauseEnds returns when the member's pauses end or have ended.
func (m *memberState) pauseEnds() []bbrtype.Mono {
	ends := []bbrtype.Mono{m.pausedUntil, m.connCapUntil}
	if m.lagRejections > 0 {
		ends = append(ends, m.lagPauseEnd())
	}
	if m.mode == ModeTrial {
		ends = append(ends, m.nextTrial)
	}
	return ends
}
