package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Action is an operation that the user of Control has to carry out. Where it
// has an outcome, the outcome is passed back as an event.
type Action interface{ isAction() }

// ReadJournal reads the records that follow an index from the store.
type ReadJournal struct{ After bbrtype.Index }

// LoadSnapshot loads the newest snapshot, because records are missing.
type LoadSnapshot struct{}

// SaveSnapshot stores the state, so that older records can be deleted.
type SaveSnapshot struct{ State *bbrjournal.State }

// Append stores a record if its index is free.
type Append struct{ Record bbrjournal.Record }

// Exchange sends a message to a peer and receives its reply. To has only an
// address if the peer is not known yet.
type Exchange struct {
	To      bbrjournal.Instance
	Message Message
}

// Probe queries a member for its state.
type Probe struct {
	Ref     bbrmember.Ref
	Timeout time.Duration
}

// Promote promotes a member to primary.
type Promote struct {
	Ref     bbrmember.Ref
	Term    bbrtype.Term
	Timeout time.Duration
}

// Follow makes a member replicate from the primary, which is Primary.
type Follow struct {
	Ref     bbrmember.Ref
	Primary bbrtype.MemberName
	Term    bbrtype.Term
}

// StoreHeartbeat stores a steward's heartbeat if it is higher than the stored one.
type StoreHeartbeat struct{ Heartbeat uint64 }

// ReadHeartbeats reads the heartbeats of all stewards.
type ReadHeartbeats struct{ Stewards []bbrtype.InstanceID }

// RevokeHeartbeats makes later heartbeats of the stewards fail, provided that no
// stored heartbeat differs from the given one.
type RevokeHeartbeats struct{ Heartbeats map[bbrtype.InstanceID]uint64 }

// ConfigureResult is the outcome of a configuration request.
type ConfigureResult string

// The outcomes of a configuration request. ConfigureUnknown means that the
// configuration may have been stored.
const (
	ConfigureInForce  ConfigureResult = "inForce"
	ConfigureConflict ConfigureResult = "conflict"
	ConfigureUnknown  ConfigureResult = "unknown"
)

// ConfigureDone is the answer to a ConfigurationRequested event.
type ConfigureDone struct {
	ID     RequestID
	Result ConfigureResult
	Index  bbrtype.Index
}

// MemberStateReported passes on a member's state that a peer reported. AsOf is
// a time at or before the peer's read, 0 if unknown.
type MemberStateReported struct {
	Ref   bbrmember.Ref
	State bbrmember.State
	AsOf  bbrtype.Mono
}

// RecordApplied reports a record that was applied. Entries are those of its entries
// that took effect. After a snapshot was installed, the record has only an
// index.
type RecordApplied struct {
	Record  bbrjournal.Record
	Entries []bbrjournal.Entry
}

// InstanceLeft reports that the instance is no longer in the journal after a
// planned stop.
type InstanceLeft struct{}

// LogMessage is a message for the log.
type LogMessage struct {
	Text  string
	Group bbrtype.GroupName
	Term  bbrtype.Term
	// Subject is the member or instance concerned.
	Subject string
	// Duration is the duration of the operation that has ended.
	Duration time.Duration
}

func (ReadJournal) isAction()         {}
func (LoadSnapshot) isAction()        {}
func (SaveSnapshot) isAction()        {}
func (Append) isAction()              {}
func (Exchange) isAction()            {}
func (Probe) isAction()               {}
func (Promote) isAction()             {}
func (Follow) isAction()              {}
func (StoreHeartbeat) isAction()      {}
func (ReadHeartbeats) isAction()      {}
func (RevokeHeartbeats) isAction()    {}
func (ConfigureDone) isAction()       {}
func (MemberStateReported) isAction() {}
func (RecordApplied) isAction()       {}
func (InstanceLeft) isAction()        {}
func (LogMessage) isAction()          {}
