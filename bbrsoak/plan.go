// Package bbrsoak runs fleets of real processes under random faults and checks
// the promises while they run, from what callers are told and what members hold.
//
// A plan of faults follows from its seed. Faults come in series and overlap. When
// the plan is over all faults end, and service has to resume.
//
// # Usage
//
//	fleet, err := trial.New(ctx, options)
//	result, err := bbrsoak.Run(ctx, fleet, bbrsoak.NewPlan(seed, bbrsoak.Options{Instances: 3, Members: 3}))
//	for _, b := range result.Broken { … }
package bbrsoak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a fault does.
type Kind string

// The kinds of faults.
const (
	// KindStop ends an instance by SIGTERM and starts it again when it has ended.
	KindStop Kind = "stop"
	// KindKill ends an instance by SIGKILL and starts it again when the fault is over.
	KindKill Kind = "kill"
	// KindKillAll does so with all instances.
	KindKillAll Kind = "killAll"
	// KindFreeze pauses an instance's process.
	KindFreeze Kind = "freeze"
	// KindReload tells an instance that its settings have changed.
	KindReload Kind = "reload"
	// KindStoreCut cuts one instance off from the store.
	KindStoreCut Kind = "storeCut"
	// KindStoreDown lets the store refuse everything, KindStoreSlow answer late,
	// KindStoreLost lose answers of changes that it made.
	KindStoreDown Kind = "storeDown"
	KindStoreSlow Kind = "storeSlow"
	KindStoreLost Kind = "storeLost"
	// KindPrimaryCut makes the path to a primary silent, in one direction if OneWay
	// is set.
	KindPrimaryCut Kind = "primaryCut"
	// KindReplicaCut does so with a replica.
	KindReplicaCut Kind = "replicaCut"
	// KindDelay delays what a member receives and sends, KindReset resets its
	// connections.
	KindDelay Kind = "delay"
	KindReset Kind = "reset"
	// KindPrimaryLeaves lets a primary say that it is about to leave.
	KindPrimaryLeaves Kind = "primaryLeaves"
	// KindConfigure applies a configuration.
	KindConfigure Kind = "configure"
	// KindStoreRestored lets the store lose, at the end of the fault, what was written
	// since its beginning.
	KindStoreRestored Kind = "storeRestored"
	// KindOrdersLate delivers what an instance sends to the call for promotions when the
	// fault is over. Connections that are opened meanwhile reach nobody, unless OneWay is
	// set: they are held like the others then.
	KindOrdersLate Kind = "ordersLate"
	// KindControlsLate does so with what is sent to one member, by one instance or, if
	// OneWay is not set, by all.
	KindControlsLate Kind = "controlsLate"
	// KindPromotionSlow lets promotions that are ordered meanwhile take longer.
	KindPromotionSlow Kind = "promotionSlow"
	// KindMemberRestart restarts the first replica that is found paused.
	KindMemberRestart Kind = "memberRestart"
	// KindReplicationCut lets a replica receive nothing from its primary, and nothing from
	// instances either unless OneWay is set.
	KindReplicationCut Kind = "replicationCut"
	// KindStutter lets a member send a part of its answers a second time, right behind the
	// first, later, or while the next statement runs.
	KindStutter Kind = "stutter"
	// KindCutAnswers lets a member cut a part of its answers off and close their connections.
	KindCutAnswers Kind = "cutAnswers"
	// KindRevoke takes a tenant's key away and gives the tenant another one.
	KindRevoke Kind = "revoke"
)

// Kinds are all kinds that both dialects know.
var Kinds = []Kind{
	KindStop, KindKill, KindKillAll, KindFreeze, KindReload, KindStoreCut, KindStoreDown, KindStoreSlow, KindStoreLost,
	KindPrimaryCut, KindReplicaCut, KindDelay, KindReset, KindPrimaryLeaves, KindConfigure,
}

// PlatformKinds are the kinds that the users' platform adds. A plan has them only if they
// are named, so that the plans of known seeds stay as they are.
var PlatformKinds = []Kind{
	KindStoreRestored, KindOrdersLate, KindControlsLate, KindPromotionSlow, KindMemberRestart, KindReplicationCut, KindStutter, KindCutAnswers, KindRevoke,
}

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind `json:"kind"`
	// At is when it begins, For how long it lasts.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
	// Target is the number of the instance or member.
	Target int `json:"target"`
	// OneWay restricts a cut to what is sent to the member.
	OneWay bool `json:"oneWay,omitempty"`
}

// end is when the fault is over.
func (f Fault) end() time.Duration { return f.At + f.For }

// Options shape plans.
type Options struct {
	Instances, Members int
	// Span is the time in which faults begin.
	Span time.Duration
	// Only restricts the plan to some kinds. Empty means all.
	Only []Kind
}

const (
	// quietStart is the time before the first fault.
	quietStart = time.Second
	// longestFault bounds the length of a fault, longestPause the time between the
	// beginnings of two of them.
	longestFault = 3 * time.Second
	longestPause = 1500 * time.Millisecond
	// ordersLateFactor is how much longer orders of promotions may be late: their
	// connections set no limit to the attempts of sending them again.
	ordersLateFactor = 4
	// togetherShare is the chance that a fault begins with the one before it.
	togetherShare = 0.3
)

// Plan is a series of faults.
type Plan struct {
	Seed    uint64        `json:"seed"`
	Options Options       `json:"-"`
	Faults  []Fault       `json:"faults"`
	Over    time.Duration `json:"over"`
}

// NewPlan draws a plan.
func NewPlan(seed uint64, o Options) Plan {
	r := rand.New(rand.NewPCG(seed, 0x5eed))
	kinds := o.Only
	if len(kinds) == 0 {
		kinds = Kinds
	}
	p := Plan{Seed: seed, Options: o, Over: quietStart + o.Span}
	for at := quietStart; at < quietStart+o.Span; {
		f := Fault{Kind: kinds[r.IntN(len(kinds))], At: at, For: time.Duration(r.Int64N(int64(longestFault))), OneWay: r.IntN(3) == 0}
		f.Target = r.IntN(targets(f.Kind, o))
		if f.Kind == KindOrdersLate {
			f.For *= ordersLateFactor
		}
		if !p.repeats(f) {
			p.Faults = append(p.Faults, f)
			p.Over = max(p.Over, f.end())
		}
		if r.Float64() >= togetherShare {
			at += time.Duration(r.Int64N(int64(longestPause)))
		}
	}
	return p
}

// targets is the number of things that a kind of fault can strike.
func targets(k Kind, o Options) int {
	switch k {
	case KindDelay, KindReset, KindReplicaCut, KindReplicationCut, KindStutter, KindCutAnswers:
		return max(1, o.Members)
	case KindControlsLate:
		// One of each pair of a member and an instance.
		return max(1, o.Members) * max(1, o.Instances)
	}
	return max(1, o.Instances)
}

// repeats reports whether the same thing is struck in the same way already.
func (p *Plan) repeats(f Fault) bool {
	return slices.ContainsFunc(p.Faults, func(o Fault) bool {
		return o.Kind == f.Kind && o.end() > f.At && (o.Target == f.Target || !isOfOne(f.Kind))
	})
}

// isOfOne reports whether a kind strikes one instance or member, not all.
func isOfOne(k Kind) bool {
	switch k {
	case KindStop, KindKill, KindFreeze, KindReload, KindStoreCut, KindDelay, KindReset, KindReplicaCut,
		KindOrdersLate, KindControlsLate, KindReplicationCut, KindStutter, KindCutAnswers:
		return true
	}
	return false
}
