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
func newPrimaryScheduler() *Scheduler {
	s := &Scheduler{}
	s.SetMember(Member{ID: "p", Primary: true, BaseLimit: 2, MaxLimit: 3})
	return s
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
func submit(s *Scheduler, now bbrtype.Mono, objective time.Duration) *outcome {
	o := &outcome{}
	o.waiter = &Waiter{
		Requirements: Requirements{PrimaryOnly: true, SoftDeadline: now.Add(objective), LatencyObjective: objective, Deadline: now.Add(10 * time.Second)},
		OnGrant:      func(id bbrtype.MemberName) { o.member = id },
		OnReject:     func(RejectReason) { o.rejected = true },
	}
	s.Submit(o.waiter, now)
	return o
}

// TestTurnedAway checks in which states of the member a new statement is rejected.
func TestTurnedAway(t *testing.T) {
	const objective = 100 * time.Millisecond
	saturate := func(s *Scheduler) {
		submit(s, start, objective)
		submit(s, start, objective)
	}
	tests := map[string]struct {
		prepare      func(*Scheduler)
		after        time.Duration
		wantRejected bool
	}{
		"the member is saturated for a millisecond":                               {prepare: saturate, after: time.Millisecond},
		"the member is saturated for overloadDelay, but the reply can be in time": {prepare: saturate, after: overloadDelay},
		"late statements are queued before lateRejectDelay": {prepare: func(s *Scheduler) {
			saturate(s)
			for range 10 {
				submit(s, start, objective)
			}
		}, after: overloadDelay, wantRejected: false},
		"more statements wait than can be answered in time": {prepare: func(s *Scheduler) {
			saturate(s)
			for range 10 {
				submit(s, start.Add(lateRejectDelay), objective)
			}
		}, after: lateRejectDelay, wantRejected: true},
		"more statements wait than can be answered before the deadline": {prepare: func(s *Scheduler) {
			saturate(s)
			for range 2_000 {
				submit(s, start.Add(overloadDelay), objective)
			}
		}, after: overloadDelay, wantRejected: true},
		"the member refuses connections for a millisecond": {prepare: func(s *Scheduler) { s.RecordConnectionRefused("p", 0, start) }, after: time.Millisecond},
		"the member refuses connections for overloadDelay": {prepare: func(s *Scheduler) {
			s.RecordConnectionRefused("p", 0, start)
			s.RecordConnectionRefused("p", 0, start.Add(overloadDelay-time.Millisecond))
		}, after: overloadDelay, wantRejected: true},
		"statements wait while there is no primary": {prepare: func(s *Scheduler) {
			saturate(s)
			s.SetMember(Member{ID: "p", BaseLimit: 2})
			for range 10 {
				submit(s, start.Add(lateRejectDelay), objective)
			}
		}, after: lateRejectDelay},
		"all connections are idle in transactions": {prepare: func(s *Scheduler) {
			for range 3 {
				submit(s, start, objective)
				s.PauseTransaction("p", start)
			}
			for range 10 {
				submit(s, start.Add(lateRejectDelay), objective)
			}
		}, after: lateRejectDelay},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newPrimaryScheduler()
			tt.prepare(s)
			o := submit(s, start.Add(tt.after), objective)
			is.Equal(o.rejected, tt.wantRejected)
			is.Equal(o.isWaiting(), !tt.wantRejected)
		})
	}
}

// TestOrderOfWaiting checks that statements that can meet their latency objective are
// scheduled by objective, the shortest first, and late statements last.
func TestOrderOfWaiting(t *testing.T) {
	is := is.New(t)
	s := newPrimaryScheduler()
	submit(s, start, time.Second)
	submit(s, start, time.Second)
	late := submit(s, start, 20*time.Millisecond)
	long := submit(s, start, 500*time.Millisecond)
	short := submit(s, start, 250*time.Millisecond)
	now := start.Add(50 * time.Millisecond)
	for _, want := range []*outcome{short, long, late} {
		is.True(want.isWaiting())
		s.Release("p", now)
		is.Equal(want.member, bbrtype.MemberName("p")) // wrong order
	}
}

// TestLateStatements checks that a late statement is rejected after lateRejectDelay
// if statements that can meet their latency objective use all the capacity.
func TestLateStatements(t *testing.T) {
	is := is.New(t)
	s := newPrimaryScheduler()
	now := start
	submit(s, now, time.Second)
	submit(s, now, time.Second)
	late := submit(s, now, 10*time.Millisecond)
	for now.Sub(start) < lateRejectDelay+overloadDelay {
		if now.Sub(start) < lateRejectDelay {
			is.True(late.isWaiting())
		}
		now = now.Add(50 * time.Millisecond)
		submit(s, now, time.Second)
		s.Release("p", now)
	}
	is.True(late.rejected)
}

// TestAllLateAtOnce checks that statements which become late at the same moment, because the
// member turns slow, are not rejected before it is known how many late ones it serves.
func TestAllLateAtOnce(t *testing.T) {
	is := is.New(t)
	s := newPrimaryScheduler()
	now := start
	var waiting []*outcome
	for range 30 {
		waiting = append(waiting, submit(s, now, time.Second))
	}
	for now.Sub(start) < 2*lateRejectDelay { // saturated by statements that are not late
		now = now.Add(20 * time.Millisecond)
		s.Release("p", now)
		waiting = append(waiting, submit(s, now, time.Second))
	}
	waiting = waiting[len(waiting)-20:]
	for range 50 {
		s.RecordReply("p", 2*time.Second, position(1), now)
	}
	is.True(waiting[0].isWaiting())
	is.True(s.willBeLate(waiting[0].waiter, now))
	for range 2 {
		now = now.Add(200 * time.Millisecond)
		s.Release("p", now)
	}
	for _, w := range waiting {
		is.True(!w.rejected)
	}
}

// TestTransactionsThatPauseLeaveTheirPlace checks that an idle transaction releases
// its capacity but still counts as a connection.
func TestTransactionsThatPauseLeaveTheirPlace(t *testing.T) {
	is := is.New(t)
	s := newPrimaryScheduler()
	submit(s, start, time.Second)
	submit(s, start, time.Second)
	third := submit(s, start, time.Second)
	is.True(third.isWaiting())
	s.PauseTransaction("p", start)
	is.Equal(third.member, bbrtype.MemberName("p")) // uses the capacity released by the idle transaction
	fourth := submit(s, start, time.Second)
	s.PauseTransaction("p", start)
	is.True(fourth.isWaiting()) // all three connections are in use or idle in a transaction
	s.ResumeTransaction("p")
	s.Release("p", start)
	is.Equal(fourth.member, bbrtype.MemberName("p"))
}

// TestPace checks the adaptive limit: slow replies lower it, rejected statements
// raise it, and it returns to its base value.
func TestPace(t *testing.T) {
	is := is.New(t)
	s := newPrimaryScheduler()
	m := s.members["p"]
	now := start
	recordReplies := func(latency time.Duration, n int) {
		for range n {
			now = now.Add(adjustInterval)
			s.RecordReply("p", latency, position(1), now)
		}
	}
	recordReplies(20*time.Millisecond, 20)
	is.Equal(m.adaptiveLimit.value(), 2)
	recordReplies(200*time.Millisecond, 20)
	is.Equal(m.adaptiveLimit.value(), 1) // slow replies show overload
	for range 100 {
		m.adaptiveLimit.recordRejection()
	}
	is.Equal(m.adaptiveLimit.value(), 3) // rejections raise the limit to its maximum
	recordReplies(20*time.Millisecond, 60)
	is.Equal(m.adaptiveLimit.value(), 2)
}

// TestConnections checks for random sequences of operations that statements in
// flight and idle transactions never use more connections than the member's limit.
func TestConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newPrimaryScheduler()
		now := start
		inFlight, idle := 0, 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				s.Submit(&Waiter{Requirements: Requirements{PrimaryOnly: true}, OnGrant: func(bbrtype.MemberName) {
					inFlight++
					if inFlight+idle > 3 {
						t.Fatalf("%d statements in flight and %d idle transactions", inFlight, idle)
					}
				}}, now)
			case 1:
				if inFlight > 0 {
					inFlight--
					s.Release("p", now)
				}
			case 2:
				if inFlight > 0 {
					inFlight--
					idle++
					s.PauseTransaction("p", now)
				}
			case 3:
				if idle > 0 {
					idle--
					inFlight++
					s.ResumeTransaction("p")
				}
			case 4:
				s.RecordReply("p", time.Duration(rapid.IntRange(1, 300).Draw(t, "took"))*time.Millisecond, position(1), now)
			}
			if s.QueueLen() > 0 && inFlight == 0 && idle < 3 {
				t.Fatal("a statement waits while the member has capacity")
			}
		}
	})
}
