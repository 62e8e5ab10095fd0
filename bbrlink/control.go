package bbrlink

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// controlTimeout is the timeout of a control statement at a member.
const controlTimeout = 400 * time.Millisecond

// QueryStatus queries a member's status.
func (g *Group) QueryStatus(ctx context.Context, id bbrtype.MemberName) (bbrmessage.MemberStatus, error) {
	return g.runControl(ctx, id, func(d bbrmessage.Dialect) string { return d.Status() })
}

// PauseReplication pauses replication at a replica for a change of primary. term is
// the term under which replication is paused.
func (g *Group) PauseReplication(ctx context.Context, id bbrtype.MemberName, term bbrtype.Term) (bbrmessage.MemberStatus, error) {
	return g.runControl(ctx, id, func(d bbrmessage.Dialect) string { return d.PauseReplication(term) })
}

// ResumeReplication resumes replication at a replica.
func (g *Group) ResumeReplication(ctx context.Context, id bbrtype.MemberName) (bbrmessage.MemberStatus, error) {
	return g.runControl(ctx, id, func(d bbrmessage.Dialect) string { return d.ResumeReplication() })
}

// StepDown demotes a primary to a replica if its term is lower than term.
func (g *Group) StepDown(ctx context.Context, id bbrtype.MemberName, term bbrtype.Term) (bbrmessage.MemberStatus, error) {
	return g.runControl(ctx, id, func(d bbrmessage.Dialect) string { return d.StepDown(term) })
}

// runControl runs a control statement and returns the member's status from the reply.
// Without a reply the member is recorded as failing. A failure reply is returned and
// changes nothing in the record of the member.
func (g *Group) runControl(ctx context.Context, id bbrtype.MemberName, text func(bbrmessage.Dialect) string) (bbrmessage.MemberStatus, error) {
	status, err := g.tryControl(ctx, id, text, g.connect)
	if errors.Is(err, ErrUnattributed) {
		// A new connection has carried nothing that the reply could repeat.
		status, err = g.tryControl(ctx, id, text, g.connectNew)
	}
	return status, err
}

// connector returns a connection to a member, for which a slot has been granted.
type connector func(ctx context.Context, id bbrtype.MemberName) (*Conn, error)

// tryControl runs a control statement on a connection from connect.
func (g *Group) tryControl(ctx context.Context, id bbrtype.MemberName, text func(bbrmessage.Dialect) string, connect connector) (bbrmessage.MemberStatus, error) {
	c, err := g.acquireMember(ctx, id, connect)
	if err != nil {
		return bbrmessage.MemberStatus{}, err
	}
	defer g.Release(c)
	sentAt := g.Clock.Now()
	status, err := c.RunControl(time.Now().Add(controlTimeout), text(c.Dialect()))
	switch {
	case errors.Is(err, ErrUnattributed), errors.As(err, new(*bbrmessage.Failure)):
		return status, err
	case err != nil:
		g.RecordNoReply(id)
		return status, err
	}
	g.recordReachable(id)
	g.recordLoad(id, status.ActiveStatements, sentAt)
	return status, nil
}

// recordLoad records the number of statements that a member was executing according to its
// status.
func (g *Group) recordLoad(id bbrtype.MemberName, active int, sentAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.RecordLoad(id, active, sentAt)
}

// recordReachable records that a member replied.
func (g *Group) recordReachable(id bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health[id] = memberHealth{lastReply: g.Clock.Now()}
	g.replied[id] = true
}

// acquireMember returns a connection to one member without queueing. It submits a
// request and withdraws it at once. If the request was still queued, no slot was
// free, and ForceAcquire takes one beyond the instance's limit.
func (g *Group) acquireMember(ctx context.Context, id bbrtype.MemberName, connect connector) (*Conn, error) {
	g.mu.Lock()
	w := &bbrplace.Waiter{Requirements: bbrplace.Requirements{OnlyMember: id}, OnGrant: func(bbrtype.MemberName) {}}
	g.scheduler.Submit(w, g.Clock.Now())
	queued := g.scheduler.Remove(w)
	if queued {
		g.scheduler.ForceAcquire(id)
	}
	g.mu.Unlock()
	return connect(ctx, id)
}
