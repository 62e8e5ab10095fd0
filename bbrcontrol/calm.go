package bbrcontrol

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// calmAgePart is the part of the least age of data that a message may take, so
// that replicas stay fit for reads on instances that do not probe them.
const calmAgePart = 8

// replicaProbeFactor is how much rarer replicas are probed than primaries.
const replicaProbeFactor = 2

// calmInterval is the pause between two messages while nothing is going on.
func (c *Control) calmInterval() time.Duration {
	d := c.opts.CalmInterval
	if c.leastAge > 0 {
		d = min(d, c.leastAge/calmAgePart)
	}
	return max(d, c.opts.ExchangeInterval)
}

// isCalm reports whether nothing is going on that instances have to tell each
// other about soon: no member is suspected, no primary changes, everybody is
// heard and has applied what this instance has, and the store answers.
func (c *Control) isCalm(now bbrtype.Mono) bool {
	if !c.IsMember() || c.leaving || c.open != nil || len(c.configure)+len(c.wishes) > 0 || c.holder.NeedsVouch(now) {
		return false
	}
	for id := range c.state.Instances {
		p := c.peers[id]
		if id != c.opts.Self.ID && (!c.hears(now, p) || p.leaving || p.applied < c.state.Applied) {
			return false
		}
	}
	for _, m := range c.members {
		if now < m.suspectUntil {
			return false
		}
	}
	for name, g := range c.state.Groups {
		if gc := c.groups[name]; g.Fenced || gc != nil && (gc.change != nil || gc.lostAt != 0) {
			return false
		}
	}
	return true
}

// reportLimit is how old the reports of a peer may be. In calm times they come
// rarely; once something goes on, only those of that time count.
func (c *Control) reportLimit(now bbrtype.Mono) time.Duration {
	if c.isCalm(now) {
		return c.opts.Fresh + c.calmInterval()
	}
	return c.opts.Fresh
}

// probeInterval is the pause between two probes of a member.
func (c *Control) probeInterval(now bbrtype.Mono, m *memberControl, primary bool) time.Duration {
	if primary || now < m.suspectUntil || c.leastAge > 0 && c.leastAge < time.Second {
		return c.opts.ProbeInterval
	}
	return replicaProbeFactor * c.opts.ProbeInterval
}
