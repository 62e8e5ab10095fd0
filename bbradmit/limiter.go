package bbradmit

import "time"

const (
	// windowSize is the number of latency samples in a window. The limit is adjusted at
	// the end of each window.
	windowSize = 32
	// overloadFactor is the ratio of a window's mean latency to the baseline above which
	// the member counts as overloaded.
	overloadFactor = 2.0
	// baselineGrowth is the factor by which the baseline is raised after each window
	// whose mean latency is not below it, so that the baseline follows lasting changes.
	baselineGrowth = 1.01
)

// Limiter limits the number of statements in flight at a member and adapts the limit
// to the latency. It lowers the limit when the mean latency of a window is well above
// the baseline. It raises the limit when the latency is normal and the limit was
// reached in the window. The baseline is the lowest mean latency of any window, and
// is raised slowly to follow lasting changes. SetMax must be called before a zero
// Limiter is used.
type Limiter struct {
	limit, maxLimit int
	inFlight        int
	// latencySum and samples accumulate the latencies of the current window.
	latencySum time.Duration
	samples    int
	baseline   time.Duration
	// limitReached is set if the limit was reached within the current window.
	limitReached bool
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

// InFlight returns the number of statements in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// HasCapacity reports whether another statement may start. If not, it records that
// the limit was reached within the current window.
func (l *Limiter) HasCapacity() bool {
	if l.inFlight < l.Limit() {
		return true
	}
	l.limitReached = true
	return false
}

// IsBelowMax reports whether fewer statements are in flight than the maximum of the
// limit, regardless of the current limit.
func (l *Limiter) IsBelowMax() bool { return l.inFlight < l.maxLimit }

// Max returns the maximum of the limit.
func (l *Limiter) Max() int { return l.maxLimit }

// Start counts a statement as in flight.
func (l *Limiter) Start() { l.inFlight++ }

// Done counts a statement as finished. latency is the sample for the window, 0 if
// there is none.
func (l *Limiter) Done(latency time.Duration) {
	l.inFlight--
	if latency <= 0 {
		return
	}
	l.latencySum += latency
	l.samples++
	if l.samples < windowSize {
		return
	}
	l.adjust(l.latencySum / time.Duration(l.samples))
	l.latencySum, l.samples = 0, 0
	l.limitReached = false
}

// adjust updates the baseline and the limit from the mean latency of a window.
func (l *Limiter) adjust(mean time.Duration) {
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	} else {
		l.baseline = time.Duration(float64(l.baseline) * baselineGrowth)
	}
	switch {
	case float64(mean) > overloadFactor*float64(l.baseline):
		l.limit = max(1, l.limit-1)
	case l.limitReached:
		l.limit = min(l.maxLimit, l.limit+1)
	}
}
