package bbrplace

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// onlyPrimary returns a board whose only member is a primary with capacity for two
// statements and at most three connections.
func onlyPrimary() *Board {
	b := &Board{}
	b.SetMember(Member{ID: "p", Primary: true, Limit: 2, Most: 3})
	return b
}

// result is what the board has decided for a statement.
type result struct {
	w        *Waiter
	member   bbrtype.MemberName
	rejected bool
}

func (r *result) isWaiting() bool { return r.member == "" && !r.rejected }

// submit submits a primary-only statement with a latency objective.
func submit(b *Board, now bbrtype.Mono, objective time.Duration) *result {
	r := &result{}
	r.w = &Waiter{
		Want:       Want{PrimaryOnly: true, Due: now.Add(objective), Objective: objective, Deadline: now.Add(10 * time.Second)},
		Granted:    func(id bbrtype.MemberName) { r.member = id },
		TurnedAway: func() { r.rejected = true },
	}
	b.Ask(r.w, now)
	return r
}

// TestTurnedAway checks in which states of the member a new statement is rejected.
func TestTurnedAway(t *testing.T) {
	const objective = 100 * time.Millisecond
	saturate := func(b *Board) {
		submit(b, start, objective)
		submit(b, start, objective)
	}
	tests := map[string]struct {
		prepare func(*Board)
		after   time.Duration
		want    bool
	}{
		"the member is saturated for a millisecond":                    {prepare: saturate, after: time.Millisecond},
		"the member is saturated for overloadDelay but can be in time": {prepare: saturate, after: overloadDelay},
		"a queue forms, and the member is saturated for overloadDelay": {prepare: func(b *Board) {
			saturate(b)
			for range 10 {
				submit(b, start, objective)
			}
		}, after: overloadDelay, want: false},
		"more statements wait than can be answered in time": {prepare: func(b *Board) {
			saturate(b)
			for range 10 {
				submit(b, start.Add(lateRejectDelay), objective)
			}
		}, after: lateRejectDelay, want: true},
		"more statements wait than can be answered before the deadline": {prepare: func(b *Board) {
			saturate(b)
			for range 2_000 {
				submit(b, start.Add(overloadDelay), objective)
			}
		}, after: overloadDelay, want: true},
		"the member refuses connections for a millisecond": {prepare: func(b *Board) { b.Full("p", 0, start) }, after: time.Millisecond},
		"the member refuses connections for overloadDelay": {prepare: func(b *Board) {
			b.Full("p", 0, start)
			b.Full("p", 0, start.Add(overloadDelay-time.Millisecond))
		}, after: overloadDelay, want: true},
		"there is no primary": {prepare: func(b *Board) {
			saturate(b)
			b.SetMember(Member{ID: "p", Limit: 2})
			for range 10 {
				submit(b, start.Add(lateRejectDelay), objective)
			}
		}, after: lateRejectDelay},
		"idle transactions hold all connections": {prepare: func(b *Board) {
			for range 3 {
				submit(b, start, objective)
				b.Rest("p", start)
			}
			for range 10 {
				submit(b, start.Add(lateRejectDelay), objective)
			}
		}, after: lateRejectDelay},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := onlyPrimary()
			tt.prepare(b)
			r := submit(b, start.Add(tt.after), objective)
			is.Equal(r.rejected, tt.want)
			is.Equal(r.isWaiting(), !tt.want)
		})
	}
}

// TestOrderOfWaiting checks that statements in time are granted in the order of
// their latency objectives, and late statements after them.
func TestOrderOfWaiting(t *testing.T) {
	is := is.New(t)
	b := onlyPrimary()
	submit(b, start, time.Second)
	submit(b, start, time.Second)
	late := submit(b, start, 20*time.Millisecond)
	long := submit(b, start, 500*time.Millisecond)
	short := submit(b, start, 250*time.Millisecond)
	now := start.Add(50 * time.Millisecond)
	for _, next := range []*result{short, long, late} {
		is.True(next.isWaiting())
		b.Release("p", now)
		is.Equal(next.member, bbrtype.MemberName("p")) // granted in this order
	}
}

// TestLateStatements checks that a late statement is rejected if none has been
// granted for a while because statements in time use up the capacity.
func TestLateStatements(t *testing.T) {
	is := is.New(t)
	b := onlyPrimary()
	now := start
	submit(b, now, time.Second)
	submit(b, now, time.Second)
	late := submit(b, now, 10*time.Millisecond)
	for now.Sub(start) < lateRejectDelay+overloadDelay {
		if now.Sub(start) < lateRejectDelay {
			is.True(late.isWaiting())
		}
		now = now.Add(50 * time.Millisecond)
		submit(b, now, time.Second)
		b.Release("p", now)
	}
	is.True(late.rejected)
}

// TestTransactionsThatPauseLeaveTheirPlace checks that an idle transaction releases
// its capacity but still counts as a connection.
func TestTransactionsThatPauseLeaveTheirPlace(t *testing.T) {
	is := is.New(t)
	b := onlyPrimary()
	submit(b, start, time.Second)
	submit(b, start, time.Second)
	third := submit(b, start, time.Second)
	is.True(third.isWaiting())
	b.Rest("p", start)
	is.Equal(third.member, bbrtype.MemberName("p")) // takes the capacity of the idle transaction
	fourth := submit(b, start, time.Second)
	b.Rest("p", start)
	is.True(fourth.isWaiting()) // all three connections are held or in use
	b.Wake("p")
	b.Release("p", start)
	is.Equal(fourth.member, bbrtype.MemberName("p"))
}

// TestPace checks the adaptive limit: slow replies lower it, rejected statements
// raise it, and it returns to its base value.
func TestPace(t *testing.T) {
	is := is.New(t)
	b := onlyPrimary()
	s := b.members["p"]
	now := start
	reply := func(latency time.Duration, times int) {
		for range times {
			now = now.Add(adjustInterval)
			b.Answered("p", latency, position(1), now)
		}
	}
	reply(20*time.Millisecond, 20)
	is.Equal(s.adaptiveLimit.value(), 2)
	reply(200*time.Millisecond, 20)
	is.Equal(s.adaptiveLimit.value(), 1) // slow replies show overload
	for range 100 {
		s.adaptiveLimit.recordReject()
	}
	is.Equal(s.adaptiveLimit.value(), 3) // this instance rejects statements
	reply(20*time.Millisecond, 60)
	is.Equal(s.adaptiveLimit.value(), 2)
}

// TestConnections checks for random sequences of operations that statements in
// flight and idle transactions never need more connections than a member may have.
func TestConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := onlyPrimary()
		now := start
		inFlight, idle := 0, 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				b.Ask(&Waiter{Want: Want{PrimaryOnly: true}, Granted: func(bbrtype.MemberName) {
					inFlight++
					if inFlight+idle > 3 {
						t.Fatalf("%d statements in flight and %d idle transactions", inFlight, idle)
					}
				}}, now)
			case 1:
				if inFlight > 0 {
					inFlight--
					b.Release("p", now)
				}
			case 2:
				if inFlight > 0 {
					inFlight--
					idle++
					b.Rest("p", now)
				}
			case 3:
				if idle > 0 {
					idle--
					inFlight++
					b.Wake("p")
				}
			case 4:
				b.Answered("p", time.Duration(rapid.IntRange(1, 300).Draw(t, "took"))*time.Millisecond, position(1), now)
			}
			if b.Waiting() > 0 && inFlight == 0 && idle < 3 {
				t.Fatal("a statement waits while the member has capacity")
			}
		}
	})
}
