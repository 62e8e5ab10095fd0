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
		other, duplicate := seen[d.SQLState]
		if duplicate {
			t.Errorf("%s and %s share %s", r, other, d.SQLState)
		}
		seen[d.SQLState] = r
		is.True(d.Outcome != "")
	}
}

// docs/callers.md must list each reason with the SQLSTATE, outcome and hint that the
// code uses.
func TestCallersPageIsInStep(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/callers.md")
	is.NoErr(err)
	for r, d := range reasonDetails {
		hint := d.hint
		if hint == "" {
			hint = "—"
		}
		row := fmt.Sprintf("| `%s` | `%s` | `%s` | %s |\n", d.sqlState, r, d.outcome, hint)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/callers.md lacks: %s", row)
		}
	}
}
