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

// A load is a pattern of work that is replayed against the boards of several
// instances that share the members of a group.
type load struct {
	// shares are the instances' parts of the callers.
	shares []float64
	// perSecond is the number of statements of all callers together.
	perSecond float64
	classes   []class
	lasts     time.Duration
	// readsAtPrimary is when no replica is fresh enough.
	readsAtPrimary window
	// noPrimary is when nothing can be done that only the primary can do.
	noPrimary window
	// plain replays without objectives: all wait in order of arrival, to the end of
	// their time, and each instance has the same share.
	plain bool
}

type window struct{ from, to time.Duration }

func (w window) holds(t time.Duration) bool { return t >= w.from && t < w.to }

type class struct {
	part        float64
	work        time.Duration
	primaryOnly bool
	priority    int
	objective   time.Duration
	timeout     time.Duration
	// budget is how long a caller asks again, at most retries times.
	budget time.Duration
}

const (
	// retries is how often a caller asks again, retryPause how long it waits before.
	retries    = 2
	retryPause = 50 * time.Millisecond
)

// usualClasses are short statements at the primary, long reads, and the many
// others.
var usualClasses = []class{
	{part: 0.15, work: 6 * time.Millisecond, primaryOnly: true, priority: 1, objective: 150 * time.Millisecond, timeout: 800 * time.Millisecond, budget: 2500 * time.Millisecond},
	{part: 0.15, work: 30 * time.Millisecond, priority: 2, objective: 500 * time.Millisecond, timeout: 2 * time.Second, budget: 8 * time.Second},
	{part: 0.62, work: 18 * time.Millisecond, priority: 2, objective: 250 * time.Millisecond, timeout: 800 * time.Millisecond, budget: 2500 * time.Millisecond},
	{part: 0.08, work: 18 * time.Millisecond, primaryOnly: true, priority: 2, objective: 250 * time.Millisecond, timeout: 800 * time.Millisecond, budget: 2500 * time.Millisecond},
}

// outcome counts operations by how they ended.
type outcome struct {
	asked, inTime, late, failed int
	// timedOut are the tries that waited to the end of their time for nothing.
	timedOut int
	// worst is the least part of one instance's operations that were in time.
	worst float64
}

func (o outcome) share(n int) float64 { return float64(n) / float64(o.asked) }

const (
	memberSlots = 3
	// maxPlaces are the connections that each member takes.
	maxPlaces = 23
)

// replay plays a load. Statements are served in order of arrival at a member.
type replay struct {
	load
	now    time.Duration
	events events
	boards []*Board
	busy   map[bbrtype.MemberName]int
	queues map[bbrtype.MemberName][]sent
	// callers draws what is asked, members how long it takes there.
	callers, members *rand.Rand
	outcome
	askedBy, inTimeBy []int
}

// job is an operation of one statement.
type job struct {
	class    class
	instance int
	arrived  time.Duration
	tries    int
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type events struct {
	list []event
	n    int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	return e.list[i].at < e.list[j].at || e.list[i].at == e.list[j].at && e.list[i].n < e.list[j].n
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (r *replay) after(d time.Duration, do func()) {
	r.events.n++
	heap.Push(&r.events, event{at: r.now + d, n: r.events.n, do: do})
}

// play returns how the statements of a load ended.
func play(l load) outcome {
	r := &replay{
		load: l, callers: rand.New(rand.NewPCG(7, 11)), members: rand.New(rand.NewPCG(13, 17)),
		busy: map[bbrtype.MemberName]int{}, queues: map[bbrtype.MemberName][]sent{},
		askedBy: make([]int, len(l.shares)), inTimeBy: make([]int, len(l.shares)),
	}
	for range l.shares {
		r.boards = append(r.boards, &Board{})
	}
	r.setMembers()
	for _, at := range []time.Duration{l.readsAtPrimary.from, l.readsAtPrimary.to, l.noPrimary.from, l.noPrimary.to} {
		r.after(at, r.setMembers)
	}
	for i, share := range l.shares {
		r.after(r.pause(share), func() { r.arrive(i) })
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	r.worst = 1
	for i := range l.shares {
		r.worst = min(r.worst, float64(r.inTimeBy[i])/float64(r.askedBy[i]))
	}
	return r.outcome
}

func (r *replay) mono() bbrtype.Mono { return start.Add(r.now) }

func (r *replay) pause(share float64) time.Duration {
	return time.Duration(r.callers.ExpFloat64() / (r.perSecond * share) * float64(time.Second))
}

func (r *replay) setMembers() {
	limit := (maxPlaces/2 + len(r.shares) - 1) / len(r.shares)
	for _, b := range r.boards {
		for _, id := range []bbrtype.MemberName{"p", "r1", "r2"} {
			most := limit + 1
			if r.plain {
				most = limit
			}
			m := Member{ID: id, Limit: limit, Most: most, Primary: id == "p" && !r.noPrimary.holds(r.now)}
			m.Leaving = id != "p" && r.readsAtPrimary.holds(r.now)
			b.SetMember(m)
			b.SetOpen(id, limit)
		}
		b.Dispatch(r.mono())
	}
}

func (r *replay) draw() class {
	x := r.callers.Float64()
	for _, c := range r.classes {
		if x -= c.part; x < 0 {
			return c
		}
	}
	return r.classes[len(r.classes)-1]
}

func (r *replay) arrive(i int) {
	if r.now > r.lasts {
		return
	}
	r.after(r.pause(r.shares[i]), func() { r.arrive(i) })
	r.asked++
	r.askedBy[i]++
	r.try(&job{class: r.draw(), instance: i, arrived: r.now})
}

// try is one attempt of a caller.
func (r *replay) try(j *job) {
	j.tries++
	over := false
	w := &Waiter{
		Want: Want{
			PrimaryOnly: j.class.primaryOnly, Priority: j.class.priority, Objective: j.class.objective,
			Due: r.mono().Add(j.class.objective), Deadline: r.mono().Add(j.class.timeout),
		},
		Granted:    func(id bbrtype.MemberName) { over = true; r.send(j, id) },
		TurnedAway: func() { over = true; r.again(j) },
	}
	if r.plain {
		w.Due, w.Objective, w.TurnedAway = 0, 0, nil
	}
	r.boards[j.instance].Ask(w, r.mono())
	r.after(j.class.timeout, func() {
		if !over && r.boards[j.instance].Remove(w) {
			r.timedOut++
			r.again(j)
		}
	})
}

// again lets a caller whose try was refused ask again.
func (r *replay) again(j *job) {
	if j.tries > retries || r.now-j.arrived+retryPause > j.class.budget {
		r.failed++
		return
	}
	r.after(retryPause, func() { r.try(j) })
}

// sent is a statement at a member.
type sent struct {
	*job
	at time.Duration
}

func (r *replay) send(j *job, id bbrtype.MemberName) {
	r.queues[id] = append(r.queues[id], sent{j, r.now})
	r.work(id)
}

func (r *replay) work(id bbrtype.MemberName) {
	for r.busy[id] < memberSlots && len(r.queues[id]) > 0 {
		j := r.queues[id][0]
		r.queues[id] = r.queues[id][1:]
		r.busy[id]++
		spread := math.Exp(0.5 * r.members.NormFloat64())
		r.after(time.Duration(spread*float64(j.class.work)), func() { r.answer(j, id) })
	}
}

func (r *replay) answer(j sent, id bbrtype.MemberName) {
	r.busy[id]--
	r.work(id)
	if r.now-j.arrived <= j.class.objective {
		r.inTime++
		r.inTimeBy[j.instance]++
	} else {
		r.late++
	}
	b := r.boards[j.instance]
	b.Answered(id, r.now-j.at, place(1), r.mono())
	b.Release(id, r.mono())
}

var (
	evenShares = []float64{0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125}
	// unevenShares are those of an instance that has a data centre to itself beside
	// others that share theirs.
	unevenShares = []float64{0.09, 0.09, 0.08, 0.12, 0.12, 0.13, 0.13, 0.24}
)

func TestLoads(t *testing.T) {
	always := window{0, time.Hour}
	tests := map[string]struct {
		load
		// inTime is the least part in time, worst the least at one instance, failed the
		// largest that is not served.
		inTime, worst, failed float64
		// betterBy is the least gain of operations in time against the plain order.
		betterBy float64
	}{
		"an ordinary day": {
			load:   load{shares: evenShares, perSecond: 200, classes: usualClasses, lasts: 10 * time.Second},
			inTime: 0.99, worst: 0.98,
		},
		"callers are spread unevenly": {
			load:   load{shares: unevenShares, perSecond: 300, classes: usualClasses, lasts: 10 * time.Second},
			inTime: 0.98, worst: 0.95,
		},
		// The primary has work for 1.3 times its slots.
		"replicas lag": {
			load:   load{shares: evenShares, perSecond: 190, classes: usualClasses, lasts: 20 * time.Second, readsAtPrimary: always},
			inTime: 0.55, worst: 0.4, failed: 0.15, betterBy: 0.2,
		},
		"replicas lag and callers are spread unevenly": {
			load:   load{shares: unevenShares, perSecond: 190, classes: usualClasses, lasts: 20 * time.Second, readsAtPrimary: always},
			inTime: 0.55, worst: 0.4, failed: 0.15, betterBy: 0.2,
		},
		"there is no primary for a while": {
			load:   load{shares: evenShares, perSecond: 200, classes: usualClasses, lasts: 10 * time.Second, noPrimary: window{4 * time.Second, 5 * time.Second}},
			inTime: 0.93, worst: 0.9, failed: 0.02,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := play(tt.load)
			plain := tt.load
			plain.plain = true
			before := play(plain)
			t.Logf("plain: %+v", before)
			t.Logf("now:   %+v", o)
			is.Equal(o.inTime+o.late+o.failed, o.asked)
			is.True(o.share(o.inTime) >= tt.inTime)
			is.True(o.share(o.failed) <= tt.failed)
			is.True(o.worst >= tt.worst)
			is.True(o.share(o.inTime)-before.share(before.inTime) >= tt.betterBy)
		})
	}
}
