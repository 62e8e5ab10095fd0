package bbrplace

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// policy is how the instances of a simulation choose a member.
type policy string

// The policies. With twoChoices an instance draws two members and takes the one that
// reported less work, for comparison.
const (
	byScheduler policy = ""
	twoChoices  policy = "twoChoices"
)

// spread describes a workload by which the spread of statements over the members is
// checked.
type spread struct {
	policy policy
	// isShared is set if the schedulers know of each other's instances.
	isShared bool
	// reportInterval is the time between two reports of each member's load, which reach
	// all instances at once, 0 for none.
	reportInterval time.Duration
	// slow is the window in which a member takes slowFactor times as long.
	slow       window
	slowMember bbrtype.MemberName
	// lost is the window in which lostMember replies to no statement, or to a part of them
	// if lostOneOf is above 1.
	lost       window
	lostMember bbrtype.MemberName
	lostOneOf  int
}

const (
	slowFactor = 3
	// countWindow is the length of the windows in which the members' statements are
	// compared.
	countWindow = 250 * time.Millisecond
)

// memberLoad is the state of the members that the checks of a spread need.
type memberLoad struct {
	reported map[bbrtype.MemberName]int
	arrivals []map[bbrtype.MemberName]int
	sent     int
}

// startReports lets the schedulers share their members, and the members report.
func (s *simulation) startReports() {
	s.reported = map[bbrtype.MemberName]int{}
	for i, sched := range s.schedulers {
		if s.isShared {
			sched.SetSharing(Sharing{Instances: len(s.schedulers), Seed: uint64(i)})
		}
	}
	if s.reportInterval > 0 {
		s.after(s.reportInterval, s.report)
	}
}

// report reports the load of all members to all instances.
func (s *simulation) report() {
	if s.now > s.duration {
		return
	}
	for _, id := range s.memberNames() {
		s.reported[id] = s.busy[id] + len(s.queues[id])
		for _, sched := range s.schedulers {
			sched.RecordLoad(id, s.busy[id], s.clock())
		}
	}
	s.after(s.reportInterval, s.report)
}

func (s *simulation) memberNames() []bbrtype.MemberName {
	return []bbrtype.MemberName{"p", "r1", "r2"}
}

// betterOfTwo draws two members and returns the one that reported less work.
func (s *simulation) betterOfTwo() bbrtype.MemberName {
	names := s.memberNames()
	i := s.memberRNG.IntN(len(names))
	j := (i + 1 + s.memberRNG.IntN(len(names)-1)) % len(names)
	if s.reported[names[j]] < s.reported[names[i]] {
		return names[j]
	}
	return names[i]
}

func (s *simulation) countArrival(id bbrtype.MemberName) {
	i := int(s.now / countWindow)
	for len(s.arrivals) <= i {
		s.arrivals = append(s.arrivals, map[bbrtype.MemberName]int{})
	}
	s.arrivals[i][id]++
}

// meanBusiest returns the mean of the windows' ratios of the busiest member to the mean.
func (s *simulation) meanBusiest() float64 {
	sum, n := 0.0, 0
	for _, w := range s.arrivals {
		busiest, total := 0, 0
		for _, id := range s.memberNames() {
			busiest = max(busiest, w[id])
			total += w[id]
		}
		if total > 0 {
			sum += float64(busiest*len(s.memberNames())) / float64(total)
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func (s *simulation) slowness(id bbrtype.MemberName) float64 {
	if id == s.slowMember && s.slow.contains(s.now) {
		return slowFactor
	}
	return 1
}

// isLost reports whether the member does not reply to a statement. The instance then finds
// out after the reply timeout and tries again.
func (s *simulation) isLost(o *operation, id bbrtype.MemberName) bool {
	if id != s.lostMember || !s.lost.contains(s.now) {
		return false
	}
	if s.sent++; s.sent%max(1, s.lostOneOf) != 0 {
		return false
	}
	s.lostStatements++
	sched := s.schedulers[o.instance]
	s.after(sched.ReplyTimeout(id), func() {
		sched.RecordNoReply(id, s.clock())
		sched.Release(id, s.clock())
		s.retry(o)
	})
	return true
}

// isLagging reports whether the member rejects a read because it lags.
func (s *simulation) isLagging(o *operation, id bbrtype.MemberName) bool {
	if id == "p" || !s.laggingReplicas.contains(s.now) {
		return false
	}
	s.after(time.Millisecond, func() {
		sched := s.schedulers[o.instance]
		sched.RecordLagging(id, position(2), s.clock())
		sched.Release(id, s.clock())
		s.submit(o)
	})
	return true
}

// readClasses are reads that every member can serve.
var readClasses = []class{
	{fraction: 1, serviceTime: 18 * time.Millisecond, priority: 2, objective: 250 * time.Millisecond, timeout: 800 * time.Millisecond, retryBudget: 2500 * time.Millisecond},
}

// manyCallers are the callers of 40 instances.
func manyCallers() []float64 {
	out := make([]float64, 40)
	for i := range out {
		out[i] = 1 / float64(len(out))
	}
	return out
}

// TestEvenLoad checks that members are loaded evenly by many instances that know old
// reports of the load, where two random choices load them unevenly.
func TestEvenLoad(t *testing.T) {
	always := window{0, time.Hour}
	tests := map[string]struct {
		workload
		maxBusiest float64
		minInTime  float64
		// isUnevenByTwoChoices is set if two random choices exceed maxBusiest.
		isUnevenByTwoChoices bool
	}{
		"few instances": {
			workload:   workload{callerFractions: evenCallers, operationsPerSecond: 300, spread: spread{reportInterval: 500 * time.Millisecond}},
			maxBusiest: 1.3, minInTime: 0.98, isUnevenByTwoChoices: true,
		},
		"many instances": {
			workload:   workload{callerFractions: manyCallers(), operationsPerSecond: 300, spread: spread{reportInterval: 500 * time.Millisecond}},
			maxBusiest: 1.3, minInTime: 0.95, isUnevenByTwoChoices: true,
		},
		"uneven callers": {
			workload:   workload{callerFractions: unevenCallers, operationsPerSecond: 300, spread: spread{reportInterval: 500 * time.Millisecond}},
			maxBusiest: 1.3, minInTime: 0.98, isUnevenByTwoChoices: true,
		},
		"a member slows down": {
			workload: workload{callerFractions: evenCallers, operationsPerSecond: 200, spread: spread{
				reportInterval: 500 * time.Millisecond, slowMember: "r1", slow: window{3 * time.Second, 6 * time.Second},
			}},
			maxBusiest: 1.5, minInTime: 0.97,
		},
		"a member dies": {
			workload: workload{callerFractions: evenCallers, operationsPerSecond: 200, spread: spread{
				reportInterval: 500 * time.Millisecond, lostMember: "r1", lost: window{3 * time.Second, 6 * time.Second},
			}},
			maxBusiest: 1.5, minInTime: 0.95,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := tt.workload
			w.classes, w.duration, w.noPrimary = readClasses, 10*time.Second, always
			before := simulate(w)
			two := w
			two.policy = twoChoices
			baseline := simulate(two)
			w.isShared = true
			got := simulate(w)
			t.Logf("two choices: %+v", baseline)
			t.Logf("lowest cost: %+v", before)
			t.Logf("shared:      %+v", got)
			is.True(got.busiestToMean < tt.maxBusiest)
			is.True(got.fraction(got.inTime) >= tt.minInTime)
			if tt.isUnevenByTwoChoices {
				is.True(baseline.busiestToMean > tt.maxBusiest)
			}
		})
	}
}

// TestSameKnowledge checks that instances which know the same choose different members.
func TestSameKnowledge(t *testing.T) {
	is := is.New(t)
	const instances = 60
	chosen := map[bbrtype.MemberName]int{}
	for i := range instances {
		var s Scheduler
		s.SetSharing(Sharing{Instances: instances, Seed: uint64(i)})
		for _, id := range []bbrtype.MemberName{"r1", "r2", "r3"} {
			s.SetMember(Member{ID: id, SameDataCentre: true, BaseLimit: 4})
			s.SetOpenConnections(id, 4)
			s.members[id].usage.inFlight = 0.1
		}
		s.RecordLoad("r1", 4, start)
		s.RecordLoad("r2", 4, start)
		chosen[tryAcquire(&s, Requirements{}, start.Add(50*time.Millisecond))]++
	}
	t.Log(chosen)
	for _, n := range chosen {
		is.True(n >= instances/6 && n <= instances/2)
	}
	is.Equal(len(chosen), 3)
}

// TestCalm checks that an instance with nothing in flight chooses the member of the lowest
// cost, also if others send statements to the same members.
func TestCalm(t *testing.T) {
	is := is.New(t)
	s := newSharedScheduler()
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		is.Equal(tryAcquire(s, Requirements{}, now), bbrtype.MemberName("r1"))
		s.Release("r1", now)
	}
}
