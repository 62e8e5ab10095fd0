// Command bbrsoak runs fleets of real processes under random faults and checks the
// promises.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrsoak"
	"github.com/bluebellroute/bluebellroute/bbrtrial"
	"github.com/bluebellroute/bluebellroute/platform/trial"
)

// Dialects of a soak.
const (
	dialectPlatform = "platform"
	dialectPostgres = "postgres"
)

// errBroken is returned if a promise was broken.
var errBroken = errors.New("a promise was broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	app := &cli.Command{
		Name:  "bbrsoak",
		Usage: "run fleets of processes under random faults and check the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "programs", Usage: "`DIR` with the built programs bbrnode, bluebellroute and standin", Value: "target"},
			&cli.StringFlag{Name: "dialect", Usage: dialectPlatform + " or " + dialectPostgres, Value: dialectPlatform},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first run; 0 draws one"},
			&cli.IntFlag{Name: "runs", Usage: "number of runs, each with the next seed", Value: 1},
			&cli.DurationFlag{Name: "span", Usage: "time in which faults begin", Value: 15 * time.Second},
			&cli.IntFlag{Name: "instances", Value: 3},
			&cli.IntFlag{Name: "members", Value: 3},
			&cli.IntFlag{Name: "callers", Value: 12},
			&cli.IntFlag{Name: "tenants", Usage: "number of tenants; with 0 callers are not identified (" + dialectPlatform + " only)"},
			&cli.StringSliceFlag{Name: "kind", Usage: "restrict the faults to a kind; may be repeated"},
			&cli.StringFlag{Name: "logs", Usage: "`FILE` that takes what the instances write"},
			&cli.BoolFlag{Name: "plan", Usage: "print the plan and end"},
		},
		Action: soak,
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bbrsoak:", err)
		os.Exit(1)
	}
}

// soak runs the plans of some seeds and prints a line for each.
func soak(ctx context.Context, cmd *cli.Command) error {
	o, err := planOptions(cmd)
	if err != nil {
		return err
	}
	logs, err := logFile(cmd.String("logs"))
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	first := cmd.Uint64("seed")
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	out := json.NewEncoder(os.Stdout)
	broken := false
	for n := range cmd.Int("runs") {
		plan := bbrsoak.NewPlan(first+uint64(n), o)
		if cmd.Bool("plan") {
			if err := out.Encode(plan); err != nil {
				return errors.Wrap(err, "print a plan")
			}
			continue
		}
		fleet, err := newFleet(ctx, cmd, plan.Seed, logs)
		if err != nil {
			return errors.Wrapf(err, "seed %d", plan.Seed)
		}
		result, err := bbrsoak.Run(ctx, fleet, plan)
		fleet.Close()
		if err != nil {
			return errors.Wrapf(err, "seed %d", plan.Seed)
		}
		broken = broken || len(result.Broken) > 0
		if err := out.Encode(result); err != nil {
			return errors.Wrap(err, "print a result")
		}
	}
	if broken {
		return errBroken
	}
	return nil
}

func planOptions(cmd *cli.Command) (bbrsoak.Options, error) {
	o := bbrsoak.Options{Instances: cmd.Int("instances"), Members: cmd.Int("members"), Span: cmd.Duration("span")}
	kinds := bbrsoak.Kinds
	if cmd.String("dialect") == dialectPlatform {
		kinds = slices.Concat(kinds, bbrsoak.PlatformKinds)
	}
	for _, k := range cmd.StringSlice("kind") {
		if !slices.Contains(kinds, bbrsoak.Kind(k)) {
			return o, errors.Errorf("--kind %s: no such kind; there are %v", k, kinds)
		}
		o.Only = append(o.Only, bbrsoak.Kind(k))
	}
	if o.Instances < 1 || o.Members < 2 || cmd.Int("callers") < 1 {
		return o, errors.New("a soak needs an instance, two members and a caller")
	}
	return o, nil
}

// logFile opens the file for logs, or what drops them.
func logFile(name string) (io.WriteCloser, error) {
	if name == "" {
		name = os.DevNull
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return f, errors.Wrap(err, "open the file for logs")
}

func newFleet(ctx context.Context, cmd *cli.Command, seed uint64, logs io.Writer) (bbrsoak.Fleet, error) {
	program := func(name string) string { return filepath.Join(cmd.String("programs"), name) }
	switch d := cmd.String("dialect"); d {
	case dialectPlatform:
		return trial.New(ctx, trial.Options{
			Program: program("bbrnode"), Instances: cmd.Int("instances"), Members: cmd.Int("members"),
			Callers: cmd.Int("callers"), Tenants: cmd.Int("tenants"), Seed: seed, Logs: logs,
		})
	case dialectPostgres:
		return bbrtrial.NewSoakFleet(ctx, bbrtrial.SoakOptions{
			Programs:  bbrtrial.Programs{Instance: []string{program("bluebellroute")}, Standin: []string{program("standin")}},
			Instances: cmd.Int("instances"), Members: cmd.Int("members"), Callers: cmd.Int("callers"), Seed: seed, Logs: logs,
		})
	default:
		return nil, errors.Errorf("--dialect %s: neither %s nor %s", d, dialectPlatform, dialectPostgres)
	}
}
