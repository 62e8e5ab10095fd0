package bbrlink

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// maxWakeJitter is the maximum time between the end of a member's pause and the dispatch of
// the queue. It keeps instances from coming back at the same moment.
const maxWakeJitter = 250 * time.Millisecond

// scheduleWake dispatches the queue when the next pause of a member ends. The caller holds
// mu.
func (g *Group) scheduleWake(now bbrtype.Mono) {
	end := g.scheduler.NextPauseEnd(now)
	if end == 0 || g.wakeAt != 0 && g.wakeAt <= end {
		return
	}
	g.wakeAt = end
	time.AfterFunc(end.Sub(now)+rand.N(maxWakeJitter), func() { g.wake(end) })
}

// wake dispatches the queue, unless an earlier wake has replaced this one.
func (g *Group) wake(end bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wakeAt != end {
		return
	}
	g.wakeAt = 0
	now := g.Clock.Now()
	g.scheduler.Dispatch(now)
	g.scheduleWake(now)
}
