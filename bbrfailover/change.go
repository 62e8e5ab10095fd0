// Package bbrfailover decides on changes of primary: whether a primary is
// lost, which member follows it, and the steps from the fence to the new
// primary. It is pure; bbrcontrol carries out its actions.
//
// A change passes through the phases draining, reading, choosing, promoting
// and naming. It ends when the journal names the primary, or when another
// steward has started a later term.
//
// # Usage
//
//	c := bbrfailover.NewChange(opts, now)
//	actions := c.Step(now, bbrfailover.Confirmed{Instance: id}, situation)
package bbrfailover

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Phase is the step that a change has reached.
type Phase string

// The phases of a change.
const (
	// PhaseDraining waits until nobody can acknowledge a write of the old term.
	PhaseDraining Phase = "draining"
	// PhaseReading asks the members for their positions.
	PhaseReading Phase = "reading"
	// PhaseChoosing waits for the journal to note the candidate.
	PhaseChoosing Phase = "choosing"
	// PhasePromoting waits for the candidate's promotion.
	PhasePromoting Phase = "promoting"
	// PhaseNaming waits for the journal to name the primary.
	PhaseNaming Phase = "naming"
)

// Options describe a change that starts.
type Options struct {
	Group bbrtype.GroupName
	Term  bbrtype.Term
	// Unconfirmed are the instances that may hold authority of the old term.
	Unconfirmed []bbrtype.InstanceID
	// LapseAt is when the authority of all of them has run out.
	LapseAt bbrtype.Mono
	// ReadTimeout is how long a member has to tell its state.
	ReadTimeout time.Duration
	// PromoteTimeout is how long a promotion may take before the members are
	// read again.
	PromoteTimeout time.Duration
}

// Event is something that a change reacts to: Tick, Confirmed, MemberRead,
// MemberUnreadable, CandidateNoted or Promoted.
type Event interface{ isEvent() }

// Tick is the passing of time.
type Tick struct{}

// Confirmed tells that an instance has applied the fence.
type Confirmed struct{ Instance bbrtype.InstanceID }

// MemberRead is a member's state, read after the fence was complete.
type MemberRead struct {
	Member bbrtype.MemberName
	State  bbrmember.State
	SentAt bbrtype.Mono
}

// MemberUnreadable tells that a member refused to tell its state.
type MemberUnreadable struct{ Member bbrtype.MemberName }

// CandidateNoted tells that the journal has noted the candidate.
type CandidateNoted struct{ Member bbrtype.MemberName }

// Promoted is the result of a promotion: the states before and after it.
type Promoted struct {
	Member bbrtype.MemberName
	Before bbrmember.State
	After  bbrmember.State
	Failed bool
}

func (Tick) isEvent()       {}
func (Confirmed) isEvent()  {}
func (MemberRead) isEvent() {}

func (MemberUnreadable) isEvent() {}
func (CandidateNoted) isEvent()   {}
func (Promoted) isEvent()         {}

// Action is something that a change wants done: ReadMembers, AppendCandidate,
// Promote or AppendPrimary.
type Action interface{ isAction() }

// ReadMembers asks every member for its state.
type ReadMembers struct{}

// AppendCandidate asks for a CandidateChosen entry.
type AppendCandidate struct{ Member bbrtype.MemberName }

// Promote asks for a member's promotion.
type Promote struct{ Member bbrtype.MemberName }

// AppendPrimary asks for a PrimaryNamed entry.
type AppendPrimary struct {
	Member       bbrtype.MemberName
	History      bbrtype.History
	Start        bbrtype.Position
	PossibleLoss bool
}

func (ReadMembers) isAction()     {}
func (AppendCandidate) isAction() {}
func (Promote) isAction()         {}
func (AppendPrimary) isAction()   {}

// Change is one change of primary.
type Change struct {
	opts Options

	phase       Phase
	unconfirmed map[bbrtype.InstanceID]bool
	drainedAt   bbrtype.Mono
	readAt      bbrtype.Mono
	since       bbrtype.Mono
	states      map[bbrtype.MemberName]bbrmember.State
	unreadable  map[bbrtype.MemberName]bool
	choice      Choice
}

// NewChange starts a change whose fence is in the journal.
func NewChange(opts Options, now bbrtype.Mono) *Change {
	c := &Change{opts: opts, phase: PhaseDraining, unconfirmed: map[bbrtype.InstanceID]bool{}, since: now}
	for _, id := range opts.Unconfirmed {
		c.unconfirmed[id] = true
	}
	return c
}

// Phase returns the step that the change has reached.
func (c *Change) Phase() Phase { return c.phase }

// Term returns the term that the change starts.
func (c *Change) Term() bbrtype.Term { return c.opts.Term }

// Unconfirmed reports whether an instance has still to confirm the fence.
func (c *Change) Unconfirmed(id bbrtype.InstanceID) bool { return c.unconfirmed[id] }

// Step takes an event. The situation's States, Complete and Waited are filled
// in by the change.
func (c *Change) Step(now bbrtype.Mono, ev Event, s Situation) []Action {
	switch e := ev.(type) {
	case Confirmed:
		delete(c.unconfirmed, e.Instance)
	case MemberRead:
		if c.phase == PhaseReading && e.SentAt >= c.drainedAt {
			c.states[e.Member] = e.State
			delete(c.unreadable, e.Member)
		}
	case MemberUnreadable:
		if c.phase == PhaseReading {
			c.unreadable[e.Member] = true
		}
	case CandidateNoted:
		if c.phase == PhaseChoosing && e.Member == c.choice.Member {
			c.enter(PhasePromoting, now)
			return []Action{Promote{Member: e.Member}}
		}
	case Promoted:
		return c.promoted(now, e)
	}
	switch c.phase {
	case PhaseDraining:
		return c.drain(now)
	case PhaseReading:
		return c.read(now, s)
	case PhasePromoting:
		if now.Sub(c.since) > c.opts.PromoteTimeout {
			return c.startReading(now)
		}
	}
	return nil
}

func (c *Change) enter(p Phase, now bbrtype.Mono) {
	c.phase = p
	c.since = now
}

func (c *Change) drain(now bbrtype.Mono) []Action {
	if len(c.unconfirmed) > 0 && now < c.opts.LapseAt {
		return nil
	}
	c.drainedAt = now
	return c.startReading(now)
}

func (c *Change) startReading(now bbrtype.Mono) []Action {
	c.enter(PhaseReading, now)
	c.states = map[bbrtype.MemberName]bbrmember.State{}
	c.unreadable = map[bbrtype.MemberName]bool{}
	c.readAt = now
	return []Action{ReadMembers{}}
}

func (c *Change) read(now bbrtype.Mono, s Situation) []Action {
	s.States = c.states
	s.Waited = now.Sub(c.drainedAt)
	s.Complete = c.hasAll(s) || now.Sub(c.since) >= c.opts.ReadTimeout
	choice := Choose(s)
	switch choice.Decision {
	case DecisionAdopt:
		c.choice = choice
		return c.name(now, choice.State.History, choice.State.Position)
	case DecisionPromote:
		c.choice = choice
		c.enter(PhaseChoosing, now)
		return []Action{AppendCandidate{Member: choice.Member}}
	}
	if now.Sub(c.readAt) >= c.opts.ReadTimeout {
		c.readAt = now
		return []Action{ReadMembers{}}
	}
	return nil
}

// hasAll reports whether every member has answered that can be expected to. A
// primary that counts as lost is not waited for.
func (c *Change) hasAll(s Situation) bool {
	last, _ := s.Group.Last()
	for _, m := range s.Group.Members {
		_, read := c.states[m]
		if !read && !c.unreadable[m] && (m != last.Member || s.OldAnswers) {
			return false
		}
	}
	return true
}

func (c *Change) promoted(now bbrtype.Mono, e Promoted) []Action {
	if c.phase != PhasePromoting || e.Member != c.choice.Member {
		return nil
	}
	if e.Failed || !e.After.Primary {
		return c.startReading(now)
	}
	// The position before the promotion is never past the end of the old
	// history, so that no lost position counts as kept.
	start := received(e.Before)
	if e.Before.Primary {
		start = min(start, received(c.choice.State))
	}
	return c.name(now, e.After.History, start)
}

func (c *Change) name(now bbrtype.Mono, h bbrtype.History, start bbrtype.Position) []Action {
	c.enter(PhaseNaming, now)
	return []Action{AppendPrimary{
		Member: c.choice.Member, History: h, Start: start, PossibleLoss: c.choice.PossibleLoss,
	}}
}
