package bbrfailover

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Opinion is one instance's assessment of whether a member responds.
type Opinion string

// The opinions. OpinionNone means that the instance has no recent result.
const (
	OpinionNone      Opinion = "none"
	OpinionAnswering Opinion = "answering"
	OpinionFailing   Opinion = "failing"
)

// OpinionOf derives the opinion from an instance's requests to a member. A
// successful response counts for maxAge.
func OpinionOf(h bbrmember.Health, now bbrtype.Mono, l bbrmember.Limits, maxAge time.Duration) Opinion {
	switch {
	case h.Since == 0:
		return OpinionNone
	case h.IsFailing(now, l):
		return OpinionFailing
	case h.Kind == bbrmember.FailureNone && now.Sub(h.LastGood) <= maxAge:
		return OpinionAnswering
	}
	return OpinionNone
}

// IsLost reports whether a primary must be replaced. The steward itself must fail to
// reach the primary, no other instance may reach it, and more than half of all
// instances must fail to reach it.
func IsLost(own Opinion, others []Opinion, instances int) bool {
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
	return 2*failing > instances
}
