package bbrnode

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// maintainInterval is the interval between two maintenance passes over the
	// groups.
	maintainInterval = 100 * time.Millisecond
	// sampleMaxAge is the age of the newest sample of the primary's position above
	// which a new sample is taken.
	sampleMaxAge = 1100 * time.Millisecond
	// minInspectInterval is the least interval between two inspections of a group by
	// this instance.
	minInspectInterval = 150 * time.Millisecond
	// replyOverdueAfter is how long a primary may leave a statement unanswered
	// before its status is queried.
	replyOverdueAfter = 250 * time.Millisecond
	// observationMaxGap is the longest gap between two observations of the replicas'
	// positions in one series; after a longer gap a new series begins. It exceeds
	// maxInspectInterval, because otherwise a low-ranked instance would begin a new
	// series with each inspection and would never have watched the replicas for long
	// enough.
	observationMaxGap = maxInspectInterval + 500*time.Millisecond
)

// maintainGroups drops members whose entries are gone, closes unused connections and
// starts the tasks that are due for each group, until ctx ends. It also records which
// members have replied, and renews what is known of the groups' records.
func (n *Node) maintainGroups(ctx context.Context) {
	schedules := map[bbrtype.GroupName]*inspectionSchedule{}
	pauses := groupPauseChecks{}
	confirm := &confirmSchedule{}
	n.awaitFleet(ctx)
	for ctx.Err() == nil {
		n.mu.Lock()
		if n.directory.Expire(n.clock.Now()) {
			n.refreshGroups()
		}
		n.mu.Unlock()
		for _, g := range n.allGroups() {
			g.CloseStale()
			s := schedules[g.Name()]
			if s == nil {
				s = &inspectionSchedule{}
				schedules[g.Name()] = s
			}
			n.maintainGroup(ctx, g, s)
			n.checkPaused(ctx, g, pauses.of(g.Name()))
		}
		n.confirmRecords(ctx, confirm)
		n.recordSeen(ctx)
		n.renewRecords(ctx)
		bbrtype.Sleep(ctx, maintainInterval)
	}
}

// maintainGroup starts the task that is due for a group, if any. All instances
// detect a problem with a primary at about the same time, so only the first-ranked
// ones inspect the group at once; see inspectionSchedule. An instance that holds no
// connections to the group's members leaves it alone unless its primary needs inspection.
func (n *Node) maintainGroup(ctx context.Context, g *bbrlink.Group, s *inspectionSchedule) {
	p := g.Primary()
	now := n.clock.Now()
	needsInspection := p.Member == "" || g.UnresponsiveSince(p.Member) != 0 || g.DemotedSince() != 0 || g.CommitsStalledSince() != 0 || n.mayNeedChange(g, p)
	s.setNeedsInspection(needsInspection, now)
	holds := n.holds(g.Name())
	switch {
	case p.Member == "" && !holds:
		n.usePrimaryOfRecord(g)
		return
	case p.Member == "" && (s.inspectedAt == 0 || s.isDue(n.inspectionRank(g.Name()), now)):
		n.runAsync(func() { n.findPrimary(ctx, g) })
	case p.Member != "" && needsInspection && s.isDue(n.inspectionRank(g.Name()), now):
		n.runAsync(func() { n.inspectPrimary(ctx, g, p) })
	case !holds:
		return
	case p.Member != "" && n.isReplyOverdue(g, p.Member) && s.isDue(0, now):
		n.runAsync(func() { _, _ = g.QueryStatus(ctx, p.Member) })
	case !needsInspection && now.Sub(g.NewestSampleAt()) > sampleMaxAge && s.isDue(0, now):
		n.runAsync(func() { g.ObtainProof(ctx) })
	default:
		return
	}
	s.inspectedAt = now
}

// runAsync runs f in a goroutine of n.background.
func (n *Node) runAsync(f func()) {
	n.background.Go(func() error {
		f()
		return nil
	})
}

// findPrimary determines the primary from the group's record and from the statuses
// of all members.
func (n *Node) findPrimary(ctx context.Context, g *bbrlink.Group) {
	if !n.hasLoaded(groupTable) && !n.isUnavailable(groupTable) {
		return
	}
	n.usePrimaryOfRecord(g)
	best := bbrsuccession.Candidate{}
	for _, c := range n.memberStatuses(ctx, g) {
		if c.Responded && c.Status.Role == bbrmessage.RolePrimary && c.Status.Term >= best.Status.Term {
			best = c
		}
	}
	foundAt := n.clock.Now()
	current := g.Primary()
	if best.ID == "" || best.ID == current.Member || best.Status.Term < current.Term {
		return
	}
	p := bbrlink.Primary{Member: best.ID, Term: best.Status.Term}
	known := n.knownRecord(g.Name())
	if bbrsuccession.NamesTerm(known, n.currentEra().Era, p.Term, n.clock.Now()) {
		g.SetPrimary(p)
		return
	}
	// A change of primary may still be running. Proofs of the old primary have to
	// expire before the new one is used.
	p.UsableFrom = foundAt.Add(bbrproof.LeaseDuration)
	g.SetPrimary(p)
	if known.LacksLeader(p.Term) {
		// Until the record names the new primary, it proves the old one to instances that
		// do not know better.
		named := bbrlink.Primary{Member: known.Record.Primary, Term: known.Record.Term}
		n.runAsync(func() { n.recordLeader(ctx, g, named) })
		return
	}
	if known.Exists {
		return
	}
	// The copy that shows no record may be older than the first change of primary.
	if n.storeConfirmsTerm(ctx, g.Name(), p.Term, foundAt) {
		g.EndWait(p)
	}
}

// storeConfirmsTerm reports whether a read of the store that was sent at foundAt or later
// shows that no change of primary has begun since the primary of a term took over, which
// was found to lead by then.
func (n *Node) storeConfirmsTerm(ctx context.Context, name bbrtype.GroupName, term bbrtype.Term, foundAt bbrtype.Mono) bool {
	err := n.storeProofFlight.doSince(ctx, foundAt, n.clock.Now, n.proveByRecords)
	known, era := n.knownRecord(name), n.currentEra()
	isConfirmed := err == nil && bbrsuccession.ConfirmsTerm(known, era.Era, term, n.clock.Now())
	log := n.log.WithFields(logrus.Fields{
		"group": name, "term": term, "confirmed": isConfirmed, "recordExists": known.Exists, "recordTerm": known.Record.Term,
		"era": era.Era, "tookMs": n.clock.Now().Sub(foundAt).Milliseconds(),
	})
	if err != nil {
		log = log.WithError(err)
	}
	log.Info("primary without a record checked in the store")
	return isConfirmed
}

// isReplyOverdue reports whether a member has left a statement unanswered for so
// long that its status is to be queried.
func (n *Node) isReplyOverdue(g *bbrlink.Group, id bbrtype.MemberName) bool {
	since := g.UnansweredSince(id)
	return since != 0 && n.clock.Now().Sub(since) > replyOverdueAfter
}

// inspectPrimary queries the members of a group that needs inspection, and changes
// the primary if a change is due.
func (n *Node) inspectPrimary(ctx context.Context, g *bbrlink.Group, p bbrlink.Primary) {
	acked := g.LastAcked()
	statuses := n.memberStatuses(ctx, g)
	n.recordProgress(g.Name(), p, statuses)
	for _, c := range statuses {
		if c.Responded && c.Status.Role == bbrmessage.RolePrimary && c.ID != p.Member && c.Status.Term >= p.Term {
			n.findPrimary(ctx, g)
			return
		}
	}
	observation := n.observePrimary(g, p)
	observation.HasSuccessor = bbrsuccession.HasSuccessor(statuses, p.Member, acked)
	observation.PrimaryAhead = bbrsuccession.IsPrimaryAhead(statuses, p.Member)
	reason, due := bbrsuccession.ChangeDue(observation, n.clock.Now())
	if due && observation.Deregistered {
		due = n.isStillDeregistered(ctx, g, p)
	}
	if due && g.Primary() == p {
		n.changePrimary(ctx, g, p, reason)
	}
}

// isStillDeregistered reports whether the primary is not listed in the store either. This
// instance's list may be old, as after a freeze, and the primary may have joined since.
func (n *Node) isStillDeregistered(ctx context.Context, g *bbrlink.Group, p bbrlink.Primary) bool {
	log := n.log.WithFields(logrus.Fields{"group": g.Name(), "primary": p.Member, "term": p.Term})
	if err := n.readMembers(ctx); err != nil {
		log.WithError(err).Info("the primary is not listed here; not changed without the store's list")
		return false
	}
	isDeregistered := n.observePrimary(g, p).Deregistered
	log.WithField("listed", !isDeregistered).Info("the primary is not listed here; looked up in the store")
	return isDeregistered
}

// earliestTime is the earliest valid time; 0 means never.
const earliestTime bbrtype.Mono = 1

// mayNeedChange reports whether a change of primary may be due, judged without a
// query: it assumes that the replicas have been watched for long enough, that the
// primary has commits that no replica has received, and that a suitable successor
// exists.
func (n *Node) mayNeedChange(g *bbrlink.Group, p bbrlink.Primary) bool {
	observation := n.observePrimary(g, p)
	observation.HasSuccessor, observation.PrimaryAhead, observation.WatchedSince = true, true, earliestTime
	_, due := bbrsuccession.ChangeDue(observation, n.clock.Now())
	return due
}

// replicationProgress is the newest log position that a replica of a primary has
// reported. A position that advances shows that the primary is alive even if this
// instance cannot reach it.
type replicationProgress struct {
	primary  bbrlink.Primary
	position bbrmessage.LogPosition
	// advancedAt is when the position was last observed to advance, 0 if never.
	// observedAt is the time of the last observation. watchedSince is the time of
	// the first observation of the current series (see observationMaxGap).
	advancedAt, observedAt, watchedSince bbrtype.Mono
}

// recordProgress records how far replicas have received from a primary.
func (n *Node) recordProgress(name bbrtype.GroupName, p bbrlink.Primary, statuses []bbrsuccession.Candidate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	progress := n.progress[name]
	if progress.primary != p || now.Sub(progress.observedAt) > observationMaxGap {
		progress = replicationProgress{primary: p, watchedSince: now}
	}
	for _, c := range statuses {
		if !c.Responded || c.ID == p.Member || !progress.position.IsBefore(c.Status.Received) {
			continue
		}
		if !progress.position.IsZero() {
			progress.advancedAt = now
		}
		progress.position = c.Status.Received
	}
	progress.observedAt = now
	n.progress[name] = progress
}

// progressTimes returns when the position of the replicas of a primary was last
// observed to advance, 0 if never, and when the current series of observations
// began, 0 if there is none.
func (n *Node) progressTimes(name bbrtype.GroupName, p bbrlink.Primary) (advancedAt, watchedSince bbrtype.Mono) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if progress := n.progress[name]; progress.primary == p {
		return progress.advancedAt, progress.watchedSince
	}
	return 0, 0
}

// observePrimary returns what this instance has observed of a primary so far. It
// sends no query.
func (n *Node) observePrimary(g *bbrlink.Group, p bbrlink.Primary) bbrsuccession.PrimaryObservation {
	advancedAt, watchedSince := n.progressTimes(g.Name(), p)
	observation := bbrsuccession.PrimaryObservation{
		UnresponsiveSince: g.UnresponsiveSince(p.Member), NotLeadingSince: g.DemotedSince(),
		CommitsStalledSince: g.CommitsStalledSince(), LastReplicatedAt: advancedAt, WatchedSince: watchedSince,
		MayBeReplaced: slices.ContainsFunc(n.orderedMembers(g.Name()), func(id bbrtype.MemberName) bool { return id != p.Member }),
		Deregistered:  true, HasSeenCommit: !g.LastAcked().IsZero(),
	}
	for _, m := range g.Members() {
		if m.ID == p.Member {
			observation.Deregistered, observation.Draining = false, m.Draining
		}
	}
	return observation
}

func (n *Node) isUnavailable(table string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unavailable[table]
}

func (n *Node) hasLoaded(table string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loaded[table]
}
