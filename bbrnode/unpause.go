package bbrnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// An order to pause replication outlives the change of primary that gave it, if the order
// to resume gets lost or the order to pause arrives late. A paused replica receives nothing
// and confirms no commit. So after each change of primary the first-ranked instance queries
// the replicas, and resumes replication at those that have stayed paused.
//
// A change that begins meanwhile relies on the replicas that it pauses. An order to resume is
// therefore sent only right after a read of the store shows that no change has begun.

const (
	// firstPauseCheckDelay is how long after a change of primary the replicas are queried
	// first. lastPauseCheckDelay is how long after it they are queried once more, since
	// orders of the change may arrive until then.
	firstPauseCheckDelay = time.Second
	lastPauseCheckDelay  = 15 * time.Second
	// minPauseCheckInterval and maxPauseCheckInterval bound the interval between two queries
	// while a replica is paused or does not respond. The interval grows with the time since
	// the change.
	minPauseCheckInterval = 1500 * time.Millisecond
	maxPauseCheckInterval = 15 * time.Second
	// minPausedTime is how long a replica must have been seen paused under the same term
	// before replication is resumed there.
	minPausedTime = time.Second
	// resumeOrderTimeout bounds the time from the read that shows that no change of primary
	// has begun to the reply to the order to resume replication.
	resumeOrderTimeout = 500 * time.Millisecond
)

// pauseChecks schedules the queries for replicas of a group that have stayed paused. The
// zero value is ready to use.
type pauseChecks struct {
	mu sync.Mutex
	// token is the fencing token of the last change of primary that has ended, at endedAt.
	token   bbrsuccession.FencingToken
	endedAt bbrtype.Mono
	// isRunning is set while a check is in progress. checkedAt is when the last one began, 0
	// if there was none since the change.
	isRunning bool
	checkedAt bbrtype.Mono
	// isUnsettled is set if a replica was paused or did not respond at the last check.
	isUnsettled bool
	// isFinished is set once no check is due until the next change of primary.
	isFinished bool
	paused     map[bbrtype.MemberName]pausedReplica
}

// pausedReplica is a replica that was seen paused under a term, first at firstAt.
type pausedReplica struct {
	term    bbrtype.Term
	firstAt bbrtype.Mono
}

// groupPauseChecks are the checks of all groups.
type groupPauseChecks map[bbrtype.GroupName]*pauseChecks

// of returns the checks of a group.
func (c groupPauseChecks) of(name bbrtype.GroupName) *pauseChecks {
	if c[name] == nil {
		c[name] = &pauseChecks{}
	}
	return c[name]
}

// recordEnd records that the change of primary with a fencing token has ended.
func (c *pauseChecks) recordEnd(token bbrsuccession.FencingToken, now bbrtype.Mono) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token == c.token {
		return
	}
	c.token, c.endedAt, c.checkedAt = token, now, 0
	c.isUnsettled, c.isFinished, c.paused = false, false, nil
}

// begin reports whether a check is due, and records that it begins.
func (c *pauseChecks) begin(now bbrtype.Mono) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isRunning || c.isFinished || !c.isDue(now) {
		return false
	}
	c.isRunning, c.checkedAt = true, now
	return true
}

// isDue reports whether to query the replicas now. The caller holds mu.
func (c *pauseChecks) isDue(now bbrtype.Mono) bool {
	age := now.Sub(c.endedAt)
	switch {
	case c.checkedAt == 0:
		return age >= firstPauseCheckDelay
	case c.isUnsettled:
		return now.Sub(c.checkedAt) >= min(max(minPauseCheckInterval, age/8), maxPauseCheckInterval)
	}
	return age >= lastPauseCheckDelay
}

// end records the statuses that the replicas have reported in a check after the change with
// a token, and returns the replicas at which replication is to be resumed.
func (c *pauseChecks) end(token bbrsuccession.FencingToken, replicas []bbrsuccession.Candidate, now bbrtype.Mono) (stayedPaused []bbrtype.MemberName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRunning = false
	if token != c.token {
		return nil
	}
	paused := map[bbrtype.MemberName]pausedReplica{}
	c.isUnsettled = false
	for _, m := range replicas {
		c.isUnsettled = c.isUnsettled || !m.Responded || m.Status.PausedTerm != 0
		if !m.Responded || m.Status.PausedTerm == 0 {
			continue
		}
		p, wasPaused := c.paused[m.ID]
		if !wasPaused || p.term != m.Status.PausedTerm {
			p = pausedReplica{term: m.Status.PausedTerm, firstAt: now}
		}
		paused[m.ID] = p
		if now.Sub(p.firstAt) >= minPausedTime {
			stayedPaused = append(stayedPaused, m.ID)
		}
	}
	c.paused = paused
	c.isFinished = !c.isUnsettled && c.checkedAt.Sub(c.endedAt) >= lastPauseCheckDelay
	return stayedPaused
}

// checkPaused starts a check for replicas that have stayed paused, if one is due and this
// instance is the first-ranked one.
func (n *Node) checkPaused(ctx context.Context, g *bbrlink.Group, c *pauseChecks) {
	known, now := n.knownRecord(g.Name()), n.clock.Now()
	if !n.showsNoChange(known, g) {
		return
	}
	c.recordEnd(known.Record.FencingToken, now)
	if n.inspectionRank(g.Name()) != 0 || !n.holds(g.Name()) || !c.begin(now) {
		return
	}
	n.runAsync(func() {
		replicas := n.replicaStatuses(ctx, g)
		now := n.clock.Now()
		stayedPaused := resumableReplicas(c.end(known.Record.FencingToken, replicas, now), replicas, known.OrderedMembers(now))
		if len(stayedPaused) > 0 {
			n.resumeStayedPaused(ctx, g, known, stayedPaused)
		}
	})
}

// resumableReplicas returns those of the replicas that have stayed paused at which replication
// may be resumed. While the promotion of a replica may still take effect, the others wait
// until that one receives.
func resumableReplicas(stayedPaused []bbrtype.MemberName, replicas []bbrsuccession.Candidate, ordered []bbrtype.MemberName) []bbrtype.MemberName {
	orderedReceive := true
	for _, m := range replicas {
		if slices.Contains(ordered, m.ID) && (!m.Responded || m.Status.PausedTerm != 0) {
			orderedReceive = false
		}
	}
	if orderedReceive {
		return stayedPaused
	}
	return slices.DeleteFunc(stayedPaused, func(id bbrtype.MemberName) bool { return !slices.Contains(ordered, id) })
}

// showsNoChange reports whether a group's record shows that a change of primary has ended,
// that the primary in use is the one that it has named, and that no other change has begun.
// A record that is not confirmed in the store's era shows it once all claims and promotions
// that a restore may have lost have expired. It may stay unconfirmed for as long as a replica
// is paused, since the members prove no primary then.
func (n *Node) showsNoChange(known bbrsuccession.VersionedRecord, g *bbrlink.Group) bool {
	r, era := known.Record, n.currentEra()
	if !known.Exists || known.Version.Era != era.Era || r.Phase != bbrsuccession.PhaseNamed || r.FencingToken == 0 || r.Term != g.Primary().Term {
		return false
	}
	return known.IsConfirmedIn(era.Era) || n.clock.Now().Sub(max(era.Since, known.FirstReadAt)) >= bbrsuccession.OrderTTL
}

// replicaStatuses queries the status of the replicas of a group that may have confirmed
// commits.
func (n *Node) replicaStatuses(ctx context.Context, g *bbrlink.Group) []bbrsuccession.Candidate {
	primary := g.Primary().Member
	statuses := n.callMembers(ctx, g, "", func(ctx context.Context, id bbrtype.MemberName) (bbrmessage.MemberStatus, error) {
		if id == primary {
			return bbrmessage.MemberStatus{}, nil
		}
		return g.QueryStatus(ctx, id)
	})
	return bbrsuccession.DropUnproven(statuses, func(id bbrtype.MemberName) bool { return n.mayHaveConfirmed(g, id) })
}

// resumeStayedPaused resumes replication at replicas, unless the store shows another record
// than the known one. This instance begins no change of primary meanwhile.
func (n *Node) resumeStayedPaused(ctx context.Context, g *bbrlink.Group, known bbrsuccession.VersionedRecord, replicas []bbrtype.MemberName) {
	if !n.beginChange(g.Name()) {
		return
	}
	defer n.endChange(g.Name())
	ctx, cancel := context.WithTimeout(ctx, resumeOrderTimeout)
	defer cancel()
	log := n.log.WithFields(logrus.Fields{"group": g.Name(), "fence": known.Record.FencingToken})
	if err := n.storeProofFlight.doSince(ctx, n.clock.Now(), n.clock.Now, n.proveByRecords); err != nil {
		log.WithError(err).Info("replicas have stayed paused; not resumed without the store's record")
		return
	}
	if current := n.knownRecord(g.Name()); current.Version != known.Version || !n.showsNoChange(current, g) {
		log.Info("replicas have stayed paused; not resumed, another change of primary has begun")
		return
	}
	var orders errgroup.Group
	for _, id := range replicas {
		orders.Go(func() error {
			status, err := g.ResumeReplication(ctx, id)
			log.WithFields(logrus.Fields{"member": id, "pausedTerm": status.PausedTerm, "received": status.Received}).WithError(err).Warn("replica has stayed paused; ordered to resume replication")
			return nil
		})
	}
	_ = orders.Wait()
}
