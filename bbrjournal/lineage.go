package bbrjournal

import (
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Fate is the status of a position of some term, relative to the group's
// current history.
type Fate string

// The fates of a position.
const (
	// FateKept means that the current history includes the position.
	FateKept Fate = "kept"
	// FateLost means that a change of primary discarded the position: a later
	// history branched off before it.
	FateLost Fate = "lost"
	// FateAhead means that this instance has not yet applied the entry that
	// names the primary of the position's term.
	FateAhead Fate = "ahead"
	// FateUnknown means that the position's term is not among the recorded
	// terms: it never had a primary, or it is older than the last maxLineage
	// terms.
	FateUnknown Fate = "unknown"
)

// Fate returns the status of position p of a term.
func (g *Group) Fate(term bbrtype.Term, p bbrtype.Position) Fate {
	if last, _ := g.Last(); term > last.Term {
		// The entry that names the primary of the term is not applied yet.
		return FateAhead
	}
	for i := range g.Lineage {
		if g.Lineage[i].Term != term {
			continue
		}
		if p > g.branchPosition(i) {
			return FateLost
		}
		return FateKept
	}
	return FateUnknown
}

// Includes reports whether data of history h up to position p is part of the
// current history. Each earlier history counts up to the position at which a
// later one branched off.
func (g *Group) Includes(h bbrtype.History, p bbrtype.Position) bool {
	for i := len(g.Lineage) - 1; i >= 0; i-- {
		if g.Lineage[i].History == h {
			return p <= g.branchPosition(i)
		}
	}
	return false
}

// Shared returns how much of a member's data is part of the current history.
// The data ends at position p of history h. ok is false if no recorded term
// has history h.
func (g *Group) Shared(h bbrtype.History, p bbrtype.Position) (common bbrtype.Position, ok bool) {
	for i := len(g.Lineage) - 1; i >= 0; i-- {
		if g.Lineage[i].History == h {
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
	for j := i + 1; j < len(g.Lineage); j++ {
		if g.Lineage[j].History != g.Lineage[j-1].History {
			lowest = min(lowest, g.Lineage[j].Start)
		}
	}
	return lowest
}
