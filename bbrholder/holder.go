// Package bbrholder decides which instances hold the connections to the members of a
// group, and what share of the members' connections each of them has. The package is
// pure: it holds no lock and reads no clock.
//
// Members accept a limited number of connections from all instances together. While
// every instance can keep one, and the instances are few, each holds its own. Elsewhere a
// few instances of each data centre hold them, called the group's holders, and the other
// instances forward their statements to a holder of their own data centre. The holders are the first-ranked instances by rendezvous hashing of the
// group's name. Instances that agree on the list of instances thus agree on the holders,
// and each group has its own. An instance that finds a holder unresponsive leaves it out
// and uses the next-ranked one.
//
// A share is computed as if one holder of each data centre were in use. The connections
// that all holders use stay below the limit while some instances use the first-ranked
// holder of a data centre and others the second-ranked one, because the shares add up to
// only a part of the limit (see sharedConnectionsDivisor).
//
// # Usage
//
//	f := bbrholder.NewFleet(self, others)
//	if f.IsScarce(maxConnections) {
//		ranked := f.Ranked("orders")
//		…
//	}
package bbrholder

import (
	"slices"

	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// sharedConnectionsDivisor is the part of a member's connection limit that is
	// shared out: 1/sharedConnectionsDivisor. The rest is headroom: after an instance
	// loses power, the member keeps the instance's old connections open for some seconds
	// while another instance opens new ones.
	sharedConnectionsDivisor = 2
	// holdersPerDataCentre is how many instances of a data centre keep connections to a
	// group's members open while connections are scarce.
	holdersPerDataCentre = 3
	// maxDirectInstances is the number of instances up to which each may hold connections of
	// its own. Each has a statement in flight at times, and a member runs only a few.
	maxDirectInstances = 24
	// inFlightPerSlot is how many statements all holders together may have in flight for
	// each slot of a member, before their limits adapt to its replies.
	inFlightPerSlot = 4
)

// Instance is an instance as the others know it.
type Instance struct {
	ID         bbrtype.InstanceID
	DataCentre bbrtype.DataCentre
}

// Fleet is all instances, as one of them knows them.
type Fleet struct {
	self Instance
	// byDataCentre holds the instances of each data centre, self included.
	byDataCentre map[bbrtype.DataCentre][]bbrtype.InstanceID
	all          []bbrtype.InstanceID
}

// NewFleet returns the fleet of an instance and the others that it knows.
func NewFleet(self Instance, others []Instance) *Fleet {
	f := &Fleet{self: self, byDataCentre: map[bbrtype.DataCentre][]bbrtype.InstanceID{}}
	f.add(self)
	for _, o := range others {
		if o.ID != self.ID {
			f.add(o)
		}
	}
	return f
}

func (f *Fleet) add(i Instance) {
	f.byDataCentre[i.DataCentre] = append(f.byDataCentre[i.DataCentre], i.ID)
	f.all = append(f.all, i.ID)
}

// IsScarce reports whether members that accept maxConnections have fewer connections to
// share out than there are instances, or less capacity than instances that don't know of each
// other's statements would use.
func (f *Fleet) IsScarce(maxConnections int) bool {
	return maxConnections/sharedConnectionsDivisor < len(f.all) || len(f.all) > maxDirectInstances
}

// Ranked returns the instances of the fleet's own data centre in the order in which they
// are used as a group's holder, self included.
func (f *Fleet) Ranked(group bbrtype.GroupName) []bbrtype.InstanceID {
	return ranked(group, f.byDataCentre[f.self.DataCentre])
}

func ranked(group bbrtype.GroupName, ids []bbrtype.InstanceID) []bbrtype.InstanceID {
	return bbrrendezvous.Top(holderKey(group), ids, len(ids))
}

// holderKey is the rendezvous key of a group's holders. It must be the same in all
// instances.
func holderKey(group bbrtype.GroupName) string { return "holder/" + string(group) }

// Holds reports whether the fleet's own instance keeps connections to a group's members
// that accept maxConnections.
func (f *Fleet) Holds(group bbrtype.GroupName, maxConnections int) bool {
	return !f.IsScarce(maxConnections) ||
		bbrrendezvous.InTop(holderKey(group), f.byDataCentre[f.self.DataCentre], holdersPerDataCentre, f.self.ID)
}

// Rank returns how many instances come before the fleet's own one in a task for a group
// that one instance should do, such as a change of primary. Where connections are scarce,
// the first-ranked holders of all data centres come first, then the second-ranked ones,
// and so on; the instances that hold no connections come last.
func (f *Fleet) Rank(task string, group bbrtype.GroupName, maxConnections int) int {
	if !f.Holds(group, maxConnections) {
		return holdersPerDataCentre*len(f.byDataCentre) + bbrrendezvous.Rank(task, f.all, f.self.ID)
	}
	if !f.IsScarce(maxConnections) {
		return bbrrendezvous.Rank(task, f.all, f.self.ID)
	}
	level := slices.Index(f.Ranked(group), f.self.ID)
	var peers []bbrtype.InstanceID
	for _, ids := range f.byDataCentre {
		if level < len(ids) {
			peers = append(peers, ranked(group, ids)[level])
		}
	}
	return level*len(f.byDataCentre) + bbrrendezvous.Rank(task, peers, f.self.ID)
}

// Share is what one instance may use of a member.
type Share struct {
	// Connections is how many connections it may open.
	Connections int
	// InFlight is how many statements it may have in flight before its limit adapts to
	// the member's replies.
	InFlight int
	// Burst is set if it may open a connection beyond its share for a moment.
	Burst bool
	// KeepsIdle is set if it may keep connections that are not in use.
	KeepsIdle bool
}

// Share returns the share of the fleet's own instance in a member of a group that
// accepts maxConnections and runs slots statements at a time, 0 if the number is unknown.
// adopted is set if other instances forward statements of the group to it, whatever its
// rank.
func (f *Fleet) Share(group bbrtype.GroupName, maxConnections, slots int, adopted bool) Share {
	shared := maxConnections / sharedConnectionsDivisor
	if !f.IsScarce(maxConnections) {
		n := max(1, divideUp(shared, len(f.all)))
		return Share{Connections: n, InFlight: n, Burst: true, KeepsIdle: true}
	}
	if !adopted && !f.Holds(group, maxConnections) {
		return Share{Connections: 1, InFlight: 1}
	}
	holders := len(f.byDataCentre)
	n := max(1, shared/holders)
	return Share{Connections: n, InFlight: max(1, min(n, divideUp(inFlightPerSlot*max(1, slots), holders))), KeepsIdle: true}
}

// Senders returns the number of instances that send statements to members that accept
// maxConnections: all of them, or one of each data centre where connections are scarce.
func (f *Fleet) Senders(maxConnections int) int {
	if f.IsScarce(maxConnections) {
		return len(f.byDataCentre)
	}
	return len(f.all)
}

// divideUp divides and rounds up.
func divideUp(a, b int) int { return (a + b - 1) / b }
