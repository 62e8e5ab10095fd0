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
	// Fleet identifies the sender's journal. It is omitted in the steady state
	// if the receiver is in the journal and thus recognizes the sender.
	Fleet string `json:"fleet,omitempty"`
	// Applied is the index of the last record that the sender has applied.
	Applied bbrtype.Index `json:"applied"`
	// Joining is set while the sender is not in the journal and requests to be
	// added.
	Joining bool `json:"joining,omitempty"`
	// Leaving is set during a planned stop of the sender.
	Leaving bool `json:"leaving,omitempty"`
	// Version is the configuration version that the sender has in force.
	Version uint64 `json:"version,omitempty"`
	// WantVouch requests a lease grant from a steward, which then appends no
	// fence for the duration of the lease. Vouched is set in the reply if the
	// grant is given.
	WantVouch bool `json:"wantVouch,omitempty"`
	Vouched   bool `json:"vouched,omitempty"`
	// Records are records that the receiver has not applied.
	Records []bbrjournal.Record `json:"records,omitempty"`
	// Snapshot is set instead of Records if the sender no longer keeps all
	// records that the receiver lacks.
	Snapshot *bbrjournal.State `json:"snapshot,omitempty"`
	Reports  []Report          `json:"reports,omitempty"`
	// Calm is set in a request that omits the reports because the sender is in
	// the steady state. Replies always include them.
	Calm bool `json:"calm,omitempty"`
	// Silent lists the instances that have sent no message to the sender for
	// the duration of Options.Silence.
	Silent []bbrtype.InstanceID `json:"silent,omitempty"`
	// Suspects are members that the receiver is requested to probe at once.
	Suspects []bbrmember.Ref `json:"suspects,omitempty"`
	// Wishes request planned changes of primary for a pending configuration.
	Wishes []Wish `json:"wishes,omitempty"`
}

// Report is the sender's observation of a member.
type Report struct {
	Ref     bbrmember.Ref       `json:"ref"`
	Opinion bbrfailover.Opinion `json:"opinion"`
	// State is the last state that the sender read, if any, and StateAge its
	// age.
	State    *bbrmember.State `json:"state,omitempty"`
	StateAge time.Duration    `json:"stateAge,omitempty"`
}

// Wish requests that the stewards move the primary off a member by a planned
// change, because a pending configuration removes that member.
type Wish struct {
	Group    bbrtype.GroupName  `json:"group"`
	Excluded bbrtype.MemberName `json:"excluded"`
}
