package bbrcommand

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrfuzz"
)

// fuzzReport is the pause between two reports of progress.
const fuzzReport = 10 * time.Second

func fuzzCommand() *cli.Command {
	return &cli.Command{
		Name:  "fuzz",
		Usage: "run the decision logic of several instances under random faults, against an oracle",
		Description: "Each run has a seed of its own, counted up from --seed. The first broken promise ends the command " +
			"with exit code 1, the run's seed and a trace.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the first run"},
			&cli.IntFlag{Name: "steps", Value: 200000, Usage: "events of each run before its faults end"},
			&cli.DurationFlag{Name: "duration", Value: time.Minute, Usage: "how long to start new runs"},
			&cli.IntFlag{Name: "runs", Usage: "`NUMBER` of runs, instead of --duration"},
			&cli.IntFlag{Name: "workers", Value: runtime.NumCPU() / 2, Usage: "runs at the same time"},
			&cli.IntFlag{Name: "instances", Value: 5},
			&cli.IntFlag{Name: "members", Value: 3},
			&cli.BoolFlag{Name: "unconfirmed", Usage: "acknowledge writes that no replica holds"},
			&cli.BoolFlag{Name: "termless", Usage: "members do not know terms"},
		},
		Action: fuzz,
	}
}

// fuzzRun is the outcome of all runs.
type fuzzRun struct {
	steps, runs atomic.Int64
	mu          sync.Mutex
	failure     string
}

func fuzz(ctx context.Context, cmd *cli.Command) error {
	var out fuzzRun
	next := atomic.Uint64{}
	next.Store(cmd.Uint64("seed"))
	runs := cmd.Int("runs")
	until := time.Now().Add(cmd.Duration("duration"))
	goesOn := func(seed uint64) bool {
		out.mu.Lock()
		defer out.mu.Unlock()
		if out.failure != "" || ctx.Err() != nil {
			return false
		}
		if runs > 0 {
			return seed < cmd.Uint64("seed")+uint64(runs)
		}
		return time.Now().Before(until)
	}
	started := time.Now()
	var group errgroup.Group
	for range max(1, cmd.Int("workers")) {
		group.Go(func() error {
			for {
				seed := next.Add(1) - 1
				if !goesOn(seed) {
					return nil
				}
				out.run(cmd, seed)
			}
		})
	}
	done := make(chan struct{})
	var reporter errgroup.Group
	reporter.Go(func() error {
		t := time.NewTicker(fuzzReport)
		defer t.Stop()
		for {
			select {
			case <-done:
				return nil
			case <-t.C:
				_, _ = fmt.Fprintf(cmd.Root().ErrWriter, "%d runs, %d steps\n", out.runs.Load(), out.steps.Load())
			}
		}
	})
	_ = group.Wait()
	close(done)
	_ = reporter.Wait()
	_, _ = fmt.Fprintf(cmd.Root().Writer, "%d runs, %d steps in %v\n", out.runs.Load(), out.steps.Load(), time.Since(started).Round(time.Second))
	if out.failure != "" {
		return failWith(ExitFailed, "%s", out.failure)
	}
	return nil
}

// run runs one seed.
func (o *fuzzRun) run(cmd *cli.Command, seed uint64) {
	w := bbrfuzz.NewWorld(bbrfuzz.Options{
		Seed: seed, Instances: cmd.Int("instances"), Members: cmd.Int("members"),
		Unconfirmed: cmd.Bool("unconfirmed"), Termless: cmd.Bool("termless"),
	})
	err := w.Run(cmd.Int("steps"))
	o.steps.Add(int64(w.Steps()))
	o.runs.Add(1)
	if err == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failure == "" {
		o.failure = fmt.Sprintf("seed %d: %v\n%s", seed, err, w.Trace())
	}
}
