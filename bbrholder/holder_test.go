package bbrholder

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// fleetOf returns the view that one of n instances has, spread over data centres. missing
// are the instances that it does not know.
func fleetOf(self, n, dataCentres int, missing map[int]bool) *Fleet {
	at := func(i int) Instance {
		return Instance{ID: bbrtype.InstanceID(fmt.Sprintf("i%d", i)), DataCentre: bbrtype.DataCentre(fmt.Sprintf("z%d", i%dataCentres))}
	}
	var others []Instance
	for i := range n {
		if i != self && !missing[i] {
			others = append(others, at(i))
		}
	}
	return NewFleet(at(self), others)
}

func TestFewInstancesForwardNothing(t *testing.T) {
	for name, tt := range map[string]struct{ instances, connections int }{
		"one": {1, 16}, "six": {6, 38}, "eight before few connections": {8, 16}, "24 before many": {24, 131},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleetOf(0, tt.instances, 4, nil)
			is.True(!f.IsScarce(tt.connections))
			is.True(f.Holds("g", tt.connections))
			is.True(f.Share("g", tt.connections, 3, false).Burst)
		})
	}
}

// TestManyInstancesBeforeManyConnections guards against instances that each send statements to
// members with a few slots because the connections suffice: together they had several times as
// many in flight as a member runs and queues.
func TestManyInstancesBeforeManyConnections(t *testing.T) {
	const instances, dataCentres, connections, slots, queue = 59, 5, 131, 3, 32
	is := is.New(t)
	inFlight := 0
	for self := range instances {
		f := fleetOf(self, instances, dataCentres, nil)
		is.True(f.IsScarce(connections))
		if f.Ranked("g")[0] == f.self.ID {
			inFlight += f.Share("g", connections, slots, false).InFlight
		}
	}
	is.True(inFlight <= slots+queue)
}

// TestSharesStayWithinTheLimit checks that the first-ranked holders of all data centres use
// at most the shared part of the connections, and with the second-ranked ones at most all.
func TestSharesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dataCentres := rapid.IntRange(1, 8).Draw(t, "dataCentres")
		connections := rapid.IntRange(2*dataCentres, 200).Draw(t, "connections")
		// Connections are scarce: half of them are fewer than the instances.
		instances := rapid.IntRange(connections/2+1, 800).Draw(t, "instances")
		f := fleetOf(rapid.IntRange(0, instances-1).Draw(t, "self"), instances, dataCentres, nil)
		share := f.Share("g", connections, 3, true)
		if !f.IsScarce(connections) {
			t.Fatalf("%d instances before %d connections", instances, connections)
		}
		if share.Connections*dataCentres > connections/2 {
			t.Fatalf("%d data centres have %d connections each of %d", dataCentres, share.Connections, connections)
		}
		if share.InFlight > share.Connections || share.InFlight < 1 {
			t.Fatalf("%d in flight over %d connections", share.InFlight, share.Connections)
		}
	})
}

// TestHoldersOfDisagreeingInstances checks that two instances of a data centre which know
// different others still forward to instances that one of the first ranks holds: the ranks
// of those that both know are in the same order.
func TestHoldersOfDisagreeingInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		missing := func(label string) map[int]bool {
			out := map[int]bool{}
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 99), 0, 30).Draw(t, label) {
				out[i] = true
			}
			return out
		}
		missingA, missingB := missing("a"), missing("b")
		a, b := fleetOf(0, 100, 2, missingA), fleetOf(2, 100, 2, missingB)
		knownToBoth := func(ids, others []bbrtype.InstanceID) []bbrtype.InstanceID {
			return slices.DeleteFunc(slices.Clone(ids), func(id bbrtype.InstanceID) bool { return !slices.Contains(others, id) })
		}
		ra, rb := a.Ranked("g"), b.Ranked("g")
		if !slices.Equal(knownToBoth(ra, rb), knownToBoth(rb, ra)) {
			t.Fatalf("%v and %v", ra, rb)
		}
	})
}

// TestRanksOfTasks checks that the holders come before all other instances, and that no two
// instances have the same rank while they agree on the list.
func TestRanksOfTasks(t *testing.T) {
	is := is.New(t)
	const instances, dataCentres, connections = 120, 4, 24
	seen := map[int]bool{}
	holders := 0
	for i := range instances {
		f := fleetOf(i, instances, dataCentres, nil)
		rank := f.Rank("change/g", "g", connections)
		if f.Holds("g", connections) {
			holders++
			is.True(!seen[rank]) // one holder for each rank
			seen[rank] = true
			is.True(rank < holdersPerDataCentre*dataCentres)
		} else {
			is.True(rank >= holdersPerDataCentre*dataCentres)
		}
	}
	is.Equal(holders, holdersPerDataCentre*dataCentres)
}

// TestGroupsAreSpread checks that no instance holds many more groups than others.
func TestGroupsAreSpread(t *testing.T) {
	is := is.New(t)
	first := map[bbrtype.InstanceID]int{}
	f := fleetOf(0, 800, 6, nil)
	for i := range 1900 {
		first[f.Ranked(bbrtype.GroupName(fmt.Sprintf("g%d", i)))[0]]++
	}
	mean := 1900 / (800 / 6)
	for _, n := range first {
		is.True(n <= 3*mean)
	}
}
