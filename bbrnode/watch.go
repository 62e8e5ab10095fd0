package bbrnode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrfollow"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// minStoreBackoff is the delay after the first failed call to the store. It
	// doubles with each further failure up to maxStoreBackoff.
	minStoreBackoff = 200 * time.Millisecond
	// maxStoreBackoff is the longest delay between two calls to the store.
	maxStoreBackoff = time.Second
	// replyMargin is subtracted from the time within which a configuration has to
	// take effect, to get the timeout of a long poll for it. It leaves time for the
	// reply.
	replyMargin = 500 * time.Millisecond
	// recordPollTimeout bounds a long poll for changes of the groups' records. It
	// may be long because proveFromStore reads the records at shorter intervals
	// anyway.
	recordPollTimeout = 12 * time.Second
	// memberPollShare is how many polls for changes of the members' entries begin at most
	// within the time after which a draining member must receive no more statements.
	memberPollShare = 10
	// sharedPollTimeout bounds the long polls of an instance that others follow.
	sharedPollTimeout = 12 * time.Second
	// sharedRecordAge is the age above which such an instance asks for changes of the groups'
	// records anew.
	sharedRecordAge = 5 * time.Second
	// resumePollTimeout bounds the first poll after a failed one. The store may have been
	// restored meanwhile, which its reply shows.
	resumePollTimeout = time.Millisecond
	// readMembersTimeout bounds a read of the list of members before a decision.
	readMembersTimeout = 500 * time.Millisecond
)

// followedTable is a table of the store that an instance follows.
type followedTable struct {
	name string
	// pollTimeout bounds a long poll for changes. If the connection breaks without
	// an error, the loss is detected shortly after pollTimeout.
	pollTimeout time.Duration
	// pollInterval is the least interval between the beginnings of two reads or polls. It
	// bounds the calls to the store while one row after the other changes, as when many
	// members start.
	pollInterval time.Duration
	// sharedAge is the age above which an instance that others follow asks for changes anew,
	// though a long poll is in progress.
	sharedAge time.Duration
}

// pollTimeoutOf returns the bound of a long poll for changes of a table.
func (n *Node) pollTimeoutOf(t followedTable) time.Duration {
	if n.mayBeFollowed() {
		return sharedPollTimeout
	}
	return t.pollTimeout
}

// mayBeFollowed reports whether others may follow this instance. Until the list of instances
// is read, there may be many.
func (n *Node) mayBeFollowed() bool {
	return !n.isListed() || bbrfollow.AreMany(len(n.neighbours())+1)
}

// errReadOld means that a long poll was given up because what is known of the table is old.
var errReadOld = errors.New("the table was not read for too long")

// withinAge returns a context that ends with errReadOld once the newest read of a table is
// older than others may use, if it is for a long poll.
func (n *Node) withinAge(ctx context.Context, t followedTable, isLongPoll bool) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if !isLongPoll || !n.mayBeFollowed() {
		return ctx, cancel
	}
	n.runAsync(func() {
		for startedAt := n.clock.Now(); ctx.Err() == nil; {
			left := max(startedAt, n.tableReads()[t.name].SentAt).Add(t.sharedAge).Sub(n.clock.Now())
			if left <= 0 {
				cancel(errReadOld)
			}
			bbrtype.Sleep(ctx, left)
		}
	})
	return ctx, cancel
}

// followTable reads a table and then applies its changes until ctx ends. It pauses while
// this instance follows another one.
func (n *Node) followTable(ctx context.Context, t followedTable) {
	cursor := n.awaitSeed(ctx, t.name)
	pause := minStoreBackoff
	wait := n.pollTimeoutOf(t)
	log := n.log.WithField("table", t.name)
	for ctx.Err() == nil {
		if cursor != nil && n.awaitDuty(ctx) {
			cursor, wait = n.resumeCursor(t.name, *cursor), resumePollTimeout
		}
		startedAt := n.clock.Now()
		isLongPoll := cursor != nil && wait > resumePollTimeout
		pollCtx, cancel := n.withinAge(ctx, t, isLongPoll)
		next, err := n.readTable(pollCtx, t.name, cursor, wait)
		isOld := err != nil && errors.Is(context.Cause(pollCtx), errReadOld)
		cancel(nil)
		if isOld {
			wait = resumePollTimeout
			continue
		}
		if err == nil {
			cursor = next
			wait = n.pollTimeoutOf(t)
			if next != nil {
				n.recordTableRead(t.name, bbrfollow.TableRead{Version: *next, SentAt: startedAt})
			}
			if n.setUnavailable(t.name, false) {
				log.Info("store regained")
			}
			pause = minStoreBackoff
			n.sleepInEra(ctx, n.eraContext(), startedAt.Add(t.pollInterval).Sub(n.clock.Now()))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, bbrrows.ErrCompacted) && cursor != nil {
			log.WithFields(versionFields(*cursor)).Info("the store no longer has the changes after this version; reading the whole table")
			cursor = nil
			pause = minStoreBackoff
		} else if !n.setUnavailable(t.name, true) {
			log.WithError(err).Warn("store lost")
		}
		wait = resumePollTimeout
		bbrtype.Sleep(ctx, pause)
		pause = min(2*pause, maxStoreBackoff)
	}
}

// errOlderEra means that a reply comes from before a restore of the store that this
// instance already knows of.
var errOlderEra = errors.New("the reply is of an older era of the store")

// readTable reads the whole table if cursor is nil, and otherwise waits for changes
// after cursor, for at most the duration wait. It returns the version to continue from,
// nil to read the whole table next.
func (n *Node) readTable(ctx context.Context, table string, cursor *bbrrows.Version, wait time.Duration) (*bbrrows.Version, error) {
	if cursor == nil {
		return n.readWhole(ctx, table)
	}
	eraCtx := n.eraContext()
	// In a newer era the numbers after the cursor are given out anew, to changes that
	// this instance has not seen.
	if n.currentEra().Era > cursor.Era {
		return nil, nil
	}
	batch, err := n.watch(ctx, eraCtx, table, *cursor, wait)
	if n.currentEra().Era > cursor.Era {
		return nil, nil
	}
	if err != nil {
		return cursor, err
	}
	if cursor.IsNewerThan(batch.NextVersion) {
		return cursor, nil
	}
	return &batch.NextVersion, nil
}

// readWhole reads a whole table and returns the version to continue from.
func (n *Node) readWhole(ctx context.Context, table string) (*bbrrows.Version, error) {
	sentAt := n.clock.Now()
	rows, version, err := n.platform.Store.Read(ctx, table)
	if err != nil {
		return nil, err
	}
	n.recordEra(version.Era)
	if version.Era < n.currentEra().Era {
		return nil, errOlderEra
	}
	n.log.WithFields(versionFields(version)).WithFields(logrus.Fields{"table": table, "rows": len(rows)}).Info("whole table read")
	n.applyTable(table, rows, version)
	n.recordTableRead(table, bbrfollow.TableRead{Version: version, SentAt: sentAt})
	if table == groupTable {
		n.recordRecordsRead(version, sentAt)
	}
	return &version, nil
}

// readMembers reads the list of members from the store, for decisions that must not be
// based on an old one.
func (n *Node) readMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readMembersTimeout)
	defer cancel()
	_, err := n.readWhole(ctx, n.platform.MemberTable)
	return errors.Wrap(err, "read the list of members")
}

// watch waits for changes of a table and applies them. It returns early with an error if
// eraCtx ends, that is, if the store is found to be in a newer era.
func (n *Node) watch(ctx, eraCtx context.Context, table string, cursor bbrrows.Version, wait time.Duration) (bbrrows.ChangeBatch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(eraCtx, cancel)
	defer stop()
	batch, err := n.platform.Store.Watch(ctx, table, cursor, wait)
	if err == nil {
		n.recordEra(batch.NextVersion.Era)
		n.applyRows(batch.Rows)
	}
	return batch, err
}

// setUnavailable records whether reads of a table from the store fail, and returns
// the previous value.
func (n *Node) setUnavailable(table string, unavailable bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	wasUnavailable := n.unavailable[table]
	if unavailable {
		n.unavailable[table] = true
		n.tables.recordFailure(table, n.clock.Now())
		n.directory.RecordReadFailure(n.clock.Now())
	} else {
		delete(n.unavailable, table)
	}
	return wasUnavailable
}

// applyTable applies a read of a whole table.
func (n *Node) applyTable(table string, rows []bbrrows.Row, version bbrrows.Version) {
	n.recordEra(version.Era)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logIgnored(rows)
	n.applyChanged(n.mirror.ApplySnapshot(table, rows, version))
	n.tables.setComplete(table, version)
	n.loaded[table] = true
}

// applyRows applies rows from any source: the store, another instance or a write of
// this instance. Rows that are not newer than the known ones are ignored.
func (n *Node) applyRows(rows []bbrrows.Row) {
	for _, r := range rows {
		n.recordEra(r.Version.Era)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logIgnored(rows)
	n.applyChanged(n.mirror.Apply(rows))
}

// applyChanged applies rows that have changed. n.mu must be held.
func (n *Node) applyChanged(rows []bbrrows.Row) {
	instancesChanged := false
	for _, r := range rows {
		switch r.Table {
		case instanceTable:
			instancesChanged = true
		case n.platform.ConfigTable:
			n.applyCatalogue(r)
		case n.platform.MemberTable:
			n.applyMember(r)
		case groupTable:
			n.applyRecord(r)
		}
	}
	if instancesChanged {
		n.applyInstances(n.mirror.Snapshot(instanceTable))
	}
	if len(rows) > 0 {
		n.refreshGroups()
		n.tables.notify()
	}
}
