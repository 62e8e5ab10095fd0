package bbrcommand

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrsettings"
	"github.com/bluebellroute/bluebellroute/bbrtrial"
)

// demoGroup is the group whose primary is killed.
const demoGroup = "orders"

// demoCallers is the number of callers of the demo's workload.
const demoCallers = 8

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet with stand-ins in this process",
		Description: "Three instances, three members and a platform. A short workload runs, and a primary is killed. " +
			"Without --duration the fleet stays up until it is interrupted. Exit code 1 if a promise was broken.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "how long the workload runs; the demo ends after it"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the workload"},
			&cli.BoolFlag{Name: "verbose", Usage: "log what the instances do"},
			jsonFlag(),
		},
		Action: demo,
	}
}

func demo(ctx context.Context, cmd *cli.Command) error {
	out := cmd.Root().Writer
	shape := bbrtrial.Small()
	shape.Confirm = 1
	if cmd.Bool("verbose") {
		shape.Log = newLog(cmd.Root().ErrWriter, logrus.InfoLevel, bbrsettings.LogText)
	}
	f, err := bbrtrial.NewFleet(ctx, shape)
	if err != nil {
		return failWith(ExitFailed, "%v", err)
	}
	defer f.Close()
	quiet := cmd.Bool("json")
	if !quiet {
		describeFleet(out, f)
	}
	duration := cmd.Duration("duration")
	stays := duration == 0
	if stays {
		duration = 10 * time.Second
	}
	result, err := demoWorkload(ctx, f, duration, cmd.Uint64("seed"))
	if err != nil {
		return failWith(ExitFailed, "%v", err)
	}
	if quiet {
		err = writeJSON(out, result)
	} else {
		describeResult(out, result)
	}
	if err != nil {
		return err
	}
	if result.Broken() > 0 {
		return failWith(ExitFailed, "%d promises were broken", result.Broken())
	}
	if stays {
		_, _ = fmt.Fprintln(out, "the fleet stays up until it is interrupted")
		<-ctx.Done()
	}
	return nil
}

// demoWorkload runs callers for a while and kills a primary in the middle.
func demoWorkload(ctx context.Context, f *bbrtrial.Fleet, d time.Duration, seed uint64) (*bbrtrial.Result, error) {
	w := bbrtrial.NewWorkload(f, bbrtrial.Load{
		Callers: demoCallers, Rate: 400, WriteShare: 0.2, KeyedShare: 0.5, OwnShare: 0.3,
		MoveShare: 0.02, TokenShare: 0.5, Seed: seed,
	})
	if err := w.Prepare(ctx); err != nil {
		return nil, err
	}
	run, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	ended := make(chan struct{})
	timer := time.AfterFunc(d/2, func() {
		defer close(ended)
		f.Primary(demoGroup).Kill()
	})
	defer timer.Stop()
	killedAt := time.Now().Add(d / 2)
	w.Run(run)
	if ctx.Err() == nil {
		<-ended
	}
	r, err := w.Judge()
	if err != nil {
		return nil, err
	}
	r.FailoverGapMs = w.Gap(demoGroup, killedAt).Milliseconds()
	return r, nil
}

func describeFleet(w io.Writer, f *bbrtrial.Fleet) {
	_, _ = fmt.Fprintf(w, "platform   %s\n", f.Platform.Addr())
	for _, g := range f.Shape.Groups {
		for _, m := range f.Members[g] {
			_, _ = fmt.Fprintf(w, "member     %s/%s %s\n", g, m.Name, m.Addr)
		}
	}
	for _, k := range f.Kernels {
		_, _ = fmt.Fprintf(w, "instance   callers %s  control %s\n", k.CallerAddress(), k.ControlAddress())
	}
	_, _ = fmt.Fprintf(w, "connect    psql '%s'\n", f.URL(0, "staff", demoGroup))
}

func describeResult(w io.Writer, r *bbrtrial.Result) {
	_, _ = fmt.Fprintf(w, "statements             %d\n", r.Statements)
	_, _ = fmt.Fprintf(w, "acknowledged writes    %d, lost %d\n", r.AcknowledgedWrites, r.LostAcknowledgedWrites)
	_, _ = fmt.Fprintf(w, "stale reads            %d\n", r.StaleReads)
	_, _ = fmt.Fprintf(w, "double runs            %d\n", r.DoubleRuns)
	_, _ = fmt.Fprintf(w, "false \"not run\"        %d\n", r.FalseNotRuns)
	_, _ = fmt.Fprintf(w, "unknown outcomes       %d\n", r.UnknownOutcomes)
	_, _ = fmt.Fprintf(w, "reads by replicas      %.1f %%\n", 100*r.ReplicaReadShare)
	_, _ = fmt.Fprintf(w, "failover gap           %d ms\n", r.FailoverGapMs)
	for _, e := range r.Examples {
		_, _ = fmt.Fprintln(w, "broken:", e)
	}
}
