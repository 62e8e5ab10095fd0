// Package bbrcommand is the command line. Each command has a file and is thin:
// the work is done by the packages that it calls.
//
// # Usage
//
//	os.Exit(bbrcommand.Run(os.Args, os.Stdout, os.Stderr))
package bbrcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrini"
	"github.com/bluebellroute/bluebellroute/bbrsettings"
)

// Exit codes.
const (
	// ExitOK means that the command did what it was asked to.
	ExitOK = 0
	// ExitFailed means that it could not, or that a check failed.
	ExitFailed = 1
	// ExitUsage means that the command line or a file was wrong.
	ExitUsage = 2
	// ExitConflict means that somebody else's change came first.
	ExitConflict = 3
	// ExitUnknown means that the outcome is unknown.
	ExitUnknown = 4
)

// exitError carries an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func failWith(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, args...)}
}

// Run runs a command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := newApp(stdout, stderr)
	err := app.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "bluebellroute:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return ExitUsage
}

func newApp(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "bluebellroute",
		Usage: "a database proxy with session consistency",
		Description: "Exit codes: 0 done, 1 failed, 2 wrong command line or file, " +
			"3 another change came first, 4 outcome unknown.",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(), checkCommand(), applyCommand(), showCommand(), diffCommand(), historyCommand(),
			rollbackCommand(), statusCommand(), verifierCommand(), operatorKeyCommand(), demoCommand(), fuzzCommand(), referenceCommand(), versionCommand(),
		},
	}
}

// jsonFlag makes a command answer in JSON.
func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "answer in JSON, for scripts"}
}

// writeJSON writes a value on one line.
func writeJSON(w io.Writer, v any) error {
	return json.NewEncoder(w).Encode(v)
}

// newLog returns a logger as the settings ask for.
func newLog(w io.Writer, level logrus.Level, format bbrsettings.LogFormat) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	if format == bbrsettings.LogJSON {
		log.SetFormatter(&logrus.JSONFormatter{})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return log
}

// printProblems writes problems one on a line.
func printProblems(w io.Writer, problems []bbrini.Problem) {
	for _, p := range problems {
		_, _ = fmt.Fprintln(w, p.Error())
	}
}

// InstanceCommands returns the commands that another program needs to run
// instances of its own.
func InstanceCommands() []*cli.Command { return []*cli.Command{serveCommand(), applyCommand()} }
