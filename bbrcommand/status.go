package bbrcommand

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbradmin/adminpb"
	"github.com/bluebellroute/bluebellroute/bbrstatus"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "print the state of the groups as an instance sees it",
		Description: "Exit code 1 if a group's verdict is alarm.",
		Flags:       clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			reply, err := called(ctx, cmd, func(a adminpb.Admin) func(context.Context, *adminpb.StatusRequest) (*adminpb.StatusReply, error) {
				return a.Status
			},
				&adminpb.StatusRequest{})
			if err != nil {
				return err
			}
			var r bbrstatus.Report
			if err := json.Unmarshal([]byte(reply.GetJson()), &r); err != nil {
				return failWith(ExitFailed, "decode the status: %v", err)
			}
			if cmd.Bool("json") {
				_, err = fmt.Fprintln(cmd.Root().Writer, reply.GetJson())
			} else {
				err = bbrstatus.WriteText(cmd.Root().Writer, &r)
			}
			if err != nil {
				return err
			}
			for _, g := range r.Groups {
				if g.Verdict == bbrstatus.VerdictAlarm {
					return failWith(ExitFailed, "group %s: %s", g.Name, g.Cause)
				}
			}
			return nil
		},
	}
}
