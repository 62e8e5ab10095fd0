package bbrjournal

import (
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Fate tells what became of a position that a caller has seen.
type Fate string

// The fates of a position. FateAhead means that this instance has not applied
// the position's term yet. FateUnknown means that the term is too old to tell.
const (
	FateKept    Fate = "kept"
	FateLost    Fate = "lost"
	FateAhead   Fate = "ahead"
	FateUnknown Fate = "unknown"
)

// Fate tells whether the present history includes a position of a term.
func (g *Group) Fate(term bbrtype.Term, p bbrtype.Position) Fate {
	if last, _ := g.Last(); term > last.Term {
		// The entry that names the term's primary is not applied here.
		return FateAhead
	}
	for k := range g.Lineage {
		if g.Lineage[k].Term != term {
			continue
		}
		if p > g.cut(k) {
			return FateLost
		}
		return FateKept
	}
	return FateUnknown
}

// Includes reports whether a member's data is part of the present history: it
// is so up to the position at which a later history branched off.
func (g *Group) Includes(h bbrtype.History, p bbrtype.Position) bool {
	for k := len(g.Lineage) - 1; k >= 0; k-- {
		if g.Lineage[k].History == h {
			return p <= g.cut(k)
		}
	}
	return false
}

// Shared returns the part of a member's position that belongs to the present
// history. ok is false if the history is not one of the group's.
func (g *Group) Shared(h bbrtype.History, p bbrtype.Position) (shared bbrtype.Position, ok bool) {
	for k := len(g.Lineage) - 1; k >= 0; k-- {
		if g.Lineage[k].History == h {
			return min(p, g.cut(k)), true
		}
	}
	return 0, false
}

// cut returns the position at which the first later history branched off the
// k-th term's history.
func (g *Group) cut(k int) bbrtype.Position {
	cut := ^bbrtype.Position(0)
	for j := k + 1; j < len(g.Lineage); j++ {
		if g.Lineage[j].History != g.Lineage[j-1].History {
			cut = min(cut, g.Lineage[j].Start)
		}
	}
	return cut
}
