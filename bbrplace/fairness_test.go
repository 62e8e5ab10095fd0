package bbrplace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// tenantClass is the statements of one tenant and priority in a tenantReplay.
type tenantClass struct {
	tenant    bbrtype.TenantName
	priority  int
	perSecond float64
	// burst multiplies perSecond in the burst of the replay, 0 counts as 1.
	burst float64
	// work is the time that each statement takes at the member.
	work time.Duration
}

// tenantReplay replays the statements of tenants at one instance before one member.
type tenantReplay struct {
	classes  []tenantClass
	slots    int
	duration time.Duration
	burst    window
	timeout  time.Duration
	// isBlind is set if the scheduler is not told the tenants, for comparison.
	isBlind bool
}

// tenantOutcome is what became of the statements of a tenantClass.
type tenantOutcome struct {
	sent, served int
	longestWait  time.Duration
	// longestGap is the longest time without a grant while statements waited.
	longestGap time.Duration
}

func (o tenantOutcome) servedFraction() float64 { return float64(o.served) / float64(max(o.sent, 1)) }

// running is a statement at the member.
type running struct {
	endsAt time.Duration
}

// waiting is a statement in the queue of a replay.
type waiting struct {
	*Waiter
	class   int
	arrived time.Duration
}

// replayState is the state of a running tenantReplay, which advances in steps.
type replayState struct {
	tenantReplay
	scheduler Scheduler
	now       time.Duration
	running   []running
	waiting   []*waiting
	outcomes  []tenantOutcome
	grantedAt []time.Duration
}

// replayStep is the time between two steps of a replay.
const replayStep = time.Millisecond

// run returns what became of the statements of each class.
func (r tenantReplay) run() []tenantOutcome {
	s := &replayState{tenantReplay: r, outcomes: make([]tenantOutcome, len(r.classes)), grantedAt: make([]time.Duration, len(r.classes))}
	s.scheduler.SetMember(Member{ID: "p", Primary: true, SameDataCentre: true, BaseLimit: r.slots})
	rng := rand.New(rand.NewPCG(3, 5))
	for ; s.now < r.duration; s.now += replayStep {
		s.end()
		for i, c := range r.classes {
			perStep := c.perSecond * replayStep.Seconds()
			if r.burst.contains(s.now) && c.burst > 0 {
				perStep *= c.burst
			}
			for ; rng.Float64() < perStep; perStep-- {
				s.submit(i)
			}
		}
		s.expire()
	}
	return s.outcomes
}

func (s *replayState) clock() bbrtype.Mono { return start.Add(s.now) }

// end ends the statements that are done.
func (s *replayState) end() {
	for i := 0; i < len(s.running); {
		if s.running[i].endsAt > s.now {
			i++
			continue
		}
		s.running = append(s.running[:i], s.running[i+1:]...)
		s.scheduler.RecordReply("p", 10*time.Millisecond, position(1), s.clock())
		s.scheduler.Release("p", s.clock())
	}
}

func (s *replayState) submit(class int) {
	c := s.classes[class]
	w := &waiting{class: class, arrived: s.now}
	w.Waiter = &Waiter{
		Requirements: Requirements{Tenant: c.tenant, Priority: c.priority, Deadline: s.clock().Add(s.timeout)},
		OnGrant:      func(bbrtype.MemberName) { s.grant(w) },
		OnReject:     func(RejectReason) {},
	}
	if s.isBlind {
		w.Tenant = ""
	}
	o := &s.outcomes[class]
	o.sent++
	s.waiting = append(s.waiting, w)
	if s.now-s.grantedAt[class] > 0 && !s.hasWaiting(class, w) {
		s.grantedAt[class] = s.now
	}
	s.scheduler.Submit(w.Waiter, s.clock())
}

func (s *replayState) hasWaiting(class int, except *waiting) bool {
	for _, w := range s.waiting {
		if w != except && w.class == class && w.queued {
			return true
		}
	}
	return false
}

func (s *replayState) grant(w *waiting) {
	o := &s.outcomes[w.class]
	o.served++
	o.longestWait = max(o.longestWait, s.now-w.arrived)
	o.longestGap = max(o.longestGap, s.now-s.grantedAt[w.class])
	s.grantedAt[w.class] = s.now
	s.running = append(s.running, running{endsAt: s.now + s.classes[w.class].work})
}

// expire removes the statements that are past their deadline.
func (s *replayState) expire() {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if w.queued && s.now-w.arrived >= s.timeout {
			s.scheduler.Remove(w.Waiter)
		}
		if w.queued {
			kept = append(kept, w)
		}
	}
	s.waiting = kept
}

// TestHotTenant replays a tenant that sends five times what it usually does: the others
// are served as before. The member can do 400 statements a second.
func TestHotTenant(t *testing.T) {
	is := is.New(t)
	r := tenantReplay{
		classes: []tenantClass{
			{tenant: "hot", priority: 2, perSecond: 120, burst: 5, work: 10 * time.Millisecond},
			{tenant: "b", priority: 2, perSecond: 60, work: 10 * time.Millisecond},
			{tenant: "c", priority: 2, perSecond: 60, work: 10 * time.Millisecond},
			{tenant: "small", priority: 2, perSecond: 5, work: 10 * time.Millisecond},
		},
		slots: 4, duration: 8 * time.Second, burst: window{2 * time.Second, 6 * time.Second}, timeout: 800 * time.Millisecond,
	}
	got := r.run()
	r.isBlind = true
	blind := r.run()
	t.Logf("with tenants %+v, without %+v", got, blind)
	for _, o := range got[1:] {
		is.Equal(o.servedFraction(), 1.0)
		is.True(o.longestWait < 100*time.Millisecond)
	}
	is.True(blind[1].servedFraction() < 0.95) // the order of arrival lets the tenant push others out
	is.True(got[0].served >= 8*120)           // it gets at least what it usually sends
}

// TestBurstOfLookups replays a burst of 2.6 times the usual lookups, which have a low
// priority, beside fault entries of the highest.
func TestBurstOfLookups(t *testing.T) {
	is := is.New(t)
	got := tenantReplay{
		classes: []tenantClass{
			{tenant: "a", priority: 0, perSecond: 40, work: 10 * time.Millisecond},
			{tenant: "a", priority: 2, perSecond: 150, burst: 2.6, work: 10 * time.Millisecond},
			{tenant: "b", priority: 2, perSecond: 100, burst: 2.6, work: 10 * time.Millisecond},
		},
		slots: 4, duration: 8 * time.Second, burst: window{2 * time.Second, 6 * time.Second}, timeout: 800 * time.Millisecond,
	}.run()
	t.Logf("%+v", got)
	is.Equal(got[0].servedFraction(), 1.0)
	is.True(got[0].longestWait <= 20*time.Millisecond) // a slot becomes free, or two
}

// TestFloorOfTheLowestPriority checks that statements of the highest priority that use all
// slots leave some to the lower ones.
func TestFloorOfTheLowestPriority(t *testing.T) {
	is := is.New(t)
	got := tenantReplay{
		classes: []tenantClass{
			{tenant: "a", priority: 0, perSecond: 600, work: 10 * time.Millisecond},
			{tenant: "a", priority: 1, perSecond: 20, work: 10 * time.Millisecond},
			{tenant: "b", priority: 2, perSecond: 20, work: 10 * time.Millisecond},
		},
		slots: 4, duration: 8 * time.Second, timeout: 2 * time.Second,
	}.run()
	t.Logf("%+v", got)
	for _, o := range got[1:] {
		is.True(o.longestGap <= starvationInterval+50*time.Millisecond)
	}
	is.True(got[0].served > 8*350) // the floor costs few slots
}

// TestNoTenantStarves checks with random statements that the slots of a priority are
// shared: between two tenants with statements in the queue, none gets more than one slot
// more than its turn.
func TestNoTenantStarves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s Scheduler
		s.SetMember(Member{ID: "p", Primary: true, SameDataCentre: true, BaseLimit: 1})
		s.Submit(&Waiter{OnGrant: func(bbrtype.MemberName) {}}, start)
		tenants := []bbrtype.TenantName{"a", "b", "c"}
		granted, queued := map[bbrtype.TenantName]int{}, map[bbrtype.TenantName]int{}
		for _, tenant := range tenants {
			n := rapid.IntRange(1, 20).Draw(rt, "statements")
			queued[tenant] = n
			for range n {
				s.Submit(&Waiter{
					Requirements: Requirements{Tenant: tenant, LatencyObjective: time.Duration(rapid.IntRange(1, 5).Draw(rt, "objective")) * time.Second},
					OnGrant:      func(bbrtype.MemberName) { granted[tenant]++ },
				}, start)
			}
		}
		for s.QueueLen() > 0 {
			s.Release("p", start)
			for _, a := range tenants {
				for _, b := range tenants {
					if granted[a] < queued[a] && granted[b] < queued[b] && granted[a]-granted[b] > 1 {
						rt.Fatalf("%s got %d slots, %s %d", a, granted[a], b, granted[b])
					}
				}
			}
		}
	})
}

// TestOrderOfRejection checks which statement is rejected when the queue is full.
func TestOrderOfRejection(t *testing.T) {
	tests := map[string]struct {
		waiting      []Requirements
		submitted    Requirements
		wantRejected bbrtype.TenantName
		wantPriority int
	}{
		"the lowest priority first": {
			waiting:   []Requirements{{Tenant: "a", Priority: 2}, {Tenant: "b", Priority: 1}, {Tenant: "b", Priority: 1}},
			submitted: Requirements{Tenant: "b", Priority: 0}, wantRejected: "a", wantPriority: 2,
		},
		"the tenant with the most statements": {
			waiting:   []Requirements{{Tenant: "a", Priority: 1}, {Tenant: "b", Priority: 1}, {Tenant: "b", Priority: 1}},
			submitted: Requirements{Tenant: "a", Priority: 1}, wantRejected: "b", wantPriority: 1,
		},
		"the new statement of the tenant with the most": {
			waiting:   []Requirements{{Tenant: "a", Priority: 1}, {Tenant: "b", Priority: 1}, {Tenant: "b", Priority: 1}},
			submitted: Requirements{Tenant: "b", Priority: 1}, wantRejected: "b", wantPriority: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Scheduler
			var rejected []Requirements
			submit := func(r Requirements) {
				s.Submit(&Waiter{Requirements: r, OnGrant: func(bbrtype.MemberName) {}, OnReject: func(reason RejectReason) {
					is.Equal(reason, RejectQueueFull)
					rejected = append(rejected, r)
				}}, start)
			}
			for i := range maxWaiting {
				submit(tt.waiting[i%len(tt.waiting)])
			}
			is.Equal(len(rejected), 0)
			submit(tt.submitted)
			is.Equal(s.QueueLen(), maxWaiting)
			is.Equal(len(rejected), 1)
			is.Equal(rejected[0].Tenant, tt.wantRejected)
			is.Equal(rejected[0].Priority, tt.wantPriority)
		})
	}
}
