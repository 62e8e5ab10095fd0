package bbrcommand

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
)

// saltLength is the length of a verifier's salt, in bytes.
const saltLength = 16

func verifierCommand() *cli.Command {
	return &cli.Command{
		Name:  "verifier",
		Usage: "read a caller's password from standard input and print its verifier for the configuration",
		Action: func(_ context.Context, cmd *cli.Command) error {
			line, err := bufio.NewReader(os.Stdin).ReadString('\n')
			password := strings.TrimRight(line, "\r\n")
			if password == "" {
				return failWith(ExitUsage, "no password on standard input: %v", err)
			}
			salt := make([]byte, saltLength)
			_, _ = rand.Read(salt)
			v, err := bbrconfig.NewVerifier(password, salt)
			if err != nil {
				return failWith(ExitUsage, "%v", err)
			}
			_, err = fmt.Fprintln(cmd.Root().Writer, v)
			return err
		},
	}
}

func operatorKeyCommand() *cli.Command {
	return &cli.Command{
		Name:  "operator-key",
		Usage: "make a key for an operator: the key itself, and its hash for the configuration",
		Action: func(_ context.Context, cmd *cli.Command) error {
			b := make([]byte, 2*saltLength)
			_, _ = rand.Read(b)
			key := base64.RawURLEncoding.EncodeToString(b)
			_, err := fmt.Fprintf(cmd.Root().Writer, "key %s\nkeyHash = %s\n", key, bbrconfig.HashKey(key))
			return err
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of the program",
		Flags: []cli.Flag{jsonFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			version, goVersion := "devel", ""
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
				if info.Main.Version != "" && info.Main.Version != "(devel)" {
					version = info.Main.Version
				}
			}
			if cmd.Bool("json") {
				return writeJSON(cmd.Root().Writer, map[string]string{"version": version, "go": goVersion})
			}
			_, err := fmt.Fprintf(cmd.Root().Writer, "bluebellroute %s %s\n", version, goVersion)
			return err
		},
	}
}
