package bbrcommand

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrsettings"
)

// references are the documents that are made from the code.
var references = map[string]struct {
	title string
	write func(io.Writer) error
}{
	"settings":      {"Settings of a process", bbrsettings.WriteReference},
	"configuration": {"Configuration of a fleet", bbrconfig.WriteReference},
}

func referenceCommand() *cli.Command {
	return &cli.Command{
		Name:      "reference",
		Usage:     "print the reference of the settings or of the configuration",
		ArgsUsage: "settings|configuration",
		Action: func(_ context.Context, cmd *cli.Command) error {
			return writeReference(cmd.Root().Writer, cmd.Args().First())
		},
	}
}

// writeReference writes a document with its heading.
func writeReference(w io.Writer, name string) error {
	r, ok := references[name]
	if !ok {
		return failWith(ExitUsage, "there is no reference %q: name settings or configuration", name)
	}
	if _, err := fmt.Fprintf(w, "# %s\n\nMade by `bluebellroute reference %s`.\n", r.title, name); err != nil {
		return err
	}
	return r.write(w)
}
