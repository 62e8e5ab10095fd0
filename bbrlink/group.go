// Package bbrlink connects an instance to the members of a group. It pools
// connections, queues statements until a member has a free slot, and records what
// the members' replies prove about the primary.
//
// A Group gets the members and the group's settings from SetMembers, and the
// primary from SetPrimary. Its scheduler (bbrplace) chooses the member for each
// statement. A slot at a member lets one statement be in flight there. The slots
// for this instance are its share of the connections that the member allows, since
// all instances connect to the same members; an instance with more callers than
// others may exceed its share a little.
//
// A proof shows that no change of primary had reached its barrier when the proof's
// request was sent (see bbrproof). Proofs come from commits that a synchronous
// replica confirmed, from the group's record in the store, from the status of all
// members, or from another instance. Sessions use them in two ways: a read that may
// go to a replica carries a minimum log position that a proof covers, and a read
// that must go to the primary is answered only if the primary is proven for the time
// at which the read arrived.
//
// # Usage
//
//	g := bbrlink.NewGroup("orders", deps)
//	g.SetMembers(members, expired, settings)
//	g.SetPrimary(primary)
//	conn, err := g.Acquire(ctx, bbrplace.Requirements{PrimaryOnly: true, Deadline: deadline})
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

// Dialer opens a connection to a member. It fails if another member answers at the
// address.
type Dialer func(ctx context.Context, m bbrdirectory.Member) (bbrmessage.MemberConn, error)

// Deps are the dependencies of a group. All groups of an instance share them.
type Deps struct {
	Dial       Dialer
	Clock      *bbrtype.Clock
	Log        logrus.FieldLogger
	Group      *errgroup.Group
	DataCentre bbrtype.DataCentre
	// DrainBound is how long a member may get new statements after it announced that
	// it drains, 0 for no bound.
	DrainBound time.Duration
	// Instances returns the number of instances that share the members' connections.
	Instances func() int
	// Vouch reads from the store whether changes of primary have begun, and passes
	// the proofs to ProveTerm.
	Vouch func(ctx context.Context) error
	// Ask fetches the proofs of another instance and passes them to TakeShared.
	Ask func(ctx context.Context) error
}

// Group is a group of databases, with this instance's connections to its members.
type Group struct {
	Deps
	name bbrtype.GroupName

	mu        sync.Mutex
	scheduler bbrplace.Scheduler
	members   map[bbrtype.MemberName]bbrdirectory.Member
	// drainingSince is when each draining member was first seen to drain.
	drainingSince map[bbrtype.MemberName]bbrtype.Mono
	// expired are members whose directory entries expired without a drain. They may
	// still run, and confirm commits for a primary that reaches them.
	expired []bbrdirectory.Member
	idle    map[bbrtype.MemberName][]*Conn
	// open counts the connections to each member, in use or idle.
	open     map[bbrtype.MemberName]int
	settings bbrcatalog.Service
	primary  Primary
	proof    bbrproof.Authority
	health   map[bbrtype.MemberName]memberHealth
	// inFlight counts the statements without a reply at each member, by the time at
	// which they were sent.
	inFlight map[bbrtype.MemberName]map[bbrtype.Mono]int
	// lastCommitSentAt is when the newest confirmed commit was sent, stalledSince
	// when the first unconfirmed commit after it was sent.
	lastCommitSentAt, stalledSince bbrtype.Mono
	// proofDone is closed when the proof in progress has ended, nil if none is in
	// progress.
	proofDone    chan struct{}
	lastProofEnd bbrtype.Mono
	// lastMemberProof is when the last proof by the status of all members began. Only
	// the proof in progress uses it.
	lastMemberProof bbrtype.Mono
	// acked is the newest log position that is known to have been acknowledged.
	acked        bbrmessage.Place
	demotedSince bbrtype.Mono
}

// Primary is the primary that an instance uses for a group.
type Primary struct {
	Member bbrtype.MemberName
	Term   bbrtype.Term
	// UsableFrom is the time from which statements that need the primary may be sent
	// to it.
	UsableFrom bbrtype.Mono
}

// memberHealth is when a member last replied, and since when it has failed to reply.
type memberHealth struct {
	lastReply    bbrtype.Mono
	failingSince bbrtype.Mono
}

// NewGroup returns a group without members.
func NewGroup(name bbrtype.GroupName, deps Deps) *Group {
	return &Group{
		Deps:          deps,
		name:          name,
		members:       map[bbrtype.MemberName]bbrdirectory.Member{},
		drainingSince: map[bbrtype.MemberName]bbrtype.Mono{},
		idle:          map[bbrtype.MemberName][]*Conn{},
		open:          map[bbrtype.MemberName]int{},
		health:        map[bbrtype.MemberName]memberHealth{},
		inFlight:      map[bbrtype.MemberName]map[bbrtype.Mono]int{},
	}
}

// Name returns the group's name.
func (g *Group) Name() bbrtype.GroupName { return g.name }

// SetMembers sets the group's members and settings. expired are members that may
// still run although their directory entries have expired.
func (g *Group) SetMembers(members, expired []bbrdirectory.Member, settings bbrcatalog.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings = settings
	g.expired = expired
	seen := map[bbrtype.MemberName]bool{}
	for _, m := range members {
		seen[m.ID] = true
		g.trackDrain(m)
		old, known := g.members[m.ID]
		g.members[m.ID] = m
		if known && old.Born != m.Born {
			g.closeIdle(m.ID)
		}
	}
	for id := range g.members {
		if !seen[id] {
			delete(g.members, id)
			delete(g.health, id)
			delete(g.drainingSince, id)
			g.scheduler.RemoveMember(id)
			g.closeIdle(id)
		}
	}
	g.refreshScheduler()
}

// drainMargin is how long before the end of DrainBound a draining member gets its
// last statement. It covers the delay until this instance learns of the drain, and
// the time that statements wait at the member.
const drainMargin = 1500 * time.Millisecond

// trackDrain records since when a member has been draining, and schedules a refresh
// for the time at which it gets no more statements. The caller holds mu.
func (g *Group) trackDrain(m bbrdirectory.Member) {
	if !m.Draining {
		delete(g.drainingSince, m.ID)
		return
	}
	if g.drainingSince[m.ID] == 0 {
		g.drainingSince[m.ID] = g.Clock.Now()
		if g.DrainBound > 0 {
			time.AfterFunc(g.DrainBound-drainMargin+time.Millisecond, g.Refresh)
		}
	}
}

// isPastDrain reports whether a draining member gets no more statements because its
// drain should be over. The caller holds mu.
func (g *Group) isPastDrain(id bbrtype.MemberName) bool {
	since := g.drainingSince[id]
	return g.DrainBound > 0 && since != 0 && g.Clock.Now().Sub(since) > g.DrainBound-drainMargin
}

// Refresh updates the members in the scheduler, and dispatches statements that can be
// served now.
func (g *Group) Refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshScheduler()
}

// refreshScheduler is Refresh without the lock. The caller holds mu.
func (g *Group) refreshScheduler() {
	limit := g.connectionShare()
	burstLimit := limit + burstConnections
	if g.hasScarceConnections() {
		burstLimit = limit
	}
	usable := g.Clock.Now() >= g.primary.UsableFrom
	for id, m := range g.members {
		g.scheduler.SetMember(bbrplace.Member{
			ID:             id,
			Primary:        id == g.primary.Member && usable && !g.isPastDrain(id),
			SameDataCentre: m.DataCentre == g.DataCentre,
			Draining:       m.Draining,
			BaseLimit:      limit,
			MaxLimit:       burstLimit,
		})
	}
	g.scheduler.Dispatch(g.Clock.Now())
}

// connectionShare is the number of connections to each member that this instance may
// open by its even share.
func (g *Group) connectionShare() int {
	n := max(1, g.Instances())
	return max(1, (g.settings.MaxConnections/headroomDivisor+n-1)/n)
}

// hasScarceConnections reports whether the shared part of a member's connections is
// smaller than the number of instances, so that not every instance can keep one.
func (g *Group) hasScarceConnections() bool {
	return g.settings.MaxConnections/headroomDivisor < g.Instances()
}

// SetPrimary sets the primary in use. Proofs, demotion and stalled commits of the
// previous one are discarded.
func (g *Group) SetPrimary(p Primary) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Member == g.primary.Member && p.Term == g.primary.Term {
		return
	}
	g.Log.WithFields(logrus.Fields{"group": g.name, "member": p.Member, "term": p.Term, "before": g.primary.Member, "termBefore": g.primary.Term}).Info("primary in use")
	g.primary = p
	g.demotedSince, g.stalledSince = 0, 0
	g.proof.Reset(p.Term, g.Clock.Now())
	g.refreshScheduler()
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

// Members returns the members of the group that the directory lists.
func (g *Group) Members() []bbrdirectory.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]bbrdirectory.Member, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, m)
	}
	return out
}

// Load returns the number of statements that wait for a member, and the number of
// open connections.
func (g *Group) Load() (waiting, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.open {
		connections += n
	}
	return g.scheduler.QueueLen(), connections
}

// MayBeAtWork returns all members that may run: those listed in the directory, and
// those whose entries expired without a drain.
func (g *Group) MayBeAtWork() []bbrtype.MemberName {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]bbrtype.MemberName, 0, len(g.members)+len(g.expired))
	for id := range g.members {
		out = append(out, id)
	}
	for _, m := range g.expired {
		out = append(out, m.ID)
	}
	return out
}

// Service returns the group's settings.
func (g *Group) Service() bbrcatalog.Service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settings
}
