package bbrfailover

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Opinion is the result of one instance's recent requests to a member.
type Opinion string

// The opinions. OpinionNone means that the instance has no recent result.
const (
	OpinionNone      Opinion = "none"
	OpinionAnswering Opinion = "answering"
	OpinionFailing   Opinion = "failing"
)

// OpinionOf derives the opinion from an instance's requests to a member. A successful
// response older than maxAge yields OpinionNone.
func OpinionOf(h bbrmember.Health, now bbrtype.Mono, l bbrmember.FailureLimits, maxAge time.Duration) Opinion {
	switch {
	case h.FirstObserved == 0:
		return OpinionNone
	case h.IsFailing(now, l):
		return OpinionFailing
	case h.Failure == bbrmember.FailureNone && now.Sub(h.LastResponse) <= maxAge:
		return OpinionAnswering
	}
	return OpinionNone
}

// IsLost reports whether a primary counts as lost: the steward itself and more than
// half of all instances fail to reach it, and no instance reaches it.
func IsLost(own Opinion, others []Opinion, instanceCount int) bool {
	if own != OpinionFailing {
		return false
	}
	failing := 1
	for _, o := range others {
		switch o {
		case OpinionAnswering:
			return false
		case OpinionFailing:
			failing++
		}
	}
	return 2*failing > instanceCount
}
