package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Message is the request and the reply of an exchange between two instances.
type Message struct {
	From bbrjournal.Instance `json:"from"`
	// FleetName is the name of the sender's fleet. It is omitted in the steady
	// state if the receiver is in the journal, because the receiver then finds
	// the sender in the journal too.
	FleetName string `json:"fleet,omitempty"`
	// AppliedIndex is the index of the last record that the sender has applied.
	AppliedIndex bbrtype.Index `json:"applied"`
	// Joining is set while the sender is not in the journal and requests to be
	// added.
	Joining bool `json:"joining,omitempty"`
	// Leaving is set during a planned stop of the sender.
	Leaving bool `json:"leaving,omitempty"`
	// ConfigVersion is the configuration version that the sender has in force.
	ConfigVersion uint64 `json:"version,omitempty"`
	// GrantRequested requests a lease grant from a steward, which then appends no
	// fence for the duration of the lease. Granted is set in the reply if the
	// grant is given.
	GrantRequested bool `json:"wantVouch,omitempty"`
	Granted        bool `json:"vouched,omitempty"`
	// Records are records that the receiver has not applied.
	Records []bbrjournal.Record `json:"records,omitempty"`
	// Snapshot is set instead of Records if the sender no longer keeps all
	// records that the receiver lacks.
	Snapshot *bbrjournal.State `json:"snapshot,omitempty"`
	Reports  []MemberReport    `json:"reports,omitempty"`
	// ReportsOmitted is set in a request that omits the reports because the
	// sender is in the steady state. Replies always include them.
	ReportsOmitted bool `json:"calm,omitempty"`
	// SilentInstances lists the instances that have sent no message to the
	// sender for the duration of Options.PeerTimeout.
	SilentInstances []bbrtype.InstanceID `json:"silent,omitempty"`
	// SuspectedMembers are members that the receiver is requested to probe at once.
	SuspectedMembers []bbrmember.Ref `json:"suspects,omitempty"`
	// Switchovers request planned changes of primary for a pending configuration.
	Switchovers []SwitchoverRequest `json:"wishes,omitempty"`
}

// MemberReport is the sender's observation of a member.
type MemberReport struct {
	Ref          bbrmember.Ref            `json:"ref"`
	Reachability bbrfailover.Reachability `json:"opinion"`
	// State is the last state that the sender read, if any, and StateAge its
	// age.
	State    *bbrmember.State `json:"state,omitempty"`
	StateAge time.Duration    `json:"stateAge,omitempty"`
}

// SwitchoverRequest requests that the stewards move the primary off a member by
// a planned change, because a pending configuration removes that member.
type SwitchoverRequest struct {
	Group    bbrtype.GroupName  `json:"group"`
	Excluded bbrtype.MemberName `json:"excluded"`
}
