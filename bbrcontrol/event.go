package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Event is an input of the control logic: the outcome of an action, a request,
// or the passing of time.
type Event interface{ isEvent() }

// Tick is sent at a regular interval. It triggers all work that depends on
// time.
type Tick struct{}

// JournalRead is the outcome of ReadJournal.
type JournalRead struct {
	SentAt bbrtype.Mono
	// After is the index that the read started after.
	After   bbrtype.Index
	Records []bbrjournal.Record
	// More is set if the store holds further records that were not returned.
	More bool
	// Failed is set if the store did not answer.
	Failed bool
}

// SnapshotLoaded is the outcome of LoadSnapshot.
type SnapshotLoaded struct{ State *bbrjournal.State }

// AppendResult is the outcome of an append.
type AppendResult string

// The outcomes of an append. AppendIndexTaken means that the index already holds a
// record. AppendUnknown means that no reply was received: the record may be
// stored.
const (
	AppendStored     AppendResult = "stored"
	AppendIndexTaken AppendResult = "taken"
	AppendUnknown    AppendResult = "unknown"
)

// Appended is the outcome of Append.
type Appended struct {
	Record bbrjournal.Record
	Result AppendResult
}

// ExchangeReplied is a peer's reply to Exchange. To is the instance that the
// request was addressed to, empty if only an address was known.
type ExchangeReplied struct {
	To     bbrtype.InstanceID
	SentAt bbrtype.Mono
	Reply  Message
}

// ExchangeFailed reports that a peer did not reply to Exchange.
type ExchangeFailed struct{ To bbrtype.InstanceID }

// MemberAnswered reports that a member answered a probe or a caller's
// statement. State is nil where the answer did not include it.
type MemberAnswered struct {
	Ref    bbrmember.Ref
	SentAt bbrtype.Mono
	State  *bbrmember.State
	// Probed is set for the outcome of a Probe action.
	Probed bool
}

// MemberFailed reports that a member did not answer a probe or a caller's
// statement.
type MemberFailed struct {
	Ref    bbrmember.Ref
	Kind   bbrmember.FailureKind
	Probed bool
	// SentAt is when the request was sent, 0 if unknown.
	SentAt bbrtype.Mono
}

// PromotionFinished is the outcome of Promote, with the member's state before and
// after the promotion.
type PromotionFinished struct {
	Ref    bbrmember.Ref
	Term   bbrtype.Term
	Before bbrmember.State
	After  bbrmember.State
	Failed bool
}

// HeartbeatStored is the outcome of StoreHeartbeat.
type HeartbeatStored struct {
	SentAt bbrtype.Mono
	OK     bool
}

// HeartbeatsRead is the outcome of ReadHeartbeats. A missing heartbeat counts as 0.
type HeartbeatsRead struct {
	Heartbeats map[bbrtype.InstanceID]uint64
	Failed     bool
}

// HeartbeatsRevoked is the outcome of RevokeHeartbeats.
type HeartbeatsRevoked struct{ OK bool }

// RequestID identifies a configuration request.
type RequestID string

// ConfigurationRequested is an operator's request to put a configuration in force.
// It is answered by ConfigureDone.
type ConfigurationRequested struct {
	ID    RequestID
	Entry bbrjournal.Configured
}

// ConfigurationAbandoned reports that the operator no longer waits for the result
// of a request.
type ConfigurationAbandoned struct{ ID RequestID }

// PoliciesChanged sets the failover policies of the groups in the configuration
// in force.
type PoliciesChanged struct {
	Policies map[bbrtype.GroupName]bbrfailover.Policy
	// LowestMaxAge is the smallest maximum data age among the read policies that
	// use replicas, 0 if there is none.
	LowestMaxAge time.Duration
}

// LeaveRequested starts a planned stop. The instance is no longer eligible as a
// steward and appends no further fences.
type LeaveRequested struct{}

// SnapshotSaved is the outcome of SaveSnapshot.
type SnapshotSaved struct{ Index bbrtype.Index }

// PeerAddressesListed sets the addresses at which other instances may be reachable.
// They are used only while the journal state names no other instance.
type PeerAddressesListed struct{ Addresses []string }

// Drained reports that the instance serves no callers any more. The instance
// then removes itself from the journal.
type Drained struct{}

func (Tick) isEvent()                   {}
func (JournalRead) isEvent()            {}
func (SnapshotLoaded) isEvent()         {}
func (Appended) isEvent()               {}
func (ExchangeReplied) isEvent()        {}
func (ExchangeFailed) isEvent()         {}
func (MemberAnswered) isEvent()         {}
func (MemberFailed) isEvent()           {}
func (PromotionFinished) isEvent()      {}
func (HeartbeatStored) isEvent()        {}
func (HeartbeatsRead) isEvent()         {}
func (HeartbeatsRevoked) isEvent()      {}
func (ConfigurationRequested) isEvent() {}
func (ConfigurationAbandoned) isEvent() {}
func (PoliciesChanged) isEvent()        {}
func (LeaveRequested) isEvent()         {}
func (Drained) isEvent()                {}
func (SnapshotSaved) isEvent()          {}
func (PeerAddressesListed) isEvent()    {}
