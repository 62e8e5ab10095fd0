package bbrlink

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Shared is an instance's report about a group for other instances: the primary in
// use and the age of its newest proof. It contains ages instead of times, because
// instances share no clock.
type Shared struct {
	Group     bbrtype.GroupName
	Primary   bbrtype.MemberName
	Term      bbrtype.Term
	ProvenAgo time.Duration
	// Place is the newest proven log position of the primary, zero if none is known.
	Place    bbrmessage.Place
	PlaceAgo time.Duration
	// Acked is the newest known log position of an acknowledged commit.
	Acked bbrmessage.Place
}

// Share returns this instance's report about the group.
func (g *Group) Share() Shared {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	s := Shared{
		Group: g.name, Primary: g.primary.Member, Term: g.primary.Term,
		ProvenAgo: now.Sub(g.proof.ProvenAt()), Acked: g.lastAcked,
	}
	if at, position := g.proof.NewestSample(); at != 0 {
		s.Place, s.PlaceAgo = position, now.Sub(at)
	}
	return s
}

// TakeShared merges the report of another instance, which was requested at
// requestedAt. Ages are subtracted from the time of the request, so that a proof is
// never taken for newer than it is. Except for Acked, the report is ignored if the
// two instances use different primaries.
func (g *Group) TakeShared(s Shared, requestedAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastAcked = bbrmessage.Latest(g.lastAcked, s.Acked)
	if s.Primary != g.primary.Member || s.Term != g.primary.Term {
		return
	}
	g.recordProof(proofByInstance, s.Term, requestedAt.Add(-s.ProvenAgo))
	if !s.Place.IsZero() {
		g.proof.Observe(s.Place, requestedAt.Add(-s.PlaceAgo))
	}
}
