package bbrnode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// confirmStagger is the delay by which each further instance, in the order of its
	// rank, confirms records later.
	confirmStagger = 150 * time.Millisecond
	// confirmGatherTime is how long an instance waits for the proofs of more groups
	// before it confirms the records of some. Each write wakes all instances that follow
	// the table.
	confirmGatherTime = 2 * time.Second
	// confirmRetryInterval is the interval between two attempts.
	confirmRetryInterval = time.Second
	// maxConfirmedRecords bounds the records of one write. The store takes 100 rows.
	maxConfirmedRecords = 90
)

// confirmSchedule is when an instance confirms the records of groups in the store's era:
// the primaries are proven from after the time at which all claims of the older eras have
// expired, and the instances that rank before it have had their turn.
type confirmSchedule struct {
	// proven is the number of groups that could be confirmed when it last changed, at
	// changedAt.
	proven           int
	changedAt, tried bbrtype.Mono
}

// isDue reports whether to confirm the records of proven out of unconfirmed groups.
func (s *confirmSchedule) isDue(proven, unconfirmed, rank int, now bbrtype.Mono) bool {
	if proven != s.proven {
		s.proven, s.changedAt = proven, now
	}
	wait := confirmStagger * time.Duration(rank)
	if proven < unconfirmed {
		wait += confirmGatherTime
	}
	if proven == 0 || now.Sub(s.changedAt) < wait {
		return false
	}
	if s.tried != 0 && now.Sub(s.tried) < confirmRetryInterval {
		return false
	}
	s.tried = now
	return true
}

// confirmRecords writes the proven primaries of groups to their records, so that the
// records are confirmed in the store's era, if that is due.
func (n *Node) confirmRecords(ctx context.Context, s *confirmSchedule) {
	now := n.clock.Now()
	writes, unconfirmed := n.confirmableRecords(now)
	if unconfirmed == 0 || !s.isDue(len(writes), unconfirmed, n.confirmRank(writes), now) {
		return
	}
	writes = writes[:min(len(writes), maxConfirmedRecords)]
	n.runAsync(func() { n.writeConfirmed(ctx, writes) })
}

// confirmRank returns how many instances come before this one in confirming records: for
// the group for which the fewest do.
func (n *Node) confirmRank(writes []recordWrite) int {
	lowest := n.rank("confirm")
	fleet := n.fleet.Load()
	for _, w := range writes {
		if limit := n.maxConnections(w.group); fleet.IsScarce(limit) && fleet.Holds(w.group, limit) {
			lowest = min(lowest, fleet.Rank("confirm", w.group, limit))
		}
	}
	return lowest
}

// confirmableRecords returns the writes that confirm records, and the number of groups
// whose records are not confirmed.
func (n *Node) confirmableRecords(now bbrtype.Mono) (writes []recordWrite, unconfirmed int) {
	era := n.currentEra()
	if era.Since == 0 || !n.hasLoaded(groupTable) {
		return nil, 0
	}
	for _, g := range n.allGroups() {
		known := n.knownRecord(g.Name())
		if known.IsConfirmedIn(era.Era) {
			continue
		}
		unconfirmed++
		p := g.Primary()
		from := bbrsuccession.ConfirmableFrom(known, era)
		if now >= from && g.ProofSentAt(p) >= from {
			record := bbrsuccession.Confirm(known, p.Member, p.Term, era.Era)
			writes = append(writes, recordWrite{group: g.Name(), known: known, record: record})
		}
	}
	return writes, unconfirmed
}

// writeConfirmed writes confirmed records, but for the groups whose primary this instance
// is changing.
func (n *Node) writeConfirmed(ctx context.Context, writes []recordWrite) {
	var begun []recordWrite
	for _, w := range writes {
		if n.beginChange(w.group) {
			defer n.endChange(w.group)
			begun = append(begun, w)
		}
	}
	if len(begun) == 0 {
		return
	}
	era := begun[0].record.Era
	log := n.log.WithFields(logrus.Fields{"groups": len(begun), "era": era})
	version, err := n.writeRecords(ctx, era, begun...)
	if err == nil && version.Era != era {
		err = errStoreRestored
	}
	if err == nil {
		err = n.applyWritten(version, begun...)
	}
	if err != nil {
		log.WithError(err).Info("records of groups are not confirmed yet")
		return
	}
	for _, w := range begun {
		log.WithFields(logrus.Fields{"group": w.group, "primary": w.record.Primary, "term": w.record.Term}).Info("record of the group confirmed")
	}
}
