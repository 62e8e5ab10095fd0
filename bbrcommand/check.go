package bbrcommand

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration without an instance",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{jsonFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			file, body, err := readConfiguration(cmd)
			if err != nil {
				return err
			}
			cfg, problems := bbrconfig.Parse(file, body)
			if cmd.Bool("json") {
				if err := writeJSON(cmd.Root().Writer, map[string]any{"problems": problems}); err != nil {
					return err
				}
			} else {
				printProblems(cmd.Root().ErrWriter, problems)
			}
			if len(problems) > 0 {
				return failWith(ExitUsage, "%d problems in %s", len(problems), file)
			}
			if !cmd.Bool("json") {
				_, _ = fmt.Fprintf(cmd.Root().Writer, "%s is good: %d groups, %d routes, %d callers\n", file, len(cfg.Groups), len(cfg.Routes), len(cfg.Callers))
			}
			return nil
		},
	}
}

// readConfiguration reads the file that the command line names.
func readConfiguration(cmd *cli.Command) (string, []byte, error) {
	if cmd.Args().Len() != 1 {
		return "", nil, failWith(ExitUsage, "name one configuration file")
	}
	file := cmd.Args().First()
	body, err := os.ReadFile(file)
	if err != nil {
		return "", nil, failWith(ExitUsage, "%v", err)
	}
	return file, body, nil
}
