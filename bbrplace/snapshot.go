package bbrplace

import (
	"slices"
	"strings"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// MemberLoad is what the scheduler knows of a member's load.
type MemberLoad struct {
	Member  bbrtype.MemberName
	Primary bool `json:",omitempty"`
	// InFlight is the number of this instance's statements at the member, Capacity the
	// maximum. IdleInTransaction is the number of connections that transactions hold
	// between their statements, OpenConns that of all connections of this instance.
	InFlight, Capacity, IdleInTransaction, OpenConns int
	// Granted counts the statements that were granted the member.
	Granted uint64
	Latency time.Duration
	// Others is the number of other instances' statements in the member's last report,
	// ReportAge the age of the report, 0 if there is none.
	Others    int           `json:",omitempty"`
	ReportAge time.Duration `json:",omitempty"`
	Mode      MemberMode    `json:",omitempty"`
	// Applied is the newest log position that the member has shown to have applied.
	Applied bbrmessage.LogPosition
	// LaggingSince is the time since the member last rejected a read because it lags, 0 if
	// it has not since its last reply.
	LaggingSince time.Duration `json:",omitempty"`
	// PausedFor is how long the member is paused from now on.
	PausedFor time.Duration `json:",omitempty"`
}

// MemberLoads returns what the scheduler knows of the load of all members, by name.
func (s *Scheduler) MemberLoads(now bbrtype.Mono) []MemberLoad {
	out := make([]MemberLoad, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m.snapshot(now))
	}
	slices.SortFunc(out, func(a, b MemberLoad) int { return strings.Compare(string(a.Member), string(b.Member)) })
	return out
}

func (m *memberState) snapshot(now bbrtype.Mono) MemberLoad {
	l := MemberLoad{
		Member: m.ID, Primary: m.Primary, InFlight: m.inFlight, Capacity: m.capacity(now), IdleInTransaction: m.idleInTransaction,
		OpenConns: m.openConns, Granted: m.granted, Latency: m.latency, Mode: m.mode, Applied: m.appliedPosition, PausedFor: max(0, m.pausedUntil.Sub(now)),
	}
	if m.load.at != 0 {
		l.Others, l.ReportAge = m.load.others, now.Sub(m.load.at)
	}
	if m.lagRejections > 0 {
		l.LaggingSince = now.Sub(m.lagRejectedAt)
	}
	return l
}
