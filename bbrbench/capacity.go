package bbrbench

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrcapacity"
	"github.com/bluebellroute/bluebellroute/bbrtrial"
)

// slopesFile is where the measurement that the documents cite is kept.
const slopesFile = "docs/capacity/slopes.json"

func capacityCommand(programs bbrtrial.Programs) *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure what control costs, and predict it for the planned size",
		Commands: []*cli.Command{
			{
				Name:  "measure",
				Usage: "measure fleets in steps, about five minutes",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "out", Value: slopesFile, Usage: "`FILE` for the measurement"},
					&cli.DurationFlag{Name: "window", Value: 8 * time.Second, Usage: "how long each fleet is measured"},
					&cli.IntFlag{Name: "instances", Usage: "measure only fleets of this `NUMBER`"},
					&cli.StringSliceFlag{Name: "axis", Usage: "measure only `AXIS`: grid, callers, statements or changes"},
				},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					var axes []bbrcapacity.Axis
					for _, a := range cmd.StringSlice("axis") {
						axes = append(axes, bbrcapacity.Axis(a))
					}
					m, err := bbrcapacity.Measure(ctx, bbrcapacity.Request{
						Programs: programs, Window: cmd.Duration("window"), Axes: axes, Instances: cmd.Int("instances"),
						Progress: func(what string) { fmt.Fprintln(os.Stderr, what) },
					})
					if err != nil {
						return err
					}
					return m.Save(cmd.String("out"))
				},
			},
			{
				Name:  "table",
				Usage: "print the table of a measurement",
				Flags: []cli.Flag{&cli.StringFlag{Name: "from", Value: slopesFile, Usage: "`FILE` with the measurement"}},
				Action: func(_ context.Context, cmd *cli.Command) error {
					m, err := bbrcapacity.Load(cmd.String("from"))
					if err != nil {
						return err
					}
					return bbrcapacity.WriteTable(cmd.Root().Writer, m, bbrcapacity.PlannedSize())
				},
			},
		},
	}
}
