// Package bbrinstance runs the control logic of one instance against the world:
// it carries out the actions of bbrcontrol and feeds their outcomes back.
//
// # Usage
//
//	i := bbrinstance.New(deps, opts)
//	err := i.Start(ctx)
//	...
//	i.Leave(ctx)
//	i.Stop()
package bbrinstance

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrmetric"
	"github.com/bluebellroute/bluebellroute/bbrpeer"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrstore"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Durations of the instance's own work.
const (
	tickEvery       = 50 * time.Millisecond
	readTimeout     = 1900 * time.Millisecond
	appendTimeout   = 3 * time.Second
	exchangeTimeout = time.Second
	objectTimeout   = 5 * time.Second
	listEvery       = 5 * time.Second
	listTimeout     = 2 * time.Second
	metricsEvery    = time.Second
	evidenceEvery   = 200 * time.Millisecond
	orderTimeout    = 2 * time.Second
)

const (
	// readLimit bounds the records of one read of the journal.
	readLimit = 200
	// keepRecords is the number of records kept behind a snapshot.
	keepRecords = 1000
)

// JournalStore keeps the journal and what belongs to it.
type JournalStore interface {
	Read(ctx context.Context, after bbrtype.Index, limit int) (records []bbrjournal.Record, more bool, err error)
	Append(ctx context.Context, r bbrjournal.Record) (bbrcontrol.AppendResult, error)
	Beat(ctx context.Context, id bbrtype.InstanceID, beat uint64) (bool, error)
	ReadBeat(ctx context.Context, id bbrtype.InstanceID) (uint64, error)
	Revoke(ctx context.Context, id bbrtype.InstanceID, seen uint64) (bool, error)
	NoteSnapshot(ctx context.Context, index, keep bbrtype.Index) error
	SnapshotIndex(ctx context.Context) (bbrtype.Index, error)
}

// BodyStore keeps configurations and snapshots.
type BodyStore interface {
	PutConfiguration(ctx context.Context, body []byte) error
	Configuration(ctx context.Context, hash string) ([]byte, error)
	PutSnapshot(ctx context.Context, s *bbrjournal.State) error
	Snapshot(ctx context.Context, i bbrtype.Index) (*bbrjournal.State, error)
}

// InstanceList is the platform's list of instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]bbrstore.Listed, error)
	Set(ctx context.Context, i bbrstore.Listed) error
	Remove(ctx context.Context, name string) error
}

var (
	_ JournalStore = (*bbrstore.Table)(nil)
	_ BodyStore    = (*bbrstore.Objects)(nil)
	_ InstanceList = (*bbrstore.List)(nil)
)

// Deps are what an instance works with.
type Deps struct {
	Clock    *bbrtype.Clock
	Journal  JournalStore
	Bodies   BodyStore
	List     InstanceList
	Peers    *bbrpeer.Clients
	Registry *bbrgroup.Registry
	Metrics  *bbrmetric.Set
	Log      logrus.FieldLogger
	Group    *errgroup.Group
}

// Options are the settings of an instance.
type Options struct {
	Control bbrcontrol.Options
	// FixedQuota divides connections equally among the instances.
	FixedQuota bool
	// Seeds are addresses of other instances, beside the platform's list.
	Seeds []string
}

// Instance runs the control logic.
type Instance struct {
	deps   Deps
	opts   Options
	self   bbrjournal.Instance
	dialer *bbrpool.Dialer
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	control *bbrcontrol.Control
	waiting map[bbrcontrol.RequestID]chan bbrcontrol.ConfigureDone
	left    chan struct{}
	isLeft  bool

	bodies  *bodies
	probers *probers
	quota   *quota

	evidenceMu sync.Mutex
	evidenceAt map[bbrmember.Ref]bbrtype.Mono
}

// NewID makes an id for a new incarnation of an instance.
func NewID(name string) bbrtype.InstanceID {
	return bbrtype.InstanceID(name + "-" + randomText())
}

func randomText() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// New returns an instance that has not started.
func New(deps Deps, opts Options) *Instance {
	opts.Control.Nonce = randomText
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		deps: deps,
		opts: opts,
		self: opts.Control.Self,
		dialer: &bbrpool.Dialer{Clock: deps.Clock, Count: func(dial bbrmetric.DialFunc) bbrmetric.DialFunc {
			return deps.Metrics.CountDial(bbrmetric.LinkProbe, dial)
		}},
		ctx:        ctx,
		cancel:     cancel,
		control:    bbrcontrol.New(opts.Control),
		waiting:    map[bbrcontrol.RequestID]chan bbrcontrol.ConfigureDone{},
		left:       make(chan struct{}),
		evidenceAt: map[bbrmember.Ref]bbrtype.Mono{},
	}
	i.bodies = newBodies(i)
	i.probers = newProbers(i)
	i.quota = newQuota(i)
	return i
}

// Self returns how the instance is known to others.
func (i *Instance) Self() bbrjournal.Instance { return i.self }

// Start begins the instance's work. It does not wait for the store.
func (i *Instance) Start() {
	i.every(tickEvery, func() { i.step(bbrcontrol.Tick{}) })
	i.every(metricsEvery, i.reportMetrics)
	i.every(listEvery, i.readList)
	i.every(keepProbe, i.probers.sweep)
	i.deps.Group.Go(func() error {
		i.readList()
		i.carryOut(bbrcontrol.LoadSnapshot{})
		return nil
	})
	i.deps.Group.Go(func() error {
		i.bodies.run()
		return nil
	})
	i.deps.Group.Go(func() error {
		i.quota.run()
		return nil
	})
}

// every calls f again and again until the instance stops.
func (i *Instance) every(d time.Duration, f func()) {
	i.deps.Group.Go(func() error {
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-i.ctx.Done():
				return nil
			case <-t.C:
				f()
			}
		}
	})
}

// Leave gives up the steward's work, before callers are sent away.
func (i *Instance) Leave(ctx context.Context) {
	err := i.deps.List.Set(ctx, bbrstore.Listed{Name: i.self.Name, Address: i.self.Address, Leaving: true})
	if err != nil {
		i.deps.Log.WithError(err).Warn("instance not listed as leaving")
	}
	i.step(bbrcontrol.LeaveRequested{})
	for ctx.Err() == nil {
		i.mu.Lock()
		s := i.control.State()
		alone := len(s.Instances) <= 1
		steward := s.IsSteward(i.self.ID)
		i.mu.Unlock()
		if !steward || alone {
			return
		}
		time.Sleep(tickEvery)
	}
}

// Drained takes the instance out of the journal, after all callers have gone.
func (i *Instance) Drained(ctx context.Context) {
	i.quota.release(ctx)
	i.step(bbrcontrol.Drained{})
	select {
	case <-i.left:
	case <-ctx.Done():
		i.deps.Log.Warn("instance not removed from the journal in time")
	}
	if err := i.deps.List.Remove(ctx, i.self.Name); err != nil {
		i.deps.Log.WithError(err).Warn("instance not taken off the list")
	}
}

// Stop ends the instance's work.
func (i *Instance) Stop() {
	i.cancel()
	i.probers.close()
}

// step passes an event to the control logic and carries out its actions.
func (i *Instance) step(ev bbrcontrol.Event) {
	i.mu.Lock()
	actions := i.control.Step(i.deps.Clock.Now(), ev)
	i.publish()
	i.mu.Unlock()
	i.start(actions)
}

// publish makes the view known before any action tells others about it.
func (i *Instance) publish() {
	i.deps.Registry.SetJournalState(i.control.State(), i.control.AuthorityUntil())
}

// start carries out actions, those that wait for something in the background.
func (i *Instance) start(actions []bbrcontrol.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbrcontrol.RecordApplied:
			i.applied(a)
		case bbrcontrol.MemberStateReported:
			if g, ok := i.deps.Registry.Group(a.Ref.Group); ok {
				g.Observe(a.Ref.Member, a.State, a.AsOf)
			}
		case bbrcontrol.ConfigureDone:
			i.configureDone(a)
		case bbrcontrol.InstanceLeft:
			i.markLeft()
		case bbrcontrol.LogMessage:
			i.note(a)
		default:
			if i.ctx.Err() != nil {
				return
			}
			i.deps.Group.Go(func() error {
				i.carryOut(a)
				return nil
			})
		}
	}
}

func (i *Instance) markLeft() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.isLeft {
		i.isLeft = true
		close(i.left)
	}
}

func (i *Instance) note(n bbrcontrol.LogMessage) {
	f := logrus.Fields{"group": n.Group, "term": n.Term}
	if n.Subject != "" {
		f["member"] = n.Subject
	}
	if n.Duration > 0 {
		f["took"] = n.Duration.Round(time.Millisecond).String()
		i.deps.Metrics.Change(n.Group, n.Duration)
	}
	i.deps.Log.WithFields(f).Info(n.Text)
}

// applied reacts to a record of the journal.
func (i *Instance) applied(a bbrcontrol.RecordApplied) {
	i.bodies.wake()
	i.quota.wake()
	for _, e := range a.Entries {
		if named, ok := e.(bbrjournal.PrimaryNamed); ok {
			i.interruptReplaced(named)
		}
	}
	i.deps.Log.WithFields(logrus.Fields{"index": a.Record.Index, "entries": len(a.Entries)}).Debug("record applied")
}

// interruptReplaced wakes the statements that wait for a member which is not
// the primary any more.
func (i *Instance) interruptReplaced(named bbrjournal.PrimaryNamed) {
	g, ok := i.deps.Registry.Group(named.Group)
	jg := i.View().Group(named.Group)
	if !ok || jg == nil || len(jg.PrimaryTerms) < 2 {
		return
	}
	old := jg.PrimaryTerms[len(jg.PrimaryTerms)-2].Member
	if p := g.Pool(old); p != nil && old != named.Member {
		p.Interrupt()
	}
}

// carryOut runs one action that waits for something.
func (i *Instance) carryOut(a bbrcontrol.Action) {
	switch a := a.(type) {
	case bbrcontrol.ReadJournal:
		i.readHead(a)
	case bbrcontrol.LoadSnapshot:
		i.loadSnapshot()
	case bbrcontrol.SaveSnapshot:
		i.saveSnapshot(a)
	case bbrcontrol.Append:
		i.append(a)
	case bbrcontrol.Exchange:
		i.exchange(a)
	case bbrcontrol.Probe:
		i.probers.probe(a)
	case bbrcontrol.Promote:
		i.promote(a)
	case bbrcontrol.Follow:
		i.follow(a)
	case bbrcontrol.StoreHeartbeat:
		i.beat(a)
	case bbrcontrol.ReadHeartbeats:
		i.readBeats(a)
	case bbrcontrol.RevokeHeartbeats:
		i.revokeBeats(a)
	}
}

// Exchange answers a peer's message. It implements bbrpeer.Service.
func (i *Instance) Exchange(_ context.Context, m bbrcontrol.Message) (bbrcontrol.Message, error) {
	if i.ctx.Err() != nil {
		return bbrcontrol.Message{}, errors.New("the instance is stopping")
	}
	i.mu.Lock()
	reply, actions := i.control.HandleExchange(i.deps.Clock.Now(), m)
	i.publish()
	i.mu.Unlock()
	i.start(actions)
	return reply, nil
}

var _ bbrpeer.Service = (*Instance)(nil)

// MemberAnswered takes evidence from traffic. It implements bbrproxy.Evidence.
func (i *Instance) MemberAnswered(ref bbrmember.Ref) {
	now := i.deps.Clock.Now()
	i.evidenceMu.Lock()
	due := now.Sub(i.evidenceAt[ref]) >= evidenceEvery
	if due {
		i.evidenceAt[ref] = now
	}
	i.evidenceMu.Unlock()
	if due {
		i.step(bbrcontrol.MemberAnswered{Ref: ref})
	}
}

// MemberFailed takes evidence from traffic: a broken connection or a failed
// dial. The next probe may refute it.
func (i *Instance) MemberFailed(ref bbrmember.Ref, kind bbrmember.FailureKind) {
	i.step(bbrcontrol.MemberFailed{Ref: ref, Kind: kind})
}

func (i *Instance) configureDone(d bbrcontrol.ConfigureDone) {
	i.mu.Lock()
	ch := i.waiting[d.ID]
	delete(i.waiting, d.ID)
	i.mu.Unlock()
	if ch != nil {
		ch <- d
	}
}

// Configure puts a configuration in force: its body is stored first, then the
// journal names it. The context bounds the wait.
func (i *Instance) Configure(ctx context.Context, body []byte, cfg *bbrconfig.Config, entry bbrjournal.Configured) (bbrcontrol.ConfigureDone, error) {
	if err := i.deps.Bodies.PutConfiguration(ctx, body); err != nil {
		return bbrcontrol.ConfigureDone{Result: bbrcontrol.ConfigureConflict}, err
	}
	entry.Hash = bbrconfig.Hash(body)
	entry.Groups = cfg.Settings()
	i.bodies.keep(entry.Hash, body)
	id := bbrcontrol.RequestID(randomText())
	ch := make(chan bbrcontrol.ConfigureDone, 1)
	i.mu.Lock()
	i.waiting[id] = ch
	i.mu.Unlock()
	i.step(bbrcontrol.ConfigurationRequested{ID: id, Entry: entry})
	select {
	case d := <-ch:
		return d, nil
	case <-ctx.Done():
	}
	i.step(bbrcontrol.ConfigurationAbandoned{ID: id})
	select {
	case d := <-ch:
		return d, nil
	default:
		return bbrcontrol.ConfigureDone{Result: bbrcontrol.ConfigureUnknown}, nil
	}
}

// Spread tells which instances have a version or a later one in force.
func (i *Instance) Spread(version uint64) (inForce, missing []string) {
	now := i.deps.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, inst := range i.control.State().SortedInstances() {
		v, heard := i.control.ConfigVersionOf(inst.ID, now)
		if heard && v >= version {
			inForce = append(inForce, inst.Name)
		} else {
			missing = append(missing, inst.Name)
		}
	}
	return inForce, missing
}

// ConfigurationBody returns a configuration's body. It implements
// bbrpeer.Service.
func (i *Instance) ConfigurationBody(_ context.Context, hash string) ([]byte, error) {
	if b, ok := i.bodies.get(hash); ok {
		return b, nil
	}
	return nil, bbrpeer.ErrUnknownConfiguration
}

// FetchConfiguration returns a body from wherever it can be had.
func (i *Instance) FetchConfiguration(ctx context.Context, hash string) ([]byte, error) {
	return i.bodies.fetch(ctx, hash)
}

// Control calls f with the control logic, which must not be kept or changed.
func (i *Instance) Control(f func(c *bbrcontrol.Control, now bbrtype.Mono)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(i.control, i.deps.Clock.Now())
}

// View returns what the instance knows now.
func (i *Instance) View() *bbrgroup.View { return i.deps.Registry.View() }

// HasAuthority reports whether the instance may acknowledge writes now.
func (i *Instance) HasAuthority() bool { return i.deps.Clock.Now() < i.View().AuthorityUntil }
