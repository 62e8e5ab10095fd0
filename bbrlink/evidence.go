package bbrlink

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// lookTimeout bounds a look at a member.
const lookTimeout = 400 * time.Millisecond

// Evidence is what an answer showed.
type Evidence struct {
	SentAt bbrtype.Mono
	Reply  bbrmessage.Reply
	// Commit is set if the answer acknowledges a commit that wrote.
	Commit bool
	// Floor is the position that was asked for.
	Floor bbrmessage.Place
}

// Note takes in what a member's answer showed.
func (g *Group) Note(c *Conn, e Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	id := c.member.ID
	g.contact[id] = contact{answered: now}
	if f := e.Reply.Failure; f != nil {
		switch f.Class {
		case bbrmessage.ClassLagging:
			g.board.Refused(id, e.Floor, now)
		case bbrmessage.ClassBusy:
			g.board.TurnedAway(id, now)
		case bbrmessage.ClassReadOnly:
			g.noteDemoted(id, now)
		}
		return
	}
	g.board.Answered(id, now.Sub(e.SentAt), e.Reply.Place)
	if id != g.primary.Member {
		return
	}
	if e.Commit {
		g.stalledAt, g.committedAt = 0, max(g.committedAt, e.SentAt)
		g.acked = bbrmessage.Latest(g.acked, e.Reply.Place)
	}
	if e.Commit && e.Reply.Place.Term == g.primary.Term && g.service.SyncReplicas > 0 {
		g.take(proofByCommit, g.primary.Term, e.SentAt)
	}
	g.proof.Observe(e.Reply.Place, e.SentAt)
}

// noteDemoted takes in that the primary in use said that it does not lead.
func (g *Group) noteDemoted(id bbrtype.MemberName, now bbrtype.Mono) {
	if id == g.primary.Member && g.demotedAt == 0 {
		g.demotedAt = now
		g.Log.WithFields(logrus.Fields{"group": g.name, "member": id, "term": g.primary.Term}).Info("the primary in use does not lead")
	}
}

// Demoted returns when the primary in use first said that it does not lead, 0 if
// it did not.
func (g *Group) Demoted() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.demotedAt
}

// Acked returns the newest position that a member acknowledged to this instance.
func (g *Group) Acked() bbrmessage.Place {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acked
}

// NoteSilence takes in that a member did not answer.
func (g *Group) NoteSilence(id bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fail(id, g.Clock.Now())
	g.closeIdle(id)
}

// sent notes that a member owes an answer. The caller gives the time back to
// answered.
func (g *Group) sent(id bbrtype.MemberName, at bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owed[id] == nil {
		g.owed[id] = map[bbrtype.Mono]int{}
	}
	g.owed[id][at]++
}

// answered notes that what was sent at a time is no longer waited for.
func (g *Group) answered(id bbrtype.MemberName, at bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owed[id][at]--; g.owed[id][at] <= 0 {
		delete(g.owed[id], at)
	}
}

// Silent returns since when a member has owed answers without giving any, 0 if
// it owes none.
func (g *Group) Silent(id bbrtype.MemberName) bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silentSince(id)
}

// silentSince is Silent. The caller holds mu.
func (g *Group) silentSince(id bbrtype.MemberName) bbrtype.Mono {
	first := bbrtype.Mono(0)
	for at := range g.owed[id] {
		if at > g.contact[id].answered && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// AnsweredSince reports whether a member has answered anything since a time.
func (g *Group) AnsweredSince(id bbrtype.MemberName, at bbrtype.Mono) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contact[id].answered > at
}

// Stalled returns since when the primary has not confirmed commits although it
// answers, 0 if it confirms them.
func (g *Group) Stalled() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalledAt
}

// NoteStall takes in that a commit sent at a time was not confirmed.
func (g *Group) NoteStall(id bbrtype.MemberName, sentAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id == g.primary.Member && g.stalledAt == 0 && sentAt > g.committedAt {
		g.stalledAt = sentAt
	}
}

// Failing returns since when a member has not answered, 0 if its last answer was
// good.
func (g *Group) Failing(id bbrtype.MemberName) bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contact[id].failingAt
}

// Covers reports whether a primary is still the one in use and proven for a
// moment. A proof of its successor says nothing about what it served.
func (g *Group) Covers(p Primary, at bbrtype.Mono) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return p == g.primary && g.proof.Covers(at)
}

// Floor returns the least position for a read of a stated age that arrived at a
// time, false if none is known.
func (g *Group) Floor(at bbrtype.Mono, maxAge time.Duration) (bbrmessage.Place, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.Floor(at, maxAge)
}

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
		pause(ctx, wait)
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

// pause waits or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
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
	if newer, ok := newerPrimary(all, p.Term); ok {
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

// newerPrimary returns the member that leads the newest term after a term.
func newerPrimary(all []LookResult, term bbrtype.Term) (Primary, bool) {
	best := Primary{Term: term}
	for _, r := range all {
		if r.Err == nil && r.Look.Role == bbrmessage.RolePrimary && r.Look.Term > best.Term {
			best = Primary{Member: r.Member, Term: r.Look.Term}
		}
	}
	return best, best.Member != ""
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

// LookAt asks a member for its state over a connection of the group.
func (g *Group) LookAt(ctx context.Context, id bbrtype.MemberName) (bbrmessage.Look, error) {
	return g.order(ctx, id, func(t bbrmessage.Texts) string { return t.Look() })
}

// Hold stops replication at a member under a term.
func (g *Group) Hold(ctx context.Context, id bbrtype.MemberName, term bbrtype.Term) (bbrmessage.Look, error) {
	return g.order(ctx, id, func(t bbrmessage.Texts) string { return t.Hold(term) })
}

// Resume lets a member receive again.
func (g *Group) Resume(ctx context.Context, id bbrtype.MemberName) (bbrmessage.Look, error) {
	return g.order(ctx, id, func(t bbrmessage.Texts) string { return t.Resume() })
}

// StepDown makes a primary of a lower term a replica.
func (g *Group) StepDown(ctx context.Context, id bbrtype.MemberName, term bbrtype.Term) (bbrmessage.Look, error) {
	return g.order(ctx, id, func(t bbrmessage.Texts) string { return t.StepDown(term) })
}

// order runs a statement that is answered by a look.
func (g *Group) order(ctx context.Context, id bbrtype.MemberName, text func(bbrmessage.Texts) string) (bbrmessage.Look, error) {
	c, err := g.borrow(ctx, id)
	if err != nil {
		return bbrmessage.Look{}, err
	}
	defer g.Release(c)
	look, err := c.Look(time.Now().Add(lookTimeout), text(c.Texts()))
	if err != nil {
		if errors.As(err, new(*bbrmessage.Failure)) {
			return look, err
		}
		g.NoteSilence(id)
		return look, err
	}
	g.noteContact(id)
	return look, nil
}

// noteContact takes in that a member answered.
func (g *Group) noteContact(id bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contact[id] = contact{answered: g.Clock.Now()}
}

// borrow returns a connection to one member, beyond the share if none is unused.
func (g *Group) borrow(ctx context.Context, id bbrtype.MemberName) (*Conn, error) {
	g.mu.Lock()
	w := &bbrplace.Waiter{Want: bbrplace.Want{Only: id}, Granted: func(bbrtype.MemberName) {}}
	g.board.Ask(w, g.Clock.Now())
	queued := g.board.Remove(w)
	if queued {
		g.board.Occupy(id)
	}
	g.mu.Unlock()
	return g.connect(ctx, id)
}

// Newest returns when the newest proven sample of the primary's position was
// taken.
func (g *Group) Newest() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.Newest()
}
