// Package bbroutcome defines the errors that callers receive. Each error has a
// reason, and each reason has one SQLSTATE and one outcome. The outcome states
// whether the statement took effect, so that the caller can decide whether to retry
// it.
//
// The outcome NotRun is reported only if no byte of the statement reached a member,
// or if the member rejected it, rolled it back, or can no longer commit it.
//
// # Usage
//
//	err := bbroutcome.New(bbroutcome.ReasonOverload, "200 statements of tenant residents wait")
//	switch bbroutcome.Of(err.Reason) {
//	case bbroutcome.NotRun: // the caller may retry the statement
//	}
package bbroutcome

import "fmt"

// Outcome states whether a statement took effect.
type Outcome string

// The outcomes. Unknown means that the statement may or may not have taken effect.
// Undetermined is for reads whose result was truncated and for malformed requests:
// whether the statement ran is not determined, but it wrote nothing.
const (
	Done         Outcome = "done"
	NotRun       Outcome = "notRun"
	Unknown      Outcome = "unknown"
	Undetermined Outcome = "undetermined"
)

// Reason is the cause of an error that a caller receives.
type Reason string

// The reasons, with the SQLSTATE, outcome and hint of each in reasonDetails.
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

// reasonDetail holds the properties of a reason.
type reasonDetail struct {
	sqlState string
	outcome  Outcome
	hint     string
}

var reasonDetails = map[Reason]reasonDetail{
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

// Error is an error that is reported to a caller.
type Error struct {
	Reason  Reason
	Message string
}

// New returns an error with a reason and a formatted message.
func New(r Reason, format string, args ...any) *Error {
	return &Error{Reason: r, Message: fmt.Sprintf(format, args...)}
}

func (e *Error) Error() string { return string(e.Reason) + ": " + e.Message }

// SQLState returns the SQLSTATE of the reason.
func (e *Error) SQLState() string { return reasonDetails[e.Reason].sqlState }

// Hint returns what the caller can do about the error. It may be empty.
func (e *Error) Hint() string { return reasonDetails[e.Reason].hint }

// Of returns the outcome that a reason implies.
func Of(r Reason) Outcome { return reasonDetails[r].outcome }

// Reasons returns all reasons with their SQLSTATE and outcome.
func Reasons() map[Reason]struct {
	SQLState string
	Outcome  Outcome
} {
	out := map[Reason]struct {
		SQLState string
		Outcome  Outcome
	}{}
	for r, d := range reasonDetails {
		out[r] = struct {
			SQLState string
			Outcome  Outcome
		}{d.sqlState, d.outcome}
	}
	return out
}
