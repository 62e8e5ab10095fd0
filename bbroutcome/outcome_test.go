package bbroutcome

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestEachReasonHasOneSQLState(t *testing.T) {
	is := is.New(t)
	seen := map[string]Reason{}
	for r, d := range Reasons() {
		is.True(len(d.SQLState) == 5)
		other, taken := seen[d.SQLState]
		if taken {
			t.Errorf("%s and %s share %s", r, other, d.SQLState)
		}
		seen[d.SQLState] = r
		is.True(d.Outcome != "")
	}
}

// The callers' page lists each reason as the code has it.
func TestCallersPageIsInStep(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/callers.md")
	is.NoErr(err)
	for r, d := range details {
		hint := d.hint
		if hint == "" {
			hint = "—"
		}
		row := fmt.Sprintf("| `%s` | `%s` | `%s` | %s |\n", d.state, r, d.outcome, hint)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/callers.md lacks: %s", row)
		}
	}
}
