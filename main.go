// Command bluebellroute is a database proxy with session consistency.
package main

import (
	"os"

	"github.com/bluebellroute/bluebellroute/bbrcommand"
)

func main() { os.Exit(bbrcommand.Run(os.Args, os.Stdout, os.Stderr)) }
