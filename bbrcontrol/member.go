package bbrcontrol

import (
	"maps"
	"slices"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// temporaryProbes is the number of probe intervals for which a member is probed
// temporarily.
const temporaryProbes = 8

// ensureMember returns the state of a member and creates it if necessary.
func (c *Control) ensureMember(ref bbrmember.Ref) *memberState {
	m := c.members[ref]
	if m == nil {
		m = &memberState{}
		c.members[ref] = m
	}
	return m
}

// setPeerState stores a state that a peer read, unless a newer one is stored.
func (m *memberState) setPeerState(st *bbrmember.State, asOf bbrtype.Mono) {
	if asOf > m.peerStateAt {
		m.peerState, m.peerStateAt = st, asOf
	}
}

// latestState returns the newest state of the member, be it read by this
// instance or by a peer, and the time of the read.
func (m *memberState) latestState() (*bbrmember.State, bbrtype.Mono) {
	if m.peerState != nil && m.peerStateAt > m.stateAt {
		return m.peerState, m.peerStateAt
	}
	return m.state, m.stateAt
}

// probeTemporarily makes this instance probe a member for temporaryProbes probe
// intervals, even if the member is not assigned to it.
func (c *Control) probeTemporarily(now bbrtype.Mono, ref bbrmember.Ref) {
	g := c.state.Groups[ref.Group]
	if g == nil {
		return
	}
	for _, m := range g.Members {
		if m == ref.Member {
			c.ensureMember(ref).probeUntil = now.Add(temporaryProbes * c.opts.ProbeInterval)
			return
		}
	}
}

// planMembers probes the members that are assigned to this instance or
// temporarily probed.
func (c *Control) planMembers(now bbrtype.Mono) {
	if c.assignedIndex != c.state.AppliedIndex {
		c.assignMembers()
	}
	for _, ref := range c.assignedMembers {
		c.probeIfDue(now, ref)
	}
	for _, ref := range c.temporarilyProbed(now) {
		c.probeIfDue(now, ref)
	}
}

// temporarilyProbed returns the members with temporary probes, sorted.
func (c *Control) temporarilyProbed(now bbrtype.Mono) []bbrmember.Ref {
	var out []bbrmember.Ref
	for ref, m := range c.members {
		if now < m.probeUntil {
			out = append(out, ref)
		}
	}
	slices.SortFunc(out, bbrmember.CompareRefs)
	return out
}

// assignMembers determines the members that this instance has to probe, and
// drops the state of members that the configuration no longer has.
func (c *Control) assignMembers() {
	c.assignedIndex = c.state.AppliedIndex
	c.assignedMembers = nil
	ids := slices.Collect(maps.Keys(c.state.Instances))
	for _, name := range c.state.GroupNames() {
		for _, member := range c.state.Groups[name].Members {
			ref := bbrmember.Ref{Group: name, Member: member}
			if c.isProber(ref, ids) {
				c.assignedMembers = append(c.assignedMembers, ref)
			}
		}
	}
	slices.SortFunc(c.assignedMembers, bbrmember.CompareRefs)
	for ref := range c.members {
		if !c.hasMember(ref) {
			delete(c.members, ref)
		}
	}
}

// isAssigned reports whether a member is assigned to this instance for probing.
func (c *Control) isAssigned(ref bbrmember.Ref) bool {
	_, found := slices.BinarySearchFunc(c.assignedMembers, ref, bbrmember.CompareRefs)
	return found
}

func (c *Control) probeIfDue(now bbrtype.Mono, ref bbrmember.Ref) {
	if m := c.ensureMember(ref); !m.probeInFlight && now.Sub(m.probeAt) >= c.probeInterval(now, m, c.isPrimary(ref)) {
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

// isProber reports whether this instance is one of the ProbersPerMember
// instances that probe a member. Rendezvous hashing yields the same probers on
// all instances that have applied the same records.
func (c *Control) isProber(ref bbrmember.Ref, ids []bbrtype.InstanceID) bool {
	key := string(ref.Group) + "/" + string(ref.Member)
	return bbrrendezvous.InTop(key, ids, c.opts.ProbersPerMember, c.opts.Self.ID)
}

func (c *Control) probe(now bbrtype.Mono, ref bbrmember.Ref) {
	m := c.ensureMember(ref)
	m.probeInFlight = true
	m.probeAt = now
	c.emit(Probe{Ref: ref, Timeout: c.opts.ProbeTimeout})
}

func (c *Control) handleMemberAnswered(now bbrtype.Mono, e MemberAnswered) {
	if !c.hasMember(e.Ref) {
		return
	}
	m := c.ensureMember(e.Ref)
	if e.Probed {
		m.probeInFlight = false
	}
	m.health.RecordResponse(now)
	if e.State == nil {
		return
	}
	if e.SentAt >= m.stateAt {
		m.state, m.stateAt = e.State, e.SentAt
	}
	c.stepChange(now, e.Ref.Group, bbrfailover.MemberStateRead{Member: e.Ref.Member, State: *e.State, SentAt: e.SentAt})
}

func (c *Control) handleMemberFailed(now bbrtype.Mono, e MemberFailed) {
	if !c.hasMember(e.Ref) {
		return
	}
	m := c.ensureMember(e.Ref)
	if e.Probed {
		m.probeInFlight = false
	}
	if m.health.Failure == bbrmember.FailureNone {
		m.failedSince = now
	}
	m.health.RecordFailure(now, e.SentAt, e.Kind)
	if e.Probed && e.Kind == bbrmember.FailureRefused {
		c.stepChange(now, e.Ref.Group, bbrfailover.MemberReadRefused{Member: e.Ref.Member})
	}
	if c.isPrimary(e.Ref) && now >= m.probeUntil {
		// All instances start probing the primary after its first failure.
		c.probeTemporarily(now, e.Ref)
		c.exchangeNow()
	}
}

func (c *Control) isPrimary(ref bbrmember.Ref) bool {
	l, ok := c.state.Groups[ref.Group].Primary()
	return ok && l.Member == ref.Member
}

// reachability returns the reachability of a member as seen by this instance.
func (c *Control) reachability(now bbrtype.Mono, ref bbrmember.Ref) bbrfailover.Reachability {
	m := c.members[ref]
	if m == nil {
		return bbrfailover.ReachabilityUnknown
	}
	return bbrfailover.AssessReachability(m.health, now, c.opts.FailureLimits, c.opts.ObservationTTL)
}

// buildReports returns the reports on the members that this instance has
// observed recently. In the steady state it omits members that answer and are
// not assigned to this instance. They were observed only through callers'
// traffic, and the assigned probers report them anyway.
func (c *Control) buildReports(now bbrtype.Mono) []MemberReport {
	var out []MemberReport
	steady := c.isSteady(now)
	for ref, m := range c.members {
		o := c.reachability(now, ref)
		if o == bbrfailover.ReachabilityUnknown || steady && o == bbrfailover.ReachabilityResponding && !c.isAssigned(ref) {
			continue
		}
		r := MemberReport{Ref: ref, Reachability: o}
		if m.state != nil {
			r.State, r.StateAge = m.state, now.Sub(m.stateAt)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b MemberReport) int { return bbrmember.CompareRefs(a.Ref, b.Ref) })
	return out
}

// handleReports stores a peer's reports and passes on the member states in
// them.
func (c *Control) handleReports(now bbrtype.Mono, p *peer, reports []MemberReport, requestedAt bbrtype.Mono) {
	p.reports = make(map[bbrmember.Ref]MemberReport, len(reports))
	p.reportsAt = now
	for _, r := range reports {
		p.reports[r.Ref] = r
		if !c.hasMember(r.Ref) {
			continue
		}
		if r.State != nil {
			l := MemberStateReported{Ref: r.Ref, State: *r.State}
			if requestedAt != 0 {
				l.AsOf = requestedAt.Add(-r.StateAge)
				c.ensureMember(r.Ref).setPeerState(r.State, l.AsOf)
			}
			c.emit(l)
		}
		if r.Reachability == bbrfailover.ReachabilityFailing && c.state.IsSteward(c.opts.Self.ID) && c.isPrimary(r.Ref) {
			c.probeTemporarily(now, r.Ref)
		}
	}
}

// primariesToProbe returns the primaries whose last request from this instance
// failed. Peers are requested to probe them, so that all instances start at
// about the same time. An instance that is not a steward stops requesting after
// Options.PeerTimeout: if no other instance has confirmed the failure by then,
// the cause is likely to be local to this instance.
func (c *Control) primariesToProbe(now bbrtype.Mono) []bbrmember.Ref {
	steward := c.state.IsSteward(c.opts.Self.ID)
	var out []bbrmember.Ref
	for _, name := range c.state.GroupNames() {
		l, ok := c.state.Groups[name].Primary()
		if !ok {
			continue
		}
		ref := bbrmember.Ref{Group: name, Member: l.Member}
		m := c.members[ref]
		if m != nil && m.health.Failure != bbrmember.FailureNone && (steward || now.Sub(m.failedSince) <= c.opts.PeerTimeout) {
			out = append(out, ref)
		}
	}
	return out
}

// peerReachabilities returns the reachability of a member as reported by each
// peer, without outdated reports.
func (c *Control) peerReachabilities(now bbrtype.Mono, ref bbrmember.Ref) []bbrfailover.Reachability {
	var out []bbrfailover.Reachability
	for id, p := range c.peers {
		if _, joined := c.state.Instances[id]; !joined || now.Sub(p.reportsAt) > c.reportTTL {
			continue
		}
		if r, ok := p.reports[ref]; ok {
			out = append(out, r.Reachability)
		}
	}
	return out
}

// Reachability returns the reachability of a member as seen by all instances
// together. The member counts as answering if it answers any instance.
func (c *Control) Reachability(now bbrtype.Mono, ref bbrmember.Ref) bbrfailover.Reachability {
	merged := c.reachability(now, ref)
	for _, o := range c.peerReachabilities(now, ref) {
		if o == bbrfailover.ReachabilityResponding || merged == bbrfailover.ReachabilityUnknown {
			merged = o
		}
		if merged == bbrfailover.ReachabilityResponding {
			break
		}
	}
	return merged
}

// isLost reports whether a member counts as lost, based on its reachability from
// all instances.
func (c *Control) isLost(now bbrtype.Mono, ref bbrmember.Ref) bool {
	return bbrfailover.IsPrimaryLost(c.reachability(now, ref), c.peerReachabilities(now, ref), len(c.state.Instances))
}
