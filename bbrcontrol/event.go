package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Event is something that the control logic reacts to.
type Event interface{ isEvent() }

// Tick is the passing of time.
type Tick struct{}

// HeadRead is the reply to ReadHead.
type HeadRead struct {
	SentAt bbrtype.Mono
	// After is the index behind which the records were asked for.
	After   bbrtype.Index
	Records []bbrjournal.Record
	// More is set if the reply was cut off and does not show the head.
	More bool
	// Failed is set if the store gave no answer.
	Failed bool
}

// SnapshotLoaded is a state taken from the store or from a peer.
type SnapshotLoaded struct{ State *bbrjournal.State }

// AppendResult tells what became of an append.
type AppendResult string

// The results. AppendTaken means that the index holds a record already.
// AppendUnknown means that no reply came: the record may be stored.
const (
	AppendStored  AppendResult = "stored"
	AppendTaken   AppendResult = "taken"
	AppendUnknown AppendResult = "unknown"
)

// Appended is the reply to Append.
type Appended struct {
	Record bbrjournal.Record
	Result AppendResult
}

// ExchangeReplied is a peer's reply to Exchange.
type ExchangeReplied struct {
	From   bbrtype.InstanceID
	SentAt bbrtype.Mono
	Reply  Message
}

// ExchangeFailed tells that a peer gave no reply.
type ExchangeFailed struct{ To bbrtype.InstanceID }

// MemberAnswered is a member's reply to a probe, or an answer that traffic
// got. State is nil where traffic did not show it.
type MemberAnswered struct {
	Ref    bbrmember.Ref
	SentAt bbrtype.Mono
	State  *bbrmember.State
	// Probed is set for the reply to a Probe action.
	Probed bool
}

// MemberFailed tells that a member did not answer a probe or traffic.
type MemberFailed struct {
	Ref    bbrmember.Ref
	Kind   bbrmember.FailureKind
	Probed bool
	// SentAt is when the member was asked, 0 if unknown.
	SentAt bbrtype.Mono
}

// PromoteDone is the result of a Promote action.
type PromoteDone struct {
	Ref    bbrmember.Ref
	Term   bbrtype.Term
	Before bbrmember.State
	After  bbrmember.State
	Failed bool
}

// Beaten is the reply to Beat.
type Beaten struct {
	SentAt bbrtype.Mono
	OK     bool
}

// BeatsRead is the reply to ReadBeats. Missing heartbeats count as 0.
type BeatsRead struct {
	Beats  map[bbrtype.InstanceID]uint64
	Failed bool
}

// BeatsRevoked is the reply to RevokeBeats.
type BeatsRevoked struct{ OK bool }

// RequestID names a request of an operator.
type RequestID string

// ConfigureRequested asks for a configuration to be put in force.
type ConfigureRequested struct {
	ID    RequestID
	Entry bbrjournal.Configured
}

// ConfigureAbandoned tells that nobody waits for a request any more.
type ConfigureAbandoned struct{ ID RequestID }

// PoliciesChanged gives the groups' policies of the configuration in force.
type PoliciesChanged struct {
	Policies map[bbrtype.GroupName]bbrfailover.Policy
	// LeastAge is the lowest age of data that a read policy asks for.
	LeastAge time.Duration
}

// LeaveRequested starts a planned stop: the instance gives up its steward's
// work.
type LeaveRequested struct{}

// SnapshotSaved tells that a snapshot is stored.
type SnapshotSaved struct{ Index bbrtype.Index }

// PeersListed gives addresses where other instances may be found. They are a
// hint only.
type PeersListed struct{ Addresses []string }

// Drained tells that the instance serves nobody any more.
type Drained struct{}

func (Tick) isEvent()               {}
func (HeadRead) isEvent()           {}
func (SnapshotLoaded) isEvent()     {}
func (Appended) isEvent()           {}
func (ExchangeReplied) isEvent()    {}
func (ExchangeFailed) isEvent()     {}
func (MemberAnswered) isEvent()     {}
func (MemberFailed) isEvent()       {}
func (PromoteDone) isEvent()        {}
func (Beaten) isEvent()             {}
func (BeatsRead) isEvent()          {}
func (BeatsRevoked) isEvent()       {}
func (ConfigureRequested) isEvent() {}
func (ConfigureAbandoned) isEvent() {}
func (PoliciesChanged) isEvent()    {}
func (LeaveRequested) isEvent()     {}
func (Drained) isEvent()            {}
func (SnapshotSaved) isEvent()      {}
func (PeersListed) isEvent()        {}
