// Package bbrtesthelpers holds what the tests of several packages need.
//
// # Usage
//
//	func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }
package bbrtesthelpers

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The import registers rapid's flags.
	_ "pgregory.net/rapid"
)

// rapidFlags fix the seed and the number of drawn cases, so that each run comes
// to the same verdict. A seed given on the command line wins.
var rapidFlags = map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"}

// MainWith builds a program and runs a package's tests, which start it from the path
// that program is set to.
func MainWith(m *testing.M, pkg string, program *string) {
	dir, err := os.MkdirTemp("", "bbrtests")
	if err != nil {
		panic(err)
	}
	*program = filepath.Join(dir, filepath.Base(pkg))
	if out, err := exec.Command("go", "build", "-o", *program, pkg).CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Main runs a package's tests with fixed seeds.
func Main(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range rapidFlags {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
