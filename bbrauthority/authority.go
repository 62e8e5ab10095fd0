// Package bbrauthority decides until when an instance may report a commit as
// successful to its caller, and when a steward may start a failover. Stewards are
// the instances that may append fences, the journal entries that start a failover.
//
// Authority is a lease. An instance has authority while no fence that it has not
// applied can be complete: a steward waits for Settings.Duration after its fence,
// so that every authority obtained before the fence has expired. Two kinds of proof
// extend the authority of an instance until the proof's request time plus the
// duration:
//
//   - a read of the journal that showed no record which the instance has not
//     applied;
//   - a grant from every steward, used while the store is unavailable. With a grant
//     a steward promises not to append a fence for the duration.
//
// All times are readings of the monotonic clock of the local instance. The margin
// covers the drift between the clocks of two instances.
//
// # Usage
//
//	h := bbrauthority.Holder{Settings: settings}
//	h.Shown(sentAt)
//	if h.Until(state.Stewards) > clock.Now() {
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
	// Duration is how long a proof extends authority. A steward waits as long after a
	// fence.
	Duration time.Duration
	// Margin is subtracted from Duration by the holder.
	Margin time.Duration
	// Holdover is how long a steward may give grants after the last heartbeat that it
	// stored, while the store is unavailable.
	Holdover time.Duration
}

// DefaultSettings returns the default durations.
func DefaultSettings() Settings {
	return Settings{Duration: DefaultDuration, Margin: DefaultMargin, Holdover: DefaultHoldover}
}

// Holder tracks the authority of one instance.
type Holder struct {
	Settings Settings

	lastReadAt bbrtype.Mono
	grants     map[bbrtype.InstanceID]bbrtype.Mono
}

// Shown records a read of the journal that was sent at sentAt. The instance must
// have applied every record that the read returned.
func (h *Holder) Shown(sentAt bbrtype.Mono) { h.lastReadAt = max(h.lastReadAt, sentAt) }

// Vouched records a grant from a steward that was requested at requestedAt.
func (h *Holder) Vouched(steward bbrtype.InstanceID, requestedAt bbrtype.Mono) {
	if h.grants == nil {
		h.grants = map[bbrtype.InstanceID]bbrtype.Mono{}
	}
	h.grants[steward] = max(h.grants[steward], requestedAt)
}

// ShownAt returns when the last read that proved authority was sent.
func (h *Holder) ShownAt() bbrtype.Mono { return h.lastReadAt }

// Until returns when the authority expires, given the applied set of stewards. The
// time may lie in the past.
func (h *Holder) Until(stewards []bbrtype.InstanceID) bbrtype.Mono {
	provenAt := h.lastReadAt
	if len(stewards) > 0 {
		provenAt = max(provenAt, h.oldestGrant(stewards))
	}
	if provenAt == 0 {
		return 0
	}
	return provenAt.Add(h.Settings.Duration - h.Settings.Margin)
}

// oldestGrant returns when the oldest of the stewards' grants was requested, 0 if
// the grant of a steward is missing.
func (h *Holder) oldestGrant(stewards []bbrtype.InstanceID) bbrtype.Mono {
	oldest := bbrtype.Mono(0)
	for i, id := range stewards {
		requestedAt, ok := h.grants[id]
		if !ok {
			return 0
		}
		if i == 0 || requestedAt < oldest {
			oldest = requestedAt
		}
	}
	return oldest
}

// NeedsVouch reports whether grants should be requested: more than half of the
// duration has passed since the last read.
func (h *Holder) NeedsVouch(now bbrtype.Mono) bool {
	return now.Sub(h.lastReadAt) > h.Settings.Duration/2
}

// Voucher tracks the grants that one steward has given.
type Voucher struct {
	Settings Settings

	grantedUntil bbrtype.Mono
	heartbeatAt  bbrtype.Mono
}

// Beaten records that the store has the steward's heartbeat that was sent at
// sentAt. The steward gives grants only for Settings.Holdover after that time.
func (v *Voucher) Beaten(sentAt bbrtype.Mono) { v.heartbeatAt = max(v.heartbeatAt, sentAt) }

// Request is an instance's request for a grant, together with the state of the
// steward that receives the request.
type Request struct {
	// AskerApplied is the index that the requesting instance has applied, OwnApplied
	// the index that the steward has applied.
	AskerApplied bbrtype.Index
	OwnApplied   bbrtype.Index
	// IsSteward is set if the receiver of the request is a steward at OwnApplied.
	IsSteward bool
	// AppendOpen is set while the result of an append by the steward is unknown.
	AppendOpen bool
	// AskerIsMember is set if the journal at OwnApplied lists the requesting instance.
	AskerIsMember bool
	// FenceWanted is set while the steward is about to append a fence and can reach
	// the store. Further grants would delay the fence indefinitely.
	FenceWanted bool
}

// Vouch grants authority: the steward promises to append no fence and no new set of
// stewards for Settings.Duration. It returns false and promises nothing if the
// steward must not give a grant.
func (v *Voucher) Vouch(now bbrtype.Mono, r Request) bool {
	if !r.IsSteward || !r.AskerIsMember || r.AppendOpen || r.FenceWanted || r.AskerApplied < r.OwnApplied {
		return false
	}
	if v.heartbeatAt == 0 || now.Sub(v.heartbeatAt) > v.Settings.Holdover {
		return false
	}
	v.grantedUntil = max(v.grantedUntil, now.Add(v.Settings.Duration))
	return true
}

// MayAppend reports whether all grants have expired, so that the steward may append
// a fence or a new set of stewards.
func (v *Voucher) MayAppend(now bbrtype.Mono) bool { return now >= v.grantedUntil }
