package bbrnode

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// firstRanks is the number of instances that look into a group's trouble at
	// once. The next ones follow, one lookEvery after another.
	firstRanks = 4
	// longestTurn bounds the time between two looks of one instance.
	longestTurn = 2 * time.Second
)

// turn is when an instance looks into what concerns a group. The later an
// instance ranks, the later and the rarer it looks: the number of looks grows with
// the logarithm of the instances, and somebody looks whichever of them are away.
type turn struct {
	// since is when the trouble began, 0 if there is none.
	since bbrtype.Mono
	// lookedAt is when the instance last looked.
	lookedAt bbrtype.Mono
}

// note takes in whether there is trouble.
func (t *turn) note(trouble bool, now bbrtype.Mono) {
	switch {
	case !trouble:
		t.since = 0
	case t.since == 0:
		t.since = now
	}
}

// isDue reports whether an instance of a rank looks now.
func (t *turn) isDue(rank int, now bbrtype.Mono) bool {
	wait := min(longestTurn, lookEvery*time.Duration(rank/firstRanks))
	if t.since != 0 && now.Sub(t.since) < wait {
		return false
	}
	return t.lookedAt == 0 || now.Sub(t.lookedAt) >= max(lookEvery, wait)
}

// rank is the number of known instances that look into a group's trouble before
// this one.
func (n *Node) rank(g bbrtype.GroupName) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	ids := make([]bbrtype.InstanceID, 0, len(n.peers))
	for _, p := range n.peers {
		ids = append(ids, bbrtype.InstanceID(p.Address))
	}
	return bbrrendezvous.Rank("change/"+string(g), ids, bbrtype.InstanceID(n.settings.Peers))
}
