// Package bbrauthority decides until when an instance may report a commit as
// successful to its caller, and when a steward may start a failover. A steward is an
// instance that may append fences to the journal. A fence is the entry that starts a
// failover. A fence is complete once no instance can acknowledge a write of the old term.
//
// Authority is a lease. An instance has authority as long as it has applied every
// fence that may be complete. A steward waits for Settings.Duration after its fence,
// so that every authority obtained before the fence has expired. Two kinds of proof
// extend the lease. Each extends it to the time at which the proof was requested plus
// Settings.Duration, less Settings.Margin:
//
//   - a read of the journal after which the instance has applied every record;
//   - a grant from every steward, used while the journal's store is unavailable. A
//     steward that gave a grant appends no fence until the duration has passed.
//
// All times are readings of the monotonic clock of the local instance. The margin
// covers the drift between the clocks of two instances.
//
// # Usage
//
//	h := bbrauthority.LeaseHolder{Settings: settings}
//	h.RecordRead(sentAt)
//	if h.ExpiresAt(state.Stewards) > clock.Now() {
//		// the commit may be reported as successful
//	}
package bbrauthority

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Default durations.
const (
	DefaultDuration = 2 * time.Second
	DefaultMargin   = 100 * time.Millisecond
	DefaultHoldover = 15 * time.Minute
)

// Settings are the durations that all instances share.
type Settings struct {
	// Duration is the length of the lease. A steward also waits for this time after it
	// appends a fence.
	Duration time.Duration
	// Margin is subtracted from Duration by the holder, to allow for clock drift.
	Margin time.Duration
	// Holdover is how long a steward gives grants after its last stored heartbeat, while
	// the store is unavailable.
	Holdover time.Duration
}

// DefaultSettings returns the default durations.
func DefaultSettings() Settings {
	return Settings{Duration: DefaultDuration, Margin: DefaultMargin, Holdover: DefaultHoldover}
}

// LeaseHolder tracks the authority of one instance.
type LeaseHolder struct {
	Settings Settings

	lastReadAt       bbrtype.Mono
	grantRequestedAt map[bbrtype.InstanceID]bbrtype.Mono
}

// RecordRead records a read of the journal whose request was sent at sentAt. It must be
// called only after the instance has applied every record that the read returned.
func (h *LeaseHolder) RecordRead(sentAt bbrtype.Mono) { h.lastReadAt = max(h.lastReadAt, sentAt) }

// RecordGrant records a grant from a steward that was requested at requestedAt.
func (h *LeaseHolder) RecordGrant(steward bbrtype.InstanceID, requestedAt bbrtype.Mono) {
	if h.grantRequestedAt == nil {
		h.grantRequestedAt = map[bbrtype.InstanceID]bbrtype.Mono{}
	}
	h.grantRequestedAt[steward] = max(h.grantRequestedAt[steward], requestedAt)
}

// LastReadAt returns when the newest recorded read was sent.
func (h *LeaseHolder) LastReadAt() bbrtype.Mono { return h.lastReadAt }

// ExpiresAt returns when the authority expires, given the stewards in the applied journal.
// The time may lie in the past.
func (h *LeaseHolder) ExpiresAt(stewards []bbrtype.InstanceID) bbrtype.Mono {
	provenAt := h.lastReadAt
	if len(stewards) > 0 {
		provenAt = max(provenAt, h.oldestGrantAt(stewards))
	}
	if provenAt == 0 {
		return 0
	}
	return provenAt.Add(h.Settings.Duration - h.Settings.Margin)
}

// oldestGrantAt returns when the oldest of the stewards' grants was requested, 0 if
// the grant of a steward is missing.
func (h *LeaseHolder) oldestGrantAt(stewards []bbrtype.InstanceID) bbrtype.Mono {
	oldest := bbrtype.Mono(0)
	for i, id := range stewards {
		requestedAt, ok := h.grantRequestedAt[id]
		if !ok {
			return 0
		}
		if i == 0 || requestedAt < oldest {
			oldest = requestedAt
		}
	}
	return oldest
}

// NeedsGrants reports whether grants should be requested: more than half of the
// duration has passed since the last read.
func (h *LeaseHolder) NeedsGrants(now bbrtype.Mono) bool {
	return now.Sub(h.lastReadAt) > h.Settings.Duration/2
}

// LeaseGranter tracks the grants that one steward has given.
type LeaseGranter struct {
	Settings Settings

	grantedUntil bbrtype.Mono
	heartbeatAt  bbrtype.Mono
}

// RecordHeartbeat records that the store has accepted the heartbeat that the
// steward sent at sentAt. The steward gives grants only for Settings.Holdover after
// that time.
func (g *LeaseGranter) RecordHeartbeat(sentAt bbrtype.Mono) {
	g.heartbeatAt = max(g.heartbeatAt, sentAt)
}

// GrantRequest is an instance's request for a grant, together with the state of the
// steward that receives the request.
type GrantRequest struct {
	// RequesterApplied is the index of the newest record that the requesting instance has
	// applied, StewardApplied that of the steward.
	RequesterApplied bbrtype.Index
	StewardApplied   bbrtype.Index
	// IsSteward is set if the receiver of the request is a steward according to the
	// journal up to StewardApplied.
	IsSteward bool
	// AppendPending is set while the result of an append by the steward is unknown.
	AppendPending bool
	// RequesterIsInstance is set if the journal up to StewardApplied lists the
	// requesting instance.
	RequesterIsInstance bool
	// FencePending is set while the steward has a fence to append and can reach the store.
	// The steward then gives no grants, because further grants would delay the fence
	// indefinitely.
	FencePending bool
}

// Grant gives a grant, if the steward may give one, and reports whether it did. After a
// grant the steward appends no fence and no new set of stewards for
// Settings.Duration.
func (g *LeaseGranter) Grant(now bbrtype.Mono, r GrantRequest) bool {
	if !r.IsSteward || !r.RequesterIsInstance || r.AppendPending || r.FencePending || r.RequesterApplied < r.StewardApplied {
		return false
	}
	if g.heartbeatAt == 0 || now.Sub(g.heartbeatAt) > g.Settings.Holdover {
		return false
	}
	g.grantedUntil = max(g.grantedUntil, now.Add(g.Settings.Duration))
	return true
}

// GrantsExpired reports whether all grants have expired, so that the steward may append
// a fence or a new set of stewards.
func (g *LeaseGranter) GrantsExpired(now bbrtype.Mono) bool { return now >= g.grantedUntil }
