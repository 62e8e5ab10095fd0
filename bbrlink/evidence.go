package bbrlink

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// lookTimeout bounds a look at a member.
const lookTimeout = 700 * time.Millisecond

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
		}
		return
	}
	g.board.Answered(id, now.Sub(e.SentAt), e.Reply.Place)
	if id != g.primary.Member {
		return
	}
	if e.Commit && e.Reply.Place.Term == g.primary.Term && g.service.SyncReplicas > 0 {
		g.proof.Prove(g.primary.Term, e.SentAt)
	}
	g.proof.Observe(e.Reply.Place, e.SentAt)
}

// NoteSilence takes in that a member did not answer.
func (g *Group) NoteSilence(id bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fail(id, g.Clock.Now())
	g.closeIdle(id)
}

// Failing returns since when a member has not answered, 0 if its last answer was
// good.
func (g *Group) Failing(id bbrtype.MemberName) bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contact[id].failingAt
}

// Covers reports whether the primary in use is proven for a moment.
func (g *Group) Covers(at bbrtype.Mono) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.Covers(at)
}

// Floor returns the least position for a read of a stated age that arrived at a
// time, false if none is known.
func (g *Group) Floor(at bbrtype.Mono, maxAge time.Duration) (bbrmessage.Place, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.Floor(at, maxAge)
}

// Prove looks at the primary and at a replica, so that the primary in use is
// proven for the present. Callers that ask meanwhile share the looks.
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
	g.mu.Unlock()
	g.prove(ctx, p)
	g.mu.Lock()
	g.proving = nil
	g.mu.Unlock()
	close(done)
}

// prove looks at the members and notes a proof if no barrier shows.
func (g *Group) prove(ctx context.Context, p Primary) {
	sentAt := g.Clock.Now()
	type seen struct {
		look    bbrmessage.Look
		primary bool
		err     error
	}
	members := g.Members()
	results := make(chan seen, len(members))
	for _, m := range members {
		g.Group.Go(func() error {
			l, err := g.LookAt(ctx, m.ID)
			results <- seen{look: l, primary: m.ID == p.Member, err: err}
			return nil
		})
	}
	leads, follows := false, false
	for range members {
		s := <-results
		if s.err != nil {
			continue
		}
		if s.primary {
			leads = s.look.Role == bbrmessage.RolePrimary && s.look.Term == p.Term
			if leads {
				g.observe(s.look.Received, sentAt)
			}
		} else if s.look.Term <= p.Term && s.look.Held <= p.Term {
			follows = true
		}
		if leads && follows {
			g.mu.Lock()
			g.proof.Prove(p.Term, sentAt)
			g.mu.Unlock()
			return
		}
	}
}

// observe notes a position of the primary.
func (g *Group) observe(place bbrmessage.Place, sentAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proof.Observe(place, sentAt)
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
