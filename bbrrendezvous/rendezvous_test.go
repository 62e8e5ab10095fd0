package bbrrendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func ids(n int) []bbrtype.InstanceID {
	out := make([]bbrtype.InstanceID, n)
	for i := range out {
		out[i] = bbrtype.InstanceID(fmt.Sprintf("i%d", i))
	}
	return out
}

func TestAChangeMovesFewKeys(t *testing.T) {
	is := is.New(t)
	before, after := ids(8), ids(7)
	moved, load := 0, map[bbrtype.InstanceID]int{}
	for k := range 1000 {
		key := fmt.Sprintf("k%d", k)
		a, b := Top(key, before, 1)[0], Top(key, after, 1)[0]
		load[a]++
		if a != b {
			moved++
			is.Equal(a, bbrtype.InstanceID("i7")) // only keys of the removed instance move
		}
	}
	is.Equal(moved, load["i7"])
	for _, n := range load {
		is.True(n > 60 && n < 200)
	}
}

func TestContainsAgreesWithTop(t *testing.T) {
	is := is.New(t)
	all := ids(9)
	for k := range 50 {
		key := fmt.Sprintf("k%d", k)
		top := Top(key, all, 3)
		for _, id := range all {
			is.Equal(InTop(key, all, 3, id), slices.Contains(top, id))
		}
	}
	is.True(!InTop("k", all, 9, "unlisted"))
}
