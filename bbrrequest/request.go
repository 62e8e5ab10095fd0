// Package bbrrequest decides about request keys. A request that may run at most
// once carries a key, which is stored in the same transaction. A row tells that
// the request has run, or that its earlier attempts have not and never will.
//
// The package is pure.
//
// # Usage
//
//	step := bbrrequest.OnTaken(row, found, fingerprint, arrived)
//	if step.Do == bbrrequest.Claim { ... }
package bbrrequest

import "time"

// Outcome is what a key's row says.
type Outcome string

// The outcomes. OutcomeNotRun is a tombstone: attempts below the row's attempt
// have not run and never will.
const (
	OutcomeDone   Outcome = "done"
	OutcomeNotRun Outcome = "notRun"
)

// Row is a key's row in the database.
type Row struct {
	Outcome Outcome
	// Attempt is 0 for the first attempt. A tombstone raises it.
	Attempt     uint64
	Fingerprint string
	// Age is the time since the row was written, by the member's clock.
	Age time.Duration
}

// Attempt margins cover the difference between two clocks' rates.
const (
	ageMargin     = 10 * time.Millisecond
	ageMarginPart = 100
)

// IsBefore reports whether the row was written before a request that arrived
// the given time ago. Only durations are compared, so that the clocks need not
// agree.
func (r Row) IsBefore(arrived time.Duration) bool {
	return r.Age > arrived+arrived/ageMarginPart+ageMargin
}

// Do is what to do about a request.
type Do string

// The things to do.
const (
	TellAlreadyRun Do = "tellAlreadyRun"
	TellKeyReused  Do = "tellKeyReused"
	// Claim runs the request as the row's attempt.
	Claim Do = "claim"
	// Close raises the row's attempt, so that the present one can't run any
	// more. Then the request was not run.
	Close Do = "close"
	// TryAgain means that the row does not decide it yet.
	TryAgain Do = "tryAgain"
)

// AnyFingerprint stands for whatever request came under a key.
const AnyFingerprint = ""

// Step is a decision. Attempt goes with Claim and Close.
type Step struct {
	Do      Do
	Attempt uint64
}

// OnTaken decides about a request that arrived the given time ago and was
// refused because its key is taken. Nothing of it has run. A tombstone that was
// placed after its arrival may have been placed for this very request, so that
// the caller was told already that it was not run.
func OnTaken(row Row, found bool, fingerprint string, arrived time.Duration) Step {
	switch {
	case !found:
		return Step{Do: TryAgain}
	case row.Outcome == OutcomeNotRun && row.IsBefore(arrived):
		return Step{Do: Claim, Attempt: row.Attempt}
	case row.Outcome == OutcomeNotRun:
		return Step{Do: Close, Attempt: row.Attempt}
	case row.Fingerprint != fingerprint:
		return Step{Do: TellKeyReused}
	}
	return Step{Do: TellAlreadyRun}
}

// OnLost decides about a request whose fate is asked for, after a tombstone
// could not be placed because its key is taken. A later attempt under the key
// may be on its way: it is closed before anybody is told that the request was
// not run.
func OnLost(row Row, found bool, fingerprint string) Step {
	switch {
	case !found:
		return Step{Do: TryAgain}
	case row.Outcome == OutcomeNotRun:
		return Step{Do: Close, Attempt: row.Attempt}
	case fingerprint != AnyFingerprint && row.Fingerprint != fingerprint:
		return Step{Do: TellKeyReused}
	}
	return Step{Do: TellAlreadyRun}
}
