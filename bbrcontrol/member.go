package bbrcontrol

import (
	"maps"
	"slices"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// suspicion is how many probe intervals a suspected member is probed for.
const suspicionProbes = 8

func (c *Control) memberOf(ref bbrmember.Ref) *memberControl {
	m := c.members[ref]
	if m == nil {
		m = &memberControl{}
		c.members[ref] = m
	}
	return m
}

// tell keeps a state that a peer has read.
func (m *memberControl) tell(st *bbrmember.State, asOf bbrtype.Mono) {
	if asOf > m.toldAt {
		m.told, m.toldAt = st, asOf
	}
}

// newest returns the newest state that this instance knows of, and its time.
func (m *memberControl) newest() (*bbrmember.State, bbrtype.Mono) {
	if m.told != nil && m.toldAt > m.stateAt {
		return m.told, m.toldAt
	}
	return m.state, m.stateAt
}

// suspect makes the instance probe a member for a while.
func (c *Control) suspect(now bbrtype.Mono, ref bbrmember.Ref) {
	g := c.state.Groups[ref.Group]
	if g == nil {
		return
	}
	for _, m := range g.Members {
		if m == ref.Member {
			c.memberOf(ref).suspectUntil = now.Add(suspicionProbes * c.opts.ProbeInterval)
			return
		}
	}
}

// planMembers probes the members that this instance is responsible for, those
// that are suspected, and forgets those that are no members any more.
func (c *Control) planMembers(now bbrtype.Mono) {
	if c.probedAt != c.state.Applied {
		c.assignProbes()
	}
	for _, ref := range c.probed {
		c.probeIfDue(now, ref)
	}
	for _, ref := range c.suspected(now) {
		c.probeIfDue(now, ref)
	}
}

// suspected lists the members under suspicion in a stable order.
func (c *Control) suspected(now bbrtype.Mono) []bbrmember.Ref {
	var out []bbrmember.Ref
	for ref, m := range c.members {
		if now < m.suspectUntil {
			out = append(out, ref)
		}
	}
	slices.SortFunc(out, bbrmember.Compare)
	return out
}

// assignProbes works out which members this instance probes.
func (c *Control) assignProbes() {
	c.probedAt = c.state.Applied
	c.probed = nil
	ids := slices.Collect(maps.Keys(c.state.Instances))
	for _, name := range c.state.GroupNames() {
		for _, member := range c.state.Groups[name].Members {
			ref := bbrmember.Ref{Group: name, Member: member}
			if c.isProber(ref, ids) {
				c.probed = append(c.probed, ref)
			}
		}
	}
	slices.SortFunc(c.probed, bbrmember.Compare)
	for ref := range c.members {
		if !c.hasMember(ref) {
			delete(c.members, ref)
		}
	}
}

// isProbed reports whether this instance is responsible for probing a member.
func (c *Control) isProbed(ref bbrmember.Ref) bool {
	_, found := slices.BinarySearchFunc(c.probed, ref, bbrmember.Compare)
	return found
}

func (c *Control) probeIfDue(now bbrtype.Mono, ref bbrmember.Ref) {
	if m := c.memberOf(ref); !m.probing && now.Sub(m.probeAt) >= c.probeInterval(now, m, c.isPrimary(ref)) {
		c.probe(now, ref)
	}
}

func (c *Control) hasMember(ref bbrmember.Ref) bool {
	g := c.state.Groups[ref.Group]
	if g == nil {
		return false
	}
	for _, m := range g.Members {
		if m == ref.Member {
			return true
		}
	}
	return false
}

// isProber reports whether this instance is one of those that probe a member.
func (c *Control) isProber(ref bbrmember.Ref, ids []bbrtype.InstanceID) bool {
	key := string(ref.Group) + "/" + string(ref.Member)
	return bbrrendezvous.Contains(key, ids, c.opts.ProbersPerMember, c.opts.Self.ID)
}

func (c *Control) probe(now bbrtype.Mono, ref bbrmember.Ref) {
	m := c.memberOf(ref)
	m.probing = true
	m.probeAt = now
	c.do(Probe{Ref: ref, Timeout: c.opts.ProbeTimeout})
}

func (c *Control) memberAnswered(now bbrtype.Mono, e MemberAnswered) {
	if !c.hasMember(e.Ref) {
		return
	}
	m := c.memberOf(e.Ref)
	if e.Probed {
		m.probing = false
	}
	m.health.Good(now)
	if e.State == nil {
		return
	}
	if e.SentAt >= m.stateAt {
		m.state, m.stateAt = e.State, e.SentAt
	}
	c.stepChange(now, e.Ref.Group, bbrfailover.MemberRead{Member: e.Ref.Member, State: *e.State, SentAt: e.SentAt})
}

func (c *Control) memberFailed(now bbrtype.Mono, e MemberFailed) {
	if !c.hasMember(e.Ref) {
		return
	}
	m := c.memberOf(e.Ref)
	if e.Probed {
		m.probing = false
	}
	if m.health.Kind == bbrmember.FailureNone {
		m.badAt = now
	}
	m.health.Bad(now, e.SentAt, e.Kind)
	if e.Probed && e.Kind == bbrmember.FailureRefused {
		c.stepChange(now, e.Ref.Group, bbrfailover.MemberUnreadable{Member: e.Ref.Member})
	}
	if c.isPrimary(e.Ref) && now >= m.suspectUntil {
		c.suspect(now, e.Ref)
		c.exchangeNow()
	}
}

func (c *Control) isPrimary(ref bbrmember.Ref) bool {
	l, ok := c.state.Groups[ref.Group].Primary()
	return ok && l.Member == ref.Member
}

// opinion returns this instance's opinion of a member.
func (c *Control) opinion(now bbrtype.Mono, ref bbrmember.Ref) bbrfailover.Opinion {
	m := c.members[ref]
	if m == nil {
		return bbrfailover.OpinionNone
	}
	return bbrfailover.OpinionOf(m.health, now, c.opts.Limits, c.opts.Fresh)
}

// reports tell the peers about the members that this instance has fresh
// experience with. In calm times that of its traffic is left out: the members'
// probers tell the same.
func (c *Control) reports(now bbrtype.Mono) []Report {
	var out []Report
	calm := c.isCalm(now)
	for ref, m := range c.members {
		o := c.opinion(now, ref)
		if o == bbrfailover.OpinionNone || calm && o == bbrfailover.OpinionAnswering && !c.isProbed(ref) {
			continue
		}
		r := Report{Ref: ref, Opinion: o}
		if m.state != nil {
			r.State, r.StateAge = m.state, now.Sub(m.stateAt)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Report) int { return bbrmember.Compare(a.Ref, b.Ref) })
	return out
}

// takeReports keeps a peer's reports and passes on the states in them.
func (c *Control) takeReports(now bbrtype.Mono, p *peer, reports []Report, askedAt bbrtype.Mono) {
	p.reports = make(map[bbrmember.Ref]Report, len(reports))
	p.reported = now
	for _, r := range reports {
		p.reports[r.Ref] = r
		if !c.hasMember(r.Ref) {
			continue
		}
		if r.State != nil {
			l := Learned{Ref: r.Ref, State: *r.State}
			if askedAt != 0 {
				l.AsOf = askedAt.Add(-r.StateAge)
				c.memberOf(r.Ref).tell(r.State, l.AsOf)
			}
			c.do(l)
		}
		if r.Opinion == bbrfailover.OpinionFailing && c.state.IsSteward(c.opts.Self.ID) && c.isPrimary(r.Ref) {
			c.suspect(now, r.Ref)
		}
	}
}

// suspects are the primaries that peers are asked to probe, so that all begin at
// about the same time. An instance that is no steward asks for a short time only:
// if it goes on failing alone, the trouble is its own.
func (c *Control) suspects(now bbrtype.Mono) []bbrmember.Ref {
	steward := c.state.IsSteward(c.opts.Self.ID)
	var out []bbrmember.Ref
	for _, name := range c.state.GroupNames() {
		l, ok := c.state.Groups[name].Primary()
		if !ok {
			continue
		}
		ref := bbrmember.Ref{Group: name, Member: l.Member}
		m := c.members[ref]
		if m != nil && m.health.Kind != bbrmember.FailureNone && (steward || now.Sub(m.badAt) <= c.opts.Silence) {
			out = append(out, ref)
		}
	}
	return out
}

// othersOf returns the fresh opinions of the peers about a member.
func (c *Control) othersOf(now bbrtype.Mono, ref bbrmember.Ref) []bbrfailover.Opinion {
	var out []bbrfailover.Opinion
	for id, p := range c.peers {
		if _, member := c.state.Instances[id]; !member || now.Sub(p.reported) > c.reportsFor {
			continue
		}
		if r, ok := p.reports[ref]; ok {
			out = append(out, r.Opinion)
		}
	}
	return out
}

// Reach returns what the instances together think of a member: it answers if it
// answers any of them.
func (c *Control) Reach(now bbrtype.Mono, ref bbrmember.Ref) bbrfailover.Opinion {
	merged := c.opinion(now, ref)
	for _, o := range c.othersOf(now, ref) {
		if o == bbrfailover.OpinionAnswering || merged == bbrfailover.OpinionNone {
			merged = o
		}
		if merged == bbrfailover.OpinionAnswering {
			break
		}
	}
	return merged
}

// isLost reports whether a member counts as lost among the instances.
func (c *Control) isLost(now bbrtype.Mono, ref bbrmember.Ref) bool {
	return bbrfailover.IsLost(c.opinion(now, ref), c.othersOf(now, ref), len(c.state.Instances))
}
