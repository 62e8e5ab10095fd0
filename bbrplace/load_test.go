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

// workload describes the operations of a simulation in which several instances, each
// with its own scheduler, share the members of a group.
type workload struct {
	// callerFractions are the fractions of the callers at each instance.
	callerFractions []float64
	// operationsPerSecond is the rate of all callers together.
	operationsPerSecond float64
	classes             []class
	duration            time.Duration
	// replicasDraining is the window in which all replicas are draining, so that the
	// primary serves all reads.
	replicasDraining window
	// noPrimary is the window in which the group has no primary.
	noPrimary window
	// laggingReplicas is the window in which the replicas reject all reads because they lag.
	laggingReplicas window
	spread
	// fifo disables latency objectives, rejections and limits above the base value, for
	// comparison. Within a priority, statements then wait in order of arrival until
	// their timeout.
	fifo bool
}

type window struct{ from, to time.Duration }

func (w window) contains(t time.Duration) bool { return t >= w.from && t < w.to }

// class is a kind of statement.
type class struct {
	fraction float64
	// serviceTime is the median execution time at a member.
	serviceTime time.Duration
	primaryOnly bool
	priority    int
	objective   time.Duration
	timeout     time.Duration
	// retryBudget is the time after the arrival within which a caller retries, at most
	// maxRetries times.
	retryBudget time.Duration
}

const (
	// maxRetries is the maximum number of retries of an operation.
	maxRetries = 2
	// retryDelay is the time before each retry.
	retryDelay = 50 * time.Millisecond
)

// typicalClasses are short statements of high priority at the primary, long reads,
// ordinary reads and ordinary statements at the primary.
var typicalClasses = []class{
	{fraction: 0.15, serviceTime: 6 * time.Millisecond, primaryOnly: true, priority: 1, objective: 150 * time.Millisecond, timeout: 800 * time.Millisecond, retryBudget: 2500 * time.Millisecond},
	{fraction: 0.15, serviceTime: 30 * time.Millisecond, priority: 2, objective: 500 * time.Millisecond, timeout: 2 * time.Second, retryBudget: 8 * time.Second},
	{fraction: 0.62, serviceTime: 18 * time.Millisecond, priority: 2, objective: 250 * time.Millisecond, timeout: 800 * time.Millisecond, retryBudget: 2500 * time.Millisecond},
	{fraction: 0.08, serviceTime: 18 * time.Millisecond, primaryOnly: true, priority: 2, objective: 250 * time.Millisecond, timeout: 800 * time.Millisecond, retryBudget: 2500 * time.Millisecond},
}

// stats counts operations by outcome.
type stats struct {
	operations, inTime, late, failed int
	// timedOut counts the attempts that waited until their timeout.
	timedOut int
	// lowestInTimeFraction is the lowest fraction of operations in time at one
	// instance.
	lowestInTimeFraction float64
	// rejected counts the attempts that were rejected before their timeout.
	rejected int
	// lostStatements counts the statements to which a member did not reply.
	lostStatements int
	// busiestToMean is the mean over all windows of the statements that the busiest
	// member got, as a ratio to the mean of the members.
	busiestToMean float64
}

func (s stats) fraction(n int) float64 { return float64(n) / float64(s.operations) }

const (
	// memberWorkers is the number of statements that a member executes at once.
	memberWorkers = 3
	// memberConnections is the number of connections that each member accepts.
	memberConnections = 23
)

// simulation is a discrete-event simulation of a workload. Each member serves
// statements in order of arrival on memberWorkers workers.
type simulation struct {
	workload
	now        time.Duration
	events     eventQueue
	schedulers []*Scheduler
	busy       map[bbrtype.MemberName]int
	queues     map[bbrtype.MemberName][]request
	// callerRNG is used for arrivals and classes, memberRNG for service times.
	callerRNG, memberRNG *rand.Rand
	stats
	operationsByInstance, inTimeByInstance []int
	memberLoad
}

// operation is one statement of a caller, with its retries.
type operation struct {
	class    class
	instance int
	arrived  time.Duration
	attempts int
	// attemptedAt is when the newest attempt began.
	attemptedAt time.Duration
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
func simulate(w workload) stats {
	s := &simulation{
		workload: w, callerRNG: rand.New(rand.NewPCG(7, 11)), memberRNG: rand.New(rand.NewPCG(13, 17)),
		busy: map[bbrtype.MemberName]int{}, queues: map[bbrtype.MemberName][]request{},
		operationsByInstance: make([]int, len(w.callerFractions)), inTimeByInstance: make([]int, len(w.callerFractions)),
	}
	for range w.callerFractions {
		s.schedulers = append(s.schedulers, &Scheduler{})
	}
	s.startReports()
	s.setMembers()
	for _, at := range []time.Duration{w.replicasDraining.from, w.replicasDraining.to, w.noPrimary.from, w.noPrimary.to} {
		s.after(at, s.setMembers)
	}
	for i, fraction := range w.callerFractions {
		s.after(s.interarrival(fraction), func() { s.startOperation(i) })
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.busiestToMean = s.meanBusiest()
	s.lowestInTimeFraction = 1
	for i := range w.callerFractions {
		s.lowestInTimeFraction = min(s.lowestInTimeFraction, float64(s.inTimeByInstance[i])/float64(s.operationsByInstance[i]))
	}
	return s.stats
}

// clock returns the simulated time.
func (s *simulation) clock() bbrtype.Mono { return start.Add(s.now) }

// interarrival draws the time to the next operation at an instance.
func (s *simulation) interarrival(fraction float64) time.Duration {
	return time.Duration(s.callerRNG.ExpFloat64() / (s.operationsPerSecond * fraction) * float64(time.Second))
}

// setMembers updates the members of all schedulers to their state at the current
// simulated time.
func (s *simulation) setMembers() {
	// limit is half of the member's connections, divided among the instances and
	// rounded up.
	limit := (memberConnections/2 + len(s.callerFractions) - 1) / len(s.callerFractions)
	for _, sched := range s.schedulers {
		for _, id := range []bbrtype.MemberName{"p", "r1", "r2"} {
			maxLimit := limit + 1
			if s.fifo {
				maxLimit = limit
			}
			m := Member{ID: id, BaseLimit: limit, MaxLimit: maxLimit, Primary: id == "p" && !s.noPrimary.contains(s.now)}
			m.Draining = id != "p" && s.replicasDraining.contains(s.now)
			sched.SetMember(m)
			sched.SetOpenConnections(id, limit)
		}
		sched.Dispatch(s.clock())
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

// startOperation starts an operation at an instance and schedules the next one.
func (s *simulation) startOperation(i int) {
	if s.now > s.duration {
		return
	}
	s.after(s.interarrival(s.callerFractions[i]), func() { s.startOperation(i) })
	s.operations++
	s.operationsByInstance[i]++
	s.attempt(&operation{class: s.drawClass(), instance: i, arrived: s.now})
}

// attempt runs one attempt of an operation.
func (s *simulation) attempt(o *operation) {
	o.attempts++
	o.attemptedAt = s.now
	s.submit(o)
}

// submit chooses a member for an attempt.
func (s *simulation) submit(o *operation) {
	if s.policy == twoChoices {
		s.send(o, s.betterOfTwo())
		return
	}
	done := false
	w := &Waiter{
		Requirements: Requirements{
			PrimaryOnly: o.class.primaryOnly, Priority: o.class.priority, LatencyObjective: o.class.objective,
			MinPosition:  position(2),
			SoftDeadline: start.Add(o.attemptedAt + o.class.objective), Deadline: start.Add(o.attemptedAt + o.class.timeout),
		},
		OnGrant:  func(id bbrtype.MemberName) { done = true; s.send(o, id) },
		OnReject: func(RejectReason) { done = true; s.rejected++; s.retry(o) },
	}
	if s.fifo {
		w.SoftDeadline, w.LatencyObjective, w.OnReject = 0, 0, nil
	}
	s.schedulers[o.instance].Submit(w, s.clock())
	s.after(o.attemptedAt+o.class.timeout-s.now, func() {
		if !done && s.schedulers[o.instance].Remove(w) {
			s.timedOut++
			s.retry(o)
		}
	})
}

// retry schedules another attempt after a rejection or timeout, or fails the
// operation.
func (s *simulation) retry(o *operation) {
	if o.attempts > maxRetries || s.now-o.arrived+retryDelay > o.class.retryBudget {
		s.failed++
		return
	}
	s.after(retryDelay, func() { s.attempt(o) })
}

// request is an operation's statement that was sent to a member.
type request struct {
	*operation
	sentAt time.Duration
}

func (s *simulation) send(o *operation, id bbrtype.MemberName) {
	s.countArrival(id)
	if s.isLost(o, id) || s.isLagging(o, id) {
		return
	}
	s.queues[id] = append(s.queues[id], request{o, s.now})
	s.serve(id)
}

// serve starts queued statements on the free workers of a member.
func (s *simulation) serve(id bbrtype.MemberName) {
	for s.busy[id] < memberWorkers && len(s.queues[id]) > 0 {
		r := s.queues[id][0]
		s.queues[id] = s.queues[id][1:]
		s.busy[id]++
		variation := math.Exp(0.5 * s.memberRNG.NormFloat64())
		s.after(time.Duration(variation*s.slowness(id)*float64(r.class.serviceTime)), func() { s.finish(r, id) })
	}
}

// finish ends the execution of a statement at a member and records the reply.
func (s *simulation) finish(r request, id bbrtype.MemberName) {
	s.busy[id]--
	s.serve(id)
	if s.now-r.arrived <= r.class.objective {
		s.inTime++
		s.inTimeByInstance[r.instance]++
	} else {
		s.late++
	}
	sched := s.schedulers[r.instance]
	sched.RecordReply(id, s.now-r.sentAt, position(1), s.clock())
	sched.Release(id, s.clock())
}

var (
	evenCallers = []float64{0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125}
	// In unevenCallers, the last instance is the only one in its data centre and serves
	// all callers of the data centre. The other data centres have several instances.
	unevenCallers = []float64{0.09, 0.09, 0.08, 0.12, 0.12, 0.13, 0.13, 0.24}
)

// TestLoads checks the fraction of operations that are answered within their latency
// objective for several workloads, and the gain over a FIFO queue.
func TestLoads(t *testing.T) {
	always := window{0, time.Hour}
	tests := map[string]struct {
		workload
		// minInTime is the minimum fraction of operations in time, and minLowestInTime
		// the minimum at any one instance. maxFailed is the maximum fraction of failed
		// operations.
		minInTime, minLowestInTime, maxFailed float64
		// maxTimedOut is the maximum number of attempts that wait until their timeout, as a
		// fraction of the operations.
		maxTimedOut float64
		// minGain is the minimum increase of the fraction in time over a FIFO queue.
		minGain float64
	}{
		"ordinary load": {
			workload:  workload{callerFractions: evenCallers, operationsPerSecond: 200, classes: typicalClasses, duration: 10 * time.Second},
			minInTime: 0.99, minLowestInTime: 0.98,
		},
		"uneven callers": {
			workload:  workload{callerFractions: unevenCallers, operationsPerSecond: 300, classes: typicalClasses, duration: 10 * time.Second},
			minInTime: 0.98, minLowestInTime: 0.95,
		},
		// The load of the primary is 1.3 times its capacity.
		"only the primary serves reads": {
			workload:  workload{callerFractions: evenCallers, operationsPerSecond: 190, classes: typicalClasses, duration: 20 * time.Second, replicasDraining: always},
			minInTime: 0.55, minLowestInTime: 0.4, maxFailed: 0.15, maxTimedOut: 0.1, minGain: 0.2,
		},
		"only the primary serves reads, uneven callers": {
			workload:  workload{callerFractions: unevenCallers, operationsPerSecond: 190, classes: typicalClasses, duration: 20 * time.Second, replicasDraining: always},
			minInTime: 0.55, minLowestInTime: 0.4, maxFailed: 0.15, maxTimedOut: 0.1, minGain: 0.2,
		},
		// The primary gets 1.3 times what it can do, because all replicas lag.
		"replicas lag": {
			workload:  workload{callerFractions: evenCallers, operationsPerSecond: 190, classes: typicalClasses, duration: 20 * time.Second, laggingReplicas: always},
			minInTime: 0.55, minLowestInTime: 0.4, maxFailed: 0.15, maxTimedOut: 0.1, minGain: 0.2,
		},
		"no primary for one second": {
			workload:  workload{callerFractions: evenCallers, operationsPerSecond: 200, classes: typicalClasses, duration: 10 * time.Second, noPrimary: window{4 * time.Second, 5 * time.Second}},
			minInTime: 0.93, minLowestInTime: 0.9, maxFailed: 0.02, maxTimedOut: 0.01,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := simulate(tt.workload)
			fifo := tt.workload
			fifo.fifo = true
			baseline := simulate(fifo)
			t.Logf("FIFO queue: %+v", baseline)
			t.Logf("scheduler:  %+v", got)
			is.Equal(got.inTime+got.late+got.failed, got.operations)
			is.True(got.fraction(got.inTime) >= tt.minInTime)
			is.True(got.fraction(got.failed) <= tt.maxFailed)
			is.True(got.fraction(got.timedOut) <= tt.maxTimedOut)
			is.True(got.lowestInTimeFraction >= tt.minLowestInTime)
			is.True(got.fraction(got.inTime)-baseline.fraction(baseline.inTime) >= tt.minGain)
		})
	}
}
