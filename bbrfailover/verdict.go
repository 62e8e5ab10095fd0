package bbrfailover

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Opinion is what one instance thinks of a member.
type Opinion string

// The opinions. OpinionNone means too little or too old experience.
const (
	OpinionNone      Opinion = "none"
	OpinionAnswering Opinion = "answering"
	OpinionFailing   Opinion = "failing"
)

// OpinionOf turns an instance's experience into an opinion. An answer counts
// for the given time.
func OpinionOf(h bbrmember.Health, now bbrtype.Mono, l bbrmember.Limits, fresh time.Duration) Opinion {
	switch {
	case h.Since == 0:
		return OpinionNone
	case h.IsFailing(now, l):
		return OpinionFailing
	case h.Kind == bbrmember.FailureNone && now.Sub(h.LastGood) <= fresh:
		return OpinionAnswering
	}
	return OpinionNone
}

// IsLost reports whether a primary should be replaced. The steward itself must
// fail to reach it, no other instance may reach it, and more than half of all
// instances must fail to.
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
