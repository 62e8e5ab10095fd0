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

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrtype"
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
	// DrainBound is how long a member that has said that it leaves may get work, 0 for
	// no bound.
	DrainBound time.Duration
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
	// leaving is when members were first seen to leave.
	leaving map[bbrtype.MemberName]bbrtype.Mono
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
	// lookedAtAll is when the last proof by all members began. Only the proof that is
	// under way uses it.
	lookedAtAll bbrtype.Mono
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
		leaving: map[bbrtype.MemberName]bbrtype.Mono{},
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
		g.noteLeaving(m)
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
			delete(g.leaving, id)
			g.board.Forget(id)
			g.closeIdle(id)
		}
	}
	g.refresh()
}

// drainMargin is how long before the end of DrainBound a member gets its last
// work: its word took a while to come here, and work waits at members.
const drainMargin = 1500 * time.Millisecond

// noteLeaving notes since when a member is leaving. The caller holds mu.
func (g *Group) noteLeaving(m bbrdirectory.Member) {
	if !m.Draining {
		delete(g.leaving, m.ID)
		return
	}
	if g.leaving[m.ID] == 0 {
		g.leaving[m.ID] = g.Clock.Now()
		if g.DrainBound > 0 {
			time.AfterFunc(g.DrainBound-drainMargin+time.Millisecond, g.Refresh)
		}
	}
}

// isOverdue reports whether a member gets no more work because it should have
// left. The caller holds mu.
func (g *Group) isOverdue(id bbrtype.MemberName) bool {
	since := g.leaving[id]
	return g.DrainBound > 0 && since != 0 && g.Clock.Now().Sub(since) > g.DrainBound-drainMargin
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
	most := limit + extraConnections
	if g.isScarce() {
		most = limit
	}
	usable := g.Clock.Now() >= g.primary.UsableFrom
	for id, m := range g.members {
		g.board.SetMember(bbrplace.Member{
			ID:      id,
			Primary: id == g.primary.Member && usable && !g.isOverdue(id),
			Near:    m.DataCentre == g.DataCentre,
			Leaving: m.Draining,
			Limit:   limit,
			Most:    most,
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

// isScarce reports whether members take fewer connections than one of each
// instance and some to spare.
func (g *Group) isScarce() bool { return g.service.MaxConnections/spareParts < g.Instances() }

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

// Load returns how many statements wait for a member, and the number of open
// connections.
func (g *Group) Load() (waiting, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.open {
		connections += n
	}
	return g.board.Waiting(), connections
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
