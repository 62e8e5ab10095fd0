// Package bbrlink connects an instance to the members of a group. It pools
// connections, queues statements until a member has a free slot, and tracks proofs
// that the primary in use is still the only primary.
//
// A Group is given the members and the group's settings by SetMembers, and the
// primary in use by SetPrimary. Its scheduler (see bbrplace) chooses the member for
// each statement. A slot permits one statement in flight at a member. Members limit
// their connections, so each instance has a share of them (see bbrholder), and may
// use burstConnections more while it has more callers than others.
//
// A proof shows that no change of primary had reached its barrier when the request
// for the proof was sent. After its barrier, a change of primary waits until such
// proofs have expired before a new primary acknowledges commits (see bbrproof).
// Proofs come from commits that a synchronous replica confirmed, from the group's
// record in the store, from the status of all members, or from another instance. A
// read that accepts data of some age requires a minimum log position that is covered
// by a proof. The result of a read that requires the primary is returned only if a
// proof shows that it was the only primary when the read arrived.
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
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbreviction"
	"github.com/bluebellroute/bluebellroute/bbrholder"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Dialer opens a connection to a member. It fails if the address belongs to another
// member.
type Dialer func(ctx context.Context, m bbrdirectory.Member) (bbrmessage.MemberConn, error)

// TenantDialer opens a connection to a member on which statements of a tenant run.
type TenantDialer func(ctx context.Context, m bbrdirectory.Member, tenant bbrtype.TenantName) (bbrmessage.MemberConn, error)

// Deps are the dependencies of a group. All groups of an instance share them.
type Deps struct {
	Dial Dialer
	// DialTenant opens the connections of tenants. With nil there are no tenants.
	DialTenant TenantDialer
	Clock      *bbrtype.Clock
	Log        logrus.FieldLogger
	Tasks      *errgroup.Group
	DataCentre bbrtype.DataCentre
	// DrainTimeout is the maximum time for which new statements are sent to a
	// draining member, 0 for no limit.
	DrainTimeout time.Duration
	// Share returns this instance's share in a member of the group that runs slots
	// statements at a time, under the group's limit of connections.
	Share func(group bbrtype.GroupName, maxConnections, slots int) bbrholder.Share
	// Sharing returns the instances that send statements to members of a group that accept
	// maxConnections, if their load is to be spread (see bbrplace.Scheduler.SetSharing).
	// With nil it is not.
	Sharing func(group bbrtype.GroupName, maxConnections int) bbrplace.Sharing
	// ProveFromStore queries the store for changes of primary that have begun, and
	// passes the resulting proofs to RecordStoreProof. On an error there is no proof.
	ProveFromStore func(ctx context.Context) error
	// MayHaveConfirmed reports whether a member may have confirmed commits, see
	// FirstListed. With nil every member may.
	MayHaveConfirmed func(g *Group, id bbrtype.MemberName) bool
	// SeenMembers returns the members of which the store records that they have replied to
	// an instance. No change of primary leaves them out. With nil none leaves out any
	// member. The result is not changed later.
	SeenMembers func() map[bbrtype.MemberName]bool
	// IsChanging reports whether a change of a group's primary is known to have begun. With
	// nil none is.
	IsChanging func(group bbrtype.GroupName) bool
	// OrderedMembers returns the members of a group whose promotion was ordered and may
	// still take effect. With nil there are none.
	OrderedMembers func(group bbrtype.GroupName) []bbrtype.MemberName
	// RecordsReadAt returns when the newest read of the groups' records was sent that
	// IsChanging and OrderedMembers take into account, 0 if none counts. With nil they know
	// all records at any time.
	RecordsReadAt func() bbrtype.Mono
	// FetchPeerProofs fetches the proofs of another instance and passes them to
	// MergeProof.
	FetchPeerProofs func(ctx context.Context) error
}

// Group is a group of databases, with this instance's connections to its members.
type Group struct {
	Deps
	name bbrtype.GroupName

	mu        sync.Mutex
	scheduler bbrplace.Scheduler
	members   map[bbrtype.MemberName]bbrdirectory.Member
	// drainingSince is when this instance first saw each draining member drain.
	drainingSince map[bbrtype.MemberName]bbrtype.Mono
	// firstListed is when this instance first saw the process of each member listed.
	firstListed map[bbrtype.MemberName]bbrtype.Mono
	// firstListing is when this instance first saw any member listed.
	firstListing bbrtype.Mono
	// unchangedAt is when this instance last knew of no change of primary. A member that
	// is first listed later may be unknown to a change that has begun.
	unchangedAt bbrtype.Mono
	// replied holds the members that have replied to this instance since they are listed.
	replied map[bbrtype.MemberName]bool
	// expired are members whose directory entries expired without a drain. They may
	// still run, and confirm commits as replicas of a primary that can connect to
	// them.
	expired []bbrdirectory.Member
	idle    map[bbrtype.MemberName][]*Conn
	// open counts the connections to each member, in use or idle, and dialing those that
	// are being opened.
	open, dialing map[bbrtype.MemberName]int
	// usage is how often each tenant needs a connection.
	usage  bbreviction.Usage
	dials  DialCounts
	strays map[StrayKind]uint64
	// reached is the newest log position that each member's replies have shown.
	reached  map[bbrtype.MemberName]bbrmessage.LogPosition
	settings bbrcatalog.GroupSettings
	primary  Primary
	proof    bbrproof.PrimaryLease
	health   map[bbrtype.MemberName]memberHealth
	// inFlight counts the statements without a reply at each member, by the time at
	// which they were sent.
	inFlight map[bbrtype.MemberName]map[bbrtype.Mono]int
	// lastCommitSentAt is when the newest confirmed commit was sent. stalledSince is
	// when the first commit after it was sent that is not confirmed, 0 if there is
	// none.
	lastCommitSentAt, stalledSince bbrtype.Mono
	// proofDone is closed when the ObtainProof call in progress ends, nil if there is
	// none.
	proofDone    chan struct{}
	lastProofEnd bbrtype.Mono
	// lastMemberProofStart is when the last proof by the status of all members began.
	// It is not guarded by mu: only the ObtainProof call in progress accesses it.
	lastMemberProofStart bbrtype.Mono
	// lastAcked is the newest known log position of an acknowledged commit.
	lastAcked bbrmessage.LogPosition
	// received holds the log position that each replica reported last. positionQueries
	// holds the replicas whose position is being queried for AwaitLasting.
	received        map[bbrtype.MemberName]bbrmessage.LogPosition
	positionQueries map[bbrtype.MemberName]bool
	// reports holds the newest status of each replica that was queried for AwaitLasting.
	reports map[bbrtype.MemberName]statusReport
	// reported is closed when a replica reports its position, nil if nobody waits for that.
	reported chan struct{}
	// replicaLeftAt is when this instance last saw that a leaving replica was gone.
	replicaLeftAt bbrtype.Mono
	demotedSince  bbrtype.Mono
	refused       refusals
	// wakeAt is when the queue is dispatched because a pause ends, 0 if it is not scheduled.
	wakeAt bbrtype.Mono
}

// Primary is the member that this instance currently treats as the group's primary,
// called the primary in use.
type Primary struct {
	Member bbrtype.MemberName
	Term   bbrtype.Term
	// UsableFrom is the time from which statements that require the primary may be
	// sent to it. It is in the future while proofs of the previous primary may still
	// be valid.
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
		firstListed:   map[bbrtype.MemberName]bbrtype.Mono{},
		replied:       map[bbrtype.MemberName]bool{},
		idle:          map[bbrtype.MemberName][]*Conn{},
		open:          map[bbrtype.MemberName]int{},
		dialing:       map[bbrtype.MemberName]int{},
		health:        map[bbrtype.MemberName]memberHealth{},
		inFlight:      map[bbrtype.MemberName]map[bbrtype.Mono]int{},
		received:      map[bbrtype.MemberName]bbrmessage.LogPosition{},
		reached:       map[bbrtype.MemberName]bbrmessage.LogPosition{},
		strays:        map[StrayKind]uint64{strayRepeated: 0, strayUnsigned: 0, strayUnexpected: 0, strayFailure: 0},

		refused:         newRefusals(),
		positionQueries: map[bbrtype.MemberName]bool{},
		reports:         map[bbrtype.MemberName]statusReport{},
	}
}

// Name returns the group's name.
func (g *Group) Name() bbrtype.GroupName { return g.name }

// SetMembers sets the group's members and settings. expired are members that may
// still run although their directory entries have expired.
func (g *Group) SetMembers(members, expired []bbrdirectory.Member, settings bbrcatalog.GroupSettings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings = settings
	g.expired = expired
	seen := map[bbrtype.MemberName]bool{}
	for _, m := range members {
		seen[m.ID] = true
		g.trackDrain(m)
		if g.firstListed[m.ID] == 0 {
			g.firstListed[m.ID] = g.Clock.Now()
			if g.firstListing == 0 {
				g.firstListing = g.Clock.Now()
			}
		}
		old, known := g.members[m.ID]
		g.members[m.ID] = m
		if known && old.StartedAtMs != m.StartedAtMs {
			// The new process holds nothing of before, and no order to pause it.
			g.firstListed[m.ID] = g.Clock.Now()
			delete(g.received, m.ID)
			g.closeIdleTo(m.ID)
			g.scheduler.RecordReturn(m.ID, g.Clock.Now())
		}
	}
	for id := range g.members {
		if !seen[id] {
			if g.drainingSince[id] != 0 && id != g.primary.Member {
				g.replicaLeftAt = g.Clock.Now()
			}
			delete(g.members, id)
			delete(g.received, id)
			delete(g.reached, id)
			delete(g.reports, id)
			delete(g.health, id)
			delete(g.drainingSince, id)
			delete(g.firstListed, id)
			delete(g.replied, id)
			g.scheduler.RemoveMember(id)
			g.closeIdleTo(id)
		}
	}
	g.refreshSchedulerLocked()
}

// drainMargin is how long before the end of DrainTimeout new statements stop. It
// covers the delay until this instance reads the drain from the directory, and the
// queueing time at the member.
const drainMargin = 1500 * time.Millisecond

// trackDrain records since when a member has been draining, and schedules a refresh
// for the time at which isDrainEnding becomes true. The caller holds mu.
func (g *Group) trackDrain(m bbrdirectory.Member) {
	if !m.Draining {
		delete(g.drainingSince, m.ID)
		return
	}
	if g.drainingSince[m.ID] == 0 {
		g.drainingSince[m.ID] = g.Clock.Now()
		if g.DrainTimeout > 0 {
			time.AfterFunc(g.DrainTimeout-drainMargin+time.Millisecond, g.RefreshScheduler)
		}
	}
}

// isDrainEnding reports whether a member has been draining for so long that
// statements which require the primary are no longer sent to it. The caller holds mu.
func (g *Group) isDrainEnding(id bbrtype.MemberName) bool {
	since := g.drainingSince[id]
	return g.DrainTimeout > 0 && since != 0 && g.Clock.Now().Sub(since) > g.DrainTimeout-drainMargin
}

// RefreshScheduler updates the members in the scheduler, and dispatches statements that can be
// served now.
func (g *Group) RefreshScheduler() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshSchedulerLocked()
}

// refreshSchedulerLocked is RefreshScheduler without the lock. The caller holds mu.
func (g *Group) refreshSchedulerLocked() {
	usable := g.Clock.Now() >= g.primary.UsableFrom
	if g.Sharing != nil {
		g.scheduler.SetSharing(g.Sharing(g.name, g.settings.MaxConnections))
	}
	for id, m := range g.members {
		share := g.shareIn(m)
		limit := share.Connections
		if share.Burst {
			limit += burstConnections
		}
		g.scheduler.SetMember(bbrplace.Member{
			ID:             id,
			Primary:        id == g.primary.Member && usable && !g.isDrainEnding(id),
			SameDataCentre: m.DataCentre == g.DataCentre,
			Draining:       m.Draining,
			BaseLimit:      share.InFlight,
			MaxLimit:       limit,
		})
	}
	g.scheduler.Dispatch(g.Clock.Now())
}

// shareIn returns this instance's share in a member.
func (g *Group) shareIn(m bbrdirectory.Member) bbrholder.Share {
	return g.Share(g.name, g.settings.MaxConnections, m.Slots)
}

// SetPrimary sets the primary in use. It discards the proofs, the demotion and the
// stalled commits of the previous primary.
func (g *Group) SetPrimary(p Primary) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setPrimaryLocked(p)
}

// setPrimaryLocked is SetPrimary without the lock. The caller holds mu.
func (g *Group) setPrimaryLocked(p Primary) {
	if p.Member == g.primary.Member && p.Term == g.primary.Term {
		return
	}
	g.Log.WithFields(logrus.Fields{"group": g.name, "member": p.Member, "term": p.Term, "before": g.primary.Member, "termBefore": g.primary.Term}).Info("primary in use")
	g.primary = p
	g.demotedSince, g.stalledSince = 0, 0
	g.proof.Reset(p.Term, g.Clock.Now())
	g.refreshSchedulerLocked()
	if wait := p.UsableFrom.Sub(g.Clock.Now()); wait > 0 {
		time.AfterFunc(wait, g.RefreshScheduler)
	}
}

// EndWait lets the primary p be used before p.UsableFrom, if it is the primary in use: no
// proof of a previous primary is valid any more.
func (g *Group) EndWait(p Primary) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != p {
		return
	}
	g.primary.UsableFrom = 0
	g.refreshSchedulerLocked()
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

// Stats returns the number of statements that wait for a member, and the number of
// open connections.
func (g *Group) Stats() (waiting, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.open {
		connections += n
	}
	return g.scheduler.QueueLen(), connections
}

// DialCounts counts the attempts to open a connection to a member of a group.
type DialCounts struct {
	// Opened counts the connections that were opened, Refused those that a member
	// refused because it had reached its limit, and Failed all other failures. Evicted
	// counts the unused connections that were closed to open one of another tenant.
	Opened, Refused, Failed, Evicted uint64
}

// Dials returns the counts of attempts to open a connection since the group was created.
func (g *Group) Dials() DialCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dials
}

// PossiblyRunningMembers returns all members that possibly run: members in the
// directory, and members whose entries expired without a drain.
func (g *Group) PossiblyRunningMembers() []bbrtype.MemberName {
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

// FirstListed returns when this instance first saw a member listed, 0 if the member is not
// listed.
func (g *Group) FirstListed(id bbrtype.MemberName) bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstListed[id]
}

// HasReplied reports whether a member has replied to this instance since it is listed.
func (g *Group) HasReplied(id bbrtype.MemberName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replied[id]
}

// ConfirmingMembers returns the members that possibly run and may have confirmed commits.
func (g *Group) ConfirmingMembers() []bbrtype.MemberName {
	members := g.PossiblyRunningMembers()
	if g.MayHaveConfirmed == nil {
		return members
	}
	return slices.DeleteFunc(members, func(id bbrtype.MemberName) bool { return !g.MayHaveConfirmed(g, id) })
}

// Settings returns the group's settings.
func (g *Group) Settings() bbrcatalog.GroupSettings {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settings
}
