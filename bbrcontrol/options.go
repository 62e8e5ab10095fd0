package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrauthority"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Options are the settings of the control logic. All instances of a fleet must
// have the same Authority settings.
type Options struct {
	Self      bbrjournal.Instance
	Authority bbrauthority.Settings
	// FleetName is the name of the fleet, which is the set of instances that
	// share one journal. Messages from other fleets are ignored.
	FleetName string
	// Nonce returns a string that no other call on any instance returns.
	Nonce func() string

	// JournalReadInterval is the time between two reads of the journal.
	JournalReadInterval time.Duration
	// ExchangeInterval is the time between two messages to a peer. SteadyInterval
	// replaces it in the steady state, in which no failure or change is in
	// progress.
	ExchangeInterval time.Duration
	SteadyInterval   time.Duration
	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration
	PromoteTimeout   time.Duration
	// AppendRetryInterval is the time before a pending append is sent again.
	AppendRetryInterval time.Duration
	// HeartbeatInterval is the time between two heartbeats of a steward, and
	// between two reads of the heartbeats of unreachable stewards.
	HeartbeatInterval time.Duration
	// FailureLimits are the times after which a member that does not answer
	// counts as failing.
	FailureLimits bbrmember.FailureLimits
	// ObservationTTL is how long a peer's report or a member's answer remains
	// valid.
	ObservationTTL time.Duration
	// PeerTimeout is how long a peer may send no message before it counts as
	// unreachable.
	PeerTimeout time.Duration
	// RemoveAfter is how long an instance must be unreachable before it is
	// removed from the journal.
	RemoveAfter time.Duration
	// RankDelay is multiplied by a steward's rank to get the time by which it
	// delays a fence, so that the stewards before it have had time to append
	// theirs.
	RankDelay time.Duration
	// ChangeTimeout is how long a change of primary may take before another
	// steward restarts it with a new fence.
	ChangeTimeout time.Duration
	// Cooldown is the time after a change of primary in which the group's
	// primary is not replaced again.
	Cooldown time.Duration
	// CatchUpTimeout bounds the wait for a replica to catch up in a planned change
	// of primary.
	CatchUpTimeout time.Duration
	// StewardCount is the intended number of stewards.
	StewardCount int
	// ProbersPerMember is the number of instances that probe each member.
	ProbersPerMember int
	// AlwaysAwaitExpiry makes every fence wait for the full authority duration,
	// even if all instances have confirmed the fence. It serves as the baseline
	// in measurements.
	AlwaysAwaitExpiry bool
	// SnapshotEvery is the number of records between two snapshots.
	SnapshotEvery bbrtype.Index
}

// DefaultOptions returns the default options of an instance. Nonce and FleetName
// are not set.
func DefaultOptions(self bbrjournal.Instance) Options {
	return Options{
		Self:                self,
		Authority:           bbrauthority.DefaultSettings(),
		JournalReadInterval: 500 * time.Millisecond,
		ExchangeInterval:    250 * time.Millisecond,
		SteadyInterval:      time.Second,
		ProbeInterval:       250 * time.Millisecond,
		ProbeTimeout:        600 * time.Millisecond,
		PromoteTimeout:      3 * time.Second,
		AppendRetryInterval: time.Second,
		HeartbeatInterval:   5 * time.Second,
		FailureLimits:       bbrmember.FailureLimits{Refused: 400 * time.Millisecond, NoResponse: 1200 * time.Millisecond},
		ObservationTTL:      time.Second,
		PeerTimeout:         3 * time.Second,
		RemoveAfter:         8 * time.Second,
		RankDelay:           400 * time.Millisecond,
		ChangeTimeout:       4 * time.Second,
		Cooldown:            2 * time.Second,
		CatchUpTimeout:      2 * time.Second,
		StewardCount:        3,
		ProbersPerMember:    3,
		SnapshotEvery:       256,
	}
}
