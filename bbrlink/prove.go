package bbrlink

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// memberProofInterval is the minimum time between two proofs by the status of all
// members, since each such proof queries every member.
const memberProofInterval = 500 * time.Millisecond

// proofInterval is the minimum pause between two proofs that ObtainProof obtains.
const proofInterval = 100 * time.Millisecond

// maxSharedProofAge is the maximum age of a proof for which the store is not queried.
const maxSharedProofAge = 800 * time.Millisecond

// maxPositionAge is the maximum age of a log position for which the primary is not
// queried.
const maxPositionAge = 500 * time.Millisecond

// ObtainProof obtains a proof of the primary in use, and its log position. Concurrent
// calls share one proof.
func (g *Group) ObtainProof(ctx context.Context) {
	g.mu.Lock()
	if inProgress := g.proofDone; inProgress != nil {
		g.mu.Unlock()
		select {
		case <-inProgress:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	g.proofDone = done
	p := g.primary
	wait := g.lastProofEnd.Add(proofInterval).Sub(g.Clock.Now())
	g.mu.Unlock()
	g.runProof(ctx, p, wait)
	g.mu.Lock()
	g.proofDone = nil
	g.lastProofEnd = g.Clock.Now()
	g.mu.Unlock()
	close(done)
}

// runProof waits, and then obtains a proof from another instance, else from the
// store, else from the status of all members. It queries the primary's log position
// if no recent one is known.
func (g *Group) runProof(ctx context.Context, p Primary, wait time.Duration) {
	if wait > 0 {
		bbrtype.Sleep(ctx, wait)
	}
	if p.Member == "" {
		return
	}
	// On an error the store is queried instead.
	_ = g.FetchPeerProofs(ctx)
	if !g.hasProofYoungerThan(maxSharedProofAge) && g.ProveFromStore(ctx) != nil {
		g.proveByMembers(ctx, p)
	}
	if !g.hasRecentPosition() {
		g.queryPosition(ctx, p)
	}
}

// hasProofYoungerThan reports whether the newest proof of the primary is at most of
// the given age.
func (g *Group) hasProofYoungerThan(age time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.LastProofAt() >= g.Clock.Now().Add(-age)
}

// ProofSentAt returns when the request of the newest proof of a primary was sent, 0 if
// there is none or if it is not the primary in use.
func (g *Group) ProofSentAt(p Primary) bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p != g.primary {
		return 0
	}
	return g.proof.LastProofAt()
}

// hasRecentPosition reports whether replies have shown the primary's log position
// recently, whether or not a proof covers it yet.
func (g *Group) hasRecentPosition() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Clock.Now().Sub(max(g.proof.NewestPendingAt(), g.proof.NewestSampleAt())) < maxPositionAge
}

// queryPosition queries the primary's status and records its log position.
func (g *Group) queryPosition(ctx context.Context, p Primary) {
	sentAt := g.Clock.Now()
	status, err := g.QueryStatus(ctx, p.Member)
	if err == nil && status.Role == bbrmessage.RolePrimary && status.Term == p.Term {
		g.observePosition(p, status.Received, sentAt)
	}
}

// RecordStoreProof records a proof from the store: when the store was queried, at
// sentAt, it contained no change of primary to a term above term.
func (g *Group) RecordStoreProof(term bbrtype.Term, sentAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordProof(proofByStore, term, sentAt)
}

// proofSource is the origin of a proof, as logged.
type proofSource string

// The sources of proofs.
const (
	proofByCommit  proofSource = "commit"
	proofByStore   proofSource = "store"
	proofByMembers proofSource = "members"
	// proofByInstance is a proof that another instance shared.
	proofByInstance proofSource = "instance"
)

// recordProof records a proof, and logs it if the primary was not proven before. The
// caller holds mu.
func (g *Group) recordProof(source proofSource, term bbrtype.Term, sentAt bbrtype.Mono) {
	now := g.Clock.Now()
	wasProven := g.proof.IsProvenAt(now)
	g.proof.AddProof(term, sentAt)
	if !wasProven && g.proof.IsProvenAt(now) {
		g.Log.WithFields(logrus.Fields{"group": g.name, "primary": g.primary.Member, "term": term, "source": source, "ageMs": now.Sub(sentAt).Milliseconds()}).Debug("primary proven")
	}
}

// proveByMembers queries the status of all members. The replies are a proof only if
// every member replies, the primary in use is the only primary, and no replica has a
// newer term or has paused replication under one. Then no change of primary can have
// completed. The replies of some members are not enough, because a replica that no
// longer reports a paused term may already follow another primary.
func (g *Group) proveByMembers(ctx context.Context, p Primary) {
	sentAt := g.Clock.Now()
	if g.lastMemberProofStart != 0 && sentAt.Sub(g.lastMemberProofStart) < memberProofInterval {
		return
	}
	g.lastMemberProofStart = sentAt
	members := g.Members()
	resultCh := make(chan StatusResult, len(members))
	for _, m := range members {
		g.Tasks.Go(func() error {
			status, err := g.QueryStatus(ctx, m.ID)
			resultCh <- StatusResult{Member: m.ID, Status: status, Err: err}
			return nil
		})
	}
	var results []StatusResult
	for range members {
		results = append(results, <-resultCh)
	}
	if newer, ok := newerPrimary(results, p); ok {
		// Other instances may have proofs of the old primary, which have to expire
		// before the new primary is used.
		newer.UsableFrom = g.Clock.Now().Add(bbrproof.LeaseDuration)
		g.SetPrimary(newer)
		return
	}
	results = confirmingResults(results, g.ConfirmingMembers())
	if len(g.ConfirmingMembers()) == len(results) && showsNoChange(results, p) {
		g.mu.Lock()
		g.recordProof(proofByMembers, p.Term, sentAt)
		g.mu.Unlock()
	}
}

// confirmingResults returns the results of the members that replied, and of those that did
// not but may have confirmed commits.
func confirmingResults(results []StatusResult, confirming []bbrtype.MemberName) []StatusResult {
	return slices.DeleteFunc(results, func(r StatusResult) bool {
		return r.Err != nil && !slices.Contains(confirming, r.Member)
	})
}

// StatusResult is the reply of a member to a status query.
type StatusResult struct {
	Member bbrtype.MemberName
	Status bbrmessage.MemberStatus
	Err    error
}

// newerPrimary returns the primary of the newest term among the replies, if it is not
// the primary in use. It may have the same term, since a restarted primary has a new
// name.
func newerPrimary(results []StatusResult, p Primary) (Primary, bool) {
	best := p
	for _, r := range results {
		if r.Err != nil || r.Status.Role != bbrmessage.RolePrimary || r.Member == p.Member {
			continue
		}
		if r.Status.Term > best.Term || r.Status.Term == p.Term && best == p {
			best = Primary{Member: r.Member, Term: r.Status.Term}
		}
	}
	return best, best != p
}

// showsNoChange reports whether all members replied and confirm p as the only
// primary, and no replica has a newer term or has paused replication under one.
func showsNoChange(results []StatusResult, p Primary) bool {
	primaryConfirmed := false
	for _, r := range results {
		if r.Err != nil || r.Status.Term > p.Term || r.Status.PausedTerm > p.Term {
			return false
		}
		isPrimary := r.Status.Role == bbrmessage.RolePrimary
		if isPrimary != (r.Member == p.Member) {
			return false
		}
		primaryConfirmed = primaryConfirmed || isPrimary && r.Status.Term == p.Term
	}
	return primaryConfirmed
}

// observePosition records a log position of a primary, if it is the primary in use.
func (g *Group) observePosition(p Primary, position bbrmessage.LogPosition, sentAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p == g.primary {
		g.proof.AddSample(position, sentAt)
	}
}
