// Package bbrrequest decides how to proceed with a request that carries a request key
// (an idempotency key), so that the request runs at most once. The key is inserted
// into a table of the database in the same transaction as the request; the table's
// unique index makes a second run fail.
//
// A key's row is either a record that the request has run, or a tombstone. A tombstone
// with attempt n means that no attempt below n has run or can run any more; attempt n
// may still run. From the row the package decides whether to report an error, to run
// the request as attempt n, or to invalidate attempt n.
//
// The package does no I/O and reads no clock; callers pass the time.
//
// # Usage
//
//	decision := bbrrequest.OnKeyConflict(row, found, fingerprint, sinceArrival)
//	if decision.Action == bbrrequest.RunAttempt { ... }
package bbrrequest

import "time"

// Outcome is the kind of a key's row.
type Outcome string

// The outcomes. OutcomeDone is a record that the request has run, OutcomeNotRun a
// tombstone; see the package comment.
const (
	OutcomeDone   Outcome = "done"
	OutcomeNotRun Outcome = "notRun"
)

// Row is the row of a request key in the database.
type Row struct {
	Outcome Outcome
	// Attempt is, in the record of a run, the number of the attempt that ran; in a
	// tombstone, the number of the only attempt that may still run. Attempts are
	// numbered from 0, so the first tombstone has attempt 1.
	Attempt uint64
	// Fingerprint is a hash of the request that the key was used for.
	Fingerprint string
	// Age is the time since the row was written, measured by the member's clock.
	Age time.Duration
}

// The margins of a comparison between durations from two clocks that run at different
// rates: a fixed one, and 1/driftDivisor of the duration for clock drift.
const (
	fixedMargin  = 10 * time.Millisecond
	driftDivisor = 100
)

// WasWrittenBefore reports whether the row was written before a request arrived.
// sinceArrival is the time since the arrival, measured by the instance's clock. Only
// durations are compared, so the clocks of the member and the instance need not be
// synchronized. It returns false if the difference is within the margins.
func (r Row) WasWrittenBefore(sinceArrival time.Duration) bool {
	return r.Age > sinceArrival+sinceArrival/driftDivisor+fixedMargin
}

// Action is the next action for a request.
type Action string

// The actions.
const (
	// ReportAlreadyRun reports to the caller that the request has already run.
	ReportAlreadyRun Action = "tellAlreadyRun"
	// ReportKeyReused reports to the caller that the key was used for a different request.
	ReportKeyReused Action = "tellKeyReused"
	// RunAttempt runs the request with the attempt number of the row, if the row has not
	// changed since.
	RunAttempt Action = "claim"
	// InvalidateAttempt increments the attempt number of the row, so that the attempt
	// with the previous number can't run any more. If that succeeds, the request has
	// not run.
	InvalidateAttempt Action = "close"
	// Undecided means that the row was not found, so that nothing can be decided. The
	// request has to be retried, or its row looked up again.
	Undecided Action = "tryAgain"
)

// AnyFingerprint disables the comparison of fingerprints, for lookups by key alone.
const AnyFingerprint = ""

// Decision is the action to take for a request. Attempt is the row's attempt number, set
// for RunAttempt and InvalidateAttempt.
type Decision struct {
	Action  Action
	Attempt uint64
}

// OnKeyConflict decides about a request whose transaction failed because the key's row
// existed already. Nothing of the request has run. row is the key's row, found is false
// if the row has disappeared since, and sinceArrival is the time since the request
// arrived.
//
// A tombstone that is newer than the request's arrival may have been written to resolve
// this request, and the caller may already have been told that the request was not run.
// So the request must not run, and the attempt is invalidated.
func OnKeyConflict(row Row, found bool, fingerprint string, sinceArrival time.Duration) Decision {
	switch {
	case !found:
		return Decision{Action: Undecided}
	case row.Outcome == OutcomeNotRun && row.WasWrittenBefore(sinceArrival):
		return Decision{Action: RunAttempt, Attempt: row.Attempt}
	case row.Outcome == OutcomeNotRun:
		return Decision{Action: InvalidateAttempt, Attempt: row.Attempt}
	case row.Fingerprint != fingerprint:
		return Decision{Action: ReportKeyReused}
	}
	return Decision{Action: ReportAlreadyRun}
}

// OnUnknownOutcome decides about a request whose outcome is unknown, after the insert of a
// tombstone failed because the key's row existed already. If the existing row is a
// tombstone, the attempt that may still run may be in flight, so it is invalidated
// before the request is reported as not run.
func OnUnknownOutcome(row Row, found bool, fingerprint string) Decision {
	switch {
	case !found:
		return Decision{Action: Undecided}
	case row.Outcome == OutcomeNotRun:
		return Decision{Action: InvalidateAttempt, Attempt: row.Attempt}
	case fingerprint != AnyFingerprint && row.Fingerprint != fingerprint:
		return Decision{Action: ReportKeyReused}
	}
	return Decision{Action: ReportAlreadyRun}
}
