package bbrproxy

import (
	"sync"

	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrstatus"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// recentWindow is how long what callers were told counts.
const recentWindow = bbrstatus.RecentWindow

// recentSlots is the number of parts that the recent window is divided into.
const recentSlots = 16

// recent counts, by group, what callers were told lately.
type recent struct {
	mu     sync.Mutex
	groups map[bbrtype.GroupName]*recentCounts
}

// recentCounts counts in slots of time.
type recentCounts struct {
	slot                [recentSlots]int64
	unknown, turnedAway [recentSlots]int
}

// note counts an error that a caller was told.
func (r *recent) note(now bbrtype.Mono, g bbrtype.GroupName, reason bbroutcome.Reason) {
	outcome := bbroutcome.OutcomeOf(reason)
	lateness := reason == bbroutcome.ReasonOverload || reason == bbroutcome.ReasonQueueTimeout ||
		reason == bbroutcome.ReasonNoPrimary || reason == bbroutcome.ReasonNoMember || reason == bbroutcome.ReasonRolledBack
	if outcome != bbroutcome.Unknown && !lateness {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.groups == nil {
		r.groups = map[bbrtype.GroupName]*recentCounts{}
	}
	c := r.groups[g]
	if c == nil {
		c = &recentCounts{}
		r.groups[g] = c
	}
	slot := int64(now) / int64(recentWindow/recentSlots)
	i := slot % recentSlots
	if c.slot[i] != slot {
		c.slot[i], c.unknown[i], c.turnedAway[i] = slot, 0, 0
	}
	if outcome == bbroutcome.Unknown {
		c.unknown[i]++
	} else {
		c.turnedAway[i]++
	}
}

// counts returns the numbers within the window.
func (r *recent) counts(now bbrtype.Mono, g bbrtype.GroupName) (unknown, turnedAway int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.groups[g]
	if c == nil {
		return 0, 0
	}
	oldest := int64(now)/int64(recentWindow/recentSlots) - recentSlots
	for i := range c.slot {
		if c.slot[i] > oldest {
			unknown += c.unknown[i]
			turnedAway += c.turnedAway[i]
		}
	}
	return unknown, turnedAway
}

// Recent returns how many requests to a group had an unknown outcome or were
// turned away lately.
func (s *Server) Recent(g bbrtype.GroupName) (unknown, turnedAway int) {
	return s.recent.counts(s.deps.Clock.Now(), g)
}
