package bbrproxy

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrstatement"
	"github.com/bluebellroute/bluebellroute/bbrtoken"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// serveWrite runs a batch on the primary: a write of its own, or the beginning
// of a transaction.
func (c *session) serveWrite(r *request) error {
	for {
		l, pool, err := c.awaitPrimary(r, 0)
		if err != nil {
			return err
		}
		conn, err := c.acquire(r, pool)
		if err != nil {
			if err := c.mayRetryWrite(r, err); err != nil {
				return err
			}
			continue
		}
		if cur, ok := c.currentPrimary(r.group.Name); !ok || cur.Term != l.Term {
			// The primary changed during the wait for a connection.
			pool.Release(conn, 0)
			continue
		}
		if r.key != "" {
			return c.runKeyed(r, l, pool, conn)
		}
		return c.runWrite(r, l, pool, conn)
	}
}

// currentPrimary returns the primary if this instance has authority.
func (c *session) currentPrimary(name bbrtype.GroupName) (bbrjournal.PrimaryTerm, bool) {
	v := c.srv.deps.Registry.View()
	g := v.Group(name)
	if g == nil || c.srv.deps.Clock.Now() >= v.AuthorityUntil {
		return bbrjournal.PrimaryTerm{}, false
	}
	return g.Primary()
}

// mayRetryWrite waits before the next try of a write of which nothing was
// sent. It returns the error for the caller when its patience is over.
func (c *session) mayRetryWrite(r *request, err error) error {
	var told *bbroutcome.Error
	if errors.As(err, &told) {
		return err
	}
	if !c.pause(r.deadline, bbrpool.Jitter(gatePause)) {
		return bbroutcome.New(bbroutcome.ReasonNoPrimary, "the primary of group %q can't be reached: %v", r.group.Name, err)
	}
	return nil
}

// runWrite sends a batch without a request key to the primary.
func (c *session) runWrite(r *request, l bbrjournal.PrimaryTerm, pool *bbrpool.Pool, conn *bbrpool.Conn) error {
	b := r.batch
	p := c.newPlan(conn)
	p.addBatch(b, conn)
	if !b.info.CopyIn && b.info.TxControl != bbrstatement.TxBegin {
		p.addState(r.group)
	}
	pm := c.newPump(r.group, pool, conn, l.Member)
	pm.holdTags = b.info.Kind == bbrstatement.KindWrite || b.info.HasTxControl
	sentAt := c.srv.deps.Clock.Now()
	err := c.exchange(p, conn, pool.Endpoint().Address, pm)
	took := c.srv.deps.Clock.Now().Sub(sentAt)
	if err != nil {
		pool.Discard(conn)
		c.connectionLost(r.group, l.Member, err)
		return c.writeLost(r, pm, err)
	}
	c.answered(r.group, l.Member)
	if pm.ans.status != txIdle {
		c.hold(r, pool, conn, l.Member, pm, false, took)
		c.tx.lineage = l
		return nil
	}
	if b.info.CopyIn {
		c.readStateAfter(pm, conn, r.group)
	}
	pool.Release(conn, took)
	if pm.ans.refused != nil {
		// The member rolled the batch back: its own error tells so.
		return nil
	}
	return c.acknowledge(r.group, l, pm, sentAt, false)
}

// readStateAfter reads the state where it could not go with the batch.
func (c *session) readStateAfter(pm *pump, conn *bbrpool.Conn, g *bbrgroup.Group) {
	ctx, cancel := context.WithTimeout(c.srv.ctx, c.srv.opts.AnswerPatience)
	defer cancel()
	if st, err := readState(ctx, conn, g); err == nil {
		pm.ans.state, pm.ans.hasState = st, true
	}
}

// writeLost tells what became of a batch whose connection broke. The batch was
// sent, so it may have been committed.
func (c *session) writeLost(r *request, pm *pump, err error) error {
	pm.withdraw()
	if r.batch.info.TxControl == bbrstatement.TxBegin {
		return bbroutcome.New(bbroutcome.ReasonRolledBack, "the connection to the primary broke at the start of the transaction")
	}
	if pm.ans.completed && pm.ans.refused != nil && pm.ans.status == txIdle {
		return bbroutcome.New(bbroutcome.ReasonRolledBack, "the member refused the statement: %s", pm.ans.refused.Message)
	}
	return bbroutcome.New(bbroutcome.ReasonOutcomeUnknown, "the connection to the primary broke before the result was known: %v", err)
}

// readState reads a member's state.
func readState(ctx context.Context, conn *bbrpool.Conn, g *bbrgroup.Group) (bbrmember.State, error) {
	rows, err := conn.Query(ctx, g.Config().StateSQL)
	if err != nil {
		return bbrmember.State{}, err
	}
	return bbrgroup.ParseState(rows)
}

// acknowledge decides whether a commit's success may be passed on: the member
// was the primary of the expected history, enough replicas hold the commit, and
// this instance still has authority, checked last.
func (c *session) acknowledge(g *bbrgroup.Group, l bbrjournal.PrimaryTerm, pm *pump, sentAt bbrtype.Mono, keyed bool) error {
	if err := c.confirm(g, l, pm, sentAt, keyed); err != nil {
		pm.withdraw()
		return err
	}
	return nil
}

// confirm applies the rules of acknowledge.
func (c *session) confirm(g *bbrgroup.Group, l bbrjournal.PrimaryTerm, pm *pump, sentAt bbrtype.Mono, keyed bool) error {
	st := pm.ans.state
	if !pm.ans.hasState || !st.Primary || st.History != l.History {
		return bbroutcome.New(bbroutcome.ReasonOutcomeUnknown, "member %q did not report itself as the primary after the commit", l.Member)
	}
	g.Observe(l.Member, st, sentAt)
	cfg := g.Config()
	copies := cfg.Copies(keyed)
	v := c.srv.deps.Registry.View()
	for copies > 0 {
		ctx, cancel := context.WithTimeout(c.srv.ctx, cfg.ConfirmWait)
		err := g.AwaitReplicas(ctx, st.Position, copies)
		cancel()
		if err != nil {
			return bbroutcome.New(bbroutcome.ReasonOutcomeUnknown, "committed on the primary, but %d replicas did not confirm it within %v", copies, cfg.ConfirmWait)
		}
		// The view that counts the copies must be the one that gives the
		// authority.
		v = c.srv.deps.Registry.View()
		jg := v.Group(g.Name)
		if jg == nil || g.Tracker.ReplicasAt(jg, st.Position) >= max(copies, jg.MinConfirmations) {
			break
		}
		copies = max(copies, jg.MinConfirmations)
	}
	now := c.srv.deps.Clock.Now()
	if !v.MayAcknowledge(now, g.Name, l.Member, l.Term) {
		return bbroutcome.New(bbroutcome.ReasonOutcomeUnknown, "the authority to acknowledge writes of term %d ran out", l.Term)
	}
	c.raise(v.Group(g.Name), bbrtoken.Token{Group: g.Name, Term: l.Term, Position: st.Position})
	return nil
}

// commitTimeout bounds the system's own statements around a request key.
const commitTimeout = 5 * time.Second
