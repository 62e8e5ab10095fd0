package bbrjournal

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Entry is one change to the state that all instances share. Its type is
// Configured, MembershipChanged, StewardsNamed, Fenced, CandidateChosen,
// PrimaryNamed or Settled.
type Entry interface {
	kind() kind
}

// kind identifies the type of an entry in its stored form.
type kind string

const (
	kindConfigured        kind = "configured"
	kindMembershipChanged kind = "membershipChanged"
	kindStewardsNamed     kind = "stewardsNamed"
	kindFenced            kind = "fenced"
	kindCandidateChosen   kind = "candidateChosen"
	kindPrimaryNamed      kind = "primaryNamed"
	kindSettled           kind = "settled"
)

// Configured activates a configuration. The entry holds the part that decides
// on the groups' members; the complete text is in the object store.
type Configured struct {
	// Version is the number of the configuration. The first one is 1.
	Version uint64 `json:"version"`
	// Hash is the hexadecimal SHA-256 of the text, which is stored under it.
	Hash string `json:"hash"`
	// Author is the operator who submitted the configuration.
	Author string `json:"author"`
	// Note is the operator's remark.
	Note string `json:"note,omitempty"`
	// AppliedAt is the wall-clock time of the submission, in milliseconds since
	// 1970. It is for display only and never compared.
	AppliedAt int64 `json:"appliedAt"`
	// Groups maps each database group to its members and confirmation rule.
	Groups map[bbrtype.GroupName]Setting `json:"groups"`
}

// Setting is the part of a group's configuration that determines which members
// hold an acknowledged write.
type Setting struct {
	Members []bbrtype.MemberName `json:"members"`
	// Confirm is the minimum number of replicas that must have received a write
	// for it to count as confirmed. 0 means that writes are not confirmed.
	Confirm int `json:"confirm,omitempty"`
}

// Instance is a running instance, as recorded in the journal.
type Instance struct {
	ID         bbrtype.InstanceID `json:"id"`
	Name       string             `json:"name"`
	Address    string             `json:"address"`
	DataCentre bbrtype.DataCentre `json:"dataCentre"`
}

// MembershipChanged adds instances to the set of running instances, or removes
// them. It does not concern the members of database groups.
type MembershipChanged struct {
	Joined []Instance           `json:"joined,omitempty"`
	Left   []bbrtype.InstanceID `json:"left,omitempty"`
}

// StewardsNamed replaces the set of stewards, the instances that coordinate
// changes of primary.
type StewardsNamed struct {
	Stewards []bbrtype.InstanceID `json:"stewards"`
	// TakenOver is set if the writer is not a steward but replaces stewards that
	// were silent for longer than the longest holdover, the time in which a
	// steward without access to the table store may still renew the authority
	// of instances.
	TakenOver bool `json:"takenOver,omitempty"`
}

// Fenced starts the next term of a group and ends the previous one. The fence
// is complete when every instance has applied the entry or its authority has
// expired. From then on, no instance may acknowledge a write of an earlier
// term.
type Fenced struct {
	Group bbrtype.GroupName `json:"group"`
	// Term is the new term.
	Term bbrtype.Term `json:"term"`
	// Excluded is a member that must not become the primary of the new term. It
	// is empty if every member may.
	Excluded bbrtype.MemberName `json:"excluded,omitempty"`
}

// CandidateChosen records which member is about to be promoted. It is written
// before the promotion, so that a steward that continues the change of primary
// after a crash of the writer accepts a member that was promoted already as
// part of the group's history.
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
	// Start is the position at which the new term begins. Where the history
	// changes, it is the position at which the new history branches off.
	Start bbrtype.Position `json:"start"`
	// PossibleLoss is set if the new primary may lack a confirmed write.
	PossibleLoss bool `json:"possibleLoss,omitempty"`
}

// Settled ends the transition from the earlier settings of a group to its
// current one: every write that was confirmed under an earlier setting lies at
// or before Floor, and a later primary must have reached Floor.
type Settled struct {
	Group bbrtype.GroupName `json:"group"`
	Term  bbrtype.Term      `json:"term"`
	// Since is the index of the record whose configuration made the current
	// setting.
	Since bbrtype.Index    `json:"since"`
	Floor bbrtype.Position `json:"floor"`
}

func (Settled) kind() kind           { return kindSettled }
func (Configured) kind() kind        { return kindConfigured }
func (MembershipChanged) kind() kind { return kindMembershipChanged }
func (StewardsNamed) kind() kind     { return kindStewardsNamed }
func (Fenced) kind() kind            { return kindFenced }
func (CandidateChosen) kind() kind   { return kindCandidateChosen }
func (PrimaryNamed) kind() kind      { return kindPrimaryNamed }

// Record is one record of the journal: a list of entries that one instance
// appended at one index. After an append whose reply was lost, the writer
// recognizes its own record by the nonce.
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
	for _, se := range s.Entries {
		e, err := decodeEntry(se.Kind, se.Body)
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
	case kindMembershipChanged:
		return decodeAs[MembershipChanged](b)
	case kindStewardsNamed:
		return decodeAs[StewardsNamed](b)
	case kindFenced:
		return decodeAs[Fenced](b)
	case kindCandidateChosen:
		return decodeAs[CandidateChosen](b)
	case kindPrimaryNamed:
		return decodeAs[PrimaryNamed](b)
	case kindSettled:
		return decodeAs[Settled](b)
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
