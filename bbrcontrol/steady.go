package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// steadyAgeDivisor bounds the interval between messages in the steady state to
// a fraction of the lowest maximum data age. An instance that does not probe a
// replica itself receives the replica's state in these messages, and the state
// must be recent enough for the maximum data age of the instance's reads.
const steadyAgeDivisor = 8

// replicaProbeFactor is the ratio of the probe interval of replicas to that of
// primaries.
const replicaProbeFactor = 2

// steadyInterval returns the time between two messages to a peer in the steady
// state.
func (c *Control) steadyInterval() time.Duration {
	d := c.opts.SteadyInterval
	if c.lowestMaxAge > 0 {
		d = min(d, c.lowestMaxAge/steadyAgeDivisor)
	}
	return max(d, c.opts.ExchangeInterval)
}

// isSteady reports whether the fleet is in the steady state, in which instances
// exchange messages less often. In the steady state no member is probed
// temporarily, no change of primary and no append is in progress, all peers
// have sent a message recently and have applied the same records, and the store
// answers.
func (c *Control) isSteady(now bbrtype.Mono) bool {
	if !c.HasJoined() || c.leaving || c.pendingAppend != nil || len(c.configRequests)+len(c.switchovers) > 0 || c.authority.NeedsGrants(now) {
		return false
	}
	for id := range c.state.Instances {
		p := c.peers[id]
		if id != c.opts.Self.ID && (!c.seenRecently(now, p) || p.leaving || p.appliedIndex < c.state.AppliedIndex) {
			return false
		}
	}
	for _, m := range c.members {
		if now < m.probeUntil {
			return false
		}
	}
	for name, g := range c.state.Groups {
		if gs := c.groups[name]; g.Fenced || gs != nil && (gs.change != nil || gs.lostSince != 0) {
			return false
		}
	}
	return true
}

// currentReportTTL returns the maximum age of a peer's reports. It includes the
// longer interval between messages in the steady state. Once a failure or a
// change is in progress, reports from the steady state are too old.
func (c *Control) currentReportTTL(now bbrtype.Mono) time.Duration {
	if c.isSteady(now) {
		return c.opts.ObservationTTL + c.steadyInterval()
	}
	return c.opts.ObservationTTL
}

// probeInterval returns the time between two probes of a member.
func (c *Control) probeInterval(now bbrtype.Mono, m *memberState, primary bool) time.Duration {
	if primary || now < m.probeUntil || c.lowestMaxAge > 0 && c.lowestMaxAge < time.Second {
		return c.opts.ProbeInterval
	}
	return replicaProbeFactor * c.opts.ProbeInterval
}
