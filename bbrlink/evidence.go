package bbrlink

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Evidence is a member's reply to a statement, with what is needed to evaluate it.
type Evidence struct {
	SentAt bbrtype.Mono
	Reply  bbrmessage.Reply
	// Commit is set if a success acknowledges a commit that wrote.
	Commit bool
	// Floor is the minimum log position that the statement required.
	Floor bbrmessage.Place
}

// Note records a member's reply: the health of the member, its log position and, for
// the primary, commits and the proof that a commit with synchronous replicas gives.
func (g *Group) Note(c *Conn, e Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	id := c.member.ID
	g.health[id] = memberHealth{lastReply: now}
	if f := e.Reply.Failure; f != nil {
		switch f.Class {
		case bbrmessage.ClassLagging:
			g.scheduler.RecordLagging(id, e.Floor, now)
		case bbrmessage.ClassBusy:
			g.scheduler.RecordBusy(id, now)
		case bbrmessage.ClassReadOnly:
			g.recordDemotion(id, now)
		}
		return
	}
	g.scheduler.RecordReply(id, now.Sub(e.SentAt), e.Reply.Place, now)
	if id != g.primary.Member {
		return
	}
	if e.Commit {
		g.stalledSince, g.lastCommitSentAt = 0, max(g.lastCommitSentAt, e.SentAt)
		g.acked = bbrmessage.Latest(g.acked, e.Reply.Place)
	}
	if e.Commit && e.Reply.Place.Term == g.primary.Term && g.settings.SyncReplicas > 0 {
		g.recordProof(proofByCommit, g.primary.Term, e.SentAt)
	}
	g.proof.Observe(e.Reply.Place, e.SentAt)
}

// recordDemotion records that a member reported that it is not the primary, if it is
// the primary in use. The caller holds mu.
func (g *Group) recordDemotion(id bbrtype.MemberName, now bbrtype.Mono) {
	if id == g.primary.Member && g.demotedSince == 0 {
		g.demotedSince = now
		g.Log.WithFields(logrus.Fields{"group": g.name, "member": id, "term": g.primary.Term}).Info("the primary in use does not lead")
	}
}

// Demoted returns when the primary in use first reported that it is not the primary,
// 0 if it did not.
func (g *Group) Demoted() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.demotedSince
}

// Acked returns the newest log position that is known to have been acknowledged, to
// this instance or to one that shared its proofs.
func (g *Group) Acked() bbrmessage.Place {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acked
}

// NoteSilence records that a member did not reply, and closes the idle connections to
// it.
func (g *Group) NoteSilence(id bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordFailure(id, g.Clock.Now())
	g.closeIdle(id)
}

// recordSent records a statement in flight. The caller passes the same time to
// recordReplied.
func (g *Group) recordSent(id bbrtype.MemberName, at bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[id] == nil {
		g.inFlight[id] = map[bbrtype.Mono]int{}
	}
	g.inFlight[id][at]++
}

// recordReplied removes a statement that was sent at a time from those in flight,
// whether a reply came or not.
func (g *Group) recordReplied(id bbrtype.MemberName, at bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[id][at]--; g.inFlight[id][at] <= 0 {
		delete(g.inFlight[id], at)
	}
}

// Silent returns since when a member has had statements in flight without sending any
// reply, 0 if none is in flight.
func (g *Group) Silent(id bbrtype.MemberName) bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.noReplySince(id)
}

// noReplySince is Silent without the lock. The caller holds mu.
func (g *Group) noReplySince(id bbrtype.MemberName) bbrtype.Mono {
	first := bbrtype.Mono(0)
	for at := range g.inFlight[id] {
		if at > g.health[id].lastReply && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// AnsweredSince reports whether a member has sent any reply after a time.
func (g *Group) AnsweredSince(id bbrtype.MemberName, at bbrtype.Mono) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.health[id].lastReply > at
}

// Stalled returns since when the primary has not confirmed commits although it
// replies to other statements, 0 if it confirms them.
func (g *Group) Stalled() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalledSince
}

// NoteStall records that a commit sent at a time was not confirmed. It is ignored if
// a commit that was sent later is confirmed.
func (g *Group) NoteStall(id bbrtype.MemberName, sentAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id == g.primary.Member && g.stalledSince == 0 && sentAt > g.lastCommitSentAt {
		g.stalledSince = sentAt
	}
}

// Failing returns since when a member has not replied, 0 if the last request to it
// succeeded.
func (g *Group) Failing(id bbrtype.MemberName) bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.health[id].failingSince
}

// Covers reports whether a primary is still the one in use, and proven to have been
// the only primary at a moment. It is false after a change of primary, because a
// proof of the new primary covers nothing that the old one served.
func (g *Group) Covers(p Primary, at bbrtype.Mono) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return p == g.primary && g.proof.Covers(at)
}

// Floor returns the minimum log position for a read that arrived at a time and
// accepts data of an age. It returns false if no such position is known.
func (g *Group) Floor(at bbrtype.Mono, maxAge time.Duration) (bbrmessage.Place, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.Floor(at, maxAge)
}

// Newest returns when the newest proven sample of the primary's log position was
// taken.
func (g *Group) Newest() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.Newest()
}
