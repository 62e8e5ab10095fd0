package bbrnode

import (
	"context"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// recordsRenewAge is the age above which an instance renews its newest read of the groups'
// records, well below bbrproof.RecordsLease.
const recordsRenewAge = 400 * time.Millisecond

// fetchedRecordsAge is the age up to which a read that the proof delegate has told is used
// instead of one of this instance's own. The delegate renews at recordsRenewAge.
const fetchedRecordsAge = 550 * time.Millisecond

// sharedReadWait bounds the time for which a proof delegate waits for a read of the records
// before it replies. It is well below fetchProofsTimeout.
const sharedReadWait = 60 * time.Millisecond

// recordsNews is how far this instance knows the groups' records. It is guarded by Node.mu.
type recordsNews struct {
	// version is a version of the store up to which all changes of the records are applied,
	// and readAt is when the newest read was sent that showed such a version.
	version bbrrows.Version
	readAt  bbrtype.Mono
	// renewedAt is when the last attempt to renew them began.
	renewedAt bbrtype.Mono
	// registeredAt is a time after this instance's entry was written in registeredEra, 0 if it
	// was not. A change of primary asks the instances that are registered.
	registeredAt  bbrtype.Mono
	registeredEra bbrrows.Era
}

// recordRegistered records that this instance's entry was written in an era of the store.
func (n *Node) recordRegistered(era bbrrows.Era) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.news.registeredAt, n.news.registeredEra = n.clock.Now(), era
}

// recordRecordsRead records that all changes of the groups' records up to a version are
// applied, which was read by a request that was sent at sentAt.
func (n *Node) recordRecordsRead(version bbrrows.Version, sentAt bbrtype.Mono) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version.Era != n.storeEra.Era {
		return
	}
	n.news.readAt = max(n.news.readAt, sentAt)
	if version.IsNewerThan(n.news.version) {
		n.news.version = version
	}
}

// recordSharedRead records the read of the groups' records that another instance has reported,
// with the records that have changed since the version that it was asked for.
func (n *Node) recordSharedRead(q bbrshare.Question, read bbrshare.RecordsRead, requestedAt bbrtype.Mono) {
	asked, isAsked := q.Versions[groupTable]
	if read.Age == 0 || !isAsked || asked.IsNewerThan(n.recordsVersion()) {
		return
	}
	n.recordRecordsRead(read.Version, requestedAt.Add(-read.Age))
}

// recordsVersion returns a version of the store up to which all changes of the groups'
// records are applied.
func (n *Node) recordsVersion() bbrrows.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.news.version
}

// sharedRead returns the newest read of the groups' records for another instance. n.mu must be
// held.
func (n *Node) sharedRead() bbrshare.RecordsRead {
	if n.news.readAt == 0 || n.news.version.Era != n.storeEra.Era {
		return bbrshare.RecordsRead{}
	}
	return bbrshare.RecordsRead{Version: n.news.version, Age: max(1, n.clock.Now().Sub(n.news.readAt))}
}

// recordsReadAt returns when the newest read of the groups' records was sent, 0 if it does not
// show all promotions that may have been requested: the instances that change primaries ask
// only those that are registered, and one that stops registers no more.
func (n *Node) recordsReadAt() bbrtype.Mono {
	n.mu.Lock()
	defer n.mu.Unlock()
	isRegistered := n.news.registeredAt != 0 && n.news.registeredEra == n.storeEra.Era && !n.stopping
	if !isRegistered || n.news.readAt < n.news.registeredAt {
		return 0
	}
	return n.news.readAt
}

// areRecordsOlder reports whether the newest read of the groups' records is older than age.
func (n *Node) areRecordsOlder(age time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.news.readAt == 0 || n.clock.Now().Sub(n.news.readAt) > age
}

// renewRecords renews the newest read of the groups' records if that is due: by the proof
// delegate, else by the store.
func (n *Node) renewRecords(ctx context.Context) {
	if !n.areRecordsOlder(recordsRenewAge) || !n.holdsAnyGroup() || !n.beginRenewal() {
		return
	}
	n.runAsync(func() {
		maxAge := fetchedRecordsAge
		if n.fetchRecords(ctx) != nil {
			maxAge = recordsRenewAge // no later read is expected in time
		}
		if !n.areRecordsOlder(maxAge) {
			return
		}
		if err := n.readRecords(ctx); err != nil {
			n.log.WithError(err).Debug("cannot read the groups' records")
		}
	})
}

// fetchRecords pulls the records that have changed from the proof delegate, and the proof of a
// single group. It returns errNoPeer if this instance is the delegate.
func (n *Node) fetchRecords(ctx context.Context) error {
	address, isOther := n.proofDelegate()
	if !isOther {
		return errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, fetchProofsTimeout)
	defer cancel()
	held := n.heldPrimaries()
	err := n.pull(ctx, address, bbrshare.Question{
		RenewOlder: proofRenewAge, Groups: held[:min(1, len(held))], Versions: bbrshare.Versions{groupTable: n.recordsVersion()},
	})
	if err != nil {
		n.excludePeer(address)
	}
	return err
}

// readRecordsFor reads the groups' records on behalf of an instance whose proof delegate this one
// is. It returns after sharedReadWait at the latest.
func (n *Node) readRecordsFor(ctx context.Context) {
	done := make(chan struct{})
	n.runAsync(func() {
		defer close(done)
		if err := n.readRecords(context.WithoutCancel(ctx)); err != nil {
			n.log.WithError(err).Debug("cannot read the groups' records for another instance")
		}
	})
	timer := time.NewTimer(sharedReadWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// holdsAnyGroup reports whether this instance holds connections to the members of any group.
func (n *Node) holdsAnyGroup() bool {
	for _, g := range n.allGroups() {
		if n.holds(g.Name()) {
			return true
		}
	}
	return false
}

// beginRenewal reports whether the last attempt to renew the records began long enough ago,
// and begins another one.
func (n *Node) beginRenewal() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	interval := delegateStoreProofInterval
	if n.unavailable[groupTable] {
		interval = storeProofInterval
	}
	if n.news.renewedAt != 0 && now.Sub(n.news.renewedAt) < interval {
		return false
	}
	n.news.renewedAt = now
	return true
}
