// Package bbrbench runs experiments: fleets of real processes under open-loop
// load, with faults, judged by the members' logs. Simpler policies built into
// the same program serve as baselines.
//
// # Usage
//
//	report, err := bbrbench.Run(ctx, bbrbench.Request{Experiment: "steady", Deployment: "trentvale", Seed: 1})
package bbrbench

import (
	"context"
	"sort"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrproxy"
	"github.com/bluebellroute/bluebellroute/bbrtrial"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Deployment names a fleet.
type Deployment string

// The deployments.
const (
	DeploymentTrentvale  Deployment = "trentvale"
	DeploymentCedarsteam Deployment = "cedarsteam"
)

// Policy is what an experiment runs under: the product's own, or a baseline.
type Policy string

// The policies.
const (
	PolicyOwn        Policy = "own"
	PolicyPrimary    Policy = "primary"
	PolicyRandom     Policy = "random"
	PolicyFixedQuota Policy = "fixedQuota"
	PolicyWaitOut    Policy = "waitOut"
)

// apply puts a policy into a fleet's shape.
func (p Policy) apply(s *bbrtrial.Shape) {
	switch p {
	case PolicyPrimary:
		s.Baseline = bbrproxy.BaselinePrimary
	case PolicyRandom:
		s.Baseline = bbrproxy.BaselineRandom
	case PolicyFixedQuota:
		s.Settings = "fixedQuota = true"
	case PolicyWaitOut:
		s.Settings = "[timing]\nwaitOut = true"
	}
}

// Times of an experiment.
const (
	warmUp = 2 * time.Second
	settle = 3 * time.Second
	// faultEvery is the pause between two faults of the same kind.
	faultEvery = 6 * time.Second
)

// Experiment is a named way to load a fleet and to disturb it.
type Experiment struct {
	Name  string
	About string
	// Shape changes the deployment's fleet.
	Shape func(s *bbrtrial.Shape)
	// Load is what callers do.
	Load bbrtrial.Load
	// Disturb runs beside the load. It may note what it measures.
	Disturb func(ctx context.Context, r *run) error
	// Baselines are the policies to compare with.
	Baselines []Policy
}

// usual is the load of a quiet day, for three groups together.
func usual() bbrtrial.Load {
	return bbrtrial.Load{
		Callers: 48, Rate: 600, WriteShare: 0.1, KeyedShare: 0.5, OwnShare: 0.3, MoveShare: 0.02, TokenShare: 0.8,
	}
}

// storm is the load when leaks are reported from everywhere.
func storm() bbrtrial.Load {
	l := usual()
	l.Callers, l.Rate, l.WriteShare = 192, 1500, 0.2
	return l
}

// busyMembers makes statements slow enough for a storm to matter.
func busyMembers(s *bbrtrial.Shape) { s.ServiceTime, s.Lag = 8*time.Millisecond, 50*time.Millisecond }

// quietMembers have the lag of a quiet day.
func quietMembers(s *bbrtrial.Shape) {
	s.ServiceTime, s.Lag = 500*time.Microsecond, 30*time.Millisecond
}

// Experiments returns all experiments by name.
func Experiments() map[string]Experiment {
	list := []Experiment{
		{
			Name: "steady", About: "a quiet day: share of reads by replicas, latencies",
			Shape: quietMembers, Load: usual(), Baselines: []Policy{PolicyPrimary, PolicyRandom, PolicyFixedQuota},
		},
		{
			Name: "storm", About: "more than twice the load on slow members, a fifth of it writes",
			Shape: busyMembers, Load: storm(), Baselines: []Policy{PolicyPrimary, PolicyFixedQuota},
		},
		{
			Name: "lagging", About: "one group's replicas fall 15 s behind and come back",
			Shape: quietMembers, Load: usual(), Disturb: lagging,
		},
		{
			Name: "primaryKilled", About: "the primary of each group is killed: failover gap",
			Shape: quietMembers, Load: usual(), Disturb: killPrimaries, Baselines: []Policy{PolicyWaitOut},
		},
		{
			Name: "primaryCut", About: "the primary of each group goes silent for all instances: failover gap",
			Shape: func(s *bbrtrial.Shape) { quietMembers(s); s.Links = true }, Load: usual(), Disturb: cutPrimaries,
		},
		{
			Name: "primaryAndInstanceKilled", About: "a primary and an instance die together: the fence has to be waited out",
			Shape: quietMembers, Load: usual(), Disturb: killPrimaryAndInstance,
		},
		{
			Name: "silent", About: "all open connections to the members go silent, new ones work",
			Shape: func(s *bbrtrial.Shape) { quietMembers(s); s.Links = true }, Load: usual(), Disturb: silence,
		},
		{
			Name: "storeOutage", About: "the platform's store is down for most of the run",
			Shape: quietMembers, Load: usual(), Disturb: storeOutage,
		},
		{
			Name: "rolling", About: "all instances are restarted one after the other",
			Shape: quietMembers, Load: usual(), Disturb: rollingRestart,
		},
		{
			Name: "churn", About: "a configuration is applied again and again: time until it is in force everywhere",
			Shape: quietMembers, Load: usual(), Disturb: churn,
		},
		{
			Name: "noisy", About: "one tenant floods a group with views: latency of the other tenant",
			Shape: busyMembers, Load: quietTenant(), Disturb: noise,
		},
	}
	out := map[string]Experiment{}
	for _, e := range list {
		out[e.Name] = e
	}
	return out
}

// Names returns the names of all experiments in order.
func Names() []string {
	var out []string
	for n := range Experiments() {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// shapeOf returns a deployment's fleet. ok is false if there is none.
func shapeOf(d Deployment) (bbrtrial.Shape, bool) {
	switch d {
	case DeploymentTrentvale:
		return bbrtrial.Trentvale(), true
	case DeploymentCedarsteam:
		return bbrtrial.Cedarsteam(), true
	}
	return bbrtrial.Shape{}, false
}

// quietTenant is the load of a tenant that is to be spared.
func quietTenant() bbrtrial.Load {
	l := usual()
	l.Caller = "staff"
	// So many that no caller's operations wait for its own earlier ones.
	l.Callers = 240
	return l
}

// groupAt returns one of a fleet's groups, in turn.
func groupAt(groups []bbrtype.GroupName, n int) bbrtype.GroupName { return groups[n%len(groups)] }
