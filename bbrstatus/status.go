// Package bbrstatus judges the state of each database group for scripts that
// decide whether to retry, wait or raise an alarm, and writes it as lines of
// text and as JSON. Judge is pure.
//
// The text begins with a line that names the format's version. Each further
// line is about one group: key=value pairs between single spaces, in a fixed
// order. Later versions may add pairs at the end.
//
// # Usage
//
//	verdict := bbrstatus.Judge(input)
//	bbrstatus.WriteText(w, report)
package bbrstatus

import (
	"fmt"
	"io"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// FormatVersion is the version of the text's format.
const FormatVersion = 1

// Verdict tells a script what to do about a group.
type Verdict string

// The verdicts.
const (
	// VerdictOK means that the group serves reads and writes here.
	VerdictOK Verdict = "ok"
	// VerdictRetry means that the group serves again, and that every request
	// that failed here lately was not run: it may be sent again.
	VerdictRetry Verdict = "retry"
	// VerdictWait means that the group does not serve writes here now, or that
	// the fate of a request that failed lately is unknown. Nothing should be
	// sent again before its fate was looked up.
	VerdictWait Verdict = "wait"
	// VerdictAlarm means that somebody has to look at the group.
	VerdictAlarm Verdict = "alarm"
)

// Cause is the reason of a verdict.
type Cause string

// The causes.
const (
	CauseServing         Cause = "serving"
	CauseTurnedAway      Cause = "turnedAway"
	CauseUnknownOutcome  Cause = "unknownOutcome"
	CauseNoAuthority     Cause = "noAuthority"
	CausePrimaryFailing  Cause = "primaryFailing"
	CauseChangeOfPrimary Cause = "changeOfPrimary"
	CauseOverdue         Cause = "overdue"
	CausePossibleLoss    Cause = "possibleLoss"
	CauseNoReplica       Cause = "noReplica"
)

const (
	// overdueAfter is the time in which a change of primary is to be over.
	overdueAfter = 14 * time.Second
	// RecentWindow is how long failed requests count.
	RecentWindow = 30 * time.Second
	// lossWindow is how long a possible loss raises an alarm.
	lossWindow = 10 * time.Minute
)

// Input is what a verdict is made from.
type Input struct {
	// HasAuthority tells whether this instance may acknowledge writes.
	HasAuthority bool
	// HasPrimary tells whether the present term has a primary.
	HasPrimary bool
	// Primary is the reachability of the primary as all instances see it.
	Primary bbrfailover.Reachability
	// DownFor is how long the group has not served writes here.
	DownFor time.Duration
	// Unknown and TurnedAway count requests within the recent window.
	Unknown    int
	TurnedAway int
	// LossAgo is the time since a change of primary with a possible loss, 0 if
	// there was none.
	LossAgo time.Duration
	// Replicas is the number of replicas that can serve reads, Members that of
	// all members.
	Replicas int
	Members  int
}

// Judge returns a group's verdict with its cause.
func Judge(in Input) (Verdict, Cause) {
	serving := in.HasAuthority && in.HasPrimary && in.Primary != bbrfailover.ReachabilityFailing
	switch {
	case !serving && in.DownFor >= overdueAfter:
		return VerdictAlarm, CauseOverdue
	case in.LossAgo > 0 && in.LossAgo < lossWindow:
		return VerdictAlarm, CausePossibleLoss
	case !in.HasPrimary:
		return VerdictWait, CauseChangeOfPrimary
	case !in.HasAuthority:
		return VerdictWait, CauseNoAuthority
	case in.Primary == bbrfailover.ReachabilityFailing:
		return VerdictWait, CausePrimaryFailing
	case in.Unknown > 0:
		return VerdictWait, CauseUnknownOutcome
	case in.TurnedAway > 0:
		return VerdictRetry, CauseTurnedAway
	case in.Members > 1 && in.Replicas == 0:
		return VerdictOK, CauseNoReplica
	}
	return VerdictOK, CauseServing
}

// Group is one group's part of a report.
type Group struct {
	Name    bbrtype.GroupName  `json:"name"`
	Verdict Verdict            `json:"verdict"`
	Cause   Cause              `json:"cause"`
	Primary bbrtype.MemberName `json:"primary,omitempty"`
	Term    bbrtype.Term       `json:"term"`
	// Replicas is the number of replicas that can serve reads now.
	Replicas   int `json:"replicas"`
	Unknown    int `json:"unknown"`
	TurnedAway int `json:"turnedAway"`
	// Phase is the step of a change of primary that this instance runs.
	Phase   bbrfailover.Phase `json:"phase,omitempty"`
	Members []Member          `json:"members,omitempty"`
}

// Member is one member's part of a report.
type Member struct {
	Name     bbrtype.MemberName       `json:"name"`
	Opinion  bbrfailover.Reachability `json:"opinion"`
	AgeMs    int64                    `json:"ageMs,omitempty"`
	LagMs    int64                    `json:"lagMs,omitempty"`
	Open     int                      `json:"openConnections"`
	Granted  int                      `json:"grantedConnections"`
	Waiting  int                      `json:"waiting"`
	Position string                   `json:"position,omitempty"`
}

// Report is the state of an instance.
type Report struct {
	Instance string        `json:"instance"`
	Version  uint64        `json:"configurationVersion"`
	Index    bbrtype.Index `json:"journalIndex"`
	// ViewAgeMs is the time since the instance last knew that it knew all.
	ViewAgeMs int64 `json:"viewAgeMs"`
	// AuthorityMs is the time left of its authority.
	AuthorityMs int64    `json:"authorityMs"`
	Stewards    []string `json:"stewards"`
	Instances   []string `json:"instances"`
	Draining    bool     `json:"draining"`
	Callers     int      `json:"callers"`
	Groups      []Group  `json:"groups"`
}

// WriteText writes a report for scripts.
func WriteText(w io.Writer, r *Report) error {
	_, err := fmt.Fprintf(w, "bluebellroute-status %d instance=%s version=%d viewAgeMs=%d\n", FormatVersion, r.Instance, r.Version, r.ViewAgeMs)
	if err != nil {
		return err
	}
	for _, g := range r.Groups {
		primary := g.Primary
		if primary == "" {
			primary = "none"
		}
		_, err := fmt.Fprintf(w, "group=%s verdict=%s cause=%s primary=%s term=%d replicas=%d unknown=%d turnedAway=%d\n",
			g.Name, g.Verdict, g.Cause, primary, g.Term, g.Replicas, g.Unknown, g.TurnedAway)
		if err != nil {
			return err
		}
	}
	return nil
}
