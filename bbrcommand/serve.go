package bbrcommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrkernel"
	"github.com/bluebellroute/bluebellroute/bbrsettings"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an instance until it is told to stop",
		Description: "SIGTERM or an interrupt starts a planned stop: statements and transactions end first. " +
			"A second one ends the process at once.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "`FILE` with the settings of the process"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and end"},
		},
		Action: serve,
	}
}

func serve(ctx context.Context, cmd *cli.Command) error {
	s, problems := bbrsettings.Load(cmd.String("settings"))
	if len(problems) > 0 {
		printProblems(cmd.Root().ErrWriter, problems)
		return failWith(ExitUsage, "%d problems in %s", len(problems), cmd.String("settings"))
	}
	if cmd.Bool("check") {
		_, err := fmt.Fprintln(cmd.Root().Writer, "the settings are good")
		return err
	}
	log := newLog(cmd.Root().ErrWriter, s.LogLevel, s.LogFormat)
	k, err := bbrkernel.New(s, log)
	if err != nil {
		return failWith(ExitFailed, "%v", err)
	}
	if err := k.Start(ctx); err != nil {
		return failWith(ExitFailed, "%v", err)
	}
	_, _ = fmt.Fprintf(cmd.Root().Writer, "callers %s control %s\n", k.CallerAddress(), k.ControlAddress())
	<-ctx.Done()
	// A second signal ends the drain.
	again, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cut := k.Drain(again)
	if err := k.Stop(context.Background()); err != nil {
		log.WithError(err).Warn("stop incomplete")
	}
	if cut > 0 {
		return failWith(ExitFailed, "%d callers were cut off", cut)
	}
	return nil
}
