// Package bbrrequest decides how to proceed with a request that carries a request key
// (an idempotency key), so that the request runs at most once. The key is inserted
// into a table of the database in the same transaction as the request; the table's
// unique index makes a second run fail.
//
// The key's row states either that the request has run, or it is a tombstone: the
// attempts with a lower number than the row's attempt have not run and can't run any
// more. Given the row, the package decides whether the caller gets an error, whether
// the request runs as a new attempt, or whether that attempt is invalidated first.
//
// The package is pure: it reads no clock and does no input or output.
//
// # Usage
//
//	step := bbrrequest.OnTaken(row, found, fingerprint, arrived)
//	if step.Do == bbrrequest.Claim { ... }
package bbrrequest

import "time"

// Outcome is the outcome that a key's row records.
type Outcome string

// The outcomes. OutcomeNotRun marks a tombstone: attempts with a lower number than the
// row's attempt have not run and can't run any more.
const (
	OutcomeDone   Outcome = "done"
	OutcomeNotRun Outcome = "notRun"
)

// Row is the row of a request key in the database.
type Row struct {
	Outcome Outcome
	// Attempt is the number of the attempt that has run or, in a tombstone, of the
	// only attempt that may still run. The first attempt of a request is 0; the
	// first tombstone of a key has 1.
	Attempt uint64
	// Fingerprint is a hash of the request that the key was used for.
	Fingerprint string
	// Age is the time since the row was written, measured by the member's clock.
	Age time.Duration
}

// The margins cover the difference between the rates of two clocks: a constant part,
// and a fraction of the compared duration (1/rateMarginDivisor).
const (
	constantMargin    = 10 * time.Millisecond
	rateMarginDivisor = 100
)

// IsBefore reports whether the row was written before a request arrived. sinceArrival
// is the time since the arrival, measured by the instance's clock. Only durations are
// compared, so the clocks of the member and the instance need not be synchronized.
func (r Row) IsBefore(sinceArrival time.Duration) bool {
	return r.Age > sinceArrival+sinceArrival/rateMarginDivisor+constantMargin
}

// Do is the next action for a request.
type Do string

// The actions.
const (
	// TellAlreadyRun reports to the caller that the request has already run.
	TellAlreadyRun Do = "tellAlreadyRun"
	// TellKeyReused reports to the caller that the key belongs to another request.
	TellKeyReused Do = "tellKeyReused"
	// Claim runs the request as the attempt that the row names.
	Claim Do = "claim"
	// Close increments the row's attempt, so that the attempt that it named can't
	// run any more. After that, it is certain that the request has not run.
	Close Do = "close"
	// TryAgain means that the row was not found, so that nothing can be decided yet.
	TryAgain Do = "tryAgain"
)

// AnyFingerprint matches the fingerprint of any request. Lookups by key use it.
const AnyFingerprint = ""

// Step is a decision. Attempt is set for Claim and Close.
type Step struct {
	Do      Do
	Attempt uint64
}

// OnTaken decides about a request whose transaction failed because the key's row
// exists already, so that nothing of the request has run. row is the key's row, found
// is false if the row has disappeared since, and sinceArrival is the time since the
// request arrived.
//
// A tombstone that was written after the arrival may have been written for this same
// request, in which case its caller may already have been told that the request was
// not run. The request must not run then, and the attempt is invalidated.
func OnTaken(row Row, found bool, fingerprint string, sinceArrival time.Duration) Step {
	switch {
	case !found:
		return Step{Do: TryAgain}
	case row.Outcome == OutcomeNotRun && row.IsBefore(sinceArrival):
		return Step{Do: Claim, Attempt: row.Attempt}
	case row.Outcome == OutcomeNotRun:
		return Step{Do: Close, Attempt: row.Attempt}
	case row.Fingerprint != fingerprint:
		return Step{Do: TellKeyReused}
	}
	return Step{Do: TellAlreadyRun}
}

// OnLost decides about a request whose outcome is unknown, after a tombstone could not
// be inserted because the key's row exists already. If that row is a tombstone, a later
// attempt with the same key may be in flight. That attempt is invalidated before it is
// reported that the request has not run.
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
