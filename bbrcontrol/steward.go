package bbrcontrol

import (
	"slices"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// rank returns the position of this instance among the reachable stewards, from
// 0. The steward of rank 0 acts first; the others delay their fences by
// Options.RankDelay for each rank.
func (c *Control) rank(now bbrtype.Mono) int {
	rank := 0
	for _, id := range c.state.Stewards {
		if id == c.opts.Self.ID {
			return rank
		}
		// A steward that has been removed from the journal appends no fences.
		// Peers list only instances in the journal as silent, so isUnreachable
		// would be wrong for it.
		if _, joined := c.state.Instances[id]; joined && !c.isUnreachable(now, id, c.opts.PeerTimeout) {
			rank++
		}
	}
	return rank
}

// proposeStewards adds a StewardsNamed entry if stewards have to be named or
// replaced. The entry comes from the first reachable steward, from any instance
// if there are no stewards yet, or from an instance that has completed a
// takeover.
func (c *Control) proposeStewards(now bbrtype.Mono, out []bbrjournal.Entry) []bbrjournal.Entry {
	initial := len(c.state.Stewards) == 0 && c.HasJoined()
	takingOver := c.takeover.revoked && c.takeover.stewardsIndex == c.state.StewardsIndex
	isFirst := c.state.IsSteward(c.opts.Self.ID) && c.rank(now) == 0
	if !initial && !takingOver && !isFirst {
		return out
	}
	if !c.granter.GrantsExpired(now) {
		return out
	}
	next := c.chooseStewards(now)
	if len(next) == 0 || slices.Equal(next, c.state.Stewards) {
		return out
	}
	return append(out, bbrjournal.StewardsNamed{Stewards: next, IsTakeover: takingOver})
}

// chooseStewards keeps the eligible stewards and fills up with other instances,
// preferring data centres with the fewest stewards.
func (c *Control) chooseStewards(now bbrtype.Mono) []bbrtype.InstanceID {
	var next []bbrtype.InstanceID
	stewardsPerCentre := map[bbrtype.DataCentre]int{}
	add := func(i bbrjournal.Instance) {
		next = append(next, i.ID)
		stewardsPerCentre[i.DataCentre]++
	}
	for _, id := range c.state.Stewards {
		if i, ok := c.state.Instances[id]; ok && c.isEligible(now, id) && len(next) < c.opts.StewardCount {
			add(i)
		}
	}
	var ids []bbrtype.InstanceID
	for _, i := range c.state.SortedInstances() {
		if !slices.Contains(next, i.ID) && c.isEligible(now, i.ID) {
			ids = append(ids, i.ID)
		}
	}
	ids = bbrrendezvous.Top("stewards", ids, len(ids))
	for len(next) < c.opts.StewardCount && len(ids) > 0 {
		best := 0
		for k, id := range ids {
			if stewardsPerCentre[c.state.Instances[id].DataCentre] < stewardsPerCentre[c.state.Instances[ids[best]].DataCentre] {
				best = k
			}
		}
		add(c.state.Instances[ids[best]])
		ids = slices.Delete(ids, best, best+1)
	}
	return next
}

// isEligible reports whether an instance can be a steward.
func (c *Control) isEligible(now bbrtype.Mono, id bbrtype.InstanceID) bool {
	if id == c.opts.Self.ID {
		return !c.leaving
	}
	p := c.peers[id]
	return p != nil && !p.leaving && !c.isUnreachable(now, id, c.opts.PeerTimeout)
}

// planHeartbeat stores this instance's heartbeat while it is a steward.
func (c *Control) planHeartbeat(now bbrtype.Mono) {
	if !c.state.IsSteward(c.opts.Self.ID) || (c.heartbeat > 0 && now.Sub(c.heartbeatAt) < c.opts.HeartbeatInterval) {
		return
	}
	c.heartbeat++
	c.heartbeatAt = now
	c.emit(StoreHeartbeat{Heartbeat: c.heartbeat})
}

// takeover tracks the heartbeats of stewards that are all unreachable. A
// steward may give lease grants for the holdover after its last heartbeat, so
// the heartbeats must stay unchanged for longer than that before they are
// revoked.
type takeover struct {
	// stewardsIndex is the index at which the observed stewards were named.
	stewardsIndex bbrtype.Index
	readAt        bbrtype.Mono
	heartbeats    map[bbrtype.InstanceID]uint64
	// unchangedSince is when a read last returned a heartbeat that differed
	// from the previous read, or when the first read returned.
	unchangedSince bbrtype.Mono
	revokeSent     bool
	revoked        bool
}

// planTakeover reads the stewards' heartbeats while no steward is reachable,
// and revokes them once they have not changed for long enough.
func (c *Control) planTakeover(now bbrtype.Mono) {
	if !c.HasJoined() || c.leaving || len(c.state.Stewards) == 0 || c.reachesSteward(now) {
		c.takeover = takeover{}
		return
	}
	t := &c.takeover
	if t.stewardsIndex != c.state.StewardsIndex {
		*t = takeover{stewardsIndex: c.state.StewardsIndex}
	}
	// After the holdover plus twice the lease duration, no grant of these
	// stewards is valid.
	minUnchanged := c.opts.Authority.Holdover + 2*c.opts.Authority.Duration
	if t.heartbeats != nil && !t.revokeSent && now.Sub(t.unchangedSince) > minUnchanged {
		t.revokeSent = true
		c.emit(RevokeHeartbeats{Heartbeats: t.heartbeats})
		return
	}
	if !t.revokeSent && now.Sub(t.readAt) >= c.opts.HeartbeatInterval {
		t.readAt = now
		c.emit(ReadHeartbeats{Stewards: c.state.Stewards})
	}
}

func (c *Control) reachesSteward(now bbrtype.Mono) bool {
	for _, id := range c.state.Stewards {
		if _, joined := c.state.Instances[id]; joined && !c.isUnreachable(now, id, c.opts.PeerTimeout) {
			return true
		}
	}
	return false
}

func (c *Control) handleHeartbeatsRead(now bbrtype.Mono, e HeartbeatsRead) {
	t := &c.takeover
	if e.Failed || t.stewardsIndex == 0 || t.revokeSent {
		return
	}
	changed := t.heartbeats == nil
	for _, id := range c.state.Stewards {
		changed = changed || e.Heartbeats[id] != t.heartbeats[id]
	}
	if changed {
		t.heartbeats = e.Heartbeats
		t.unchangedSince = now
	}
}
