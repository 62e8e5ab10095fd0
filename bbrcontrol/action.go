package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Action is something that the control logic wants done. Its outcome comes
// back as an event.
type Action interface{ isAction() }

// ReadHead reads the records behind an index from the store.
type ReadHead struct{ After bbrtype.Index }

// LoadSnapshot loads the newest snapshot, because records are missing.
type LoadSnapshot struct{}

// SaveSnapshot stores the state, so that older records can be dropped.
type SaveSnapshot struct{ State *bbrjournal.State }

// Append stores a record if its index is free.
type Append struct{ Record bbrjournal.Record }

// Exchange sends a message to a peer and takes the reply.
type Exchange struct {
	To      bbrjournal.Instance
	Message Message
}

// Probe asks a member for its state.
type Probe struct {
	Ref     bbrmember.Ref
	Timeout time.Duration
}

// Promote orders a member's promotion.
type Promote struct {
	Ref     bbrmember.Ref
	Term    bbrtype.Term
	Timeout time.Duration
}

// Follow orders a member to follow the primary.
type Follow struct {
	Ref    bbrmember.Ref
	Target bbrtype.MemberName
	Term   bbrtype.Term
}

// Beat stores a steward's heartbeat if it is higher than the stored one.
type Beat struct{ Beat uint64 }

// ReadBeats reads the heartbeats of all stewards.
type ReadBeats struct{ Stewards []bbrtype.InstanceID }

// RevokeBeats makes later heartbeats of the stewards fail, if none has beaten
// since the given ones.
type RevokeBeats struct{ Beats map[bbrtype.InstanceID]uint64 }

// ConfigureResult tells an operator what became of a configuration.
type ConfigureResult string

// The results. ConfigureUnknown means that it may be in force.
const (
	ConfigureInForce  ConfigureResult = "inForce"
	ConfigureConflict ConfigureResult = "conflict"
	ConfigureUnknown  ConfigureResult = "unknown"
)

// ConfigureDone answers a ConfigureRequested event.
type ConfigureDone struct {
	ID     RequestID
	Result ConfigureResult
	Index  bbrtype.Index
}

// Learned passes on a member's state that a peer has read. AsOf is a time at
// or before the reading, 0 if unknown.
type Learned struct {
	Ref   bbrmember.Ref
	State bbrmember.State
	AsOf  bbrtype.Mono
}

// Applied tells that records were applied. Entries took effect.
type Applied struct {
	Record  bbrjournal.Record
	Entries []bbrjournal.Entry
}

// Left tells that the instance is not a member any more after a planned stop.
type Left struct{}

// Note is something worth a line in the log.
type Note struct {
	Text  string
	Group bbrtype.GroupName
	Term  bbrtype.Term
	// Member or instance that it concerns.
	Subject string
	// Took is the duration of what has ended.
	Took time.Duration
}

func (ReadHead) isAction()      {}
func (LoadSnapshot) isAction()  {}
func (SaveSnapshot) isAction()  {}
func (Append) isAction()        {}
func (Exchange) isAction()      {}
func (Probe) isAction()         {}
func (Promote) isAction()       {}
func (Follow) isAction()        {}
func (Beat) isAction()          {}
func (ReadBeats) isAction()     {}
func (RevokeBeats) isAction()   {}
func (ConfigureDone) isAction() {}
func (Learned) isAction()       {}
func (Applied) isAction()       {}
func (Left) isAction()          {}
func (Note) isAction()          {}
