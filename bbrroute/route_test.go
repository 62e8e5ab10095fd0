package bbrroute

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

const start = bbrtype.Mono(time.Hour)

func timeAt(ms int) bbrtype.Mono { return start.Add(time.Duration(ms) * time.Millisecond) }

// newGroup returns a group with m1 as the primary of history 2, which branched
// off history 1 at position 100.
func newGroup() *bbrjournal.Group {
	return &bbrjournal.Group{
		ReplicationConfig: bbrjournal.ReplicationConfig{Members: []bbrtype.MemberName{"m1", "m2", "m3"}}, Term: 2,
		PrimaryTerms: []bbrjournal.PrimaryTerm{{Term: 1, History: 1, Member: "m2"}, {Term: 2, History: 2, Start: 100, Member: "m1"}},
	}
}

func replicaState(h bbrtype.History, p bbrtype.Position) bbrmember.State {
	return bbrmember.State{History: h, Position: p, Received: p}
}

// newSampledTracker returns a tracker with eleven samples of the primary, from
// position 100 on, which are 100 ms and 10 bytes apart.
func newSampledTracker(g *bbrjournal.Group) *Tracker {
	n := uint64(0)
	t := NewTracker(func() uint64 { n++; return n })
	for i := range 11 {
		t.Observe(g, "m1", bbrmember.State{Primary: true, History: 2, Position: bbrtype.Position(100 + 10*i)}, timeAt(100*i), true)
	}
	return t
}

func TestChoose(t *testing.T) {
	cases := map[string]struct {
		m2, m3 bbrmember.State
		req    Requirements
		want   Target
		member bbrtype.MemberName
	}{
		"a fresh replica":                                                         {replicaState(2, 200), replicaState(1, 50), Requirements{MaxAge: time.Second, Term: 2, Position: 200}, TargetReplica, "m2"},
		"the replica that has the caller's write":                                 {replicaState(2, 150), replicaState(2, 190), Requirements{MaxAge: time.Second, Term: 2, Position: 190}, TargetReplica, "m3"},
		"no replica has the caller's write":                                       {replicaState(2, 150), replicaState(2, 160), Requirements{MaxAge: time.Second, Term: 2, Position: 200}, TargetPrimary, "m1"},
		"a replica is about to catch up":                                          {replicaState(2, 150), replicaState(2, 190), Requirements{MaxAge: time.Second, Term: 2, Position: 200, CatchUpWait: time.Second}, TargetWait, ""},
		"all replicas too old":                                                    {replicaState(2, 150), replicaState(2, 150), Requirements{MaxAge: 400 * time.Millisecond}, TargetPrimary, "m1"},
		"age equal to the maximum":                                                {replicaState(2, 150), replicaState(2, 140), Requirements{MaxAge: 500 * time.Millisecond}, TargetReplica, "m2"},
		"past the branch position of an old history":                              {replicaState(1, 101), replicaState(1, 101), Requirements{MaxAge: time.Hour}, TargetPrimary, "m1"},
		"an old history up to the branch position":                                {replicaState(1, 100), replicaState(1, 101), Requirements{MaxAge: 2 * time.Second}, TargetReplica, "m2"},
		"a replica that reports itself as primary, and one of an unknown history": {bbrmember.State{Primary: true, History: 2, Position: 200}, replicaState(9, 200), Requirements{MaxAge: time.Hour}, TargetPrimary, "m1"},
		"primary only":                                                            {replicaState(2, 200), replicaState(2, 200), Requirements{MaxAge: time.Hour, PrimaryOnly: true}, TargetPrimary, "m1"},
		"a member on which the read failed before":                                {replicaState(2, 200), replicaState(2, 150), Requirements{MaxAge: time.Second, Exclude: []bbrtype.MemberName{"m2"}}, TargetReplica, "m3"},
		"a discarded position":                                                    {replicaState(2, 200), replicaState(2, 200), Requirements{MaxAge: time.Hour, Term: 1, Position: 150}, TargetPrimary, "m1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup()
			tr := newSampledTracker(g)
			tr.Observe(g, "m2", c.m2, timeAt(1000), true)
			tr.Observe(g, "m3", c.m3, timeAt(1000), true)
			d := tr.Choose(timeAt(1000), g, c.req)
			is.Equal(d.Target, c.want)
			if c.member != "" {
				is.Equal(d.Member, c.member)
			}
		})
	}
}

func TestServesUnderTheSameHistoryOnly(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	tr := newSampledTracker(g)
	is.True(tr.Satisfies(timeAt(1000), g, replicaState(2, 200), Requirements{MaxAge: time.Second, Term: 2, Position: 200}))
	// A discarded position of an old history is not included, although the
	// current history has reached a higher position.
	is.True(!tr.Satisfies(timeAt(1000), g, replicaState(2, 200), Requirements{MaxAge: time.Second, Term: 1, Position: 150}))
	is.True(!tr.Satisfies(timeAt(1000), g, replicaState(2, 190), Requirements{MaxAge: time.Second, Term: 2, Position: 200}))
	is.True(!tr.Satisfies(timeAt(3000), g, replicaState(2, 200), Requirements{MaxAge: time.Second}))
}

func TestIsPrimaryFresh(t *testing.T) {
	cases := map[string]struct {
		now, authorityUntil, sentAt int
		maxAge                      time.Duration
		want                        bool
	}{
		"with authority": {100, 2000, 90, time.Second, true},
		"authority expired, within the maximum age": {2500, 2000, 2400, time.Second, true},
		"authority expired too long ago":            {3100, 2000, 3000, time.Second, false},
		"sent too long ago, with authority":         {5000, 6000, 100, time.Second, false},
		"maximum age 0, with authority":             {100, 2000, 90, 0, true},
		"maximum age 0, authority expired":          {2100, 2000, 2000, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(IsPrimaryReadFresh(timeAt(c.now), timeAt(c.authorityUntil), timeAt(c.sentAt), c.maxAge), c.want)
		})
	}
}

func TestLoadIsShared(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	tr := newSampledTracker(g)
	tr.Observe(g, "m2", replicaState(2, 200), timeAt(1000), true)
	tr.Observe(g, "m3", replicaState(2, 200), timeAt(1000), true)
	for i := range 8 { // complete the slow start of both replicas
		tr.Choose(timeAt(1000+500*i), g, Requirements{MaxAge: time.Hour})
	}
	for range 20 {
		tr.StatementStarted("m2")
	}
	for range 10 {
		is.Equal(tr.Choose(timeAt(5000), g, Requirements{MaxAge: time.Hour}).Member, bbrtype.MemberName("m3"))
	}
}

// TestWaitingStatementsAreLoad checks that statements that wait for a connection
// to a member raise its cost, as statements in flight do.
func TestWaitingStatementsAreLoad(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	tr := newSampledTracker(g)
	tr.Observe(g, "m2", replicaState(2, 200), timeAt(1000), true)
	tr.Observe(g, "m3", replicaState(2, 200), timeAt(1000), true)
	for i := range 8 {
		tr.Choose(timeAt(1000+500*i), g, Requirements{MaxAge: time.Hour})
	}
	tr.StatementStarted("m2")
	tr.StatementStarted("m3")
	tr.AddWaiting("m2", 5)
	for range 10 {
		is.Equal(tr.Choose(timeAt(5000), g, Requirements{MaxAge: time.Hour}).Member, bbrtype.MemberName("m3"))
	}
	tr.AddWaiting("m2", -5)
	tr.AddWaiting("m3", 5)
	for range 10 {
		is.Equal(tr.Choose(timeAt(5000), g, Requirements{MaxAge: time.Hour}).Member, bbrtype.MemberName("m2"))
	}
}

// TestAReplicaThatComesBackRampsUp checks the slow start of a replica that
// becomes eligible.
func TestAReplicaThatComesBackRampsUp(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	tr := newSampledTracker(g)
	tr.Observe(g, "m2", replicaState(2, 200), timeAt(1000), true)
	for i := range 8 {
		tr.Choose(timeAt(1000+500*i), g, Requirements{MaxAge: time.Hour})
	}
	tr.Observe(g, "m3", replicaState(2, 200), timeAt(4500), true)
	is.Equal(tr.Choose(timeAt(4501), g, Requirements{MaxAge: time.Hour}).Member, bbrtype.MemberName("m2"))
	tr.StatementStarted("m2")
	is.Equal(tr.Choose(timeAt(4600), g, Requirements{MaxAge: time.Hour}).Member, bbrtype.MemberName("m2")) // m3 is still in its slow start
	tr.Choose(timeAt(5500), g, Requirements{MaxAge: time.Hour})
	is.Equal(tr.Choose(timeAt(6500), g, Requirements{MaxAge: time.Hour}).Member, bbrtype.MemberName("m3"))
}

// TestAgeIsNeverUnderstated checks that the age is never lower than the real
// one, even after the tracker dropped samples. It compares the age with a
// model that keeps every sample.
func TestAgeIsNeverUnderstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup()
		tr := NewTracker(func() uint64 { return 0 })
		type modelSample struct {
			at bbrtype.Mono
			p  bbrtype.Position
		}
		var model []modelSample
		now, p := start, bbrtype.Position(100)
		for range rapid.IntRange(1, 1500).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			model = append(model, modelSample{now, p})
			// The primary may write between the request and the reply.
			p += bbrtype.Position(rapid.IntRange(0, 3).Draw(t, "written"))
			tr.Observe(g, "m1", bbrmember.State{Primary: true, History: 2, Position: p}, now, true)
		}
		replicaPosition := bbrtype.Position(rapid.IntRange(100, int(p)).Draw(t, "replica"))
		tr.Observe(g, "m2", replicaState(2, replicaPosition), now, true)
		age, ok := tr.DataAge(now, g, "m2")
		if !ok {
			return
		}
		// The replica's data must include every position that the primary had
		// reached at now-age.
		for _, s := range model {
			if s.at <= now.Add(-age) && s.p > replicaPosition {
				t.Fatalf("the age is %v, but position %d, which the primary reached %v ago, is past the replica's position %d", age, s.p, now.Sub(s.at), replicaPosition)
			}
		}
	})
}

// TestFewSamplesDoNotOverstateTheLag checks that a long interval between
// samples does not inflate the average lag. Reads wait for a replica according
// to that lag.
func TestFewSamplesDoNotOverstateTheLag(t *testing.T) {
	const lag = 50
	cases := map[string]int{"sample interval 20 ms": 20, "250 ms": 250, "1 s": 1000}
	for name, sampleInterval := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup()
			tr := NewTracker(func() uint64 { return 0 })
			for ms := 0; ms < 20000; ms += 10 { // the primary writes one byte per millisecond
				if ms%sampleInterval == 0 {
					tr.Observe(g, "m1", bbrmember.State{Primary: true, History: 2, Position: bbrtype.Position(100 + ms)}, timeAt(ms), true)
				}
				if ms >= lag && ms%70 == 0 {
					tr.Observe(g, "m2", replicaState(2, bbrtype.Position(100+ms-lag)), timeAt(ms), true)
				}
			}
			got := tr.AverageLag("m2").Milliseconds()
			is.True(got >= lag/2)
			is.True(got <= 3*lag/2)
		})
	}
}
