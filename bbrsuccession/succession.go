// Package bbrsuccession decides about changes of a group's primary where members
// themselves hold replication under a term: whether a change is due, who may make
// it, whether the barrier has been reached and who follows. The package is pure.
//
// One record a group, changed only under its expected version, names the instance
// that makes a change and a fencing number that rises with each one. The steps are:
// claim the record; hold replication at every replica, or let the old primary step
// down; compare positions; order the promotion; see it; name the new primary in the
// record once every older proof has run out (bbrproof.Lease).
//
// # Usage
//
//	reason, due := bbrsuccession.Due(state, now)
//	claim, err := bbrsuccession.Claim(record, "instance-1", now)
//	plan := bbrsuccession.Choose(looks, old)
package bbrsuccession

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// ErrRefused means that the member to be promoted is not running.
var ErrRefused = errors.New("the member can't be promoted")

const (
	// SilenceLimit is how long a primary may fail to answer before it is replaced.
	SilenceLimit = 900 * time.Millisecond
	// ClaimTime is how long an instance may act on its claim, from the moment
	// that it sent it.
	ClaimTime = 6 * time.Second
	// takeoverAfter is how long others leave a claim alone, from the moment that
	// they saw it.
	takeoverAfter = ClaimTime + 2*time.Second
)

// Fence is a number that rises with each change of a group's primary.
type Fence uint64

// Phase is how far a change has come.
type Phase string

// The phases of a record.
const (
	PhaseClaimed Phase = "claimed"
	PhaseNamed   Phase = "named"
)

// Record is what the store keeps of a group.
type Record struct {
	Phase  Phase  `json:"phase"`
	Fence  Fence  `json:"fence"`
	Holder string `json:"holder"`
	// Primary and Term are the primary named last.
	Primary bbrtype.MemberName `json:"primary"`
	Term    bbrtype.Term       `json:"term"`
}

// Order orders a promotion.
type Order struct {
	Group  bbrtype.GroupName
	Member bbrtype.MemberName
	Fence  Fence
}

// Known is a record as an instance has it.
type Known struct {
	Record Record
	// Version is the version of the row, 0 if there is none.
	Version int64
	// SeenAt is when the instance first saw this version.
	SeenAt bbrtype.Mono
}

// MayClaim reports whether an instance may begin a change.
func MayClaim(k Known, now bbrtype.Mono) bool {
	return k.Record.Phase != PhaseClaimed || now.Sub(k.SeenAt) > takeoverAfter
}

// Claim returns the record that begins a change.
func Claim(k Known, holder string) Record {
	r := k.Record
	r.Phase = PhaseClaimed
	r.Holder = holder
	r.Fence++
	return r
}

// Candidate is a member as a look showed it.
type Candidate struct {
	ID       bbrtype.MemberName
	Draining bool
	// Answered is set if the member told its state.
	Answered bool
	Look     bbrmessage.Look
}

// Decision is what is to be done next in a change.
type Decision string

// The decisions.
const (
	// DecisionPromote means that the barrier is reached and a member is chosen.
	DecisionPromote Decision = "promote"
	// DecisionWait means that the barrier is not reached.
	DecisionWait Decision = "wait"
	// DecisionAdopt means that a member leads a newer term already.
	DecisionAdopt Decision = "adopt"
)

// Choice is the outcome of a comparison.
type Choice struct {
	Decision Decision
	Member   bbrtype.MemberName
	Term     bbrtype.Term
	// Why tells what is waited for.
	Why string
}

// Choose compares the members' positions. old is the primary that is replaced,
// term the term under which replication is held. An acknowledged commit is in
// the log of the old primary and of sync replicas; so every replica has to hold,
// less sync - 1 of them, or the old primary has to have stepped down.
func Choose(members []Candidate, old bbrtype.MemberName, term bbrtype.Term, sync int) Choice {
	if c, ok := leader(members, term); ok {
		return c
	}
	var held []Candidate
	missing := 0
	stepped := bbrmessage.Place{}
	for _, m := range members {
		switch {
		case m.ID == old:
			if m.Answered && m.Look.Role == bbrmessage.RoleReplica {
				stepped = m.Look.Received
			}
		case m.Answered && m.Look.Held >= term:
			held = append(held, m)
		default:
			missing++
		}
	}
	best, ok := highest(held)
	if !ok {
		return Choice{Decision: DecisionWait, Why: "no replica holds"}
	}
	switch {
	case missing <= max(sync-1, 0):
	case !stepped.IsZero() && !best.Look.Received.IsBefore(stepped):
	default:
		return Choice{Decision: DecisionWait, Why: "a replica that may have more does not hold"}
	}
	return Choice{Decision: DecisionPromote, Member: best.ID, Term: term}
}

// leader returns a member that leads the term or a newer one already.
func leader(members []Candidate, term bbrtype.Term) (Choice, bool) {
	for _, m := range members {
		if m.Answered && m.Look.Role == bbrmessage.RolePrimary && m.Look.Term >= term {
			return Choice{Decision: DecisionAdopt, Member: m.ID, Term: m.Look.Term}, true
		}
	}
	return Choice{}, false
}

// highest returns the member with the highest position. Among equals one that
// stays goes first.
func highest(held []Candidate) (Candidate, bool) {
	if len(held) == 0 {
		return Candidate{}, false
	}
	return slices.MaxFunc(held, func(a, b Candidate) int {
		if c := a.Look.Received.Compare(b.Look.Received); c != 0 {
			return c
		}
		if a.Draining != b.Draining {
			if a.Draining {
				return -1
			}
			return 1
		}
		if a.ID > b.ID {
			return -1
		}
		return 1
	}), true
}

// NextTerm returns the term under which a change holds replication.
func NextTerm(members []Candidate, known bbrtype.Term) bbrtype.Term {
	t := known
	for _, m := range members {
		if m.Answered {
			t = max(t, m.Look.Term, m.Look.Held)
		}
	}
	return t + 1
}

// Situation is what an instance knows of a primary when it asks whether a change
// is due.
type Situation struct {
	// FailingSince is when the primary first failed to answer, 0 if it answers.
	FailingSince bbrtype.Mono
	// Draining is set if the primary is about to leave.
	Draining bool
	// Gone is set if the primary has no entry any more.
	Gone bool
	// Commits is set if replicas were seen to receive from it since it failed.
	Commits bool
}

// Due reports whether a change of primary is due, and why.
func Due(s Situation, now bbrtype.Mono) (string, bool) {
	switch {
	case s.Draining:
		return "the primary is leaving", true
	case s.Commits:
		return "", false
	case s.Gone:
		return "the primary is gone", true
	case s.FailingSince != 0 && now.Sub(s.FailingSince) > SilenceLimit:
		return "the primary does not answer", true
	}
	return "", false
}
