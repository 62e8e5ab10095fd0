// Command bbrbench measures fleets of real processes on this machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/bluebellroute/bluebellroute/bbrbench"
	"github.com/bluebellroute/bluebellroute/bbrcommand"
	"github.com/bluebellroute/bluebellroute/bbrstandin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bbrbench:", err)
		os.Exit(1)
	}
	hidden := append(bbrstandin.Commands(), bbrcommand.InstanceCommands()...)
	if err := bbrbench.Command(self, hidden...).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bbrbench:", err)
		os.Exit(1)
	}
}
