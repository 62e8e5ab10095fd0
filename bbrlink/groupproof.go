package bbrlink

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// GroupProof is an instance's report about a group for other instances: the primary
// in use and the age of its newest proof. It contains ages instead of times, because
// instances share no clock.
type GroupProof struct {
	Group    bbrtype.GroupName
	Primary  bbrtype.MemberName
	Term     bbrtype.Term
	ProofAge time.Duration
	// Position is the newest proven log position of the primary, zero if none is
	// known.
	Position    bbrmessage.LogPosition
	PositionAge time.Duration
	// LastAcked is the newest known log position of an acknowledged commit.
	LastAcked bbrmessage.LogPosition
}

// ExportProof returns this instance's report about the group.
func (g *Group) ExportProof() GroupProof {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	s := GroupProof{
		Group: g.name, Primary: g.primary.Member, Term: g.primary.Term,
		ProofAge: now.Sub(g.proof.LastProofAt()), LastAcked: g.lastAcked,
	}
	if at, position := g.proof.NewestSample(); at != 0 {
		s.Position, s.PositionAge = position, now.Sub(at)
	}
	return s
}

// MergeProof merges the report of another instance, which was requested at
// requestedAt. Ages are subtracted from the time of the request, so that a proof is
// never taken for newer than it is. Except for LastAcked, the report is ignored if
// the two instances use different primaries.
func (g *Group) MergeProof(s GroupProof, requestedAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastAcked = bbrmessage.LaterPosition(g.lastAcked, s.LastAcked)
	if s.Primary != g.primary.Member || s.Term != g.primary.Term {
		return
	}
	g.recordProof(proofByInstance, s.Term, requestedAt.Add(-s.ProofAge))
	if !s.Position.IsZero() {
		g.proof.AddSample(s.Position, requestedAt.Add(-s.PositionAge))
	}
}
