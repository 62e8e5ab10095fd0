package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrauthority"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Options are the settings of the control logic. All instances must share
// Authority.
type Options struct {
	Self      bbrjournal.Instance
	Authority bbrauthority.Settings
	// Fleet names the journal. Instances of other fleets are not listened to.
	Fleet string
	// Nonce returns a text that no other call on any instance returns.
	Nonce func() string

	HeadInterval time.Duration
	// ExchangeInterval is the pause between two messages to a peer,
	// CalmInterval that while nothing is going on.
	ExchangeInterval time.Duration
	CalmInterval     time.Duration
	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration
	PromoteTimeout   time.Duration
	AppendRetry      time.Duration
	BeatInterval     time.Duration
	// Limits tell when a member that does not answer counts as failing.
	Limits bbrmember.Limits
	// Fresh is how long a report or an answer counts.
	Fresh time.Duration
	// Silence is how long a peer may be silent before it counts as gone.
	Silence time.Duration
	// RemoveAfter is how long a peer must be gone to be removed.
	RemoveAfter time.Duration
	// RankDelay staggers the stewards, so that one acts before the next.
	RankDelay time.Duration
	// TakeoverAfter is how long a change of primary may take before another
	// steward starts it again.
	TakeoverAfter time.Duration
	// Cooldown is the time after a change of primary in which the group's
	// primary is not replaced again.
	Cooldown time.Duration
	// PlannedWait bounds the wait for a replica in a planned change.
	PlannedWait time.Duration
	// StewardCount is the number of stewards to keep.
	StewardCount int
	// ProbersPerMember is the number of instances that probe each member.
	ProbersPerMember int
	// WaitOut makes a fence wait until all authority has run out, also of
	// instances that have confirmed it. Measurements compare with it.
	WaitOut bool
	// SnapshotEvery is the number of records between two snapshots.
	SnapshotEvery bbrtype.Index
}

// DefaultOptions returns the settings for an instance, without Nonce.
func DefaultOptions(self bbrjournal.Instance) Options {
	return Options{
		Self:             self,
		Authority:        bbrauthority.DefaultSettings(),
		HeadInterval:     500 * time.Millisecond,
		ExchangeInterval: 250 * time.Millisecond,
		CalmInterval:     time.Second,
		ProbeInterval:    250 * time.Millisecond,
		ProbeTimeout:     600 * time.Millisecond,
		PromoteTimeout:   3 * time.Second,
		AppendRetry:      time.Second,
		BeatInterval:     5 * time.Second,
		Limits:           bbrmember.Limits{Refused: 400 * time.Millisecond, Silent: 1200 * time.Millisecond},
		Fresh:            time.Second,
		Silence:          3 * time.Second,
		RemoveAfter:      8 * time.Second,
		RankDelay:        400 * time.Millisecond,
		TakeoverAfter:    4 * time.Second,
		Cooldown:         2 * time.Second,
		PlannedWait:      2 * time.Second,
		StewardCount:     3,
		ProbersPerMember: 3,
		SnapshotEvery:    256,
	}
}
