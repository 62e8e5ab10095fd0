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
	return f
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
	owners := Owners(acme, i.DataCentre, f.listed)
	for _, o := range owners {
		owner := f.byID(o.ID)
		if !i.reaches(owner) {
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
		if wanted <= 0 || other == owner || !owner.reaches(other) {
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

// TestNoWindowExceedsTheBound lets instances be killed, suspended and cut off while all of
// them have as much demand as they can serve, now and then none, and while replies come late.
// It guards against a limit that is exceeded because two instances use the same part of it.
func TestNoWindowExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{RatePerSecond: rapid.Float64Range(0.5, 150).Draw(t, "rate")}
		limit.Burst = limit.RatePerSecond * rapid.Float64Range(0, 3).Draw(t, "burst")
		f := newFleet(limit, rapid.IntRange(1, 40).Draw(t, "instances"), rapid.IntRange(1, 5).Draw(t, "dataCentres"))
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		faults := rapid.Float64Range(0, 0.02).Draw(t, "faults")
		demand := rapid.Float64Range(0.1, 10).Draw(t, "demand") * limit.RatePerSecond * tick.Seconds()
		pause := rapid.IntRange(0, 400).Draw(t, "pauseTicks")
		for step := range 1500 {
			f.now = f.now.Add(tick)
			for _, i := range f.instances {
				f.strike(i, r, faults)
			}
			if pause > 0 && step/pause%2 == 0 {
				continue
			}
			for range poisson(r, demand) {
				f.begin(f.instances[r.IntN(len(f.instances))])
			}
		}
		if most := f.mostInWindow(); float64(most) > limit.Bound() {
			t.Fatalf("%d operations in %v, at most %.1f may run", most, Window, limit.Bound())
		}
	})
}

// strike changes the state of an instance at random. An instance that is suspended while it
// waits for an owner gets the reply later.
func (f *fleet) strike(i *instance, r *rand.Rand, probability float64) {
	if r.Float64() >= probability {
		return
	}
	switch r.IntN(4) {
	case 0:
		i.holder, i.owner = Holder{}, Owner{StartedAt: f.now}
	case 1:
		i.cut = !i.cut
	case 2:
		i.suspended = true
		if grant, ok := f.ask(i, 5); ok {
			i.late = &lateGrant{askedAt: f.now, grant: grant}
		}
	case 3:
		i.suspended = false
		if i.late != nil {
			i.holder.Add(acme, f.limit, i.late.askedAt, f.now, i.late.grant)
			i.late = nil
		}
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
