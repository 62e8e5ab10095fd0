package bbrjournal

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

// stateAfter returns the state after the given entries, each in its own record.
func stateAfter(t *testing.T, writer bbrtype.InstanceID, entries ...Entry) *State {
	t.Helper()
	s := &State{}
	for _, e := range entries {
		if _, err := s.Apply(Record{Index: s.AppliedIndex + 1, Writer: writer, Nonce: "n", Entries: []Entry{e}}); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func groupConfigs(confirm int, members ...bbrtype.MemberName) map[bbrtype.GroupName]ReplicationConfig {
	return map[bbrtype.GroupName]ReplicationConfig{"g": {Members: members, MinConfirmations: confirm}}
}

// initialEntries returns the entries that set up two instances, of which a is
// the steward, and a group g with m1 as the primary.
func initialEntries(confirm int) []Entry {
	return []Entry{
		InstancesChanged{Joined: []Instance{{ID: "a"}, {ID: "b"}}},
		StewardsNamed{Stewards: []bbrtype.InstanceID{"a"}},
		Configured{Version: 1, Groups: groupConfigs(confirm, "m1", "m2", "m3")},
		Fenced{Group: "g", Term: 1},
		PrimaryNamed{Group: "g", Member: "m1", Term: 1, History: 1},
	}
}

func TestApplyDecidesWhatTakesEffect(t *testing.T) {
	cases := map[string]struct {
		writer      bbrtype.InstanceID
		entry       Entry
		takesEffect bool
	}{
		"next version":                                  {"b", Configured{Version: 2, Groups: groupConfigs(0, "m1", "m2")}, true},
		"version in force":                              {"b", Configured{Version: 1, Groups: groupConfigs(0, "m1")}, false},
		"version that skips a number":                   {"b", Configured{Version: 3, Groups: groupConfigs(0, "m1")}, false},
		"configuration that removes the primary":        {"b", Configured{Version: 2, Groups: groupConfigs(0, "m2", "m3")}, false},
		"configuration that removes the group":          {"b", Configured{Version: 2, Groups: map[bbrtype.GroupName]ReplicationConfig{}}, true},
		"fence by a steward":                            {"a", Fenced{Group: "g", Term: 2}, true},
		"fence by an instance that is not a steward":    {"b", Fenced{Group: "g", Term: 2}, false},
		"fence of an old term":                          {"a", Fenced{Group: "g", Term: 1}, false},
		"fence of an unknown group":                     {"a", Fenced{Group: "x", Term: 1}, false},
		"PrimaryNamed without a fence":                  {"a", PrimaryNamed{Group: "g", Member: "m2", Term: 1}, false},
		"CandidateChosen without a fence":               {"a", CandidateChosen{Group: "g", Member: "m2", Term: 1}, false},
		"stewards by a steward":                         {"a", StewardsNamed{Stewards: []bbrtype.InstanceID{"b"}}, true},
		"stewards by an instance that is not a steward": {"b", StewardsNamed{Stewards: []bbrtype.InstanceID{"b"}}, false},
		"stewards by takeover":                          {"b", StewardsNamed{Stewards: []bbrtype.InstanceID{"b"}, IsTakeover: true}, true},
		"stewards that are not running":                 {"a", StewardsNamed{Stewards: []bbrtype.InstanceID{"x"}}, false},
		"transition completed, current setting":         {"a", TransitionCompleted{Group: "g", Term: 1, ConfigIndex: 3}, true},
		"transition completed, another setting":         {"a", TransitionCompleted{Group: "g", Term: 1, ConfigIndex: 2}, false},
		"transition completed, not by a steward":        {"b", TransitionCompleted{Group: "g", Term: 1, ConfigIndex: 3}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := stateAfter(t, "a", initialEntries(1)...)
			effective, err := s.Apply(Record{Index: s.AppliedIndex + 1, Writer: c.writer, Entries: []Entry{c.entry}})
			is.NoErr(err)
			is.Equal(len(effective) == 1, c.takesEffect)
		})
	}
}

func TestApplyTakesRecordsInOrderOnly(t *testing.T) {
	is := is.New(t)
	s := stateAfter(t, "a", initialEntries(1)...)
	for _, i := range []bbrtype.Index{0, s.AppliedIndex, s.AppliedIndex + 2} {
		_, err := s.Apply(Record{Index: i})
		is.True(errors.Is(err, ErrOutOfOrder))
	}
}

func TestOnlyTheFencesWriterNamesThePrimary(t *testing.T) {
	is := is.New(t)
	s := stateAfter(t, "a", append(initialEntries(1), StewardsNamed{Stewards: []bbrtype.InstanceID{"a", "b"}}, Fenced{Group: "g", Term: 2})...)
	entry := PrimaryNamed{Group: "g", Member: "m2", Term: 2, History: 2, Start: 80}
	effective, err := s.Apply(Record{Index: s.AppliedIndex + 1, Writer: "b", Entries: []Entry{entry}})
	is.NoErr(err)
	is.Equal(len(effective), 0) // b did not write the fence
	effective, err = s.Apply(Record{Index: s.AppliedIndex + 1, Writer: "a", Entries: []Entry{entry, entry}})
	is.NoErr(err)
	is.Equal(len(effective), 1) // the second entry is void: the term has a primary
	primary, ok := s.Groups["g"].Primary()
	is.True(ok)
	is.Equal(primary, PrimaryTerm{Term: 2, History: 2, Start: 80, Member: "m2"})
}

func TestEarlierSettingsCountUntilSettled(t *testing.T) {
	is := is.New(t)
	s := stateAfter(t, "a", append(initialEntries(1), Configured{Version: 2, Groups: groupConfigs(1, "m1", "m2")})...)
	g := s.Groups["g"]
	is.Equal(len(g.EarlierConfigs), 1)
	is.Equal(g.EarlierConfigs[0].Members, []bbrtype.MemberName{"m1", "m2", "m3"})
	effective, err := s.Apply(Record{Index: s.AppliedIndex + 1, Writer: "a", Entries: []Entry{TransitionCompleted{Group: "g", Term: 1, ConfigIndex: g.ConfigIndex, MinPosition: 64}}})
	is.NoErr(err)
	is.Equal(len(effective), 1)
	is.Equal(len(s.Groups["g"].EarlierConfigs), 0)
	is.Equal(s.Groups["g"].MinPosition, bbrtype.Position(64))
}

func TestFate(t *testing.T) {
	g := &Group{Term: 4, Fenced: true, PrimaryTerms: []PrimaryTerm{
		{Term: 1, History: 1}, {Term: 2, History: 1, Start: 50}, {Term: 3, History: 3, Start: 80},
	}}
	cases := map[string]struct {
		term bbrtype.Term
		p    bbrtype.Position
		want PositionStatus
	}{
		"current term":                  {3, 500, PositionIncluded},
		"at the branch position":        {1, 80, PositionIncluded},
		"after the branch position":     {1, 81, PositionLost},
		"term without a new history":    {2, 60, PositionIncluded},
		"fenced term without a primary": {4, 10, PositionAhead},
		"future term":                   {5, 10, PositionAhead},
		"term that is not recorded":     {0, 10, PositionUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(g.PositionStatus(c.term, c.p), c.want)
		})
	}
}

func TestIncludesAndShared(t *testing.T) {
	is := is.New(t)
	g := &Group{PrimaryTerms: []PrimaryTerm{{Term: 1, History: 1}, {Term: 2, History: 2, Start: 50}, {Term: 3, History: 3, Start: 40}}}
	is.True(g.Includes(1, 40))
	is.True(!g.Includes(1, 41)) // the third history branched off at 40
	is.True(!g.Includes(2, 45))
	is.True(g.Includes(3, 1000))
	is.True(!g.Includes(9, 0)) // no term has this history
	shared, ok := g.CommonPosition(2, 70)
	is.True(ok)
	is.Equal(shared, bbrtype.Position(40))
}

// entryGen generates entries of all kinds except TransitionCompleted. Most of
// them are void when applied.
func entryGen() *rapid.Generator[Entry] {
	memberGen := rapid.SampledFrom([]bbrtype.MemberName{"m1", "m2", "m3"})
	idGen := rapid.SampledFrom([]bbrtype.InstanceID{"a", "b", "c"})
	termGen := rapid.Custom(func(t *rapid.T) bbrtype.Term { return bbrtype.Term(rapid.IntRange(0, 6).Draw(t, "term")) })
	return rapid.Custom(func(t *rapid.T) Entry {
		switch rapid.IntRange(0, 6).Draw(t, "kind") {
		case 0:
			return Configured{
				Version: uint64(rapid.IntRange(1, 5).Draw(t, "version")), Hash: "h",
				Groups: groupConfigs(rapid.IntRange(0, 2).Draw(t, "confirm"), rapid.SliceOfNDistinct(memberGen, 0, 3, rapid.ID[bbrtype.MemberName]).Draw(t, "members")...),
			}
		case 1:
			return InstancesChanged{Joined: []Instance{{ID: idGen.Draw(t, "joined")}}}
		case 2:
			return InstancesChanged{Left: []bbrtype.InstanceID{idGen.Draw(t, "left")}}
		case 3:
			return StewardsNamed{Stewards: rapid.SliceOfN(idGen, 1, 3).Draw(t, "stewards"), IsTakeover: rapid.Bool().Draw(t, "taken")}
		case 4:
			return Fenced{Group: "g", Term: termGen.Draw(t, "fence")}
		case 5:
			return CandidateChosen{Group: "g", Member: memberGen.Draw(t, "candidate"), Term: termGen.Draw(t, "term")}
		}
		return PrimaryNamed{Group: "g", Member: memberGen.Draw(t, "primary"), Term: termGen.Draw(t, "term"), History: 1}
	})
}

// TestReplicasAgree checks that Apply is deterministic, so that the replicas
// of the state (one per instance) stay equal. It applies the same records to
// two states. The second state decodes each record from its stored form, and
// is replaced once by a copy that was restored from a snapshot.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		direct, restored := &State{}, &State{}
		n := rapid.IntRange(1, 60).Draw(t, "records")
		snapshotAt := rapid.IntRange(0, n).Draw(t, "snapshot")
		lastVersion, lastTerm := uint64(0), bbrtype.Term(0)
		for i := range n {
			r := Record{
				Index: bbrtype.Index(i + 1), Writer: rapid.SampledFrom([]bbrtype.InstanceID{"a", "b", "c"}).Draw(t, "writer"),
				Entries: rapid.SliceOfN(entryGen(), 0, 3).Draw(t, "entries"),
			}
			stored, err := json.Marshal(r)
			is.NoErr(err)
			var decoded Record
			is.NoErr(json.Unmarshal(stored, &decoded))
			before := direct.Clone()
			_, err = direct.Apply(r)
			is.NoErr(err)
			_, err = restored.Apply(decoded)
			is.NoErr(err)
			if i == snapshotAt {
				snapshot, err := json.Marshal(restored)
				is.NoErr(err)
				restored = &State{}
				is.NoErr(json.Unmarshal(snapshot, restored))
			}
			v, _ := direct.CurrentConfig()
			is.True(v.Version >= lastVersion) // the version never decreases
			lastVersion = v.Version
			if g := direct.Groups["g"]; g != nil {
				is.True(g.Term >= lastTerm)
				lastTerm = g.Term
				if old := before.Groups["g"]; old != nil && len(g.PrimaryTerms) > 0 && len(old.PrimaryTerms) == len(g.PrimaryTerms) {
					is.Equal(g.PrimaryTerms, old.PrimaryTerms) // the primary of a term never changes
				}
			}
		}
		encodedDirect, err := json.Marshal(direct)
		is.NoErr(err)
		encodedRestored, err := json.Marshal(restored)
		is.NoErr(err)
		is.Equal(string(encodedDirect), string(encodedRestored))
	})
}

func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"index":1,"writer":"a","nonce":"n","entries":[{"kind":"fenced","body":{"group":"g","term":1}}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var r Record
		if json.Unmarshal(b, &r) != nil {
			return
		}
		encoded, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Record
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			t.Fatalf("%s does not decode: %v", encoded, err)
		}
		_, _ = (&State{}).Apply(r)
	})
}
