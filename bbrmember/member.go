// Package bbrmember holds what an instance knows of the members of database
// groups: their reported state, and whether they answer.
//
// # Usage
//
//	var h bbrmember.Health
//	h.Good(now)
//	h.Bad(later, sentAt, bbrmember.FailureSilent)
//	if h.IsFailing(later, limits) {
//		// the member has not answered for too long
//	}
package bbrmember

import (
	"cmp"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Ref names a member within its group.
type Ref struct {
	Group  bbrtype.GroupName  `json:"group"`
	Member bbrtype.MemberName `json:"member"`
}

// Compare orders references by group and member.
func Compare(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Member, b.Member))
}

// State is what a member reports of itself.
type State struct {
	Primary bool `json:"primary"`
	// Position is the end of what the member shows to a read.
	Position bbrtype.Position `json:"position"`
	// Received is the end of what the member will show after a promotion.
	Received bbrtype.Position `json:"received"`
	History  bbrtype.History  `json:"history"`
}

// FailureKind tells how a member failed to answer.
type FailureKind string

// The kinds of failure. A refused connection is a stronger sign than silence.
const (
	FailureNone    FailureKind = ""
	FailureRefused FailureKind = "refused"
	FailureSilent  FailureKind = "silent"
)

// Limits are the times after which a member that does not answer counts as
// failing, since its last answer.
type Limits struct {
	Refused time.Duration
	Silent  time.Duration
}

// Health is one instance's experience with a member. The zero value has none.
type Health struct {
	// Since is when the experience began.
	Since bbrtype.Mono
	// LastGood is when the member last answered.
	LastGood bbrtype.Mono
	// LastBad is when it last failed to.
	LastBad bbrtype.Mono
	Kind    FailureKind
}

// Good notes an answer.
func (h *Health) Good(now bbrtype.Mono) {
	if h.Since == 0 {
		h.Since = now
	}
	h.LastGood = max(h.LastGood, now)
	if h.LastGood >= h.LastBad {
		h.Kind = FailureNone
	}
}

// Bad notes a failure to answer a request that was sent at sentAt, 0 if
// unknown.
func (h *Health) Bad(now, sentAt bbrtype.Mono, kind FailureKind) {
	if h.Since == 0 {
		h.Since = now
		if sentAt != 0 {
			h.Since = sentAt
		}
	}
	if now < h.LastGood {
		return
	}
	h.LastBad = now
	h.Kind = kind
}

// BadFor returns how long the member has not answered, and 0 if its last sign
// was good.
func (h *Health) BadFor(now bbrtype.Mono) time.Duration {
	if h.Kind == FailureNone {
		return 0
	}
	return now.Sub(max(h.LastGood, h.Since))
}

// IsFailing reports whether the member has failed to answer for its limit.
func (h *Health) IsFailing(now bbrtype.Mono, l Limits) bool {
	switch h.Kind {
	case FailureRefused:
		return h.BadFor(now) >= l.Refused
	case FailureSilent:
		return h.BadFor(now) >= l.Silent
	}
	return false
}
