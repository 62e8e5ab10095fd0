package bbrlink

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Shared is what one instance reports of a group to others: its primary, and the age
// of its proof. Ages are relative to the time of the report, because instances share
// no clock.
type Shared struct {
	Group     bbrtype.GroupName
	Primary   bbrtype.MemberName
	Term      bbrtype.Term
	ProvenAgo time.Duration
	// Place is the newest proven log position of the primary, zero if none is known.
	Place    bbrmessage.Place
	PlaceAgo time.Duration
	// Acked is the newest log position that is known to have been acknowledged.
	Acked bbrmessage.Place
}

// Share returns what this instance reports of the group to others.
func (g *Group) Share() Shared {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	s := Shared{
		Group: g.name, Primary: g.primary.Member, Term: g.primary.Term,
		ProvenAgo: now.Sub(g.proof.ProvenAt()), Acked: g.acked,
	}
	if at, position := g.proof.NewestSample(); at != 0 {
		s.Place, s.PlaceAgo = position, now.Sub(at)
	}
	return s
}

// TakeShared merges the report of another instance, which was requested at askedAt.
// Ages count from the request, so that no proof seems newer than it is. Proof and
// position are ignored unless both instances use the same primary.
func (g *Group) TakeShared(s Shared, askedAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acked = bbrmessage.Latest(g.acked, s.Acked)
	if s.Primary != g.primary.Member || s.Term != g.primary.Term {
		return
	}
	g.recordProof(proofByInstance, s.Term, askedAt.Add(-s.ProvenAgo))
	if !s.Place.IsZero() {
		g.proof.Observe(s.Place, askedAt.Add(-s.PlaceAgo))
	}
}
