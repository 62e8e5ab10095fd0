// Package bbrcontrol implements the control logic of one instance. It decides
// what the instance does about the journal, the stewards, the set of instances
// and changes of primary (failovers).
//
// All instances of a fleet apply the records of one journal (package
// bbrjournal), which is kept in a table store of the platform. The journal
// holds the instances, the stewards, the configurations, and the term and the
// primary of each database group. The control logic decides four things:
//
//   - Journal: which records to read and to append. An append is retried with the
//     same index and nonce until that index is applied, so that a lost reply does
//     not store an entry twice.
//   - Authority: until when the instance may acknowledge writes. Authority is a
//     lease. It is renewed by a read of the journal that returns no unapplied record.
//     While the store is unavailable, it is renewed by grants from all stewards; a
//     steward that gives a grant appends no fence for the duration of the lease
//     (package bbrauthority).
//   - Stewards: only these few instances may append fences, each of which starts a
//     new term of a group. The stewards are ranked; the first reachable one adds and
//     removes instances and replaces stewards. If no steward is reachable for longer
//     than the holdover, another instance names new stewards.
//   - Changes of primary: a steward fences the group when its primary counts as lost
//     or when a pending configuration removes the primary. The steward then runs the
//     change (package bbrfailover) until the journal names the new primary.
//
// Instances exchange messages at a regular interval. The messages carry the
// applied index, records that the receiver lacks, reports on the health and the
// state of members, and requests for grants.
//
// The package does no input or output. Control.Step takes an event and the
// reading of the monotonic clock, and returns the actions to carry out. The
// outcomes of the actions are passed back as events. There are no goroutines,
// clocks, sockets, loggers or globals, so that a fuzz test can run many
// instances under one deterministic schedule. A Control is not safe for
// concurrent use.
//
// # Usage
//
//	c := bbrcontrol.New(opts)
//	actions := c.Step(clock.Now(), bbrcontrol.Tick{})
//	until := c.AuthorityUntil()
package bbrcontrol

import (
	"slices"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrauthority"
	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// unknownInstance represents instances that may have joined and been removed in
// records that this instance did not see.
const unknownInstance bbrtype.InstanceID = "unknown"

// maxRecentRecords bounds the applied records that are kept to send to peers.
const maxRecentRecords = 512

// Control is the control logic of one instance.
type Control struct {
	opts Options

	state         *bbrjournal.State
	recentRecords []bbrjournal.Record
	authority     bbrauthority.LeaseHolder
	granter       bbrauthority.LeaseGranter

	policies     map[bbrtype.GroupName]bbrfailover.Policy
	lowestMaxAge time.Duration
	// reportTTL is the maximum age of a peer's reports, as of the last plan.
	reportTTL     time.Duration
	configVersion uint64
	groups        map[bbrtype.GroupName]*groupState
	members       map[bbrmember.Ref]*memberState
	peers         map[bbrtype.InstanceID]*peer
	// removedAt holds the instances that another instance removed from the
	// journal, with the time at which this instance applied the removal. A
	// removed instance may still hold authority until its lease expires. An
	// instance that removes itself has already drained.
	removedAt map[bbrtype.InstanceID]bbrtype.Mono

	pendingAppend  *appendAttempt
	configRequests []configRequest
	// switchovers are the planned changes of primary that this instance
	// requests, with the time at which it last needed each of them.
	switchovers map[SwitchoverRequest]bbrtype.Mono
	takeover    takeover

	startedAt bbrtype.Mono
	// selfJoinAt is when this instance last proposed to add itself to the
	// journal.
	selfJoinAt    bbrtype.Mono
	journalReadAt bbrtype.Mono
	exchangeAt    bbrtype.Mono
	// heartbeat is this instance's last heartbeat as a steward, sent at
	// heartbeatAt.
	heartbeatAt bbrtype.Mono
	heartbeat   uint64
	// The steps of a planned stop: leaving is set when the stop is requested,
	// drained once no callers are served, and left once the removal from the
	// journal is applied.
	leaving bool
	drained bool
	left    bool

	// assignedMembers are the members that this instance is responsible for
	// probing, as of the journal index assignedIndex.
	assignedMembers []bbrmember.Ref
	assignedIndex   bbrtype.Index
	// fenceDue is set while a group needs a fence. The fence is not appended
	// before the grants that this instance has given have expired.
	fenceDue bool
	// snapshotIndex is the index of the newest snapshot that this instance
	// stored, started to store or installed.
	snapshotIndex bbrtype.Index
	// peerAddresses are addresses at which other instances may be reachable.
	peerAddresses []string
	// planNow requests planning without waiting for the next tick.
	planNow bool

	actions []Action
}

// groupState is the volatile state of a group, which is not in the journal.
type groupState struct {
	change *bbrfailover.Change
	// fencedAt and primaryNamedAt are when this instance applied the last fence
	// and the last PrimaryNamed entry.
	fencedAt       bbrtype.Mono
	primaryNamedAt bbrtype.Mono
	// lostSince is when the primary began to count as lost, 0 if it does not.
	lostSince bbrtype.Mono
	// proposal is the entry that the running change has to append, if any.
	proposal bbrjournal.Entry
	// switchoverFrom is a primary that a pending configuration removes.
	switchoverFrom        bbrtype.MemberName
	switchoverRequestedAt bbrtype.Mono
	// replicationIndex is the index of the record that introduced the group's
	// current replication config. replicationSeenAt is when this instance first
	// found it in the applied state, replicationSettledAt when every instance
	// had applied it or lost its authority, 0 before.
	replicationIndex     bbrtype.Index
	replicationSeenAt    bbrtype.Mono
	replicationSettledAt bbrtype.Mono
}

// memberState is the volatile state of a member.
type memberState struct {
	health        bbrmember.Health
	state         *bbrmember.State
	stateAt       bbrtype.Mono
	probeInFlight bool
	probeAt       bbrtype.Mono
	// probeUntil is the end of a temporary probing, which is requested for a
	// member that failed or whose state is missing or too old.
	probeUntil   bbrtype.Mono
	followSentAt bbrtype.Mono
	// failedSince is when the member first failed to answer after its last
	// answer.
	failedSince bbrtype.Mono
	// peerState is the newest state that a peer reported, and peerStateAt the
	// earliest time at which the peer may have read it.
	peerState   *bbrmember.State
	peerStateAt bbrtype.Mono
}

// peer is the volatile state of another instance.
type peer struct {
	instance      bbrjournal.Instance
	lastSeen      bbrtype.Mono
	appliedIndex  bbrtype.Index
	configVersion uint64
	leaving       bool
	joining       bool
	silent        []bbrtype.InstanceID
	reports       map[bbrmember.Ref]MemberReport
	reportsAt     bbrtype.Mono
	// inFlight is set while an exchange with the peer is in flight. sendNow
	// requests another one as soon as possible.
	inFlight bool
	sendNow  bool
}

// New returns the control logic of an instance with an empty journal state.
func New(opts Options) *Control {
	return &Control{
		opts:        opts,
		state:       &bbrjournal.State{},
		authority:   bbrauthority.LeaseHolder{Settings: opts.Authority},
		granter:     bbrauthority.LeaseGranter{Settings: opts.Authority},
		groups:      map[bbrtype.GroupName]*groupState{},
		members:     map[bbrmember.Ref]*memberState{},
		peers:       map[bbrtype.InstanceID]*peer{},
		removedAt:   map[bbrtype.InstanceID]bbrtype.Mono{},
		switchovers: map[SwitchoverRequest]bbrtype.Mono{},
	}
}

// State returns the applied state. The returned value must not be modified.
func (c *Control) State() *bbrjournal.State { return c.state }

// HasJoined reports whether the instance is in the journal.
func (c *Control) HasJoined() bool {
	_, ok := c.state.Instances[c.opts.Self.ID]
	return ok
}

// AuthorityUntil returns the end of the instance's authority to acknowledge
// writes, provided that it applies every record it receives. It returns 0 for
// an instance that is not in the journal.
func (c *Control) AuthorityUntil() bbrtype.Mono {
	if !c.HasJoined() {
		return 0
	}
	return c.authority.ExpiresAt(c.state.Stewards)
}

// SetConfigVersion sets the configuration version that the instance has in force.
func (c *Control) SetConfigVersion(v uint64) {
	c.configVersion = v
	c.exchangeNow()
}

// ConfigVersionOf returns the configuration version that an instance has in force,
// and whether that instance sent a message recently.
func (c *Control) ConfigVersionOf(id bbrtype.InstanceID, now bbrtype.Mono) (version uint64, reachable bool) {
	if id == c.opts.Self.ID {
		return c.configVersion, true
	}
	p := c.peers[id]
	if p == nil {
		return 0, false
	}
	return p.configVersion, now.Sub(p.lastSeen) <= c.opts.PeerTimeout
}

// ChangePhaseOf returns the phase of a group's change of primary. It returns
// false if this instance runs no change for the group.
func (c *Control) ChangePhaseOf(g bbrtype.GroupName) (bbrfailover.Phase, bool) {
	if gs := c.groups[g]; gs != nil && gs.change != nil {
		return gs.change.Phase(), true
	}
	return "", false
}

// HealthOf returns the health of a member as observed by this instance.
func (c *Control) HealthOf(ref bbrmember.Ref) bbrmember.Health {
	if m := c.members[ref]; m != nil {
		return m.health
	}
	return bbrmember.Health{}
}

// Step handles an event and returns the actions to carry out.
func (c *Control) Step(now bbrtype.Mono, ev Event) []Action {
	if c.startedAt == 0 {
		c.startedAt = now
	}
	c.actions = nil
	c.handleEvent(now, ev)
	if _, tick := ev.(Tick); tick || c.planNow {
		c.plan(now)
	}
	return c.actions
}

func (c *Control) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Control) handleEvent(now bbrtype.Mono, ev Event) {
	switch e := ev.(type) {
	case JournalRead:
		c.handleJournalRead(now, e)
	case SnapshotLoaded:
		c.installSnapshot(now, e.State)
	case Appended:
		c.handleAppended(now, e)
	case ExchangeReplied:
		c.handleExchangeReplied(now, e)
	case ExchangeFailed:
		if p := c.peers[e.To]; p != nil {
			p.inFlight = false
		}
	case MemberAnswered:
		c.handleMemberAnswered(now, e)
	case MemberFailed:
		c.handleMemberFailed(now, e)
	case PromotionFinished:
		c.handlePromoteDone(now, e)
	case HeartbeatStored:
		if e.OK {
			c.granter.RecordHeartbeat(e.SentAt)
		}
	case HeartbeatsRead:
		c.handleHeartbeatsRead(now, e)
	case HeartbeatsRevoked:
		c.takeover.revoked = e.OK
		if !e.OK {
			c.takeover = takeover{}
		}
	case ConfigurationRequested:
		c.planNow = true
		c.configRequests = append(c.configRequests, configRequest{id: e.ID, entry: e.Entry})
	case ConfigurationAbandoned:
		c.abandonConfigRequest(e.ID)
	case PoliciesChanged:
		c.policies, c.lowestMaxAge = e.Policies, e.LowestMaxAge
	case LeaveRequested:
		c.leaving = true
		c.planNow = true
	case Drained:
		c.drained = true
		c.planNow = true
	case SnapshotSaved:
		c.snapshotIndex = max(c.snapshotIndex, e.Index)
	case PeerAddressesListed:
		c.peerAddresses = e.Addresses
	}
}

// plan emits the actions that are due.
func (c *Control) plan(now bbrtype.Mono) {
	c.planNow = false
	c.reportTTL = c.currentReportTTL(now)
	c.readJournalIfDue(now)
	c.planMembers(now)
	c.planChanges(now)
	c.planHeartbeat(now)
	c.planTakeover(now)
	c.planAppend(now)
	c.planExchange(now)
	c.planSnapshot(now)
	if c.drained && !c.left && !c.HasJoined() {
		c.left = true
		c.emit(InstanceLeft{})
	}
}

func (c *Control) readJournalIfDue(now bbrtype.Mono) {
	if now.Sub(c.journalReadAt) >= c.opts.JournalReadInterval {
		c.readJournal(now)
	}
}

func (c *Control) readJournal(now bbrtype.Mono) {
	c.journalReadAt = now
	c.emit(ReadJournal{After: c.state.AppliedIndex})
}

func (c *Control) handleJournalRead(now bbrtype.Mono, e JournalRead) {
	if e.Failed {
		return
	}
	lastIndex := e.After
	if n := len(e.Records); n > 0 {
		lastIndex = e.Records[n-1].Index
		if e.Records[0].Index > c.state.AppliedIndex+1 {
			c.emit(LoadSnapshot{})
			return
		}
	}
	c.applyRecords(now, e.Records)
	if e.More {
		c.readJournal(now)
		return
	}
	if c.state.AppliedIndex >= lastIndex {
		c.authority.RecordRead(e.SentAt)
	}
}

// applyRecords applies the records that follow the applied index in order and
// skips all others.
func (c *Control) applyRecords(now bbrtype.Mono, records []bbrjournal.Record) {
	copied := false
	for _, r := range records {
		if r.Index != c.state.AppliedIndex+1 {
			continue
		}
		if !copied {
			// A state that State has returned must not change.
			c.state = c.state.Clone()
			copied = true
		}
		effective, err := c.state.Apply(r)
		if err != nil {
			return
		}
		c.recentRecords = append(c.recentRecords, r)
		if n := len(c.recentRecords) - maxRecentRecords; n > 0 {
			c.recentRecords = slices.Delete(c.recentRecords, 0, n)
		}
		c.handleApplied(now, r, effective)
	}
}

// installSnapshot replaces the state by a newer one.
func (c *Control) installSnapshot(now bbrtype.Mono, s *bbrjournal.State) {
	if s == nil || s.AppliedIndex <= c.state.AppliedIndex {
		return
	}
	before := c.state
	c.state = s.Clone()
	c.recentRecords = nil
	c.snapshotIndex = max(c.snapshotIndex, s.AppliedIndex)
	// Instances may have joined and been removed in the skipped records.
	c.removedAt[unknownInstance] = now
	for id := range before.Instances {
		if _, ok := s.Instances[id]; !ok {
			c.removedAt[id] = now
		}
	}
	for name := range s.Groups {
		c.ensureGroup(name).fencedAt = now
		c.dropStaleChange(name)
	}
	c.resolveAppend(bbrjournal.Record{Index: s.AppliedIndex}, nil)
	c.emit(RecordApplied{Record: bbrjournal.Record{Index: s.AppliedIndex}})
}

// ensureGroup returns the state of a group and creates it if necessary.
func (c *Control) ensureGroup(name bbrtype.GroupName) *groupState {
	g := c.groups[name]
	if g == nil {
		g = &groupState{}
		c.groups[name] = g
	}
	return g
}

// handleApplied reacts to an applied record.
func (c *Control) handleApplied(now bbrtype.Mono, r bbrjournal.Record, effective []bbrjournal.Entry) {
	for _, e := range effective {
		switch e := e.(type) {
		case bbrjournal.InstancesChanged:
			c.handleInstancesChanged(now, r, e)
		case bbrjournal.Fenced:
			c.handleFenced(now, r, e)
		case bbrjournal.CandidateChosen:
			c.stepChange(now, e.Group, bbrfailover.CandidateRecorded{Member: e.Member})
		case bbrjournal.PrimaryNamed:
			c.handlePrimaryNamed(now, r, e)
		}
	}
	c.resolveAppend(r, effective)
	c.planNow = true
	c.emit(RecordApplied{Record: r, Entries: effective})
}

// planSnapshot makes the first reachable steward store a snapshot once
// SnapshotEvery records have been applied since the last one.
func (c *Control) planSnapshot(now bbrtype.Mono) {
	if c.state.AppliedIndex < c.snapshotIndex+c.opts.SnapshotEvery || !c.state.IsSteward(c.opts.Self.ID) || c.rank(now) != 0 {
		return
	}
	c.snapshotIndex = c.state.AppliedIndex
	c.emit(SaveSnapshot{State: c.state})
}

func (c *Control) handleInstancesChanged(now bbrtype.Mono, r bbrjournal.Record, e bbrjournal.InstancesChanged) {
	for _, id := range e.Left {
		if r.Writer != id {
			c.removedAt[id] = now
		}
		delete(c.peers, id)
	}
	for _, i := range e.Joined {
		if p := c.peers[i.ID]; p != nil {
			p.joining = false
		}
		if i.ID != c.opts.Self.ID {
			c.ensurePeer(i).lastSeen = now
		}
	}
}

// JournalStaleness returns the time since the last proof that this instance had
// applied every record of the journal. Without such a proof, or for an instance
// that is not in the journal, the result is large and has no meaning.
func (c *Control) JournalStaleness(now bbrtype.Mono) time.Duration {
	provenAt := c.AuthorityUntil().Add(-(c.opts.Authority.Duration - c.opts.Authority.Margin))
	return max(0, now.Sub(provenAt))
}
