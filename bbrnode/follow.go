package bbrnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrfollow"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// followWait is how long a follower may wait for changes before it replies.
	followWait = 700 * time.Millisecond
	// followReplyMargin is how much later its reply may arrive. After that it counts as
	// silent.
	followReplyMargin = 300 * time.Millisecond
	// firstFollowWait is how long a follower that is asked first may take to read the store.
	firstFollowWait = 400 * time.Millisecond
	// minFollowWait bounds the rate of requests to a follower whose reads are about to be
	// too old.
	minFollowWait = 50 * time.Millisecond
	// sourceInterval is the interval at which an instance that follows the store checks
	// whether it is to follow another instance.
	sourceInterval = 500 * time.Millisecond
	// seedWait is how long a seed may take to read the store for an instance that starts.
	seedWait = 80 * time.Millisecond
	// seedTimeout bounds the time for which an instance that starts asks seeds, before it
	// reads the store itself.
	seedTimeout = 100 * time.Millisecond
	// seedRetryDelay is the delay before the next seed is asked.
	seedRetryDelay = 30 * time.Millisecond
	// storeSpread is the time over which instances without a follower spread their return
	// to the store, and their reads of what a follower has omitted.
	storeSpread = 200 * time.Millisecond
)

// followOthers chooses from where this instance learns of changes, and follows another
// instance while that is the choice, until ctx ends.
func (n *Node) followOthers(ctx context.Context) {
	n.startFromSeed(ctx)
	n.awaitFleet(ctx)
	var left bbrfollow.Left
	for ctx.Err() == nil {
		switch s := bbrfollow.Choose(n.selfID(), n.neighbours(), &left, n.clock.Now()).(type) {
		case bbrfollow.Store:
			n.returnToStore(ctx)
			bbrtype.Sleep(ctx, sourceInterval)
		case bbrfollow.Follower:
			reason := n.followInstance(ctx, s.ID)
			if reason == bbrfollow.ReasonNone || ctx.Err() != nil {
				continue
			}
			left.Leave(s.ID, n.clock.Now())
			n.recordLeft(s.ID, reason)
		}
	}
}

// awaitChoice lets the instance wait for the reply of a seed before it reads each table once,
// and then until followOthers has chosen from where it learns of changes.
func (n *Node) awaitChoice() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tables.isPending = true
	n.tables.isStarting = len(n.settings.PeerSeeds) > 0
}

// startFromSeed asks seeds for the tables, so that instances that start together do not all
// read them from the store. A seed that is asked reads the store at once.
func (n *Node) startFromSeed(ctx context.Context) {
	defer n.endStart()
	seeds := n.settings.PeerSeeds
	if len(seeds) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	for i := rand.IntN(len(seeds)); ctx.Err() == nil; i++ {
		seed := seeds[i%len(seeds)]
		isTold, err := n.askSeed(ctx, seed)
		if err == nil {
			n.log.WithFields(logrus.Fields{"seed": seed, "told": isTold}).Info("seed asked for the tables")
			return
		}
		bbrtype.Sleep(ctx, seedRetryDelay)
	}
	n.log.Info("no seed has replied; reading the tables from the store")
}

// askSeed asks a seed for the tables, and reports whether it told them all. It tells none if
// there are few instances.
func (n *Node) askSeed(ctx context.Context, seed string) (isTold bool, err error) {
	limits := n.followLimits()
	delete(limits, instanceTable) // the list is not complete yet
	q := bbrshare.Question{FollowFor: seedWait, Versions: n.readVersions(limits)}
	ctx, cancel := context.WithTimeout(ctx, seedWait+followReplyMargin/2)
	defer cancel()
	sentAt := n.clock.Now()
	reply, err := n.peerClient.Pull(ctx, seed, q)
	if err != nil {
		return false, err
	}
	reads := n.applyFollowed(ctx, q, reply, sentAt)
	return bbrfollow.Judge(limits, reads, n.currentEra().Era, n.clock.Now()) == bbrfollow.ReasonNone, nil
}

// selfID returns the id of this instance among the others.
func (n *Node) selfID() bbrtype.InstanceID { return bbrtype.InstanceID(n.settings.PeerAddress) }

// neighbours returns the other listed instances of this data centre.
func (n *Node) neighbours() []bbrtype.InstanceID {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []bbrtype.InstanceID
	for _, p := range n.peers {
		if p.DataCentre == n.settings.DataCentre {
			out = append(out, bbrtype.InstanceID(p.Address))
		}
	}
	return out
}

// returnToStore lets the instance follow the store, after a delay that differs between
// instances if it followed another one so far.
func (n *Node) returnToStore(ctx context.Context) {
	if n.followsStore() || n.followed() == "" {
		n.setFollowed("")
		return
	}
	bbrtype.Sleep(ctx, rand.N(storeSpread))
	n.log.WithFields(n.readAges()).Info("following the store")
	n.setFollowed("")
}

// followInstance asks a follower once for changes, and waits for them. It returns the
// reason to leave the follower.
func (n *Node) followInstance(ctx context.Context, id bbrtype.InstanceID) bbrfollow.Reason {
	limits := n.followLimits()
	wait := firstFollowWait
	isFirst := n.followed() != id
	if !isFirst {
		wait = max(minFollowWait, min(followWait, bbrfollow.TimeLeft(limits, n.tableReads(), n.clock.Now())))
	}
	q := bbrshare.Question{FollowFor: wait, Versions: n.readVersions(limits)}
	pullCtx, cancel := context.WithTimeout(ctx, wait+followReplyMargin)
	defer cancel()
	sentAt := n.clock.Now()
	reply, err := n.peerClient.Pull(pullCtx, string(id), q)
	if err != nil {
		return bbrfollow.ReasonSilent
	}
	reads := n.applyFollowed(ctx, q, reply, sentAt)
	reason := bbrfollow.Judge(limits, reads, n.currentEra().Era, n.clock.Now())
	if reason == bbrfollow.ReasonNone && isFirst {
		n.log.WithField("follower", id).WithFields(n.readAges()).Info("following another instance")
		n.setFollowed(id)
	}
	return reason
}

// recordLeft records that a follower was left.
func (n *Node) recordLeft(id bbrtype.InstanceID, reason bbrfollow.Reason) {
	n.metrics.followersLeft.WithLabelValues(string(reason)).Inc()
	n.log.WithFields(logrus.Fields{"follower": id, "reason": reason}).WithFields(n.readAges()).Info("follower left")
	n.mu.Lock()
	defer n.mu.Unlock()
	// The follower may have missed entries that are there again.
	n.directory.RecordReadFailure(n.clock.Now())
}

// applyFollowed applies a follower's reply to a question that was sent at sentAt, and
// returns the reads of the store that it reports.
func (n *Node) applyFollowed(ctx context.Context, q bbrshare.Question, reply bbrshare.Knowledge, sentAt bbrtype.Mono) bbrfollow.TableReads {
	rows := map[string][]bbrrows.Row{}
	for _, r := range reply.Rows {
		rows[r.Table] = append(rows[r.Table], r)
	}
	reads := bbrfollow.TableReads{}
	for _, r := range reply.Reads {
		if _, isAsked := q.Versions[r.Table]; !isAsked {
			continue
		}
		read := bbrfollow.TableRead{Version: r.Version, SentAt: min(sentAt.Add(-r.Age), n.clock.Now())}
		reads[r.Table] = read
		n.recordEra(r.Version.Era)
		switch {
		case r.Version.Era < n.currentEra().Era:
			continue
		case r.IsOmitted:
			n.readOmitted(ctx, r.Table)
			continue
		case r.IsWhole:
			n.applyTable(r.Table, rows[r.Table], r.Version)
		default:
			n.applyRows(rows[r.Table])
		}
		n.recordTableRead(r.Table, read)
		n.clearUnavailable(r.Table)
	}
	return reads
}

// readOmitted reads a table from the store whose rows are too large for a follower. If the
// store does not reply, other instances are asked, see pullUnavailableTables.
func (n *Node) readOmitted(ctx context.Context, table string) {
	bbrtype.Sleep(ctx, rand.N(storeSpread))
	if _, err := n.readWhole(ctx, table); err != nil {
		n.setUnavailable(table, true)
		n.log.WithField("table", table).WithError(err).Info("cannot read what the follower has omitted")
		bbrtype.Sleep(ctx, maxStoreBackoff)
		return
	}
	n.clearUnavailable(table)
}

// clearUnavailable records that the table can be read, if that was not so.
func (n *Node) clearUnavailable(table string) {
	if n.isUnavailable(table) {
		n.setUnavailable(table, false)
	}
}

// followLimits returns the limits of the tables that instances learn of from followers.
func (n *Node) followLimits() bbrfollow.Limits {
	limits := bbrfollow.Limits{instanceTable: {MaxReadAge: 2 * maxListInterval}}
	for _, t := range n.followedTables() {
		limits[t.name] = bbrfollow.TableLimits{MaxReadAge: t.sharedAge, PollInterval: t.pollInterval}
	}
	return limits
}

// unknownVersion is asked for in place of the version of a table that is not known: it is
// older than that of a store without any row.
var unknownVersion = bbrrows.Version{Number: -1}

// readVersions returns the versions up to which the tables are known.
func (n *Node) readVersions(limits bbrfollow.Limits) bbrshare.Versions {
	reads := n.tableReads()
	out := bbrshare.Versions{}
	for table := range limits {
		out[table] = unknownVersion
		if read, ok := reads[table]; ok {
			out[table] = read.Version
		}
	}
	return out
}
