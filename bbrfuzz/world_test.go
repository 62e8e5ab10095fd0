package bbrfuzz

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

// ciSteps is the length of a run in CI. All runs of TestSeeds together have
// more than a million steps.
const ciSteps = 50000

func TestSeeds(t *testing.T) {
	cases := map[string]func(seed uint64) Options{
		"confirmed":   func(seed uint64) Options { return Options{Seed: seed} },
		"unconfirmed": func(seed uint64) Options { return Options{Seed: seed, Unconfirmed: true} },
		"three":       func(seed uint64) Options { return Options{Seed: seed, Instances: 3} },
		"five copies": func(seed uint64) Options { return Options{Seed: seed, Members: 5, Confirm: 2} },
		"stormy":      func(seed uint64) Options { return Options{Seed: seed, Faults: 60} },
		"termless":    func(seed uint64) Options { return Options{Seed: seed, Termless: true} },
	}
	for name, options := range cases {
		for seed := range uint64(4) {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				w := NewWorld(options(seed + 1))
				if err := w.Run(ciSteps); err != nil {
					t.Fatalf("seed %d: %v\n%s", seed+1, err, w.Trace())
				}
			})
		}
	}
}

func TestSameSeedSameRun(t *testing.T) {
	is := is.New(t)
	run := func() string {
		w := NewWorld(Options{Seed: 9})
		is.NoErr(w.Run(ciSteps))
		return w.Summary() + w.Trace()
	}
	is.Equal(run(), run())
}

// mutations switch a rule off. Each must break one of its promises within a few
// seeds.
var mutations = map[Mutation]struct {
	opts     Options
	promises []Promise
}{
	MutateAuthority: {Options{Kinds: []FaultKind{FaultCutPrimary, FaultCutStore, FaultIsolate, FaultPause}}, []Promise{PromiseNoOldPrimary}},
	MutateFenceWait: {Options{Unconfirmed: true, Kinds: []FaultKind{FaultSplit, FaultPause}}, []Promise{PromiseNoOldPrimary, PromiseOwnWrites}},
	MutateVouch:     {Options{Unconfirmed: true}, []Promise{PromiseNoOldPrimary, PromiseOwnWrites}},
	MutateConfirm:   {Options{}, []Promise{PromiseKept}},
	MutateCoverage:  {Options{Kinds: []FaultKind{FaultKillPrimary, FaultKillMember, FaultLag, FaultCutPrimary}}, []Promise{PromiseKept}},
	MutateToken:     {Options{}, []Promise{PromiseOwnWrites}},
	MutateAge:       {Options{Kinds: []FaultKind{FaultLag, FaultCut, FaultCutOneWay, FaultPause}}, []Promise{PromiseAge}},
	MutateKey:       {Options{}, []Promise{PromiseOnce}},
	MutateTombstone: {Options{}, []Promise{PromiseNotRun}},
	MutateNonce:     {Options{}, []Promise{PromiseConfiguration}},
	MutateRemoved:   {Options{Kinds: []FaultKind{FaultCut}}, []Promise{PromiseLeaving}},
}

// mutationSeeds bounds the tries to make a mutation show.
const mutationSeeds = 60

// isolatedPair cuts an instance off together with a primary, and from the
// store.
func isolatedPair(instance int) []Fault {
	long := 15 * time.Second
	return []Fault{
		{Kind: FaultSplit, For: long, A: instance},
		{Kind: FaultCutStore, After: 100 * time.Millisecond, For: long, A: instance},
	}
}

func TestMutationsBreakPromises(t *testing.T) {
	for mutation, c := range mutations {
		t.Run(string(mutation), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(mutationSeeds) {
				opts := c.opts
				opts.Seed, opts.Mutation = seed+1, mutation
				if len(opts.Kinds) > 0 {
					opts.Faults = 40
				}
				if mutation == MutateVouch {
					opts.Schedule = isolatedPair(int(seed))
				}
				var broken *BrokenError
				if !errors.As(NewWorld(opts).Run(100000), &broken) {
					continue
				}
				for _, p := range c.promises {
					if p == broken.Promise {
						return
					}
				}
			}
			t.Fatalf("the rule %q is off and none of %q was broken in %d runs", mutation, c.promises, mutationSeeds)
		})
	}
}

// TestSchedules lets rapid draw the faults, so that it can shrink them.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fault := rapid.Custom(func(t *rapid.T) Fault {
			return Fault{
				Kind:  rapid.SampledFrom(FaultKinds).Draw(t, "kind"),
				After: time.Duration(rapid.IntRange(0, 8000).Draw(t, "afterMs")) * time.Millisecond,
				For:   time.Duration(rapid.IntRange(50, 12000).Draw(t, "forMs")) * time.Millisecond,
				A:     rapid.IntRange(0, 99).Draw(t, "a"),
				B:     rapid.IntRange(0, 99).Draw(t, "b"),
			}
		})
		w := NewWorld(Options{
			Seed:        rapid.Uint64Range(1, 1<<20).Draw(t, "seed"),
			Instances:   rapid.IntRange(3, 6).Draw(t, "instances"),
			Unconfirmed: rapid.Bool().Draw(t, "unconfirmed"),
			Schedule:    rapid.SliceOfN(fault, 1, 12).Draw(t, "faults"),
		})
		if err := w.Run(ciSteps); err != nil {
			t.Fatalf("%v\n%s", err, w.Trace())
		}
	})
}
