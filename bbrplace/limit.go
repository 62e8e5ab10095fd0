package bbrplace

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// overloadFactor is the ratio of the latency to the baseline latency above which
	// the limit is lowered: the member has more work than it needs to stay busy.
	overloadFactor = 2.5
	// recoveryFactor is the ratio below which the limit returns to its base value.
	recoveryFactor = 2
	// baselineWeight is the weight of a latency above the baseline in the moving
	// average of the baseline.
	baselineWeight = 0.0005
	// minLimit is the lower bound of the limit, however slow the replies are.
	minLimit = 1
	// adjustInterval is the least time between two adjustments by latency.
	adjustInterval = 100 * time.Millisecond
	// decreaseFactor is the factor by which the limit is lowered.
	decreaseFactor = 0.9
	// rejectIncrement is added to the limit for each rejected statement.
	rejectIncrement = 0.1
)

// adaptiveLimit is the number of statements that this instance may have in flight
// at one member. Each instance lowers its limit while the member's replies are
// slow, and raises it with each statement that it rejects. As a result, the sum of
// the limits of all instances stays near the number that keeps the member busy,
// and the capacity moves to the instances that have the most callers.
type adaptiveLimit struct {
	base, maximum float64
	current       float64
	baseline      time.Duration
	adjustedAt    bbrtype.Mono
}

// reset sets the limit to its base value.
func (l *adaptiveLimit) reset(m Member) {
	l.base = float64(max(1, m.Limit))
	l.maximum = float64(max(1, m.Limit, m.Most))
	l.current = l.base
	if l.baseline == 0 {
		l.baseline = initialLatency
	}
}

// value returns the limit as a whole number of statements.
func (l *adaptiveLimit) value() int { return int(l.current + 0.5) }

// recordLatency adjusts the limit to the member's average latency.
func (l *adaptiveLimit) recordLatency(latency time.Duration, now bbrtype.Mono) {
	if latency < l.baseline {
		l.baseline = latency
	}
	l.baseline += time.Duration(baselineWeight * float64(latency-l.baseline))
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

// recordReject raises the limit after the rejection of a statement that the
// member could have served.
func (l *adaptiveLimit) recordReject() { l.current = min(l.maximum, l.current+rejectIncrement) }
