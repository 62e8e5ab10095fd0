package bbrplace

import "github.com/bluebellroute/bluebellroute/bbrtype"

// NextPauseEnd returns the next time at which the pause of a member that did not reply ends,
// so that queued statements may be granted it: Dispatch must be called after that, because
// there may be no statement in flight whose Release would call it. It returns 0 if the queue
// is empty or no member is paused.
//
// Pauses of members that are busy, lag or refuse connections do not count: other instances
// use these members, and would all come back at the same moment.
func (s *Scheduler) NextPauseEnd(now bbrtype.Mono) bbrtype.Mono {
	next := bbrtype.Mono(0)
	if len(s.queue) == 0 {
		return next
	}
	for _, m := range s.members {
		if end := m.silentUntil; end >= now && (next == 0 || end < next) {
			next = end
		}
	}
	return next
}
