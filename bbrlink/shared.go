package bbrlink

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Shared is what one instance tells others of a group. Ages count from the moment
// at which it is told.
type Shared struct {
	Group     bbrtype.GroupName
	Primary   bbrtype.MemberName
	Term      bbrtype.Term
	ProvenAgo time.Duration
	// Place is the newest proven position of the primary, zero if none is known.
	Place    bbrmessage.Place
	PlaceAgo time.Duration
	// Acked is the newest position that is known to have been acknowledged.
	Acked bbrmessage.Place
}

// Share tells what is known of the group.
func (g *Group) Share() Shared {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	s := Shared{
		Group: g.name, Primary: g.primary.Member, Term: g.primary.Term,
		ProvenAgo: now.Sub(g.proof.ProvenAt()), Acked: g.acked,
	}
	if at, place := g.proof.NewestSample(); at != 0 {
		s.Place, s.PlaceAgo = place, now.Sub(at)
	}
	return s
}

// TakeShared takes in what another instance told, when it was asked at a time. It
// counts only if both go by the same primary.
func (g *Group) TakeShared(s Shared, askedAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acked = bbrmessage.Latest(g.acked, s.Acked)
	if s.Primary != g.primary.Member || s.Term != g.primary.Term {
		return
	}
	g.take(proofByInstance, s.Term, askedAt.Add(-s.ProvenAgo))
	if !s.Place.IsZero() {
		g.proof.Observe(s.Place, askedAt.Add(-s.PlaceAgo))
	}
}
