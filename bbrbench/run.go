package bbrbench

import (
	"context"
	"encoding/json"
	"os"
	"runtime"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrtrial"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Request asks for a run of an experiment.
type Request struct {
	Experiment string        `json:"experiment"`
	Deployment Deployment    `json:"deployment"`
	Policy     Policy        `json:"policy"`
	Seed       uint64        `json:"seed"`
	Duration   time.Duration `json:"duration"`
	// Instances changes the number of instances. 0 leaves it.
	Instances int `json:"instances,omitempty"`

	Programs bbrtrial.Programs `json:"-"`
	// Progress is told the time that has passed.
	Progress func(passed time.Duration) `json:"-"`
}

// Machine is where a run was made.
type Machine struct {
	Cores int    `json:"cores"`
	Go    string `json:"go"`
	OS    string `json:"os"`
}

// thisMachine describes the machine.
func thisMachine() Machine {
	return Machine{Cores: runtime.NumCPU(), Go: runtime.Version(), OS: runtime.GOOS + "/" + runtime.GOARCH}
}

// Report is the result of a run.
type Report struct {
	Request Request `json:"request"`
	Machine Machine `json:"machine"`
	// StolenPercent is the part of the processor time that the machine's host
	// gave to others during the run.
	StolenPercent float64          `json:"stolenPercent"`
	Result        *bbrtrial.Result `json:"result"`
	// GapsMs are the longest times without an acknowledged write after each
	// fault, in milliseconds.
	GapsMs []int64 `json:"gapsMs,omitempty"`
	// SpreadMs are the times until a configuration was in force everywhere.
	SpreadMs []int64            `json:"spreadMs,omitempty"`
	Extra    map[string]float64 `json:"extra,omitempty"`
	// Timeline counts acknowledged writes of each group by tenths of a second.
	Timeline map[bbrtype.GroupName][]int `json:"timeline,omitempty"`
}

// MedianGapMs returns the median gap, 0 if there is none.
func (r *Report) MedianGapMs() int64 { return median(r.GapsMs) }

func median(list []int64) int64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// run is an experiment under way.
type run struct {
	request  Request
	fleet    *bbrtrial.ProcessFleet
	workload *bbrtrial.Workload
	gaps     []int64
	spread   []int64
	extra    map[string]float64
}

// Run runs an experiment.
func Run(ctx context.Context, q Request) (*Report, error) {
	e, ok := Experiments()[q.Experiment]
	if !ok {
		return nil, errors.Errorf("there is no experiment %q: known are %v", q.Experiment, Names())
	}
	shape, ok := shapeOf(q.Deployment)
	if !ok {
		return nil, errors.Errorf("there is no deployment %q: known are %s and %s", q.Deployment, DeploymentTrentvale, DeploymentCedarsteam)
	}
	e.Shape(&shape)
	q.Policy.apply(&shape)
	if q.Instances > 0 {
		shape.Instances = q.Instances
	}
	shape.Stderr = nil
	f, err := bbrtrial.NewProcessFleet(ctx, shape, q.Programs)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	load := e.Load
	load.Seed = q.Seed
	r := &run{request: q, fleet: f, workload: bbrtrial.NewWorkload(f, load), extra: map[string]float64{}}
	if err := r.workload.Prepare(ctx); err != nil {
		return nil, err
	}
	return r.measure(ctx, e)
}

// measure runs the load beside the disturbance and judges.
func (r *run) measure(ctx context.Context, e Experiment) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, warmUp+r.request.Duration)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		r.workload.Run(ctx)
		return nil
	})
	r.progress(ctx, &group)
	if !wait(ctx, warmUp) {
		return nil, errors.New("the experiment was interrupted")
	}
	r.workload.ResetLatency()
	primary, replica := r.fleet.Reads()
	before := readProcessorTime()
	measured := time.Now()
	if e.Disturb != nil {
		if err := e.Disturb(ctx, r); err != nil {
			cancel()
			_ = group.Wait()
			return nil, errors.Wrapf(err, "experiment %s", e.Name)
		}
	}
	<-ctx.Done()
	if err := group.Wait(); err != nil {
		return nil, err
	}
	stolen := readProcessorTime().stolenSince(before)
	primaryAfter, replicaAfter := r.fleet.Reads()
	time.Sleep(settle)
	result, err := r.workload.Judge()
	if err != nil {
		return nil, err
	}
	if p, q := primaryAfter-primary, replicaAfter-replica; p+q > 0 && p >= 0 && q >= 0 {
		result.ReplicaReadShare = float64(q) / float64(p+q)
	}
	return &Report{
		Request: r.request, Machine: thisMachine(), StolenPercent: stolen, Result: result, GapsMs: r.gaps, SpreadMs: r.spread, Extra: r.extra,
		Timeline: r.workload.Timeline(measured, r.request.Duration),
	}, nil
}

// progress tells how far the run is.
func (r *run) progress(ctx context.Context, group *errgroup.Group) {
	if r.request.Progress == nil {
		return
	}
	started := time.Now()
	group.Go(func() error {
		for wait(ctx, 200*time.Millisecond) {
			r.request.Progress(time.Since(started))
		}
		return nil
	})
}

// Save writes reports to a file.
func Save(file string, reports []*Report) error {
	b, err := json.MarshalIndent(reports, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode the reports")
	}
	return errors.Wrap(os.WriteFile(file, append(b, '\n'), 0o644), "write the reports")
}

// Load reads reports from a file.
func Load(file string) ([]*Report, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the reports")
	}
	var out []*Report
	return out, errors.Wrapf(json.Unmarshal(b, &out), "%s is not a list of reports", file)
}
