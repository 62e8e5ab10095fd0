package bbrnode

import (
	"context"
	"maps"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// seenInterval is the least interval between two passes over the members that are
	// not recorded as seen.
	seenInterval = time.Second
	// seenStagger is the delay by which each further instance, in the order of its rank,
	// records members.
	seenStagger = 400 * time.Millisecond
	// maxSeenDelay bounds that delay.
	maxSeenDelay = 4 * time.Second
	// seenMaxAge is the age up to which a read of the recorded members is used.
	seenMaxAge = 3 * time.Second
	// seenTimeout bounds a read of the recorded members.
	seenTimeout = 500 * time.Millisecond
	// maxSeenWrites bounds the members of one write. The store takes 100 rows.
	maxSeenWrites = 90
)

// seenMembers are the members of which the store records that they have replied to an
// instance. A member that is listed but was never seen may have no process behind it, and
// is not waited for in a change of primary (see bbrsuccession.MayHaveConfirmed). The
// confirmation of such a member alone does not show that a commit lasts (see
// bbrlink.Deps.SeenMembers). It is guarded by Node.mu. The zero value knows of none.
type seenMembers struct {
	// recorded is replaced as a whole: groups read it without Node.mu.
	recorded map[bbrtype.MemberName]bool
	// readSince is since when the record could be read, 0 if it cannot. readAt is when it
	// was last read.
	readSince, readAt bbrtype.Mono
	// era is the store's era in which it was read. A restore may lose rows of it.
	era bbrrows.Era
	// checkedAt is when the last pass began.
	checkedAt bbrtype.Mono
	// due is when this instance records the members that have replied and are not
	// recorded, 0 if there are none.
	due bbrtype.Mono
}

// recordSeen queries the members of the groups that this instance holds, if they have not
// shown yet that they run, and records those that have.
func (n *Node) recordSeen(ctx context.Context) {
	now := n.clock.Now()
	n.mu.Lock()
	due := !n.stopping && (n.seen.checkedAt == 0 || now.Sub(n.seen.checkedAt) >= seenInterval)
	if due {
		n.seen.checkedAt = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	var replied []bbrtype.MemberName
	rank, silent := -1, false
	for _, g := range n.allGroups() {
		if !n.holds(g.Name()) {
			continue
		}
		for _, m := range g.Members() {
			switch {
			case n.isSeen(m.ID):
			case g.HasReplied(m.ID):
				replied = append(replied, m.ID)
				if r := n.fleet.Load().Rank("seen", g.Name(), n.maxConnections(g.Name())); rank < 0 || r < rank {
					rank = r
				}
			default:
				silent = true
				n.runAsync(func() { _, _ = g.QueryStatus(ctx, m.ID) })
			}
		}
	}
	switch {
	case n.isSeenDue(len(replied), rank, now):
		n.runAsync(func() { n.writeSeen(ctx, replied) })
	case silent:
		n.runAsync(func() { n.readSeen(ctx) })
	}
}

// isSeenDue reports whether this instance is to record members now: instances that rank
// before it have had their turn.
func (n *Node) isSeenDue(replied, rank int, now bbrtype.Mono) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if replied == 0 {
		n.seen.due = 0
		return false
	}
	if n.seen.due == 0 {
		n.seen.due = now.Add(min(maxSeenDelay, seenStagger*time.Duration(rank)))
	}
	if now < n.seen.due {
		return false
	}
	n.seen.due = 0
	return true
}

// isSeen reports whether a member is recorded as seen.
func (n *Node) isSeen(id bbrtype.MemberName) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen.recorded[id] && n.seen.era == n.storeEra.Era
}

// writeSeen records members that have replied. Another instance may have recorded them
// meanwhile.
func (n *Node) writeSeen(ctx context.Context, members []bbrtype.MemberName) {
	if !n.readSeen(ctx) {
		return
	}
	write := bbrrows.ConditionalWrite{Set: map[bbrrows.RowKey][]byte{}}
	for _, id := range members {
		if !n.isSeen(id) && len(write.Set) < maxSeenWrites {
			write.Set[bbrrows.RowKey{Table: seenTable, Key: string(id)}] = []byte("{}")
		}
	}
	if len(write.Set) == 0 {
		return
	}
	version, err := n.platform.Store.Write(ctx, write)
	if err != nil {
		n.log.WithError(err).Info("cannot record yet which members have replied")
		return
	}
	n.recordEra(version.Era)
	n.mu.Lock()
	defer n.mu.Unlock()
	recorded := maps.Clone(n.seen.recorded)
	for key := range write.Set {
		recorded[bbrtype.MemberName(key.Key)] = true
	}
	n.seen.recorded = recorded
	n.log.WithField("members", len(write.Set)).Info("members recorded that have replied")
}

// readSeen reads which members have replied, and reports whether it could.
func (n *Node) readSeen(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, seenTimeout)
	defer cancel()
	rows, version, err := n.platform.Store.Read(ctx, seenTable)
	if err == nil {
		n.recordEra(version.Era)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.log.WithError(err).Info("cannot read which members have replied; all count")
		n.seen.readSince = 0
		return false
	}
	if n.seen.readSince == 0 || n.seen.era != version.Era {
		n.seen.readSince = n.clock.Now()
	}
	n.seen.era, n.seen.readAt = version.Era, n.clock.Now()
	recorded := make(map[bbrtype.MemberName]bool, len(rows))
	for _, r := range rows {
		recorded[bbrtype.MemberName(r.Key)] = !r.Deleted
	}
	n.seen.recorded = recorded
	return true
}

// seenMembers returns the members that are recorded in the store's era, nil if the records
// of that era have not been read.
func (n *Node) seenMembers() map[bbrtype.MemberName]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen.era != n.storeEra.Era {
		return nil
	}
	return n.seen.recorded
}

// mayHaveConfirmed reports whether a member of a group that does not respond may have
// confirmed commits.
func (n *Node) mayHaveConfirmed(g *bbrlink.Group, id bbrtype.MemberName) bool {
	evidence := bbrsuccession.MemberEvidence{HasReplied: g.HasReplied(id), ListedSince: g.FirstListed(id)}
	n.mu.Lock()
	evidence.HasReplied = evidence.HasReplied || n.seen.recorded[id]
	evidence.RecordsKnown = n.seen.readSince != 0 && n.seen.era == n.storeEra.Era && n.clock.Now().Sub(n.seen.readAt) < seenMaxAge
	evidence.RecordsSince = max(n.seen.readSince, n.storeEra.Since)
	n.mu.Unlock()
	return bbrsuccession.MayHaveConfirmed(evidence, n.clock.Now())
}
