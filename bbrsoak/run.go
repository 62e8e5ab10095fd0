package bbrsoak

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Fleet is a fleet of processes that a plan strikes.
type Fleet interface {
	// Begin lets a fault begin, End ends it. A fault that finds nothing to strike
	// does nothing.
	Begin(f Fault) error
	End(f Fault) error
	// Work runs callers until ctx ends.
	Work(ctx context.Context)
	// AwaitService waits until every instance serves everything again.
	AwaitService(ctx context.Context) error
	// Judge returns what was seen.
	Judge() (Result, error)
	// Close ends all processes.
	Close()
}

// Result is what a run showed.
type Result struct {
	Seed uint64 `json:"seed"`
	// Broken names each promise that was broken, with an example.
	Broken []string `json:"broken,omitempty"`
	// Done, NotRun and Unknown count writes by what the caller was told.
	Done    int `json:"done"`
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	Reads   int `json:"reads"`
	// LongestGap is the longest time without a write that was acknowledged.
	LongestGap time.Duration `json:"longestGapNs"`
}

const (
	// servicePatience bounds the wait for service after the last fault.
	servicePatience = 45 * time.Second
	// calmAfter is how long callers go on after it.
	calmAfter = 2 * time.Second
)

// ErrNoService is returned if service does not resume once all faults are over.
var ErrNoService = errors.New("service does not resume once the faults are over")

// Run strikes a fleet by a plan while callers work, and judges what they were told.
func Run(ctx context.Context, fleet Fleet, p Plan) (Result, error) {
	working, stop := context.WithCancel(ctx)
	defer stop()
	var work errgroup.Group
	work.Go(func() error {
		fleet.Work(working)
		return nil
	})
	err := strike(ctx, fleet, p)
	if err == nil {
		err = awaitService(ctx, fleet)
	}
	if err == nil {
		bbrtype.Sleep(ctx, calmAfter)
	}
	stop()
	_ = work.Wait()
	if err != nil && !errors.Is(err, ErrNoService) {
		return Result{Seed: p.Seed}, err
	}
	result, judgeErr := fleet.Judge()
	result.Seed = p.Seed
	if err != nil {
		result.Broken = append(result.Broken, err.Error())
	}
	return result, judgeErr
}

func awaitService(ctx context.Context, fleet Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, servicePatience)
	defer cancel()
	if err := fleet.AwaitService(ctx); err != nil {
		return errors.Wrap(ErrNoService, err.Error())
	}
	return nil
}

// step is the beginning or the end of a fault.
type step struct {
	at time.Duration
	do func(Fault) error
	f  Fault
}

// strike lets the faults of a plan begin and end at their times.
func strike(ctx context.Context, fleet Fleet, p Plan) error {
	began := time.Now()
	for _, s := range steps(fleet, p) {
		bbrtype.Sleep(ctx, time.Until(began.Add(s.at)))
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "the soak was ended")
		}
		if err := s.do(s.f); err != nil {
			return errors.Wrapf(err, "fault %s of %d", s.f.Kind, s.f.Target)
		}
	}
	return nil
}

// steps orders the beginnings and ends of a plan's faults.
func steps(fleet Fleet, p Plan) []step {
	var out []step
	for _, f := range p.Faults {
		out = append(out, step{at: f.At, do: fleet.Begin, f: f}, step{at: f.end(), do: fleet.End, f: f})
	}
	slices.SortStableFunc(out, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return out
}
