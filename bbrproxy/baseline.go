package bbrproxy

import (
	"math/rand/v2"
	"slices"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// randomReplica picks any replica, for BaselineRandom.
func randomReplica(g *bbrjournal.Group, avoid []bbrtype.MemberName) (bbrtype.MemberName, bool) {
	primary, _ := g.LastPrimary()
	var replicas []bbrtype.MemberName
	for _, m := range g.Members {
		if m != primary.Member && !slices.Contains(avoid, m) {
			replicas = append(replicas, m)
		}
	}
	if len(replicas) == 0 {
		return "", false
	}
	return replicas[rand.IntN(len(replicas))], true
}
