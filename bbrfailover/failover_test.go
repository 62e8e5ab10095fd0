package bbrfailover

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

const m1, m2, m3 = bbrtype.MemberName("m1"), bbrtype.MemberName("m2"), bbrtype.MemberName("m3")

func replica(p bbrtype.Position, h bbrtype.History) bbrmember.State {
	return bbrmember.State{Position: p, Received: p, History: h}
}

func primary(p bbrtype.Position, h bbrtype.History) bbrmember.State {
	return bbrmember.State{Primary: true, Position: p, Received: p, History: h}
}

type states map[bbrtype.MemberName]bbrmember.State

// group returns a group with a fence for term 3. Its last primary is m1.
func group(confirm int, edits ...func(g *bbrjournal.Group)) *bbrjournal.Group {
	g := &bbrjournal.Group{
		ReplicationConfig: bbrjournal.ReplicationConfig{Members: []bbrtype.MemberName{m1, m2, m3}, MinConfirmations: confirm},
		Term:              3, Fenced: true,
		PrimaryTerms: []bbrjournal.PrimaryTerm{{Term: 1, History: 1, Member: m2}, {Term: 2, History: 2, Start: 100, Member: m1}},
		MinPosition:  100,
	}
	for _, edit := range edits {
		edit(g)
	}
	return g
}

func TestChoose(t *testing.T) {
	excluded := func(g *bbrjournal.Group) { g.Excluded = m1 }
	candidate := func(g *bbrjournal.Group) { g.Candidates = []bbrtype.MemberName{m2} }
	earlierSetting := func(g *bbrjournal.Group) {
		g.Members = []bbrtype.MemberName{m1, m2}
		g.EarlierConfigs = []bbrjournal.ReplicationConfig{{Members: []bbrtype.MemberName{m1, m2, m3}, MinConfirmations: 1}}
	}
	noPrimary := func(g *bbrjournal.Group) { g.PrimaryTerms = nil }
	cases := map[string]struct {
		group    *bbrjournal.Group
		states   states
		input    ElectionInput
		decision Decision
		member   bbrtype.MemberName
		loss     bool
	}{
		"the replica with the highest position is promoted":               {group(1), states{m2: replica(120, 2), m3: replica(130, 2)}, ElectionInput{ReadsComplete: true}, DecisionPromote, m3, false},
		"a received position counts although it is not applied yet":       {group(1), states{m2: {Position: 90, Received: 140, History: 2}, m3: replica(130, 2)}, ElectionInput{ReadsComplete: true}, DecisionPromote, m2, false},
		"the failover waits until all members have responded":             {group(1), states{m3: replica(130, 2)}, ElectionInput{}, DecisionWait, "", false},
		"an unresponsive replica may hold a confirmed write":              {group(1), states{m3: replica(130, 2)}, ElectionInput{ReadsComplete: true}, DecisionWait, "", false},
		"if no writes are confirmed an unresponsive replica is ignored":   {group(0), states{m3: replica(130, 2)}, ElectionInput{ReadsComplete: true}, DecisionPromote, m3, false},
		"the loss policy permits the promotion":                           {group(1), states{m3: replica(130, 2)}, ElectionInput{ReadsComplete: true, Policy: Policy{OnLoss: LossPromote}, SinceFenced: time.Second}, DecisionPromote, m3, true},
		"with two confirmations one replica may be unresponsive":          {group(2), states{m3: replica(130, 2)}, ElectionInput{ReadsComplete: true}, DecisionPromote, m3, false},
		"no member has reached the floor":                                 {group(1), states{m2: replica(90, 1), m3: replica(95, 1)}, ElectionInput{ReadsComplete: true}, DecisionWait, "", false},
		"a divergent member is skipped":                                   {group(0), states{m2: replica(170, 1), m3: replica(130, 2)}, ElectionInput{ReadsComplete: true}, DecisionPromote, m3, false},
		"a primary of an unknown history is skipped":                      {group(0), states{m2: primary(200, 7), m3: replica(130, 2)}, ElectionInput{ReadsComplete: true}, DecisionPromote, m3, false},
		"a primary of an unknown history may hold a confirmed write":      {group(1), states{m2: primary(200, 7), m3: replica(130, 2)}, ElectionInput{ReadsComplete: true}, DecisionWait, "", false},
		"the candidate of an unfinished failover is adopted":              {group(1, candidate), states{m2: primary(130, 3), m3: replica(120, 2)}, ElectionInput{ReadsComplete: true}, DecisionAdopt, m2, false},
		"the old primary responds again":                                  {group(1), states{m1: primary(150, 2), m2: replica(120, 2)}, ElectionInput{OldPrimaryReachable: true}, DecisionAdopt, m1, false},
		"only this steward reaches the old primary, which counts as lost": {group(1), states{m1: primary(150, 2), m2: replica(120, 2), m3: replica(120, 2)}, ElectionInput{ReadsComplete: true}, DecisionPromote, m2, false},
		"a planned failover waits for a replica to catch up":              {group(1, excluded), states{m1: primary(150, 2), m2: replica(120, 2), m3: replica(149, 2)}, ElectionInput{OldPrimaryReachable: true, CatchUpTimeout: time.Second}, DecisionWait, "", false},
		"a planned failover promotes a replica that has caught up":        {group(1, excluded), states{m1: primary(150, 2), m2: replica(120, 2), m3: replica(150, 2)}, ElectionInput{OldPrimaryReachable: true, CatchUpTimeout: time.Second}, DecisionPromote, m3, false},
		"a planned failover is abandoned after the wait":                  {group(1, excluded), states{m1: primary(150, 2), m2: replica(120, 2)}, ElectionInput{OldPrimaryReachable: true, CatchUpTimeout: time.Second, SinceFenced: time.Second}, DecisionAdopt, m1, false},
		"a removed replica may hold a confirmed write":                    {group(1, earlierSetting), states{m2: replica(130, 2)}, ElectionInput{ReadsComplete: true}, DecisionWait, "", false},
		"the first primary is adopted":                                    {group(1, noPrimary), states{m1: replica(10, 1), m2: primary(10, 1), m3: replica(10, 1)}, ElectionInput{ReadsComplete: true}, DecisionAdopt, m2, false},
		"two members report that they are the first primary":              {group(1, noPrimary), states{m1: primary(10, 1), m2: primary(10, 1)}, ElectionInput{ReadsComplete: true}, DecisionWait, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := c.input
			in.Group, in.States = c.group, c.states
			got := Choose(in)
			is.Equal(got.Decision, c.decision)
			is.Equal(got.Member, c.member)
			is.Equal(got.PossibleLoss, c.loss)
		})
	}
}

// TestChoiceHoldsEveryConfirmedWrite draws the positions of the members and which of
// them respond. It guards against the promotion of a member that lacks a confirmed
// position if no possible loss is reported.
func TestChoiceHoldsEveryConfirmedWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		confirm := rapid.IntRange(1, 3).Draw(t, "confirm")
		members := []bbrtype.MemberName{m1, m2, m3, "m4", "m5"}
		g := group(confirm)
		g.Members = members
		var positions []bbrtype.Position
		responses := states{}
		for _, m := range members[1:] {
			p := bbrtype.Position(rapid.IntRange(100, 110).Draw(t, "position"))
			positions = append(positions, p)
			if rapid.Bool().Draw(t, "responds") {
				responses[m] = replica(p, 2)
			}
		}
		confirmed := bbrtype.Position(0) // the highest position on enough replicas
		for _, p := range positions {
			n := 0
			for _, other := range positions {
				if other >= p {
					n++
				}
			}
			if n >= confirm {
				confirmed = max(confirmed, p)
			}
		}
		got := Choose(ElectionInput{Group: g, States: responses, ReadsComplete: true})
		if got.Decision == DecisionPromote && promotedPosition(got.State) < confirmed {
			t.Fatalf("%s at %d is promoted, %d was confirmed", got.Member, promotedPosition(got.State), confirmed)
		}
	})
}

func TestIsLost(t *testing.T) {
	a, f, n := ReachabilityResponding, ReachabilityFailing, ReachabilityUnknown
	cases := map[string]struct {
		own       Reachability
		others    []Reachability
		instances int
		want      bool
	}{
		"most instances fail to reach the primary":     {f, []Reachability{f, n}, 3, true},
		"only the steward fails to reach the primary":  {f, []Reachability{a, a}, 3, false},
		"one other instance still reaches the primary": {f, []Reachability{f, f, a}, 4, false},
		"half of the instances are not enough":         {f, []Reachability{f, n, n}, 4, false},
		"the steward itself reaches the primary":       {a, []Reachability{f, f}, 3, false},
		"the steward has no recent result":             {n, []Reachability{f, f}, 3, false},
		"the result of a single instance is enough":    {f, nil, 1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(IsPrimaryLost(c.own, c.others, c.instances), c.want)
		})
	}
}

// TestChangeRunsToItsEnd runs a failover through all phases, with one failed
// promotion.
func TestChangeRunsToItsEnd(t *testing.T) {
	is := is.New(t)
	now := bbrtype.Mono(time.Hour)
	c := NewChange(Options{
		Group: "g", Term: 3, Unconfirmed: []bbrtype.InstanceID{"a", "b"}, AuthorityExpiresAt: now.Add(2 * time.Second),
		ReadTimeout: time.Second, PromoteTimeout: time.Second,
	}, now)
	in := ElectionInput{Group: group(1)}
	is.Equal(len(c.Step(now, FenceConfirmed{Instance: "a"}, in)), 0) // b may still acknowledge writes
	is.Equal(c.Step(now, FenceConfirmed{Instance: "b"}, in), []Action{ReadMembers{}})
	tooEarly := MemberStateRead{Member: m2, State: replica(500, 2), SentAt: now.Add(-time.Second)}
	is.Equal(len(c.Step(now, tooEarly, in)), 0) // read before the fence was complete
	now = now.Add(10 * time.Millisecond)
	in.OldPrimaryReachable = true // the failover waits for a primary that may respond, but not for a lost one
	c.Step(now, MemberStateRead{Member: m2, State: replica(120, 2), SentAt: now}, in)
	is.Equal(len(c.Step(now, MemberStateRead{Member: m3, State: replica(130, 2), SentAt: now}, in)), 0)
	in.OldPrimaryReachable = false
	is.Equal(c.Step(now, Tick{}, in), []Action{AppendCandidate{Member: m3}})
	is.Equal(c.Step(now, CandidateRecorded{Member: m3}, in), []Action{Promote{Member: m3}})
	actions := c.Step(now, PromotionFinished{Member: m3, Failed: true}, in)
	is.Equal(actions, []Action{ReadMembers{}}) // the promotion failed: the members are read again
	c.Step(now, MemberStateRead{Member: m2, State: replica(120, 2), SentAt: now}, in)
	c.Step(now, MemberReadRefused{Member: m1}, in)
	is.Equal(len(c.Step(now, MemberReadRefused{Member: m3}, in)), 0) // m3 may hold a confirmed write
	now = now.Add(2 * time.Second)
	is.Equal(c.Step(now, MemberStateRead{Member: m3, State: replica(130, 2), SentAt: now}, in), []Action{AppendCandidate{Member: m3}})
	c.Step(now, CandidateRecorded{Member: m3}, in)
	lastActions := c.Step(now, PromotionFinished{Member: m3, Before: replica(130, 2), After: primary(131, 3)}, in)
	is.Equal(lastActions, []Action{AppendPrimary{Member: m3, History: 3, Start: 130}})
}

// TestChangeWaitsOutTheSilent checks that a failover waits until the authority of the
// instances that do not confirm the fence has expired.
func TestChangeWaitsOutTheSilent(t *testing.T) {
	is := is.New(t)
	now := bbrtype.Mono(time.Hour)
	c := NewChange(Options{Unconfirmed: []bbrtype.InstanceID{"a"}, AuthorityExpiresAt: now.Add(2 * time.Second), ReadTimeout: time.Second}, now)
	in := ElectionInput{Group: group(1)}
	is.Equal(len(c.Step(now.Add(1999*time.Millisecond), Tick{}, in)), 0)
	is.Equal(c.Step(now.Add(2*time.Second), Tick{}, in), []Action{ReadMembers{}})
}
