package bbrlink

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// membersGap is the least time between two proofs by all members, which cost each
// of them a look.
const membersGap = 500 * time.Millisecond

// proveGap is the least time between two proofs that are asked for.
const proveGap = 100 * time.Millisecond

// sharedAge is how old the proof of another instance may be to save a question to
// the store.
const sharedAge = 800 * time.Millisecond

// positionFresh is how long a position that traffic told saves a look.
const positionFresh = 500 * time.Millisecond

// Prove gets a proof of the primary in use and its position. Callers that ask
// meanwhile share it.
func (g *Group) Prove(ctx context.Context) {
	g.mu.Lock()
	if under := g.proving; under != nil {
		g.mu.Unlock()
		select {
		case <-under:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	g.proving = done
	p := g.primary
	wait := g.provedAt.Add(proveGap).Sub(g.Clock.Now())
	g.mu.Unlock()
	g.prove(ctx, p, wait)
	g.mu.Lock()
	g.proving = nil
	g.provedAt = g.Clock.Now()
	g.mu.Unlock()
	close(done)
}

// prove asks another instance for a proof, else the store whether a change has
// begun, else all members. It looks at the primary if its position is not known.
func (g *Group) prove(ctx context.Context, p Primary, wait time.Duration) {
	if wait > 0 {
		bbrtype.Sleep(ctx, wait)
	}
	if p.Member == "" {
		return
	}
	// Without an answer the store is asked.
	_ = g.Ask(ctx)
	if !g.provenWithin(sharedAge) && g.Vouch(ctx) != nil {
		g.proveByMembers(ctx, p)
	}
	if !g.hasPosition() {
		g.samplePosition(ctx, p)
	}
}

// provenWithin reports whether the primary is proven by something not older than a
// time.
func (g *Group) provenWithin(age time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.ProvenAt() >= g.Clock.Now().Add(-age)
}

// hasPosition reports whether traffic has told the primary's position lately, so
// that only the proof is missing.
func (g *Group) hasPosition() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Clock.Now().Sub(max(g.proof.Pending(), g.proof.Newest())) < positionFresh
}

// samplePosition asks the primary for its position.
func (g *Group) samplePosition(ctx context.Context, p Primary) {
	sentAt := g.Clock.Now()
	look, err := g.LookAt(ctx, p.Member)
	if err == nil && look.Role == bbrmessage.RolePrimary && look.Term == p.Term {
		g.observe(p, look.Received, sentAt)
	}
}

// ProveTerm notes that the store had no change of primary when it was asked.
func (g *Group) ProveTerm(term bbrtype.Term, sentAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.take(proofByStore, term, sentAt)
}

// proofSource tells where a proof came from.
type proofSource string

// The sources of proofs.
const (
	proofByCommit  proofSource = "commit"
	proofByStore   proofSource = "store"
	proofByMembers proofSource = "members"
	// proofByInstance is a proof that another instance had.
	proofByInstance proofSource = "instance"
)

// take notes a proof, and logs it if the primary was not proven before. The
// caller holds mu.
func (g *Group) take(source proofSource, term bbrtype.Term, sentAt bbrtype.Mono) {
	now := g.Clock.Now()
	had := g.proof.Covers(now)
	g.proof.Prove(term, sentAt)
	if !had && g.proof.Covers(now) {
		g.Log.WithFields(logrus.Fields{"group": g.name, "primary": g.primary.Member, "term": term, "source": source, "ageMs": now.Sub(sentAt).Milliseconds()}).Debug("primary proven")
	}
}

// proveByMembers looks at all members. Only if each one answers, and none but the
// primary leads or holds, no change can have got to its end: a replica that
// forgets what it held may follow another primary already.
func (g *Group) proveByMembers(ctx context.Context, p Primary) {
	sentAt := g.Clock.Now()
	if g.lookedAtAll != 0 && sentAt.Sub(g.lookedAtAll) < membersGap {
		return
	}
	g.lookedAtAll = sentAt
	members := g.Members()
	results := make(chan LookResult, len(members))
	for _, m := range members {
		g.Group.Go(func() error {
			l, err := g.LookAt(ctx, m.ID)
			results <- LookResult{Member: m.ID, Look: l, Err: err}
			return nil
		})
	}
	var all []LookResult
	for range members {
		all = append(all, <-results)
	}
	if newer, ok := newerPrimary(all, p); ok {
		// Older proofs of other instances have to run out first.
		newer.UsableFrom = g.Clock.Now().Add(bbrproof.Lease)
		g.SetPrimary(newer)
		return
	}
	if len(g.MayBeAtWork()) == len(all) && showsNoChange(all, p) {
		g.mu.Lock()
		g.take(proofByMembers, p.Term, sentAt)
		g.mu.Unlock()
	}
}

// LookResult is what a look at a member showed.
type LookResult struct {
	Member bbrtype.MemberName
	Look   bbrmessage.Look
	Err    error
}

// newerPrimary returns the member that leads the newest term, if it is not the
// primary in use: that of a newer term, or the same one under another name.
func newerPrimary(all []LookResult, p Primary) (Primary, bool) {
	best := p
	for _, r := range all {
		if r.Err != nil || r.Look.Role != bbrmessage.RolePrimary || r.Member == p.Member {
			continue
		}
		if r.Look.Term > best.Term || r.Look.Term == p.Term && best == p {
			best = Primary{Member: r.Member, Term: r.Look.Term}
		}
	}
	return best, best != p
}

// showsNoChange reports whether looks at all members show that the primary still
// leads and that no replica holds or belongs to a newer term.
func showsNoChange(all []LookResult, p Primary) bool {
	leads := false
	for _, r := range all {
		if r.Err != nil || r.Look.Term > p.Term || r.Look.Held > p.Term {
			return false
		}
		isPrimary := r.Look.Role == bbrmessage.RolePrimary
		if isPrimary != (r.Member == p.Member) {
			return false
		}
		leads = leads || isPrimary && r.Look.Term == p.Term
	}
	return leads
}

// observe notes a position of a primary, if it is the one in use.
func (g *Group) observe(p Primary, place bbrmessage.Place, sentAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p == g.primary {
		g.proof.Observe(place, sentAt)
	}
}
