package bbrbudget

import "time"

// Phase is what a connection that holds memory is doing.
type Phase string

// The phases. In PhaseWorking a statement is in progress, whose caller gets its reply first.
const (
	PhaseReceiving Phase = "receiving"
	PhaseWorking   Phase = "working"
	PhaseSending   Phase = "sending"
)

// Holding is what one connection makes the process hold.
type Holding struct {
	Phase Phase
	// Held is the size of its message or reply, Kept that of its session's state.
	Held, Kept Bytes
	// Quiet is the time since bytes were last received or sent, Age the time since the first
	// byte of the message or reply.
	Quiet, Age time.Duration
}

// none is the index of no holding.
const none = -1

// Stalled returns the index of the holding to close so that others get room: the one that has
// been quiet for longest, if that is long, else the one whose message takes longest. It
// returns -1 if all make progress, and never a holding with a statement in progress. It
// answers crowds that send or read slowly or stop half-way.
func Stalled(all []Holding) int {
	best := none
	for i, h := range all {
		if h.Held == 0 || h.Phase == PhaseWorking || h.Quiet < stallTimeout {
			continue
		}
		if best == none || h.Quiet > all[best].Quiet {
			best = i
		}
	}
	if best != none {
		return best
	}
	for i, h := range all {
		if h.Held == 0 || h.Phase == PhaseWorking || h.Age < longTimeout {
			continue
		}
		if best == none || h.Age > all[best].Age {
			best = i
		}
	}
	return best
}

// Slowest returns the index of the reply to give up because replies exceed the budget: the one
// of which nothing was sent for longest, and of two equal ones the larger. It returns -1 if none
// is being sent. It answers crowds that do not read what they asked for.
func Slowest(all []Holding) int {
	best := none
	for i, h := range all {
		if h.Held == 0 || h.Phase != PhaseSending {
			continue
		}
		if best == none || h.Quiet > all[best].Quiet || h.Quiet == all[best].Quiet && h.Held > all[best].Held {
			best = i
		}
	}
	return best
}

// Largest returns the index of the session that keeps most, if that is more than the given
// amount, else -1. It answers crowds of sessions that keep many values or names.
func Largest(all []Holding, than Bytes) int {
	best := none
	for i, h := range all {
		if h.Kept <= than {
			continue
		}
		if best == none || h.Kept > all[best].Kept {
			best = i
		}
	}
	return best
}

// Admission is what becomes of a new connection.
type Admission string

// The admissions. With AdmitReplace the oldest connection that has shown no use is closed.
const (
	AdmitNew     Admission = "admit"
	AdmitReplace Admission = "replace"
	AdmitRefuse  Admission = "refuse"
)

// Admit decides on a new connection beside open ones, of which some have shown no use yet. It
// answers crowds of connections.
func Admit(open, limit, unused int) Admission {
	switch {
	case open < limit:
		return AdmitNew
	case unused > 0:
		return AdmitReplace
	}
	return AdmitRefuse
}

// Reason is why a connection was closed or a message refused.
type Reason string

// The reasons.
const (
	// ReasonSlowMessage: a message was not finished in time.
	ReasonSlowMessage Reason = "slowMessage"
	// ReasonStalled: the connection made no progress while others waited for room.
	ReasonStalled Reason = "stalled"
	// ReasonSlowReader: replies that were not read exceeded the budget.
	ReasonSlowReader Reason = "slowReader"
	// ReasonSessionState: a session would have kept more than one may.
	ReasonSessionState Reason = "sessionState"
	// ReasonState: all sessions together kept too much; the largest is closed.
	ReasonState Reason = "state"
	// ReasonNoRoom: a message was refused because room did not come in time.
	ReasonNoRoom Reason = "noRoom"
	// ReasonConnections: a connection beyond the limit, or an unused one in its place.
	ReasonConnections Reason = "connections"
	// ReasonPeers: a request of another instance that there was no room for.
	ReasonPeers Reason = "peers"
)

// Reasons are all reasons.
var Reasons = []Reason{
	ReasonSlowMessage, ReasonStalled, ReasonSlowReader, ReasonSessionState, ReasonState, ReasonNoRoom, ReasonConnections, ReasonPeers,
}
