// Package bbroutcome says what a caller is told about a statement: that it was
// done, that it was not run, or that its fate is unknown. Each reason has one
// SQLSTATE.
//
// NotRun is said only if no byte of the statement reached a member, or if the
// member refused it, rolled it back, or can never commit it.
//
// # Usage
//
//	err := bbroutcome.New(bbroutcome.ReasonOverload, "200 statements of tenant residents wait")
//	switch bbroutcome.Of(err.Reason) {
//	case bbroutcome.NotRun: // the caller may send it again
//	}
package bbroutcome

import "fmt"

// Outcome is what became of a statement.
type Outcome string

// The outcomes. Undetermined concerns reads that were cut short and requests
// that were malformed: nothing was written.
const (
	Done         Outcome = "done"
	NotRun       Outcome = "notRun"
	Unknown      Outcome = "unknown"
	Undetermined Outcome = "undetermined"
)

// Reason is why a caller gets an error.
type Reason string

// The reasons.
const (
	ReasonOverload       Reason = "overload"
	ReasonPatience       Reason = "patience"
	ReasonNoPrimary      Reason = "noPrimary"
	ReasonNoMember       Reason = "noMember"
	ReasonDraining       Reason = "draining"
	ReasonRolledBack     Reason = "rolledBack"
	ReasonResolvedNotRun Reason = "resolvedNotRun"
	ReasonUnknown        Reason = "unknown"
	ReasonAlreadyRun     Reason = "alreadyRun"
	ReasonKeyReused      Reason = "keyReused"
	ReasonPositionLost   Reason = "positionLost"
	ReasonCutShort       Reason = "cutShort"
	ReasonUnsupported    Reason = "unsupported"
	ReasonBadToken       Reason = "badToken"
	ReasonBadSetting     Reason = "badSetting"
	ReasonProtocol       Reason = "protocol"
	ReasonTooLarge       Reason = "tooLarge"
	ReasonDenied         Reason = "denied"
	ReasonNoRoute        Reason = "noRoute"
	ReasonConnections    Reason = "connections"
	ReasonCancelled      Reason = "cancelled"
)

// detail is what belongs to a reason.
type detail struct {
	state   string
	outcome Outcome
	hint    string
}

var details = map[Reason]detail{
	ReasonOverload:       {"53400", NotRun, "send it again later"},
	ReasonPatience:       {"UB006", NotRun, "send it again later"},
	ReasonNoPrimary:      {"57P03", NotRun, "send it again in a few seconds"},
	ReasonNoMember:       {"UB005", NotRun, "send it again in a few seconds"},
	ReasonDraining:       {"57P01", NotRun, "connect again and send it again"},
	ReasonRolledBack:     {"40001", NotRun, "run the transaction again"},
	ReasonResolvedNotRun: {"UB004", NotRun, "send it again, with the same request key"},
	ReasonUnknown:        {"08007", Unknown, "look the request up by its key, or check the data, before sending it again"},
	ReasonAlreadyRun:     {"UB001", Done, "the request was run before; do not send it again"},
	ReasonKeyReused:      {"UB002", NotRun, "give each request a key of its own"},
	ReasonPositionLost:   {"UB003", NotRun, "data that this session saw was lost in a change of primary; check it and go on"},
	ReasonCutShort:       {"08006", Undetermined, "the answer is incomplete; send the read again"},
	ReasonUnsupported:    {"0A000", NotRun, ""},
	ReasonBadToken:       {"22023", NotRun, "use a token that this system gave to the same caller"},
	ReasonBadSetting:     {"22P02", NotRun, ""},
	ReasonProtocol:       {"08P01", Undetermined, ""},
	ReasonTooLarge:       {"54000", NotRun, ""},
	ReasonDenied:         {"28P01", NotRun, ""},
	ReasonNoRoute:        {"3D000", NotRun, ""},
	ReasonConnections:    {"53300", NotRun, "close connections that are not used"},
	ReasonCancelled:      {"57014", NotRun, ""},
}

// Error is what a caller is told.
type Error struct {
	Reason  Reason
	Message string
}

// New returns an error for a reason.
func New(r Reason, format string, args ...any) *Error {
	return &Error{Reason: r, Message: fmt.Sprintf(format, args...)}
}

func (e *Error) Error() string { return string(e.Reason) + ": " + e.Message }

// SQLState returns the code that goes with the reason.
func (e *Error) SQLState() string { return details[e.Reason].state }

// Hint returns what the caller can do.
func (e *Error) Hint() string { return details[e.Reason].hint }

// Of returns what a reason says about the statement.
func Of(r Reason) Outcome { return details[r].outcome }

// Reasons lists all reasons with their SQLSTATE and outcome, for the
// documentation.
func Reasons() map[Reason]struct {
	SQLState string
	Outcome  Outcome
} {
	out := map[Reason]struct {
		SQLState string
		Outcome  Outcome
	}{}
	for r, d := range details {
		out[r] = struct {
			SQLState string
			Outcome  Outcome
		}{d.state, d.outcome}
	}
	return out
}
