package bbrplace

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// newPrimaryScheduler returns a scheduler whose only member is a primary with a
// capacity of two statements and at most three connections.
func newPrimaryScheduler() *Board {
	b := &Board{}
	b.SetMember(Member{ID: "p", Primary: true, Limit: 2, Most: 3})
	return b
}

// outcome records whether a member was granted to a statement or the statement was
// rejected.
type outcome struct {
	waiter   *Waiter
	member   bbrtype.MemberName
	rejected bool
}

func (o *outcome) isWaiting() bool { return o.member == "" && !o.rejected }

// submit submits a primary-only statement with a latency objective.
func submit(b *Board, now bbrtype.Mono, objective time.Duration) *outcome {
	o := &outcome{}
	o.waiter = &Waiter{
		Want:       Want{PrimaryOnly: true, Due: now.Add(objective), Objective: objective, Deadline: now.Add(10 * time.Second)},
		Granted:    func(id bbrtype.MemberName) { o.member = id },
		TurnedAway: func() { o.rejected = true },
	}
	b.Ask(o.waiter, now)
	return o
}

// TestTurnedAway checks in which states of the member a new statement is rejected.
func TestTurnedAway(t *testing.T) {
	const objective = 100 * time.Millisecond
	saturate := func(b *Board) {
		submit(b, start, objective)
		submit(b, start, objective)
	}
	tests := map[string]struct {
		prepare      func(*Board)
		after        time.Duration
		wantRejected bool
	}{
		"the member is saturated for a millisecond":                               {prepare: saturate, after: time.Millisecond},
		"the member is saturated for overloadDelay, but the reply can be in time": {prepare: saturate, after: overloadDelay},
		"late statements are queued before lateRejectDelay": {prepare: func(b *Board) {
			saturate(b)
			for range 10 {
				submit(b, start, objective)
			}
		}, after: overloadDelay, wantRejected: false},
		"more statements wait than can be answered in time": {prepare: func(b *Board) {
			saturate(b)
			for range 10 {
				submit(b, start.Add(lateRejectDelay), objective)
			}
		}, after: lateRejectDelay, wantRejected: true},
		"more statements wait than can be answered before the deadline": {prepare: func(b *Board) {
			saturate(b)
			for range 2_000 {
				submit(b, start.Add(overloadDelay), objective)
			}
		}, after: overloadDelay, wantRejected: true},
		"the member refuses connections for a millisecond": {prepare: func(b *Board) { b.Full("p", 0, start) }, after: time.Millisecond},
		"the member refuses connections for overloadDelay": {prepare: func(b *Board) {
			b.Full("p", 0, start)
			b.Full("p", 0, start.Add(overloadDelay-time.Millisecond))
		}, after: overloadDelay, wantRejected: true},
		"statements wait while there is no primary": {prepare: func(b *Board) {
			saturate(b)
			b.SetMember(Member{ID: "p", Limit: 2})
			for range 10 {
				submit(b, start.Add(lateRejectDelay), objective)
			}
		}, after: lateRejectDelay},
		"all connections are idle in transactions": {prepare: func(b *Board) {
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
			b := newPrimaryScheduler()
			tt.prepare(b)
			o := submit(b, start.Add(tt.after), objective)
			is.Equal(o.rejected, tt.wantRejected)
			is.Equal(o.isWaiting(), !tt.wantRejected)
		})
	}
}

// TestOrderOfWaiting checks that statements that can meet their latency objective are
// scheduled by objective, the shortest first, and late statements last.
func TestOrderOfWaiting(t *testing.T) {
	is := is.New(t)
	b := newPrimaryScheduler()
	submit(b, start, time.Second)
	submit(b, start, time.Second)
	late := submit(b, start, 20*time.Millisecond)
	long := submit(b, start, 500*time.Millisecond)
	short := submit(b, start, 250*time.Millisecond)
	now := start.Add(50 * time.Millisecond)
	for _, want := range []*outcome{short, long, late} {
		is.True(want.isWaiting())
		b.Release("p", now)
		is.Equal(want.member, bbrtype.MemberName("p")) // wrong order
	}
}

// TestLateStatements checks that a late statement is rejected after lateRejectDelay
// if statements that can meet their latency objective use all the capacity.
func TestLateStatements(t *testing.T) {
	is := is.New(t)
	b := newPrimaryScheduler()
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
	b := newPrimaryScheduler()
	submit(b, start, time.Second)
	submit(b, start, time.Second)
	third := submit(b, start, time.Second)
	is.True(third.isWaiting())
	b.Rest("p", start)
	is.Equal(third.member, bbrtype.MemberName("p")) // uses the capacity released by the idle transaction
	fourth := submit(b, start, time.Second)
	b.Rest("p", start)
	is.True(fourth.isWaiting()) // all three connections are in use or idle in a transaction
	b.Wake("p")
	b.Release("p", start)
	is.Equal(fourth.member, bbrtype.MemberName("p"))
}

// TestPace checks the adaptive limit: slow replies lower it, rejected statements
// raise it, and it returns to its base value.
func TestPace(t *testing.T) {
	is := is.New(t)
	b := newPrimaryScheduler()
	s := b.members["p"]
	now := start
	recordReplies := func(latency time.Duration, n int) {
		for range n {
			now = now.Add(adjustInterval)
			b.Answered("p", latency, position(1), now)
		}
	}
	recordReplies(20*time.Millisecond, 20)
	is.Equal(s.adaptiveLimit.value(), 2)
	recordReplies(200*time.Millisecond, 20)
	is.Equal(s.adaptiveLimit.value(), 1) // slow replies show overload
	for range 100 {
		s.adaptiveLimit.recordRejection()
	}
	is.Equal(s.adaptiveLimit.value(), 3) // rejections raise the limit to its maximum
	recordReplies(20*time.Millisecond, 60)
	is.Equal(s.adaptiveLimit.value(), 2)
}

// TestConnections checks for random sequences of operations that statements in
// flight and idle transactions never use more connections than the member's limit.
func TestConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newPrimaryScheduler()
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
