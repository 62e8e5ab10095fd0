// Package bbroutcome defines the errors that callers receive. Each error has a
// reason, and each reason has one SQLSTATE and one outcome. The outcome states
// whether the statement took effect, so that the caller can decide whether to retry
// it.
//
// The outcome NotRun is reported only if no byte of the statement reached a member,
// or if the member rejected the statement, rolled it back, or can no longer commit
// it.
//
// # Usage
//
//	err := bbroutcome.New(bbroutcome.ReasonOverload, "200 statements of tenant %q are queued", tenant)
//	switch bbroutcome.OutcomeOf(err.Reason) {
//	case bbroutcome.NotRun: // the caller may retry the statement
//	}
package bbroutcome

import "fmt"

// Outcome states whether a statement took effect.
type Outcome string

// The outcomes.
const (
	// Done means that the statement took effect.
	Done Outcome = "done"
	// NotRun means that the statement had no effect and will have none.
	NotRun Outcome = "notRun"
	// Unknown means that the statement may or may not have taken effect.
	Unknown Outcome = "unknown"
	// Undetermined means that the statement wrote nothing, but may have run: a read
	// whose result was truncated, or a malformed request.
	Undetermined Outcome = "undetermined"
)

// Reason is the cause of an error that a caller receives.
type Reason string

// The reasons. reasonDetails has the SQLSTATE, outcome and hint of each.
const (
	// ReasonOverload means that the queue for a member was full.
	ReasonOverload Reason = "overload"
	// ReasonQueueTimeout means that the statement was queued for longer than the
	// tenant's queue timeout (the setting "patience").
	ReasonQueueTimeout Reason = "patience"
	// ReasonNoPrimary means that the group has no primary that can be reached and
	// that this instance may use.
	ReasonNoPrimary Reason = "noPrimary"
	// ReasonNoMember means that no member could serve the statement, or that the
	// instance does not have the required configuration or term yet.
	ReasonNoMember Reason = "noMember"
	// ReasonDraining means that the instance is shutting down.
	ReasonDraining Reason = "draining"
	// ReasonRolledBack means that the transaction or request was rolled back.
	ReasonRolledBack Reason = "rolledBack"
	// ReasonConfirmedNotRun means that the result of a request was lost, and that the
	// resolution by request key confirmed that the request has not run.
	ReasonConfirmedNotRun Reason = "resolvedNotRun"
	// ReasonOutcomeUnknown means that it is unknown whether the statement took effect.
	ReasonOutcomeUnknown Reason = "unknown"
	// ReasonAlreadyRun means that the request with the same key has already run.
	ReasonAlreadyRun Reason = "alreadyRun"
	// ReasonKeyReused means that the request key was used for a different request.
	ReasonKeyReused Reason = "keyReused"
	// ReasonPositionLost means that a change of primary lost log entries that the
	// session had seen.
	ReasonPositionLost Reason = "positionLost"
	// ReasonResultTruncated means that the result of a read was truncated, for example
	// because the connection to the member broke.
	ReasonResultTruncated Reason = "cutShort"
	// ReasonUnsupported means that the proxy does not support the request.
	ReasonUnsupported Reason = "unsupported"
	// ReasonBadToken means that a session token is invalid or belongs to another group.
	ReasonBadToken Reason = "badToken"
	// ReasonBadSetting means that a session setting is unknown or has an invalid value.
	ReasonBadSetting Reason = "badSetting"
	// ReasonProtocolViolation means that the caller violated the wire protocol.
	ReasonProtocolViolation Reason = "protocol"
	// ReasonTooLarge means that a message, a batch or the set of session settings
	// exceeds a limit.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonAccessDenied means that the caller is not authenticated, is not allowed to use
	// the route, or connected without the required TLS.
	ReasonAccessDenied Reason = "denied"
	// ReasonNoRoute means that the caller has no route with the name, or that the route
	// has no group.
	ReasonNoRoute Reason = "noRoute"
	// ReasonTooManyConnections means that a limit on the number of connections is reached.
	ReasonTooManyConnections Reason = "connections"
	// ReasonCancelled means that the statement was cancelled.
	ReasonCancelled Reason = "cancelled"
)

// reasonDetail holds the properties of a reason.
type reasonDetail struct {
	sqlState string
	outcome  Outcome
	hint     string
}

var reasonDetails = map[Reason]reasonDetail{
	ReasonOverload:           {"53400", NotRun, "send it again later"},
	ReasonQueueTimeout:       {"UB006", NotRun, "send it again later"},
	ReasonNoPrimary:          {"57P03", NotRun, "send it again in a few seconds"},
	ReasonNoMember:           {"UB005", NotRun, "send it again in a few seconds"},
	ReasonDraining:           {"57P01", NotRun, "connect again and send it again"},
	ReasonRolledBack:         {"40001", NotRun, "run the transaction again"},
	ReasonConfirmedNotRun:    {"UB004", NotRun, "send it again, with the same request key"},
	ReasonOutcomeUnknown:     {"08007", Unknown, "look the request up by its key, or check the data, before sending it again"},
	ReasonAlreadyRun:         {"UB001", Done, "the request was run before; do not send it again"},
	ReasonKeyReused:          {"UB002", NotRun, "give each request a key of its own"},
	ReasonPositionLost:       {"UB003", NotRun, "data that this session saw was lost in a change of primary; check it and go on"},
	ReasonResultTruncated:    {"08006", Undetermined, "the answer is incomplete; send the read again"},
	ReasonUnsupported:        {"0A000", NotRun, ""},
	ReasonBadToken:           {"22023", NotRun, "use a token that this system gave to the same caller"},
	ReasonBadSetting:         {"22P02", NotRun, ""},
	ReasonProtocolViolation:  {"08P01", Undetermined, ""},
	ReasonTooLarge:           {"54000", NotRun, ""},
	ReasonAccessDenied:       {"28P01", NotRun, ""},
	ReasonNoRoute:            {"3D000", NotRun, ""},
	ReasonTooManyConnections: {"53300", NotRun, "close connections that are not used"},
	ReasonCancelled:          {"57014", NotRun, ""},
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

// OutcomeOf returns the outcome that a reason implies.
func OutcomeOf(r Reason) Outcome { return reasonDetails[r].outcome }

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
