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
const lookTimeout = 400 * time.Millisecond

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
