package bbrtype

/*
#include <time.h>

// bootNanos returns CLOCK_BOOTTIME in nanoseconds, or a negative number. The C
// library reads it without a system call.
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

// Mono is a reading of a clock that never jumps and that runs on while the
// machine is suspended: the time since an arbitrary start. Readings of two
// processes can't be compared.
type Mono time.Duration

// Add returns the reading d later.
func (m Mono) Add(d time.Duration) Mono { return m + Mono(d) }

// Sub returns the time from o to m.
func (m Mono) Sub(o Mono) time.Duration { return time.Duration(m - o) }

// Clock returns readings of CLOCK_BOOTTIME. Go's own monotonic clock stands
// still while a machine is suspended, so that a lease measured by it would
// outlive its time.
type Clock struct{ start time.Duration }

// firstReading is the first reading of a clock, so that the zero reading lies
// safely in the past.
const firstReading = time.Hour

// NewClock starts a clock. Its first reading is one hour.
func NewClock() *Clock { return &Clock{start: sinceBoot() - firstReading} }

// Now returns the present reading.
func (c *Clock) Now() Mono { return Mono(sinceBoot() - c.start) }

// sinceBoot returns the time since the machine started, suspended time included.
func sinceBoot() time.Duration {
	ns := int64(C.bootNanos())
	if ns < 0 {
		// Every Linux kernel that Go supports has this clock.
		panic("no CLOCK_BOOTTIME")
	}
	return time.Duration(ns)
}

// Sleep waits or returns early when ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
