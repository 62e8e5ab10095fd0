package bbrrequest

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOnTaken(t *testing.T) {
	cases := map[string]struct {
		row          Row
		found        bool
		sinceArrival time.Duration
		want         Decision
	}{
		"already run":                             {Row{Outcome: OutcomeDone, Fingerprint: "f"}, true, 0, Decision{Action: ReportAlreadyRun}},
		"key of another request":                  {Row{Outcome: OutcomeDone, Fingerprint: "g"}, true, 0, Decision{Action: ReportKeyReused}},
		"tombstone written before the arrival":    {Row{Outcome: OutcomeNotRun, Attempt: 2, Age: time.Minute}, true, time.Second, Decision{Action: RunAttempt, Attempt: 2}},
		"tombstone written after the arrival":     {Row{Outcome: OutcomeNotRun, Attempt: 2, Age: time.Second}, true, time.Minute, Decision{Action: InvalidateAttempt, Attempt: 2}},
		"older tombstone within the fixed margin": {Row{Outcome: OutcomeNotRun, Attempt: 1, Age: 1005 * time.Millisecond}, true, time.Second, Decision{Action: InvalidateAttempt, Attempt: 1}},
		"older tombstone within the drift margin": {Row{Outcome: OutcomeNotRun, Attempt: 1, Age: 100500 * time.Millisecond}, true, 100 * time.Second, Decision{Action: InvalidateAttempt, Attempt: 1}},
		"row disappeared after the conflict":      {Row{}, false, 0, Decision{Action: Undecided}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(OnKeyConflict(c.row, c.found, "f", c.sinceArrival), c.want)
		})
	}
}

func TestOnLost(t *testing.T) {
	cases := map[string]struct {
		row         Row
		found       bool
		fingerprint string
		want        Decision
	}{
		"already run":                         {Row{Outcome: OutcomeDone, Fingerprint: "f"}, true, "f", Decision{Action: ReportAlreadyRun}},
		"key of another request":              {Row{Outcome: OutcomeDone, Fingerprint: "g"}, true, "f", Decision{Action: ReportKeyReused}},
		"lookup by key without a fingerprint": {Row{Outcome: OutcomeDone, Fingerprint: "g"}, true, AnyFingerprint, Decision{Action: ReportAlreadyRun}},
		"tombstone":                           {Row{Outcome: OutcomeNotRun, Attempt: 3}, true, "f", Decision{Action: InvalidateAttempt, Attempt: 3}},
		"row disappeared after the conflict":  {Row{}, false, "f", Decision{Action: Undecided}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(OnUnknownOutcome(c.row, c.found, c.fingerprint), c.want)
		})
	}
}
