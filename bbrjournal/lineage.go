package bbrjournal

import (
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Fate is the status of a position that a caller has seen, relative to the
// current history of the group.
type Fate string

// The fates of a position.
const (
	// FateKept means that the current history includes the position.
	FateKept Fate = "kept"
	// FateLost means that a later history branched off before the position, so
	// that a change of primary discarded it.
	FateLost Fate = "lost"
	// FateAhead means that this instance has not yet applied the entry that
	// names the primary of the position's term.
	FateAhead Fate = "ahead"
	// FateUnknown means that the position's term is older than all recorded
	// terms.
	FateUnknown Fate = "unknown"
)

// Fate returns the status of position p of a term.
func (g *Group) Fate(term bbrtype.Term, p bbrtype.Position) Fate {
	if last, _ := g.Last(); term > last.Term {
		// The entry that names the primary of the term is not applied yet.
		return FateAhead
	}
	for k := range g.Lineage {
		if g.Lineage[k].Term != term {
			continue
		}
		if p > g.divergence(k) {
			return FateLost
		}
		return FateKept
	}
	return FateUnknown
}

// Includes reports whether data of history h up to position p is part of the
// current history. A history is part of it up to the position at which a later
// history branched off.
func (g *Group) Includes(h bbrtype.History, p bbrtype.Position) bool {
	for k := len(g.Lineage) - 1; k >= 0; k-- {
		if g.Lineage[k].History == h {
			return p <= g.divergence(k)
		}
	}
	return false
}

// Shared returns the position up to which a member's data, which ends at
// position p of history h, is part of the current history. ok is false if the
// group has no recorded term with history h.
func (g *Group) Shared(h bbrtype.History, p bbrtype.Position) (shared bbrtype.Position, ok bool) {
	for k := len(g.Lineage) - 1; k >= 0; k-- {
		if g.Lineage[k].History == h {
			return min(p, g.divergence(k)), true
		}
	}
	return 0, false
}

// divergence returns the lowest position at which a history after the k-th term
// branched off, or the highest possible position if there was none. Data of the
// k-th term past that position is not part of the current history.
func (g *Group) divergence(k int) bbrtype.Position {
	divergence := ^bbrtype.Position(0)
	for j := k + 1; j < len(g.Lineage); j++ {
		if g.Lineage[j].History != g.Lineage[j-1].History {
			divergence = min(divergence, g.Lineage[j].Start)
		}
	}
	return divergence
}
