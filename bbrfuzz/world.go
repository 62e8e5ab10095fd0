// Package bbrfuzz runs the decision packages joined together: several
// instances, members of database groups and the store, as simple fakes, under
// one seeded schedule of virtual time with faults. An oracle compares what
// callers were told with the surviving history and stops at the first broken
// promise.
//
// The same seed gives the same run. Nothing here does input or output.
//
// # Usage
//
//	w := bbrfuzz.NewWorld(bbrfuzz.Options{Seed: 7})
//	err := w.Run(100000)
//	fmt.Println(w.Trace())
package bbrfuzz

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Mutation switches one rule off, so that a test can show that the oracle
// notices.
type Mutation string

// The mutations.
const (
	MutateNothing Mutation = ""
	// MutateAuthority acknowledges without authority.
	MutateAuthority Mutation = "authority"
	// MutateFenceWait does not wait for a fence to be confirmed or to lapse.
	MutateFenceWait Mutation = "fenceWait"
	// MutateVouch takes the promises of stewards for granted.
	MutateVouch Mutation = "vouch"
	// MutateConfirm acknowledges before a replica holds the write.
	MutateConfirm Mutation = "confirm"
	// MutateCoverage promotes without regard to missing replicas.
	MutateCoverage Mutation = "coverage"
	// MutateToken reads from any replica.
	MutateToken Mutation = "token"
	// MutateAge ignores the age of data.
	MutateAge Mutation = "age"
	// MutateKey runs keyed requests without their key.
	MutateKey Mutation = "key"
	// MutateTombstone says that a lost request was not run without placing a
	// tombstone.
	MutateTombstone Mutation = "tombstone"
	// MutateNonce takes every taken index for somebody else's record.
	MutateNonce Mutation = "nonce"
	// MutateRemoved keeps sending work to members that were taken out.
	MutateRemoved Mutation = "removed"
)

// Options describe a run.
type Options struct {
	Seed      uint64
	Instances int
	Groups    int
	Members   int
	Confirm   int
	// Unconfirmed acknowledges writes that no replica holds. A change of
	// primary may lose them; callers who saw them are told.
	Unconfirmed bool
	// Faults is the mean number of faults a minute of virtual time.
	Faults float64
	// Termless makes members take orders without regard to terms, like a
	// database without fencing of its own.
	Termless bool
	Mutation Mutation
	// Kinds limits the random faults to some kinds.
	Kinds []FaultKind
	// Schedule is a fixed list of faults instead of random ones.
	Schedule []Fault
}

func (o Options) withDefaults() Options {
	if o.Instances == 0 {
		o.Instances = 5
	}
	if o.Groups == 0 {
		o.Groups = 2
	}
	if o.Members == 0 {
		o.Members = 3
	}
	if o.Confirm == 0 && !o.Unconfirmed {
		o.Confirm = 1
	}
	if o.Faults == 0 {
		o.Faults = 20
	}
	return o
}

// Durations of the world, in virtual time.
const (
	tickEvery     = 50 * time.Millisecond
	callTimeout   = time.Second
	storeTimeout  = 2 * time.Second
	maxDelay      = 8 * time.Millisecond
	lateDelay     = 3 * time.Second
	callerThink   = 120 * time.Millisecond
	replicateStep = 15 * time.Millisecond
	calmLength    = 40 * time.Second
	roundLength   = 40 * time.Second
	// maxDrift is the greatest error of a clock's rate.
	maxDrift = 0.01
	// maxAge is the read policy's age.
	maxAge = 4 * time.Second
)

// traceLength bounds the kept lines of the trace.
const traceLength = 400

// World is one run.
type World struct {
	opts Options
	r    *rand.Rand

	now   time.Duration
	queue eventHeap
	seq   uint64
	steps int

	nodes   []*node
	store   *store
	groups  map[bbrtype.GroupName]*fakeGroup
	cuts    map[link]bool
	callers []*fakeCaller
	ops     *operators
	oracle  *oracle
	nextID  int
	calm    bool
	// calms counts the times of calm that have ended.
	calms int

	trace  []string
	broken error
}

// link is a direction between two ends.
type link struct{ from, to string }

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(*event); ok {
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// NewWorld prepares a run.
func NewWorld(opts Options) *World {
	opts = opts.withDefaults()
	w := &World{
		opts:   opts,
		r:      rand.New(rand.NewPCG(opts.Seed, 0x9e3779b97f4a7c15)),
		groups: map[bbrtype.GroupName]*fakeGroup{},
		cuts:   map[link]bool{},
	}
	w.store = newStore(w)
	w.oracle = newOracle(w)
	for n := range opts.Groups {
		w.addGroup(bbrtype.GroupName(fmt.Sprintf("g%d", n+1)))
	}
	for n := range opts.Instances {
		w.startNode(n)
	}
	w.ops = newOperators(w)
	for n := range 2 * opts.Instances {
		w.addCaller(n)
	}
	w.scheduleFaults()
	return w
}

// Run processes events until the number of steps is reached or a promise is
// broken. Then it ends all faults, and checks that service resumes and that
// what callers were told is true.
func (w *World) Run(steps int) error {
	w.process(func() bool { return w.steps < steps })
	calms := w.calms
	w.beginCalm()
	w.process(func() bool { return w.calms == calms })
	return w.broken
}

// process processes events while a condition holds.
func (w *World) process(goesOn func() bool) {
	for goesOn() && w.broken == nil && w.queue.Len() > 0 {
		e, ok := heap.Pop(&w.queue).(*event)
		if !ok {
			break
		}
		w.now = e.at
		w.steps++
		e.do()
	}
}

// Steps returns the number of events processed.
func (w *World) Steps() int { return w.steps }

// Summary tells what the run did.
func (w *World) Summary() string { return w.oracle.summary() }

// Trace returns the last lines of what happened.
func (w *World) Trace() string { return strings.Join(w.trace, "\n") }

// fail stops the run.
func (w *World) fail(promise Promise, format string, args ...any) {
	if w.broken == nil {
		w.broken = &BrokenError{Promise: promise, At: w.now, What: fmt.Sprintf(format, args...)}
		w.note("BROKEN %s: %s", promise, fmt.Sprintf(format, args...))
	}
}

// note adds a line to the trace.
func (w *World) note(format string, args ...any) {
	line := fmt.Sprintf("%9.3fs ", w.now.Seconds()) + fmt.Sprintf(format, args...)
	w.trace = append(w.trace, line)
	if len(w.trace) > 2*traceLength {
		w.trace = append([]string(nil), w.trace[traceLength:]...)
	}
}

// after schedules something.
func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{at: w.now + max(d, 0), seq: w.seq, do: do})
}

// delay draws the time that a message takes. A few are late.
func (w *World) delay() time.Duration {
	if !w.calm && w.r.IntN(200) == 0 {
		return time.Duration(w.r.Int64N(int64(lateDelay)))
	}
	return time.Duration(w.r.Int64N(int64(maxDelay))) + time.Microsecond
}

// isCut reports whether messages from one end to the other are lost.
func (w *World) isCut(from, to string) bool { return w.cuts[link{from, to}] }

// call sends a request and takes the reply. The handler runs at the other end,
// the reply's function at the caller, with ok false if none came in time.
// Requests and replies are lost on cut links. A few requests arrive twice.
func (w *World) call(from *node, to string, twice bool, timeout time.Duration, handle func() (any, bool), reply func(v any, ok bool)) {
	incarnation := from.incarnation
	answered := false
	finish := func(v any, ok bool) {
		if answered {
			return
		}
		answered = true
		from.run(incarnation, func() { reply(v, ok) })
	}
	w.after(timeout, func() { finish(nil, false) })
	send := func() {
		if w.isCut(from.name, to) {
			return
		}
		w.after(w.delay(), func() {
			v, ok := handle()
			if !ok || w.isCut(to, from.name) {
				return
			}
			w.after(w.delay(), func() { finish(v, true) })
		})
	}
	send()
	if twice && !w.calm && w.r.IntN(50) == 0 {
		send()
	}
}

// controlOptions are the settings of the control logic under test.
func (w *World) controlOptions(self int) bbrcontrol.Options {
	o := bbrcontrol.DefaultOptions(w.instanceOf(self))
	o.Authority.Holdover = 10 * time.Second
	o.SnapshotEvery = 20
	o.Nonce = func() string {
		w.nextID++
		return fmt.Sprintf("n%d", w.nextID)
	}
	return o
}

// policy is the groups' policy.
func (w *World) policy() bbrfailover.Policy {
	return bbrfailover.Policy{OnLoss: bbrfailover.LossWait}
}
