// Package bbrcontrol is the control logic of one instance: it keeps the
// journal's state, proves authority, exchanges messages with peers, watches
// members, and, on a steward, runs changes of primary.
//
// The package is pure. Step takes an event with the present reading of the
// monotonic clock and returns the actions to carry out; their outcomes come
// back as events. It has no goroutine, clock, socket, logger or global, so that
// a fuzz can run many instances under one schedule.
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

// unknownInstance stands for instances that were removed before this instance
// could learn of them.
const unknownInstance bbrtype.InstanceID = "unknown"

// recordCache bounds the records that are kept for peers.
const recordCache = 512

// Control is the control logic of one instance.
type Control struct {
	opts Options

	state   *bbrjournal.State
	recent  []bbrjournal.Record
	holder  bbrauthority.Holder
	voucher bbrauthority.Voucher

	policies map[bbrtype.GroupName]bbrfailover.Policy
	leastAge time.Duration
	// reportsFor is how old the reports of a peer may be, as of the last plan.
	reportsFor time.Duration
	version    uint64
	groups     map[bbrtype.GroupName]*groupControl
	members    map[bbrmember.Ref]*memberControl
	peers      map[bbrtype.InstanceID]*peer
	// removed are instances that others removed, with the time this instance
	// learned it: they may hold authority a little longer.
	removed map[bbrtype.InstanceID]bbrtype.Mono

	open      *openAppend
	configure []configureWant
	wishes    map[Wish]bbrtype.Mono
	takeover  takeover

	startedAt  bbrtype.Mono
	joinAt     bbrtype.Mono
	headAt     bbrtype.Mono
	exchangeAt bbrtype.Mono
	beatAt     bbrtype.Mono
	beat       uint64
	leaving    bool
	drained    bool
	left       bool

	// probed are the members that this instance is responsible for probing,
	// as of the journal index probedAt.
	probed   []bbrmember.Ref
	probedAt bbrtype.Index
	// fenceWanted is set while a fence waits for promises to run out.
	fenceWanted bool
	snapshotAt  bbrtype.Index
	hints       []string
	// urgent asks for planning without waiting for the next tick.
	urgent bool

	out []Action
}

// groupControl is what an instance keeps about a group beside the journal.
type groupControl struct {
	change *bbrfailover.Change
	// fencedAt and namedAt are when this instance learned of the last fence
	// and of the last primary.
	fencedAt bbrtype.Mono
	namedAt  bbrtype.Mono
	// lostAt is when the primary began to count as lost, 0 if it does not.
	lostAt bbrtype.Mono
	want   bbrjournal.Entry
	// wished is a primary that a pending configuration takes away.
	wished   bbrtype.MemberName
	wishedAt bbrtype.Mono
	// setAt is the index of the last change of the setting, setSeen when this
	// instance saw it, setAllAt when all instances were known to have.
	setAt    bbrtype.Index
	setSeen  bbrtype.Mono
	setAllAt bbrtype.Mono
}

// memberControl is what an instance keeps about a member.
type memberControl struct {
	health  bbrmember.Health
	state   *bbrmember.State
	stateAt bbrtype.Mono
	// probing is set while a probe is under way.
	probing      bool
	probeAt      bbrtype.Mono
	suspectUntil bbrtype.Mono
	followAt     bbrtype.Mono
	// badAt is when the member first failed to answer after it had.
	badAt bbrtype.Mono
	// told is the newest state that a peer has read, as of toldAt.
	told   *bbrmember.State
	toldAt bbrtype.Mono
}

// peer is what an instance keeps about another one.
type peer struct {
	instance bbrjournal.Instance
	heardAt  bbrtype.Mono
	applied  bbrtype.Index
	version  uint64
	leaving  bool
	joining  bool
	silent   []bbrtype.InstanceID
	reports  map[bbrmember.Ref]Report
	reported bbrtype.Mono
	// busy is set while an exchange is under way; again asks for another one.
	busy  bool
	again bool
}

// New returns the control logic of an instance that knows nothing yet.
func New(opts Options) *Control {
	return &Control{
		opts:    opts,
		state:   &bbrjournal.State{},
		holder:  bbrauthority.Holder{Settings: opts.Authority},
		voucher: bbrauthority.Voucher{Settings: opts.Authority},
		groups:  map[bbrtype.GroupName]*groupControl{},
		members: map[bbrmember.Ref]*memberControl{},
		peers:   map[bbrtype.InstanceID]*peer{},
		removed: map[bbrtype.InstanceID]bbrtype.Mono{},
		wishes:  map[Wish]bbrtype.Mono{},
	}
}

// State returns the applied state. It must not be changed.
func (c *Control) State() *bbrjournal.State { return c.state }

// IsMember reports whether the instance is in the journal.
func (c *Control) IsMember() bool {
	_, ok := c.state.Instances[c.opts.Self.ID]
	return ok
}

// AuthorityUntil returns until when the instance may acknowledge writes, given
// that it applies every record it learns of. It is 0 for an instance that is
// not a member.
func (c *Control) AuthorityUntil() bbrtype.Mono {
	if !c.IsMember() {
		return 0
	}
	return c.holder.Until(c.state.Stewards)
}

// SetVersion tells which configuration the instance has in force.
func (c *Control) SetVersion(v uint64) {
	c.version = v
	c.exchangeNow()
}

// VersionOf returns the configuration that a peer has in force and whether the
// peer was heard lately.
func (c *Control) VersionOf(id bbrtype.InstanceID, now bbrtype.Mono) (version uint64, heard bool) {
	if id == c.opts.Self.ID {
		return c.version, true
	}
	p := c.peers[id]
	if p == nil {
		return 0, false
	}
	return p.version, now.Sub(p.heardAt) <= c.opts.Silence
}

// PhaseOf returns the phase of a change of primary that this instance runs.
func (c *Control) PhaseOf(g bbrtype.GroupName) (bbrfailover.Phase, bool) {
	if gc := c.groups[g]; gc != nil && gc.change != nil {
		return gc.change.Phase(), true
	}
	return "", false
}

// HealthOf returns the instance's experience with a member.
func (c *Control) HealthOf(ref bbrmember.Ref) bbrmember.Health {
	if m := c.members[ref]; m != nil {
		return m.health
	}
	return bbrmember.Health{}
}

// Step takes an event and returns the actions to carry out.
func (c *Control) Step(now bbrtype.Mono, ev Event) []Action {
	if c.startedAt == 0 {
		c.startedAt = now
	}
	c.out = nil
	c.take(now, ev)
	if _, tick := ev.(Tick); tick || c.urgent {
		c.plan(now)
	}
	return c.out
}

func (c *Control) do(a Action) { c.out = append(c.out, a) }

func (c *Control) take(now bbrtype.Mono, ev Event) {
	switch e := ev.(type) {
	case HeadRead:
		c.headRead(now, e)
	case SnapshotLoaded:
		c.adopt(now, e.State)
	case Appended:
		c.appended(now, e)
	case ExchangeReplied:
		c.exchangeReplied(now, e)
	case ExchangeFailed:
		if p := c.peers[e.To]; p != nil {
			p.busy = false
		}
	case MemberAnswered:
		c.memberAnswered(now, e)
	case MemberFailed:
		c.memberFailed(now, e)
	case PromoteDone:
		c.promoteDone(now, e)
	case Beaten:
		if e.OK {
			c.voucher.Beaten(e.SentAt)
		}
	case BeatsRead:
		c.beatsRead(now, e)
	case BeatsRevoked:
		c.takeover.revoked = e.OK
		if !e.OK {
			c.takeover = takeover{}
		}
	case ConfigureRequested:
		c.urgent = true
		c.configure = append(c.configure, configureWant{id: e.ID, entry: e.Entry})
	case ConfigureAbandoned:
		c.abandon(e.ID)
	case PoliciesChanged:
		c.policies, c.leastAge = e.Policies, e.LeastAge
	case LeaveRequested:
		c.leaving = true
		c.urgent = true
	case Drained:
		c.drained = true
		c.urgent = true
	case SnapshotSaved:
		c.snapshotAt = max(c.snapshotAt, e.Index)
	case PeersListed:
		c.hints = e.Addresses
	}
}

// plan starts what is due.
func (c *Control) plan(now bbrtype.Mono) {
	c.urgent = false
	c.reportsFor = c.reportLimit(now)
	c.readHead(now)
	c.planMembers(now)
	c.planChanges(now)
	c.planBeat(now)
	c.planTakeover(now)
	c.planAppend(now)
	c.planExchange(now)
	c.planSnapshot(now)
	if c.drained && !c.left && !c.IsMember() {
		c.left = true
		c.do(Left{})
	}
}

func (c *Control) readHead(now bbrtype.Mono) {
	if now.Sub(c.headAt) >= c.opts.HeadInterval {
		c.readHeadNow(now)
	}
}

func (c *Control) readHeadNow(now bbrtype.Mono) {
	c.headAt = now
	c.do(ReadHead{After: c.state.Applied})
}

func (c *Control) headRead(now bbrtype.Mono, e HeadRead) {
	if e.Failed {
		return
	}
	head := e.After
	if n := len(e.Records); n > 0 {
		head = e.Records[n-1].Index
		if e.Records[0].Index > c.state.Applied+1 {
			c.do(LoadSnapshot{})
			return
		}
	}
	c.applyAll(now, e.Records)
	if e.More {
		c.readHeadNow(now)
		return
	}
	if c.state.Applied >= head {
		c.holder.Shown(e.SentAt)
	}
}

// applyAll applies the records that come next and skips those applied.
func (c *Control) applyAll(now bbrtype.Mono, records []bbrjournal.Record) {
	copied := false
	for _, r := range records {
		if r.Index != c.state.Applied+1 {
			continue
		}
		if !copied {
			// Readers of the old state keep it.
			c.state = c.state.Clone()
			copied = true
		}
		effective, err := c.state.Apply(r)
		if err != nil {
			return
		}
		c.recent = append(c.recent, r)
		if n := len(c.recent) - recordCache; n > 0 {
			c.recent = slices.Delete(c.recent, 0, n)
		}
		c.noteApplied(now, r, effective)
	}
}

// adopt takes over a newer state as a whole.
func (c *Control) adopt(now bbrtype.Mono, s *bbrjournal.State) {
	if s == nil || s.Applied <= c.state.Applied {
		return
	}
	before := c.state
	c.state = s.Clone()
	c.recent = nil
	c.snapshotAt = max(c.snapshotAt, s.Applied)
	// Instances may have joined and been removed in between.
	c.removed[unknownInstance] = now
	for id := range before.Instances {
		if _, ok := s.Instances[id]; !ok {
			c.removed[id] = now
		}
	}
	for name := range s.Groups {
		c.groupOf(name).fencedAt = now
		c.dropStaleChange(name)
	}
	c.closeAppend(bbrjournal.Record{Index: s.Applied}, nil)
	c.do(Applied{Record: bbrjournal.Record{Index: s.Applied}})
}

func (c *Control) groupOf(name bbrtype.GroupName) *groupControl {
	g := c.groups[name]
	if g == nil {
		g = &groupControl{}
		c.groups[name] = g
	}
	return g
}

// noteApplied reacts to a record that was applied.
func (c *Control) noteApplied(now bbrtype.Mono, r bbrjournal.Record, effective []bbrjournal.Entry) {
	for _, e := range effective {
		switch e := e.(type) {
		case bbrjournal.MembershipChanged:
			c.noteMembership(now, r, e)
		case bbrjournal.Fenced:
			c.noteFence(now, r, e)
		case bbrjournal.CandidateChosen:
			c.stepChange(now, e.Group, bbrfailover.CandidateNoted{Member: e.Member})
		case bbrjournal.PrimaryNamed:
			c.notePrimary(now, r, e)
		}
	}
	c.closeAppend(r, effective)
	c.urgent = true
	c.do(Applied{Record: r, Entries: effective})
}

// planSnapshot has the first steward store the state once in a while.
func (c *Control) planSnapshot(now bbrtype.Mono) {
	if c.state.Applied < c.snapshotAt+c.opts.SnapshotEvery || !c.state.IsSteward(c.opts.Self.ID) || c.rank(now) != 0 {
		return
	}
	c.snapshotAt = c.state.Applied
	c.do(SaveSnapshot{State: c.state})
}

func (c *Control) noteMembership(now bbrtype.Mono, r bbrjournal.Record, e bbrjournal.MembershipChanged) {
	for _, id := range e.Left {
		if r.Writer != id {
			c.removed[id] = now
		}
		delete(c.peers, id)
	}
	for _, i := range e.Joined {
		if p := c.peers[i.ID]; p != nil {
			p.joining = false
		}
		if i.ID != c.opts.Self.ID {
			c.peerOf(i).heardAt = now
		}
	}
}

// ViewAge returns the time since this instance last knew that it had applied
// every record.
func (c *Control) ViewAge(now bbrtype.Mono) time.Duration {
	proven := c.AuthorityUntil().Add(-(c.opts.Authority.Duration - c.opts.Authority.Margin))
	return max(0, now.Sub(proven))
}
