package bbradmit

import "time"

const (
	// limiterWindow is the number of answers between two adjustments.
	limiterWindow = 32
	// slowFactor is how much slower than the fastest window counts as
	// overload.
	slowFactor = 2.0
	// baselineDecay lets the fastest window be forgotten over time.
	baselineDecay = 1.01
)

// Limiter bounds the statements at work on a member. It lowers the bound when
// answers become slower than they can be, and raises it again. The zero value
// must be given its maximum by SetMax.
type Limiter struct {
	limit, top int
	active     int
	sum        time.Duration
	count      int
	baseline   time.Duration
	// saturated is set if the bound was reached within the window.
	saturated bool
}

// SetMax changes the highest bound.
func (l *Limiter) SetMax(n int) {
	if l.top == n {
		return
	}
	l.top = n
	if l.limit == 0 || l.limit > n {
		l.limit = n
	}
}

// Limit returns the present bound.
func (l *Limiter) Limit() int { return max(l.limit, 1) }

// Active returns the statements at work.
func (l *Limiter) Active() int { return l.active }

// HasRoom reports whether another statement may start.
func (l *Limiter) HasRoom() bool {
	if l.active < l.Limit() {
		return true
	}
	l.saturated = true
	return false
}

// HasSpare reports whether the highest bound leaves room, although the present
// one may not.
func (l *Limiter) HasSpare() bool { return l.active < l.top }

// Max returns the highest bound.
func (l *Limiter) Max() int { return l.top }

// Start counts a statement that begins.
func (l *Limiter) Start() { l.active++ }

// End counts a statement that was answered after the given time. A time of 0
// tells that it has none that is of use.
func (l *Limiter) End(took time.Duration) {
	l.active--
	if took <= 0 {
		return
	}
	l.sum += took
	l.count++
	if l.count < limiterWindow {
		return
	}
	l.adjust(l.sum / time.Duration(l.count))
	l.sum, l.count = 0, 0
	l.saturated = false
}

func (l *Limiter) adjust(mean time.Duration) {
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	} else {
		l.baseline = time.Duration(float64(l.baseline) * baselineDecay)
	}
	switch {
	case float64(mean) > slowFactor*float64(l.baseline):
		l.limit = max(1, l.limit-1)
	case l.saturated:
		l.limit = min(l.top, l.limit+1)
	}
}
