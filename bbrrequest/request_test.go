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
		want         Step
	}{
		"already run":                             {Row{Outcome: OutcomeDone, Fingerprint: "f"}, true, 0, Step{Do: TellAlreadyRun}},
		"key of another request":                  {Row{Outcome: OutcomeDone, Fingerprint: "g"}, true, 0, Step{Do: TellKeyReused}},
		"tombstone written before the arrival":    {Row{Outcome: OutcomeNotRun, Attempt: 2, Age: time.Minute}, true, time.Second, Step{Do: Claim, Attempt: 2}},
		"tombstone written after the arrival":     {Row{Outcome: OutcomeNotRun, Attempt: 2, Age: time.Second}, true, time.Minute, Step{Do: Close, Attempt: 2}},
		"older tombstone within the fixed margin": {Row{Outcome: OutcomeNotRun, Attempt: 1, Age: 1005 * time.Millisecond}, true, time.Second, Step{Do: Close, Attempt: 1}},
		"older tombstone within the drift margin": {Row{Outcome: OutcomeNotRun, Attempt: 1, Age: 100500 * time.Millisecond}, true, 100 * time.Second, Step{Do: Close, Attempt: 1}},
		"row disappeared after the conflict":      {Row{}, false, 0, Step{Do: TryAgain}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(OnTaken(c.row, c.found, "f", c.sinceArrival), c.want)
		})
	}
}

func TestOnLost(t *testing.T) {
	cases := map[string]struct {
		row         Row
		found       bool
		fingerprint string
		want        Step
	}{
		"already run":                         {Row{Outcome: OutcomeDone, Fingerprint: "f"}, true, "f", Step{Do: TellAlreadyRun}},
		"key of another request":              {Row{Outcome: OutcomeDone, Fingerprint: "g"}, true, "f", Step{Do: TellKeyReused}},
		"lookup by key without a fingerprint": {Row{Outcome: OutcomeDone, Fingerprint: "g"}, true, AnyFingerprint, Step{Do: TellAlreadyRun}},
		"tombstone":                           {Row{Outcome: OutcomeNotRun, Attempt: 3}, true, "f", Step{Do: Close, Attempt: 3}},
		"row disappeared after the conflict":  {Row{}, false, "f", Step{Do: TryAgain}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(OnLost(c.row, c.found, c.fingerprint), c.want)
		})
	}
}
