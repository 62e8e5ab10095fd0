package bbrproxy

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrmetric"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrroute"
	"github.com/bluebellroute/bluebellroute/bbrtoken"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// maxReadRetries bounds how often a read is sent to another member.
	maxReadRetries = 3
	// gatePause is the pause between two looks at the view.
	gatePause = 20 * time.Millisecond
	// systemQueue bounds the waiting statements of the system's own.
	systemQueue = 1000
	// codeReadOnly is the SQLSTATE of a replica that is asked to write.
	codeReadOnly = "25006"
)

// errStale tells that a member did not show what the read needs.
var errStale = errors.New("the member is behind what the caller has seen")

// settleToken makes sure that the session's token can be compared with the
// present history. A position that was lost in a change of primary is reported
// once.
func (c *session) settleToken(r *request) error {
	if c.lost != (bbrtoken.Token{}) {
		lost := c.lost
		c.lost = bbrtoken.Token{}
		return positionLost(lost)
	}
	if c.token.IsZero() {
		return nil
	}
	if c.token.Group != r.group.Name {
		c.token, c.positionKnown = bbrtoken.Token{}, false
		return nil
	}
	for {
		g := c.srv.deps.Registry.View().Group(r.group.Name)
		fate := bbrjournal.PositionAhead
		if g != nil {
			fate = g.PositionStatus(c.token.Term, c.token.Position)
		}
		switch fate {
		case bbrjournal.PositionIncluded:
			return nil
		case bbrjournal.PositionLost:
			lost := c.token
			c.token, c.positionKnown = bbrtoken.Token{}, false
			return positionLost(lost)
		case bbrjournal.PositionUnknown:
			c.token, c.positionKnown = bbrtoken.Token{}, false
			return nil
		}
		if !c.pause(r.deadline, gatePause) {
			return bbroutcome.New(bbroutcome.ReasonNoMember, "this instance does not know term %d yet", c.token.Term)
		}
	}
}

// positionLost tells the caller that it may miss data that it has seen.
func positionLost(t bbrtoken.Token) error {
	return bbroutcome.New(bbroutcome.ReasonPositionLost, "position %s of term %d was lost in a change of primary", t.Position, t.Term)
}

// routing returns what the read needs from its member.
func (c *session) routing(r *request) bbrroute.Requirements {
	q := bbrroute.Requirements{Term: c.token.Term, Position: c.token.Position, SeenAt: c.seenAt, Exclude: r.avoid, PrimaryOnly: true}
	if p := r.policy; p != nil && p.Replicas == bbrconfig.ReplicasPrefer {
		q.PrimaryOnly = false
		q.MaxAge, q.CatchUpWait = p.MaxAge, p.CatchUpWait
	}
	return q
}

// serveRead runs a read on a replica, or on the primary.
func (c *session) serveRead(r *request) (bbrmetric.Target, error) {
	waitUntil := bbrtype.Mono(0)
	for {
		// The primary may have changed while the read waited.
		if err := c.settleToken(r); err != nil {
			return "", err
		}
		q := c.routing(r)
		if err := c.learnPosition(r, &q); err != nil {
			return "", err
		}
		d, err := c.chooseMember(r, q)
		if err != nil {
			return "", err
		}
		now := c.srv.deps.Clock.Now()
		if d.Target == bbrroute.TargetWait {
			if waitUntil == 0 {
				waitUntil = now.Add(max(q.CatchUpWait, d.RetryAfter))
			}
			if now < waitUntil {
				c.awaitReplica(r, waitUntil.Sub(now))
				continue
			}
			d = bbrroute.Decision{Target: bbrroute.TargetPrimary}
		}
		target := bbrmetric.TargetReplica
		if d.Target == bbrroute.TargetReplica {
			err = c.readReplica(r, d.Member, q)
		} else {
			target = bbrmetric.TargetPrimary
			err = c.readPrimary(r, q)
		}
		if err == nil {
			c.srv.series.reads(c.srv.deps.Metrics, r.group.Name).Served(target)
			return target, nil
		}
		if err := c.mayRetryRead(r, err); err != nil {
			return "", err
		}
		if d.Target == bbrroute.TargetReplica {
			r.avoid = append(r.avoid, d.Member)
		}
	}
}

// awaitReplica waits until something new is known of a replica.
func (c *session) awaitReplica(r *request, limit time.Duration) {
	ctx, cancel := context.WithTimeout(c.srv.ctx, limit)
	defer cancel()
	_ = r.group.AwaitObservation(ctx)
}

// chooseMember picks the member for a read.
func (c *session) chooseMember(r *request, q bbrroute.Requirements) (bbrroute.Decision, error) {
	g := c.srv.deps.Registry.View().Group(r.group.Name)
	if g == nil {
		return bbrroute.Decision{}, bbroutcome.New(bbroutcome.ReasonNoMember, "the journal does not know group %q yet", r.group.Name)
	}
	switch c.srv.opts.Baseline {
	case BaselinePrimary:
		return bbrroute.Decision{Target: bbrroute.TargetPrimary}, nil
	case BaselineRandom:
		if m, ok := randomReplica(g, r.avoid); ok {
			return bbrroute.Decision{Target: bbrroute.TargetReplica, Member: m}, nil
		}
	}
	return r.group.Tracker.Choose(c.srv.deps.Clock.Now(), g, q), nil
}

// mayRetryRead tells whether a read that failed may be sent to another member.
// It returns the error for the caller if not.
func (c *session) mayRetryRead(r *request, err error) error {
	var told *bbroutcome.Error
	if errors.As(err, &told) {
		return err
	}
	now := c.srv.deps.Clock.Now()
	r.retries++
	if r.retries > maxReadRetries+len(r.avoid) && now >= r.deadline || r.retries > 100 {
		return bbroutcome.New(bbroutcome.ReasonNoMember, "no member answered the read: %v", err)
	}
	if now >= r.deadline {
		return bbroutcome.New(bbroutcome.ReasonNoMember, "no member answered the read in time: %v", err)
	}
	if !errors.Is(err, errStale) {
		c.srv.deps.Metrics.Retried(c.tenant)
	}
	if r.retries > maxReadRetries {
		r.avoid = nil
		c.pause(r.deadline, bbrpool.Jitter(gatePause))
	}
	return nil
}

// readReplica runs a read on a replica and checks, by the state that the
// replica reports after it, that it showed enough.
func (c *session) readReplica(r *request, m bbrtype.MemberName, q bbrroute.Requirements) error {
	pool := r.group.Pool(m)
	if pool == nil {
		return errStale
	}
	conn, err := c.acquire(r, pool)
	if err != nil {
		return err
	}
	g := c.srv.deps.Registry.View().Group(r.group.Name)
	if c.srv.opts.Baseline == BaselineNone {
		// The wait for a connection may have been long.
		if st := c.stillServes(r, g, m, q); !st {
			pool.Release(conn, 0)
			return errStale
		}
	}
	check := func(st bbrmember.State, known bool, _ bbrtype.Mono) error {
		if c.srv.opts.Baseline == BaselineRandom {
			return nil
		}
		if !known || g == nil || !r.group.Tracker.Satisfies(c.srv.deps.Clock.Now(), g, st, q) {
			return errStale
		}
		if l, ok := g.LastPrimary(); ok {
			c.raise(g, bbrtoken.Token{Group: r.group.Name, Term: l.Term, Position: st.Position})
		}
		return nil
	}
	return c.runRead(r, pool, conn, m, true, check)
}

// stillServes reports whether what is known of a replica still meets the read.
func (c *session) stillServes(r *request, g *bbrjournal.Group, m bbrtype.MemberName, q bbrroute.Requirements) bool {
	if g == nil {
		return false
	}
	age, ok := r.group.Tracker.DataAge(c.srv.deps.Clock.Now(), g, m)
	return ok && age <= q.MaxAge
}

// readPrimary runs a read on the primary.
func (c *session) readPrimary(r *request, q bbrroute.Requirements) error {
	l, pool, err := c.awaitPrimary(r, q.MaxAge)
	if err != nil {
		return err
	}
	conn, err := c.acquire(r, pool)
	if err != nil {
		return err
	}
	check := func(st bbrmember.State, known bool, sentAt bbrtype.Mono) error {
		now := c.srv.deps.Clock.Now()
		v := c.srv.deps.Registry.View()
		if !isPrimaryStill(v, r.group.Name, l) || !q.IsPositionIncluded(v.Group(r.group.Name)) ||
			!bbrroute.IsPrimaryReadFresh(now, v.AuthorityUntil, sentAt, q.MaxAge) || !known || !st.Primary || st.History != l.History {
			return errStale
		}
		c.raise(v.Group(r.group.Name), bbrtoken.Token{Group: r.group.Name, Term: l.Term, Position: st.Position})
		return nil
	}
	return c.runRead(r, pool, conn, l.Member, false, check)
}

// isPrimaryStill reports whether the journal, as far as it is applied, names a
// member the primary of the same term.
func isPrimaryStill(v *bbrgroup.View, name bbrtype.GroupName, l bbrjournal.PrimaryTerm) bool {
	g := v.Group(name)
	if g == nil {
		return false
	}
	cur, ok := g.Primary()
	return ok && cur.Term == l.Term && cur.Member == l.Member
}

// isPrimaryAt reports whether a member was the primary at a time.
func isPrimaryAt(v *bbrgroup.View, name bbrtype.GroupName, l bbrjournal.PrimaryTerm, at bbrtype.Mono) bool {
	return isPrimaryStill(v, name, l) && at < v.AuthorityUntil
}

// awaitPrimary waits until the group has a primary that this instance may
// rely on.
func (c *session) awaitPrimary(r *request, maxAge time.Duration) (bbrjournal.PrimaryTerm, *bbrpool.Pool, error) {
	for {
		v := c.srv.deps.Registry.View()
		if g := v.Group(r.group.Name); g != nil {
			if l, ok := g.Primary(); ok && c.srv.deps.Clock.Now() < v.AuthorityUntil.Add(maxAge) {
				if pool := r.group.Pool(l.Member); pool != nil {
					return l, pool, nil
				}
			}
		}
		if !c.pause(r.deadline, gatePause) {
			return bbrjournal.PrimaryTerm{}, nil, bbroutcome.New(bbroutcome.ReasonNoPrimary, "group %q has no primary that this instance may use", r.group.Name)
		}
	}
}

// acquire takes a connection and turns the pool's errors into the caller's.
func (c *session) acquire(r *request, pool *bbrpool.Pool) (*bbrpool.Conn, error) {
	before := c.srv.deps.Clock.Now()
	r.group.Tracker.AddWaiting(pool.Ref().Member, 1)
	conn, err := pool.Acquire(c.srv.ctx, r.ticket())
	r.group.Tracker.AddWaiting(pool.Ref().Member, -1)
	c.srv.series.of(c.srv.deps.Metrics, c.tenant, r.class).Queued(c.srv.deps.Clock.Now().Sub(before))
	switch {
	case err == nil:
		return conn, nil
	case errors.Is(err, bbrpool.ErrTurnedAway):
		return nil, bbroutcome.New(bbroutcome.ReasonOverload, "%d statements of tenant %q wait for member %q", r.tenant.Queue, r.tenant.Name, pool.Ref().Member)
	case errors.Is(err, bbrpool.ErrPatience):
		return nil, bbroutcome.New(bbroutcome.ReasonQueueTimeout, "no connection to member %q became free within %v", pool.Ref().Member, r.tenant.Patience)
	}
	r.group.Tracker.MemberFailed(c.srv.deps.Clock.Now(), pool.Ref().Member)
	return nil, err
}

// runRead sends a read with a look at the member's state behind it, and passes
// the answer on if the check finds it good.
func (c *session) runRead(r *request, pool *bbrpool.Pool, conn *bbrpool.Conn, m bbrtype.MemberName, replica bool, check func(st bbrmember.State, known bool, sentAt bbrtype.Mono) error) error {
	begins := r.batch.info.TxControl != ""
	p := c.newPlan(conn)
	p.addBatch(r.batch, conn)
	if !begins {
		p.addState(r.group)
	}
	pm := c.newPump(r.group, pool, conn, m)
	sentAt := c.srv.deps.Clock.Now()
	r.group.Tracker.StatementStarted(m)
	err := c.exchange(p, conn, pool.Endpoint().Address, pm)
	took := c.srv.deps.Clock.Now().Sub(sentAt)
	r.group.Tracker.StatementEnded(m, took)
	if err != nil {
		pool.Discard(conn)
		c.connectionLost(r.group, m, err)
		return c.readFailed(pm, err)
	}
	c.answered(r.group, m)
	if begins {
		c.hold(r, pool, conn, m, pm, replica, took)
		return nil
	}
	if pm.ans.status != txIdle {
		// The text began a transaction after all.
		conn.Taint()
	}
	pool.Release(conn, took)
	if pm.ans.hasState {
		r.group.Observe(m, pm.ans.state, sentAt)
	}
	if pm.ans.refused != nil && replica && pm.ans.refused.Code == codeReadOnly {
		// A statement taken for a read writes: the primary runs it.
		return c.readFailed(pm, errStale)
	}
	if pm.ans.refused != nil && !pm.ans.hasState {
		return nil
	}
	if err := check(pm.ans.state, pm.ans.hasState, sentAt); err != nil {
		return c.readFailed(pm, err)
	}
	return nil
}

// readFailed takes back an answer. If a part of it was written already, the
// caller has to be told.
func (c *session) readFailed(pm *pump, err error) error {
	pm.withdraw()
	if pm.ans.passed {
		return bbroutcome.New(bbroutcome.ReasonResultTruncated, "the answer was cut short: %v", err)
	}
	return err
}

// connectionLost notes that a connection broke.
func (c *session) connectionLost(g *bbrgroup.Group, m bbrtype.MemberName, err error) {
	now := c.srv.deps.Clock.Now()
	g.Tracker.MemberFailed(now, m)
	g.Tracker.InvalidateState(m)
	if ref := (bbrmember.Ref{Group: g.Name, Member: m}); c.srv.deps.Evidence != nil {
		c.srv.deps.Evidence.MemberFailed(ref, bbrpool.FailureKind(err))
	}
}

func (c *session) answered(g *bbrgroup.Group, m bbrtype.MemberName) {
	if c.srv.deps.Evidence != nil {
		c.srv.deps.Evidence.MemberAnswered(bbrmember.Ref{Group: g.Name, Member: m})
	}
}

// raise moves the token forward, as seen by a group's lineage. If the history
// that the token goes to does not include the old position, the caller is told
// with its next statement.
func (c *session) raise(g *bbrjournal.Group, t bbrtoken.Token) {
	if c.token.Group == t.Group && c.token.Term < t.Term && g.PositionStatus(c.token.Term, c.token.Position) == bbrjournal.PositionLost {
		c.lost = c.token
	}
	next := c.token
	if next.Group != t.Group {
		next = bbrtoken.Token{}
	}
	next = next.Later(t)
	c.positionKnown = true
	if next != c.token {
		c.token = next
		c.seenAt = c.srv.deps.Clock.Now()
	}
}
