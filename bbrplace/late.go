package bbrplace

import (
	"math"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// The decisions in this file answer an overload of seconds: statements that are late by
// now get only what the others leave, and most of them would wait until their deadline.

// lateRateWindow is the time constant over which the rate of grants to late statements is
// averaged.
const lateRateWindow = time.Second

// lateMargin is the ratio of the time that a statement needs to the member's average
// latency: one granted with less time left would more often be late than not, and another
// that could be in time waits meanwhile.
const lateMargin = 1.5

// grantRate is the moving average of the rate of grants. The zero value is a rate of 0.
type grantRate struct {
	perSecond float64
	at        bbrtype.Mono
}

// record counts a grant.
func (r *grantRate) record(now bbrtype.Mono) {
	r.perSecond = r.value(now) + 1/lateRateWindow.Seconds()
	r.at = now
}

// value returns the rate in grants per second.
func (r *grantRate) value(now bbrtype.Mono) float64 {
	return r.perSecond * math.Exp(-float64(max(0, now.Sub(r.at)))/float64(lateRateWindow))
}

// recordLateGrant records that a member was granted to a late statement.
func (s *Scheduler) recordLateGrant(now bbrtype.Mono) {
	s.lastLateGrant = now
	s.lateGrants.record(now)
}

// recordLateWait records whether late statements are in the queue.
func (s *Scheduler) recordLateWait(areWaiting bool, now bbrtype.Mono) {
	switch {
	case !areWaiting:
		s.lateSince = 0
	case s.lateSince == 0:
		s.lateSince = now
	}
}

// isHopeless reports whether a late statement would probably wait until its deadline: while
// the members have been saturated and late statements have waited for lateRejectDelay, fewer
// of these were granted than would have to be for it to get its turn. ahead is the number of
// late statements that come before it.
func (s *Scheduler) isHopeless(r *Requirements, ahead int, now bbrtype.Mono) bool {
	if r.Deadline == 0 || s.lateSince == 0 || now.Sub(s.lateSince) < lateRejectDelay || !s.isSaturated(r, lateRejectDelay, now) {
		return false
	}
	left := r.Deadline.Sub(now) - s.minLatency(r, now)
	return float64(ahead+1) > s.lateGrants.value(now)*left.Seconds()
}

// willBeLate reports whether a statement is late: the expected reply would miss the
// latency objective even if the statement were sent now.
func (s *Scheduler) willBeLate(w *Waiter, now bbrtype.Mono) bool {
	needed := time.Duration(lateMargin * float64(s.minLatency(&w.Requirements, now)))
	return w.SoftDeadline != 0 && now.Add(needed) > w.SoftDeadline
}
