package bbrnode

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrfollow"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// askedTime is how long an instance follows the store after another one has asked it to.
	askedTime = 3 * time.Second
	// maxSharedBytes bounds the rows of a table in a reply. Larger ones, as of a large
	// configuration, are read from the store by each instance: the follower's link may be
	// narrow.
	maxSharedBytes = 32 << 10
	// failingGrace is how long the store may reject reads of a table before the table is
	// left out of replies.
	failingGrace = time.Second
)

// tableReads is how far an instance knows the store's tables, and from where. It is guarded
// by Node.mu. The zero value knows nothing and follows the store.
type tableReads struct {
	reads bbrfollow.TableReads
	// complete holds, for each table, the version from which all deletions are known: that
	// of its first whole read in the era.
	complete map[string]bbrrows.Version
	// failingSince is since when reads of a table from the store fail.
	failingSince map[string]bbrtype.Mono
	// follower is the instance that this one follows, "" if it follows the store.
	follower bbrtype.InstanceID
	// isPending is set until this instance has chosen from where it learns of changes.
	isPending bool
	// isStarting is set until a seed has replied, or none has in time.
	isStarting bool
	// askedUntil is until when this instance follows the store for others.
	askedUntil bbrtype.Mono
	// changed is closed at the next change of any of these or of a row, nil if nobody
	// waits for it.
	changed chan struct{}
}

// next returns a channel that is closed at the next change. Node.mu must be held.
func (r *tableReads) next() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// notify tells those that wait that something has changed. Node.mu must be held.
func (r *tableReads) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// isComplete reports whether all changes of a table after a version are known. Node.mu must
// be held.
func (r *tableReads) isComplete(table string, after bbrrows.Version) bool {
	from, ok := r.complete[table]
	return ok && after.Era == from.Era && !from.IsNewerThan(after)
}

// setComplete records a whole read of a table at a version. Node.mu must be held.
func (r *tableReads) setComplete(table string, version bbrrows.Version) {
	if from, ok := r.complete[table]; ok && from.Era >= version.Era {
		return
	}
	if r.complete == nil {
		r.complete = map[string]bbrrows.Version{}
	}
	r.complete[table] = version
}

// recordFailure records that a read of a table from the store has failed. Node.mu must be
// held.
func (r *tableReads) recordFailure(table string, now bbrtype.Mono) {
	if r.failingSince == nil {
		r.failingSince = map[string]bbrtype.Mono{}
	}
	if r.failingSince[table] == 0 {
		r.failingSince[table] = now
	}
}

// recordTableRead records that all changes of a table up to a version are applied.
func (n *Node) recordTableRead(table string, read bbrfollow.TableRead) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.tables.reads[table]
	if read.Version.Era < n.storeEra.Era {
		return
	}
	seen := read
	if old.Version.IsNewerThan(read.Version) {
		read.Version = old.Version
	}
	read.SentAt = max(read.SentAt, old.SentAt)
	if n.tables.reads == nil {
		n.tables.reads = bbrfollow.TableReads{}
	}
	n.tables.reads[table] = read
	n.tables.reads.Refresh(seen.Version, seen.SentAt)
	delete(n.tables.failingSince, table)
	n.tables.notify()
}

// refreshTableReads records that the store had a version by a request that was sent at
// sentAt.
func (n *Node) refreshTableReads(version bbrrows.Version, sentAt bbrtype.Mono) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tables.reads.Refresh(version, sentAt)
}

// tableReads returns how far the tables are known.
func (n *Node) tableReads() bbrfollow.TableReads {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.tables.reads)
}

// readAges returns the log fields of the ages of the tables, in milliseconds.
func (n *Node) readAges() logrus.Fields {
	now := n.clock.Now()
	fields := logrus.Fields{}
	for table, r := range n.tableReads() {
		fields[table+"AgeMs"] = now.Sub(r.SentAt).Milliseconds()
	}
	return fields
}

// followed returns the instance that this one follows, "" if it follows the store.
func (n *Node) followed() bbrtype.InstanceID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tables.follower
}

// setFollowed records which instance this one follows, "" if it follows the store.
func (n *Node) setFollowed(id bbrtype.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tables.follower != id || n.tables.isPending {
		n.tables.follower, n.tables.isPending = id, false
		n.tables.notify()
	}
}

// followsStore reports whether this instance follows the store, for itself or for others.
func (n *Node) followsStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isOnDuty()
}

// isOnDuty is followsStore with n.mu held.
func (n *Node) isOnDuty() bool {
	return n.tables.follower == "" && !n.tables.isPending || n.clock.Now() < n.tables.askedUntil
}

// endStart records that the instance waits for no seed any more.
func (n *Node) endStart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tables.isStarting = false
	n.tables.notify()
}

// awaitSeed waits, while the instance starts, until a seed has replied or another instance
// asks this one. It returns the version of the table that a seed has told, nil if none has.
func (n *Node) awaitSeed(ctx context.Context, table string) *bbrrows.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.tables.isStarting && n.tables.askedUntil == 0 && ctx.Err() == nil {
		changed := n.tables.next()
		n.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		n.mu.Lock()
	}
	if !n.loaded[table] {
		return nil
	}
	version := n.tables.reads[table].Version
	return &version
}

// awaitDuty waits until this instance follows the store, and reports whether it did not at
// first.
func (n *Node) awaitDuty(ctx context.Context) (waited bool) {
	for ctx.Err() == nil {
		n.mu.Lock()
		isOnDuty, changed := n.isOnDuty(), n.tables.next()
		n.mu.Unlock()
		if isOnDuty {
			return waited
		}
		waited = true
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return waited
}

// resumeCursor returns the version from which to follow a table again, after another
// instance was followed.
func (n *Node) resumeCursor(table string, cursor bbrrows.Version) *bbrrows.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v := n.tables.reads[table].Version; v.IsNewerThan(cursor) {
		cursor = v
	}
	return &cursor
}

// serveFollow replies to an instance that follows this one, or that starts. Where there are few
// instances, all follow the store.
func (n *Node) serveFollow(ctx context.Context, q bbrshare.Question) (reply bbrshare.Knowledge) {
	if !n.mayBeFollowed() {
		return reply
	}
	arrivedAt := n.clock.Now()
	n.awaitChange(ctx, q)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tellTables(q, arrivedAt, &reply)
	return reply
}

// awaitChange follows the store for the instance that asks, and waits until a row of the
// tables that it asks for has changed, or until what it is told is fresh if it was not.
func (n *Node) awaitChange(ctx context.Context, q bbrshare.Question) {
	ctx, cancel := context.WithTimeout(ctx, q.FollowFor)
	defer cancel()
	limits := n.followLimits()
	n.mu.Lock()
	if !n.isOnDuty() {
		n.log.WithField("tables", len(q.Versions)).Info("following the store for other instances")
	}
	wasOnDuty := n.isOnDuty()
	n.tables.askedUntil = n.clock.Now().Add(askedTime)
	if !wasOnDuty {
		n.tables.notify()
	}
	wasStale := n.isStale(q, limits)
	isDone := func() bool {
		if wasStale {
			return !n.isStale(q, limits)
		}
		return n.hasChanged(q)
	}
	for ctx.Err() == nil && !n.stopping && !isDone() {
		changed := n.tables.next()
		n.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		n.mu.Lock()
	}
	n.mu.Unlock()
}

// isStale reports whether the tables that a question asks for are not known as they are to
// be. n.mu must be held.
func (n *Node) isStale(q bbrshare.Question, limits bbrfollow.Limits) bool {
	asked := bbrfollow.Limits{}
	for table := range q.Versions {
		if l, ok := limits[table]; ok {
			asked[table] = l
		}
	}
	return bbrfollow.Judge(asked, n.tables.reads, n.storeEra.Era, n.clock.Now()) != bbrfollow.ReasonNone
}

// hasChanged reports whether there are rows for an instance that asks. n.mu must be held.
func (n *Node) hasChanged(q bbrshare.Question) bool {
	for table, version := range q.Versions {
		if _, isRead := n.tables.reads[table]; !isRead {
			continue
		}
		if !n.tables.isComplete(table, version) || len(n.mirror.ChangedSince(table, version)) > 0 {
			return true
		}
	}
	return false
}

// tellTables adds to the reply to a question how far this instance knows the tables that it
// is asked for, with their rows. n.mu must be held.
func (n *Node) tellTables(q bbrshare.Question, arrivedAt bbrtype.Mono, reply *bbrshare.Knowledge) {
	if n.stopping {
		return
	}
	for table, version := range q.Versions {
		read, ok := n.tables.reads[table]
		if since := n.tables.failingSince[table]; !ok || since != 0 && n.clock.Now().Sub(since) > failingGrace {
			continue
		}
		told := bbrshare.TableRead{Table: table, Version: read.Version, Age: arrivedAt.Sub(read.SentAt)}
		rows := n.mirror.ChangedSince(table, version)
		if told.IsWhole = !n.tables.isComplete(table, version); told.IsWhole {
			rows = n.mirror.Snapshot(table)
		}
		if told.IsOmitted = sizeOf(rows) > maxSharedBytes; !told.IsOmitted {
			reply.Rows = append(reply.Rows, rows...)
		}
		reply.Reads = append(reply.Reads, told)
	}
}

// sizeOf returns the length of the values of rows in bytes.
func sizeOf(rows []bbrrows.Row) int {
	size := 0
	for _, r := range rows {
		size += len(r.Value)
	}
	return size
}
