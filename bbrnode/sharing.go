package bbrnode

import (
	"hash/fnv"

	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// EvenLoad is for which groups statements are spread so that members are loaded evenly.
type EvenLoad string

// The values of the setting. With EvenLoadForwarded it is for groups to whose members only
// some instances keep connections, so that each of these sends a large part of the statements.
const (
	EvenLoadForwarded EvenLoad = "forwarded"
	EvenLoadAlways    EvenLoad = "always"
	EvenLoadNever     EvenLoad = "never"
)

// sharing returns the instances that send statements to the members of a group, for
// bbrlink.Deps. It is the zero value if the members' load is not to be spread.
func (n *Node) sharing(group bbrtype.GroupName, maxConnections int) bbrplace.Sharing {
	fleet := n.fleet.Load()
	spreads := n.settings.EvenLoad == EvenLoadAlways || n.settings.EvenLoad == EvenLoadForwarded && fleet.IsScarce(maxConnections)
	if !spreads {
		return bbrplace.Sharing{}
	}
	return bbrplace.Sharing{Instances: fleet.Senders(maxConnections), Seed: seedOf(n.settings.Name, group)}
}

// seedOf returns the seed of an instance's random choices for a group.
func seedOf(instance string, group bbrtype.GroupName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(group))
	return h.Sum64()
}
