package bbrcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbradmin/adminpb"
)

func versionFlag(usage string) cli.Flag {
	return &cli.Uint64Flag{Name: "version", Usage: usage}
}

func showCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print a configuration, by default the one in force",
		Flags: clientFlags(versionFlag("`VERSION` to print")),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			reply, err := called(ctx, cmd, func(a adminpb.Admin) func(context.Context, *adminpb.ShowRequest) (*adminpb.ShowReply, error) {
				return a.Show
			},
				&adminpb.ShowRequest{Version: cmd.Uint64("version")})
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return writeJSON(cmd.Root().Writer, map[string]any{"version": versionAnswer(reply.GetVersion()), "body": string(reply.GetBody())})
			}
			_, err = cmd.Root().Writer.Write(reply.GetBody())
			return err
		},
	}
}

// versionAnswer is a version for scripts.
func versionAnswer(v *adminpb.Version) map[string]any {
	return map[string]any{
		"version": v.GetVersion(), "hash": v.GetHash(), "author": v.GetAuthor(), "note": v.GetNote(),
		"appliedAt": time.UnixMilli(v.GetAppliedAtMs()).UTC().Format(time.RFC3339),
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "compare a version, by default the one in force, with a file or another version",
		ArgsUsage: "[FILE]",
		Flags: clientFlags(
			&cli.Uint64Flag{Name: "from", Usage: "`VERSION` to compare, by default the one in force"},
			&cli.Uint64Flag{Name: "to", Usage: "`VERSION` to compare with, instead of a file"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			req := &adminpb.DiffRequest{From: cmd.Uint64("from"), To: cmd.Uint64("to")}
			if req.GetTo() == 0 {
				_, body, err := readConfiguration(cmd)
				if err != nil {
					return err
				}
				req.Body = body
			}
			reply, err := called(ctx, cmd, func(a adminpb.Admin) func(context.Context, *adminpb.DiffRequest) (*adminpb.DiffReply, error) {
				return a.Diff
			}, req)
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return writeJSON(cmd.Root().Writer, map[string]string{"diff": reply.GetDiff()})
			}
			_, err = fmt.Fprintln(cmd.Root().Writer, reply.GetDiff())
			return err
		},
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the applied configurations, newest first",
		Flags: clientFlags(&cli.UintFlag{Name: "limit", Value: 20, Usage: "`NUMBER` of versions to list"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			reply, err := called(ctx, cmd, func(a adminpb.Admin) func(context.Context, *adminpb.HistoryRequest) (*adminpb.HistoryReply, error) {
				return a.History
			},
				&adminpb.HistoryRequest{Limit: uint32(cmd.Uint("limit"))})
			if err != nil {
				return err
			}
			list := make([]map[string]any, 0, len(reply.GetVersions()))
			for _, v := range reply.GetVersions() {
				list = append(list, versionAnswer(v))
				if !cmd.Bool("json") {
					_, _ = fmt.Fprintf(cmd.Root().Writer, "%6d  %s  %-20s %.12s  %s\n", v.GetVersion(),
						time.UnixMilli(v.GetAppliedAtMs()).UTC().Format(time.RFC3339), v.GetAuthor(), v.GetHash(), v.GetNote())
				}
			}
			if cmd.Bool("json") {
				return writeJSON(cmd.Root().Writer, list)
			}
			return nil
		},
	}
}

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollback",
		Usage: "apply an earlier version again, as a new version",
		Flags: clientFlags(
			&cli.Uint64Flag{Name: "version", Required: true, Usage: "`VERSION` to apply again"},
			&cli.Uint64Flag{Name: "expect", Usage: "`VERSION` that is in force"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until every live instance has it in force"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "how long --wait waits"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			reply, err := called(ctx, cmd, func(a adminpb.Admin) func(context.Context, *adminpb.ShowRequest) (*adminpb.ShowReply, error) {
				return a.Show
			},
				&adminpb.ShowRequest{Version: cmd.Uint64("version")})
			if err != nil {
				return err
			}
			name := fmt.Sprintf("version %d", cmd.Uint64("version"))
			return applyBody(ctx, cmd, name, reply.GetBody(), "rollback to "+name)
		},
	}
}
