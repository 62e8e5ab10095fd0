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
// A promotion may take effect seconds after it was ordered, also one that was given up. The
// member leads with what it has received by then. While that may happen, a commit is
// acknowledged only when that member has received it.

const (
	// lastingCheckInterval is the interval at which a commit that waits for a settled
	// replica is checked again.
	lastingCheckInterval = 10 * time.Millisecond
	// leftReplicaTTL is how long a leaving replica counts after its entry is gone, since
	// replies to commits that it confirmed may still be on their way.
	leftReplicaTTL = time.Second
	// settlingTime is how long a member must have been listed to count as settled. All
	// other instances list it by then.
	settlingTime = 10 * time.Second
	// firstListingTime is how long after its first member the members of a group may be
	// listed that count as settled from the beginning: an instance that has just started
	// cannot tell which of them have just joined.
	firstListingTime = 3 * time.Second
)

// AwaitLasting waits until a commit lasts that the primary has acknowledged and that was
// sent at sentAt: until settled replicas have received it. It returns false if that is not
// known by the time at which ctx ends, or once the primary is replaced. It returns true at
// once if all replicas are settled, no change of primary has begun and no promotion of
// another member may take effect.
func (g *Group) AwaitLasting(ctx context.Context, primary bbrtype.MemberName, commit bbrmessage.LogPosition, sentAt bbrtype.Mono) bool {
	w := lastingWait{primary: primary, commit: commit, sentAt: sentAt}
	for {
		switch lacking := g.checkLasting(&w); {
		case w.lasts:
			return true
		case w.isReplaced || ctx.Err() != nil:
			return false
		default:
			g.queryPositions(ctx, lacking)
			bbrtype.Sleep(ctx, lastingCheckInterval)
		}
	}
}

// lastingWait is the wait for a commit to last.
type lastingWait struct {
	primary bbrtype.MemberName
	commit  bbrmessage.LogPosition
	sentAt  bbrtype.Mono
	// needsReplicas is set once the commit lasts only if replicas are known to have it. It
	// stays set: that a change of primary has ended does not show that the commit is kept.
	needsReplicas bool
	// lasts is set if the commit lasts, and isReplaced if another primary has taken over
	// before that was known.
	lasts, isReplaced bool
}

// checkLasting records in w whether the commit lasts, and returns the replicas that count
// and are not known to have received it. A commit that lasts may be acknowledged to its
// caller. If replicas are known to have received it, no barrier had been reached when it was
// sent, so it is a proof.
func (g *Group) checkLasting(w *lastingWait) (lacking []bbrtype.MemberName) {
	isChanging, ordered := g.isChanging(), g.orderedMembers()
	g.mu.Lock()
	defer g.mu.Unlock()
	counting, areAll := g.countingReplicas(w.primary, isChanging)
	ordered = g.runningOf(ordered, w.primary)
	lacking = g.lackingOf(counting, w.commit)
	received := len(counting) - len(lacking)
	lackingOrdered := g.lackingOf(ordered, w.commit)
	lacking = append(lacking, lackingOrdered...)
	w.needsReplicas = w.needsReplicas || !areAll || isChanging
	w.isReplaced = g.primary.Term > w.commit.Term
	required := min(g.settings.SyncReplicas, len(counting))
	w.lasts = !w.isReplaced && len(lackingOrdered) == 0 && (!w.needsReplicas || received >= required)
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

// countingReplicas returns the replicas whose logs count for a commit to last, and whether
// these are all replicas: those that stay and have not just joined, or if there are none,
// those that stay. A change of primary may choose among those that leave if no others are
// there. The caller holds mu.
func (g *Group) countingReplicas(primary bbrtype.MemberName, isChanging bool) (counting []bbrtype.MemberName, areAll bool) {
	var settled, joined, leaving []bbrtype.MemberName
	for id, m := range g.members {
		switch {
		case id == primary:
		case m.Draining:
			leaving = append(leaving, id)
		case g.hasJustJoined(id):
			joined = append(joined, id)
		default:
			settled = append(settled, id)
		}
	}
	areAll = len(joined) == 0 && !g.hasLeavingReplica(primary)
	switch {
	case len(settled) > 0:
		return settled, areAll
	case len(joined) > 0 || !isChanging:
		return joined, areAll
	}
	return leaving, areAll
}

// isChanging reports whether a change of the group's primary is known to have begun. The
// caller does not hold mu.
func (g *Group) isChanging() bool { return g.IsChanging != nil && g.IsChanging(g.name) }

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

// hasJoiningReplica reports whether a replica has just joined. The caller holds mu.
func (g *Group) hasJoiningReplica(primary bbrtype.MemberName) bool {
	for id := range g.members {
		if id != primary && g.hasJustJoined(id) {
			return true
		}
	}
	return false
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
		g.mu.Unlock()
		if inProgress {
			continue
		}
		g.Tasks.Go(func() error {
			status, err := g.QueryStatus(context.WithoutCancel(ctx), id)
			g.mu.Lock()
			defer g.mu.Unlock()
			delete(g.positionQueries, id)
			if err == nil && status.Role == bbrmessage.RoleReplica {
				g.recordReceived(id, status.Received)
			}
			return nil
		})
	}
}

// recordReceived records the log position that a replica has reported. The caller holds mu.
func (g *Group) recordReceived(id bbrtype.MemberName, position bbrmessage.LogPosition) {
	if _, listed := g.members[id]; listed {
		g.received[id] = position
	}
}
