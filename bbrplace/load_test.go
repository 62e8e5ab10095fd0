package bbrplace

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// workload is a pattern of operations that is simulated against the boards of
// several instances that share the members of a group.
type workload struct {
	// shares are the fractions of the callers at each instance.
	shares []float64
	// perSecond is the rate of operations of all callers together.
	perSecond float64
	classes   []class
	duration  time.Duration
	// readsAtPrimary is the window in which no replica serves reads.
	readsAtPrimary window
	// noPrimary is the window in which the group has no primary.
	noPrimary window
	// fifo simulates a plain queue for comparison: no latency objectives and no
	// rejections, so that statements wait in order of arrival until their timeout,
	// and equal limits for all instances.
	fifo bool
}

type window struct{ from, to time.Duration }

func (w window) contains(t time.Duration) bool { return t >= w.from && t < w.to }

// class is a kind of statement.
type class struct {
	fraction float64
	// serviceTime is the median time that a member works on the statement.
	serviceTime time.Duration
	primaryOnly bool
	priority    int
	objective   time.Duration
	timeout     time.Duration
	// retryBudget is the time in which a caller retries, at most maxRetries times.
	retryBudget time.Duration
}

const (
	// maxRetries is the number of retries of a caller, retryPause the time before
	// each.
	maxRetries = 2
	retryPause = 50 * time.Millisecond
)

// usualClasses are short statements of high priority at the primary, long reads,
// ordinary reads and ordinary statements at the primary.
var usualClasses = []class{
	{fraction: 0.15, serviceTime: 6 * time.Millisecond, primaryOnly: true, priority: 1, objective: 150 * time.Millisecond, timeout: 800 * time.Millisecond, retryBudget: 2500 * time.Millisecond},
	{fraction: 0.15, serviceTime: 30 * time.Millisecond, priority: 2, objective: 500 * time.Millisecond, timeout: 2 * time.Second, retryBudget: 8 * time.Second},
	{fraction: 0.62, serviceTime: 18 * time.Millisecond, priority: 2, objective: 250 * time.Millisecond, timeout: 800 * time.Millisecond, retryBudget: 2500 * time.Millisecond},
	{fraction: 0.08, serviceTime: 18 * time.Millisecond, primaryOnly: true, priority: 2, objective: 250 * time.Millisecond, timeout: 800 * time.Millisecond, retryBudget: 2500 * time.Millisecond},
}

// stats counts operations by how they ended.
type stats struct {
	operations, inTime, late, failed int
	// timedOut counts the attempts that waited until their timeout.
	timedOut int
	// worstInTime is the lowest fraction of operations in time at one instance.
	worstInTime float64
}

func (s stats) fraction(n int) float64 { return float64(n) / float64(s.operations) }

const (
	memberSlots = 3
	// memberConnections is the number of connections that each member accepts.
	memberConnections = 23
)

// simulation is a discrete-event simulation of a workload. Each member serves
// statements in order of arrival on memberSlots workers.
type simulation struct {
	workload
	now    time.Duration
	events eventQueue
	boards []*Board
	busy   map[bbrtype.MemberName]int
	queues map[bbrtype.MemberName][]request
	// callerRNG draws arrivals and classes, memberRNG service times.
	callerRNG, memberRNG *rand.Rand
	stats
	operationsBy, inTimeBy []int
}

// operation is one statement of a caller, with its retries.
type operation struct {
	class    class
	instance int
	arrived  time.Duration
	attempts int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue implements heap.Interface, ordered by time, then by insertion.
type eventQueue struct {
	list []event
	seq  int
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(i, j int) bool {
	return q.list[i].at < q.list[j].at || q.list[i].at == q.list[j].at && q.list[i].seq < q.list[j].seq
}
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

// after schedules an event.
func (s *simulation) after(d time.Duration, run func()) {
	s.events.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.events.seq, run: run})
}

// simulate runs a workload to its end. The random numbers are the same in each
// run.
func simulate(l workload) stats {
	s := &simulation{
		workload: l, callerRNG: rand.New(rand.NewPCG(7, 11)), memberRNG: rand.New(rand.NewPCG(13, 17)),
		busy: map[bbrtype.MemberName]int{}, queues: map[bbrtype.MemberName][]request{},
		operationsBy: make([]int, len(l.shares)), inTimeBy: make([]int, len(l.shares)),
	}
	for range l.shares {
		s.boards = append(s.boards, &Board{})
	}
	s.setMembers()
	for _, at := range []time.Duration{l.readsAtPrimary.from, l.readsAtPrimary.to, l.noPrimary.from, l.noPrimary.to} {
		s.after(at, s.setMembers)
	}
	for i, share := range l.shares {
		s.after(s.interarrival(share), func() { s.arrive(i) })
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.worstInTime = 1
	for i := range l.shares {
		s.worstInTime = min(s.worstInTime, float64(s.inTimeBy[i])/float64(s.operationsBy[i]))
	}
	return s.stats
}

func (s *simulation) mono() bbrtype.Mono { return start.Add(s.now) }

// interarrival draws the time to the next operation at an instance.
func (s *simulation) interarrival(share float64) time.Duration {
	return time.Duration(s.callerRNG.ExpFloat64() / (s.perSecond * share) * float64(time.Second))
}

// setMembers updates the members of all boards to the state at this time.
func (s *simulation) setMembers() {
	limit := (memberConnections/2 + len(s.shares) - 1) / len(s.shares)
	for _, b := range s.boards {
		for _, id := range []bbrtype.MemberName{"p", "r1", "r2"} {
			most := limit + 1
			if s.fifo {
				most = limit
			}
			m := Member{ID: id, Limit: limit, Most: most, Primary: id == "p" && !s.noPrimary.contains(s.now)}
			m.Leaving = id != "p" && s.readsAtPrimary.contains(s.now)
			b.SetMember(m)
			b.SetOpen(id, limit)
		}
		b.Dispatch(s.mono())
	}
}

func (s *simulation) drawClass() class {
	x := s.callerRNG.Float64()
	for _, c := range s.classes {
		if x -= c.fraction; x < 0 {
			return c
		}
	}
	return s.classes[len(s.classes)-1]
}

// arrive starts an operation at an instance and schedules the next one.
func (s *simulation) arrive(i int) {
	if s.now > s.duration {
		return
	}
	s.after(s.interarrival(s.shares[i]), func() { s.arrive(i) })
	s.operations++
	s.operationsBy[i]++
	s.attempt(&operation{class: s.drawClass(), instance: i, arrived: s.now})
}

// attempt runs one attempt of an operation.
func (s *simulation) attempt(o *operation) {
	o.attempts++
	decided := false
	w := &Waiter{
		Want: Want{
			PrimaryOnly: o.class.primaryOnly, Priority: o.class.priority, Objective: o.class.objective,
			Due: s.mono().Add(o.class.objective), Deadline: s.mono().Add(o.class.timeout),
		},
		Granted:    func(id bbrtype.MemberName) { decided = true; s.send(o, id) },
		TurnedAway: func() { decided = true; s.retry(o) },
	}
	if s.fifo {
		w.Due, w.Objective, w.TurnedAway = 0, 0, nil
	}
	s.boards[o.instance].Ask(w, s.mono())
	s.after(o.class.timeout, func() {
		if !decided && s.boards[o.instance].Remove(w) {
			s.timedOut++
			s.retry(o)
		}
	})
}

// retry schedules another attempt after a rejection or timeout, or fails the
// operation.
func (s *simulation) retry(o *operation) {
	if o.attempts > maxRetries || s.now-o.arrived+retryPause > o.class.retryBudget {
		s.failed++
		return
	}
	s.after(retryPause, func() { s.attempt(o) })
}

// request is an operation's statement that was sent to a member.
type request struct {
	*operation
	at time.Duration
}

func (s *simulation) send(o *operation, id bbrtype.MemberName) {
	s.queues[id] = append(s.queues[id], request{o, s.now})
	s.serve(id)
}

// serve starts queued statements on the free slots of a member.
func (s *simulation) serve(id bbrtype.MemberName) {
	for s.busy[id] < memberSlots && len(s.queues[id]) > 0 {
		r := s.queues[id][0]
		s.queues[id] = s.queues[id][1:]
		s.busy[id]++
		variation := math.Exp(0.5 * s.memberRNG.NormFloat64())
		s.after(time.Duration(variation*float64(r.class.serviceTime)), func() { s.reply(r, id) })
	}
}

// reply records the reply of a member to a statement.
func (s *simulation) reply(r request, id bbrtype.MemberName) {
	s.busy[id]--
	s.serve(id)
	if s.now-r.arrived <= r.class.objective {
		s.inTime++
		s.inTimeBy[r.instance]++
	} else {
		s.late++
	}
	b := s.boards[r.instance]
	b.Answered(id, s.now-r.at, position(1), s.mono())
	b.Release(id, s.mono())
}

var (
	evenShares = []float64{0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125}
	// unevenShares model one instance alone in its data centre, which serves all
	// callers there, and others that share their data centres.
	unevenShares = []float64{0.09, 0.09, 0.08, 0.12, 0.12, 0.13, 0.13, 0.24}
)

// TestLoads checks the fraction of operations answered in time for several
// workloads, also against a plain queue.
func TestLoads(t *testing.T) {
	always := window{0, time.Hour}
	tests := map[string]struct {
		workload
		// minInTime is the least fraction of operations in time, minWorstInTime the
		// least at one instance, maxFailed the largest fraction that may fail.
		minInTime, minWorstInTime, maxFailed float64
		// minGain is the least gain in the fraction in time over a plain queue.
		minGain float64
	}{
		"ordinary load": {
			workload:  workload{shares: evenShares, perSecond: 200, classes: usualClasses, duration: 10 * time.Second},
			minInTime: 0.99, minWorstInTime: 0.98,
		},
		"callers are spread unevenly": {
			workload:  workload{shares: unevenShares, perSecond: 300, classes: usualClasses, duration: 10 * time.Second},
			minInTime: 0.98, minWorstInTime: 0.95,
		},
		// The load of the primary is 1.3 times its capacity.
		"replicas lag": {
			workload:  workload{shares: evenShares, perSecond: 190, classes: usualClasses, duration: 20 * time.Second, readsAtPrimary: always},
			minInTime: 0.55, minWorstInTime: 0.4, maxFailed: 0.15, minGain: 0.2,
		},
		"replicas lag and callers are spread unevenly": {
			workload:  workload{shares: unevenShares, perSecond: 190, classes: usualClasses, duration: 20 * time.Second, readsAtPrimary: always},
			minInTime: 0.55, minWorstInTime: 0.4, maxFailed: 0.15, minGain: 0.2,
		},
		"no primary for one second": {
			workload:  workload{shares: evenShares, perSecond: 200, classes: usualClasses, duration: 10 * time.Second, noPrimary: window{4 * time.Second, 5 * time.Second}},
			minInTime: 0.93, minWorstInTime: 0.9, maxFailed: 0.02,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := simulate(tt.workload)
			fifo := tt.workload
			fifo.fifo = true
			baseline := simulate(fifo)
			t.Logf("plain queue: %+v", baseline)
			t.Logf("board:       %+v", got)
			is.Equal(got.inTime+got.late+got.failed, got.operations)
			is.True(got.fraction(got.inTime) >= tt.minInTime)
			is.True(got.fraction(got.failed) <= tt.maxFailed)
			is.True(got.worstInTime >= tt.minWorstInTime)
			is.True(got.fraction(got.inTime)-baseline.fraction(baseline.inTime) >= tt.minGain)
		})
	}
}
