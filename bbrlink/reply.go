package bbrlink

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// ReplyRecord is a member's reply to a statement, with the time and the requirements
// of the statement.
type ReplyRecord struct {
	SentAt bbrtype.Mono
	Reply  bbrmessage.Reply
	// IsWriteCommit is set for a write outside of a transaction, and for the commit
	// of a transaction that wrote. If Reply is a success, the member has acknowledged
	// the commit.
	IsWriteCommit bool
	// MinPosition is the minimum log position that the statement required.
	MinPosition bbrmessage.LogPosition
}

// RecordReply updates the health and the log position of a member from a reply. For
// the primary it also records commits that it has acknowledged; if the group has synchronous
// replicas, such a commit is a proof. Whether the commit may be acknowledged to the caller
// is left to AwaitLasting. It returns the time from which the reply may be
// passed on, see commitUsableFrom.
func (g *Group) RecordReply(c *Conn, r ReplyRecord) (usableFrom bbrtype.Mono) {
	view, ordered := g.viewChange(), g.orderedMembers()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordChangeView(view)
	now := g.Clock.Now()
	id := c.member.ID
	g.health[id] = memberHealth{lastReply: now}
	g.replied[id] = true
	if f := r.Reply.Failure; f != nil {
		switch f.Class {
		case bbrmessage.ClassLagging:
			g.scheduler.RecordLagging(id, r.MinPosition, now)
		case bbrmessage.ClassBusy:
			g.scheduler.RecordBusy(id, now)
		case bbrmessage.ClassReadOnly:
			g.recordDemotion(id, now)
		}
		return 0
	}
	g.scheduler.RecordReply(id, now.Sub(r.SentAt), r.Reply.Position, now)
	if id != g.primary.Member {
		g.recordReceived(c.member, r.Reply.Position)
		return 0
	}
	if r.IsWriteCommit {
		usableFrom = g.commitUsableFrom(r.Reply.Position.Term, now)
		g.stalledSince, g.lastCommitSentAt = 0, max(g.lastCommitSentAt, r.SentAt)
	}
	// A replica that a change of primary does not know of or leaves out may confirm commits
	// after the barrier, or while a promotion takes effect, and an instance that has not read
	// the groups' records recently knows of neither. Such a commit is a proof only once
	// AwaitLasting shows it.
	mayPassBarrier := view.isChanging || !view.knowsRecords() || len(g.runningOf(ordered, g.primary.Member)) > 0 || g.hasUnsettledReplica(g.primary.Member, view)
	if r.IsWriteCommit && r.Reply.Position.Term == g.primary.Term && g.settings.SyncReplicas > 0 && !mayPassBarrier {
		g.recordProof(proofByCommit, g.primary.Term, r.SentAt)
	}
	g.proof.AddSample(r.Reply.Position, r.SentAt)
	return usableFrom
}

// commitUsableFrom returns the time from which a commit of the primary in use may be
// acknowledged. If the reply shows a newer term, the member was replaced and leads again
// without this instance knowing: other instances may hold proofs of the primary in
// between, which have to expire first. The caller holds mu.
func (g *Group) commitUsableFrom(term bbrtype.Term, now bbrtype.Mono) bbrtype.Mono {
	if term > g.primary.Term {
		g.setPrimaryLocked(Primary{Member: g.primary.Member, Term: term, UsableFrom: now.Add(bbrproof.LeaseDuration)})
	}
	return g.primary.UsableFrom
}

// recordDemotion records the time of the first reply in which the primary in use
// rejected a statement as read-only, since it is the primary no longer. The caller
// holds mu.
func (g *Group) recordDemotion(id bbrtype.MemberName, now bbrtype.Mono) {
	if id == g.primary.Member && g.demotedSince == 0 {
		g.demotedSince = now
		// In the message, a member leads if it is the primary.
		g.Log.WithFields(logrus.Fields{"group": g.name, "member": id, "term": g.primary.Term}).Info("the primary in use does not lead")
	}
}

// DemotedSince returns when the primary in use first rejected a statement as
// read-only, 0 if it has not.
func (g *Group) DemotedSince() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.demotedSince
}

// LastAcked returns the newest known log position of an acknowledged commit. The
// commit was acknowledged to this instance, or to one whose report was merged.
func (g *Group) LastAcked() bbrmessage.LogPosition {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastAcked
}

// RecordNoReply records that a member did not reply, and closes the idle connections
// to it.
func (g *Group) RecordNoReply(id bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordNoReplyLocked(id, g.Clock.Now())
	g.closeIdleTo(id)
}

// addInFlight records a statement in flight. The caller passes the same time to
// removeInFlight.
func (g *Group) addInFlight(id bbrtype.MemberName, at bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[id] == nil {
		g.inFlight[id] = map[bbrtype.Mono]int{}
	}
	g.inFlight[id][at]++
}

// removeInFlight removes a statement that was sent at the given time from the
// statements in flight, with or without a reply.
func (g *Group) removeInFlight(id bbrtype.MemberName, at bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[id][at]--; g.inFlight[id][at] <= 0 {
		delete(g.inFlight[id], at)
	}
}

// UnansweredSince returns when the oldest statement in flight was sent that is newer
// than the member's last reply, 0 if there is none.
func (g *Group) UnansweredSince(id bbrtype.MemberName) bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unansweredSinceLocked(id)
}

// unansweredSinceLocked is UnansweredSince without the lock. The caller holds mu.
func (g *Group) unansweredSinceLocked(id bbrtype.MemberName) bbrtype.Mono {
	first := bbrtype.Mono(0)
	for at := range g.inFlight[id] {
		if at > g.health[id].lastReply && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// HasRepliedSince reports whether a member has sent any reply after the given time.
func (g *Group) HasRepliedSince(id bbrtype.MemberName, at bbrtype.Mono) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.health[id].lastReply > at
}

// CommitsStalledSince returns when the first unconfirmed commit was sent at a primary
// that replied to other statements later, 0 if commits are confirmed.
func (g *Group) CommitsStalledSince() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalledSince
}

// RecordUnconfirmedCommit records that the commit sent at sentAt was not confirmed in
// time. The call is ignored if a commit sent later was confirmed.
func (g *Group) RecordUnconfirmedCommit(id bbrtype.MemberName, sentAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id == g.primary.Member && g.stalledSince == 0 && sentAt > g.lastCommitSentAt {
		g.stalledSince = sentAt
	}
}

// UnresponsiveSince returns when requests to a member began to fail without a reply,
// 0 if it has replied since.
func (g *Group) UnresponsiveSince(id bbrtype.MemberName) bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.health[id].failingSince
}

// IsProvenAt reports whether p is still the primary in use, and proven to have been
// the only primary at the given time. It is false after a change of primary, because
// proofs of the new primary say nothing about reads that the old primary served.
func (g *Group) IsProvenAt(p Primary, at bbrtype.Mono) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return p == g.primary && g.proof.IsProvenAt(at)
}

// MinPosition returns the minimum log position for a read that arrived at the given time
// and accepts data up to maxAge old. It returns false if no such position is known.
func (g *Group) MinPosition(at bbrtype.Mono, maxAge time.Duration) (bbrmessage.LogPosition, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.MinPosition(at, maxAge)
}

// NewestSampleAt returns when the newest proven sample of the primary's log position was
// taken.
func (g *Group) NewestSampleAt() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.NewestSampleAt()
}
