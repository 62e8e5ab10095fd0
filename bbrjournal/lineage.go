package bbrjournal

import (
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// PositionStatus states whether a position of some term is part of the group's
// current history.
type PositionStatus string

// The statuses of a position.
const (
	// PositionIncluded means that the current history includes the position.
	PositionIncluded PositionStatus = "kept"
	// PositionLost means that a change of primary discarded the position: a later
	// history branched off before it.
	PositionLost PositionStatus = "lost"
	// PositionAhead means that this instance has not yet applied the entry that
	// names the primary of the position's term.
	PositionAhead PositionStatus = "ahead"
	// PositionUnknown means that the position's term is not among the recorded
	// terms: it never had a primary, or it is older than the last maxLineage
	// terms.
	PositionUnknown PositionStatus = "unknown"
)

// PositionStatus returns the status of position p of a term.
func (g *Group) PositionStatus(term bbrtype.Term, p bbrtype.Position) PositionStatus {
	if last, _ := g.LastPrimary(); term > last.Term {
		// The entry that names the primary of the term is not applied yet.
		return PositionAhead
	}
	for i := range g.PrimaryTerms {
		if g.PrimaryTerms[i].Term != term {
			continue
		}
		if p > g.branchPosition(i) {
			return PositionLost
		}
		return PositionIncluded
	}
	return PositionUnknown
}

// Includes reports whether data of history h up to position p is part of the
// current history. Each earlier history counts up to the position at which a
// later one branched off.
func (g *Group) Includes(h bbrtype.History, p bbrtype.Position) bool {
	for i := len(g.PrimaryTerms) - 1; i >= 0; i-- {
		if g.PrimaryTerms[i].History == h {
			return p <= g.branchPosition(i)
		}
	}
	return false
}

// CommonPosition returns how much of a member's data is part of the current history.
// The data ends at position p of history h. ok is false if no recorded term
// has history h.
func (g *Group) CommonPosition(h bbrtype.History, p bbrtype.Position) (common bbrtype.Position, ok bool) {
	for i := len(g.PrimaryTerms) - 1; i >= 0; i-- {
		if g.PrimaryTerms[i].History == h {
			return min(p, g.branchPosition(i)), true
		}
	}
	return 0, false
}

// branchPosition returns the lowest position at which a history later than
// that of the i-th recorded term branched off. It returns the maximum position
// if there is no later history. Data of the i-th term past that position is
// not part of the current history.
func (g *Group) branchPosition(i int) bbrtype.Position {
	lowest := ^bbrtype.Position(0)
	for j := i + 1; j < len(g.PrimaryTerms); j++ {
		if g.PrimaryTerms[j].History != g.PrimaryTerms[j-1].History {
			lowest = min(lowest, g.PrimaryTerms[j].Start)
		}
	}
	return lowest
}
