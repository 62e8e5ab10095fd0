package bbrproxy

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrroute"
	"github.com/bluebellroute/bluebellroute/bbrtoken"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// learnPosition gives a session that brought no token the primary's present
// position as its token, because it may have written by another instance.
func (c *session) learnPosition(r *request, q *bbrroute.Requirements) error {
	if c.positionKnown || q.PrimaryOnly || c.srv.opts.Baseline != BaselineNone {
		return nil
	}
	t, err := c.srv.positions.read(c, r)
	if err != nil {
		return err
	}
	c.token, c.positionKnown = t, true
	c.seenAt = c.srv.deps.Clock.Now()
	q.Term, q.Position = t.Term, t.Position
	return nil
}

// positionReads shares reads of a primary's position between sessions: one
// that begins after a session asked serves it.
type positionReads struct {
	mu   sync.Mutex
	runs map[bbrtype.GroupName]*positionRun
}

// positionRun is one read of a primary's position, and the one after it.
type positionRun struct {
	done  chan struct{}
	token bbrtoken.Token
	err   error
	next  *positionRun
}

// read returns the primary's position at a time after the call.
func (p *positionReads) read(c *session, r *request) (bbrtoken.Token, error) {
	p.mu.Lock()
	if p.runs == nil {
		p.runs = map[bbrtype.GroupName]*positionRun{}
	}
	cur := p.runs[r.group.Name]
	if cur != nil {
		// The present read may have begun too early: the next one serves.
		if cur.next != nil {
			next := cur.next
			p.mu.Unlock()
			return next.wait()
		}
		cur.next = &positionRun{done: make(chan struct{})}
		next := cur.next
		p.mu.Unlock()
		<-cur.done
		return p.lead(c, r, next)
	}
	run := &positionRun{done: make(chan struct{})}
	p.runs[r.group.Name] = run
	p.mu.Unlock()
	return p.lead(c, r, run)
}

func (run *positionRun) wait() (bbrtoken.Token, error) {
	<-run.done
	return run.token, run.err
}

// lead runs a read for all that wait for it.
func (p *positionReads) lead(c *session, r *request, run *positionRun) (bbrtoken.Token, error) {
	p.mu.Lock()
	p.runs[r.group.Name] = run
	p.mu.Unlock()
	run.token, run.err = c.primaryPosition(r)
	p.mu.Lock()
	if run.next == nil {
		delete(p.runs, r.group.Name)
	}
	p.mu.Unlock()
	close(run.done)
	return run.token, run.err
}

// primaryPosition reads the primary's position.
func (c *session) primaryPosition(r *request) (bbrtoken.Token, error) {
	for {
		t, err := c.tryPrimaryPosition(r)
		var told *bbroutcome.Error
		if err == nil || errors.As(err, &told) {
			return t, err
		}
		if !c.pause(r.deadline, gatePause) {
			return t, bbroutcome.New(bbroutcome.ReasonNoPrimary, "the primary's position is unknown: %v", err)
		}
	}
}

func (c *session) tryPrimaryPosition(r *request) (bbrtoken.Token, error) {
	l, pool, err := c.awaitPrimary(r, 0)
	if err != nil {
		return bbrtoken.Token{}, err
	}
	t := r.ticket()
	t.Priority, t.Queue = 0, systemQueue
	conn, err := pool.Acquire(c.srv.ctx, t)
	if err != nil {
		return bbrtoken.Token{}, err
	}
	ctx, cancel := context.WithTimeout(c.srv.ctx, c.srv.opts.AnswerPatience)
	defer cancel()
	sentAt := c.srv.deps.Clock.Now()
	rows, err := conn.Query(ctx, r.group.Config().StateSQL)
	pool.Release(conn, c.srv.deps.Clock.Now().Sub(sentAt))
	if err != nil {
		return bbrtoken.Token{}, err
	}
	st, err := bbrgroup.ParseState(rows)
	if err != nil {
		return bbrtoken.Token{}, err
	}
	if !st.Primary || st.History != l.History || !isPrimaryAt(c.srv.deps.Registry.View(), r.group.Name, l, sentAt) {
		return bbrtoken.Token{}, errStale
	}
	r.group.Observe(l.Member, st, sentAt)
	return bbrtoken.Token{Group: r.group.Name, Term: l.Term, Position: st.Position}, nil
}
