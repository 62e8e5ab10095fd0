// Package bbrsuccession decides when a group's primary is replaced, which instance
// may run the failover and which member becomes the next primary. It is used on
// platforms where a member can be instructed to pause replication under a term, that
// is, to receive nothing more until replication is resumed. Terms number the
// primaries of a group. The package is pure: it reads no clock and does no input or
// output.
//
// The table store keeps one record for each group, which is only written under its
// expected version. The record holds the instance that runs the failover and a
// fencing token that grows with every failover. A failover takes these steps:
//
//  1. The instance claims the record.
//  2. The instance pauses replication at every replica, or demotes the old primary,
//     until no commit of the old primary can be acknowledged any more. This point is
//     called the barrier.
//  3. The instance compares the log positions of the members and chooses one.
//  4. The instance enters the promotion of that member in the record, requests it, and
//     waits until the member reports that it leads. A request may take effect long after
//     it was given up. Until that can no longer happen, a commit is acknowledged only if
//     the member has received it, whichever primary has acknowledged it.
//  5. The instance waits for bbrproof.LeaseDuration, so that the leases that other
//     instances have on the old primary expire, and then writes the new primary to
//     the record.
//
// # Usage
//
//	reason, due := bbrsuccession.ChangeDue(observation, now)
//	claim := bbrsuccession.Claim(known, "instance-1", era)
//	choice := bbrsuccession.Choose(input)
package bbrsuccession

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// ErrPromotionRefused means that the platform rejected a promotion because the
// member is not running.
var ErrPromotionRefused = errors.New("the member can't be promoted")

// ErrPromotionNotSent means that nothing of a request for a promotion has left, so that it
// cannot take effect.
var ErrPromotionNotSent = errors.New("the request for a promotion was not sent")

const (
	// UnresponsiveTimeout is how long a primary may fail to respond before it is replaced.
	UnresponsiveTimeout = 600 * time.Millisecond
	// commitStallTimeout is how long a primary that responds may leave commits
	// unconfirmed before it is replaced.
	commitStallTimeout = 900 * time.Millisecond
	// replicationSeenTTL is how long a primary counts as alive after a replica was last
	// observed to receive from it.
	replicationSeenTTL = 500 * time.Millisecond
	// noCommitSeenDelay is added to UnresponsiveTimeout on instances that have seen no
	// acknowledged commit. Instances that have seen one can reject a replica that lacks
	// it, so they start the failover first.
	noCommitSeenDelay = 1200 * time.Millisecond
)

// PromotionRequest is a request to promote a member.
type PromotionRequest struct {
	Group        bbrtype.GroupName
	Member       bbrtype.MemberName
	FencingToken FencingToken
}

// Candidate is a member with the status that it reported.
type Candidate struct {
	ID       bbrtype.MemberName
	Draining bool
	// Responded is set if the member reported its status.
	Responded bool                    `json:"Answered"`
	Status    bbrmessage.MemberStatus `json:"Look"`
}

// Decision is the next step of a failover.
type Decision string

// The decisions.
const (
	// DecisionPromote means that the barrier is reached and that a member is chosen
	// for promotion.
	DecisionPromote Decision = "promote"
	// DecisionWait means that the barrier is not reached, or that no suitable member
	// responded.
	DecisionWait Decision = "wait"
	// DecisionAdopt means that a member already leads. It is recorded as the primary
	// without a promotion.
	DecisionAdopt Decision = "adopt"
)

// Choice is the result of Choose.
type Choice struct {
	Decision Decision
	Member   bbrtype.MemberName
	Term     bbrtype.Term
	// Reason is the reason for DecisionWait, as a text for the log. In these texts, a
	// replica that "holds" is one that has paused replication.
	Reason string
}

// ElectionInput is the input of Choose.
type ElectionInput struct {
	Members []Candidate
	// OldPrimary is the primary that is being replaced.
	OldPrimary bbrtype.MemberName
	// PauseTerm is the term under which replication is paused.
	PauseTerm bbrtype.Term
	// SyncReplicas is the number of replicas that must have received a commit before it is
	// acknowledged.
	SyncReplicas int
	// LastAcked is the newest position that is known to have been acknowledged.
	LastAcked bbrmessage.LogPosition
	// OldTerm is the term of the primary that is being replaced.
	OldTerm bbrtype.Term
	// KeepOldPrimary is set if the old primary may stay primary when it responds again
	// before the barrier is reached.
	KeepOldPrimary bool
	// Ordered are members whose promotion may still take effect, see
	// VersionedRecord.OrderedMembers. Among equal candidates one of them is preferred.
	Ordered []bbrtype.MemberName
}

// AddUnqueried appends each of the active members that is missing from queried, as a
// member that did not respond. Members join and leave while the others are queried,
// and a member that was not queried may still confirm commits.
func AddUnqueried(queried []Candidate, activeMembers ...bbrtype.MemberName) []Candidate {
	listed := map[bbrtype.MemberName]bool{}
	for _, m := range queried {
		listed[m.ID] = true
	}
	for _, id := range activeMembers {
		if !listed[id] {
			listed[id] = true
			queried = append(queried, Candidate{ID: id})
		}
	}
	return queried
}

// DropUnproven removes the members that did not respond and cannot have confirmed a commit,
// as when an entry is listed that no member stands behind.
func DropUnproven(members []Candidate, mayHaveConfirmed func(bbrtype.MemberName) bool) []Candidate {
	return slices.DeleteFunc(members, func(m Candidate) bool { return !m.Responded && !mayHaveConfirmed(m.ID) })
}

// MayHaveConfirmed reports whether a member that does not respond may have confirmed
// commits. A member shows that it runs by a reply to any instance, which is recorded in
// the table store. A member that was just listed may not have been asked yet, so it counts
// until proofTimeout has passed; so does every member while the records cannot be read.
func MayHaveConfirmed(m MemberEvidence, now bbrtype.Mono) bool {
	return m.HasReplied || !m.RecordsKnown || m.ListedSince == 0 || now.Sub(max(m.ListedSince, m.RecordsSince)) < proofTimeout
}

// proofTimeout is how long a member may be listed before it has replied to an instance.
const proofTimeout = 10 * time.Second

// MemberEvidence is what is known of a member that does not respond. It is the input of
// MayHaveConfirmed.
type MemberEvidence struct {
	// HasReplied is set if the member has replied to any instance.
	HasReplied bool
	// ListedSince is when the member was first listed, 0 if it is listed no more.
	ListedSince bbrtype.Mono
	// RecordsKnown is set if the instance has read which members have replied, and
	// RecordsSince is since when it could read that.
	RecordsKnown bool
	RecordsSince bbrtype.Mono
}

// IsPrimaryAhead reports whether the primary has a log position that no other member that
// responded has received.
func IsPrimaryAhead(members []Candidate, primary bbrtype.MemberName) bool {
	var primaryPos, replicaPos bbrmessage.LogPosition
	for _, m := range members {
		switch {
		case !m.Responded:
		case m.ID == primary:
			primaryPos = m.Status.Received
		default:
			replicaPos = bbrmessage.LaterPosition(replicaPos, m.Status.Received)
		}
	}
	return replicaPos.IsBefore(primaryPos)
}

// HasSuccessor reports whether a member other than the primary responded and has
// received the position acked.
func HasSuccessor(members []Candidate, primary bbrtype.MemberName, acked bbrmessage.LogPosition) bool {
	for _, m := range members {
		if m.ID != primary && m.Responded && !m.Status.Received.IsBefore(acked) {
			return true
		}
	}
	return false
}

// MayDemoteOldPrimary reports whether the old primary may be demoted before all replicas
// have paused replication. This requires a paused replica that has received the whole
// log of the old primary, so that the replica can take over.
func MayDemoteOldPrimary(in ElectionInput) bool {
	var oldPos bbrmessage.LogPosition
	for _, m := range in.Members {
		if m.ID == in.OldPrimary && m.Responded {
			oldPos = m.Status.Received
		}
	}
	if oldPos.IsZero() {
		return false
	}
	for _, m := range in.Members {
		if m.ID != in.OldPrimary && m.Responded && m.Status.PausedTerm >= in.PauseTerm && !m.Status.Received.IsBefore(oldPos) {
			return true
		}
	}
	return false
}

// Choose decides the next step of a failover from the members' log positions. An
// acknowledged commit is in the logs of the old primary and of SyncReplicas
// replicas. If at most SyncReplicas - 1 replicas are not paused, no further commit
// can reach enough replicas, and the barrier is reached. The barrier is also
// reached when the old primary has been demoted. A replica that lacks a commit
// known to have been acknowledged is never chosen.
func Choose(in ElectionInput) Choice {
	if c, ok := currentLeader(in); ok {
		return c
	}
	if MayBeSuperseded(in) {
		return chooseIfSuperseded(in)
	}
	var paused []Candidate
	var demoted *Candidate
	notPaused := 0
	for i, m := range in.Members {
		switch {
		case m.ID == in.OldPrimary:
			if m.Responded && m.Status.Role == bbrmessage.RoleReplica {
				demoted = &in.Members[i]
			}
		case IsPaused(m, in.PauseTerm):
			paused = append(paused, m)
		default:
			notPaused++
		}
	}
	best, ok := mostAdvanced(paused, in.Ordered)
	enoughPaused := notPaused <= max(in.SyncReplicas-1, 0)
	if demoted != nil && (!ok || !enoughPaused && best.Status.Received.IsBefore(demoted.Status.Received)) {
		best, ok = *demoted, true
	}
	switch {
	case (!ok || !enoughPaused) && in.KeepOldPrimary && oldPrimaryLeads(in):
		return Choice{Decision: DecisionAdopt, Member: in.OldPrimary, Term: in.OldTerm}
	case !ok:
		return Choice{Decision: DecisionWait, Reason: "no replica holds"}
	case !enoughPaused && demoted == nil:
		return Choice{Decision: DecisionWait, Reason: "a replica that may have more does not hold"}
	case best.Status.Received.IsBefore(in.LastAcked):
		return Choice{Decision: DecisionWait, Reason: "no member that answers has all acknowledged commits"}
	}
	return Choice{Decision: DecisionPromote, Member: best.ID, Term: in.PauseTerm}
}

// IsPaused reports whether a member is a replica that has paused replication. A primary
// receives nothing, so that an order to pause does not keep it from acknowledging commits.
func IsPaused(m Candidate, term bbrtype.Term) bool {
	return m.Responded && m.Status.Role == bbrmessage.RoleReplica && m.Status.PausedTerm >= term
}

// IsSuperseded reports whether the members' statuses show a term above oldTerm, that
// is, whether a newer primary has already replaced the old one. The log of the old
// primary may then lack acknowledged commits.
func IsSuperseded(members []Candidate, old bbrtype.MemberName, oldTerm bbrtype.Term) bool {
	for _, m := range members {
		if !m.Responded {
			continue
		}
		// A demoted old primary may report the term of the demotion request, so only its
		// log position counts.
		if m.Status.Received.Term > oldTerm || m.ID != old && m.Status.Term > oldTerm {
			return true
		}
	}
	return false
}

// MayBeSuperseded reports whether a newer primary has replaced the old one, or may have: the
// old primary does not lead, and a member whose promotion was ordered does not respond. That
// one may lead, and acknowledge commits that the old primary lacks.
func MayBeSuperseded(in ElectionInput) bool {
	if IsSuperseded(in.Members, in.OldPrimary, in.OldTerm) {
		return true
	}
	isDemoted, isOrderedSilent := false, false
	for _, m := range in.Members {
		switch {
		case m.ID == in.OldPrimary:
			isDemoted = m.Responded && m.Status.Role == bbrmessage.RoleReplica
		case slices.Contains(in.Ordered, m.ID):
			isOrderedSilent = isOrderedSilent || !m.Responded
		}
	}
	return isDemoted && isOrderedSilent
}

// chooseIfSuperseded decides the next step if a newer primary has replaced the old
// one, or may have, and does not respond. One of the members that are not paused is the newer
// primary. Besides it, at most SyncReplicas - 1 members may be unpaused, and the
// old primary counts like any other member.
func chooseIfSuperseded(in ElectionInput) Choice {
	var paused []Candidate
	for _, m := range in.Members {
		if IsPaused(m, in.PauseTerm) {
			paused = append(paused, m)
		}
	}
	notPaused := len(in.Members) - len(paused)
	best, ok := mostAdvanced(paused, in.Ordered)
	switch {
	case !ok || notPaused > max(in.SyncReplicas-1, 0)+1:
		return Choice{Decision: DecisionWait, Reason: "a newer primary does not answer, nor do all others hold"}
	case best.Status.Received.IsBefore(in.LastAcked):
		return Choice{Decision: DecisionWait, Reason: "no member that answers has all acknowledged commits"}
	}
	return Choice{Decision: DecisionPromote, Member: best.ID, Term: in.PauseTerm}
}

// currentLeader returns a member that already leads a newer term, or that leads the
// old term under another name because the old primary crashed and restarted.
func currentLeader(in ElectionInput) (Choice, bool) {
	for _, m := range in.Members {
		if !m.Responded || m.Status.Role != bbrmessage.RolePrimary {
			continue
		}
		if m.Status.Term > in.OldTerm || m.ID != in.OldPrimary && m.Status.Term == in.OldTerm {
			return Choice{Decision: DecisionAdopt, Member: m.ID, Term: m.Status.Term}, true
		}
	}
	return Choice{}, false
}

// oldPrimaryLeads reports whether the old primary responded and still leads its
// term.
func oldPrimaryLeads(in ElectionInput) bool {
	for _, m := range in.Members {
		if m.ID == in.OldPrimary && m.Responded && m.Status.Role == bbrmessage.RolePrimary && m.Status.Term == in.OldTerm {
			return true
		}
	}
	return false
}

// mostAdvanced returns the candidate with the highest log position. Among equal
// candidates, one that is not draining is preferred, and then one that was ordered.
func mostAdvanced(candidates []Candidate, ordered []bbrtype.MemberName) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	return slices.MaxFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(
			a.Status.Received.Compare(b.Status.Received),
			compareBool(!a.Draining, !b.Draining),
			compareBool(slices.Contains(ordered, a.ID), slices.Contains(ordered, b.ID)),
			strings.Compare(string(b.ID), string(a.ID)),
		)
	}), true
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// PauseTerm returns the term under which a failover must pause replication. It is
// higher than every term in the members' statuses and logs, and not lower than any
// term under which a member is already paused. The status term of the old primary is
// ignored, see IsSuperseded, unless it is to be paused like any other member.
func PauseTerm(members []Candidate, old bbrtype.MemberName, pausesOld bool) bbrtype.Term {
	term := bbrtype.Term(0)
	for _, m := range members {
		if !m.Responded {
			continue
		}
		term = max(term, m.Status.PausedTerm, m.Status.Received.Term+1)
		if m.ID != old || pausesOld {
			term = max(term, m.Status.Term+1)
		}
	}
	return term
}

// minWatchTime is the minimum time for which the replicas must have been watched
// before missing replication progress counts as a sign that the primary is down.
const minWatchTime = 140 * time.Millisecond

// PrimaryObservation is what an instance has observed of a group's primary. It is the input
// of ChangeDue.
type PrimaryObservation struct {
	// UnresponsiveSince is when the primary first failed to respond, 0 if it responds.
	UnresponsiveSince bbrtype.Mono
	// NotLeadingSince is when the primary first reported that it does not lead, 0 if it
	// leads.
	NotLeadingSince bbrtype.Mono
	// CommitsStalledSince is when the first commit that the primary has not confirmed was
	// sent, 0 if the primary confirms commits.
	CommitsStalledSince bbrtype.Mono
	// PrimaryAhead is set if the primary has a log position that no replica has
	// received. If it is not set, the replicas have received everything, and late
	// confirmations only mean that commits are slow.
	PrimaryAhead bool
	// LastReplicatedAt is when a replica was last observed to receive from the primary while
	// the replicas were watched, 0 if none was.
	LastReplicatedAt bbrtype.Mono
	// WatchedSince is when this instance began to watch the replicas, 0 if it does not
	// watch them.
	WatchedSince bbrtype.Mono
	// MayBeReplaced is set while a promotion of another member may take effect. Other
	// replicas are paused until that member has resumed, so that commits stall.
	MayBeReplaced bool
	// Draining is set if the primary is being drained.
	Draining bool
	// Deregistered is set if the primary is no longer registered in the member directory.
	Deregistered bool
	// HasSuccessor is set if another member responds that has all commits known to be
	// acknowledged. Without such a member a failover can't succeed, and pausing
	// replication would keep the lagging replicas from catching up.
	HasSuccessor bool
	// HasSeenCommit is set if the instance has seen acknowledged commits of the primary.
	HasSeenCommit bool
}

// ChangeDue reports whether the primary must be replaced, and the reason as a text for the
// log. "The primary is gone" means that it is no longer registered.
func ChangeDue(o PrimaryObservation, now bbrtype.Mono) (string, bool) {
	timeout := UnresponsiveTimeout
	if !o.HasSeenCommit {
		timeout += noCommitSeenDelay
	}
	switch {
	case !o.HasSuccessor:
		return "", false
	case o.Draining:
		return "the primary is leaving", true
	case o.LastReplicatedAt != 0 && now.Sub(o.LastReplicatedAt) < replicationSeenTTL:
		// The primary still replicates. Only the network path from this instance to the
		// primary is interrupted.
		return "", false
	case !o.Deregistered && (o.WatchedSince == 0 || now.Sub(o.WatchedSince) < minWatchTime):
		// A single status query does not show whether the replicas are receiving commits.
		return "", false
	case !o.MayBeReplaced && o.PrimaryAhead && o.CommitsStalledSince != 0 && now.Sub(o.CommitsStalledSince) > commitStallTimeout:
		return "commits are not confirmed", true
	case o.UnresponsiveSince != 0 && now.Sub(o.UnresponsiveSince) > timeout:
		return "the primary does not answer", true
	case o.NotLeadingSince != 0 && now.Sub(o.NotLeadingSince) > timeout:
		return "no member leads", true
	case o.Deregistered:
		// No further wait is needed: the member directory drops a missing member only
		// after a grace period in which the member may register again.
		return "the primary is gone", true
	}
	return "", false
}
