package bbrnode

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// ranksPerStep is the number of instances that start to inspect a group at the
	// same time. Each further ranksPerStep instances start minInspectInterval after
	// the ones ranked before them.
	ranksPerStep = 4
	// maxInspectInterval bounds the interval between two inspections by one
	// instance.
	maxInspectInterval = 2 * time.Second
)

// inspectionSchedule decides when an instance inspects a group that needs
// inspection.
//
// All instances detect a problem with a primary at about the same time, so they are
// ranked for each group. The further down an instance ranks, the later it starts to
// inspect the group and the longer its interval is. The rate of inspections grows
// about logarithmically with the number of instances until the interval reaches
// maxInspectInterval, and from there by one inspection per instance and
// maxInspectInterval. If the first-ranked instances are down, the others still
// inspect the group, only later.
type inspectionSchedule struct {
	// neededSince is when the group first needed inspection, 0 if it does not: its
	// primary is unknown, does not respond, does not confirm commits, has been
	// demoted, is draining or has no entry.
	neededSince bbrtype.Mono
	// inspectedAt is when the instance last inspected the group or started another
	// task for it.
	inspectedAt bbrtype.Mono
}

// setNeedsInspection records whether the group needs inspection.
func (s *inspectionSchedule) setNeedsInspection(needed bool, now bbrtype.Mono) {
	switch {
	case !needed:
		s.neededSince = 0
	case s.neededSince == 0:
		s.neededSince = now
	}
}

// isDue reports whether the instance, at the given rank, is to start a task for the
// group now. Rank 0 has the shortest delay.
func (s *inspectionSchedule) isDue(rank int, now bbrtype.Mono) bool {
	delay := min(maxInspectInterval, minInspectInterval*time.Duration(rank/ranksPerStep))
	if s.neededSince != 0 && now.Sub(s.neededSince) < delay {
		return false
	}
	return s.inspectedAt == 0 || now.Sub(s.inspectedAt) >= max(minInspectInterval, delay)
}

// inspectionRank returns the number of other instances that rank before this one for
// a group.
func (n *Node) inspectionRank(g bbrtype.GroupName) int {
	return n.fleet.Load().Rank("change/"+string(g), g, n.maxConnections(g))
}

// rank returns the number of other instances that rank before this one for a task. The
// key of the task must be the same in all instances.
func (n *Node) rank(task string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	ids := make([]bbrtype.InstanceID, 0, len(n.peers))
	for _, p := range n.peers {
		ids = append(ids, bbrtype.InstanceID(p.Address))
	}
	return bbrrendezvous.Rank(task, ids, bbrtype.InstanceID(n.settings.PeerAddress))
}
