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
//	choice := bbrsuccession.Choose(question)
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
	SilenceLimit = 600 * time.Millisecond
	// stallLimit is how long a primary that answers may leave commits unconfirmed.
	stallLimit = 900 * time.Millisecond
	// elsewhereTime is how long a primary counts as alive after a replica was seen
	// to receive from it.
	elsewhereTime = 500 * time.Millisecond
	// ClaimTime is how long an instance may act on its claim, from the moment
	// that it last wrote it.
	ClaimTime = 2 * time.Second
	// RenewAfter is the age at which a claim is written again.
	RenewAfter = 700 * time.Millisecond
	// takeoverAfter is how long others leave a claim alone, from the moment that
	// they saw it.
	takeoverAfter = ClaimTime + time.Second
	// uninformedPause is how much longer an instance waits that has seen no
	// acknowledged commit, so that one that knows more goes first.
	uninformedPause = 1200 * time.Millisecond
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
	// Renewed counts how often a claim was written again.
	Renewed int `json:"renewed,omitempty"`
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

// MayClaim reports whether an instance may begin a change. A claim of its own
// name is one of an earlier process, which has ended.
func MayClaim(k Known, holder string, now bbrtype.Mono) bool {
	return k.Record.Phase != PhaseClaimed || k.Record.Holder == holder || now.Sub(k.SeenAt) > takeoverAfter
}

// Proves reports whether a record shows that no change has begun since a term had
// its primary. known is false if the store has no record. The primary's name does
// not matter: one that crashed may come back under another.
func Proves(r Record, known bool, term bbrtype.Term) bool {
	return !known || r.Phase == PhaseNamed && r.Term == term
}

// Claim returns the record that begins a change.
func Claim(k Known, holder string) Record {
	r := k.Record
	r.Phase = PhaseClaimed
	r.Holder = holder
	r.Renewed = 0
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

// Question is what is known when a successor is to be chosen.
type Question struct {
	Members []Candidate
	// Old is the primary that is replaced.
	Old bbrtype.MemberName
	// Term is the term under which replication is held.
	Term bbrtype.Term
	// Sync is the number of replicas that hold a commit before it is acknowledged.
	Sync int
	// Acked is the newest position that is known to have been acknowledged.
	Acked bbrmessage.Place
	// OldTerm is the term of the primary that is replaced.
	OldTerm bbrtype.Term
	// Welcome is set if the old primary may go on, should it answer again before
	// the barrier is reached.
	Welcome bool
}

// Complete adds those that may be at work and were not asked, as members that did
// not answer. Members come and go while others are asked.
func Complete(asked []Candidate, atWork ...bbrtype.MemberName) []Candidate {
	known := map[bbrtype.MemberName]bool{}
	for _, m := range asked {
		known[m.ID] = true
	}
	for _, id := range atWork {
		if !known[id] {
			known[id] = true
			asked = append(asked, Candidate{ID: id})
		}
	}
	return asked
}

// IsAhead reports whether a primary has a position that no other member that
// answers has received.
func IsAhead(members []Candidate, primary bbrtype.MemberName) bool {
	var lead, best bbrmessage.Place
	for _, m := range members {
		switch {
		case !m.Answered:
		case m.ID == primary:
			lead = m.Look.Received
		default:
			best = bbrmessage.Latest(best, m.Look.Received)
		}
	}
	return best.IsBefore(lead)
}

// HasSuccessor reports whether a member other than the primary answers that has a
// position.
func HasSuccessor(members []Candidate, primary bbrtype.MemberName, acked bbrmessage.Place) bool {
	for _, m := range members {
		if m.ID != primary && m.Answered && !m.Look.Received.IsBefore(acked) {
			return true
		}
	}
	return false
}

// MayStepDown reports whether the old primary may be told to step down before all
// replicas hold: a replica that holds has all that it has.
func MayStepDown(q Question) bool {
	var old bbrmessage.Place
	for _, m := range q.Members {
		if m.ID == q.Old && m.Answered {
			old = m.Look.Received
		}
	}
	if old.IsZero() {
		return false
	}
	for _, m := range q.Members {
		if m.ID != q.Old && m.Answered && m.Look.Held >= q.Term && !m.Look.Received.IsBefore(old) {
			return true
		}
	}
	return false
}

// Choose compares the members' positions. An acknowledged commit is in the log of
// the old primary and of Sync replicas. So all replicas have to hold, less
// Sync - 1 of them, or the old primary has to have stepped down. A replica that
// lacks a commit known to have been acknowledged is never chosen.
func Choose(q Question) Choice {
	if c, ok := leader(q); ok {
		return c
	}
	if IsOvertaken(q.Members, q.Old, q.OldTerm) {
		return chooseAfterUnknown(q)
	}
	var held []Candidate
	var stepped *Candidate
	missing := 0
	for i, m := range q.Members {
		switch {
		case m.ID == q.Old:
			if m.Answered && m.Look.Role == bbrmessage.RoleReplica {
				stepped = &q.Members[i]
			}
		case m.Answered && m.Look.Held >= q.Term:
			held = append(held, m)
		default:
			missing++
		}
	}
	best, ok := highest(held)
	complete := missing <= max(q.Sync-1, 0)
	if stepped != nil && (!ok || !complete && best.Look.Received.IsBefore(stepped.Look.Received)) {
		best, ok = *stepped, true
	}
	switch {
	case (!ok || !complete) && q.Welcome && leadsAgain(q):
		return Choice{Decision: DecisionAdopt, Member: q.Old, Term: q.OldTerm}
	case !ok:
		return Choice{Decision: DecisionWait, Why: "no replica holds"}
	case !complete && stepped == nil:
		return Choice{Decision: DecisionWait, Why: "a replica that may have more does not hold"}
	case best.Look.Received.IsBefore(q.Acked):
		return Choice{Decision: DecisionWait, Why: "no member that answers has all acknowledged commits"}
	}
	return Choice{Decision: DecisionPromote, Member: best.ID, Term: q.Term}
}

// IsOvertaken reports whether members show that another primary has followed the
// old one. What the old one has then shows nothing.
func IsOvertaken(members []Candidate, old bbrtype.MemberName, oldTerm bbrtype.Term) bool {
	for _, m := range members {
		if !m.Answered {
			continue
		}
		// An old primary that stepped down may tell the term of the order to do so.
		if m.Look.Received.Term > oldTerm || m.ID != old && m.Look.Term > oldTerm {
			return true
		}
	}
	return false
}

// chooseAfterUnknown replaces a newer primary that does not answer. It is one of
// the members that do not hold, so all others have to, the old primary too, less
// Sync - 1 of them.
func chooseAfterUnknown(q Question) Choice {
	var held []Candidate
	for _, m := range q.Members {
		if m.Answered && m.Look.Held >= q.Term {
			held = append(held, m)
		}
	}
	missing := len(q.Members) - len(held)
	best, ok := highest(held)
	switch {
	case !ok || missing > max(q.Sync-1, 0)+1:
		return Choice{Decision: DecisionWait, Why: "a newer primary does not answer, nor do all others hold"}
	case best.Look.Received.IsBefore(q.Acked):
		return Choice{Decision: DecisionWait, Why: "no member that answers has all acknowledged commits"}
	}
	return Choice{Decision: DecisionPromote, Member: best.ID, Term: q.Term}
}

// leader returns a member that leads a newer term already, or the same term under
// another name: a primary that crashed and came back with its log.
func leader(q Question) (Choice, bool) {
	for _, m := range q.Members {
		if !m.Answered || m.Look.Role != bbrmessage.RolePrimary {
			continue
		}
		if m.Look.Term > q.OldTerm || m.ID != q.Old && m.Look.Term == q.OldTerm {
			return Choice{Decision: DecisionAdopt, Member: m.ID, Term: m.Look.Term}, true
		}
	}
	return Choice{}, false
}

// leadsAgain reports whether the old primary answers as such.
func leadsAgain(q Question) bool {
	for _, m := range q.Members {
		if m.ID == q.Old && m.Answered && m.Look.Role == bbrmessage.RolePrimary && m.Look.Term == q.OldTerm {
			return true
		}
	}
	return false
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

// HoldTerm returns the term under which a change has to hold: above each term that
// a member follows, and not below one under which a member holds.
func HoldTerm(members []Candidate, old bbrtype.MemberName) bbrtype.Term {
	t := bbrtype.Term(0)
	for _, m := range members {
		if !m.Answered {
			continue
		}
		t = max(t, m.Look.Held, m.Look.Received.Term+1)
		if m.ID != old {
			t = max(t, m.Look.Term+1)
		}
	}
	return t
}

// watchTime is how long replicas must have been looked at before it counts that
// they receive nothing.
const watchTime = 140 * time.Millisecond

// Situation is what an instance knows of a primary when it asks whether a change
// is due.
type Situation struct {
	// FailingSince is when the primary first failed to answer, 0 if it answers.
	FailingSince bbrtype.Mono
	// DemotedSince is when the primary first said that it does not lead, 0 if it
	// leads.
	DemotedSince bbrtype.Mono
	// StalledSince is when the first commit was sent that the primary has not
	// confirmed, 0 if it confirms them.
	StalledSince bbrtype.Mono
	// Ahead is set if the primary has what no replica has received. Without it
	// commits are slow, not unconfirmed.
	Ahead bool
	// ReceivedAt is when a replica was last seen to have received from it since it
	// fails.
	ReceivedAt bbrtype.Mono
	// WatchedFrom is since when replicas are looked at, 0 if they were not.
	WatchedFrom bbrtype.Mono
	// Draining is set if the primary is about to leave.
	Draining bool
	// Gone is set if the primary has no entry any more.
	Gone bool
	// Successor is set if another member answers that has all commits known to be
	// acknowledged. Holding replication without one only delays those that lag.
	Successor bool
	// Informed is set if the instance has seen acknowledged commits of the primary.
	Informed bool
}

// Due reports whether a change of primary is due, and why.
func Due(s Situation, now bbrtype.Mono) (string, bool) {
	limit := SilenceLimit
	if !s.Informed {
		limit += uninformedPause
	}
	switch {
	case !s.Successor:
		return "", false
	case s.Draining:
		return "the primary is leaving", true
	case s.ReceivedAt != 0 && now.Sub(s.ReceivedAt) < elsewhereTime:
		// Others reach it, so only the way from here is cut.
		return "", false
	case !s.Gone && (s.WatchedFrom == 0 || now.Sub(s.WatchedFrom) < watchTime):
		// A single look does not show whether replicas receive.
		return "", false
	case s.Ahead && s.StalledSince != 0 && now.Sub(s.StalledSince) > stallLimit:
		return "commits are not confirmed", true
	case s.FailingSince != 0 && now.Sub(s.FailingSince) > limit:
		return "the primary does not answer", true
	case s.DemotedSince != 0 && now.Sub(s.DemotedSince) > limit:
		return "no member leads", true
	case s.Gone:
		// Its entry had time to come back before the member was dropped.
		return "the primary is gone", true
	}
	return "", false
}
