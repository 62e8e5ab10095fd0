// Command stand2 runs the scripts of the review: each starts instances of the deploy file's
// program before stand-ins of the platform, of members and of consumers, and judges a rule by
// what these have seen.
//
// # Usage
//
//	target/review-stand2 CASE FOLDER
package main

import (
	"fmt"
	"os"
)

// verdict is how a script ends.
type verdict int

// The verdicts are the exit codes of a script.
const (
	held       verdict = 0
	broken     verdict = 1
	couldNotGo verdict = 2
)

// script runs a case. With trouble unset it leaves out the disruption.
type script func(r *record, dir string, trouble bool) (verdict, error)

var scripts = map[string]script{"large-results": largeResults}

func main() { os.Exit(int(run(os.Args[1:]))) }

func run(args []string) verdict {
	if len(args) != 2 || scripts[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand2 CASE FOLDER")
		return couldNotGo
	}
	dir, err := os.MkdirTemp("", "review-stand2")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotGo
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotGo
	}
	defer r.close()
	v, err := scripts[args[0]](r, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotGo
	}
	r.add("the rule was %s", map[verdict]string{held: "kept", broken: "broken"}[v])
	return v
}
