package bbrlink

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// controlTimeout bounds a control statement at a member.
const controlTimeout = 400 * time.Millisecond

// LookAt queries a member's status over a connection of the group.
func (g *Group) LookAt(ctx context.Context, id bbrtype.MemberName) (bbrmessage.Look, error) {
	return g.runControl(ctx, id, func(d bbrmessage.Texts) string { return d.Look() })
}

// Hold pauses replication at a member under a term.
func (g *Group) Hold(ctx context.Context, id bbrtype.MemberName, term bbrtype.Term) (bbrmessage.Look, error) {
	return g.runControl(ctx, id, func(d bbrmessage.Texts) string { return d.Hold(term) })
}

// Resume lets a member continue replication.
func (g *Group) Resume(ctx context.Context, id bbrtype.MemberName) (bbrmessage.Look, error) {
	return g.runControl(ctx, id, func(d bbrmessage.Texts) string { return d.Resume() })
}

// StepDown turns a primary of a lower term into a replica.
func (g *Group) StepDown(ctx context.Context, id bbrtype.MemberName, term bbrtype.Term) (bbrmessage.Look, error) {
	return g.runControl(ctx, id, func(d bbrmessage.Texts) string { return d.StepDown(term) })
}

// runControl runs a control statement, to which a member replies with its status. A
// missing reply is recorded.
func (g *Group) runControl(ctx context.Context, id bbrtype.MemberName, text func(bbrmessage.Texts) string) (bbrmessage.Look, error) {
	c, err := g.acquireMember(ctx, id)
	if err != nil {
		return bbrmessage.Look{}, err
	}
	defer g.Release(c)
	status, err := c.Look(time.Now().Add(controlTimeout), text(c.Texts()))
	if err != nil {
		if errors.As(err, new(*bbrmessage.Failure)) {
			return status, err
		}
		g.NoteSilence(id)
		return status, err
	}
	g.recordReachable(id)
	return status, nil
}

// recordReachable records that a member replied.
func (g *Group) recordReachable(id bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health[id] = memberHealth{lastReply: g.Clock.Now()}
}

// acquireMember returns a connection to one member without waiting. It exceeds the
// instance's limit at the member if no slot is free.
func (g *Group) acquireMember(ctx context.Context, id bbrtype.MemberName) (*Conn, error) {
	g.mu.Lock()
	w := &bbrplace.Waiter{Requirements: bbrplace.Requirements{OnlyMember: id}, OnGrant: func(bbrtype.MemberName) {}}
	g.scheduler.Submit(w, g.Clock.Now())
	queued := g.scheduler.Remove(w)
	if queued {
		g.scheduler.ForceAcquire(id)
	}
	g.mu.Unlock()
	return g.connect(ctx, id)
}
