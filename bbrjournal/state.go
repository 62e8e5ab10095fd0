// Package bbrjournal defines the journal, a totally ordered log of the decisions
// that all instances must agree on: the configuration in force, the set of
// running instances, the stewards (the instances that coordinate changes of
// primary), and the terms and primaries of each database group.
//
// State is the result of applying the records in order. Applying is
// deterministic and performs no I/O, so all instances that have applied the same
// records have the same state. An entry takes effect only if it is valid in the
// state to which it is applied. Otherwise it is void: every instance ignores it.
// This resolves races between writers, because of several entries for the same
// change, the first takes effect and the later ones are void.
//
// A Fenced entry starts a new term of a group, and a PrimaryNamed entry of the
// same writer names the primary of that term. The terms that had a primary form
// the group's lineage. Each of them has a history, such as a PostgreSQL timeline,
// which branches off the previous one at a known position. The lineage therefore
// shows whether a position of an earlier term is still part of the current
// history or was lost in a change of primary.
//
// A write is confirmed when the configured number of replicas have received it.
// After a configuration has changed the members or that number, a group is in
// transition: writes may still be confirmed by the earlier rule, so a new primary
// must satisfy both. A TransitionCompleted entry completes the transition.
//
// bbrstore stores the records.
//
// # Usage
//
//	var s bbrjournal.State
//	if _, err := s.Apply(record); err != nil {
//		// the record is not the next one
//	}
//	primary, ok := s.Groups["billing"].Primary()
package bbrjournal

import (
	"maps"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// maxLineage is the maximum number of terms that are kept per group. Older
	// terms are dropped.
	maxLineage = 64
	// maxConfigVersions is the maximum number of configurations that are kept.
	maxConfigVersions = 200
)

// ErrOutOfOrder is returned for a record whose index is not the one after that of
// the last applied record.
var ErrOutOfOrder = errors.New("journal record is not the next one")

// PrimaryTerm is one term of a group that had a primary: its history, the position
// at which the term started, and the primary.
type PrimaryTerm struct {
	Term    bbrtype.Term       `json:"term"`
	History bbrtype.History    `json:"history"`
	Start   bbrtype.Position   `json:"start"`
	Member  bbrtype.MemberName `json:"member"`
}

// Group is the state of a database group in the journal.
type Group struct {
	ReplicationConfig
	// ConfigIndex is the index of the record that introduced the replication
	// config.
	ConfigIndex bbrtype.Index `json:"setAt,omitempty"`
	// EarlierConfigs lists earlier replication configs under which writes past
	// MinPosition may have been confirmed. A new primary must contain every
	// write that was confirmed under one of them or under the current config.
	EarlierConfigs []ReplicationConfig `json:"earlier,omitempty"`
	// MinPosition is the lowest position that a later primary must have reached.
	MinPosition bbrtype.Position `json:"floor,omitempty"`
	// Term is the current term. It is 0 until the first fence.
	Term bbrtype.Term `json:"term"`
	// Fenced is set while the current term has no primary.
	Fenced bool `json:"fenced"`
	// FencedBy is the instance that wrote the fence and coordinates the change
	// of primary.
	FencedBy bbrtype.InstanceID `json:"fencedBy,omitempty"`
	// FenceIndex is the index of the record with the fence.
	FenceIndex bbrtype.Index `json:"fencedAt,omitempty"`
	// Excluded is the member that must not become the primary of the current
	// term, empty if there is none.
	Excluded bbrtype.MemberName `json:"excluded,omitempty"`
	// Candidates lists the members that may have been promoted since the last
	// primary was named.
	Candidates []bbrtype.MemberName `json:"candidates,omitempty"`
	// PrimaryTerms lists the terms that had a primary, oldest first.
	PrimaryTerms []PrimaryTerm `json:"lineage,omitempty"`
	// PossibleLossTerm is the last term whose primary may have lacked a confirmed
	// write when the term started, 0 if there is none.
	PossibleLossTerm bbrtype.Term `json:"possibleLoss,omitempty"`
}

// LastPrimary returns the latest term that had a primary.
func (g *Group) LastPrimary() (PrimaryTerm, bool) {
	if len(g.PrimaryTerms) == 0 {
		return PrimaryTerm{}, false
	}
	return g.PrimaryTerms[len(g.PrimaryTerms)-1], true
}

// Primary returns the current term with its primary. ok is false while the
// group is fenced, and before it has had a primary.
func (g *Group) Primary() (primary PrimaryTerm, ok bool) {
	primary, ok = g.LastPrimary()
	return primary, ok && !g.Fenced && primary.Term == g.Term
}

// ConfigVersion describes one configuration that took effect, without its text.
type ConfigVersion struct {
	Version     uint64        `json:"version"`
	Hash        string        `json:"hash"`
	Author      string        `json:"author"`
	Note        string        `json:"note,omitempty"`
	SubmittedAt int64         `json:"appliedAt"`
	Index       bbrtype.Index `json:"index"`
}

// State is the result of the applied records. The zero value is the state
// before the first record.
type State struct {
	// AppliedIndex is the index of the last applied record.
	AppliedIndex bbrtype.Index                   `json:"applied"`
	Instances    map[bbrtype.InstanceID]Instance `json:"instances,omitempty"`
	Stewards     []bbrtype.InstanceID            `json:"stewards,omitempty"`
	// StewardsIndex is the index of the record that named the stewards.
	StewardsIndex  bbrtype.Index                `json:"stewardsAt,omitempty"`
	Groups         map[bbrtype.GroupName]*Group `json:"groups,omitempty"`
	ConfigVersions []ConfigVersion              `json:"versions,omitempty"`
}

// Apply applies the next record and returns the entries that took effect. The
// other entries are void in the state to which they were applied, for example
// because the writer is not a steward or because an earlier entry made the
// same change.
func (s *State) Apply(r Record) ([]Entry, error) {
	if r.Index != s.AppliedIndex+1 {
		return nil, errors.Wrapf(ErrOutOfOrder, "have %d, got %d", s.AppliedIndex, r.Index)
	}
	s.AppliedIndex = r.Index
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
	case InstancesChanged:
		return s.changeInstances(e)
	case StewardsNamed:
		return s.nameStewards(r, e)
	case Fenced:
		return s.fence(r, e)
	case CandidateChosen:
		return s.recordCandidate(r, e)
	case PrimaryNamed:
		return s.namePrimary(r, e)
	case TransitionCompleted:
		return s.completeTransition(r, e)
	}
	return false
}

// CurrentConfig returns the configuration in force. ok is false before the first
// configuration.
func (s *State) CurrentConfig() (v ConfigVersion, ok bool) {
	if len(s.ConfigVersions) == 0 {
		return ConfigVersion{}, false
	}
	return s.ConfigVersions[len(s.ConfigVersions)-1], true
}

// IsSteward reports whether an instance is one of the stewards. Only stewards
// may append fences, replace the stewards without a takeover, and complete
// transitions.
func (s *State) IsSteward(id bbrtype.InstanceID) bool { return slices.Contains(s.Stewards, id) }

// SortedInstances returns the instances, ordered by ID.
func (s *State) SortedInstances() []Instance {
	out := slices.Collect(maps.Values(s.Instances))
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// GroupNames returns the names of the groups, sorted.
func (s *State) GroupNames() []bbrtype.GroupName { return slices.Sorted(maps.Keys(s.Groups)) }

// Clone returns a copy that is independent of s.
func (s *State) Clone() *State {
	c := *s
	c.Instances = maps.Clone(s.Instances)
	c.Stewards = slices.Clone(s.Stewards)
	c.ConfigVersions = slices.Clone(s.ConfigVersions)
	c.Groups = make(map[bbrtype.GroupName]*Group, len(s.Groups))
	for name, g := range s.Groups {
		groupCopy := *g
		groupCopy.Members = slices.Clone(g.Members)
		groupCopy.EarlierConfigs = slices.Clone(g.EarlierConfigs)
		groupCopy.PrimaryTerms = slices.Clone(g.PrimaryTerms)
		groupCopy.Candidates = slices.Clone(g.Candidates)
		c.Groups[name] = &groupCopy
	}
	return &c
}

// configure activates a configuration. The entry is void if its version is not
// the next one, or if it removes a group's primary or, during a change of
// primary, any member. To remove the primary, another member must become the
// primary first.
func (s *State) configure(r Record, e Configured) bool {
	last, _ := s.CurrentConfig()
	if e.Version != last.Version+1 || s.removesRequiredMember(e) {
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
		// A group that the configuration removes keeps its term, so that terms
		// never repeat if a group of the same name is added again.
		g.setReplicationConfig(r.Index, e.Groups[name])
	}
	s.ConfigVersions = append(s.ConfigVersions, ConfigVersion{
		Version: e.Version, Hash: e.Hash, Author: e.Author, Note: e.Note, SubmittedAt: e.SubmittedAt, Index: r.Index,
	})
	if n := len(s.ConfigVersions) - maxConfigVersions; n > 0 {
		s.ConfigVersions = slices.Delete(s.ConfigVersions, 0, n)
	}
	return true
}

// setReplicationConfig replaces a group's replication config. If writes may
// have been confirmed under the previous config, it is added to
// EarlierConfigs, where it stays until a TransitionCompleted or PrimaryNamed
// entry clears that list.
func (g *Group) setReplicationConfig(index bbrtype.Index, next ReplicationConfig) {
	if slices.Equal(g.Members, next.Members) && g.MinConfirmations == next.MinConfirmations {
		return
	}
	if len(g.PrimaryTerms) > 0 && g.MinConfirmations > 0 {
		g.EarlierConfigs = append(g.EarlierConfigs, g.ReplicationConfig)
	}
	g.ReplicationConfig = ReplicationConfig{Members: slices.Clone(next.Members), MinConfirmations: next.MinConfirmations}
	g.ConfigIndex = index
}

// removesRequiredMember reports whether a configuration removes the primary of
// a group that it keeps, or any member of such a group during a change of
// primary.
func (s *State) removesRequiredMember(e Configured) bool {
	for name, next := range e.Groups {
		g := s.Groups[name]
		members := next.Members
		if g == nil {
			continue
		}
		if primary, ok := g.Primary(); ok && len(g.Members) > 0 && !slices.Contains(members, primary.Member) {
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

func (s *State) changeInstances(e InstancesChanged) bool {
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

// nameStewards replaces the stewards. The entry is void if it names no
// instance or one that is not running, or if its writer is neither a steward
// nor taking over. The first stewards may be named by any writer.
func (s *State) nameStewards(r Record, e StewardsNamed) bool {
	if len(e.Stewards) == 0 {
		return false
	}
	if len(s.Stewards) > 0 && !s.IsSteward(r.Writer) && !e.IsTakeover {
		return false
	}
	for _, id := range e.Stewards {
		if _, ok := s.Instances[id]; !ok {
			return false
		}
	}
	s.Stewards = slices.Clone(e.Stewards)
	s.StewardsIndex = r.Index
	return true
}

// fence starts a term. The entry is void if the group is unknown, the writer
// is not a steward, or the term is not the next one.
func (s *State) fence(r Record, e Fenced) bool {
	g := s.Groups[e.Group]
	if g == nil || !s.IsSteward(r.Writer) || e.Term != g.Term+1 {
		return false
	}
	g.Term = e.Term
	g.Fenced = true
	g.FencedBy = r.Writer
	g.FenceIndex = r.Index
	g.Excluded = e.Excluded
	return true
}

// recordCandidate records the member that is about to be promoted. The entry
// is void unless its writer and term are those of the group's open fence.
func (s *State) recordCandidate(r Record, e CandidateChosen) bool {
	g := s.Groups[e.Group]
	if g == nil || !g.Fenced || e.Term != g.Term || g.FencedBy != r.Writer {
		return false
	}
	if !slices.Contains(g.Candidates, e.Member) {
		g.Candidates = append(g.Candidates, e.Member)
	}
	return true
}

// namePrimary completes a change of primary. The entry is void unless its
// writer and term are those of the group's open fence and the member belongs
// to the group.
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
	g.PrimaryTerms = append(g.PrimaryTerms, PrimaryTerm{Term: e.Term, History: e.History, Start: e.Start, Member: e.Member})
	if n := len(g.PrimaryTerms) - maxLineage; n > 0 {
		g.PrimaryTerms = slices.Delete(g.PrimaryTerms, 0, n)
	}
	if e.PossibleLoss {
		g.PossibleLossTerm = e.Term
	}
	// All confirmed writes are at or before Start, and MinPosition is set to Start. The
	// earlier configs are therefore no longer needed.
	g.EarlierConfigs, g.MinPosition = nil, e.Start
	return true
}

// completeTransition clears the earlier replication configs of a group. The
// entry is void if the config or the term has changed since it was written, if
// the group is fenced, or if the writer is not a steward.
func (s *State) completeTransition(r Record, e TransitionCompleted) bool {
	g := s.Groups[e.Group]
	if g == nil || !s.IsSteward(r.Writer) || g.Fenced || g.Term != e.Term || g.ConfigIndex != e.ConfigIndex {
		return false
	}
	g.EarlierConfigs = nil
	g.MinPosition = max(g.MinPosition, e.MinPosition)
	return true
}
