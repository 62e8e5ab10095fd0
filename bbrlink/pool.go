package bbrlink

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Errors of Acquire. In each case nothing was sent to a member.
var (
	// ErrNoRoom means that no member had room before the deadline.
	ErrNoRoom = errors.New("no member had room in time")
	// ErrOverloaded means that the members have so much work that none would have
	// room in time.
	ErrOverloaded = errors.New("the members have more work than they can do in time")
	// ErrUnreachable means that the chosen member took no connection.
	ErrUnreachable = errors.New("the member took no connection")
)

const (
	// dialTimeout bounds the making of a connection to a member.
	dialTimeout = 400 * time.Millisecond
	// spareParts is the part of a member's connections that the instances leave
	// free, as one of so many: members hold the connections of instances that lost
	// power for some seconds, and those that start again need others.
	spareParts = 2
	// extraConnections is what an instance with more callers than others may use
	// beyond its share of a member's connections.
	extraConnections = 1
	// extraIdleLimit is how long a connection beyond the share may stay unused.
	extraIdleLimit = 200 * time.Millisecond
	// idleLimit is how long a connection beyond the first may stay unused.
	idleLimit = 2 * time.Second
	// scarceIdleLimit is how long any connection may stay unused where members do
	// not take one of each instance.
	scarceIdleLimit = 500 * time.Millisecond
)

// Acquire returns a connection to a member that may serve a statement. It waits
// until the deadline of want.
func (g *Group) Acquire(ctx context.Context, want bbrplace.Want) (*Conn, error) {
	granted := make(chan bbrtype.MemberName, 1)
	turnedAway := make(chan struct{}, 1)
	w := &bbrplace.Waiter{
		Want:       want,
		Granted:    func(id bbrtype.MemberName) { granted <- id },
		TurnedAway: func() { turnedAway <- struct{}{} },
	}
	g.mu.Lock()
	now := g.Clock.Now()
	g.board.Ask(w, now)
	g.mu.Unlock()
	select {
	case id := <-granted:
		return g.connect(ctx, id)
	case <-turnedAway:
		return nil, ErrOverloaded
	default:
	}
	timer := time.NewTimer(want.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case id := <-granted:
		return g.connect(ctx, id)
	case <-turnedAway:
		return nil, ErrOverloaded
	case <-timer.C:
	case <-ctx.Done():
	}
	g.leave(w, granted)
	return nil, ErrNoRoom
}

// leave takes a statement out that waits no longer. A place that it was granted
// meanwhile is given back.
func (g *Group) leave(w *bbrplace.Waiter, granted <-chan bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.board.Remove(w) {
		return
	}
	select {
	case id := <-granted:
		g.board.Release(id, g.Clock.Now())
	default:
	}
}

// giveBack releases a member's place without a connection.
func (g *Group) giveBack(id bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.board.Release(id, g.Clock.Now())
}

// connect takes an idle connection to a member or opens one.
func (g *Group) connect(ctx context.Context, id bbrtype.MemberName) (*Conn, error) {
	g.mu.Lock()
	if list := g.idle[id]; len(list) > 0 {
		c := list[len(list)-1]
		g.idle[id] = list[:len(list)-1]
		g.mu.Unlock()
		return c, nil
	}
	m, ok := g.members[id]
	g.mu.Unlock()
	if !ok {
		g.giveBack(id)
		return nil, &MemberError{Member: id, err: ErrUnreachable}
	}
	c, err := g.dial(ctx, m)
	if err != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.noteFailure(id, err)
		g.board.Release(id, g.Clock.Now())
		return nil, &MemberError{Member: id, err: err}
	}
	return c, nil
}

// dial makes a connection to a member.
func (g *Group) dial(ctx context.Context, m bbrdirectory.Member) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	wire, err := g.Dial(ctx, m)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.open[m.ID]++
	g.board.SetOpen(m.ID, g.open[m.ID])
	g.mu.Unlock()
	return &Conn{group: g, member: m, wire: wire}, nil
}

// MemberError is an error of one member. Nothing was run.
type MemberError struct {
	Member bbrtype.MemberName
	err    error
}

// Error names the member.
func (e *MemberError) Error() string { return "member " + string(e.Member) + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *MemberError) Unwrap() error { return e.err }

// noteFailure tells the board that a member gave no connection.
func (g *Group) noteFailure(id bbrtype.MemberName, err error) {
	now := g.Clock.Now()
	var f *bbrmessage.Failure
	if errors.As(err, &f) && f.Class == bbrmessage.ClassTooManyConnections {
		if pause := g.board.Full(id, g.open[id], now); pause > 0 {
			// Not all instances at the same moment.
			time.AfterFunc(pause+time.Duration(rand.Int64N(int64(pause/2))), g.Refresh)
		}
		return
	}
	g.fail(id, now)
	g.Log.WithFields(logrus.Fields{"group": g.name, "member": id}).WithError(err).Info("member unreachable")
}

// fail notes that a member did not answer.
func (g *Group) fail(id bbrtype.MemberName, now bbrtype.Mono) {
	g.board.Failed(id, now)
	c := g.contact[id]
	if c.failingAt == 0 {
		c.failingAt = now
		if since := g.silentSince(id); since != 0 {
			c.failingAt = since
		}
	}
	g.contact[id] = c
}

// Release gives a connection back.
func (g *Group) Release(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	id := c.member.ID
	if c.resting {
		c.resting = false
		g.board.Wake(id)
	}
	m, known := g.members[id]
	if c.broken || !known || m.Born != c.member.Born {
		g.hangUp(c)
	} else {
		c.idleFrom = now
		g.idle[id] = append(g.idle[id], c)
	}
	g.board.Release(id, now)
}

// Patience returns how long an answer of a member may take before it counts as lost.
func (g *Group) Patience(id bbrtype.MemberName) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.board.Patience(id)
}

// detach gives up a connection's place at its member: what it waits for has most
// likely been done there, and others can be served meanwhile.
func (g *Group) detach(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.detached {
		c.detached = true
		g.board.Release(c.member.ID, g.Clock.Now())
	}
}

// attach takes the place again.
func (g *Group) attach(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.detached {
		c.detached = false
		g.board.Occupy(c.member.ID)
	}
}

// rest gives up a connection's place at its member while a transaction pauses.
func (g *Group) rest(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.resting {
		c.resting = true
		g.board.Rest(c.member.ID, g.Clock.Now())
	}
}

// wake takes the place of a connection that rested.
func (g *Group) wake(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.resting {
		c.resting = false
		g.board.Wake(c.member.ID)
	}
}

// closeIdle closes the unused connections to a member.
func (g *Group) closeIdle(id bbrtype.MemberName) {
	for _, c := range g.idle[id] {
		g.hangUp(c)
	}
	delete(g.idle, id)
}

// hangUp closes a connection. The caller holds mu.
func (g *Group) hangUp(c *Conn) {
	_ = c.wire.Close()
	id := c.member.ID
	g.open[id]--
	g.board.SetOpen(id, g.open[id])
	if g.open[id] <= 0 {
		delete(g.open, id)
	}
}

// Trim closes connections that nobody has used for a while, down to one for
// each member, or to none where connections are scarce.
func (g *Group) Trim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	keep, limit := 1, idleLimit
	if g.isScarce() {
		keep, limit = 0, scarceIdleLimit
	}
	for id, list := range g.idle {
		for len(list) > 0 && g.open[id] > g.share() && now.Sub(list[0].idleFrom) > extraIdleLimit {
			g.hangUp(list[0])
			list = list[1:]
		}
		for len(list) > keep && now.Sub(list[0].idleFrom) > limit {
			g.hangUp(list[0])
			list = list[1:]
		}
		g.idle[id] = list
	}
}

// Close closes all unused connections.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.idle {
		g.closeIdle(id)
	}
}
