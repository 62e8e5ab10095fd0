package bbrcommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrkernel"
	"github.com/bluebellroute/bluebellroute/bbrsettings"
	"github.com/bluebellroute/bluebellroute/bbrsignal"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an instance until it is told to stop",
		Description: "SIGTERM or an interrupt starts a planned stop: statements and transactions end first. " +
			"A second one ends the process at once. SIGHUP checks the settings again and puts the log's level in force.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "`FILE` with the settings of the process"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and end"},
		},
		Action: serve,
	}
}

// awaitStop waits until ctx ends. At each SIGHUP the settings are checked again and
// the log's level is put in force; the others stay as they are for the life of the
// process.
func awaitStop(ctx context.Context, file string, log *logrus.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-bbrsignal.Reload():
		}
		s, problems := bbrsettings.Load(file)
		if len(problems) > 0 {
			log.WithError(problems[0]).WithField("problems", len(problems)).Error("reload refused; the settings stay as they are")
			continue
		}
		log.SetLevel(s.LogLevel)
		log.WithField("level", s.LogLevel).Info("reload")
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
	awaitStop(ctx, cmd.String("settings"), log)
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
