package bbrfailover

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// LossPolicy tells what happens when a confirmed write may be missing on all
// members that answer.
type LossPolicy string

// The policies: wait until enough members answer, or promote after a time and
// report a possible loss.
const (
	LossWait    LossPolicy = "wait"
	LossPromote LossPolicy = "promote"
)

// Policy is the part of a group's configuration that a change of primary
// follows.
type Policy struct {
	OnLoss LossPolicy
	// LossAfter is how long LossPromote waits first.
	LossAfter time.Duration
}

// Decision tells what to do next in a change of primary.
type Decision string

// The decisions.
const (
	DecisionWait    Decision = "wait"
	DecisionAdopt   Decision = "adopt"
	DecisionPromote Decision = "promote"
)

// Choice is a decision with the member it concerns.
type Choice struct {
	Decision     Decision
	Member       bbrtype.MemberName
	State        bbrmember.State
	PossibleLoss bool
}

// Situation is what a steward knows when it chooses the next primary.
type Situation struct {
	Group  *bbrjournal.Group
	States map[bbrtype.MemberName]bbrmember.State
	Policy Policy
	// OldAnswers is set if the instances reach the old primary after all.
	OldAnswers bool
	// Complete is set once every member has answered or had time to.
	Complete bool
	// Waited is the time since the fence was complete.
	Waited time.Duration
	// PlannedWait bounds the wait for a replica to catch up with a primary
	// that is taken away on purpose.
	PlannedWait time.Duration
}

// Choose picks the next primary, or tells to wait.
func Choose(s Situation) Choice {
	last, had := s.Group.Last()
	if !had {
		return chooseFirst(s)
	}
	old, oldRead := s.States[last.Member]
	oldRuns := oldRead && old.Primary && old.History == last.History
	planned := oldRuns && s.Group.Excluded == last.Member
	if oldRuns && s.OldAnswers && (!planned || s.Waited >= s.PlannedWait) {
		return Choice{Decision: DecisionAdopt, Member: last.Member, State: old}
	}
	best := bestReplica(s, last.Member)
	if best.Decision == DecisionWait {
		return best
	}
	if planned {
		if end := best.State; received(end) < old.Position {
			return Choice{Decision: DecisionWait}
		}
		return best
	}
	if !s.Complete {
		return Choice{Decision: DecisionWait}
	}
	if seesAllConfirmed(s, last, best) {
		return best
	}
	if s.Policy.OnLoss == LossPromote && s.Waited >= s.Policy.LossAfter {
		best.PossibleLoss = true
		return best
	}
	return Choice{Decision: DecisionWait}
}

// chooseFirst finds the primary of a group that the journal knows none of.
func chooseFirst(s Situation) Choice {
	choice := Choice{Decision: DecisionWait}
	for _, m := range s.Group.Members {
		st, ok := s.States[m]
		if !ok || !st.Primary || m == s.Group.Excluded {
			continue
		}
		if choice.Decision == DecisionAdopt {
			// Two members claim to be the primary: an operator has to decide.
			return Choice{Decision: DecisionWait}
		}
		choice = Choice{Decision: DecisionAdopt, Member: m, State: st}
	}
	if !s.Complete {
		return Choice{Decision: DecisionWait}
	}
	return choice
}

// received returns the end of what a member shows once it is the primary.
func received(st bbrmember.State) bbrtype.Position { return max(st.Position, st.Received) }

// bestReplica finds the member with the highest position in the group's
// history.
func bestReplica(s Situation, old bbrtype.MemberName) Choice {
	best := Choice{Decision: DecisionWait}
	for _, m := range s.Group.Members {
		st, ok := s.States[m]
		if !ok || m == s.Group.Excluded || m == old {
			continue
		}
		decision := DecisionPromote
		switch {
		case st.Primary && isCandidate(s.Group, m):
			decision = DecisionAdopt
		case st.Primary, !s.Group.Includes(st.History, received(st)):
			continue
		}
		if best.Decision == DecisionWait || received(st) > received(best.State) {
			best = Choice{Decision: decision, Member: m, State: st}
		}
	}
	return best
}

func isCandidate(g *bbrjournal.Group, m bbrtype.MemberName) bool {
	for _, c := range g.Candidates {
		if c == m {
			return true
		}
	}
	return false
}

// seesAllConfirmed reports whether the best member holds every confirmed write.
// A write before the floor is held by whoever has reached it. A later write was
// confirmed under the present setting, or under one that is not settled yet.
func seesAllConfirmed(s Situation, last bbrjournal.Lineage, best Choice) bool {
	if s.Group.Confirm > 0 || len(s.Group.Earlier) > 0 {
		if received(best.State) < s.Group.Floor {
			return false
		}
	}
	for _, setting := range append([]bbrjournal.Setting{s.Group.Setting}, s.Group.Earlier...) {
		if !seesConfirmed(s, setting, last, best) {
			return false
		}
	}
	return true
}

// seesConfirmed reports whether the best member holds every write that was
// confirmed under a setting: fewer members are missing than had to confirm it,
// and no other member that answered is ahead.
func seesConfirmed(s Situation, setting bbrjournal.Setting, last bbrjournal.Lineage, best Choice) bool {
	if setting.Confirm == 0 {
		return true
	}
	missing := 0
	for _, m := range setting.Members {
		if m != last.Member && m != best.Member && !isBehind(s, m, received(best.State)) {
			missing++
		}
	}
	return missing < setting.Confirm
}

// isBehind reports whether a member answered and holds nothing of the group's
// history past p.
func isBehind(s Situation, m bbrtype.MemberName, p bbrtype.Position) bool {
	st, ok := s.States[m]
	if !ok {
		return false
	}
	shared, known := s.Group.Shared(st.History, received(st))
	return known && shared <= p
}
