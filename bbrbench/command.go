package bbrbench

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrtrial"
)

// Command returns the command line. Processes of fleets are started from the
// same program by its hidden commands.
func Command(self string, hidden ...*cli.Command) *cli.Command {
	programs := bbrtrial.Programs{Instance: []string{self}, Standin: []string{self}}
	for _, h := range hidden {
		h.Hidden = true
	}
	return &cli.Command{
		Name:  "bbrbench",
		Usage: "run experiments with fleets of real processes on this machine",
		Commands: append([]*cli.Command{
			runCommand(programs), compareCommand(), plotCommand(), listCommand(), throughputCommand(programs), capacityCommand(programs),
		}, hidden...),
	}
}

func listCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list the experiments",
		Action: func(_ context.Context, cmd *cli.Command) error {
			for _, n := range Names() {
				_, _ = fmt.Fprintf(cmd.Root().Writer, "%-26s %s\n", n, Experiments()[n].About)
			}
			return nil
		},
	}
}

func runCommand(programs bbrtrial.Programs) *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run experiments, by default all",
		ArgsUsage: "[EXPERIMENT ...]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: string(DeploymentTrentvale), Usage: "trentvale or cedarsteam"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "rounds", Value: 1, Usage: "runs of each, with the next seeds"},
			&cli.IntFlag{Name: "instances", Usage: "`NUMBER` of instances instead of the deployment's"},
			&cli.BoolFlag{Name: "baselines", Usage: "run the baselines too"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` for the reports as JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			names := cmd.Args().Slice()
			if len(names) == 0 {
				names = Names()
			}
			var all []*Report
			broken := 0
			for _, name := range names {
				reports, err := runOne(ctx, cmd, programs, name)
				if err != nil {
					return err
				}
				if err := WriteTable(cmd.Root().Writer, reports); err != nil {
					return err
				}
				for _, r := range reports {
					if r.Request.Policy != PolicyRandom {
						broken += r.Result.Broken()
					}
				}
				all = append(all, reports...)
				if out := cmd.String("out"); out != "" {
					if err := Save(out, all); err != nil {
						return err
					}
				}
			}
			if broken > 0 {
				return errors.Errorf("%d promises were broken", broken)
			}
			return nil
		},
	}
}

// runOne runs one experiment, its baselines if asked to, and all rounds.
func runOne(ctx context.Context, cmd *cli.Command, programs bbrtrial.Programs, name string) ([]*Report, error) {
	policies := []Policy{PolicyOwn}
	if cmd.Bool("baselines") {
		policies = append(policies, Experiments()[name].Baselines...)
	}
	var out []*Report
	for _, p := range policies {
		for round := range cmd.Int("rounds") {
			q := Request{
				Experiment: name, Deployment: Deployment(cmd.String("deployment")), Policy: p, Seed: cmd.Uint64("seed") + uint64(round),
				Duration: cmd.Duration("duration"), Instances: cmd.Int("instances"), Programs: programs,
			}
			bar := progressbar.NewOptions64(int64(warmUp+q.Duration), progressbar.OptionSetWriter(os.Stderr),
				progressbar.OptionSetDescription(fmt.Sprintf("%s %s", name, p)), progressbar.OptionClearOnFinish())
			q.Progress = func(passed time.Duration) { _ = bar.Set64(int64(min(passed, warmUp+q.Duration))) }
			r, err := Run(ctx, q)
			_ = bar.Finish()
			if err != nil {
				return nil, err
			}
			out = append(out, r)
		}
	}
	return out, nil
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "print reports side by side",
		ArgsUsage: "FILE [FILE ...]",
		Action: func(_ context.Context, cmd *cli.Command) error {
			byName := map[string][]*Report{}
			var order []string
			for _, file := range cmd.Args().Slice() {
				reports, err := Load(file)
				if err != nil {
					return err
				}
				for _, r := range reports {
					key := r.Request.Experiment + "/" + string(r.Request.Deployment)
					if byName[key] == nil {
						order = append(order, key)
					}
					byName[key] = append(byName[key], r)
				}
			}
			for _, key := range order {
				if err := WriteTable(cmd.Root().Writer, byName[key]); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot",
		Usage:     "draw the timeline of a report, or one number of all",
		ArgsUsage: "REPORTS PICTURE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "number", Usage: "`NAME` of the number to draw as bars"},
			&cli.IntFlag{Name: "index", Usage: "which report of the file to draw"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return errors.New("name a file of reports and a picture")
			}
			reports, err := Load(cmd.Args().Get(0))
			if err != nil {
				return err
			}
			if n := cmd.String("number"); n != "" {
				return PlotNumber(reports, n, cmd.Args().Get(1))
			}
			if cmd.Int("index") >= len(reports) {
				return errors.Errorf("the file has %d reports", len(reports))
			}
			return PlotTimeline(reports[cmd.Int("index")], cmd.Args().Get(1))
		},
	}
}
