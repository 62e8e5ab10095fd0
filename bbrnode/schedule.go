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

// inspectionSchedule decides when an instance inspects a group whose primary is
// unhealthy.
//
// All instances see the same problem, so they are ranked for each group. The further
// down an instance ranks, the later it starts to inspect the group and the longer
// its interval is. The number of inspections thus grows with the logarithm of the
// number of instances, and the group is inspected whichever instances are down.
type inspectionSchedule struct {
	// unhealthySince is when the primary became unhealthy, 0 if it is healthy.
	unhealthySince bbrtype.Mono
	// inspectedAt is when the instance last inspected the group or started another
	// task for it.
	inspectedAt bbrtype.Mono
}

// setUnhealthy records whether the primary is unhealthy.
func (s *inspectionSchedule) setUnhealthy(unhealthy bool, now bbrtype.Mono) {
	switch {
	case !unhealthy:
		s.unhealthySince = 0
	case s.unhealthySince == 0:
		s.unhealthySince = now
	}
}

// isDue reports whether an instance of the given rank inspects the group now.
func (s *inspectionSchedule) isDue(rank int, now bbrtype.Mono) bool {
	delay := min(maxInspectInterval, minInspectInterval*time.Duration(rank/ranksPerStep))
	if s.unhealthySince != 0 && now.Sub(s.unhealthySince) < delay {
		return false
	}
	return s.inspectedAt == 0 || now.Sub(s.inspectedAt) >= max(minInspectInterval, delay)
}

// inspectionRank returns the number of other instances that rank before this one for
// a group.
func (n *Node) inspectionRank(g bbrtype.GroupName) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	ids := make([]bbrtype.InstanceID, 0, len(n.peers))
	for _, p := range n.peers {
		ids = append(ids, bbrtype.InstanceID(p.Address))
	}
	return bbrrendezvous.Rank("change/"+string(g), ids, bbrtype.InstanceID(n.settings.Peers))
}
