package bbrcommand

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

// The references are committed: they must be what the code says.
func TestReferencesAreInStep(t *testing.T) {
	cases := map[string]string{
		"settings":      "../docs/operators/settings.md",
		"configuration": "../docs/operators/configuration.md",
	}
	for name, file := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.NoErr(writeReference(&out, name))
			kept, err := os.ReadFile(file)
			is.NoErr(err)
			is.Equal(out.String(), string(kept)) // run: bluebellroute reference
		})
	}
}
