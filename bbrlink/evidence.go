package bbrlink

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Evidence is what an answer showed.
type Evidence struct {
	SentAt bbrtype.Mono
	Reply  bbrmessage.Reply
	// Commit is set if the answer acknowledges a commit that wrote.
	Commit bool
	// Floor is the position that was asked for.
	Floor bbrmessage.Place
}

// Note takes in what a member's answer showed.
func (g *Group) Note(c *Conn, e Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	id := c.member.ID
	g.contact[id] = contact{answered: now}
	if f := e.Reply.Failure; f != nil {
		switch f.Class {
		case bbrmessage.ClassLagging:
			g.board.Refused(id, e.Floor, now)
		case bbrmessage.ClassBusy:
			g.board.TurnedAway(id, now)
		case bbrmessage.ClassReadOnly:
			g.noteDemoted(id, now)
		}
		return
	}
	g.board.Answered(id, now.Sub(e.SentAt), e.Reply.Place, now)
	if id != g.primary.Member {
		return
	}
	if e.Commit {
		g.stalledAt, g.committedAt = 0, max(g.committedAt, e.SentAt)
		g.acked = bbrmessage.Latest(g.acked, e.Reply.Place)
	}
	if e.Commit && e.Reply.Place.Term == g.primary.Term && g.service.SyncReplicas > 0 {
		g.take(proofByCommit, g.primary.Term, e.SentAt)
	}
	g.proof.Observe(e.Reply.Place, e.SentAt)
}

// noteDemoted takes in that the primary in use said that it does not lead.
func (g *Group) noteDemoted(id bbrtype.MemberName, now bbrtype.Mono) {
	if id == g.primary.Member && g.demotedAt == 0 {
		g.demotedAt = now
		g.Log.WithFields(logrus.Fields{"group": g.name, "member": id, "term": g.primary.Term}).Info("the primary in use does not lead")
	}
}

// Demoted returns when the primary in use first said that it does not lead, 0 if
// it did not.
func (g *Group) Demoted() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.demotedAt
}

// Acked returns the newest position that a member acknowledged to this instance.
func (g *Group) Acked() bbrmessage.Place {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acked
}

// NoteSilence takes in that a member did not answer.
func (g *Group) NoteSilence(id bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fail(id, g.Clock.Now())
	g.closeIdle(id)
}

// sent notes that a member owes an answer. The caller gives the time back to
// answered.
func (g *Group) sent(id bbrtype.MemberName, at bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owed[id] == nil {
		g.owed[id] = map[bbrtype.Mono]int{}
	}
	g.owed[id][at]++
}

// answered notes that what was sent at a time is no longer waited for.
func (g *Group) answered(id bbrtype.MemberName, at bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owed[id][at]--; g.owed[id][at] <= 0 {
		delete(g.owed[id], at)
	}
}

// Silent returns since when a member has owed answers without giving any, 0 if
// it owes none.
func (g *Group) Silent(id bbrtype.MemberName) bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silentSince(id)
}

// silentSince is Silent. The caller holds mu.
func (g *Group) silentSince(id bbrtype.MemberName) bbrtype.Mono {
	first := bbrtype.Mono(0)
	for at := range g.owed[id] {
		if at > g.contact[id].answered && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// AnsweredSince reports whether a member has answered anything since a time.
func (g *Group) AnsweredSince(id bbrtype.MemberName, at bbrtype.Mono) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contact[id].answered > at
}

// Stalled returns since when the primary has not confirmed commits although it
// answers, 0 if it confirms them.
func (g *Group) Stalled() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalledAt
}

// NoteStall takes in that a commit sent at a time was not confirmed.
func (g *Group) NoteStall(id bbrtype.MemberName, sentAt bbrtype.Mono) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id == g.primary.Member && g.stalledAt == 0 && sentAt > g.committedAt {
		g.stalledAt = sentAt
	}
}

// Failing returns since when a member has not answered, 0 if its last answer was
// good.
func (g *Group) Failing(id bbrtype.MemberName) bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contact[id].failingAt
}

// Covers reports whether a primary is still the one in use and proven for a
// moment. A proof of its successor says nothing about what it served.
func (g *Group) Covers(p Primary, at bbrtype.Mono) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return p == g.primary && g.proof.Covers(at)
}

// Floor returns the least position for a read of a stated age that arrived at a
// time, false if none is known.
func (g *Group) Floor(at bbrtype.Mono, maxAge time.Duration) (bbrmessage.Place, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.Floor(at, maxAge)
}

// Newest returns when the newest proven sample of the primary's position was
// taken.
func (g *Group) Newest() bbrtype.Mono {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proof.Newest()
}
