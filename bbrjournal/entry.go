package bbrjournal

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Entry is one change that all instances agree on. It is one of Configured,
// MembershipChanged, StewardsNamed, Fenced, CandidateChosen, PrimaryNamed and
// Settled.
type Entry interface {
	kind() kind
}

// kind names the type of an entry in its stored form.
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

// Configured puts a configuration in force. Its body lies in the object store.
type Configured struct {
	// Version counts the configurations, from 1.
	Version uint64 `json:"version"`
	// Hash names the body, in hexadecimal SHA-256.
	Hash string `json:"hash"`
	// Author is the operator who submitted it.
	Author string `json:"author"`
	// Note is the operator's remark.
	Note string `json:"note,omitempty"`
	// AppliedAt is the author's wall clock, in milliseconds since 1970. It is
	// shown and never compared.
	AppliedAt int64 `json:"appliedAt"`
	// Groups are the database groups with their members.
	Groups map[bbrtype.GroupName]Setting `json:"groups"`
}

// Setting is the part of a group's configuration that decides which members
// hold an acknowledged write.
type Setting struct {
	Members []bbrtype.MemberName `json:"members"`
	// Confirm is the least number of replicas that hold a confirmed write. 0
	// means that no write is confirmed.
	Confirm int `json:"confirm,omitempty"`
}

// Instance is a running instance as the journal knows it.
type Instance struct {
	ID         bbrtype.InstanceID `json:"id"`
	Name       string             `json:"name"`
	Address    string             `json:"address"`
	DataCentre bbrtype.DataCentre `json:"dataCentre"`
}

// MembershipChanged adds and removes instances.
type MembershipChanged struct {
	Joined []Instance           `json:"joined,omitempty"`
	Left   []bbrtype.InstanceID `json:"left,omitempty"`
}

// StewardsNamed replaces the set of stewards.
type StewardsNamed struct {
	Stewards []bbrtype.InstanceID `json:"stewards"`
	// TakenOver is set if the writer was not a steward: the old set was silent
	// for longer than a holdover can last.
	TakenOver bool `json:"takenOver,omitempty"`
}

// Fenced ends a group's term: nobody may acknowledge a write of an earlier
// term once the fence is complete.
type Fenced struct {
	Group bbrtype.GroupName `json:"group"`
	// Term is the new term.
	Term bbrtype.Term `json:"term"`
	// Excluded is a member that must not become the primary, if any.
	Excluded bbrtype.MemberName `json:"excluded,omitempty"`
}

// CandidateChosen tells which member is about to be promoted, before it is.
// A steward that continues the change after the writer's death learns from it
// that a member promoted already belongs to the group's history.
type CandidateChosen struct {
	Group  bbrtype.GroupName  `json:"group"`
	Member bbrtype.MemberName `json:"member"`
	Term   bbrtype.Term       `json:"term"`
}

// PrimaryNamed names the primary of a group's present term.
type PrimaryNamed struct {
	Group  bbrtype.GroupName  `json:"group"`
	Member bbrtype.MemberName `json:"member"`
	Term   bbrtype.Term       `json:"term"`
	// History is what the member reports for the new term.
	History bbrtype.History `json:"history"`
	// Start is the position at which the new history begins.
	Start bbrtype.Position `json:"start"`
	// PossibleLoss is set if a confirmed write may be missing.
	PossibleLoss bool `json:"possibleLoss,omitempty"`
}

// Settled ends the time in which an earlier setting of a group counts: every
// write that was confirmed under it lies at or before the floor, and a later
// primary must hold that much.
type Settled struct {
	Group bbrtype.GroupName `json:"group"`
	Term  bbrtype.Term      `json:"term"`
	// Since is the index of the configuration that changed the setting.
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

// Record is a place in the journal with its entries and its writer. The nonce
// tells a writer whose reply was lost whether the record is its own.
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

// MarshalJSON returns the stored form.
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

// UnmarshalJSON reads the stored form.
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
