package bbradmit

import "time"

const (
	// windowSize is the number of latency samples between two adjustments.
	windowSize = 32
	// slowFactor is the ratio of a window's mean latency to the baseline above which
	// the member counts as overloaded.
	slowFactor = 2.0
	// baselineGrowth is the factor by which the baseline grows with each window that
	// is not faster, so that an old baseline does not last for ever.
	baselineGrowth = 1.01
)

// Limiter is an adaptive concurrency limit for the statements in flight at a
// member. It lowers the limit when the mean latency rises well above a baseline,
// and raises it again when the latency is normal and the limit was reached. The
// baseline is the lowest mean latency of a window, which grows slowly. The zero
// value must be given its maximum by SetMax.
type Limiter struct {
	limit, maxLimit int
	inFlight        int
	// sum and count accumulate the latencies of the current window.
	sum      time.Duration
	count    int
	baseline time.Duration
	// saturated is set if the limit was reached within the current window.
	saturated bool
}

// SetMax changes the maximum of the limit.
func (l *Limiter) SetMax(n int) {
	if l.maxLimit == n {
		return
	}
	l.maxLimit = n
	if l.limit == 0 || l.limit > n {
		l.limit = n
	}
}

// Limit returns the current limit.
func (l *Limiter) Limit() int { return max(l.limit, 1) }

// Active returns the number of statements in flight.
func (l *Limiter) Active() int { return l.inFlight }

// HasRoom reports whether another statement may start. If not, it records that the
// limit was reached within the current window.
func (l *Limiter) HasRoom() bool {
	if l.inFlight < l.Limit() {
		return true
	}
	l.saturated = true
	return false
}

// HasSpare reports whether fewer statements are in flight than the maximum allows,
// whatever the current limit is.
func (l *Limiter) HasSpare() bool { return l.inFlight < l.maxLimit }

// Max returns the maximum of the limit.
func (l *Limiter) Max() int { return l.maxLimit }

// Start counts a statement as in flight.
func (l *Limiter) Start() { l.inFlight++ }

// End counts a statement as finished. took is its latency, 0 if there is no usable
// sample.
func (l *Limiter) End(took time.Duration) {
	l.inFlight--
	if took <= 0 {
		return
	}
	l.sum += took
	l.count++
	if l.count < windowSize {
		return
	}
	l.adjust(l.sum / time.Duration(l.count))
	l.sum, l.count = 0, 0
	l.saturated = false
}

// adjust adjusts the baseline and the limit to the mean latency of a window.
func (l *Limiter) adjust(mean time.Duration) {
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	} else {
		l.baseline = time.Duration(float64(l.baseline) * baselineGrowth)
	}
	switch {
	case float64(mean) > slowFactor*float64(l.baseline):
		l.limit = max(1, l.limit-1)
	case l.saturated:
		l.limit = min(l.maxLimit, l.limit+1)
	}
}
