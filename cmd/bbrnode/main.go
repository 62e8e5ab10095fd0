// Command bbrnode runs an instance on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrnode"
	"github.com/bluebellroute/bluebellroute/bbrsignal"
	"github.com/bluebellroute/bluebellroute/platform"
)

func main() {
	ctx, stop := bbrsignal.Stopped(context.Background())
	defer stop()
	app := &cli.Command{
		Name:  "bbrnode",
		Usage: "run an instance on the users' platform",
		Commands: []*cli.Command{{
			Name:  "serve",
			Usage: "serve callers until told to stop",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "settings", Usage: "`FILE` with the settings of the process", Sources: cli.EnvVars(platform.SettingsVariable)},
				&cli.BoolFlag{Name: "check", Usage: "check the settings and end"},
			},
			Action: func(ctx context.Context, cmd *cli.Command) error { return serve(ctx, cmd, bbrsignal.Reload()) },
		}},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bbrnode:", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, cmd *cli.Command, reload <-chan os.Signal) error {
	file := cmd.String("settings")
	s, err := bbrnode.LoadSettings(file)
	if err != nil || cmd.Bool("check") {
		return err
	}
	log := bbrnode.NewLogger(os.Stdout, s.LogLevel)
	defer bbrnode.FlushLog(log)
	load := func() (*bbrnode.Settings, error) { return bbrnode.LoadSettings(file) }
	return bbrnode.Run(ctx, s, platform.Ports(s.StoreAddress, s.PromoterAddress, s.Name), log, load, reload)
}
