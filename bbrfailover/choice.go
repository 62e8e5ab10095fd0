package bbrfailover

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// LossPolicy decides what a failover does when a confirmed write may be missing on
// all members that responded.
type LossPolicy string

// The loss policies. LossWait waits until enough members respond. LossPromote
// promotes a member after Policy.LossAfter and reports a possible loss.
const (
	LossWait    LossPolicy = "wait"
	LossPromote LossPolicy = "promote"
)

// Policy is the part of a group's configuration that applies to a failover.
type Policy struct {
	OnLoss LossPolicy
	// LossAfter is how long LossPromote waits before it promotes a member.
	LossAfter time.Duration
}

// Decision is the next step of a failover.
type Decision string

// The decisions. DecisionAdopt records a member that is already the primary,
// DecisionPromote promotes a replica.
const (
	DecisionWait    Decision = "wait"
	DecisionAdopt   Decision = "adopt"
	DecisionPromote Decision = "promote"
)

// Choice is a decision with the member that it concerns.
type Choice struct {
	Decision Decision
	Member   bbrtype.MemberName
	State    bbrmember.State
	// PossibleLoss is set if a confirmed write may be missing on the member.
	PossibleLoss bool
}

// Situation is what a steward knows when it chooses the next primary. It is the
// input of Choose.
type Situation struct {
	Group  *bbrjournal.Group
	States map[bbrtype.MemberName]bbrmember.State
	Policy Policy
	// OldAnswers is set if the old primary does not count as lost among the instances.
	OldAnswers bool
	// Complete is set once every member has responded or the read timeout has passed.
	Complete bool
	// Waited is the time since the fence was complete.
	Waited time.Duration
	// PlannedWait is how long a planned failover waits for a replica to catch up with
	// the primary.
	PlannedWait time.Duration
}

// Choose decides the next step of a failover and chooses the next primary. A
// failover is planned if the journal excludes the old primary and the old primary
// still runs.
//
//   - The old primary is adopted if it still runs and the instances reach it. In a
//     planned failover this happens only after PlannedWait.
//   - Otherwise the replica with the highest position is promoted. In a planned
//     failover it must have reached the old primary's position. In any other
//     failover it must hold every confirmed write, unless the loss policy permits a
//     loss.
//   - A candidate of an unfinished failover that is already the primary is adopted
//     under the same conditions.
func Choose(s Situation) Choice {
	last, hadPrimary := s.Group.Last()
	if !hadPrimary {
		return chooseFirst(s)
	}
	old, oldRead := s.States[last.Member]
	oldLeads := oldRead && old.Primary && old.History == last.History
	planned := oldLeads && s.Group.Excluded == last.Member
	if oldLeads && s.OldAnswers && (!planned || s.Waited >= s.PlannedWait) {
		return Choice{Decision: DecisionAdopt, Member: last.Member, State: old}
	}
	best := bestReplica(s, last.Member)
	if best.Decision == DecisionWait {
		return best
	}
	if planned {
		if st := best.State; endAfterPromotion(st) < old.Position {
			return Choice{Decision: DecisionWait}
		}
		return best
	}
	if !s.Complete {
		return Choice{Decision: DecisionWait}
	}
	if holdsAllConfirmed(s, last, best) {
		return best
	}
	if s.Policy.OnLoss == LossPromote && s.Waited >= s.Policy.LossAfter {
		best.PossibleLoss = true
		return best
	}
	return Choice{Decision: DecisionWait}
}

// chooseFirst chooses the primary of a group for which the journal has no primary
// yet.
func chooseFirst(s Situation) Choice {
	choice := Choice{Decision: DecisionWait}
	for _, m := range s.Group.Members {
		st, ok := s.States[m]
		if !ok || !st.Primary || m == s.Group.Excluded {
			continue
		}
		if choice.Decision == DecisionAdopt {
			// Two members report that they are the primary. An operator must resolve this.
			return Choice{Decision: DecisionWait}
		}
		choice = Choice{Decision: DecisionAdopt, Member: m, State: st}
	}
	if !s.Complete {
		return Choice{Decision: DecisionWait}
	}
	return choice
}

// endAfterPromotion returns the end of the data that a member will have once it is
// the primary.
func endAfterPromotion(st bbrmember.State) bbrtype.Position { return max(st.Position, st.Received) }

// bestReplica returns the member with the highest position in the group's history.
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
		case st.Primary, !s.Group.Includes(st.History, endAfterPromotion(st)):
			continue
		}
		if best.Decision == DecisionWait || endAfterPromotion(st) > endAfterPromotion(best.State) {
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

// holdsAllConfirmed reports whether the best member holds every confirmed write.
// Every member that has reached the floor holds the confirmed writes before the
// floor. A write past the floor was confirmed under the present setting, or under an
// earlier setting that is not settled yet.
func holdsAllConfirmed(s Situation, last bbrjournal.Lineage, best Choice) bool {
	if s.Group.Confirm > 0 || len(s.Group.Earlier) > 0 {
		if endAfterPromotion(best.State) < s.Group.Floor {
			return false
		}
	}
	for _, setting := range append([]bbrjournal.Setting{s.Group.Setting}, s.Group.Earlier...) {
		if !holdsConfirmed(s, setting, last, best) {
			return false
		}
	}
	return true
}

// holdsConfirmed reports whether the best member holds every write that was
// confirmed under a setting. This is certain if fewer members may be ahead of the
// best member than were needed to confirm a write. A member may be ahead if it did
// not respond, or if it holds more of the group's history.
func holdsConfirmed(s Situation, setting bbrjournal.Setting, last bbrjournal.Lineage, best Choice) bool {
	if setting.Confirm == 0 {
		return true
	}
	maybeAhead := 0
	for _, m := range setting.Members {
		if m != last.Member && m != best.Member && !isNotAhead(s, m, endAfterPromotion(best.State)) {
			maybeAhead++
		}
	}
	return maybeAhead < setting.Confirm
}

// isNotAhead reports whether a member responded and holds nothing of the group's
// history past p.
func isNotAhead(s Situation, m bbrtype.MemberName, p bbrtype.Position) bool {
	st, ok := s.States[m]
	if !ok {
		return false
	}
	shared, known := s.Group.Shared(st.History, endAfterPromotion(st))
	return known && shared <= p
}
