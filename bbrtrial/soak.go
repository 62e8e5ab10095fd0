package bbrtrial

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrsoak"
	"github.com/bluebellroute/bluebellroute/bbrstandinplatform"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// SoakOptions shape a fleet of the PostgreSQL programs for a soak.
type SoakOptions struct {
	Programs                    Programs
	Instances, Members, Callers int
	Seed                        uint64
	// Logs takes what the processes write.
	Logs io.Writer
}

const (
	// soakPause is the time between two operations of a caller, on average.
	soakPause = 15 * time.Millisecond
	// soakLag is how far replicas are behind while a member is delayed.
	soakLag = 500 * time.Millisecond
	// applyPatience bounds the applying of a configuration during a soak.
	applyPatience = 3 * time.Second
	// stopPatience bounds the end of a process that was told to stop.
	stopPatience = 10 * time.Second
)

// SoakFleet lets a plan of faults strike a fleet of the PostgreSQL programs.
type SoakFleet struct {
	*ProcessFleet
	work    *Workload
	began   time.Time
	group   bbrtype.GroupName
	strikes bbrsoak.Strikes
}

var _ bbrsoak.Fleet = (*SoakFleet)(nil)

// NewSoakFleet starts a fleet and waits until it serves.
func NewSoakFleet(ctx context.Context, o SoakOptions) (*SoakFleet, error) {
	s := Small()
	s.Instances, s.Members, s.Links, s.Confirm, s.Stderr = o.Instances, o.Members, true, 1, o.Logs
	fleet, err := NewProcessFleet(ctx, s, o.Programs)
	if err != nil {
		return nil, err
	}
	w := NewWorkload(fleet, Load{
		Callers: o.Callers, Rate: float64(o.Callers) / soakPause.Seconds(),
		WriteShare: 0.4, KeyedShare: 0.3, OwnShare: 0.7, MoveShare: 0.05, TokenShare: 1, Seed: o.Seed,
	})
	if err := w.Prepare(ctx); err != nil {
		fleet.Close()
		return nil, err
	}
	return &SoakFleet{ProcessFleet: fleet, work: w, began: time.Now(), group: s.Groups[0]}, nil
}

// Work implements bbrsoak.Fleet.
func (f *SoakFleet) Work(ctx context.Context) { f.work.Run(ctx) }

// Judge implements bbrsoak.Fleet.
func (f *SoakFleet) Judge() (bbrsoak.Result, error) {
	r, err := f.work.Judge()
	if err != nil {
		return bbrsoak.Result{}, err
	}
	out := bbrsoak.Result{
		Done: r.AcknowledgedWrites, Unknown: r.UnknownOutcomes, Reads: int(r.Statements) - len(f.work.attempts),
		NotRun: len(f.work.attempts) - r.AcknowledgedWrites - r.UnknownOutcomes, LongestGap: f.work.Gap(f.group, f.began),
	}
	if r.Broken() > 0 {
		out.Broken = append(out.Broken, fmt.Sprintf("lost %d, stale %d, twice %d, falsely not run %d", r.LostAcknowledgedWrites, r.StaleReads, r.DoubleRuns, r.FalseNotRuns))
		out.Broken = append(out.Broken, r.Examples...)
	}
	return out, nil
}

// Begin implements bbrsoak.Fleet.
func (f *SoakFleet) Begin(fault bbrsoak.Fault) error { return f.strikes.Begin(fault, f.begin) }

// End implements bbrsoak.Fleet.
func (f *SoakFleet) End(fault bbrsoak.Fault) error { return f.strikes.End(fault) }

// begin lets a fault begin and returns what ends it, nil if nothing does. Members of
// this dialect do not leave by themselves.
func (f *SoakFleet) begin(fault bbrsoak.Fault) (func() error, error) {
	n := fault.Target % f.shape.Instances
	i := soakInstance{f.ProcessFleet, n}
	switch fault.Kind {
	case bbrsoak.KindStop:
		return bbrsoak.StrikeDown(syscall.SIGTERM, stopPatience, i), nil
	case bbrsoak.KindKill:
		return bbrsoak.StrikeDown(syscall.SIGKILL, stopPatience, i), nil
	case bbrsoak.KindKillAll:
		return bbrsoak.StrikeDown(syscall.SIGKILL, stopPatience, f.all()...), nil
	case bbrsoak.KindFreeze:
		return bbrsoak.Freeze(i), nil
	case bbrsoak.KindReload:
		i.Process().Signal(syscall.SIGHUP)
	case bbrsoak.KindConfigure:
		f.applyAside()
	case bbrsoak.KindStoreCut:
		return f.failStore(bbrstandinplatform.ModeHang, fmt.Sprintf("i%d", n+1))
	case bbrsoak.KindStoreDown:
		return f.failStore(bbrstandinplatform.ModeDown, "")
	case bbrsoak.KindStoreSlow:
		return f.failStore(bbrstandinplatform.ModeSlow, "")
	case bbrsoak.KindStoreLost:
		return f.failStore(bbrstandinplatform.ModeLoseReply, "")
	case bbrsoak.KindDelay:
		f.SetLag(f.group, soakLag)
		return func() error { f.SetLag(f.group, f.shape.Lag); return nil }, nil
	case bbrsoak.KindReset, bbrsoak.KindReplicaCut, bbrsoak.KindPrimaryCut:
		return f.cut(fault), nil
	}
	return nil, nil
}

// cut resets the connections to a member, or silences the way to it. When a cut is
// over the member drops the connections that went silent.
func (f *SoakFleet) cut(fault bbrsoak.Fault) func() error {
	members := f.Members(f.group)
	m := members[fault.Target%len(members)]
	if fault.Kind == bbrsoak.KindPrimaryCut {
		p, err := f.Primary(f.group)
		if err != nil {
			return nil // nobody leads at the moment
		}
		m = p
	}
	if fault.Kind == bbrsoak.KindReset {
		m.Link().Reset()
		return nil
	}
	m.Link().Cut()
	return func() error {
		m.Link().Restore()
		m.Link().Reset()
		return nil
	}
}

// failStore lets the store fail for all instances, or for the one of a name.
func (f *SoakFleet) failStore(m bbrstandinplatform.Mode, client string) (func() error, error) {
	fault := bbrstandinplatform.Fault{Service: bbrstandinplatform.ServiceTable, Mode: m, Client: client, DelayMs: 400}
	if err := f.Fault(fault); err != nil {
		return nil, err
	}
	fault.Mode = bbrstandinplatform.ModeNone
	return func() error { return f.Fault(fault) }, nil
}

// applyAside applies the configuration once more. That it fails while instances are
// away is no fault.
func (f *SoakFleet) applyAside() {
	f.ProcessFleet.group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), applyPatience)
		defer cancel()
		_ = f.Apply(ctx, f.text)
		return nil
	})
}

// soakInstance is an instance of a fleet.
type soakInstance struct {
	fleet *ProcessFleet
	n     int
}

// Process implements bbrsoak.Instance.
func (i soakInstance) Process() bbrsoak.Process {
	c := i.fleet.instance(i.n)
	return bbrsoak.Process{Cmd: c.cmd, Done: c.done}
}

// Start implements bbrsoak.Instance.
func (i soakInstance) Start() error {
	return errors.Wrap(i.fleet.StartInstance(i.n), "start an instance again")
}

// all returns all instances.
func (f *SoakFleet) all() []bbrsoak.Instance {
	out := make([]bbrsoak.Instance, f.shape.Instances)
	for n := range out {
		out[n] = soakInstance{f.ProcessFleet, n}
	}
	return out
}
