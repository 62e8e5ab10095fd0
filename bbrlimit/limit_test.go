package bbrlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

const (
	acme bbrtype.TenantName = "acme"
	// tick is the time between two steps of a fleet.
	tick = 10 * time.Millisecond
	// maxInstances is the most instances of a fleet to which some are added.
	maxInstances = 60
	// manySpare is more spare tokens than an owner grants at once.
	manySpare = 1000
)

// fleet is instances that limit the operations of one tenant, without a network.
type fleet struct {
	limit     Limit
	instances []*instance
	listed    []Instance
	now       bbrtype.Mono
	// ranAt holds when operations began.
	ranAt []bbrtype.Mono
	asks  int
}

// instance is one instance of a fleet.
type instance struct {
	Instance
	holder Holder
	owner  Owner
	// listed is the list of instances that this one knows.
	listed []Instance
	// cut instances reach no other one, suspended ones do nothing.
	cut, suspended bool
	// late is a grant whose reply arrives when the instance is no longer suspended.
	late *lateGrant
}

type lateGrant struct {
	askedAt bbrtype.Mono
	grant   Grant
}

func newFleet(l Limit, instances, dataCentres int) *fleet {
	f := &fleet{limit: l, now: bbrtype.Mono(time.Hour)}
	for i := range instances {
		id := Instance{ID: bbrtype.InstanceID(fmt.Sprint("i", i)), DataCentre: bbrtype.DataCentre(fmt.Sprint("dc", i%dataCentres))}
		f.listed = append(f.listed, id)
		f.instances = append(f.instances, &instance{Instance: id, owner: Owner{StartedAt: f.now}})
	}
	for _, i := range f.instances {
		i.listed = f.listed
	}
	return f
}

// join adds an instance. The others know of it after relist.
func (f *fleet) join() {
	n := len(f.instances)
	if n >= maxInstances {
		return
	}
	id := Instance{ID: bbrtype.InstanceID(fmt.Sprint("i", n)), DataCentre: f.instances[n/2].DataCentre}
	f.listed = append(slices.Clone(f.listed), id)
	f.instances = append(f.instances, &instance{Instance: id, owner: Owner{StartedAt: f.now}, listed: f.listed})
}

// relist lets an instance read the list.
func (f *fleet) relist(i *instance) {
	if len(i.listed) == len(f.listed) {
		return
	}
	i.listed = f.listed
	i.owner.Relist(f.now, func(bbrtype.TenantName) bool { return i.owns() })
}

// owns reports whether an instance is an owner by its list.
func (i *instance) owns() bool {
	return slices.Contains(Owners(acme, i.DataCentre, i.listed), i.Instance)
}

// takesOver reports whether an instance grants tokens, after the runners-up have yielded.
func (f *fleet) takesOver(i *instance) bool {
	if !i.owns() || i.owner.HasYielded(f.now, acme) {
		return false
	}
	if i.owner.Has(acme) {
		return true
	}
	runnersUp := RunnersUp(acme, i.DataCentre, i.listed)
	if slices.ContainsFunc(runnersUp, func(id bbrtype.InstanceID) bool { return !i.reaches(f.byID(id)) }) {
		return false
	}
	var sum Handover
	for _, id := range runnersUp {
		h := f.byID(id).owner.Yield(f.now, acme)
		sum.Owned, sum.Tokens = sum.Owned || h.Owned, sum.Tokens+h.Tokens
	}
	i.owner.TakeOver(f.now, acme, f.limit, len(Owners(acme, i.DataCentre, i.listed)), sum)
	return true
}

func (f *fleet) byID(id bbrtype.InstanceID) *instance {
	return f.instances[slices.IndexFunc(f.instances, func(i *instance) bool { return i.ID == id })]
}

// reaches reports whether an instance gets replies of another one.
func (i *instance) reaches(other *instance) bool {
	return i == other || !i.cut && !other.cut && !other.suspended
}

// begin begins an operation at an instance, and reports whether it runs.
func (f *fleet) begin(i *instance) (bool, time.Duration) {
	if i.suspended {
		return false, 0
	}
	i.holder.Count(f.now, acme)
	for range 2 {
		a := i.holder.Admit(f.now, acme, f.limit)
		switch a.Outcome {
		case OutcomeAdmitted:
			f.ranAt = append(f.ranAt, f.now)
			return true, 0
		case OutcomeRejected:
			return false, a.RetryAfter
		}
		if grant, ok := f.ask(i, a.Spare); ok {
			i.holder.Add(acme, f.limit, f.now, f.now, grant)
		}
	}
	return false, 0
}

// ask asks the first owner that an instance reaches.
func (f *fleet) ask(i *instance, spare int) (Grant, bool) {
	owners := Owners(acme, i.DataCentre, i.listed)
	for _, o := range owners {
		owner := f.byID(o.ID)
		if !i.reaches(owner) || !f.takesOver(owner) {
			continue
		}
		f.asks++
		f.balance(owner, owners)
		return owner.owner.Take(f.now, acme, f.limit, len(owners), Request{Needed: 1, Spare: spare}), true
	}
	return Grant{}, false
}

// balance takes tokens from the other owners if an owner wants some.
func (f *fleet) balance(owner *instance, owners []Instance) {
	wanted, _ := owner.owner.Shortage(f.now, acme, f.limit, len(owners), 1)
	for _, o := range owners {
		other := f.byID(o.ID)
		if wanted <= 0 || other == owner || !owner.reaches(other) || !f.takesOver(other) {
			continue
		}
		f.asks++
		grant := other.owner.Give(f.now, acme, f.limit, len(owners), wanted)
		owner.owner.Receive(f.now, acme, grant.Tokens)
		wanted -= grant.Tokens
	}
}

// mostInWindow returns the most operations that ran in any Window.
func (f *fleet) mostInWindow() int {
	most, first := 0, 0
	for n, at := range f.ranAt {
		for at.Sub(f.ranAt[first]) > Window {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// phase is a time for which some of a fleet's instances have demand.
type phase struct {
	// demand is a multiple of the limit's rate.
	demand float64
	ticks  int
	// first and count choose the instances with demand.
	first, count int
	// suspended is the part of the instances that is suspended for the phase, while each
	// waits for a reply.
	suspended float64
}

func drawPhase(instances int) *rapid.Generator[phase] {
	return rapid.Custom(func(t *rapid.T) phase {
		p := phase{
			demand: rapid.SampledFrom([]float64{0, 0.01, 0.6, 1, 10, 40}).Draw(t, "demand"),
			ticks:  rapid.IntRange(1, 400).Draw(t, "ticks"),
			first:  rapid.IntRange(0, instances-1).Draw(t, "first"),
		}
		p.count = rapid.IntRange(1, instances-p.first).Draw(t, "count")
		if rapid.Bool().Draw(t, "suspends") {
			p.suspended = rapid.Float64Range(0, 0.9).Draw(t, "suspended")
		}
		return p
	})
}

// TestNoWindowExceedsTheBound lets instances be killed, suspended, cut off and added, and demand
// come, go and move between instances, while replies come late and lists differ. It guards against a limit that is
// exceeded because tokens are used twice or long after they were granted.
func TestNoWindowExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{RatePerSecond: rapid.Float64Range(0.5, 60).Draw(t, "rate")}
		limit.Burst = limit.RatePerSecond * rapid.Float64Range(0, 8).Draw(t, "burst")
		instances := rapid.IntRange(1, 40).Draw(t, "instances")
		f := newFleet(limit, instances, rapid.IntRange(1, 5).Draw(t, "dataCentres"))
		f.now = f.now.Add(time.Minute)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		faults := rapid.SampledFrom([]float64{0, 0.0005, 0.02}).Draw(t, "faults")
		for _, p := range rapid.SliceOfN(drawPhase(instances), 1, 12).Draw(t, "phases") {
			f.play(p, r, faults)
		}
		if most := f.mostInWindow(); float64(most) > limit.Bound() {
			t.Fatalf("%d operations in %v, at most %.1f may run", most, Window, limit.Bound())
		}
	})
}

// play plays a phase with faults of the given probability.
func (f *fleet) play(p phase, r *rand.Rand, faults float64) {
	for _, i := range f.instances {
		if r.Float64() < p.suspended {
			f.suspend(i)
		}
	}
	for range p.ticks {
		f.now = f.now.Add(tick)
		for _, i := range f.instances {
			if r.Float64() < faults {
				f.strike(i, r)
			}
		}
		for range poisson(r, p.demand*f.limit.RatePerSecond*tick.Seconds()) {
			f.begin(f.instances[p.first+r.IntN(p.count)])
		}
	}
	for _, i := range f.instances {
		f.resume(i)
	}
}

// strike changes the state of an instance at random.
func (f *fleet) strike(i *instance, r *rand.Rand) {
	switch r.IntN(6) {
	case 0:
		i.holder, i.owner, i.late, i.listed = Holder{}, Owner{StartedAt: f.now}, nil, f.listed
	case 1:
		i.cut = !i.cut
	case 2:
		f.suspend(i)
	case 3:
		f.resume(i)
	case 4:
		f.join()
	case 5:
		f.relist(i)
	}
}

// suspend suspends an instance while it waits for an owner, whose reply it gets when it is
// resumed.
func (f *fleet) suspend(i *instance) {
	if i.suspended {
		return
	}
	if grant, ok := f.ask(i, manySpare); ok {
		i.late = &lateGrant{askedAt: f.now, grant: grant}
	}
	i.suspended = true
}

func (f *fleet) resume(i *instance) {
	i.suspended = false
	if i.late != nil {
		i.holder.Add(acme, f.limit, i.late.askedAt, f.now, i.late.grant)
		i.late = nil
	}
}

func poisson(r *rand.Rand, mean float64) int {
	n, p := 0, r.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= r.Float64()
	}
	return n
}

// TestShareOfTheLimitThatIsUsed plays 20 s of demand at a part of a tenant's limit over 80
// instances, of which some have many more of its callers than others. What is refused below
// the limit is lost to callers; what runs above it is kept to the bound.
func TestShareOfTheLimitThatIsUsed(t *testing.T) {
	cases := map[string]struct {
		limit Limit
		// demand is the part of the rate that callers begin.
		demand float64
		// oneDataCentre lets all callers be in one data centre.
		oneDataCentre bool
		// minAdmitted is the least part that is admitted of the lower one of demand and
		// rate.
		minAdmitted float64
	}{
		"large, usual":                      {limit: Limit{400, 400}, demand: 0.625, minAdmitted: 1},
		"large, near":                       {limit: Limit{400, 400}, demand: 0.95, minAdmitted: 0.995},
		"large, five times the usual":       {limit: Limit{400, 400}, demand: 3.1, minAdmitted: 0.98},
		"large, usual in one data centre":   {limit: Limit{400, 400}, demand: 0.625, oneDataCentre: true, minAdmitted: 0.995},
		"middle, usual":                     {limit: Limit{30, 30}, demand: 0.625, minAdmitted: 1},
		"middle, near":                      {limit: Limit{30, 30}, demand: 0.95, minAdmitted: 0.98},
		"middle, five times the usual":      {limit: Limit{30, 30}, demand: 3.1, minAdmitted: 0.98},
		"middle, usual in one data centre":  {limit: Limit{30, 30}, demand: 0.625, oneDataCentre: true, minAdmitted: 0.995},
		"small, usual":                      {limit: Limit{2, 2}, demand: 0.625, minAdmitted: 0.98},
		"small, near":                       {limit: Limit{2, 2}, demand: 0.95, minAdmitted: 0.9},
		"small, five times the usual":       {limit: Limit{2, 2}, demand: 3.1, minAdmitted: 0.9},
		"small, usual in one data centre":   {limit: Limit{2, 2}, demand: 0.625, oneDataCentre: true, minAdmitted: 0.98},
		"smallest, without a burst, usual":  {limit: Limit{1, 0}, demand: 0.625, minAdmitted: 0.95},
		"smallest, without a burst, by ten": {limit: Limit{1, 0}, demand: 10, minAdmitted: 0.9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.limit, 80, 4)
			// The buckets have filled before the callers come.
			f.now = f.now.Add(20 * time.Second)
			r := rand.New(rand.NewPCG(1, 2))
			begun, admitted := 0, 0
			const seconds = 20
			for range seconds * int(time.Second/tick) {
				f.now = f.now.Add(tick)
				for range poisson(r, c.demand*c.limit.RatePerSecond*tick.Seconds()) {
					// Squaring gives the first instances more callers.
					p := r.Float64()
					n := int(p * p * float64(len(f.instances)))
					if c.oneDataCentre {
						n -= n % 4
					}
					begun++
					if ok, _ := f.begin(f.instances[n]); ok {
						admitted++
					}
				}
			}
			owed := min(float64(begun), c.limit.RatePerSecond*seconds)
			t.Logf("begun %d, admitted %d of %.0f owed (%.3f), %d in the busiest window of at most %.0f, %.2f messages an operation",
				begun, admitted, owed, float64(admitted)/owed, f.mostInWindow(), c.limit.Bound(), float64(f.asks)/float64(begun))
			is.True(float64(admitted) >= c.minAdmitted*owed)
			is.True(float64(f.mostInWindow()) <= c.limit.Bound())
		})
	}
}

// TestSpareTokensDoNotAddUp lets instances collect spare tokens in turns while there is little
// demand, and then all begin as many operations as they can.
func TestSpareTokensDoNotAddUp(t *testing.T) {
	limits := map[string]Limit{
		"small":             {2, 2},
		"small, long burst": {2, 30},
		"middle":            {30, 30},
		"long burst":        {30, 240},
		"large":             {400, 400},
	}
	for name, limit := range limits {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lifetime := limit.TokenLifetime()
			for _, wait := range []time.Duration{0, lifetime / 2, lifetime - tick, 3 * lifetime} {
				for _, suspended := range []bool{false, true} {
					f := newFleet(limit, 80, 4)
					f.now = f.now.Add(time.Minute)
					f.collectSpare(lifetime/80, suspended)
					f.now = f.now.Add(wait)
					for _, i := range f.instances {
						f.resume(i)
					}
					f.exhaust()
					is.True(float64(f.mostInWindow()) <= limit.Bound())
				}
			}
		})
	}
}

// exhaust plays a window in which all instances begin many more operations than may run.
func (f *fleet) exhaust() {
	f.play(phase{demand: 100, ticks: int(Window/tick) + 1, count: len(f.instances)}, rand.New(rand.NewPCG(1, 1)), 0)
}

// TestRestartsAddNoTokens restarts all instances after each tenth of a window in which they
// begin as many operations as they can.
func TestRestartsAddNoTokens(t *testing.T) {
	is := is.New(t)
	limit := Limit{30, 30}
	f := newFleet(limit, 8, 4)
	f.now = f.now.Add(time.Minute)
	for range 10 {
		f.play(phase{demand: 100, ticks: int(Window/tick) / 10, count: 8}, rand.New(rand.NewPCG(1, 1)), 0)
		for _, i := range f.instances {
			i.holder, i.owner = Holder{}, Owner{StartedAt: f.now}
		}
	}
	is.True(float64(f.mostInWindow()) <= limit.Bound())
}

// TestBucketsHoldNoMoreThanTheirCapacity guards against tokens of other owners, or of a limit
// that was lowered, that a bucket holds beyond its part of the burst.
func TestBucketsHoldNoMoreThanTheirCapacity(t *testing.T) {
	is := is.New(t)
	now := bbrtype.Mono(time.Hour)
	b := newBucket(Limit{30, 30}, 4, now.Add(-time.Minute))
	b.receive(now, 1000)
	is.Equal(b.take(now, Request{Needed: 1000}).Tokens, 10) // a fourth of the burst and capacityReserve
	now = now.Add(time.Minute)
	b.setLimit(now, Limit{2, 2}, 4)
	is.Equal(b.take(now, Request{Needed: 1000}).Tokens, 3)
}

// collectSpare lets each instance in turn get as many spare tokens as its owner grants.
func (f *fleet) collectSpare(interval time.Duration, suspended bool) {
	for _, i := range f.instances {
		f.now = f.now.Add(interval)
		if suspended {
			f.suspend(i)
			continue
		}
		if grant, ok := f.ask(i, manySpare); ok {
			i.holder.Add(acme, f.limit, f.now, f.now, grant)
		}
	}
}
