package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// followRetry is the pause before a member is told again whom to follow.
const followRetry = time.Second

// planChanges watches the primaries, moves the changes on and brings members
// back into the group's history.
func (c *Control) planChanges(now bbrtype.Mono) {
	for id, at := range c.removed {
		if now.Sub(at) > 2*c.opts.Authority.Duration {
			delete(c.removed, id)
		}
	}
	for _, name := range c.state.GroupNames() {
		g := c.state.Groups[name]
		gc := c.groupOf(name)
		c.watchPrimary(now, name, g, gc)
		c.stepChange(now, name, bbrfailover.Tick{})
		c.repoint(now, name, g)
	}
}

// watchPrimary keeps track of since when the primary counts as lost.
func (c *Control) watchPrimary(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group, gc *groupControl) {
	l, ok := g.Primary()
	if !ok || !c.isLost(now, bbrmember.Ref{Group: name, Member: l.Member}) || !c.hasReplica(now, name, g, l) {
		gc.lostAt = 0
		return
	}
	if gc.lostAt == 0 {
		gc.lostAt = now
	}
}

// hasReplica reports whether another member answers, so that a change of
// primary can succeed.
func (c *Control) hasReplica(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group, l bbrjournal.Lineage) bool {
	for _, m := range g.Members {
		ref := bbrmember.Ref{Group: name, Member: m}
		if m == l.Member {
			continue
		}
		if c.opinion(now, ref) == bbrfailover.OpinionAnswering {
			return true
		}
		for _, o := range c.othersOf(now, ref) {
			if o == bbrfailover.OpinionAnswering {
				return true
			}
		}
	}
	return false
}

// wantChanges collects fences and the entries of running changes.
func (c *Control) wantChanges(now bbrtype.Mono, out []bbrjournal.Entry) []bbrjournal.Entry {
	if !c.state.IsSteward(c.opts.Self.ID) {
		return out
	}
	rank := c.rank(now)
	c.fenceWanted = false
	for _, name := range c.state.GroupNames() {
		g := c.state.Groups[name]
		gc := c.groupOf(name)
		if gc.want != nil {
			out = append(out, gc.want)
			continue
		}
		fence, excluded := c.wantsFence(now, name, g, gc, rank)
		c.fenceWanted = c.fenceWanted || fence
		if fence && c.voucher.MayAppend(now) {
			out = append(out, bbrjournal.Fenced{Group: name, Term: g.Term + 1, Excluded: excluded})
		}
	}
	return out
}

// wantSettled ends the time in which a group's earlier settings count: once all
// instances have applied the new one, or have no authority left, the primary's
// position covers every write that was confirmed before.
func (c *Control) wantSettled(now bbrtype.Mono, out []bbrjournal.Entry) []bbrjournal.Entry {
	if !c.state.IsSteward(c.opts.Self.ID) || c.rank(now) != 0 {
		return out
	}
	for _, name := range c.state.GroupNames() {
		g := c.state.Groups[name]
		l, ok := g.Primary()
		if len(g.Earlier) == 0 || !ok {
			continue
		}
		gc := c.groupOf(name)
		if gc.setAt != g.SetAt {
			gc.setAt, gc.setSeen, gc.setAllAt = g.SetAt, now, 0
		}
		if gc.setAllAt == 0 && c.allApplied(now, g.SetAt, gc.setSeen) {
			gc.setAllAt = now
		}
		ref := bbrmember.Ref{Group: name, Member: l.Member}
		m := c.memberOf(ref)
		if gc.setAllAt == 0 || m.state == nil || m.stateAt < gc.setAllAt {
			c.suspect(now, ref)
			continue
		}
		if m.state.Primary && m.state.History == l.History {
			out = append(out, bbrjournal.Settled{Group: name, Term: g.Term, Since: g.SetAt, Floor: m.state.Position})
		}
	}
	return out
}

// allApplied reports whether nobody can acknowledge a write by what the journal
// said before an index that was seen at a time.
func (c *Control) allApplied(now bbrtype.Mono, i bbrtype.Index, seen bbrtype.Mono) bool {
	if now.Sub(seen) >= c.opts.Authority.Duration {
		return true
	}
	if len(c.removed) > 0 {
		return false
	}
	for id := range c.state.Instances {
		if p := c.peers[id]; id != c.opts.Self.ID && (p == nil || p.applied < i) {
			return false
		}
	}
	return true
}

// wantsFence reports whether a new term should start, and which member must
// not be its primary.
func (c *Control) wantsFence(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group, gc *groupControl, rank int) (bool, bbrtype.MemberName) {
	delay := time.Duration(rank) * c.opts.RankDelay
	if len(g.Members) == 0 || c.leaving {
		return false, ""
	}
	if g.Fenced {
		// The steward that set the fence may be dead or stuck.
		orphaned := !c.state.IsSteward(g.FencedBy)
		stuck := g.FencedBy != c.opts.Self.ID && now.Sub(gc.fencedAt) >= c.opts.TakeoverAfter+delay && c.reachesAny(now, name, g)
		mine := g.FencedBy == c.opts.Self.ID && gc.change == nil
		return mine || stuck || (orphaned && now.Sub(gc.fencedAt) >= delay), g.Excluded
	}
	if g.Term == 0 {
		return rank == 0, ""
	}
	l, _ := g.Primary()
	if gc.wished == l.Member && now.Sub(gc.wishedAt) <= c.opts.Silence && rank == 0 && now.Sub(gc.namedAt) >= c.opts.Cooldown {
		return c.hasFollower(now, name, g, l), l.Member
	}
	lost := gc.lostAt != 0 && now.Sub(gc.lostAt) >= delay && now.Sub(gc.namedAt) >= c.opts.Cooldown
	return lost, ""
}

// reachesAny reports whether this instance reaches any member.
func (c *Control) reachesAny(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group) bool {
	for _, m := range g.Members {
		if c.opinion(now, bbrmember.Ref{Group: name, Member: m}) == bbrfailover.OpinionAnswering {
			return true
		}
	}
	return false
}

// hasFollower reports whether a replica follows the primary's history, so that
// a planned change can succeed at once.
func (c *Control) hasFollower(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group, l bbrjournal.Lineage) bool {
	for _, member := range g.Members {
		ref := bbrmember.Ref{Group: name, Member: member}
		m := c.memberOf(ref)
		if member == l.Member {
			continue
		}
		if m.state == nil || now.Sub(m.stateAt) > c.opts.Fresh {
			c.suspect(now, ref)
			continue
		}
		if !m.state.Primary && m.state.History == l.History {
			return true
		}
	}
	return false
}

// wish notes that a pending configuration takes the primary away.
func (g *groupControl) wish(now bbrtype.Mono, w Wish) {
	g.wished = w.Excluded
	g.wishedAt = now
}

// noteFence starts the change of primary if the fence is the own one.
func (c *Control) noteFence(now bbrtype.Mono, r bbrjournal.Record, e bbrjournal.Fenced) {
	gc := c.groupOf(e.Group)
	gc.fencedAt = now
	gc.change, gc.want = nil, nil
	if r.Writer != c.opts.Self.ID {
		return
	}
	var unconfirmed []bbrtype.InstanceID
	for _, i := range c.state.SortedInstances() {
		p := c.peers[i.ID]
		if i.ID != c.opts.Self.ID && (p == nil || p.applied < r.Index) {
			unconfirmed = append(unconfirmed, i.ID)
		}
	}
	for id := range c.removed {
		if id != c.opts.Self.ID {
			unconfirmed = append(unconfirmed, id)
		}
	}
	gc.change = bbrfailover.NewChange(bbrfailover.Options{
		Group:          e.Group,
		Term:           e.Term,
		Unconfirmed:    unconfirmed,
		LapseAt:        now.Add(c.opts.Authority.Duration),
		ReadTimeout:    c.opts.ProbeTimeout,
		PromoteTimeout: c.opts.PromoteTimeout,
	}, now)
	c.exchangeNow()
	c.do(Note{Text: "fenced", Group: e.Group, Term: e.Term})
}

// confirmFences tells the running changes that an instance has applied up to
// an index.
func (c *Control) confirmFences(now bbrtype.Mono, id bbrtype.InstanceID, applied bbrtype.Index) {
	for _, name := range c.state.GroupNames() {
		gc := c.groups[name]
		if gc == nil || gc.change == nil || !gc.change.Unconfirmed(id) {
			continue
		}
		if applied >= c.state.Groups[name].FencedAt && !c.opts.WaitOut {
			c.stepChange(now, name, bbrfailover.Confirmed{Instance: id})
		}
	}
}

// notePrimary ends a change of primary.
func (c *Control) notePrimary(now bbrtype.Mono, r bbrjournal.Record, e bbrjournal.PrimaryNamed) {
	gc := c.groupOf(e.Group)
	gc.namedAt = now
	gc.lostAt = 0
	gc.change, gc.want = nil, nil
	ref := bbrmember.Ref{Group: e.Group, Member: e.Member}
	c.memberOf(ref).health = bbrmember.Health{}
	if r.Writer == c.opts.Self.ID {
		c.do(Note{Text: "primary named", Group: e.Group, Term: e.Term, Subject: string(e.Member), Took: now.Sub(gc.fencedAt)})
		c.exchangeNow()
	}
}

// dropStaleChange forgets a change that another steward has overtaken.
func (c *Control) dropStaleChange(name bbrtype.GroupName) {
	gc := c.groupOf(name)
	g := c.state.Groups[name]
	if gc.change != nil && (!g.Fenced || g.Term != gc.change.Term()) {
		gc.change, gc.want = nil, nil
	}
}

// stepChange passes an event to a running change and takes its actions.
func (c *Control) stepChange(now bbrtype.Mono, name bbrtype.GroupName, ev bbrfailover.Event) {
	gc := c.groups[name]
	g := c.state.Groups[name]
	if gc == nil || gc.change == nil || g == nil {
		return
	}
	c.dropStaleChange(name)
	if gc.change == nil {
		return
	}
	last, had := g.Last()
	situation := bbrfailover.Situation{
		Group:       g,
		Policy:      c.policies[name],
		OldAnswers:  had && !c.isLost(now, bbrmember.Ref{Group: name, Member: last.Member}),
		PlannedWait: c.opts.PlannedWait,
	}
	for _, a := range gc.change.Step(now, ev, situation) {
		c.urgent = true
		c.carryOut(now, name, g, gc, a)
	}
}

// carryOut translates a change's action.
func (c *Control) carryOut(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group, gc *groupControl, a bbrfailover.Action) {
	switch a := a.(type) {
	case bbrfailover.ReadMembers:
		for _, m := range g.Members {
			c.probe(now, bbrmember.Ref{Group: name, Member: m})
		}
	case bbrfailover.AppendCandidate:
		gc.want = bbrjournal.CandidateChosen{Group: name, Member: a.Member, Term: g.Term}
	case bbrfailover.Promote:
		gc.want = nil
		c.do(Promote{Ref: bbrmember.Ref{Group: name, Member: a.Member}, Term: g.Term, Timeout: c.opts.PromoteTimeout})
	case bbrfailover.AppendPrimary:
		gc.want = bbrjournal.PrimaryNamed{
			Group: name, Member: a.Member, Term: g.Term, History: a.History, Start: a.Start, PossibleLoss: a.PossibleLoss,
		}
	}
}

func (c *Control) promoteDone(now bbrtype.Mono, e PromoteDone) {
	gc := c.groups[e.Ref.Group]
	if gc == nil || gc.change == nil || gc.change.Term() != e.Term {
		return
	}
	c.stepChange(now, e.Ref.Group, bbrfailover.Promoted{
		Member: e.Ref.Member, Before: e.Before, After: e.After, Failed: e.Failed,
	})
}

// repoint tells members outside the primary's history to follow it. Only the
// first steward does so, and only with authority.
func (c *Control) repoint(now bbrtype.Mono, name bbrtype.GroupName, g *bbrjournal.Group) {
	l, ok := g.Primary()
	if !ok || !c.state.IsSteward(c.opts.Self.ID) || c.AuthorityUntil() <= now || c.rank(now) != 0 {
		return
	}
	for _, member := range g.Members {
		ref := bbrmember.Ref{Group: name, Member: member}
		m := c.memberOf(ref)
		if member == l.Member || now.Sub(m.followAt) < followRetry {
			continue
		}
		st, at := m.newest()
		if st == nil || at < c.groupOf(name).namedAt || now.Sub(at) > c.opts.Silence {
			c.suspect(now, ref)
			continue
		}
		if st.Primary || st.History != l.History {
			m.followAt = now
			c.do(Follow{Ref: ref, Target: l.Member, Term: l.Term})
		}
	}
}
