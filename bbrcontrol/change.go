package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// followRetryInterval is the time before another Follow action is emitted for a
// member that still does not follow the primary.
const followRetryInterval = time.Second

// planChanges tracks the loss of primaries, advances the running changes of
// primary and repoints members that are not on the primary's history.
func (c *Control) planChanges(now bbrtype.Mono) {
	for id, at := range c.removedAt {
		if now.Sub(at) > 2*c.opts.Authority.Duration {
			delete(c.removedAt, id)
		}
	}
	for _, name := range c.state.GroupNames() {
		g := c.state.Groups[name]
		gs := c.ensureGroup(name)
		c.trackPrimaryLoss(now, name, g, gs)
		c.stepChange(now, name, bbrfailover.Tick{})
		c.repoint(now, name, g)
	}
}

// trackPrimaryLoss updates lostSince. A primary does not count as lost while no
// other member answers, because there would be no member to promote.
func (c *Control) trackPrimaryLoss(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group, gs *groupState) {
	l, ok := g.Primary()
	if !ok || !c.isLost(now, bbrmember.Ref{Group: name, Member: l.Member}) || !c.hasAnsweringReplica(now, name, g, l) {
		gs.lostSince = 0
		return
	}
	if gs.lostSince == 0 {
		gs.lostSince = now
	}
}

// hasAnsweringReplica reports whether this instance or a peer gets answers from
// a member other than the primary.
func (c *Control) hasAnsweringReplica(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group, l bbrjournal.PrimaryTerm) bool {
	for _, m := range g.Members {
		ref := bbrmember.Ref{Group: name, Member: m}
		if m == l.Member {
			continue
		}
		if c.reachability(now, ref) == bbrfailover.ReachabilityResponding {
			return true
		}
		for _, o := range c.peerReachabilities(now, ref) {
			if o == bbrfailover.ReachabilityResponding {
				return true
			}
		}
	}
	return false
}

// proposeChanges adds the entries of running changes and the fences that are
// due.
func (c *Control) proposeChanges(now bbrtype.Mono, out []bbrjournal.Entry) []bbrjournal.Entry {
	if !c.state.IsSteward(c.opts.Self.ID) {
		return out
	}
	rank := c.rank(now)
	c.fenceDue = false
	for _, name := range c.state.GroupNames() {
		g := c.state.Groups[name]
		gs := c.ensureGroup(name)
		if gs.proposal != nil {
			out = append(out, gs.proposal)
			continue
		}
		fence, excluded := c.needsFence(now, name, g, gs, rank)
		c.fenceDue = c.fenceDue || fence
		if fence && c.granter.GrantsExpired(now) {
			out = append(out, bbrjournal.Fenced{Group: name, Term: g.Term + 1, Excluded: excluded})
		}
	}
	return out
}

// proposeTransitionsCompleted adds a TransitionCompleted entry for each group
// whose earlier replication configs can be dropped. That is safe once every
// instance has applied the current config or has lost its authority, and the
// primary's position was read after that: the position then covers every write
// that was confirmed under an earlier config.
func (c *Control) proposeTransitionsCompleted(now bbrtype.Mono, out []bbrjournal.Entry) []bbrjournal.Entry {
	if !c.state.IsSteward(c.opts.Self.ID) || c.rank(now) != 0 {
		return out
	}
	for _, name := range c.state.GroupNames() {
		g := c.state.Groups[name]
		l, ok := g.Primary()
		if len(g.EarlierConfigs) == 0 || !ok {
			continue
		}
		gs := c.ensureGroup(name)
		if gs.replicationIndex != g.ConfigIndex {
			gs.replicationIndex, gs.replicationSeenAt, gs.replicationSettledAt = g.ConfigIndex, now, 0
		}
		if gs.replicationSettledAt == 0 && c.noOlderAuthority(now, g.ConfigIndex, gs.replicationSeenAt) {
			gs.replicationSettledAt = now
		}
		ref := bbrmember.Ref{Group: name, Member: l.Member}
		m := c.ensureMember(ref)
		if gs.replicationSettledAt == 0 || m.state == nil || m.stateAt < gs.replicationSettledAt {
			c.probeTemporarily(now, ref)
			continue
		}
		if m.state.Primary && m.state.History == l.History {
			out = append(out, bbrjournal.TransitionCompleted{Group: name, Term: g.Term, ConfigIndex: g.ConfigIndex, MinPosition: m.state.Position})
		}
	}
	return out
}

// noOlderAuthority reports whether every instance has applied an index or has
// lost its authority, so that no instance can acknowledge a write based on an
// earlier state. seenAt is when this instance first found the index in its own
// applied state.
func (c *Control) noOlderAuthority(now bbrtype.Mono, index bbrtype.Index, seenAt bbrtype.Mono) bool {
	if now.Sub(seenAt) >= c.opts.Authority.Duration {
		return true
	}
	if len(c.removedAt) > 0 {
		return false
	}
	for id := range c.state.Instances {
		if p := c.peers[id]; id != c.opts.Self.ID && (p == nil || p.appliedIndex < index) {
			return false
		}
	}
	return true
}

// needsFence reports whether a new term should start, and which member must not
// become its primary.
func (c *Control) needsFence(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group, gs *groupState, rank int) (bool, bbrtype.MemberName) {
	delay := time.Duration(rank) * c.opts.RankDelay
	if len(g.Members) == 0 || c.leaving {
		return false, ""
	}
	if g.Fenced {
		// A new fence restarts the change in three cases: the writer of the
		// fence is no longer a steward; another steward wrote the fence and has
		// not finished within ChangeTimeout, while members answer; this
		// instance wrote the fence but runs no change, for example because the
		// fence was part of an installed snapshot.
		writerDismissed := !c.state.IsSteward(g.FencedBy)
		timedOut := g.FencedBy != c.opts.Self.ID && now.Sub(gs.fencedAt) >= c.opts.ChangeTimeout+delay && c.reachesAnyMember(now, name, g)
		changeMissing := g.FencedBy == c.opts.Self.ID && gs.change == nil
		return changeMissing || timedOut || (writerDismissed && now.Sub(gs.fencedAt) >= delay), g.Excluded
	}
	if g.Term == 0 {
		return rank == 0, ""
	}
	l, _ := g.Primary()
	if gs.switchoverFrom == l.Member && now.Sub(gs.switchoverRequestedAt) <= c.opts.PeerTimeout && rank == 0 && now.Sub(gs.primaryNamedAt) >= c.opts.Cooldown {
		return c.hasReplicatingReplica(now, name, g, l), l.Member
	}
	lost := gs.lostSince != 0 && now.Sub(gs.lostSince) >= delay && now.Sub(gs.primaryNamedAt) >= c.opts.Cooldown
	return lost, ""
}

// reachesAnyMember reports whether any member of a group answers this instance.
func (c *Control) reachesAnyMember(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group) bool {
	for _, m := range g.Members {
		if c.reachability(now, bbrmember.Ref{Group: name, Member: m}) == bbrfailover.ReachabilityResponding {
			return true
		}
	}
	return false
}

// hasReplicatingReplica reports whether a replica with a recent state is on the
// primary's history, so that a planned change can succeed at once. Replicas
// without a recent state are probed.
func (c *Control) hasReplicatingReplica(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group, l bbrjournal.PrimaryTerm) bool {
	for _, member := range g.Members {
		ref := bbrmember.Ref{Group: name, Member: member}
		m := c.ensureMember(ref)
		if member == l.Member {
			continue
		}
		if m.state == nil || now.Sub(m.stateAt) > c.opts.ObservationTTL {
			c.probeTemporarily(now, ref)
			continue
		}
		if !m.state.Primary && m.state.History == l.History {
			return true
		}
	}
	return false
}

// recordSwitchoverRequest stores a request for a planned change of primary.
func (gs *groupState) recordSwitchoverRequest(now bbrtype.Mono, req SwitchoverRequest) {
	gs.switchoverFrom = req.Excluded
	gs.switchoverRequestedAt = now
}

// handleFenced starts the change of primary if this instance wrote the fence.
// The change waits for all instances that may not have applied the fence,
// including recently removed ones.
func (c *Control) handleFenced(now bbrtype.Mono, r bbrjournal.Record, e bbrjournal.Fenced) {
	gs := c.ensureGroup(e.Group)
	gs.fencedAt = now
	gs.change, gs.proposal = nil, nil
	if r.Writer != c.opts.Self.ID {
		return
	}
	var unconfirmed []bbrtype.InstanceID
	for _, i := range c.state.SortedInstances() {
		p := c.peers[i.ID]
		if i.ID != c.opts.Self.ID && (p == nil || p.appliedIndex < r.Index) {
			unconfirmed = append(unconfirmed, i.ID)
		}
	}
	for id := range c.removedAt {
		if id != c.opts.Self.ID {
			unconfirmed = append(unconfirmed, id)
		}
	}
	gs.change = bbrfailover.NewChange(bbrfailover.Options{
		Group:              e.Group,
		Term:               e.Term,
		Unconfirmed:        unconfirmed,
		AuthorityExpiresAt: now.Add(c.opts.Authority.Duration),
		ReadTimeout:        c.opts.ProbeTimeout,
		PromoteTimeout:     c.opts.PromoteTimeout,
	}, now)
	c.exchangeNow()
	c.emit(LogMessage{Text: "fenced", Group: e.Group, Term: e.Term})
}

// confirmFences reports to the running changes which fences an instance has
// applied.
func (c *Control) confirmFences(now bbrtype.Mono, id bbrtype.InstanceID, applied bbrtype.Index) {
	for _, name := range c.state.GroupNames() {
		gs := c.groups[name]
		if gs == nil || gs.change == nil || !gs.change.AwaitsConfirmation(id) {
			continue
		}
		if applied >= c.state.Groups[name].FenceIndex && !c.opts.AlwaysAwaitExpiry {
			c.stepChange(now, name, bbrfailover.FenceConfirmed{Instance: id})
		}
	}
}

// handlePrimaryNamed ends a change of primary.
func (c *Control) handlePrimaryNamed(now bbrtype.Mono, r bbrjournal.Record, e bbrjournal.PrimaryNamed) {
	gs := c.ensureGroup(e.Group)
	gs.primaryNamedAt = now
	gs.lostSince = 0
	gs.change, gs.proposal = nil, nil
	ref := bbrmember.Ref{Group: e.Group, Member: e.Member}
	// Failures that were observed before the promotion no longer count.
	c.ensureMember(ref).health = bbrmember.Health{}
	if r.Writer == c.opts.Self.ID {
		c.emit(LogMessage{Text: "primary named", Group: e.Group, Term: e.Term, Subject: string(e.Member), Duration: now.Sub(gs.fencedAt)})
		c.exchangeNow()
	}
}

// dropStaleChange drops a running change that the journal has superseded.
func (c *Control) dropStaleChange(name bbrtype.GroupName) {
	gs := c.ensureGroup(name)
	g := c.state.Groups[name]
	if gs.change != nil && (!g.Fenced || g.Term != gs.change.Term()) {
		gs.change, gs.proposal = nil, nil
	}
}

// stepChange passes an event to a running change and handles its actions.
func (c *Control) stepChange(now bbrtype.Mono, name bbrtype.GroupName, ev bbrfailover.Event) {
	gs := c.groups[name]
	g := c.state.Groups[name]
	if gs == nil || gs.change == nil || g == nil {
		return
	}
	c.dropStaleChange(name)
	if gs.change == nil {
		return
	}
	last, hadPrimary := g.LastPrimary()
	input := bbrfailover.ElectionInput{
		Group:               g,
		Policy:              c.policies[name],
		OldPrimaryReachable: hadPrimary && !c.isLost(now, bbrmember.Ref{Group: name, Member: last.Member}),
		CatchUpTimeout:      c.opts.CatchUpTimeout,
	}
	for _, a := range gs.change.Step(now, ev, input) {
		c.planNow = true
		c.handleChangeAction(now, name, g, gs, a)
	}
}

// handleChangeAction translates an action of a running change into actions and
// proposed entries of the control logic.
func (c *Control) handleChangeAction(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group, gs *groupState, a bbrfailover.Action) {
	switch a := a.(type) {
	case bbrfailover.ReadMembers:
		for _, m := range g.Members {
			c.probe(now, bbrmember.Ref{Group: name, Member: m})
		}
	case bbrfailover.AppendCandidate:
		gs.proposal = bbrjournal.CandidateChosen{Group: name, Member: a.Member, Term: g.Term}
	case bbrfailover.Promote:
		gs.proposal = nil
		c.emit(Promote{Ref: bbrmember.Ref{Group: name, Member: a.Member}, Term: g.Term, Timeout: c.opts.PromoteTimeout})
	case bbrfailover.AppendPrimary:
		gs.proposal = bbrjournal.PrimaryNamed{
			Group: name, Member: a.Member, Term: g.Term, History: a.History, Start: a.Start, PossibleLoss: a.PossibleLoss,
		}
	}
}

func (c *Control) handlePromoteDone(now bbrtype.Mono, e PromotionFinished) {
	gs := c.groups[e.Ref.Group]
	if gs == nil || gs.change == nil || gs.change.Term() != e.Term {
		return
	}
	c.stepChange(now, e.Ref.Group, bbrfailover.PromotionFinished{
		Member: e.Ref.Member, Before: e.Before, After: e.After, Failed: e.Failed,
	})
}

// repoint makes members that are not on the primary's history follow the
// primary. A member is on the primary's history if it replicates from the
// timeline that the primary reported for its term (bbrmember.State.History).
// Only the first reachable steward repoints members, and only while it has
// authority.
func (c *Control) repoint(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group) {
	l, ok := g.Primary()
	if !ok || !c.state.IsSteward(c.opts.Self.ID) || c.AuthorityUntil() <= now || c.rank(now) != 0 {
		return
	}
	for _, member := range g.Members {
		ref := bbrmember.Ref{Group: name, Member: member}
		m := c.ensureMember(ref)
		if member == l.Member || now.Sub(m.followSentAt) < followRetryInterval {
			continue
		}
		st, at := m.latestState()
		if st == nil || at < c.ensureGroup(name).primaryNamedAt || now.Sub(at) > c.opts.PeerTimeout {
			c.probeTemporarily(now, ref)
			continue
		}
		if st.Primary || st.History != l.History {
			m.followSentAt = now
			c.emit(Follow{Ref: ref, Primary: l.Member, Term: l.Term})
		}
	}
}
