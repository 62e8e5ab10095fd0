package bbrcapacity

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrtrial"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Steps of the axes. The grid's last size is that of a planned cell.
var (
	gridInstances  = []int{3, 5, 8}
	gridGroups     = []int{3, 9, 19}
	callerSteps    = []int{0, 300, 900}
	statementSteps = []float64{0, 200, 600}
	changeSteps    = []float64{0, 0.5, 1.5}
	cellStatements = 60.0
	stateSteps     = []Document{{Instances: 8, Groups: 19}, {Instances: 80, Groups: 190}, {Instances: 800, Groups: 1900}}
)

// Sizes of the fleets on the axes that vary something else.
const (
	axisInstances = 3
	axisGroups    = 3
)

// settleTime lets a fleet come to rest before it is measured.
const settleTime = 3 * time.Second

// Request asks for a measurement.
type Request struct {
	Programs bbrtrial.Programs
	// Window is how long each fleet is measured.
	Window time.Duration
	// Axes restricts the measurement to some axes, Instances to the fleets of
	// that many. Empty and 0 mean all.
	Axes      []Axis
	Instances int
	// Progress is told which fleet is measured.
	Progress func(what string)
}

// Measure measures all steps.
func Measure(ctx context.Context, q Request) (*Measurement, error) {
	m := &Measurement{Cores: runtime.NumCPU(), Go: runtime.Version()}
	var err error
	if m.States, err = measureStates(); err != nil {
		return nil, err
	}
	if m.Configurations, err = measureConfigurations(); err != nil {
		return nil, err
	}
	for _, step := range steps() {
		if !q.wants(step) {
			continue
		}
		q.Progress(fmt.Sprintf("%s %+v", step.Axis, step.Size))
		s, err := measureFleet(ctx, q, step)
		if err != nil {
			return nil, errors.Wrapf(err, "%s %+v", step.Axis, step.Size)
		}
		m.Samples = append(m.Samples, *s)
	}
	return m, nil
}

// wants reports whether a step is asked for.
func (q Request) wants(s Sample) bool {
	return (len(q.Axes) == 0 || slices.Contains(q.Axes, s.Axis)) && (q.Instances == 0 || q.Instances == s.Size.Instances)
}

// steps lists the sizes to measure.
func steps() []Sample {
	var out []Sample
	members := bbrtrial.Small().Members
	for _, n := range gridInstances {
		for _, g := range gridGroups {
			out = append(out, Sample{Axis: AxisGrid, Size: Size{Instances: n, Groups: g, Members: members}})
		}
	}
	base := Size{Instances: axisInstances, Groups: axisGroups, Members: members}
	for _, n := range callerSteps {
		s := base
		s.CallersEach = float64(n)
		out = append(out, Sample{Axis: AxisCallers, Size: s})
	}
	for _, n := range statementSteps {
		s := base
		s.StatementsEach = n
		out = append(out, Sample{Axis: AxisStatements, Size: s})
	}
	for _, n := range changeSteps {
		s := base
		s.Changes = n
		out = append(out, Sample{Axis: AxisChanges, Size: s})
	}
	cell := PlannedSize().CellSize()
	out = append(out, Sample{Axis: AxisCell, Size: Size{
		Instances: cell.Instances, Groups: cell.Groups, Members: cell.Members, StatementsEach: cellStatements,
	}})
	return out
}

// shapeOf returns a fleet of a size.
func shapeOf(s Size) bbrtrial.Shape {
	shape := bbrtrial.Trentvale()
	shape.Instances, shape.Members = s.Instances, s.Members
	shape.Connections = 60
	shape.Slots = 8
	shape.FarDelay = 0
	shape.ServiceTime = 0
	shape.Groups = nil
	for n := range s.Groups {
		shape.Groups = append(shape.Groups, bbrtype.GroupName(fmt.Sprintf("group%04d", n)))
	}
	return shape
}

// measureFleet starts a fleet and reads its instances' metrics twice.
func measureFleet(ctx context.Context, q Request, step Sample) (*Sample, error) {
	f, err := bbrtrial.NewProcessFleet(ctx, shapeOf(step.Size), q.Programs)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	conns, err := connect(ctx, f, int(step.Size.CallersEach))
	if err != nil {
		return nil, err
	}
	defer func() {
		for _, c := range conns {
			_ = c.Close(context.Background())
		}
	}()
	child, cancel := context.WithTimeout(ctx, settleTime+q.Window)
	defer cancel()
	var group errgroup.Group
	if err := load(child, &group, f, step.Size); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	before, err := scrapeAll(f)
	if err != nil {
		return nil, err
	}
	<-child.Done()
	after, err := scrapeAll(f)
	if err != nil {
		return nil, err
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	out := step
	out.take(before, after)
	return &out, ctx.Err()
}

// connect opens idle connections to each instance.
func connect(ctx context.Context, f *bbrtrial.ProcessFleet, each int) ([]*pgconn.PgConn, error) {
	var out []*pgconn.PgConn
	for n := range f.Instances() {
		for k := range each {
			c, err := pgconn.Connect(ctx, f.URL(n, "staff", f.Groups()[k%len(f.Groups())]))
			if err != nil {
				return out, errors.Wrap(err, "connect a caller")
			}
			out = append(out, c)
		}
	}
	return out, nil
}

// load starts the statements and the configurations of a size.
func load(ctx context.Context, group *errgroup.Group, f *bbrtrial.ProcessFleet, s Size) error {
	if s.StatementsEach > 0 {
		w := bbrtrial.NewWorkload(f, bbrtrial.Load{
			Callers: 16 * s.Instances, Rate: s.StatementsEach * float64(s.Instances), WriteShare: 0.1, OwnShare: 0.3, Seed: 1,
		})
		if err := w.Prepare(ctx); err != nil {
			return err
		}
		group.Go(func() error {
			w.Run(ctx)
			return nil
		})
	}
	if s.Changes > 0 {
		group.Go(func() error { return change(ctx, f, s.Changes) })
	}
	return nil
}

// change applies configurations at a rate.
func change(ctx context.Context, f *bbrtrial.ProcessFleet, rate float64) error {
	t := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		text := fmt.Sprintf("%s[tenant change%d]\npatience = 1s\n", f.Text(), n)
		if err := f.Apply(ctx, text); err != nil && ctx.Err() == nil {
			return err
		}
	}
}

func scrapeAll(f *bbrtrial.ProcessFleet) ([]*counts, error) {
	var out []*counts
	for n := range f.Instances() {
		c, err := scrape(f.ControlAddress(n))
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

// take works out what the instances spent.
func (s *Sample) take(before, after []*counts) {
	share := 1 / float64(len(before))
	for i := range before {
		spent := spentBetween(before[i], after[i])
		for _, q := range quantities {
			*q.of(&s.Mean) += share * *q.of(&spent)
			*q.of(&s.Worst) = max(*q.of(&s.Worst), *q.of(&spent))
		}
	}
}
