// Package bbrmember defines the state that members of database groups report, and
// tracks the health of members as one instance observes it. The instance records each
// response and each failure to respond. A member counts as failing if it has not
// responded for at least a limit that depends on the kind of failure.
//
// # Usage
//
//	var h bbrmember.Health
//	h.RecordResponse(now)
//	h.RecordFailure(later, sentAt, bbrmember.FailureNoResponse)
//	if h.IsFailing(later, limits) {
//		// the member has not responded within the limit
//	}
package bbrmember

import (
	"cmp"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Ref identifies a member by its group and name.
type Ref struct {
	Group  bbrtype.GroupName  `json:"group"`
	Member bbrtype.MemberName `json:"member"`
}

// CompareRefs orders references by group, then by member.
func CompareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Member, b.Member))
}

// State is the replication state that a member reports.
type State struct {
	Primary bool `json:"primary"`
	// Position is the log position up to which the member has applied the log, so that
	// reads see the changes.
	Position bbrtype.Position `json:"position"`
	// Received is the log position up to which the member has received data. A
	// member applies all of it before it is promoted.
	Received bbrtype.Position `json:"received"`
	// History identifies the branch (timeline) of the log that the member follows.
	History bbrtype.History `json:"history"`
}

// FailureKind is the way in which a member failed to respond.
type FailureKind string

// The kinds of failure. FailureRefused is a refused connection, FailureNoResponse a
// missing response. A refused connection is stronger evidence that the member is down,
// so the two kinds have separate limits.
const (
	FailureNone       FailureKind = ""
	FailureRefused    FailureKind = "refused"
	FailureNoResponse FailureKind = "silent"
)

// FailureLimits has, for each kind of failure, the time without a response after which
// a member counts as failing.
type FailureLimits struct {
	Refused    time.Duration
	NoResponse time.Duration
}

// Health records the responses and failures of a member that one instance observed. The
// zero value has no observations.
type Health struct {
	// FirstObserved is the time of the first observation, 0 if there is none. For a
	// failure, the time at which the request was sent is used, if known.
	FirstObserved bbrtype.Mono
	// LastResponse is the time of the last response.
	LastResponse bbrtype.Mono
	// LastFailure is the time of the last failure to respond.
	LastFailure bbrtype.Mono
	// Failure is the kind of the last failure, FailureNone if the member has responded
	// since.
	Failure FailureKind
}

// RecordResponse records a response.
func (h *Health) RecordResponse(now bbrtype.Mono) {
	if h.FirstObserved == 0 {
		h.FirstObserved = now
	}
	h.LastResponse = max(h.LastResponse, now)
	if h.LastResponse >= h.LastFailure {
		h.Failure = FailureNone
	}
}

// RecordFailure records a failure to respond to a request. sentAt is the time at which
// the request was sent, 0 if unknown. A failure that is older than the last response is
// ignored.
func (h *Health) RecordFailure(now, sentAt bbrtype.Mono, kind FailureKind) {
	if h.FirstObserved == 0 {
		h.FirstObserved = now
		if sentAt != 0 {
			h.FirstObserved = sentAt
		}
	}
	if now < h.LastResponse {
		return
	}
	h.LastFailure = now
	h.Failure = kind
}

// UnresponsiveFor returns the time since the last response, or 0 if the last
// observation was a response. If there was no response yet, it returns the time since
// the first observation.
func (h *Health) UnresponsiveFor(now bbrtype.Mono) time.Duration {
	if h.Failure == FailureNone {
		return 0
	}
	return now.Sub(max(h.LastResponse, h.FirstObserved))
}

// IsFailing reports whether the member has not responded for at least the limit for the
// kind of the last failure.
func (h *Health) IsFailing(now bbrtype.Mono, l FailureLimits) bool {
	switch h.Failure {
	case FailureRefused:
		return h.UnresponsiveFor(now) >= l.Refused
	case FailureNoResponse:
		return h.UnresponsiveFor(now) >= l.NoResponse
	}
	return false
}
