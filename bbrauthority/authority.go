// Package bbrauthority decides until when an instance may pass on a commit's
// success, and when a steward may start a change of primary.
//
// An instance holds authority because it knows that no fence which it has not
// applied can have been completed. Two proofs serve. A read of the journal
// that was sent at t and showed no unknown record proves it until t plus the
// authority's duration, because a steward waits that long after its fence.
// While the store is down, each steward can promise not to append a fence for
// the same time; the promises of all stewards together prove it too.
//
// All times are readings of one monotonic clock. The margin covers the drift
// between the clocks of two instances.
//
// # Usage
//
//	h := bbrauthority.Holder{Settings: settings}
//	h.Shown(sentAt)
//	if h.Until(state.Stewards) > clock.Now() {
//		// a commit's success may be passed on
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
	// Duration is how long a proof lasts. A steward waits as long after a
	// fence.
	Duration time.Duration
	// Margin is taken off the duration by the holder.
	Margin time.Duration
	// Holdover bounds how long a steward may promise without the store.
	Holdover time.Duration
}

// DefaultSettings returns the default durations.
func DefaultSettings() Settings {
	return Settings{Duration: DefaultDuration, Margin: DefaultMargin, Holdover: DefaultHoldover}
}

// Holder is the authority of one instance.
type Holder struct {
	Settings Settings

	shownAt bbrtype.Mono
	vouches map[bbrtype.InstanceID]bbrtype.Mono
}

// Shown notes a read of the journal, sent at sentAt, after which every record
// is applied.
func (h *Holder) Shown(sentAt bbrtype.Mono) { h.shownAt = max(h.shownAt, sentAt) }

// Vouched notes a steward's promise that was asked for at askedAt.
func (h *Holder) Vouched(by bbrtype.InstanceID, askedAt bbrtype.Mono) {
	if h.vouches == nil {
		h.vouches = map[bbrtype.InstanceID]bbrtype.Mono{}
	}
	h.vouches[by] = max(h.vouches[by], askedAt)
}

// ShownAt returns when the last read that proved authority was sent.
func (h *Holder) ShownAt() bbrtype.Mono { return h.shownAt }

// Until returns the end of the authority under the applied set of stewards. It
// may lie in the past.
func (h *Holder) Until(stewards []bbrtype.InstanceID) bbrtype.Mono {
	proven := h.shownAt
	if len(stewards) > 0 {
		proven = max(proven, h.oldestVouch(stewards))
	}
	if proven == 0 {
		return 0
	}
	return proven.Add(h.Settings.Duration - h.Settings.Margin)
}

// oldestVouch returns when the oldest of all stewards' promises was asked for,
// 0 if one is missing.
func (h *Holder) oldestVouch(stewards []bbrtype.InstanceID) bbrtype.Mono {
	oldest := bbrtype.Mono(0)
	for i, id := range stewards {
		at, ok := h.vouches[id]
		if !ok {
			return 0
		}
		if i == 0 || at < oldest {
			oldest = at
		}
	}
	return oldest
}

// NeedsVouch reports whether a promise should be asked for: half of the last
// read's proof is gone.
func (h *Holder) NeedsVouch(now bbrtype.Mono) bool {
	return now.Sub(h.shownAt) > h.Settings.Duration/2
}

// Voucher keeps the promises that one steward has given.
type Voucher struct {
	Settings Settings

	until  bbrtype.Mono
	beatAt bbrtype.Mono
}

// Beaten notes that the steward's heartbeat, sent at sentAt, is in the store.
// Promises are given only for the holdover after it.
func (v *Voucher) Beaten(sentAt bbrtype.Mono) { v.beatAt = max(v.beatAt, sentAt) }

// Request is what a steward weighs before it promises.
type Request struct {
	// AskerApplied and OwnApplied are the indexes applied by the two sides.
	AskerApplied bbrtype.Index
	OwnApplied   bbrtype.Index
	// IsSteward tells whether the asked one is a steward at OwnApplied.
	IsSteward bool
	// AppendOpen is set while the fate of an own append is unknown.
	AppendOpen bool
	// AskerIsMember tells whether the asker is an instance at OwnApplied.
	AskerIsMember bool
	// FenceWanted is set while the steward wants to append a fence and can
	// reach the store. Further promises would delay it without end.
	FenceWanted bool
}

// Vouch promises not to append a fence or a set of stewards for the authority's
// duration. It returns false, and promises nothing, if it must not.
func (v *Voucher) Vouch(now bbrtype.Mono, r Request) bool {
	if !r.IsSteward || !r.AskerIsMember || r.AppendOpen || r.FenceWanted || r.AskerApplied < r.OwnApplied {
		return false
	}
	if v.beatAt == 0 || now.Sub(v.beatAt) > v.Settings.Holdover {
		return false
	}
	v.until = max(v.until, now.Add(v.Settings.Duration))
	return true
}

// MayAppend reports whether all promises have run out, so that a fence or a set
// of stewards may be appended.
func (v *Voucher) MayAppend(now bbrtype.Mono) bool { return now >= v.until }
