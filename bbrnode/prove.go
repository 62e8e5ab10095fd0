package bbrnode

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// storeProofTimeout bounds a read of the groups' records by which proofs are
	// renewed.
	storeProofTimeout = 350 * time.Millisecond
	// lateReadDelay is how long such a read may take before another one is sent. The reply to
	// that one still arrives within sharedReadWait.
	lateReadDelay = 40 * time.Millisecond
	// delegateStoreProofInterval is the least interval between two reads for proofs
	// by the proof delegate of a data centre (see proofDelegate), storeProofInterval
	// is the least interval for the other instances.
	delegateStoreProofInterval = 300 * time.Millisecond
	storeProofInterval         = time.Second
)

// errRecordUnconfirmed means that the record of a group is not confirmed in the store's
// era. Only the group's members can prove its primary then.
var errRecordUnconfirmed = errors.New("a group's record is not confirmed since the store was restored")

// proveFromStore reads the groups' records from the store, and renews the proof of
// the primary of each group whose record shows that no change of primary has begun.
// Concurrent calls share one read, which covers all groups, and nothing is read if
// the last read is recent or if no record can prove anything.
func (n *Node) proveFromStore(ctx context.Context) error {
	if _, all := n.unconfirmedRecords(); all {
		return errRecordUnconfirmed
	}
	err := n.readRecords(ctx)
	if some, _ := n.unconfirmedRecords(); err == nil && some {
		return errRecordUnconfirmed
	}
	return err
}

// readRecords reads the groups' records unless the last read is recent, see proveByRecords.
func (n *Node) readRecords(ctx context.Context) error {
	interval := delegateStoreProofInterval
	if _, isOther := n.proofDelegate(); isOther {
		interval = storeProofInterval
	}
	return n.storeProofFlight.doUnlessRecent(ctx, n.clock.Now(), interval, n.proveByRecords)
}

// proveByRecords reads the groups' records and renews the proofs of all groups by them.
func (n *Node) proveByRecords(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeProofTimeout)
	defer cancel()
	reply := n.readGroupTable(ctx)
	if reply.err != nil {
		return reply.err
	}
	version, sentAt := reply.version, reply.sentAt
	n.recordEra(version.Era)
	n.applyRows(reply.rows)
	n.recordRecordsRead(version, sentAt)
	n.refreshTableReads(version, sentAt)
	for _, g := range n.allGroups() {
		p := g.Primary()
		if bbrsuccession.ConfirmsTerm(n.knownRecord(g.Name()), version.Era, p.Term, n.clock.Now()) {
			g.RecordStoreProof(p.Term, sentAt)
		}
	}
	return nil
}

// groupTableReply is the reply to a read of the groups' records that was sent at sentAt.
type groupTableReply struct {
	rows    []bbrrows.Row
	version bbrrows.Version
	sentAt  bbrtype.Mono
	err     error
}

// readGroupTable reads the groups' records, once more after lateReadDelay, and returns the first
// reply. A packet that gets lost would otherwise delay the proofs of a whole data centre, whose
// instances would then each read the store.
func (n *Node) readGroupTable(ctx context.Context) groupTableReply {
	replies := make(chan groupTableReply, 2)
	read := func() {
		r := groupTableReply{sentAt: n.clock.Now()}
		r.rows, r.version, r.err = n.platform.Store.Read(ctx, groupTable)
		replies <- r
	}
	n.runAsync(read)
	pending := 1
	late := time.NewTimer(lateReadDelay)
	defer late.Stop()
	for {
		select {
		case r := <-replies:
			if pending--; r.err == nil || pending == 0 {
				return r
			}
		case <-late.C:
			pending++
			n.runAsync(read)
		}
	}
}

// unconfirmedRecords reports whether the record of any group is not confirmed in the
// store's era, and whether none is confirmed.
func (n *Node) unconfirmedRecords() (some, all bool) {
	groups := n.allGroups()
	era := n.currentEra()
	count := 0
	for _, g := range groups {
		if !n.knownRecord(g.Name()).IsConfirmedIn(era.Era) {
			count++
		}
	}
	return count > 0, era.Since != 0 && count > 0 && count == len(groups)
}
