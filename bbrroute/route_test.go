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

func at(ms int) bbrtype.Mono { return start.Add(time.Duration(ms) * time.Millisecond) }

// group has m1 as the primary of history 2, which branched off at 100.
func group() *bbrjournal.Group {
	return &bbrjournal.Group{
		Setting: bbrjournal.Setting{Members: []bbrtype.MemberName{"m1", "m2", "m3"}}, Term: 2,
		Lineage: []bbrjournal.Lineage{{Term: 1, History: 1, Member: "m2"}, {Term: 2, History: 2, Start: 100, Member: "m1"}},
	}
}

func replica(h bbrtype.History, p bbrtype.Position) bbrmember.State {
	return bbrmember.State{History: h, Position: p, Received: p}
}

// tracked knows samples of the primary each 100 ms, 10 bytes apart, from
// position 100 on.
func tracked(g *bbrjournal.Group) *Tracker {
	n := uint64(0)
	t := NewTracker(func() uint64 { n++; return n })
	for i := range 11 {
		t.Observe(g, "m1", bbrmember.State{Primary: true, History: 2, Position: bbrtype.Position(100 + 10*i)}, at(100*i), true)
	}
	return t
}

func TestChoose(t *testing.T) {
	cases := map[string]struct {
		m2, m3 bbrmember.State
		req    Request
		want   Target
		member bbrtype.MemberName
	}{
		"a fresh replica":                 {replica(2, 200), replica(1, 50), Request{MaxAge: time.Second, Term: 2, Position: 200}, TargetReplica, "m2"},
		"the one that has the own write":  {replica(2, 150), replica(2, 190), Request{MaxAge: time.Second, Term: 2, Position: 190}, TargetReplica, "m3"},
		"none has it and none is near":    {replica(2, 150), replica(2, 160), Request{MaxAge: time.Second, Term: 2, Position: 200}, TargetPrimary, "m1"},
		"one is about to have it":         {replica(2, 150), replica(2, 190), Request{MaxAge: time.Second, Term: 2, Position: 200, CatchUpWait: time.Second}, TargetWait, ""},
		"too old":                         {replica(2, 150), replica(2, 150), Request{MaxAge: 400 * time.Millisecond}, TargetPrimary, "m1"},
		"just not too old":                {replica(2, 150), replica(2, 140), Request{MaxAge: 500 * time.Millisecond}, TargetReplica, "m2"},
		"a divergent history":             {replica(1, 101), replica(1, 101), Request{MaxAge: time.Hour}, TargetPrimary, "m1"},
		"an old history as far as shared": {replica(1, 100), replica(1, 101), Request{MaxAge: 2 * time.Second}, TargetReplica, "m2"},
		"a stray primary":                 {bbrmember.State{Primary: true, History: 2, Position: 200}, replica(9, 200), Request{MaxAge: time.Hour}, TargetPrimary, "m1"},
		"primary only":                    {replica(2, 200), replica(2, 200), Request{MaxAge: time.Hour, PrimaryOnly: true}, TargetPrimary, "m1"},
		"failed for this read":            {replica(2, 200), replica(2, 150), Request{MaxAge: time.Second, Avoid: []bbrtype.MemberName{"m2"}}, TargetReplica, "m3"},
		"a position that was lost":        {replica(2, 200), replica(2, 200), Request{MaxAge: time.Hour, Term: 1, Position: 150}, TargetPrimary, "m1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := group()
			tr := tracked(g)
			tr.Observe(g, "m2", c.m2, at(1000), true)
			tr.Observe(g, "m3", c.m3, at(1000), true)
			d := tr.Choose(at(1000), g, c.req)
			is.Equal(d.Target, c.want)
			if c.member != "" {
				is.Equal(d.Member, c.member)
			}
		})
	}
}

func TestServesUnderTheSameHistoryOnly(t *testing.T) {
	is := is.New(t)
	g := group()
	tr := tracked(g)
	is.True(tr.Serves(at(1000), g, replica(2, 200), Request{MaxAge: time.Second, Term: 2, Position: 200}))
	// A higher position of another history does not include a lost one.
	is.True(!tr.Serves(at(1000), g, replica(2, 200), Request{MaxAge: time.Second, Term: 1, Position: 150}))
	is.True(!tr.Serves(at(1000), g, replica(2, 190), Request{MaxAge: time.Second, Term: 2, Position: 200}))
	is.True(!tr.Serves(at(3000), g, replica(2, 200), Request{MaxAge: time.Second}))
}

func TestIsPrimaryFresh(t *testing.T) {
	cases := map[string]struct {
		now, until, sent int
		maxAge           time.Duration
		want             bool
	}{
		"under authority":                     {100, 2000, 90, time.Second, true},
		"without authority, within the age":   {2500, 2000, 2400, time.Second, true},
		"without authority for too long":      {3100, 2000, 3000, time.Second, false},
		"read before a long pause":            {5000, 6000, 100, time.Second, false},
		"no age is stated, under authority":   {100, 2000, 90, 0, true},
		"no age is stated, without authority": {2100, 2000, 2000, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(IsPrimaryFresh(at(c.now), at(c.until), at(c.sent), c.maxAge), c.want)
		})
	}
}

func TestLoadIsShared(t *testing.T) {
	is := is.New(t)
	g := group()
	tr := tracked(g)
	tr.Observe(g, "m2", replica(2, 200), at(1000), true)
	tr.Observe(g, "m3", replica(2, 200), at(1000), true)
	for i := range 8 { // both have been in use for a while
		tr.Choose(at(1000+500*i), g, Request{MaxAge: time.Hour})
	}
	for range 20 {
		tr.Started("m2")
	}
	for range 10 {
		is.Equal(tr.Choose(at(5000), g, Request{MaxAge: time.Hour}).Member, bbrtype.MemberName("m3"))
	}
}

// Statements that wait for a connection are load as well as those at work.
func TestWaitingStatementsAreLoad(t *testing.T) {
	is := is.New(t)
	g := group()
	tr := tracked(g)
	tr.Observe(g, "m2", replica(2, 200), at(1000), true)
	tr.Observe(g, "m3", replica(2, 200), at(1000), true)
	for i := range 8 {
		tr.Choose(at(1000+500*i), g, Request{MaxAge: time.Hour})
	}
	tr.Started("m2")
	tr.Started("m3")
	tr.Waiting("m2", 5)
	for range 10 {
		is.Equal(tr.Choose(at(5000), g, Request{MaxAge: time.Hour}).Member, bbrtype.MemberName("m3"))
	}
	tr.Waiting("m2", -5)
	tr.Waiting("m3", 5)
	for range 10 {
		is.Equal(tr.Choose(at(5000), g, Request{MaxAge: time.Hour}).Member, bbrtype.MemberName("m2"))
	}
}

func TestAReplicaThatComesBackRampsUp(t *testing.T) {
	is := is.New(t)
	g := group()
	tr := tracked(g)
	tr.Observe(g, "m2", replica(2, 200), at(1000), true)
	for i := range 8 {
		tr.Choose(at(1000+500*i), g, Request{MaxAge: time.Hour})
	}
	tr.Observe(g, "m3", replica(2, 200), at(4500), true)
	is.Equal(tr.Choose(at(4501), g, Request{MaxAge: time.Hour}).Member, bbrtype.MemberName("m2"))
	tr.Started("m2")
	is.Equal(tr.Choose(at(4600), g, Request{MaxAge: time.Hour}).Member, bbrtype.MemberName("m2")) // still ramping up
	tr.Choose(at(5500), g, Request{MaxAge: time.Hour})
	is.Equal(tr.Choose(at(6500), g, Request{MaxAge: time.Hour}).Member, bbrtype.MemberName("m3"))
}

// TestAgeIsNeverUnderstated compares the age with a model that remembers every
// position of the primary.
func TestAgeIsNeverUnderstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := group()
		tr := NewTracker(func() uint64 { return 0 })
		type moment struct {
			at bbrtype.Mono
			p  bbrtype.Position
		}
		var moments []moment
		now, p := start, bbrtype.Position(100)
		for range rapid.IntRange(1, 1500).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			moments = append(moments, moment{now, p})
			// The reply shows a later position than that at the request.
			p += bbrtype.Position(rapid.IntRange(0, 3).Draw(t, "written"))
			tr.Observe(g, "m1", bbrmember.State{Primary: true, History: 2, Position: p}, now, true)
		}
		shown := bbrtype.Position(rapid.IntRange(100, int(p)).Draw(t, "replica"))
		tr.Observe(g, "m2", replica(2, shown), now, true)
		age, ok := tr.AgeOf(now, g, "m2")
		if !ok {
			return
		}
		// Everything that the primary had at now-age must be shown.
		for _, m := range moments {
			if m.at <= now.Add(-age) && m.p > shown {
				t.Fatalf("age %v is stated, but position %d of %v ago is not shown at %d", age, m.p, now.Sub(m.at), shown)
			}
		}
	})
}

// The usual lag decides whether a read waits for a replica. Few samples of the
// primary must not make a replica look slower than it is.
func TestFewSamplesDoNotOverstateTheLag(t *testing.T) {
	const lag = 50
	cases := map[string]int{"many samples": 20, "few": 250, "very few": 1000}
	for name, every := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := group()
			tr := NewTracker(func() uint64 { return 0 })
			for ms := 0; ms < 20000; ms += 10 { // the primary writes a byte each millisecond
				if ms%every == 0 {
					tr.Observe(g, "m1", bbrmember.State{Primary: true, History: 2, Position: bbrtype.Position(100 + ms)}, at(ms), true)
				}
				if ms >= lag && ms%70 == 0 {
					tr.Observe(g, "m2", replica(2, bbrtype.Position(100+ms-lag)), at(ms), true)
				}
			}
			got := tr.LagOf("m2").Milliseconds()
			is.True(got >= lag/2)
			is.True(got <= 3*lag/2)
		})
	}
}
