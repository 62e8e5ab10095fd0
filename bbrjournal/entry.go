package bbrjournal

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Entry is one change to the state that all instances share. Its type is
// Configured, InstancesChanged, StewardsNamed, Fenced, CandidateChosen,
// PrimaryNamed or TransitionCompleted.
type Entry interface {
	kind() kind
}

// kind identifies the type of an entry in its stored form.
type kind string

const (
	kindConfigured kind = "configured"
	// kindInstancesChanged is stored as "membershipChanged".
	kindInstancesChanged kind = "membershipChanged"
	kindStewardsNamed    kind = "stewardsNamed"
	kindFenced           kind = "fenced"
	kindCandidateChosen  kind = "candidateChosen"
	kindPrimaryNamed     kind = "primaryNamed"
	// kindTransitionCompleted is stored as "settled".
	kindTransitionCompleted kind = "settled"
)

// Configured activates a configuration. The entry contains only the members
// and the number of confirmations of each group; the full text is in the
// object store, under Hash.
type Configured struct {
	// Version is the number of the configuration. The first one is 1.
	Version uint64 `json:"version"`
	// Hash is the hexadecimal SHA-256 of the configuration's text, and its key
	// in the object store.
	Hash string `json:"hash"`
	// Author is the operator who submitted the configuration.
	Author string `json:"author"`
	// Note is the operator's remark.
	Note string `json:"note,omitempty"`
	// SubmittedAt is the wall-clock time of the submission, in milliseconds since
	// 1970. It is for display only and never compared.
	SubmittedAt int64 `json:"appliedAt"`
	// Groups maps each database group to its members and its number of
	// confirmations.
	Groups map[bbrtype.GroupName]ReplicationConfig `json:"groups"`
}

// ReplicationConfig is the part of a group's configuration that determines
// which members may contain a confirmed write, and how many must.
type ReplicationConfig struct {
	Members []bbrtype.MemberName `json:"members"`
	// MinConfirmations is the minimum number of replicas that must have
	// received a write before the write is confirmed. 0 means that writes need
	// not reach a replica (asynchronous replication).
	MinConfirmations int `json:"confirm,omitempty"`
}

// Instance is a running instance, as recorded in the journal.
type Instance struct {
	ID   bbrtype.InstanceID `json:"id"`
	Name string             `json:"name"`
	// Address is the address for connections from other instances.
	Address    string             `json:"address"`
	DataCentre bbrtype.DataCentre `json:"dataCentre"`
}

// InstancesChanged adds instances to the set of running instances, or removes
// them. It does not concern the members of database groups.
type InstancesChanged struct {
	Joined []Instance           `json:"joined,omitempty"`
	Left   []bbrtype.InstanceID `json:"left,omitempty"`
}

// StewardsNamed replaces the set of stewards, the instances that coordinate
// changes of primary.
type StewardsNamed struct {
	Stewards []bbrtype.InstanceID `json:"stewards"`
	// IsTakeover is set if the writer is not a steward itself. It replaces
	// stewards that have sent no heartbeat for longer than the maximum
	// holdover, the period in which a steward that can't reach the table store
	// may still renew the authority of instances.
	IsTakeover bool `json:"takenOver,omitempty"`
}

// Fenced starts the next term of a group and ends the previous one. The fence
// is complete when each instance either has applied the entry or no longer has
// authority to acknowledge writes, because its authority, a lease, has
// expired. From then on, no instance may acknowledge a write of an earlier
// term.
type Fenced struct {
	Group bbrtype.GroupName `json:"group"`
	// Term is the new term.
	Term bbrtype.Term `json:"term"`
	// Excluded is a member that must not become the primary of the new term.
	// It is empty if any member may become the primary.
	Excluded bbrtype.MemberName `json:"excluded,omitempty"`
}

// CandidateChosen records which member is about to be promoted. It is written
// before the promotion. If the writer crashes afterwards, the steward that
// resumes the change of primary can tell that the new history of that member
// results from this change.
type CandidateChosen struct {
	Group  bbrtype.GroupName  `json:"group"`
	Member bbrtype.MemberName `json:"member"`
	Term   bbrtype.Term       `json:"term"`
}

// PrimaryNamed records the primary of a group's current term and thereby
// completes a change of primary.
type PrimaryNamed struct {
	Group  bbrtype.GroupName  `json:"group"`
	Member bbrtype.MemberName `json:"member"`
	Term   bbrtype.Term       `json:"term"`
	// History is the history that the member reports as the primary of the new
	// term, such as its PostgreSQL timeline.
	History bbrtype.History `json:"history"`
	// Start is the position at which the new term begins. If the history
	// changes, this is also the position at which the new history branches off
	// the previous one.
	Start bbrtype.Position `json:"start"`
	// PossibleLoss is set if the new primary may lack a confirmed write.
	PossibleLoss bool `json:"possibleLoss,omitempty"`
}

// TransitionCompleted completes the transition from earlier replication
// configs of a group to its current one. Every write that was confirmed under
// an earlier config is at or before MinPosition, so from then on a new primary
// need not satisfy the earlier configs, but must have reached MinPosition.
type TransitionCompleted struct {
	Group bbrtype.GroupName `json:"group"`
	Term  bbrtype.Term      `json:"term"`
	// ConfigIndex is the index of the record that introduced the current
	// replication config. The entry is void if the config has changed again.
	ConfigIndex bbrtype.Index `json:"since"`
	// MinPosition is the lowest position that a later primary must have reached.
	MinPosition bbrtype.Position `json:"floor"`
}

func (TransitionCompleted) kind() kind { return kindTransitionCompleted }
func (Configured) kind() kind          { return kindConfigured }
func (InstancesChanged) kind() kind    { return kindInstancesChanged }
func (StewardsNamed) kind() kind       { return kindStewardsNamed }
func (Fenced) kind() kind              { return kindFenced }
func (CandidateChosen) kind() kind     { return kindCandidateChosen }
func (PrimaryNamed) kind() kind        { return kindPrimaryNamed }

// Record is one record of the journal: a list of entries that one instance
// appended at one index. The nonce makes an append idempotent: by it, a writer
// that got no reply finds out whether the stored record is its own.
type Record struct {
	Index   bbrtype.Index
	Writer  bbrtype.InstanceID
	Nonce   string
	Entries []Entry
}

// storedRecord is the stored form of a Record.
type storedRecord struct {
	Index   bbrtype.Index      `json:"index"`
	Writer  bbrtype.InstanceID `json:"writer"`
	Nonce   string             `json:"nonce"`
	Entries []storedEntry      `json:"entries"`
}

// storedEntry is the stored form of an Entry.
type storedEntry struct {
	Kind kind            `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// MarshalJSON encodes the record in its stored form.
func (r Record) MarshalJSON() ([]byte, error) {
	s := storedRecord{Index: r.Index, Writer: r.Writer, Nonce: r.Nonce}
	for _, e := range r.Entries {
		body, err := json.Marshal(e)
		if err != nil {
			return nil, errors.Wrapf(err, "encode journal record %d", r.Index)
		}
		s.Entries = append(s.Entries, storedEntry{e.kind(), body})
	}
	return json.Marshal(s)
}

// UnmarshalJSON decodes a record from its stored form.
func (r *Record) UnmarshalJSON(b []byte) error {
	var s storedRecord
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "decode journal record")
	}
	*r = Record{Index: s.Index, Writer: s.Writer, Nonce: s.Nonce}
	for _, stored := range s.Entries {
		e, err := decodeEntry(stored.Kind, stored.Body)
		if err != nil {
			return errors.Wrapf(err, "decode journal record %d", s.Index)
		}
		r.Entries = append(r.Entries, e)
	}
	return nil
}

func decodeEntry(k kind, b []byte) (Entry, error) {
	switch k {
	case kindConfigured:
		return decodeAs[Configured](b)
	case kindInstancesChanged:
		return decodeAs[InstancesChanged](b)
	case kindStewardsNamed:
		return decodeAs[StewardsNamed](b)
	case kindFenced:
		return decodeAs[Fenced](b)
	case kindCandidateChosen:
		return decodeAs[CandidateChosen](b)
	case kindPrimaryNamed:
		return decodeAs[PrimaryNamed](b)
	case kindTransitionCompleted:
		return decodeAs[TransitionCompleted](b)
	}
	return nil, errors.Errorf("unknown kind of entry %q: this instance may be older than the writer", k)
}

func decodeAs[E Entry](b []byte) (Entry, error) {
	var e E
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, err
	}
	return e, nil
}
