// Package bbrrendezvous assigns instances to keys by rendezvous hashing (highest
// random weight). Instances with the same list of instances compute the same
// assignment, and a change of the list reassigns few keys.
//
// # Usage
//
//	probers := bbrrendezvous.Top("billing/m1", ids, 3)
package bbrrendezvous

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Top returns the n ids with the highest scores for a key, highest first.
func Top(key string, ids []bbrtype.InstanceID, n int) []bbrtype.InstanceID {
	type scored struct {
		id    bbrtype.InstanceID
		score uint64
	}
	all := make([]scored, len(ids))
	for i, id := range ids {
		all[i] = scored{id, score(key, id)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].id < all[j].id
	})
	n = min(n, len(all))
	out := make([]bbrtype.InstanceID, n)
	for i := range out {
		out[i] = all[i].id
	}
	return out
}

// Rank returns how many of the ids rank before id for a key: those with a higher score,
// and those with the same score and a lower id. id need not be in ids.
func Rank(key string, ids []bbrtype.InstanceID, id bbrtype.InstanceID) int {
	own := score(key, id)
	higher := 0
	for _, other := range ids {
		if s := score(key, other); other != id && (s > own || s == own && other < id) {
			higher++
		}
	}
	return higher
}

// InTop reports whether id is among the n ids with the highest scores for a key.
// It does not allocate.
func InTop(key string, ids []bbrtype.InstanceID, n int, id bbrtype.InstanceID) bool {
	return slices.Contains(ids, id) && Rank(key, ids, id) < n
}

func score(key string, id bbrtype.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
