package bbrplace

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

const start = bbrtype.Mono(time.Hour)

func position(n uint64) bbrmessage.LogPosition { return bbrmessage.LogPosition{Term: 1, Index: n} }

// newThreeMemberScheduler returns a scheduler with a primary and two replicas, of
// which r1 is in the data centre of the instance.
func newThreeMemberScheduler() *Scheduler {
	s := &Scheduler{}
	s.SetMember(Member{ID: "p", Primary: true, SameDataCentre: true, BaseLimit: 2})
	s.SetMember(Member{ID: "r1", SameDataCentre: true, BaseLimit: 2})
	s.SetMember(Member{ID: "r2", BaseLimit: 2})
	return s
}

// tryAcquire returns the member that is granted to a statement at once, or "" if the
// statement would be queued. The statement is removed from the queue.
func tryAcquire(s *Scheduler, w Requirements, now bbrtype.Mono) bbrtype.MemberName {
	var got bbrtype.MemberName
	waiter := &Waiter{Requirements: w, OnGrant: func(id bbrtype.MemberName) { got = id }}
	s.Submit(waiter, now)
	s.Remove(waiter)
	return got
}

func TestPlacement(t *testing.T) {
	tests := map[string]struct {
		prepare    func(*Scheduler)
		statement  Requirements
		wantMember bbrtype.MemberName
	}{
		"an open connection is preferred":               {prepare: func(s *Scheduler) { s.SetOpenConnections("r2", 1) }, wantMember: "r2"},
		"a read goes to the replica in the data centre": {statement: Requirements{}, wantMember: "r1"},
		"primary only":                           {statement: Requirements{PrimaryOnly: true}, wantMember: "p"},
		"the replica in the data centre is busy": {prepare: func(s *Scheduler) { tryAcquire(s, Requirements{OnlyMember: "r1"}, start) }, wantMember: "r2"},
		"a replica that rejected the position is skipped": {prepare: func(s *Scheduler) {
			s.RecordLagging("r1", position(9), start)
		}, statement: Requirements{MinPosition: position(9)}, wantMember: "r2"},
		"a lagging replica serves reads at earlier positions": {prepare: func(s *Scheduler) {
			s.RecordLagging("r1", position(9), start)
		}, statement: Requirements{MinPosition: position(8)}, wantMember: "r1"},
		"a replica is still skipped after a reply with an earlier position": {prepare: func(s *Scheduler) {
			s.RecordLagging("r1", position(9), start)
			s.RecordReply("r1", time.Millisecond, position(7), start)
		}, statement: Requirements{MinPosition: position(9)}, wantMember: "r2"},
		"a replica that has caught up is used again": {prepare: func(s *Scheduler) {
			s.RecordLagging("r1", position(9), start)
			s.RecordReply("r1", time.Millisecond, position(9), start)
		}, statement: Requirements{MinPosition: position(9)}, wantMember: "r1"},
		"both replicas lag": {prepare: func(s *Scheduler) {
			s.RecordLagging("r1", position(9), start)
			s.RecordLagging("r2", position(9), start)
		}, statement: Requirements{MinPosition: position(9)}, wantMember: "p"},
		"a draining replica gets no new statement": {prepare: func(s *Scheduler) {
			s.SetMember(Member{ID: "r1", SameDataCentre: true, Draining: true, BaseLimit: 2})
		}, wantMember: "r2"},
		"a member that refused a connection is capped at its open connections": {prepare: func(s *Scheduler) {
			tryAcquire(s, Requirements{OnlyMember: "r1"}, start)
			s.RecordConnectionRefused("r1", 1, start)
		}, wantMember: "r2"},
		"a member that did not reply is paused": {prepare: func(s *Scheduler) { s.RecordNoReply("r1", start) }, wantMember: "r2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newThreeMemberScheduler()
			if tt.prepare != nil {
				tt.prepare(s)
			}
			is.Equal(tryAcquire(s, tt.statement, start), tt.wantMember)
		})
	}
}

// TestRefusalsAreAskedRarer checks that a lagging replica is paused for longer after
// its second rejection.
func TestRefusalsAreAskedRarer(t *testing.T) {
	is := is.New(t)
	s := newThreeMemberScheduler()
	s.RecordLagging("r1", position(9), start)
	now := start.Add(lagPause + 1)
	is.Equal(tryAcquire(s, Requirements{MinPosition: position(9), Exclude: []bbrtype.MemberName{"r2"}}, now), bbrtype.MemberName("r1"))
	s.RecordLagging("r1", position(9), now)
	now = now.Add(lagPause + 1)
	is.Equal(tryAcquire(s, Requirements{MinPosition: position(9), Exclude: []bbrtype.MemberName{"r2"}}, now), bbrtype.MemberName("p"))
}

// TestPatienceFollowsTheAnswers checks that the reply timeout of a member grows with
// its own latency only.
func TestPatienceFollowsTheAnswers(t *testing.T) {
	is := is.New(t)
	s := newThreeMemberScheduler()
	is.Equal(s.ReplyTimeout("p"), minReplyTimeout)
	is.Equal(s.ReplyTimeout("unknown"), minReplyTimeout)
	for range 100 {
		s.RecordReply("p", 200*time.Millisecond, position(1), start)
	}
	is.True(s.ReplyTimeout("p") > 4*minReplyTimeout)
	is.Equal(s.ReplyTimeout("r1"), minReplyTimeout)
}

// TestBoard checks for random sequences of operations that limits are never exceeded,
// that no statement waits while an eligible member has capacity, and that members are
// granted to higher priorities first.
func TestBoard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newThreeMemberScheduler()
		now := start
		inFlight := map[bbrtype.MemberName]int{}
		// inFlightAt lists the member of each statement in flight.
		var inFlightAt []bbrtype.MemberName
		waiting := map[*Waiter]bool{}
		onGrant := func(w *Waiter) func(bbrtype.MemberName) {
			return func(id bbrtype.MemberName) {
				inFlight[id]++
				inFlightAt = append(inFlightAt, id)
				delete(waiting, w)
				for o := range waiting {
					if o.Priority < w.Priority && o.PrimaryOnly == w.PrimaryOnly {
						t.Fatalf("priority %d was granted before %d", w.Priority, o.Priority)
					}
				}
				if inFlight[id] > 2 {
					t.Fatalf("%d statements in flight at %s", inFlight[id], id)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				w := &Waiter{Requirements: Requirements{PrimaryOnly: rapid.Bool().Draw(t, "primary"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}}
				w.OnGrant = onGrant(w)
				waiting[w] = true
				s.Submit(w, now)
			case 1:
				if len(inFlightAt) > 0 {
					i := rapid.IntRange(0, len(inFlightAt)-1).Draw(t, "which")
					id := inFlightAt[i]
					inFlightAt = append(inFlightAt[:i], inFlightAt[i+1:]...)
					inFlight[id]--
					s.Release(id, now)
				}
			case 2:
				for w := range waiting {
					if !s.Remove(w) {
						t.Fatal("a waiting statement is not in the queue")
					}
					delete(waiting, w)
					break
				}
			}
			if s.QueueLen() != len(waiting) {
				t.Fatalf("%d statements are queued, want %d", s.QueueLen(), len(waiting))
			}
			for w := range waiting {
				if inFlight["p"] < 2 || !w.PrimaryOnly && (inFlight["r1"] < 2 || inFlight["r2"] < 2) {
					t.Fatal("a statement waits while a member has capacity")
				}
			}
		}
	})
}

// TestNextPauseEnd checks when the queue has to be dispatched because a pause ends.
func TestNextPauseEnd(t *testing.T) {
	wait := Requirements{MinPosition: position(5)}
	tests := map[string]struct {
		prepare func(*Scheduler)
		want    time.Duration
	}{
		"no pause": {prepare: func(*Scheduler) {}},
		"no reply": {prepare: func(s *Scheduler) { s.RecordNoReply("r1", start) }, want: noReplyPause},
		"the first pause ends": {prepare: func(s *Scheduler) {
			s.RecordNoReply("r2", start.Add(time.Millisecond))
			s.RecordNoReply("r1", start)
		}, want: noReplyPause},
		"a member is busy": {prepare: func(s *Scheduler) { s.RecordBusy("r1", start) }},
		"a replica lags":   {prepare: func(s *Scheduler) { s.RecordLagging("r1", position(5), start) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newThreeMemberScheduler()
			tt.prepare(s)
			is.Equal(s.NextPauseEnd(start), bbrtype.Mono(0)) // nothing waits
			for range 7 {
				s.Submit(&Waiter{Requirements: wait, OnGrant: func(bbrtype.MemberName) {}}, start)
			}
			want := bbrtype.Mono(0)
			if tt.want > 0 {
				want = start.Add(tt.want)
			}
			is.Equal(s.NextPauseEnd(start), want)
		})
	}
}
