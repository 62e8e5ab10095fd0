// Package bbrlink holds the connections of an instance to the members of a
// group, what their answers prove, and who waits for a connection.
//
// # Usage
//
//	g := bbrlink.NewGroup("orders", deps)
//	g.SetMembers(members, service)
//	conn, err := g.Acquire(ctx, bbrplace.Want{PrimaryOnly: true, Deadline: deadline})
//	reply, err := conn.Run(…)
//	g.Release(conn)
package bbrlink

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Errors of Acquire. In each case nothing was sent to a member.
var (
	// ErrNoRoom means that no member had room before the deadline.
	ErrNoRoom = errors.New("no member had room in time")
	// ErrNoMember means that no member may serve the statement.
	ErrNoMember = errors.New("no member may serve the statement")
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
	// idleLimit is how long a connection beyond the first may stay unused.
	idleLimit = 2 * time.Second
	// scarceIdleLimit is how long any connection may stay unused where members do
	// not take one of each instance.
	scarceIdleLimit = 500 * time.Millisecond
)

// Dialer opens a connection to a member, which must be the one expected.
type Dialer func(ctx context.Context, m bbrdirectory.Member) (bbrmessage.MemberConn, error)

// Deps are what the connections of all groups share.
type Deps struct {
	Dial       Dialer
	Clock      *bbrtype.Clock
	Log        logrus.FieldLogger
	Group      *errgroup.Group
	DataCentre bbrtype.DataCentre
	// Instances returns the number of instances that share the members.
	Instances func() int
	// Vouch asks the store whether changes of primary have begun, and notes the
	// proofs by ProveTerm.
	Vouch func(ctx context.Context) error
	// Ask asks another instance for its proofs, noted by TakeShared.
	Ask func(ctx context.Context) error
}

// Group is a database group with this instance's connections to it.
type Group struct {
	Deps
	name bbrtype.GroupName

	mu      sync.Mutex
	board   bbrplace.Board
	members map[bbrtype.MemberName]bbrdirectory.Member
	// departed may still confirm commits for a primary that reaches them.
	departed []bbrdirectory.Member
	idle     map[bbrtype.MemberName][]*Conn
	// open counts the connections to each member, used or not.
	open    map[bbrtype.MemberName]int
	service bbrcatalog.Service
	primary Primary
	proof   bbrproof.Authority
	contact map[bbrtype.MemberName]contact
	// owed are the times of what was sent to each member and is not answered.
	owed map[bbrtype.MemberName]map[bbrtype.Mono]int
	// committedAt is when the newest confirmed commit was sent, stalledAt when the
	// first one after it was sent that was not confirmed.
	committedAt, stalledAt bbrtype.Mono
	// proving is closed when the proof that is under way has ended.
	proving  chan struct{}
	provedAt bbrtype.Mono
	// acked is the newest position acknowledged to this instance.
	acked     bbrmessage.Place
	demotedAt bbrtype.Mono
}

// Primary is the primary that an instance goes by.
type Primary struct {
	Member bbrtype.MemberName
	Term   bbrtype.Term
	// UsableFrom is when it may begin to acknowledge.
	UsableFrom bbrtype.Mono
}

// contact is when a member last answered, and since when it has not.
type contact struct {
	answered  bbrtype.Mono
	failingAt bbrtype.Mono
}

// NewGroup returns a group without members.
func NewGroup(name bbrtype.GroupName, deps Deps) *Group {
	return &Group{
		Deps:    deps,
		name:    name,
		members: map[bbrtype.MemberName]bbrdirectory.Member{},
		idle:    map[bbrtype.MemberName][]*Conn{},
		open:    map[bbrtype.MemberName]int{},
		contact: map[bbrtype.MemberName]contact{},
		owed:    map[bbrtype.MemberName]map[bbrtype.Mono]int{},
	}
}

// Name returns the group's name.
func (g *Group) Name() bbrtype.GroupName { return g.name }

// SetMembers puts the group's members and settings in force. departed are members
// that may still be at work although they are no longer known.
func (g *Group) SetMembers(members, departed []bbrdirectory.Member, service bbrcatalog.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service = service
	g.departed = departed
	seen := map[bbrtype.MemberName]bool{}
	for _, m := range members {
		seen[m.ID] = true
		old, known := g.members[m.ID]
		g.members[m.ID] = m
		if known && old.Born != m.Born {
			g.closeIdle(m.ID)
		}
	}
	for id := range g.members {
		if !seen[id] {
			delete(g.members, id)
			delete(g.contact, id)
			g.board.Forget(id)
			g.closeIdle(id)
		}
	}
	g.refresh()
}

// Refresh gives the board the members as they are now.
func (g *Group) Refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
}

// refresh gives the board the members as they are now.
func (g *Group) refresh() {
	limit := g.share()
	usable := g.Clock.Now() >= g.primary.UsableFrom
	for id, m := range g.members {
		g.board.SetMember(bbrplace.Member{
			ID:      id,
			Primary: id == g.primary.Member && usable,
			Near:    m.DataCentre == g.DataCentre,
			Leaving: m.Draining,
			Limit:   limit,
		})
	}
	g.board.Dispatch(g.Clock.Now())
}

// share is the number of connections to each member that this instance may
// have.
func (g *Group) share() int {
	n := max(1, g.Instances())
	return max(1, (g.service.MaxConnections/spareParts+n-1)/n)
}

// SetPrimary names the primary that the group is served by.
func (g *Group) SetPrimary(p Primary) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Member == g.primary.Member && p.Term == g.primary.Term {
		return
	}
	g.Log.WithFields(logrus.Fields{"group": g.name, "member": p.Member, "term": p.Term, "before": g.primary.Member, "termBefore": g.primary.Term}).Info("primary in use")
	g.primary = p
	g.demotedAt, g.stalledAt = 0, 0
	g.proof.Reset(p.Term, g.Clock.Now())
	g.refresh()
	if wait := p.UsableFrom.Sub(g.Clock.Now()); wait > 0 {
		time.AfterFunc(wait, g.Refresh)
	}
}

// Primary returns the primary in use.
func (g *Group) Primary() Primary {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Members returns the members known.
func (g *Group) Members() []bbrdirectory.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]bbrdirectory.Member, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, m)
	}
	return out
}

// MayBeAtWork returns all members known, and those that may still be at work
// although they are no longer known.
func (g *Group) MayBeAtWork() []bbrtype.MemberName {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]bbrtype.MemberName, 0, len(g.members)+len(g.departed))
	for id := range g.members {
		out = append(out, id)
	}
	for _, m := range g.departed {
		out = append(out, m.ID)
	}
	return out
}

// Service returns the group's settings.
func (g *Group) Service() bbrcatalog.Service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.service
}

// Acquire returns a connection to a member that may serve a statement. It waits
// until the deadline of want.
func (g *Group) Acquire(ctx context.Context, want bbrplace.Want) (*Conn, error) {
	granted := make(chan bbrtype.MemberName, 1)
	w := &bbrplace.Waiter{Want: want, Granted: func(id bbrtype.MemberName) { granted <- id }}
	g.mu.Lock()
	now := g.Clock.Now()
	g.board.Ask(w, now)
	g.mu.Unlock()
	select {
	case id := <-granted:
		return g.connect(ctx, id)
	default:
	}
	timer := time.NewTimer(want.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case id := <-granted:
		return g.connect(ctx, id)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	removed := g.board.Remove(w)
	g.mu.Unlock()
	if !removed {
		g.giveBack(<-granted)
	}
	return nil, ErrNoRoom
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
		g.board.Full(id, g.open[id], now)
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
	if g.service.MaxConnections/spareParts < g.Instances() {
		keep, limit = 0, scarceIdleLimit
	}
	for id, list := range g.idle {
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
