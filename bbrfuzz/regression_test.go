package bbrfuzz

import "testing"

// regressionSteps is the length of the runs in which the seeds were found.
const regressionSteps = 200000

// TestRegressions runs seeds that have failed once, each named by its cause.
func TestRegressions(t *testing.T) {
	tests := map[string]uint64{
		"a steward's earlier incarnation kept the others from acting": 25,
		"the same, 3002":   3002,
		"the same, 3075":   3075,
		"the same, 474563": 474563,
	}
	for name, seed := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := NewWorld(Options{Seed: seed})
			if err := w.Run(regressionSteps); err != nil {
				t.Fatalf("seed %d: %v\n%s", seed, err, w.Trace())
			}
		})
	}
}
