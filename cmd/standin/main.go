// Command standin runs the stand-ins that tests and trials use in place of
// databases and of the platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrstandin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins for databases and for the platform",
		Commands: bbrstandin.Commands(),
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
