// Package bbrpool keeps an instance's connections to members. A pool holds the
// connections to one member, within the number that the quota grants, and
// admits statements to it in the order of bbradmit.
//
// A connection with anything outstanding never goes back: it is closed. One
// that was idle for long, or whose neighbours were found silent, is probed
// before it is used again.
//
// # Usage
//
//	p := bbrpool.New(opts)
//	conn, err := p.Acquire(ctx, ticket)
//	...
//	p.Release(conn, took)
package bbrpool

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbradmit"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Errors of Acquire. After each of them nothing was sent to the member.
var (
	ErrTurnedAway  = errors.New("too many statements of the tenant wait")
	ErrPatience    = errors.New("no connection became free in time")
	ErrUnreachable = errors.New("the member can't be reached")
	ErrClosed      = errors.New("the pool is closed")
)

const (
	// dialLimit bounds the connections being made to a member at once, so that
	// a pool is refilled without a stampede.
	dialLimit = 2
	// probeAfterIdle is the time without use after which a connection is
	// probed first.
	probeAfterIdle = 15 * time.Second
	// probeTimeout bounds such a probe.
	probeTimeout = 500 * time.Millisecond
	// wantWindow is how long the highest use counts as the demand.
	wantWindow = 3 * time.Second
	// spare is the number of connections wanted beyond the highest use.
	spare = 1
)

// Observer learns from the pool's traffic whether a member answers.
type Observer interface {
	// MemberFailed is called when a connection can't be made.
	MemberFailed(ref bbrmember.Ref, kind bbrmember.FailureKind)
}

// Options are the settings of a pool.
type Options struct {
	Ref      bbrmember.Ref
	Endpoint Endpoint
	// Slots bounds the statements at work at once.
	Slots    int
	Dialer   *Dialer
	Clock    *bbrtype.Clock
	Observer Observer
	// Log may be nil.
	Log logrus.FieldLogger
	// Group runs the pool's goroutines.
	Group *errgroup.Group
}

// Ticket tells who wants a connection.
type Ticket struct {
	Tenant   bbrtype.TenantName
	Weight   int
	Queue    int
	Priority int
	Deadline bbrtype.Mono
	// Look is set for looks at the member's state. They are no work for it and
	// take no statement's place.
	Look bool
}

// grantedConn is what a waiter receives.
type grantedConn struct {
	conn *Conn
	err  error
}

// Pool holds the connections to one member.
type Pool struct {
	opts Options

	mu      sync.Mutex
	queue   bbradmit.Queue
	limiter bbradmit.Limiter
	// active counts the statements at work by tenant, weights are the tenants'.
	active   map[bbrtype.TenantName]int
	weights  map[bbrtype.TenantName]int
	idle     []*Conn
	busy     map[*Conn]bool
	open     int
	dialing  int
	granted  int
	until    bbrtype.Mono
	retryAt  bbrtype.Mono
	backoff  *backoff.ExponentialBackOff
	suspect  bbrtype.Mono
	peak     int
	peakAt   bbrtype.Mono
	closed   bool
	waitings map[*bbradmit.Waiter]chan grantedConn
	// looks are the waiters that only look. They stand in no queue.
	looks []*bbradmit.Waiter

	activity activityWatch
}

// New returns a pool that may open nothing until Grant is called.
func New(opts Options) *Pool {
	p := &Pool{opts: opts, backoff: backoff.NewExponentialBackOff(), waitings: map[*bbradmit.Waiter]chan grantedConn{}, busy: map[*Conn]bool{}, active: map[bbrtype.TenantName]int{}, weights: map[bbrtype.TenantName]int{}}
	p.backoff.InitialInterval = 50 * time.Millisecond
	p.backoff.MaxInterval = time.Second
	p.limiter.SetMax(opts.Slots)
	return p
}

// Ref returns the pool's member.
func (p *Pool) Ref() bbrmember.Ref { return p.opts.Ref }

// Endpoint returns how the member is reached.
func (p *Pool) Endpoint() Endpoint { return p.opts.Endpoint }

// Grant sets the number of connections that may be open, until a time.
func (p *Pool) Grant(n int, until bbrtype.Mono) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted, p.until = n, until
	p.trim()
	p.serve()
}

// Demand returns the open connections and those that could be used.
func (p *Pool) Demand() (held, want int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	use := p.open - len(p.idle) + p.queue.Len() + len(p.looks)
	if use >= p.peak || now.Sub(p.peakAt) > wantWindow {
		p.peak, p.peakAt = use, now
	}
	return p.open + p.dialing, p.peak + spare
}

// Stats are a pool's numbers at one moment.
type Stats struct {
	Open, Idle, Waiting, Active, Limit, Granted int
}

// Stats returns the pool's numbers.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Open: p.open, Idle: len(p.idle), Waiting: p.queue.Len(), Active: p.limiter.InFlight(), Limit: p.limiter.Limit(), Granted: p.granted,
	}
}

// allowed returns the number of connections that may be open now.
func (p *Pool) allowed(now bbrtype.Mono) int {
	if now >= p.until {
		return 0
	}
	return p.granted
}

// trim closes idle connections beyond the grant.
func (p *Pool) trim() {
	allowed := p.allowed(p.opts.Clock.Now())
	for len(p.idle) > 0 && p.open+p.dialing > allowed {
		p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// Acquire returns a connection for one statement or transaction.
func (p *Pool) Acquire(ctx context.Context, t Ticket) (*Conn, error) {
	for {
		g, err := p.await(ctx, t)
		if err != nil {
			return nil, err
		}
		if p.isFit(ctx, g) {
			return g, nil
		}
		p.Discard(g)
	}
}

// await waits for the turn.
func (p *Pool) await(ctx context.Context, t Ticket) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	now := p.opts.Clock.Now()
	p.weights[t.Tenant] = max(t.Weight, 1)
	if len(p.idle) > 0 && (t.Look || p.mayStart(t.Tenant)) {
		c := p.takeIdle(t.Tenant, t.Look)
		p.mu.Unlock()
		return c, nil
	}
	ch := make(chan grantedConn, 1)
	w := &bbradmit.Waiter{Tenant: t.Tenant, Weight: t.Weight, Priority: t.Priority, Deadline: t.Deadline}
	if t.Look {
		p.looks = append(p.looks, w)
	} else if err := p.queue.Push(w, max(t.Queue, 1)); err != nil {
		p.mu.Unlock()
		return nil, ErrTurnedAway
	}
	p.waitings[w] = ch
	p.serve()
	p.mu.Unlock()
	timer := time.NewTimer(max(0, t.Deadline.Sub(now)))
	defer timer.Stop()
	select {
	case g := <-ch:
		return g.conn, g.err
	case <-timer.C:
		return nil, p.giveUp(w, ch, ErrPatience)
	case <-ctx.Done():
		return nil, p.giveUp(w, ch, errors.Wrap(ctx.Err(), "wait for a connection"))
	}
}

// giveUp takes a waiter out. A connection that came at the same moment goes
// back.
func (p *Pool) giveUp(w *bbradmit.Waiter, ch chan grantedConn, err error) error {
	p.mu.Lock()
	p.forget(w)
	p.mu.Unlock()
	select {
	case g := <-ch:
		if g.conn != nil {
			p.Release(g.conn, 0)
		}
	default:
	}
	return err
}

// forget takes a waiter out.
func (p *Pool) forget(w *bbradmit.Waiter) {
	p.queue.Remove(w)
	delete(p.waitings, w)
	p.looks = slices.DeleteFunc(p.looks, func(l *bbradmit.Waiter) bool { return l == w })
}

// takeIdle takes the connection that was used last.
func (p *Pool) takeIdle(t bbrtype.TenantName, look bool) *Conn {
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	p.busy[c] = true
	c.tenant = t
	if !look {
		p.begin(c)
	}
	return c
}

// hand gives an idle connection to a waiter.
func (p *Pool) hand(w *bbradmit.Waiter, look bool) {
	if ch := p.waitings[w]; ch != nil {
		delete(p.waitings, w)
		ch <- grantedConn{conn: p.takeIdle(w.Tenant, look)}
	}
}

// serve hands connections to waiters and starts dials. The lock is held.
func (p *Pool) serve() {
	now := p.opts.Clock.Now()
	for len(p.looks) > 0 && len(p.idle) > 0 {
		w := p.looks[0]
		p.looks = p.looks[1:]
		p.hand(w, true)
	}
	for p.queue.Len() > 0 && len(p.idle) > 0 {
		w := p.next(now)
		if w == nil {
			break
		}
		p.hand(w, false)
	}
	need := max(0, min(p.queue.Len(), p.limiter.Limit()-p.limiter.InFlight()))
	if need == 0 && p.wantsToExceed() {
		need = 1
	}
	need += len(p.looks)
	for p.dialing < min(dialLimit, need) && p.open+p.dialing < p.allowed(now) && !p.closed {
		if now < p.retryAt {
			return
		}
		p.dialing++
		p.opts.Group.Go(func() error {
			p.dial()
			return nil
		})
	}
}

// dial makes one connection and adds it to the idle ones.
func (p *Pool) dial() {
	c, err := p.opts.Dialer.Dial(context.Background(), p.opts.Endpoint)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		p.dialFailed(err)
		return
	}
	p.backoff.Reset()
	p.retryAt = 0
	if p.closed {
		c.Close()
		return
	}
	p.open++
	p.idle = append(p.idle, c)
	p.serve()
}

// dialFailed turns the waiters away, so that they can look elsewhere.
func (p *Pool) dialFailed(err error) {
	pause := p.backoff.NextBackOff()
	p.retryAt = p.opts.Clock.Now().Add(pause)
	var refused *MemberError
	if !errors.As(err, &refused) && p.opts.Observer != nil {
		p.opts.Observer.MemberFailed(p.opts.Ref, FailureKind(err))
	}
	if p.open > 0 {
		// The open connections serve the waiters.
		return
	}
	p.turnAway(errors.WithMessage(ErrUnreachable, err.Error()))
}

// turnAway ends all waits with an error.
func (p *Pool) turnAway(err error) {
	for w, ch := range p.waitings {
		p.forget(w)
		ch <- grantedConn{err: err}
	}
}

// isFit reports whether nothing unread is on a connection, and probes it if it may have
// gone silent.
func (p *Pool) isFit(ctx context.Context, c *Conn) bool {
	if err := c.CheckQuiet(); err != nil {
		p.logUnasked(err)
		return false
	}
	now := p.opts.Clock.Now()
	p.mu.Lock()
	suspect := c.usedAt <= p.suspect
	p.mu.Unlock()
	if !suspect && now.Sub(c.usedAt) < probeAfterIdle {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := c.Query(ctx, "SELECT 1")
	if err != nil {
		return false
	}
	c.usedAt = p.opts.Clock.Now()
	return true
}

// Suspect closes the idle connections, because one that is in use was found
// silent: whatever lost track of it has probably lost track of them. Those in
// use are probed before they are used again.
func (p *Pool) Suspect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect = p.opts.Clock.Now()
	var pids []uint32
	for _, c := range p.idle {
		c.Close()
		p.open--
		pids = append(pids, c.PID)
	}
	p.idle = p.idle[:0]
	p.Reap(pids...)
	p.serve()
}

// Interrupt ends the patience of all that wait for the member at this moment,
// so that they look again whether their connection is of use.
func (p *Pool) Interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.busy {
		c.interrupt()
	}
}

// Release gives a connection back after a statement that took the given time.
// A tainted one is closed.
func (p *Pool) Release(c *Conn, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(c, took)
	delete(p.busy, c)
	now := p.opts.Clock.Now()
	if c.tainted || p.closed || p.open+p.dialing > p.allowed(now) {
		c.Close()
		p.open--
	} else {
		c.usedAt = now
		p.idle = append(p.idle, c)
	}
	p.serve()
}

// Discard closes a connection.
func (p *Pool) Discard(c *Conn) {
	c.Taint()
	p.Release(c, 0)
}

// Pause and Resume bracket the time in which a transaction holds a connection
// without a statement at work.
func (p *Pool) Pause(c *Conn, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(c, took)
	p.serve()
}

// Resume counts a statement of a transaction that holds its connection.
func (p *Pool) Resume(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begin(c)
}

// Tick starts what waits for time to pass.
func (p *Pool) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trim()
	p.serve()
}

// Close closes the idle connections; those in use are closed on release.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
	p.turnAway(ErrClosed)
}

// Jitter returns a random part of a duration between half and all of it.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
