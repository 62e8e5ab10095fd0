package bbrsuccession

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func at(n uint64) bbrmessage.Place { return bbrmessage.Place{Term: 1, Number: n} }

func holding(id bbrtype.MemberName, n uint64, held bbrtype.Term) Candidate {
	return Candidate{ID: id, Answered: true, Look: bbrmessage.Look{Role: bbrmessage.RoleReplica, Term: 1, Received: at(n), Held: held}}
}

func leading(id bbrtype.MemberName, n uint64, term bbrtype.Term) Candidate {
	return Candidate{ID: id, Answered: true, Look: bbrmessage.Look{Role: bbrmessage.RolePrimary, Term: term, Received: at(n)}}
}

// following is a replica of a primary of a newer term.
func following(id bbrtype.MemberName, n uint64, held bbrtype.Term) Candidate {
	c := holding(id, n, held)
	c.Look.Term, c.Look.Received.Term = 2, 2
	return c
}

func silent(id bbrtype.MemberName) Candidate { return Candidate{ID: id} }

func draining(c Candidate) Candidate {
	c.Draining = true
	return c
}

func TestChoose(t *testing.T) {
	tests := map[string]struct {
		members []Candidate
		sync    int
		acked   uint64
		welcome bool
		want    Decision
		member  bbrtype.MemberName
	}{
		"a dead primary is followed by the replica that has most": {
			members: []Candidate{silent("old"), holding("r1", 7, 2), holding("r2", 9, 2)}, sync: 1,
			want: DecisionPromote, member: "r2",
		},
		"a replica that does not hold may have more": {
			members: []Candidate{silent("old"), holding("r1", 7, 2), holding("r2", 9, 0)}, sync: 1,
			want: DecisionWait,
		},
		"a silent replica may have more": {
			members: []Candidate{silent("old"), holding("r1", 7, 2), silent("r2")}, sync: 1,
			want: DecisionWait,
		},
		"with two synchronous replicas one may be silent": {
			members: []Candidate{silent("old"), holding("r1", 7, 2), silent("r2")}, sync: 2,
			want: DecisionPromote, member: "r1",
		},
		"a hold of an older change does not count": {
			members: []Candidate{silent("old"), holding("r1", 7, 1), holding("r2", 7, 2)}, sync: 1,
			want: DecisionWait,
		},
		// The other replica left with its log, so that the one that stayed lacks
		// commits that were acknowledged.
		"a replica that lacks an acknowledged commit is not promoted": {
			members: []Candidate{silent("old"), holding("r1", 334, 2)}, sync: 1, acked: 380,
			want: DecisionWait,
		},
		"a replica that has the newest acknowledged commit is promoted": {
			members: []Candidate{silent("old"), holding("r1", 380, 2)}, sync: 1, acked: 380,
			want: DecisionPromote, member: "r1",
		},
		"an old primary that stepped down shows what there is": {
			members: []Candidate{holding("old", 9, 0), holding("r1", 9, 2), silent("r2")}, sync: 1,
			want: DecisionPromote, member: "r1",
		},
		"an old primary that has more than the replica that answers leads again": {
			members: []Candidate{holding("old", 9, 0), holding("r1", 7, 2), silent("r2")}, sync: 1,
			want: DecisionPromote, member: "old",
		},
		"among equals one that stays is promoted": {
			members: []Candidate{draining(leading("old", 9, 1)), draining(holding("r1", 9, 2)), holding("r2", 9, 2)}, sync: 1,
			want: DecisionPromote, member: "r2",
		},
		"one that leaves is promoted if it has more": {
			members: []Candidate{silent("old"), draining(holding("r1", 10, 2)), holding("r2", 9, 2)}, sync: 1,
			want: DecisionPromote, member: "r1",
		},
		"a primary that came back under another name is adopted": {
			members: []Candidate{silent("old"), leading("reborn", 9, 1), holding("r1", 9, 2)}, sync: 1,
			want: DecisionAdopt, member: "reborn",
		},
		"an old primary that answers again goes on": {
			members: []Candidate{leading("old", 9, 1), holding("r1", 9, 2), silent("r2")}, sync: 1, welcome: true,
			want: DecisionAdopt, member: "old",
		},
		"an old primary that leaves does not": {
			members: []Candidate{leading("old", 9, 1), holding("r1", 9, 2), silent("r2")}, sync: 1,
			want: DecisionWait,
		},
		"an old primary that answers when all hold is replaced": {
			members: []Candidate{leading("old", 9, 1), holding("r1", 9, 2), holding("r2", 9, 2)}, sync: 1, welcome: true,
			want: DecisionPromote, member: "r1",
		},
		"a member that leads the term already is adopted": {
			members: []Candidate{silent("old"), leading("r1", 9, 2), silent("r2")}, sync: 1,
			want: DecisionAdopt, member: "r1",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := Question{Members: tt.members, Old: "old", OldTerm: 1, Term: 2, Sync: tt.sync, Welcome: tt.welcome}
			if tt.acked > 0 {
				q.Acked = at(tt.acked)
			}
			c := Choose(q)
			is.Equal(c.Decision, tt.want)
			is.Equal(c.Member, tt.member)
		})
	}
}

// TestOvertaken replays a change whose primary had been replaced already, by a
// change that this instance does not know the end of: the newer primary does not
// answer and goes on acknowledging, and the old one, now a replica of it, does not
// show all that there is.
func TestOvertaken(t *testing.T) {
	tests := map[string]struct {
		members []Candidate
		sync    int
		want    Decision
		member  bbrtype.MemberName
	}{
		"the replicas of a newer primary do not hold": {
			members: []Candidate{following("old", 752, 0), following("r1", 752, 0), following("r2", 752, 0), silent("new")}, sync: 1,
			want: DecisionWait,
		},
		"the old one alone does not hold": {
			members: []Candidate{following("old", 752, 0), following("r1", 752, 3), following("r2", 752, 3), silent("new")}, sync: 1,
			want: DecisionWait,
		},
		"only the old one answers": {
			members: []Candidate{following("old", 752, 0), silent("r1"), silent("new")}, sync: 1,
			want: DecisionWait,
		},
		"a replica is silent too": {
			members: []Candidate{following("old", 752, 3), following("r1", 752, 3), silent("r2"), silent("new")}, sync: 1,
			want: DecisionWait,
		},
		"all but the newer primary hold": {
			members: []Candidate{following("old", 751, 3), following("r1", 752, 3), following("r2", 750, 3), silent("new")}, sync: 1,
			want: DecisionPromote, member: "r1",
		},
		"nothing waits for replicas": {
			members: []Candidate{following("old", 752, 3), following("r1", 752, 3), silent("new")},
			want:    DecisionPromote, member: "old",
		},
		"the newer primary answers": {
			members: []Candidate{following("old", 752, 0), following("r1", 752, 0), leading("new", 752, 2)}, sync: 1,
			want: DecisionAdopt, member: "new",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := Choose(Question{Members: tt.members, Old: "old", OldTerm: 1, Term: 3, Sync: tt.sync})
			is.Equal(c.Decision, tt.want)
			is.Equal(c.Member, tt.member)
		})
	}
}

func TestMayClaim(t *testing.T) {
	now := bbrtype.Mono(time.Hour)
	tests := map[string]struct {
		record Record
		age    time.Duration
		want   bool
	}{
		"no change is under way":              {record: Record{Phase: PhaseNamed, Holder: "other"}, want: true},
		"there is no record":                  {want: true},
		"another one is at it":                {record: Record{Phase: PhaseClaimed, Holder: "other"}, age: ClaimTime, want: false},
		"another one has not been heard of":   {record: Record{Phase: PhaseClaimed, Holder: "other"}, age: takeoverAfter + 1, want: true},
		"an earlier process of the same name": {record: Record{Phase: PhaseClaimed, Holder: "me"}, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(MayClaim(Known{Record: tt.record, SeenAt: now.Add(-tt.age)}, "me", now), tt.want)
		})
	}
}

func TestClaimRaisesTheFence(t *testing.T) {
	is := is.New(t)
	r := Claim(Known{Record: Record{Fence: 4, Primary: "m1", Term: 3, Phase: PhaseNamed, Holder: "other", Renewed: 2}}, "me")
	is.Equal(r, Record{Fence: 5, Primary: "m1", Term: 3, Phase: PhaseClaimed, Holder: "me"})
}

func TestProves(t *testing.T) {
	tests := map[string]struct {
		record Record
		known  bool
		want   bool
	}{
		"no change was ever made":      {want: true},
		"the primary is named":         {record: Record{Phase: PhaseNamed, Primary: "m1", Term: 2}, known: true, want: true},
		"a change has begun":           {record: Record{Phase: PhaseClaimed, Primary: "m1", Term: 2}, known: true},
		"a newer term is named":        {record: Record{Phase: PhaseNamed, Primary: "m2", Term: 3}, known: true},
		"it came back by another name": {record: Record{Phase: PhaseNamed, Primary: "m0", Term: 2}, known: true, want: true},
		"an older term is named":       {record: Record{Phase: PhaseNamed, Primary: "m1", Term: 1}, known: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Proves(tt.record, tt.known, 2), tt.want)
		})
	}
}

func TestDue(t *testing.T) {
	now := bbrtype.Mono(time.Hour)
	tests := map[string]struct {
		s     Situation
		alone bool
		want  bool
	}{
		// The only replica that answers receives nothing: a hold would keep it so.
		"commits are not confirmed, and nobody could follow": {s: Situation{Ahead: true, StalledSince: now.Add(-stallLimit - 1), Informed: true}, alone: true},
		"it leaves, and nobody could follow":                 {s: Situation{Draining: true, Informed: true}, alone: true},
		"it answers":                                         {s: Situation{Informed: true}},
		"it leaves":                                          {s: Situation{Draining: true, Informed: true}, want: true},
		"it was silent for a moment":                         {s: Situation{FailingSince: now.Add(-SilenceLimit / 2), Informed: true}},
		"it is silent":                                       {s: Situation{FailingSince: now.Add(-SilenceLimit - 1), Informed: true}, want: true},
		"one who knows little waits longer":                  {s: Situation{FailingSince: now.Add(-SilenceLimit - 1)}},
		"one who knows little acts in the end":               {s: Situation{FailingSince: now.Add(-SilenceLimit - uninformedPause - 1)}, want: true},
		"others reach it":                                    {s: Situation{FailingSince: now.Add(-time.Minute), ReceivedAt: now.Add(-elsewhereTime / 2), Informed: true}},
		"nobody reaches it any more":                         {s: Situation{FailingSince: now.Add(-time.Minute), ReceivedAt: now.Add(-elsewhereTime - 1), Informed: true}, want: true},
		"a commit is slow":                                   {s: Situation{Ahead: true, StalledSince: now.Add(-stallLimit / 2), Informed: true}},
		"the primary is slow, and replicas have all":         {s: Situation{StalledSince: now.Add(-stallLimit - 1), Informed: true}},
		"commits are not confirmed":                          {s: Situation{Ahead: true, StalledSince: now.Add(-stallLimit - 1), Informed: true}, want: true},
		"nobody leads":                                       {s: Situation{DemotedSince: now.Add(-SilenceLimit - 1), Informed: true}, want: true},
		"its replicas were looked at once":                   {s: Situation{FailingSince: now.Add(-time.Minute), WatchedFrom: now, Informed: true}},
		"its entry is gone":                                  {s: Situation{Gone: true, Informed: true}, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tt.s.Successor = !tt.alone
			if tt.s.WatchedFrom == 0 {
				tt.s.WatchedFrom = now.Add(-watchTime)
			}
			_, due := Due(tt.s, now)
			is.Equal(due, tt.want)
		})
	}
}

// TestOneLookIsNotEnough shows that nothing is due before replicas were looked at.
func TestOneLookIsNotEnough(t *testing.T) {
	is := is.New(t)
	now := bbrtype.Mono(time.Hour)
	_, due := Due(Situation{FailingSince: now.Add(-time.Minute), Successor: true, Informed: true}, now)
	is.True(!due)
}

func TestMayStepDown(t *testing.T) {
	tests := map[string]struct {
		members []Candidate
		want    bool
	}{
		"a replica that holds has all":       {members: []Candidate{leading("old", 9, 1), holding("r1", 9, 2), silent("r2")}, want: true},
		"no replica has all":                 {members: []Candidate{leading("old", 9, 1), holding("r1", 8, 2), silent("r2")}},
		"the one that has all does not hold": {members: []Candidate{leading("old", 9, 1), holding("r1", 9, 0), silent("r2")}},
		"no replica answers":                 {members: []Candidate{leading("old", 9, 1), silent("r1"), silent("r2")}},
		"the old one does not answer":        {members: []Candidate{silent("old"), holding("r1", 9, 2), silent("r2")}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(MayStepDown(Question{Members: tt.members, Old: "old", Term: 2, Sync: 1}), tt.want)
		})
	}
}

func TestHasSuccessor(t *testing.T) {
	is := is.New(t)
	members := []Candidate{leading("old", 9, 1), holding("r1", 8, 0), silent("r2")}
	is.True(HasSuccessor(members, "old", at(8)))
	is.True(!HasSuccessor(members, "old", at(9))) // only the primary has it
	is.True(!HasSuccessor([]Candidate{silent("r1")}, "old", bbrmessage.Place{}))
}

// TestMemberThatCameMeanwhile replays a member that took the place of a departed
// one while the others were asked to hold: it may confirm commits.
func TestMemberThatCameMeanwhile(t *testing.T) {
	is := is.New(t)
	asked := []Candidate{silent("old"), holding("r1", 9, 2)}
	q := Question{Members: Complete(asked, "old", "r1"), Old: "old", OldTerm: 1, Term: 2, Sync: 1}
	is.Equal(Choose(q).Decision, DecisionPromote)
	q.Members = Complete(asked, "old", "r1", "new")
	is.Equal(Choose(q).Decision, DecisionWait)
}

func TestIsAhead(t *testing.T) {
	is := is.New(t)
	is.True(IsAhead([]Candidate{leading("p", 9, 1), holding("r1", 8, 0)}, "p"))
	is.True(!IsAhead([]Candidate{leading("p", 9, 1), holding("r1", 9, 0), silent("r2")}, "p"))
	is.True(!IsAhead([]Candidate{silent("p"), holding("r1", 9, 0)}, "p"))
}
