package bbrplace

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// onlyPrimary is a board of one member with two places.
func onlyPrimary() *Board {
	b := &Board{}
	b.SetMember(Member{ID: "p", Primary: true, Limit: 2, Most: 3})
	return b
}

// fate is what became of a statement.
type fate struct {
	w          *Waiter
	member     bbrtype.MemberName
	turnedAway bool
}

func (f *fate) waits() bool { return f.member == "" && !f.turnedAway }

// put asks for a member for a statement that is due after a time.
func put(b *Board, now bbrtype.Mono, due time.Duration) *fate {
	f := &fate{}
	f.w = &Waiter{
		Want:       Want{PrimaryOnly: true, Due: now.Add(due), Objective: due, Deadline: now.Add(10 * time.Second)},
		Granted:    func(id bbrtype.MemberName) { f.member = id },
		TurnedAway: func() { f.turnedAway = true },
	}
	b.Ask(f.w, now)
	return f
}

func TestTurnedAway(t *testing.T) {
	const due = 100 * time.Millisecond
	fill := func(b *Board) {
		put(b, start, due)
		put(b, start, due)
	}
	tests := map[string]struct {
		prepare func(*Board)
		after   time.Duration
		want    bool
	}{
		"the member is busy since a moment":                 {prepare: fill, after: time.Millisecond},
		"the member is busy for a while but can be in time": {prepare: fill, after: standing},
		"many wait, and the member is busy for a while": {prepare: func(b *Board) {
			fill(b)
			for range 10 {
				put(b, start, due)
			}
		}, after: standing, want: false},
		"more wait than can be in time": {prepare: func(b *Board) {
			fill(b)
			for range 10 {
				put(b, start.Add(lateIdle), due)
			}
		}, after: lateIdle, want: true},
		"more wait than there is time for at all": {prepare: func(b *Board) {
			fill(b)
			for range 2_000 {
				put(b, start.Add(standing), due)
			}
		}, after: standing, want: true},
		"the member refuses connections since a moment": {prepare: func(b *Board) { b.Full("p", 0, start) }, after: time.Millisecond},
		"the member refuses connections for a while": {prepare: func(b *Board) {
			b.Full("p", 0, start)
			b.Full("p", 0, start.Add(standing-time.Millisecond))
		}, after: standing, want: true},
		"there is no primary": {prepare: func(b *Board) {
			fill(b)
			b.SetMember(Member{ID: "p", Limit: 2})
			for range 10 {
				put(b, start.Add(lateIdle), due)
			}
		}, after: lateIdle},
		"transactions keep all connections": {prepare: func(b *Board) {
			for range 3 {
				put(b, start, due)
				b.Rest("p", start)
			}
			for range 10 {
				put(b, start.Add(lateIdle), due)
			}
		}, after: lateIdle},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := onlyPrimary()
			tt.prepare(b)
			f := put(b, start.Add(tt.after), due)
			is.Equal(f.turnedAway, tt.want)
			is.Equal(f.waits(), !tt.want)
		})
	}
}

func TestOrderOfWaiting(t *testing.T) {
	is := is.New(t)
	b := onlyPrimary()
	put(b, start, time.Second)
	put(b, start, time.Second)
	late := put(b, start, 20*time.Millisecond)
	long := put(b, start, 500*time.Millisecond)
	short := put(b, start, 250*time.Millisecond)
	now := start.Add(50 * time.Millisecond)
	for _, want := range []*fate{short, long, late} {
		is.True(want.waits())
		b.Release("p", now)
		is.Equal(want.member, bbrtype.MemberName("p")) // the order
	}
}

// TestLateStatements are turned away once none was served for a while, as long as
// there is work that can be in time.
func TestLateStatements(t *testing.T) {
	is := is.New(t)
	b := onlyPrimary()
	now := start
	put(b, now, time.Second)
	put(b, now, time.Second)
	late := put(b, now, 10*time.Millisecond)
	for now.Sub(start) < lateIdle+standing {
		if now.Sub(start) < lateIdle {
			is.True(late.waits())
		}
		now = now.Add(50 * time.Millisecond)
		put(b, now, time.Second)
		b.Release("p", now)
	}
	is.True(late.turnedAway)
}

func TestTransactionsThatPauseLeaveTheirPlace(t *testing.T) {
	is := is.New(t)
	b := onlyPrimary()
	put(b, start, time.Second)
	put(b, start, time.Second)
	third := put(b, start, time.Second)
	is.True(third.waits())
	b.Rest("p", start)
	is.Equal(third.member, bbrtype.MemberName("p")) // the place of the one that pauses
	fourth := put(b, start, time.Second)
	b.Rest("p", start)
	is.True(fourth.waits()) // three connections are kept or in use
	b.Wake("p")
	b.Release("p", start)
	is.Equal(fourth.member, bbrtype.MemberName("p"))
}

func TestPace(t *testing.T) {
	is := is.New(t)
	b := onlyPrimary()
	s := b.seats["p"]
	now := start
	answer := func(took time.Duration, times int) {
		for range times {
			now = now.Add(paceEvery)
			b.Answered("p", took, place(1), now)
		}
	}
	answer(20*time.Millisecond, 20)
	is.Equal(s.pace.room(), 2)
	answer(200*time.Millisecond, 20)
	is.Equal(s.pace.room(), 1) // slow answers: too much is at work there
	for range 100 {
		s.pace.turnedAway()
	}
	is.Equal(s.pace.room(), 3) // callers of this instance are turned away
	answer(20*time.Millisecond, 60)
	is.Equal(s.pace.room(), 2)
}

// TestConnections checks that grants never need more connections than a member
// may have, whatever transactions keep.
func TestConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := onlyPrimary()
		now := start
		working, resting := 0, 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				b.Ask(&Waiter{Want: Want{PrimaryOnly: true}, Granted: func(bbrtype.MemberName) {
					working++
					if working+resting > 3 {
						t.Fatalf("%d at work and %d resting", working, resting)
					}
				}}, now)
			case 1:
				if working > 0 {
					working--
					b.Release("p", now)
				}
			case 2:
				if working > 0 {
					working--
					resting++
					b.Rest("p", now)
				}
			case 3:
				if resting > 0 {
					resting--
					working++
					b.Wake("p")
				}
			case 4:
				b.Answered("p", time.Duration(rapid.IntRange(1, 300).Draw(t, "took"))*time.Millisecond, place(1), now)
			}
			if b.Waiting() > 0 && working == 0 && resting < 3 {
				t.Fatal("a statement waits while there is room")
			}
		}
	})
}
