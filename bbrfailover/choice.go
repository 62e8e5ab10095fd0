package bbrfailover

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// LossPolicy decides what a failover does when a confirmed write may be missing on
// every member that could be promoted.
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

// The decisions. DecisionWait means that no member can be chosen yet. DecisionAdopt
// records a member that is already the primary. DecisionPromote promotes a replica.
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

// ElectionInput is what a steward knows when it chooses the next primary. It is the
// input of Choose.
type ElectionInput struct {
	Group  *bbrjournal.Group
	States map[bbrtype.MemberName]bbrmember.State
	Policy Policy
	// OldPrimaryReachable is set if the old primary does not count as lost, see IsPrimaryLost.
	OldPrimaryReachable bool
	// ReadsComplete is set once every member has responded or the read timeout has passed.
	ReadsComplete bool
	// SinceFenced is the time since the fence was complete.
	SinceFenced time.Duration
	// CatchUpTimeout is how long a planned failover waits for a replica to catch up with
	// the primary.
	CatchUpTimeout time.Duration
}

// Choose decides the next step of a failover and chooses the next primary. A
// failover is planned if the journal excludes the old primary and the old primary
// still reports that it is the primary.
//
//   - The old primary is adopted again if it still reports that it is the primary and
//     does not count as lost. In a planned failover this happens only after
//     CatchUpTimeout, when the failover is abandoned.
//   - Otherwise the replica with the highest position is promoted. In a planned
//     failover it must have reached the old primary's position. In any other
//     failover it must have every confirmed write, unless the loss policy permits a
//     loss.
//   - A member that an earlier, unfinished attempt has already promoted is adopted
//     under the same conditions.
func Choose(in ElectionInput) Choice {
	last, hadPrimary := in.Group.LastPrimary()
	if !hadPrimary {
		return chooseFirst(in)
	}
	old, oldResponded := in.States[last.Member]
	oldLeads := oldResponded && old.Primary && old.History == last.History
	planned := oldLeads && in.Group.Excluded == last.Member
	if oldLeads && in.OldPrimaryReachable && (!planned || in.SinceFenced >= in.CatchUpTimeout) {
		return Choice{Decision: DecisionAdopt, Member: last.Member, State: old}
	}
	best := bestSuccessor(in, last.Member)
	if best.Decision == DecisionWait {
		return best
	}
	if planned {
		if st := best.State; promotedPosition(st) < old.Position {
			return Choice{Decision: DecisionWait}
		}
		return best
	}
	if !in.ReadsComplete {
		return Choice{Decision: DecisionWait}
	}
	if hasAllConfirmedWrites(in, last, best) {
		return best
	}
	if in.Policy.OnLoss == LossPromote && in.SinceFenced >= in.Policy.LossAfter {
		best.PossibleLoss = true
		return best
	}
	return Choice{Decision: DecisionWait}
}

// chooseFirst chooses the first primary of a group: the only member that reports that
// it is the primary.
func chooseFirst(in ElectionInput) Choice {
	choice := Choice{Decision: DecisionWait}
	for _, m := range in.Group.Members {
		st, ok := in.States[m]
		if !ok || !st.Primary || m == in.Group.Excluded {
			continue
		}
		if choice.Decision == DecisionAdopt {
			// Two members report that they are the primary. An operator must resolve this.
			return Choice{Decision: DecisionWait}
		}
		choice = Choice{Decision: DecisionAdopt, Member: m, State: st}
	}
	if !in.ReadsComplete {
		return Choice{Decision: DecisionWait}
	}
	return choice
}

// promotedPosition returns the end of the data that a member will have once it is the
// primary.
func promotedPosition(st bbrmember.State) bbrtype.Position { return max(st.Position, st.Received) }

// bestSuccessor returns the member with the highest position in the group's history. It
// is a replica, or a candidate that has already been promoted.
func bestSuccessor(in ElectionInput, old bbrtype.MemberName) Choice {
	best := Choice{Decision: DecisionWait}
	for _, m := range in.Group.Members {
		st, ok := in.States[m]
		if !ok || m == in.Group.Excluded || m == old {
			continue
		}
		decision := DecisionPromote
		switch {
		case st.Primary && isCandidate(in.Group, m):
			decision = DecisionAdopt
		case st.Primary, !in.Group.Includes(st.History, promotedPosition(st)):
			continue
		}
		if best.Decision == DecisionWait || promotedPosition(st) > promotedPosition(best.State) {
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

// hasAllConfirmedWrites reports whether the best member has every confirmed write. The
// next primary must have reached Group.MinPosition, so that it has all confirmed writes
// up to that position. Writes past that position were confirmed under the current
// replication config of the group or under one of Group.EarlierConfigs.
func hasAllConfirmedWrites(in ElectionInput, last bbrjournal.PrimaryTerm, best Choice) bool {
	if in.Group.MinConfirmations > 0 || len(in.Group.EarlierConfigs) > 0 {
		if promotedPosition(best.State) < in.Group.MinPosition {
			return false
		}
	}
	for _, config := range append([]bbrjournal.ReplicationConfig{in.Group.ReplicationConfig}, in.Group.EarlierConfigs...) {
		if !hasWritesConfirmedUnder(in, config, last, best) {
			return false
		}
	}
	return true
}

// hasWritesConfirmedUnder reports whether the best member has every write that was
// confirmed under a config. This is certain if the members that may have a write which
// the best member lacks are too few to have confirmed it. A member may have such a
// write if it did not respond, or if it has more of the group's history.
func hasWritesConfirmedUnder(in ElectionInput, config bbrjournal.ReplicationConfig, last bbrjournal.PrimaryTerm, best Choice) bool {
	if config.MinConfirmations == 0 {
		return true
	}
	maybeAhead := 0
	for _, m := range config.Members {
		if m != last.Member && m != best.Member && !isKnownNotAhead(in, m, promotedPosition(best.State)) {
			maybeAhead++
		}
	}
	return maybeAhead < config.MinConfirmations
}

// isKnownNotAhead reports whether a member responded and has no part of the group's
// history past p.
func isKnownNotAhead(in ElectionInput, m bbrtype.MemberName, p bbrtype.Position) bool {
	st, ok := in.States[m]
	if !ok {
		return false
	}
	shared, known := in.Group.CommonPosition(st.History, promotedPosition(st))
	return known && shared <= p
}
