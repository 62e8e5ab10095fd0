// Package bbrjournal holds the one totally ordered journal of all that the
// instances must agree on: configurations, membership, stewards, fences and
// primaries. State is the pure result of applying the records in order. The
// package does no input or output; bbrstore keeps the records.
//
// # Usage
//
//	var s bbrjournal.State
//	if err := s.Apply(record); err != nil {
//		// the record is not the next one
//	}
//	primary, ok := s.Primary("billing")
package bbrjournal

import (
	"maps"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// lineageLimit bounds the histories that are kept of a group.
	lineageLimit = 64
	// configurationLimit bounds the past configurations that are kept.
	configurationLimit = 200
)

// ErrNotNext is returned for a record that does not follow the applied ones.
var ErrNotNext = errors.New("journal record is not the next one")

// Lineage is one term of a group that had a primary.
type Lineage struct {
	Term    bbrtype.Term       `json:"term"`
	History bbrtype.History    `json:"history"`
	Start   bbrtype.Position   `json:"start"`
	Member  bbrtype.MemberName `json:"member"`
}

// Group is what the journal knows of a database group.
type Group struct {
	Setting
	// SetAt is the index of the configuration that made the setting.
	SetAt bbrtype.Index `json:"setAt,omitempty"`
	// Earlier are settings under which writes may have been confirmed that lie
	// past the floor.
	Earlier []Setting `json:"earlier,omitempty"`
	// Floor is a position that a later primary must have reached.
	Floor bbrtype.Position `json:"floor,omitempty"`
	// Term is the present term. It is 0 until the group had a fence.
	Term bbrtype.Term `json:"term"`
	// Fenced is set while the present term has no primary.
	Fenced bool `json:"fenced"`
	// FencedBy is the instance that runs the change of primary.
	FencedBy bbrtype.InstanceID `json:"fencedBy,omitempty"`
	// FencedAt is the index of the fence.
	FencedAt bbrtype.Index      `json:"fencedAt,omitempty"`
	Excluded bbrtype.MemberName `json:"excluded,omitempty"`
	// Candidates are the members that may have been promoted since the last
	// primary was named.
	Candidates []bbrtype.MemberName `json:"candidates,omitempty"`
	// Lineage lists the terms that had a primary, oldest first.
	Lineage []Lineage `json:"lineage,omitempty"`
	// PossibleLoss is the last term whose start may have lost a confirmed
	// write.
	PossibleLoss bbrtype.Term `json:"possibleLoss,omitempty"`
}

// Last returns the latest term that had a primary.
func (g *Group) Last() (Lineage, bool) {
	if len(g.Lineage) == 0 {
		return Lineage{}, false
	}
	return g.Lineage[len(g.Lineage)-1], true
}

// Primary returns the primary of the present term. ok is false while the group
// is fenced or new.
func (g *Group) Primary() (l Lineage, ok bool) {
	l, ok = g.Last()
	return l, ok && !g.Fenced && l.Term == g.Term
}

// Version is one applied configuration.
type Version struct {
	Version   uint64        `json:"version"`
	Hash      string        `json:"hash"`
	Author    string        `json:"author"`
	Note      string        `json:"note,omitempty"`
	AppliedAt int64         `json:"appliedAt"`
	Index     bbrtype.Index `json:"index"`
}

// State is the result of the applied records. The zero value is the state
// before the first record.
type State struct {
	Applied   bbrtype.Index                   `json:"applied"`
	Instances map[bbrtype.InstanceID]Instance `json:"instances,omitempty"`
	Stewards  []bbrtype.InstanceID            `json:"stewards,omitempty"`
	// StewardsAt is the index at which the stewards were named.
	StewardsAt bbrtype.Index                `json:"stewardsAt,omitempty"`
	Groups     map[bbrtype.GroupName]*Group `json:"groups,omitempty"`
	Versions   []Version                    `json:"versions,omitempty"`
}

// Apply takes the next record. Every instance that applies the same records
// reaches the same state. It returns the entries that took effect. The others
// are void: their writer was not entitled to them, or they came too late.
func (s *State) Apply(r Record) ([]Entry, error) {
	if r.Index != s.Applied+1 {
		return nil, errors.Wrapf(ErrNotNext, "have %d, got %d", s.Applied, r.Index)
	}
	s.Applied = r.Index
	var effective []Entry
	for _, e := range r.Entries {
		if s.applyEntry(r, e) {
			effective = append(effective, e)
		}
	}
	return effective, nil
}

func (s *State) applyEntry(r Record, e Entry) bool {
	switch e := e.(type) {
	case Configured:
		return s.configure(r, e)
	case MembershipChanged:
		return s.changeMembership(e)
	case StewardsNamed:
		return s.nameStewards(r, e)
	case Fenced:
		return s.fence(r, e)
	case CandidateChosen:
		return s.chooseCandidate(r, e)
	case PrimaryNamed:
		return s.namePrimary(r, e)
	case Settled:
		return s.settle(r, e)
	}
	return false
}

// Version returns the configuration in force. ok is false before the first.
func (s *State) Version() (v Version, ok bool) {
	if len(s.Versions) == 0 {
		return Version{}, false
	}
	return s.Versions[len(s.Versions)-1], true
}

// IsSteward reports whether an instance may append fences.
func (s *State) IsSteward(id bbrtype.InstanceID) bool { return slices.Contains(s.Stewards, id) }

// SortedInstances returns the instances in the order of their ids.
func (s *State) SortedInstances() []Instance {
	out := slices.Collect(maps.Values(s.Instances))
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// GroupNames returns the names of the groups in order.
func (s *State) GroupNames() []bbrtype.GroupName { return slices.Sorted(maps.Keys(s.Groups)) }

// Clone returns a copy that shares nothing with s.
func (s *State) Clone() *State {
	c := *s
	c.Instances = maps.Clone(s.Instances)
	c.Stewards = slices.Clone(s.Stewards)
	c.Versions = slices.Clone(s.Versions)
	c.Groups = make(map[bbrtype.GroupName]*Group, len(s.Groups))
	for name, g := range s.Groups {
		d := *g
		d.Members = slices.Clone(g.Members)
		d.Earlier = slices.Clone(g.Earlier)
		d.Lineage = slices.Clone(g.Lineage)
		d.Candidates = slices.Clone(g.Candidates)
		c.Groups[name] = &d
	}
	return &c
}

// configure puts a version in force. It is void if it is not the next version,
// or if it takes away a group's primary: that takes a change of primary first.
func (s *State) configure(r Record, e Configured) bool {
	last, _ := s.Version()
	if e.Version != last.Version+1 || s.takesPrimary(e) {
		return false
	}
	if s.Groups == nil {
		s.Groups = map[bbrtype.GroupName]*Group{}
	}
	for name := range e.Groups {
		if s.Groups[name] == nil {
			s.Groups[name] = &Group{}
		}
	}
	for name, g := range s.Groups {
		// The term of a group that is taken out stays, so that a group of the
		// same name continues it.
		g.change(r.Index, e.Groups[name])
	}
	s.Versions = append(s.Versions, Version{
		Version: e.Version, Hash: e.Hash, Author: e.Author, Note: e.Note, AppliedAt: e.AppliedAt, Index: r.Index,
	})
	if n := len(s.Versions) - configurationLimit; n > 0 {
		s.Versions = slices.Delete(s.Versions, 0, n)
	}
	return true
}

// change gives a group another setting. The earlier one counts until a Settled
// entry ends it.
func (g *Group) change(i bbrtype.Index, next Setting) {
	if slices.Equal(g.Members, next.Members) && g.Confirm == next.Confirm {
		return
	}
	if len(g.Lineage) > 0 && g.Confirm > 0 {
		g.Earlier = append(g.Earlier, g.Setting)
	}
	g.Setting = Setting{Members: slices.Clone(next.Members), Confirm: next.Confirm}
	g.SetAt = i
}

// takesPrimary reports whether a configuration drops the primary of a group
// that it keeps, or a member during a change of primary.
func (s *State) takesPrimary(e Configured) bool {
	for name, next := range e.Groups {
		g := s.Groups[name]
		members := next.Members
		if g == nil {
			continue
		}
		if l, ok := g.Primary(); ok && len(g.Members) > 0 && !slices.Contains(members, l.Member) {
			return true
		}
		if g.Fenced && len(g.Members) > 0 {
			for _, m := range g.Members {
				if !slices.Contains(members, m) {
					return true
				}
			}
		}
	}
	return false
}

func (s *State) changeMembership(e MembershipChanged) bool {
	if s.Instances == nil {
		s.Instances = map[bbrtype.InstanceID]Instance{}
	}
	for _, i := range e.Joined {
		s.Instances[i.ID] = i
	}
	for _, id := range e.Left {
		delete(s.Instances, id)
	}
	return len(e.Joined)+len(e.Left) > 0
}

// nameStewards replaces the stewards. It is void if it neither comes from a
// steward nor is a takeover.
func (s *State) nameStewards(r Record, e StewardsNamed) bool {
	if len(e.Stewards) == 0 {
		return false
	}
	if len(s.Stewards) > 0 && !s.IsSteward(r.Writer) && !e.TakenOver {
		return false
	}
	for _, id := range e.Stewards {
		if _, ok := s.Instances[id]; !ok {
			return false
		}
	}
	s.Stewards = slices.Clone(e.Stewards)
	s.StewardsAt = r.Index
	return true
}

// fence starts a term. It is void if it does not come from a steward or does
// not start the next term.
func (s *State) fence(r Record, e Fenced) bool {
	g := s.Groups[e.Group]
	if g == nil || !s.IsSteward(r.Writer) || e.Term != g.Term+1 {
		return false
	}
	g.Term = e.Term
	g.Fenced = true
	g.FencedBy = r.Writer
	g.FencedAt = r.Index
	g.Excluded = e.Excluded
	return true
}

// chooseCandidate notes the member that the fence's writer will promote.
func (s *State) chooseCandidate(r Record, e CandidateChosen) bool {
	g := s.Groups[e.Group]
	if g == nil || !g.Fenced || e.Term != g.Term || g.FencedBy != r.Writer {
		return false
	}
	if !slices.Contains(g.Candidates, e.Member) {
		g.Candidates = append(g.Candidates, e.Member)
	}
	return true
}

// namePrimary ends a change of primary. It is void if the term has a primary
// already, or if the writer did not set the fence.
func (s *State) namePrimary(r Record, e PrimaryNamed) bool {
	g := s.Groups[e.Group]
	if g == nil || !slices.Contains(g.Members, e.Member) {
		return false
	}
	if !g.Fenced || e.Term != g.Term || g.FencedBy != r.Writer {
		return false
	}
	g.Fenced = false
	g.FencedBy = ""
	g.Excluded = ""
	g.Candidates = nil
	g.Lineage = append(g.Lineage, Lineage{Term: e.Term, History: e.History, Start: e.Start, Member: e.Member})
	if n := len(g.Lineage) - lineageLimit; n > 0 {
		g.Lineage = slices.Delete(g.Lineage, 0, n)
	}
	if e.PossibleLoss {
		g.PossibleLoss = e.Term
	}
	// All that was confirmed lies before the start, which a later primary must
	// have reached.
	g.Earlier, g.Floor = nil, e.Start
	return true
}

// settle forgets the earlier settings of a group. It is void if the setting has
// changed again, or the primary.
func (s *State) settle(r Record, e Settled) bool {
	g := s.Groups[e.Group]
	if g == nil || !s.IsSteward(r.Writer) || g.Fenced || g.Term != e.Term || g.SetAt != e.Since {
		return false
	}
	g.Earlier = nil
	g.Floor = max(g.Floor, e.Floor)
	return true
}
