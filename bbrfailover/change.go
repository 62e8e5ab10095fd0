// Package bbrfailover decides on failovers (changes of primary) that are coordinated
// through the journal: whether a primary is lost, which member becomes the next
// primary, and the steps of a failover, from the fence to the record of the new
// primary. A fence is the journal entry that starts a new term. It is complete when no
// instance can acknowledge a write of the old term any more. The package is pure;
// bbrcontrol carries out its actions.
//
// A failover passes through these phases:
//
//  1. draining: it waits until every instance has applied the fence or has lost its
//     authority for the old term. The fence is then complete.
//  2. reading: it reads the states of the members and chooses one of them.
//  3. choosing: it waits until the journal contains the chosen member as candidate.
//  4. promoting: it waits for the promotion of the candidate. After a failed
//     promotion it returns to reading.
//  5. naming: it waits until the journal contains the new primary.
//
// A member that is already the primary skips the phases choosing and promoting. The
// failover ends when the journal contains the new primary, or when another steward has
// started a later term.
//
// # Usage
//
//	c := bbrfailover.NewChange(opts, now)
//	actions := c.Step(now, bbrfailover.FenceConfirmed{Instance: id}, input)
package bbrfailover

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Phase is the phase of a failover.
type Phase string

// The phases of a failover.
const (
	// PhaseDraining waits until every instance has applied the fence or has lost its
	// authority for the old term.
	PhaseDraining Phase = "draining"
	// PhaseReading reads the states of the members.
	PhaseReading Phase = "reading"
	// PhaseChoosing waits until the journal contains the candidate.
	PhaseChoosing Phase = "choosing"
	// PhasePromoting waits for the candidate's promotion.
	PhasePromoting Phase = "promoting"
	// PhaseNaming waits until the journal contains the new primary.
	PhaseNaming Phase = "naming"
)

// Options are the parameters of a failover.
type Options struct {
	Group bbrtype.GroupName
	// Term is the term that the failover starts.
	Term bbrtype.Term
	// Unconfirmed are the instances that have not applied the fence yet and may still
	// have authority for the old term.
	Unconfirmed []bbrtype.InstanceID
	// AuthorityExpiresAt is when the authority of all unconfirmed instances has expired at the
	// latest.
	AuthorityExpiresAt bbrtype.Mono
	// ReadTimeout is how long a member may take to report its state.
	ReadTimeout time.Duration
	// PromoteTimeout is how long a promotion may take before the states of the members
	// are read again.
	PromoteTimeout time.Duration
}

// Event is an input of a failover: Tick, FenceConfirmed, MemberStateRead,
// MemberReadRefused, CandidateRecorded or PromotionFinished.
type Event interface{ isEvent() }

// Tick makes the failover check its timeouts.
type Tick struct{}

// FenceConfirmed reports that an instance has applied the fence.
type FenceConfirmed struct{ Instance bbrtype.InstanceID }

// MemberStateRead reports the state of a member. It is ignored if the request was sent
// before the fence was complete.
type MemberStateRead struct {
	Member bbrtype.MemberName
	State  bbrmember.State
	SentAt bbrtype.Mono
}

// MemberReadRefused reports that a connection for the read of a member's state was
// refused. A member that does not respond at all causes no event.
type MemberReadRefused struct{ Member bbrtype.MemberName }

// CandidateRecorded reports that the journal contains the candidate.
type CandidateRecorded struct{ Member bbrtype.MemberName }

// PromotionFinished reports the result of a promotion, with the member's states before and
// after the promotion.
type PromotionFinished struct {
	Member bbrtype.MemberName
	Before bbrmember.State
	After  bbrmember.State
	Failed bool
}

func (Tick) isEvent()            {}
func (FenceConfirmed) isEvent()  {}
func (MemberStateRead) isEvent() {}

func (MemberReadRefused) isEvent() {}
func (CandidateRecorded) isEvent() {}
func (PromotionFinished) isEvent() {}

// Action is an operation that a failover requests: ReadMembers, AppendCandidate,
// Promote or AppendPrimary.
type Action interface{ isAction() }

// ReadMembers requests the states of all members.
type ReadMembers struct{}

// AppendCandidate requests a CandidateChosen entry in the journal.
type AppendCandidate struct{ Member bbrtype.MemberName }

// Promote requests the promotion of a member.
type Promote struct{ Member bbrtype.MemberName }

// AppendPrimary requests a PrimaryNamed entry in the journal.
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

// Change is the state machine of one failover.
type Change struct {
	opts Options

	phase       Phase
	unconfirmed map[bbrtype.InstanceID]bool
	// fencedAt is when the fence became complete.
	fencedAt bbrtype.Mono
	// readRequestedAt is when the states of the members were last requested.
	readRequestedAt bbrtype.Mono
	// phaseStart is when the current phase began.
	phaseStart bbrtype.Mono
	states     map[bbrtype.MemberName]bbrmember.State
	refused    map[bbrtype.MemberName]bool
	choice     Choice
}

// NewChange returns a failover whose fence is already in the journal.
func NewChange(opts Options, now bbrtype.Mono) *Change {
	c := &Change{opts: opts, phase: PhaseDraining, unconfirmed: map[bbrtype.InstanceID]bool{}, phaseStart: now}
	for _, id := range opts.Unconfirmed {
		c.unconfirmed[id] = true
	}
	return c
}

// Phase returns the current phase.
func (c *Change) Phase() Phase { return c.phase }

// Term returns the term that the failover starts.
func (c *Change) Term() bbrtype.Term { return c.opts.Term }

// AwaitsConfirmation reports whether an instance has not confirmed the fence yet.
func (c *Change) AwaitsConfirmation(id bbrtype.InstanceID) bool { return c.unconfirmed[id] }

// Step handles an event and returns the actions that follow from it. The caller leaves
// the fields States, ReadsComplete and SinceFenced of in empty; Step sets them.
func (c *Change) Step(now bbrtype.Mono, ev Event, in ElectionInput) []Action {
	switch e := ev.(type) {
	case FenceConfirmed:
		delete(c.unconfirmed, e.Instance)
	case MemberStateRead:
		if c.phase == PhaseReading && e.SentAt >= c.fencedAt {
			c.states[e.Member] = e.State
			delete(c.refused, e.Member)
		}
	case MemberReadRefused:
		if c.phase == PhaseReading {
			c.refused[e.Member] = true
		}
	case CandidateRecorded:
		if c.phase == PhaseChoosing && e.Member == c.choice.Member {
			c.enterPhase(PhasePromoting, now)
			return []Action{Promote{Member: e.Member}}
		}
	case PromotionFinished:
		return c.handlePromoted(now, e)
	}
	switch c.phase {
	case PhaseDraining:
		return c.awaitFence(now)
	case PhaseReading:
		return c.stepReading(now, in)
	case PhasePromoting:
		if now.Sub(c.phaseStart) > c.opts.PromoteTimeout {
			return c.startReading(now)
		}
	}
	return nil
}

func (c *Change) enterPhase(p Phase, now bbrtype.Mono) {
	c.phase = p
	c.phaseStart = now
}

func (c *Change) awaitFence(now bbrtype.Mono) []Action {
	if len(c.unconfirmed) > 0 && now < c.opts.AuthorityExpiresAt {
		return nil
	}
	c.fencedAt = now
	return c.startReading(now)
}

func (c *Change) startReading(now bbrtype.Mono) []Action {
	c.enterPhase(PhaseReading, now)
	c.states = map[bbrtype.MemberName]bbrmember.State{}
	c.refused = map[bbrtype.MemberName]bool{}
	c.readRequestedAt = now
	return []Action{ReadMembers{}}
}

func (c *Change) stepReading(now bbrtype.Mono, in ElectionInput) []Action {
	in.States = c.states
	in.SinceFenced = now.Sub(c.fencedAt)
	in.ReadsComplete = c.allResponded(in) || now.Sub(c.phaseStart) >= c.opts.ReadTimeout
	choice := Choose(in)
	switch choice.Decision {
	case DecisionAdopt:
		c.choice = choice
		return c.appendPrimary(now, choice.State.History, choice.State.Position)
	case DecisionPromote:
		c.choice = choice
		c.enterPhase(PhaseChoosing, now)
		return []Action{AppendCandidate{Member: choice.Member}}
	}
	if now.Sub(c.readRequestedAt) >= c.opts.ReadTimeout {
		c.readRequestedAt = now
		return []Action{ReadMembers{}}
	}
	return nil
}

// allResponded reports whether every member has reported its state or refused the
// read. A lost primary is not waited for.
func (c *Change) allResponded(in ElectionInput) bool {
	last, _ := in.Group.LastPrimary()
	for _, m := range in.Group.Members {
		_, read := c.states[m]
		if !read && !c.refused[m] && (m != last.Member || in.OldPrimaryReachable) {
			return false
		}
	}
	return true
}

func (c *Change) handlePromoted(now bbrtype.Mono, e PromotionFinished) []Action {
	if c.phase != PhasePromoting || e.Member != c.choice.Member {
		return nil
	}
	if e.Failed || !e.After.Primary {
		return c.startReading(now)
	}
	// The new history starts where the member's data ended before the promotion. The
	// start must not lie past the end of the old history, otherwise a lost position would
	// count as kept. If the member was already the primary before this promotion, its
	// position may include writes of the new history, so the position at which it was
	// chosen bounds the start.
	start := promotedPosition(e.Before)
	if e.Before.Primary {
		start = min(start, promotedPosition(c.choice.State))
	}
	return c.appendPrimary(now, e.After.History, start)
}

func (c *Change) appendPrimary(now bbrtype.Mono, h bbrtype.History, start bbrtype.Position) []Action {
	c.enterPhase(PhaseNaming, now)
	return []Action{AppendPrimary{
		Member: c.choice.Member, History: h, Start: start, PossibleLoss: c.choice.PossibleLoss,
	}}
}
