package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Message is what two instances tell each other, as a request and as a reply.
type Message struct {
	From bbrjournal.Instance `json:"from"`
	// Fleet is left out in calm times, when everybody knows the sender.
	Fleet string `json:"fleet,omitempty"`
	// Applied is the sender's journal index.
	Applied bbrtype.Index `json:"applied"`
	// Joining is set while the sender is not a member.
	Joining bool `json:"joining,omitempty"`
	// Leaving is set during a planned stop.
	Leaving bool `json:"leaving,omitempty"`
	// Version is the configuration that the sender has in force.
	Version uint64 `json:"version,omitempty"`
	// WantVouch asks a steward for its promise; Vouched is its answer.
	WantVouch bool `json:"wantVouch,omitempty"`
	Vouched   bool `json:"vouched,omitempty"`
	// Records are records that the receiver lacks.
	Records []bbrjournal.Record `json:"records,omitempty"`
	// Snapshot is set where the receiver lacks more than Records can hold.
	Snapshot *bbrjournal.State `json:"snapshot,omitempty"`
	Reports  []Report          `json:"reports,omitempty"`
	// Calm is set in a request that leaves the reports out, because nothing is
	// going on. Replies always have them.
	Calm bool `json:"calm,omitempty"`
	// Silent are the instances that the sender has not heard from lately.
	Silent []bbrtype.InstanceID `json:"silent,omitempty"`
	// Suspects are members that the receiver is asked to probe at once.
	Suspects []bbrmember.Ref `json:"suspects,omitempty"`
	// Wishes are primaries that a pending configuration takes away.
	Wishes []Wish `json:"wishes,omitempty"`
}

// Report is the sender's experience with a member.
type Report struct {
	Ref     bbrmember.Ref       `json:"ref"`
	Opinion bbrfailover.Opinion `json:"opinion"`
	// State is the last state read, if any, and StateAge its age.
	State    *bbrmember.State `json:"state,omitempty"`
	StateAge time.Duration    `json:"stateAge,omitempty"`
}

// Wish asks the stewards for a planned change of primary.
type Wish struct {
	Group    bbrtype.GroupName  `json:"group"`
	Excluded bbrtype.MemberName `json:"excluded"`
}
