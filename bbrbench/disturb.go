package bbrbench

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrstandinplatform"
	"github.com/bluebellroute/bluebellroute/bbrtrial"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// wait waits, and returns false once the experiment is over.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// eachGroup does something to each group in turn, and notes the gap that its
// writes had from then on.
func eachGroup(ctx context.Context, r *run, f func(g bbrtype.GroupName) error) error {
	for n := range r.fleet.Groups() {
		g := groupAt(r.fleet.Groups(), n)
		at := time.Now()
		if err := f(g); err != nil {
			return err
		}
		goesOn := wait(ctx, faultEvery)
		r.gaps = append(r.gaps, r.workload.Gap(g, at).Milliseconds())
		if !goesOn {
			return nil
		}
	}
	return nil
}

func killPrimaries(ctx context.Context, r *run) error {
	return eachGroup(ctx, r, func(g bbrtype.GroupName) error {
		m, err := r.fleet.Primary(g)
		if err != nil {
			return err
		}
		m.Kill()
		return nil
	})
}

func cutPrimaries(ctx context.Context, r *run) error {
	return eachGroup(ctx, r, func(g bbrtype.GroupName) error {
		m, err := r.fleet.Primary(g)
		if err != nil {
			return err
		}
		m.Link().Cut()
		return nil
	})
}

func killPrimaryAndInstance(ctx context.Context, r *run) error {
	g := groupAt(r.fleet.Groups(), 0)
	m, err := r.fleet.Primary(g)
	if err != nil {
		return err
	}
	at := time.Now()
	r.fleet.KillInstance(r.fleet.Instances() - 1)
	m.Kill()
	wait(ctx, 2*faultEvery)
	r.gaps = append(r.gaps, r.workload.Gap(g, at).Milliseconds())
	return nil
}

func silence(ctx context.Context, r *run) error {
	return eachGroup(ctx, r, func(g bbrtype.GroupName) error {
		for _, m := range r.fleet.Members(g) {
			m.Link().Silence()
		}
		return nil
	})
}

// lagBehind is how far the replicas of a lagging group fall back.
const lagBehind = 15 * time.Second

func lagging(ctx context.Context, r *run) error {
	g := groupAt(r.fleet.Groups(), 0)
	r.fleet.SetLag(g, lagBehind)
	wait(ctx, r.request.Duration/2)
	r.fleet.SetLag(g, 0)
	return nil
}

func storeOutage(ctx context.Context, r *run) error {
	services := []bbrstandinplatform.Service{bbrstandinplatform.ServiceTable, bbrstandinplatform.ServiceObject, bbrstandinplatform.ServiceList}
	at := time.Now()
	for _, s := range services {
		if err := r.fleet.Fault(bbrstandinplatform.Fault{Service: s, Mode: bbrstandinplatform.ModeDown}); err != nil {
			return err
		}
	}
	wait(ctx, r.request.Duration*7/10)
	for _, g := range r.fleet.Groups() {
		r.gaps = append(r.gaps, r.workload.Gap(g, at).Milliseconds())
	}
	for _, s := range services {
		if err := r.fleet.Fault(bbrstandinplatform.Fault{Service: s, Mode: bbrstandinplatform.ModeNone}); err != nil {
			return err
		}
	}
	return nil
}

func rollingRestart(ctx context.Context, r *run) error {
	for n := range r.fleet.Instances() {
		before := time.Now()
		code, err := r.fleet.RestartInstance(n)
		if err != nil {
			return err
		}
		if code != 0 {
			r.extra["cutOff"]++
		}
		r.extra["slowestRestartMs"] = max(r.extra["slowestRestartMs"], float64(time.Since(before).Milliseconds()))
		if !wait(ctx, time.Second) {
			return nil
		}
	}
	return nil
}

// churnEvery is the pause between two configurations.
const churnEvery = 300 * time.Millisecond

// churn applies configurations and measures until each instance has them in
// force.
func churn(ctx context.Context, r *run) error {
	version := uint64(1)
	for n := 0; wait(ctx, churnEvery); n++ {
		text := r.fleet.Text() + "[tenant churn" + string(rune('a'+n%26)) + "]\npatience = 1s\n"
		before := time.Now()
		if err := r.fleet.Apply(ctx, text); err != nil {
			return nil // the experiment is over
		}
		version++
		r.spread = append(r.spread, time.Since(before).Milliseconds())
	}
	return nil
}

// noisyRate is the rate of the flood: more than the replicas can do.
const noisyRate = 3600

// floodStart is the time in which the callers of the flood connect. They prove
// their passwords by work that this process has to do, beside the load.
const floodStart = 3 * time.Second

// noise floods the fleet as another tenant in the second half.
func noise(ctx context.Context, r *run) error {
	half := r.request.Duration / 2
	if !wait(ctx, half) {
		return nil
	}
	quiet := r.workload.Quantile(bbrtrial.OperationView, 99)
	flood := bbrtrial.NewWorkload(r.fleet, bbrtrial.Load{
		Callers: 600, Rate: noisyRate, Caller: "public", Seed: r.request.Seed + 1,
	})
	var group errgroup.Group
	group.Go(func() error {
		flood.Run(ctx)
		return nil
	})
	wait(ctx, floodStart)
	r.workload.ResetLatency()
	if err := group.Wait(); err != nil {
		return err
	}
	loud := r.workload.Quantile(bbrtrial.OperationView, 99)
	r.extra["quietP99Us"] = float64(quiet)
	r.extra["noisyP99Us"] = float64(loud)
	if quiet > 0 {
		r.extra["p99Ratio"] = float64(loud) / float64(quiet)
	}
	return nil
}
