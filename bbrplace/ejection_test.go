package bbrplace

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// newSharedScheduler returns a scheduler with a primary and two replicas that other
// instances use as well.
func newSharedScheduler() *Scheduler {
	s := newThreeMemberScheduler()
	s.SetSharing(Sharing{Instances: 4, Seed: 1})
	return s
}

// failOften records failures of a member until it is ejected, or for a bounded time. It
// returns the time after them.
func failOften(s *Scheduler, id bbrtype.MemberName, now bbrtype.Mono) bbrtype.Mono {
	for range 10 {
		if s.Mode(id) == ModeTrial {
			break
		}
		s.RecordNoReply(id, now)
		now = now.Add(time.Millisecond)
	}
	return now
}

// TestGreyMember replays a member that does not reply to every third statement: it gets few
// statements while it fails, and all of its load again afterwards, step by step.
func TestGreyMember(t *testing.T) {
	is := is.New(t)
	w := workload{
		callerFractions: evenCallers, operationsPerSecond: 200, classes: readClasses, duration: 16 * time.Second, noPrimary: window{0, time.Hour},
		spread: spread{lostMember: "r1", lost: window{2 * time.Second, 12 * time.Second}, lostOneOf: 3},
	}
	before := simulate(w)
	w.isShared = true
	got := simulate(w)
	t.Logf("without ejection %+v", before)
	t.Logf("with ejection    %+v", got)
	is.True(got.lostStatements*3 <= before.lostStatements*2)
	is.True(got.fraction(got.inTime) >= 0.97)
	is.True(got.fraction(got.inTime) >= before.fraction(before.inTime))
}

// TestHalfOpenTrials checks that an ejected member gets one statement at a time, that
// replies in a row let it return, and that a failed trial delays the next one.
func TestHalfOpenTrials(t *testing.T) {
	is := is.New(t)
	s := newSharedScheduler()
	now := failOften(s, "r1", start)
	is.Equal(s.Mode("r1"), ModeTrial)
	r := Requirements{}
	isTried := func() bool { return s.isAdmitted(s.members["r1"], &r, now) }
	is.True(!isTried()) // not before trialInterval
	now = now.Add(trialInterval)
	is.True(isTried())
	s.ForceAcquire("r1")
	is.True(!isTried()) // one at a time
	s.RecordNoReply("r1", now)
	s.Release("r1", now)
	now = now.Add(trialInterval)
	is.True(!isTried()) // the interval has doubled
	now = now.Add(trialInterval)
	is.True(isTried())
	for range trialsToReturn {
		is.Equal(s.Mode("r1"), ModeTrial)
		s.RecordReply("r1", time.Millisecond, position(1), now)
	}
	is.Equal(s.Mode("r1"), ModeReturning)
}

// TestReturningMember checks that the load of a member that has started again rises step by
// step.
func TestReturningMember(t *testing.T) {
	is := is.New(t)
	s := newSharedScheduler()
	s.SetMember(Member{ID: "r1", SameDataCentre: true, BaseLimit: 16})
	s.RecordReturn("r1", start)
	for step := range 4 {
		now := start.Add(time.Duration(step) * returnStep)
		m := s.members["r1"]
		for m.inFlight < 16 && s.isAdmitted(m, &Requirements{}, now) {
			s.ForceAcquire("r1")
		}
		is.Equal(m.inFlight, 1<<step)
	}
	s.isAdmitted(s.members["r1"], &Requirements{}, start.Add(returnSteps*returnStep))
	is.Equal(s.Mode("r1"), ModeServing)
}

// TestEjectionIsBounded checks with random failures that at most half of the members are
// ejected, and that a read always has a member that it may wait for.
func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSharedScheduler()
		now := start
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			id := rapid.SampledFrom([]bbrtype.MemberName{"p", "r1", "r2"}).Draw(rt, "member")
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "fails") {
				s.RecordNoReply(id, now)
			} else {
				s.RecordReply(id, 10*time.Millisecond, position(1), now)
			}
			ejected := 0
			for id := range s.members {
				if s.Mode(id) == ModeTrial {
					ejected++
				}
			}
			if ejected > 1 {
				rt.Fatalf("%d of 3 members are ejected", ejected)
			}
			if later := now.Add(time.Hour); len(s.candidates(&Requirements{}, later)) == 0 {
				rt.Fatal("no member for a read after all pauses")
			}
		}
	})
}

// TestAloneAsBefore checks that an instance which shares its members with no other ejects
// none and draws no member at random.
func TestAloneAsBefore(t *testing.T) {
	is := is.New(t)
	s := newThreeMemberScheduler()
	failOften(s, "r1", start)
	is.Equal(s.Mode("r1"), ModeServing)
	now := start.Add(time.Second)
	for range 20 {
		is.Equal(tryAcquire(s, Requirements{}, now), bbrtype.MemberName("r1"))
		s.Release("r1", now)
	}
}
