// Package bbrtrial puts whole fleets together in one process, with stand-ins for
// databases and the platform, runs workloads against them, and judges the
// outcome by the members' logs. The demo and the experiment tool use it.
//
// # Usage
//
//	f, err := bbrtrial.NewFleet(ctx, bbrtrial.Small())
//	defer f.Close()
//	w := bbrtrial.NewWorkload(f, opts)
//	w.Run(ctx)
//	result := w.Judge()
package bbrtrial

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrkernel"
	"github.com/bluebellroute/bluebellroute/bbrsettings"
	"github.com/bluebellroute/bluebellroute/bbrstandindb"
	"github.com/bluebellroute/bluebellroute/bbrstandinplatform"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Member is a stand-in database of a fleet.
type Member struct {
	Ref    string
	Group  bbrtype.GroupName
	Name   bbrtype.MemberName
	Addr   string
	DB     *bbrstandindb.Database
	Server *bbrstandindb.Server
	killed bool
}

// Fleet is a running fleet.
type Fleet struct {
	Shape    Shape
	Platform *bbrstandinplatform.Platform
	Members  map[bbrtype.GroupName]map[bbrtype.MemberName]*Member
	Kernels  []*bbrkernel.Kernel
	// Config is the configuration in force.
	Config string
}

// NewFleet starts a fleet and waits until every group has a primary everywhere.
func NewFleet(ctx context.Context, s Shape) (*Fleet, error) {
	if s.Log == nil {
		quiet := logrus.New()
		quiet.SetLevel(logrus.PanicLevel)
		s.Log = quiet
	}
	f := &Fleet{Shape: s, Members: map[bbrtype.GroupName]map[bbrtype.MemberName]*Member{}}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var err error
	if f.Platform, err = bbrstandinplatform.Listen("127.0.0.1:0"); err != nil {
		return errors.Wrap(err, "start the platform")
	}
	for _, g := range f.Shape.Groups {
		if err := f.startGroup(g); err != nil {
			return err
		}
	}
	for n := range f.Shape.Instances {
		if _, err := f.StartInstance(ctx, n); err != nil {
			return err
		}
	}
	if f.Config, err = f.Shape.ConfigText(func(g bbrtype.GroupName, n int) string { return f.Members[g][memberName(n)].Addr }); err != nil {
		return err
	}
	if err := f.Apply(ctx, f.Config); err != nil {
		return err
	}
	return f.AwaitService(ctx)
}

// startGroup starts the members of a group. The first is the primary.
func (f *Fleet) startGroup(g bbrtype.GroupName) error {
	f.Members[g] = map[bbrtype.MemberName]*Member{}
	primary := ""
	for n := range f.Shape.Members {
		name := memberName(n)
		db := bbrstandindb.New(bbrstandindb.Options{
			Name: string(g) + "-" + string(name), Primary: n == 0, Follow: primary, Lag: f.Shape.Lag,
			MaxConnections: f.Shape.Connections, ConnectDelay: f.Shape.ConnectDelay,
			Slots: f.Shape.Slots, ServiceTime: f.Shape.ServiceTime,
		})
		srv, err := bbrstandindb.Listen(db, "127.0.0.1:0")
		if err != nil {
			return errors.Wrapf(err, "start member %s", name)
		}
		if n == 0 {
			primary = srv.Addr()
		}
		f.Members[g][name] = &Member{Group: g, Name: name, Addr: srv.Addr(), DB: db, Server: srv}
	}
	return nil
}

// StartInstance starts the n-th instance.
func (f *Fleet) StartInstance(ctx context.Context, n int) (*bbrkernel.Kernel, error) {
	s, problems := bbrsettings.Parse("trial", []byte(f.Shape.settingsText(n, f.Platform.Addr())))
	if len(problems) > 0 {
		return nil, errors.Wrap(problems[0], "settings of a trial instance")
	}
	if f.Shape.Tune != nil {
		f.Shape.Tune(s)
	}
	k, err := bbrkernel.New(s, f.Shape.Log)
	if err != nil {
		return nil, err
	}
	if err := k.Start(ctx); err != nil {
		return nil, err
	}
	for len(f.Kernels) <= n {
		f.Kernels = append(f.Kernels, nil)
	}
	f.Kernels[n] = k
	return k, nil
}

// Apply puts a configuration in force by way of the first running instance.
func (f *Fleet) Apply(ctx context.Context, text string) error {
	cfg, problems := bbrconfig.Parse("trial", []byte(text))
	if len(problems) > 0 {
		return errors.Wrap(problems[0], "configuration of a trial fleet")
	}
	for ctx.Err() == nil {
		k := f.anyKernel()
		v, _ := k.Instance().View().Journal.CurrentConfig()
		done, err := k.Instance().Configure(ctx, []byte(text), cfg, bbrjournal.Configured{Version: v.Version + 1, Author: "trial"})
		if err == nil && done.Result == "inForce" {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the trial's configuration could not be applied in time")
}

func (f *Fleet) anyKernel() *bbrkernel.Kernel {
	for _, k := range f.Kernels {
		if k != nil {
			return k
		}
	}
	return nil
}

// AwaitService waits until every instance knows a primary of each group, holds
// authority and has connections.
func (f *Fleet) AwaitService(ctx context.Context) error {
	for {
		if why := f.notServing(); why == "" {
			return nil
		} else if ctx.Err() != nil {
			return errors.Errorf("the trial fleet is not in service in time: %s", why)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *Fleet) notServing() string {
	for n, k := range f.Kernels {
		if k == nil {
			continue
		}
		if !k.Instance().HasAuthority() {
			return fmt.Sprintf("instance %d has no authority", n+1)
		}
		for _, g := range f.Shape.Groups {
			group, ok := k.Registry().Group(g)
			if !ok {
				return fmt.Sprintf("instance %d does not know group %s", n+1, g)
			}
			jg := k.Instance().View().Group(g)
			if _, ok := jg.Primary(); !ok {
				return fmt.Sprintf("instance %d knows no primary of %s", n+1, g)
			}
			for _, p := range group.Pools() {
				if p.Stats().Granted == 0 {
					return fmt.Sprintf("instance %d has no connections to %s", n+1, p.Ref().Member)
				}
			}
		}
	}
	return ""
}

// Primary returns the member that the journal names as a group's primary.
func (f *Fleet) Primary(g bbrtype.GroupName) *Member {
	best := bbrjournal.PrimaryTerm{}
	for _, k := range f.Kernels {
		if k == nil {
			continue
		}
		if jg := k.Instance().View().Group(g); jg != nil {
			if l, ok := jg.LastPrimary(); ok && l.Term >= best.Term {
				best = l
			}
		}
	}
	return f.Members[g][best.Member]
}

// Kill ends a member as if its process was killed. Its log stays readable.
func (m *Member) Kill() {
	m.killed = true
	m.Server.Close()
}

// Revive starts a killed member's server again at the same address.
func (m *Member) Revive() error {
	srv, err := bbrstandindb.Listen(m.DB, m.Addr)
	if err != nil {
		return errors.Wrapf(err, "revive member %s", m.Name)
	}
	m.Server, m.killed = srv, false
	return nil
}

// URL implements System.
func (f *Fleet) URL(n int, caller string, g bbrtype.GroupName) string {
	return callerURL(f.Kernels[n].CallerAddress(), caller, g)
}

// Groups implements System.
func (f *Fleet) Groups() []bbrtype.GroupName { return f.Shape.Groups }

// Instances implements System.
func (f *Fleet) Instances() int { return len(f.Kernels) }

// SurvivingLog implements System.
func (f *Fleet) SurvivingLog(g bbrtype.GroupName) ([]bbrstandindb.LogEntry, error) {
	return f.Primary(g).DB.Log(), nil
}

// Reads implements System.
func (f *Fleet) Reads() (primary, replica int64) {
	for _, g := range f.Members {
		for _, m := range g {
			p, r := m.DB.Reads()
			primary += p
			replica += r
		}
	}
	return primary, replica
}

// PeakConnections implements System.
func (f *Fleet) PeakConnections() int {
	peak := 0
	for _, g := range f.Members {
		for _, m := range g {
			peak = max(peak, m.Server.PeakConnections())
		}
	}
	return peak
}

// Close ends everything.
func (f *Fleet) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, k := range f.Kernels {
		if k != nil {
			_ = k.Stop(ctx)
		}
	}
	for _, g := range f.Members {
		for _, m := range g {
			if !m.killed {
				m.Server.Close()
			}
		}
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
}
