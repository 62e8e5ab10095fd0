package bbrfailover

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Reachability is the result of one instance's recent requests to a member.
type Reachability string

// The reachabilities. ReachabilityUnknown means that the instance has no recent result.
const (
	ReachabilityUnknown    Reachability = "none"
	ReachabilityResponding Reachability = "answering"
	ReachabilityFailing    Reachability = "failing"
)

// AssessReachability derives the reachability from an instance's requests to a
// member. A successful response older than maxAge yields ReachabilityUnknown.
func AssessReachability(h bbrmember.Health, now bbrtype.Mono, l bbrmember.FailureLimits, maxAge time.Duration) Reachability {
	switch {
	case h.FirstObserved == 0:
		return ReachabilityUnknown
	case h.IsFailing(now, l):
		return ReachabilityFailing
	case h.Failure == bbrmember.FailureNone && now.Sub(h.LastResponse) <= maxAge:
		return ReachabilityResponding
	}
	return ReachabilityUnknown
}

// IsPrimaryLost reports whether a primary counts as lost: the steward itself and more than
// half of all instances fail to reach it, and no instance reaches it.
func IsPrimaryLost(own Reachability, others []Reachability, instanceCount int) bool {
	if own != ReachabilityFailing {
		return false
	}
	failing := 1
	for _, o := range others {
		switch o {
		case ReachabilityResponding:
			return false
		case ReachabilityFailing:
			failing++
		}
	}
	return 2*failing > instanceCount
}
