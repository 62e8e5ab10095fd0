package bbrlink

import (
	"context"
	"slices"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// A replica that leaves confirms commits until it is gone, and its log goes with it. A
// commit that it alone has confirmed is lost if the primary fails or is cut off next. A
// replica that has just joined confirms commits before each instance knows of it: a change
// of primary that does not know it does not pause it, and loses what it alone has
// confirmed. While a replica leaves or has just joined, or a change of primary has begun, a
// commit is therefore acknowledged to the caller only when as many settled replicas have
// received it as the group has synchronous ones.
//
// A change of primary leaves out a replica that has replied to no instance, though the
// primary may reach it. Such a replica is not settled, however long it is listed. Neither is
// one that may run although its entry is gone.
//
// A promotion may take effect seconds after it was ordered, also one that was given up. The
// member leads with what it has received by then. While that may happen, a commit is
// acknowledged only when that member has received it.

const (
	// lastingCheckInterval is the interval at which a commit that waits for a settled
	// replica is checked again. Only the first check is repeated as soon as a replica
	// reports its position, so that replicas that lag are not queried without a pause, and one
	// more for each further replica that has to show that it is not paused.
	lastingCheckInterval = 10 * time.Millisecond
	// leftReplicaTTL is how long a leaving replica counts after its entry is gone, since
	// replies to commits that it confirmed may still be on their way.
	leftReplicaTTL = time.Second
	// settlingTime is how long a member must have been listed to count as settled. All
	// other instances list it by then. A change of primary waits at least as long for a
	// member that has not shown that it runs.
	settlingTime = 10 * time.Second
	// firstListingTime is how long after its first member the members of a group may be
	// listed that count as settled from the beginning: an instance that has just started
	// cannot tell which of them have just joined.
	firstListingTime = 3 * time.Second
)

// AwaitLasting waits until a commit lasts that the primary has acknowledged and that was
// sent at sentAt: until settled replicas have received it. It returns false if that is not
// known by the time at which ctx ends, or once the primary is replaced. It returns true at
// once if all replicas are settled, and the records of groups, read recently, show that no
// change of primary has begun and no promotion of another member may take effect.
func (g *Group) AwaitLasting(ctx context.Context, primary bbrtype.MemberName, commit bbrmessage.LogPosition, sentAt bbrtype.Mono) bool {
	w := lastingWait{primary: primary, commit: commit, sentAt: sentAt, confirmedAt: g.Clock.Now()}
	for checks := 0; ; checks++ {
		switch lacking := g.checkLasting(&w); {
		case w.lasts:
			return true
		case w.isReplaced || ctx.Err() != nil:
			g.logUnclear(w)
			return false
		default:
			var reported <-chan struct{}
			if checks == 0 || checks < w.mostUnclear {
				reported = g.nextReport()
			}
			g.queryPositions(ctx, lacking)
			awaitReport(ctx, reported)
		}
	}
}

// nextReport returns a channel that is closed when a replica reports its position next.
func (g *Group) nextReport() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reported == nil {
		g.reported = make(chan struct{})
	}
	return g.reported
}

// awaitReport waits until reported is closed, for lastingCheckInterval at most.
func awaitReport(ctx context.Context, reported <-chan struct{}) {
	timer := time.NewTimer(lastingCheckInterval)
	defer timer.Stop()
	select {
	case <-reported:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lastingWait is the wait for a commit to last.
type lastingWait struct {
	primary bbrtype.MemberName
	commit  bbrmessage.LogPosition
	// sentAt is when the commit was sent, confirmedAt a time after the primary acknowledged it.
	sentAt, confirmedAt bbrtype.Mono
	// needsReplicas is set once the commit lasts only if replicas are known to have it. It
	// stays set: that a change of primary has ended does not show that the commit is kept.
	needsReplicas bool
	// unclear are the replicas that held the commit up at the last check for want of a recent
	// read of the records, mostUnclear is the highest number of them.
	unclear     []bbrtype.MemberName
	mostUnclear int
	// lasts is set if the commit lasts, and isReplaced if another primary has taken over
	// before that was known.
	lasts, isReplaced bool
}

// checkLasting records in w whether the commit lasts, and returns the replicas that count
// and are not known to have received it. A commit that lasts may be acknowledged to its
// caller. If replicas are known to have received it, no barrier had been reached when it was
// sent, so it is a proof.
func (g *Group) checkLasting(w *lastingWait) (lacking []bbrtype.MemberName) {
	view, ordered := g.viewChange(), g.orderedMembers()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordChangeView(view)
	counting, required, areAll := g.countingReplicas(w.primary, view)
	ordered = g.runningOf(ordered, w.primary)
	lacking = g.lackingOf(counting, w.commit)
	received := len(counting) - len(lacking)
	lackingOrdered := g.lackingOf(ordered, w.commit)
	unclear := g.unclearReplicas(w, view)
	w.unclear, w.mostUnclear = unclear, max(w.mostUnclear, len(unclear))
	lacking = append(append(lacking, lackingOrdered...), unclear...)
	w.needsReplicas = w.needsReplicas || !areAll || view.isChanging
	w.isReplaced = g.primary.Term > w.commit.Term
	w.lasts = !w.isReplaced && len(lackingOrdered) == 0 && len(unclear) == 0 && (!w.needsReplicas || received >= required)
	if !w.lasts {
		return lacking
	}
	g.lastAcked = bbrmessage.LaterPosition(g.lastAcked, w.commit)
	if required > 0 && received >= required && w.commit.Term == g.primary.Term {
		g.recordProof(proofByCommit, w.commit.Term, w.sentAt)
	}
	return nil
}

// lackingOf returns those of some members that are not known to have received a commit. The
// caller holds mu.
func (g *Group) lackingOf(members []bbrtype.MemberName, commit bbrmessage.LogPosition) (lacking []bbrtype.MemberName) {
	for _, id := range members {
		if !hasReceived(g.received[id], commit) {
			lacking = append(lacking, id)
		}
	}
	return lacking
}

// runningOf returns those of some members other than the primary that possibly run. The
// caller holds mu.
func (g *Group) runningOf(members []bbrtype.MemberName, primary bbrtype.MemberName) (running []bbrtype.MemberName) {
	for _, id := range members {
		_, isListed := g.members[id]
		hasExpired := slices.ContainsFunc(g.expired, func(m bbrdirectory.Member) bool { return m.ID == id })
		if id != primary && (isListed || hasExpired) {
			running = append(running, id)
		}
	}
	return running
}

// countingReplicas returns the replicas whose logs count for a commit to last, how many of
// them have to have received it, and whether these are all replicas. Settled replicas that
// stay count, or if there are none, the others that stay. From the claim of a change of
// primary on, a replica among those others counts only if the change does not leave it out.
// A change of primary may choose among those that leave if no others are there. The caller
// holds mu.
func (g *Group) countingReplicas(primary bbrtype.MemberName, view changeView) (counting []bbrtype.MemberName, required int, areAll bool) {
	var settled, unsettled, leaving []bbrtype.MemberName
	for id, m := range g.members {
		switch {
		case id == primary:
		case m.Draining:
			leaving = append(leaving, id)
		case g.isUnsettled(id, view):
			unsettled = append(unsettled, id)
		default:
			settled = append(settled, id)
		}
	}
	areAll = len(unsettled) == 0 && !g.hasLeavingReplica(primary) && !g.hasExpiredReplica(primary)
	switch {
	case len(settled) > 0:
		counting = settled
	case len(unsettled) > 0 || !view.isChanging:
		counting = unsettled
	default:
		counting = leaving
	}
	required = min(g.settings.SyncReplicas, len(counting))
	if len(settled) == 0 && view.isChanging {
		counting = slices.DeleteFunc(counting, func(id bbrtype.MemberName) bool { return g.mayBeLeftOut(id, view) })
	}
	return counting, required, areAll
}

// changeView is what an instance knows at a moment about the changes of a group's primary.
type changeView struct {
	at bbrtype.Mono
	// isChanging is set if a change of primary is known to have begun.
	isChanging bool
	// seen are the members that have shown that they run, see Deps.SeenMembers. With
	// allSeen set, all have.
	seen    map[bbrtype.MemberName]bool
	allSeen bool
	// recordsReadAt is when the newest read of the groups' records was sent, 0 if none counts.
	// With recordsAlwaysKnown set, they are known at any time.
	recordsReadAt      bbrtype.Mono
	recordsAlwaysKnown bool
}

// hasSeen reports whether a member has shown that it runs.
func (v changeView) hasSeen(id bbrtype.MemberName) bool { return v.allSeen || v.seen[id] }

// viewChange returns what is known now. The caller does not hold mu.
func (g *Group) viewChange() changeView {
	view := changeView{
		at: g.Clock.Now(), isChanging: g.IsChanging != nil && g.IsChanging(g.name), allSeen: g.SeenMembers == nil,
		recordsAlwaysKnown: g.RecordsReadAt == nil,
	}
	if g.RecordsReadAt != nil {
		view.recordsReadAt = g.RecordsReadAt()
	}
	if !view.allSeen {
		view.seen = g.SeenMembers()
	}
	return view
}

// recordChangeView records when no change of primary was known last. The caller holds mu.
func (g *Group) recordChangeView(view changeView) {
	if !view.isChanging {
		g.unchangedAt = max(g.unchangedAt, view.at)
	}
}

// orderedMembers returns the members whose promotion may still take effect. The caller does
// not hold mu.
func (g *Group) orderedMembers() []bbrtype.MemberName {
	if g.OrderedMembers == nil {
		return nil
	}
	return g.OrderedMembers(g.name)
}

// hasJustJoined reports whether a member is not listed for long enough to be settled. The
// caller holds mu.
func (g *Group) hasJustJoined(id bbrtype.MemberName) bool {
	listedAt := g.firstListed[id]
	return listedAt.Sub(g.firstListing) > firstListingTime && g.Clock.Now().Sub(listedAt) < settlingTime
}

// isUnsettled reports whether a member has just joined, has not shown that it runs, or is
// listed no more by the store, so that instances that start now do not know it. The caller
// holds mu.
func (g *Group) isUnsettled(id bbrtype.MemberName, view changeView) bool {
	return g.hasJustJoined(id) || !view.hasSeen(id) || g.members[id].EntryMissing
}

// mayBeLeftOut reports whether a change of primary that has begun may leave out a member: it
// was listed after the claim, or it has not shown that it runs for as long as a change waits
// for that. The caller holds mu.
func (g *Group) mayBeLeftOut(id bbrtype.MemberName, view changeView) bool {
	listedAt := g.firstListed[id]
	if g.hasJustJoined(id) && listedAt > g.unchangedAt {
		return true
	}
	return !view.hasSeen(id) && g.Clock.Now().Sub(listedAt) >= settlingTime
}

// hasUnsettledReplica reports whether a replica is unsettled, or may run although its entry
// has expired. The caller holds mu.
func (g *Group) hasUnsettledReplica(primary bbrtype.MemberName, view changeView) bool {
	for id := range g.members {
		if id != primary && g.isUnsettled(id, view) {
			return true
		}
	}
	return g.hasExpiredReplica(primary)
}

// hasExpiredReplica reports whether a replica may run although its entry has expired. The
// caller holds mu.
func (g *Group) hasExpiredReplica(primary bbrtype.MemberName) bool {
	return slices.ContainsFunc(g.expired, func(m bbrdirectory.Member) bool { return m.ID != primary })
}

// hasLeavingReplica reports whether a replica leaves or has just left. The caller holds mu.
func (g *Group) hasLeavingReplica(primary bbrtype.MemberName) bool {
	for id := range g.drainingSince {
		if id != primary {
			return true
		}
	}
	return g.replicaLeftAt != 0 && g.Clock.Now().Sub(g.replicaLeftAt) < leftReplicaTTL
}

// hasReceived reports whether a log that reaches to a position contains a commit. A
// position of a newer term does not show it, since the commit may have been rolled back.
func hasReceived(position, commit bbrmessage.LogPosition) bool {
	return position.Term == commit.Term && !position.IsBefore(commit)
}

// queryPositions queries the status of members, so that their log positions are known.
// A query that is in progress is not repeated.
func (g *Group) queryPositions(ctx context.Context, members []bbrtype.MemberName) {
	for _, id := range members {
		g.mu.Lock()
		inProgress := g.positionQueries[id]
		g.positionQueries[id] = true
		m := g.members[id]
		g.mu.Unlock()
		if inProgress {
			continue
		}
		g.Tasks.Go(func() error {
			sentAt := g.Clock.Now()
			status, err := g.QueryStatus(context.WithoutCancel(ctx), id)
			g.mu.Lock()
			defer g.mu.Unlock()
			delete(g.positionQueries, id)
			if err == nil {
				g.recordStatus(id, statusReport{sentAt: sentAt, status: status})
			}
			if err == nil && status.Role == bbrmessage.RoleReplica {
				g.recordReceived(m, status.Received)
			}
			return nil
		})
	}
}

// recordReceived records the log position that a replica has reported, unless another
// process of the replica is listed by now, which holds nothing of before. The caller holds
// mu.
func (g *Group) recordReceived(m bbrdirectory.Member, position bbrmessage.LogPosition) {
	if current, listed := g.members[m.ID]; listed && current.StartedAtMs == m.StartedAtMs {
		g.received[m.ID] = position
		if g.reported != nil {
			close(g.reported)
			g.reported = nil
		}
	}
}
