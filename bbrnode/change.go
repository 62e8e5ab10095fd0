package bbrnode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// stepRetryDelay is the delay between two attempts at a step of a change.
	stepRetryDelay = 60 * time.Millisecond
	// stepDownDelay is how long a change waits for all replicas to pause replication
	// before it orders the old primary to step down.
	stepDownDelay = 300 * time.Millisecond
	// oldPrimaryExtraWait is how much longer callMembers waits for the old primary,
	// which may be down, after all other members have replied.
	oldPrimaryExtraWait = 40 * time.Millisecond
	// changeTimeout bounds a change of primary. A change that takes longer is given
	// up (see run for what is undone), and a later inspection may start a new one.
	changeTimeout = 8 * time.Second
)

// oldPrimaryCommand is the command that is sent to the old primary while the
// replicas are paused. The values look and hold stand for a status query and for an
// order to pause replication.
type oldPrimaryCommand string

// Commands for the old primary.
const (
	commandStatus   oldPrimaryCommand = "look"
	commandStepDown oldPrimaryCommand = "stepDown"
	// commandPause is sent if a newer primary exists, or may exist. The old primary is
	// then one of the members that have to be paused.
	commandPause oldPrimaryCommand = "hold"
)

// primaryChange is a change of primary (a failover) that this instance carries out.
// Its steps are: claim the group's record in the store; pause replication at so many
// replicas that the old primary cannot get any further commit acknowledged (this
// state is called the barrier); choose a successor; enter its promotion in the record,
// and look at the members once more; have it promoted; write the new primary to the record;
// resume replication.
//
// A claim is a lease on the record: it expires unless it is renewed, so that another
// instance can claim the record if this one fails.
type primaryChange struct {
	node       *Node
	group      *bbrlink.Group
	oldPrimary bbrlink.Primary
	// known is the group's record as this instance last read or wrote it.
	known bbrsuccession.VersionedRecord
	// pauseTerm is the term that is sent with the orders to pause replication and to
	// step down. It is newer than the old primary's term, and is raised if members
	// report newer terms.
	pauseTerm bbrtype.Term
	startedAt bbrtype.Mono
	// mayKeepOldPrimary is set if the old primary did not respond when the change
	// began. If it responds again before the barrier is reached, it may stay the
	// primary.
	mayKeepOldPrimary bool
	// adoptsLeader is set if the change only writes the member that leads to the record.
	adoptsLeader bool
	// claimRenewedAt is when the last successful write of the record was sent. The
	// claim is valid for bbrsuccession.ClaimTTL from then.
	claimRenewedAt bbrtype.Mono
	// fence is the fencing token of this change.
	fence bbrsuccession.FencingToken
	// barrier holds the members' statuses by which the last choice was made.
	barrier []bbrsuccession.Candidate
	// mayBePromoted is set once a promotion was requested without a reply that shows that
	// the request cannot take effect later.
	mayBePromoted bool
	log           logrus.FieldLogger
}

// changePrimary replaces the primary of a group, unless a change of the group is
// already running in this instance or claimed by another one.
func (n *Node) changePrimary(ctx context.Context, g *bbrlink.Group, oldPrimary bbrlink.Primary, reason string) {
	if !n.beginChange(g.Name()) {
		return
	}
	defer n.endChange(g.Name())
	n.runChange(ctx, &primaryChange{group: g, oldPrimary: oldPrimary, mayKeepOldPrimary: g.UnresponsiveSince(oldPrimary.Member) != 0}, reason)
}

// recordLeader writes the leader of a group to its record, unless a change of the group is
// running. The record names the primary named, and a promotion that was given up has taken
// effect since.
func (n *Node) recordLeader(ctx context.Context, g *bbrlink.Group, named bbrlink.Primary) {
	if !n.beginChange(g.Name()) {
		return
	}
	defer n.endChange(g.Name())
	n.runChange(ctx, &primaryChange{group: g, oldPrimary: named, adoptsLeader: true}, "a member leads a newer term than the record names")
}

// runChange runs a change of primary, if this instance may claim the group's record.
func (n *Node) runChange(ctx context.Context, c *primaryChange, reason string) {
	known := n.knownRecord(c.group.Name())
	if !bbrsuccession.MayClaim(known, n.settings.Name, n.currentEra(), n.clock.Now()) {
		return
	}
	c.node, c.known, c.startedAt = n, known, n.clock.Now()
	// The log key why holds the reason for the change.
	c.log = n.log.WithFields(logrus.Fields{"group": c.group.Name(), "old": c.oldPrimary.Member, "oldTerm": c.oldPrimary.Term, "why": reason})
	if err := c.run(ctx); err != nil {
		c.log.WithError(err).Warn("change of primary given up")
	}
}

// beginChange records that this instance is changing the group's primary. It returns
// false if the instance is doing so already or is stopping.
func (n *Node) beginChange(name bbrtype.GroupName) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changing[name] || n.stopping {
		return false
	}
	n.changing[name] = true
	return true
}

// endChange undoes beginChange.
func (n *Node) endChange(name bbrtype.GroupName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.changing, name)
}

// run carries out the steps of the change.
func (c *primaryChange) run(ctx context.Context) error {
	record := bbrsuccession.Claim(c.known, c.node.settings.Name, c.node.currentEra().Era)
	record.Orders = c.known.PendingOrders(c.node.clock.Now())
	if err := c.writeRecord(ctx, record); err != nil {
		return errors.Wrap(err, "claim the record")
	}
	c.fence = record.FencingToken
	c.log = c.log.WithField("fence", c.fence)
	c.log.WithField("orders", record.Orders).Info("change of primary begins")
	next := c.chooseAndAnnounce
	if c.adoptsLeader {
		next = c.findLeader
	}
	choice, barrierAt, err := next(ctx)
	if err != nil {
		c.abort(ctx)
		return err
	}
	if choice.Term > c.oldPrimary.Term && choice.Member != c.oldPrimary.Member {
		// The old primary must not get any further commit acknowledged. It may be
		// down, so its reply is not awaited.
		term := max(c.pauseTerm, choice.Term)
		c.node.runAsync(func() { _, _ = c.group.StepDown(ctx, c.oldPrimary.Member, term) })
	}
	if choice.Decision == bbrsuccession.DecisionPromote {
		if err := c.promote(ctx, &choice); err != nil {
			if !errors.Is(err, errPromotionPending) {
				c.abort(ctx)
			}
			// If the promotion is pending, the claim and the paused replication are
			// left for the next change: if replicas resumed now, the old primary
			// could get commits acknowledged that the promotion would lose.
			return err
		}
	}
	if choice.Term > c.oldPrimary.Term {
		// Other instances may use the old primary until their proofs, which were
		// requested before the barrier was reached, have expired.
		bbrtype.Sleep(ctx, barrierAt.Add(bbrproof.LeaseDuration).Sub(c.node.clock.Now()))
	}
	return c.completeChange(ctx, choice)
}

// chooseAndAnnounce reaches the barrier and returns the choice of the next primary. If that
// member has to be promoted, its promotion is entered in the record, so that all instances
// acknowledge a commit only if the member has it. Members that have joined, were restarted
// or were told to resume replication before the instances knew that may have confirmed
// commits, so the choice has to be the same once more after it was entered.
func (c *primaryChange) chooseAndAnnounce(ctx context.Context) (bbrsuccession.Choice, bbrtype.Mono, error) {
	for {
		choice, barrierAt, err := c.reachBarrier(ctx)
		if err != nil || choice.Decision != bbrsuccession.DecisionPromote {
			return choice, barrierAt, err
		}
		if err := c.announce(ctx, choice.Member); err != nil {
			return choice, barrierAt, err
		}
		if err := c.awaitKnown(ctx); err != nil {
			return choice, barrierAt, err
		}
		if err := c.node.readMembers(ctx); err != nil {
			c.log.WithError(err).Info("the change goes on with the members known here")
		}
		again := bbrsuccession.Choose(c.electionInput(c.pauseAgain(ctx)))
		if again.Decision == choice.Decision && again.Member == choice.Member {
			return choice, barrierAt, nil
		}
		c.log.WithFields(logrus.Fields{"member": choice.Member, "decision": again.Decision, "memberAgain": again.Member, "reason": again.Reason}).Info("the members have changed since the barrier was reached")
	}
}

// findLeader returns the member that leads a newer term than the old primary.
func (c *primaryChange) findLeader(ctx context.Context) (bbrsuccession.Choice, bbrtype.Mono, error) {
	choice := bbrsuccession.Choose(c.electionInput(c.queryCandidates(ctx, c.group.QueryStatus)))
	if choice.Decision != bbrsuccession.DecisionAdopt || choice.Term <= c.oldPrimary.Term {
		return choice, 0, errors.New("no member leads a newer term")
	}
	return choice, c.node.clock.Now(), nil
}

// keepClaim renews the claim if it is due for renewal, and reports whether the
// change may go on: it has not been cancelled or timed out, and its claim is valid.
func (c *primaryChange) keepClaim(ctx context.Context) bool {
	now := c.node.clock.Now()
	if ctx.Err() != nil || now.Sub(c.startedAt) > changeTimeout {
		return false
	}
	if now.Sub(c.claimRenewedAt) > bbrsuccession.ClaimRenewAfter {
		r := c.known.Record
		r.Renewals++
		if err := c.writeRecord(ctx, r); err != nil {
			c.log.WithError(err).Warn("cannot renew the claim on the group's record")
		}
	}
	return c.isClaimValid()
}

// isClaimValid reports whether the claim is still valid. After it expires, another
// instance may claim the record and start a change of its own.
func (c *primaryChange) isClaimValid() bool {
	return c.claimRenewedAt != 0 && c.node.clock.Now().Sub(c.claimRenewedAt) < bbrsuccession.ClaimTTL
}

// writeRecord writes the group's record if its version in the store is still the one
// in c.known.
func (c *primaryChange) writeRecord(ctx context.Context, r bbrsuccession.Record) error {
	sentAt := c.node.clock.Now()
	known, err := c.node.writeRecord(ctx, recordWrite{group: c.group.Name(), known: c.known, record: r})
	if errors.Is(err, bbrrows.ErrConflict) {
		c.claimRenewedAt = 0 // another instance has the record
	}
	if err != nil {
		return err
	}
	c.known, c.claimRenewedAt = known, sentAt
	return nil
}

// reachBarrier pauses replication until the old primary cannot get any further
// commit acknowledged. It returns the choice of the next primary, which may be the
// old one, and the time at which the barrier was reached.
func (c *primaryChange) reachBarrier(ctx context.Context) (bbrsuccession.Choice, bbrtype.Mono, error) {
	c.pauseTerm = c.oldPrimary.Term + 1
	c.readLists(ctx)
	var reason string
	command := commandStatus
	for c.keepClaim(ctx) {
		statuses := c.pauseReplication(ctx, command)
		input := c.electionInput(statuses)
		choice := bbrsuccession.Choose(input)
		if choice.Decision != bbrsuccession.DecisionWait {
			// The log key looks holds the members' statuses.
			c.log.WithFields(logrus.Fields{"decision": choice.Decision, "member": choice.Member, "term": choice.Term, "looks": statuses}).Info("barrier reached")
			c.barrier = statuses
			return choice, c.node.clock.Now(), nil
		}
		reason = choice.Reason
		command = c.nextCommand(input)
		c.pauseTerm = max(c.pauseTerm, bbrsuccession.PauseTerm(statuses, c.oldPrimary.Member, command == commandPause))
		bbrtype.Sleep(ctx, stepRetryDelay)
	}
	return bbrsuccession.Choice{}, 0, errors.Errorf("the barrier was not reached: %s", reason)
}

// electionInput returns the input of the choice of the next primary.
func (c *primaryChange) electionInput(statuses []bbrsuccession.Candidate) bbrsuccession.ElectionInput {
	return bbrsuccession.ElectionInput{
		Members: statuses, OldPrimary: c.oldPrimary.Member, OldTerm: c.oldPrimary.Term, PauseTerm: c.pauseTerm, KeepOldPrimary: c.mayKeepOldPrimary,
		SyncReplicas: c.group.Settings().SyncReplicas, LastAcked: c.group.LastAcked(),
		Ordered: c.known.OrderedMembers(c.node.clock.Now()),
	}
}

// readLists reads the list of members, so that those are paused that have just joined, and
// which of them have replied. Without the store the change goes on with what is known.
func (c *primaryChange) readLists(ctx context.Context) {
	var reads errgroup.Group
	reads.Go(func() error {
		c.node.readSeen(ctx)
		return nil
	})
	reads.Go(func() error { return c.node.readMembers(ctx) })
	if err := reads.Wait(); err != nil {
		c.log.WithError(err).Info("the change goes on with the members known here")
	}
}

// nextCommand returns the command that the old primary is sent next.
func (c *primaryChange) nextCommand(input bbrsuccession.ElectionInput) oldPrimaryCommand {
	switch {
	case bbrsuccession.MayBeSuperseded(input):
		return commandPause
	case c.node.clock.Now().Sub(c.startedAt) > stepDownDelay && bbrsuccession.MayDemoteOldPrimary(input):
		return commandStepDown
	}
	return commandStatus
}

// pauseReplication orders every replica to pause replication, sends command to the
// old primary, and returns the members' statuses, see queryCandidates.
func (c *primaryChange) pauseReplication(ctx context.Context, command oldPrimaryCommand) []bbrsuccession.Candidate {
	return c.queryCandidates(ctx, func(ctx context.Context, id bbrtype.MemberName) (bbrmessage.MemberStatus, error) {
		switch {
		case id != c.oldPrimary.Member || command == commandPause:
			return c.group.PauseReplication(ctx, id, c.pauseTerm)
		case command == commandStepDown:
			return c.group.StepDown(ctx, id, c.pauseTerm)
		}
		return c.group.QueryStatus(ctx, id)
	})
}

// errUnresponsive means that a member did not respond at the barrier.
var errUnresponsive = errors.New("the member did not respond at the barrier")

// pauseAgain orders the replicas that have responded at the barrier, or have joined since,
// to pause replication, the old primary among them if it was paused as one. It returns the
// statuses of all members; the others count as they were at the barrier.
func (c *primaryChange) pauseAgain(ctx context.Context) []bbrsuccession.Candidate {
	atBarrier := map[bbrtype.MemberName]bbrsuccession.Candidate{}
	for _, m := range c.barrier {
		atBarrier[m.ID] = m
	}
	return c.queryCandidates(ctx, func(ctx context.Context, id bbrtype.MemberName) (bbrmessage.MemberStatus, error) {
		switch m, isKnown := atBarrier[id]; {
		case isKnown && !m.Responded:
			return m.Status, errUnresponsive
		case isKnown && id == c.oldPrimary.Member && !bbrsuccession.IsPaused(m, c.pauseTerm):
			return m.Status, nil
		}
		return c.group.PauseReplication(ctx, id, c.pauseTerm)
	})
}

// queryCandidates calls a function for all members and returns the statuses that they
// reply with. Members that may be running but were not called, because they joined or left
// meanwhile, are added as members that did not respond. Those that did not respond and
// cannot have confirmed a commit are left out.
func (c *primaryChange) queryCandidates(ctx context.Context, call func(context.Context, bbrtype.MemberName) (bbrmessage.MemberStatus, error)) []bbrsuccession.Candidate {
	membersBefore := c.group.PossiblyRunningMembers()
	statuses := c.node.callMembers(ctx, c.group, c.oldPrimary.Member, call)
	statuses = bbrsuccession.AddUnqueried(statuses, append(membersBefore, c.group.PossiblyRunningMembers()...)...)
	return bbrsuccession.DropUnproven(statuses, func(id bbrtype.MemberName) bool {
		mayHaveConfirmed := c.node.mayHaveConfirmed(c.group, id)
		if !mayHaveConfirmed {
			c.log.WithField("member", id).Info("member left out of the change: it has replied to no instance")
		}
		return mayHaveConfirmed
	})
}

// completeChange puts the new primary into use and writes it to the group's record,
// with retries until the write succeeds, another change has begun, the store was restored
// or ctx ends. After a successful write it resumes replication.
func (c *primaryChange) completeChange(ctx context.Context, choice bbrsuccession.Choice) error {
	record := c.recordAfterOrders()
	record.Phase, record.Primary, record.Term = bbrsuccession.PhaseNamed, choice.Member, choice.Term
	if choice.Decision == bbrsuccession.DecisionPromote {
		// A member that is found to lead does not confirm the record: another one may
		// lead a newer term.
		record.Era = c.known.Version.Era
	}
	c.group.SetPrimary(bbrlink.Primary{Member: choice.Member, Term: choice.Term})
	c.log.WithFields(logrus.Fields{"member": choice.Member, "term": choice.Term, "tookMs": c.node.clock.Now().Sub(c.startedAt).Milliseconds()}).Info("change of primary done")
	err := c.writeRecord(ctx, record)
	for err != nil && !errors.Is(err, bbrrows.ErrConflict) && !errors.Is(err, errStoreRestored) && ctx.Err() == nil {
		c.log.WithError(err).Warn("cannot write the new primary to the group's record; retrying")
		bbrtype.Sleep(ctx, maxStoreBackoff)
		err = c.writeRecord(ctx, record)
	}
	if err != nil {
		// Another change may have begun. The replicas that it paused must stay
		// paused.
		return errors.Wrap(err, "name the new primary")
	}
	c.resumeReplication(ctx, choice)
	return nil
}

// abort resumes replication at the replicas and releases the claim. If the claim has
// expired, it does nothing: another change may rely on the paused replication.
func (c *primaryChange) abort(ctx context.Context) {
	if !c.isClaimValid() {
		c.log.Info("the claim has expired; replicas stay paused for the next change")
		return
	}
	c.log.Info("replication resumes and the claim is released")
	c.resumeReplicas(ctx, c.oldPrimary.Member, c.resume, c.isClaimValid)
	r := c.recordAfterOrders()
	r.Phase = bbrsuccession.PhaseNamed
	if c.oldPrimary.Term >= r.Term {
		r.Primary, r.Term = c.oldPrimary.Member, c.oldPrimary.Term
	}
	if err := c.writeRecord(ctx, r); err != nil {
		c.log.WithError(err).Warn("cannot release the claim on the group's record; it stays until it expires")
	}
}

// memberStatuses queries the status of all members of a group.
func (n *Node) memberStatuses(ctx context.Context, g *bbrlink.Group) []bbrsuccession.Candidate {
	return n.callMembers(ctx, g, "", g.QueryStatus)
}

// callMembers calls a function for all members of a group concurrently and returns
// the statuses that they reply with. Once only the reply of oldPrimary is missing,
// callMembers waits for oldPrimaryExtraWait and then returns oldPrimary as a member
// that did not respond. If oldPrimary is empty, all replies are awaited.
func (n *Node) callMembers(ctx context.Context, g *bbrlink.Group, oldPrimary bbrtype.MemberName, call func(context.Context, bbrtype.MemberName) (bbrmessage.MemberStatus, error)) []bbrsuccession.Candidate {
	members := g.Members()
	replies := make(chan bbrsuccession.Candidate, len(members))
	pending := map[bbrtype.MemberName]bbrsuccession.Candidate{}
	for _, m := range members {
		pending[m.ID] = bbrsuccession.Candidate{ID: m.ID, Draining: m.Draining}
		n.runAsync(func() {
			status, err := call(ctx, m.ID)
			replies <- bbrsuccession.Candidate{ID: m.ID, Draining: m.Draining, Responded: err == nil, Status: status}
		})
	}
	statuses := make([]bbrsuccession.Candidate, 0, len(members))
	var timeout <-chan time.Time
	for len(pending) > 0 {
		if c, ok := pending[oldPrimary]; ok && len(pending) == 1 {
			if timeout == nil {
				timeout = time.After(oldPrimaryExtraWait)
			}
			select {
			case c = <-replies:
			case <-timeout:
			}
			return append(statuses, c)
		}
		c := <-replies
		delete(pending, c.ID)
		statuses = append(statuses, c)
	}
	return statuses
}
