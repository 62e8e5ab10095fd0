package bbrcommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbradmin/adminpb"
)

// spreadPause is the pause between two looks at who has a version in force.
const spreadPause = 100 * time.Millisecond

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a configuration in force on all instances",
		ArgsUsage: "FILE",
		Description: "The whole configuration is checked first. With --expect it is applied only on top of that version; " +
			"without, on top of the version in force when the command began.",
		Flags: clientFlags(
			&cli.Uint64Flag{Name: "expect", Usage: "`VERSION` that the change was made from"},
			&cli.StringFlag{Name: "note", Usage: "`TEXT` kept with the version"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until every live instance has it in force"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "how long --wait waits"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			file, body, err := readConfiguration(cmd)
			if err != nil {
				return err
			}
			return applyBody(ctx, cmd, file, body, cmd.String("note"))
		},
	}
}

// applyBody applies a configuration and reports what became of it.
func applyBody(ctx context.Context, cmd *cli.Command, file string, body []byte, note string) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	req := &adminpb.ApplyRequest{File: file, Body: body, Note: note, Expect: cmd.Uint64("expect")}
	if !cmd.IsSet("expect") {
		req.AnyVersion = true
	}
	reply, err := c.Apply(ctx, req)
	if err != nil {
		return callFailed(cmd, err)
	}
	if cmd.Bool("json") {
		if err := writeJSON(cmd.Root().Writer, applyAnswer(reply)); err != nil {
			return err
		}
	}
	if err := applyResult(cmd, reply); err != nil {
		return err
	}
	if cmd.Bool("wait") {
		return awaitSpread(ctx, cmd, c, reply.GetVersion())
	}
	return nil
}

// applyAnswer is the answer for scripts.
func applyAnswer(r *adminpb.ApplyReply) map[string]any {
	return map[string]any{
		"result": strings.ToLower(r.GetResult().String()), "version": r.GetVersion(), "problems": r.GetProblems(),
		"diff": r.GetDiff(), "message": r.GetMessage(),
	}
}

// applyResult prints the result and returns the error that goes with it.
func applyResult(cmd *cli.Command, r *adminpb.ApplyReply) error {
	out := cmd.Root().Writer
	switch r.GetResult() {
	case adminpb.ApplyResult_IN_FORCE, adminpb.ApplyResult_UNCHANGED:
		if !cmd.Bool("json") {
			_, _ = fmt.Fprintf(out, "version %d: %s\n", r.GetVersion(), strings.ToLower(r.GetResult().String()))
		}
		return nil
	case adminpb.ApplyResult_INVALID:
		for _, p := range r.GetProblems() {
			_, _ = fmt.Fprintf(cmd.Root().ErrWriter, "%s: [%s] %s: %s; %s\n", p.GetFile(), p.GetSection(), p.GetKey(), p.GetWhat(), p.GetHint())
		}
		return failWith(ExitUsage, "%d problems: nothing was applied", len(r.GetProblems()))
	case adminpb.ApplyResult_CONFLICT:
		_, _ = fmt.Fprintln(cmd.Root().ErrWriter, r.GetDiff())
		return failWith(ExitConflict, "nothing was applied: %s (version %d is in force; above is how yours differs from it)", r.GetMessage(), r.GetVersion())
	case adminpb.ApplyResult_DENIED:
		return failWith(ExitFailed, "nothing was applied: %s", r.GetMessage())
	}
	return failWith(ExitUnknown, "%s", r.GetMessage())
}

// awaitSpread waits until every live instance has a version in force.
func awaitSpread(ctx context.Context, cmd *cli.Command, c adminpb.Admin, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	started := time.Now()
	var missing []string
	for {
		reply, err := c.Spread(ctx, &adminpb.SpreadRequest{Version: version})
		if err == nil {
			missing = reply.GetMissing()
			if len(missing) == 0 {
				_, _ = fmt.Fprintf(cmd.Root().ErrWriter, "in force on %d instances after %v\n", len(reply.GetInForce()), time.Since(started).Round(time.Millisecond))
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return failWith(ExitFailed, "version %d is accepted, but not in force yet on %s", version, strings.Join(missing, ", "))
		case <-time.After(spreadPause):
		}
	}
}
