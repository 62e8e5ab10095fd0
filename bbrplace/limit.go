package bbrplace

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// overloadFactor is the ratio of the latency to the baseline latency above which
	// the limit is lowered, because statements queue at the member.
	overloadFactor = 2.5
	// recoveryFactor is the ratio below which the limit moves back towards its base
	// value with each adjustment.
	recoveryFactor = 2
	// baselineSmoothing is the smoothing factor with which the baseline follows higher
	// latencies. A lower latency replaces the baseline at once.
	baselineSmoothing = 0.0005
	// minLimit is the lower bound of the limit, however slow the replies are.
	minLimit = 1
	// adjustInterval is the minimum time between two adjustments by latency.
	adjustInterval = 100 * time.Millisecond
	// decreaseFactor is the factor by which the limit is lowered.
	decreaseFactor = 0.9
	// rejectIncrement is added to the limit for each rejected statement.
	rejectIncrement = 0.1
)

// adaptiveLimit is the number of statements that this instance may have in flight
// at one member. Each instance lowers its limit while the member's replies are
// slow, and raises the limit for each statement that the instance rejects. As a
// result, the sum of the limits of all instances stays near the number of
// statements that keeps the member busy, and instances with more callers get a
// larger part of it.
type adaptiveLimit struct {
	base, maxLimit float64
	current        float64
	baseline       time.Duration
	adjustedAt     bbrtype.Mono
}

// reset takes the base and the maximum from m and sets the limit to the base. The
// latency baseline is kept.
func (l *adaptiveLimit) reset(m Member) {
	l.base = float64(max(1, m.BaseLimit))
	l.maxLimit = float64(max(1, m.BaseLimit, m.MaxLimit))
	l.current = l.base
	if l.baseline == 0 {
		l.baseline = initialLatency
	}
}

// value returns the limit as a whole number of statements.
func (l *adaptiveLimit) value() int { return int(l.current + 0.5) }

// recordLatency updates the baseline and adjusts the limit, given the member's
// average latency.
func (l *adaptiveLimit) recordLatency(latency time.Duration, now bbrtype.Mono) {
	if latency < l.baseline {
		l.baseline = latency
	}
	l.baseline += time.Duration(baselineSmoothing * float64(latency-l.baseline))
	if now.Sub(l.adjustedAt) < adjustInterval {
		return
	}
	l.adjustedAt = now
	ratio := float64(latency) / float64(l.baseline)
	switch {
	case ratio > overloadFactor:
		l.current = max(minLimit, l.current*decreaseFactor)
	case ratio < recoveryFactor && l.current < l.base:
		l.current = min(l.base, l.current+1)
	case ratio < recoveryFactor && l.current > l.base:
		l.current = max(l.base, l.current*decreaseFactor)
	}
}

// recordRejection raises the limit after this instance has rejected a statement
// that the member could have served.
func (l *adaptiveLimit) recordRejection() { l.current = min(l.maxLimit, l.current+rejectIncrement) }
