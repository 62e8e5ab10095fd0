package bbrtype

/*
#include <time.h>

// bootNanos returns CLOCK_BOOTTIME in nanoseconds, or a negative number on error. The
// C library reads the clock through the vDSO, without a system call.
static long long bootNanos(void) {
	struct timespec ts;
	if (clock_gettime(CLOCK_BOOTTIME, &ts) != 0) {
		return -1;
	}
	return ts.tv_sec * 1000000000LL + ts.tv_nsec;
}
*/
// #cgo noescape bootNanos
// #cgo nocallback bootNanos
import "C"

import (
	"context"
	"time"
)

// Mono is a monotonic timestamp: the time since an arbitrary start. The clock never
// jumps, and it counts the time for which the machine is suspended. Only timestamps of
// the same Clock can be compared.
type Mono time.Duration

// Add returns the timestamp m+d.
func (m Mono) Add(d time.Duration) Mono { return m + Mono(d) }

// Sub returns the duration m-o.
func (m Mono) Sub(o Mono) time.Duration { return time.Duration(m - o) }

// Clock returns timestamps from CLOCK_BOOTTIME. Go's monotonic clock stops while the
// machine is suspended; a lease that is timed by Go's clock could be used after it has
// expired.
type Clock struct{ origin time.Duration }

// clockOffset is the first timestamp of a clock. The zero timestamp thereby lies an hour
// before the clock was created, so that zero can mean "never".
const clockOffset = time.Hour

// NewClock returns a clock whose first timestamp is one hour.
func NewClock() *Clock { return &Clock{origin: sinceBoot() - clockOffset} }

// Now returns the current timestamp.
func (c *Clock) Now() Mono { return Mono(sinceBoot() - c.origin) }

// sinceBoot returns the time since the machine booted, including suspended time.
func sinceBoot() time.Duration {
	ns := int64(C.bootNanos())
	if ns < 0 {
		// This can't happen: every Linux kernel that Go supports has this clock.
		panic("no CLOCK_BOOTTIME")
	}
	return time.Duration(ns)
}

// Sleep waits for d. It returns early if ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
