package bbrcontrol

import (
	"slices"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// rank returns the instance's place among the stewards that it hears. Lower
// ranks act first.
func (c *Control) rank(now bbrtype.Mono) int {
	rank := 0
	for _, id := range c.state.Stewards {
		if id == c.opts.Self.ID {
			return rank
		}
		// A steward that is no longer in the journal can't act, and its peers have
		// no opinion of it.
		if _, member := c.state.Instances[id]; member && !c.isGone(now, id, c.opts.Silence) {
			rank++
		}
	}
	return rank
}

// wantStewards replaces stewards that are gone or leaving.
func (c *Control) wantStewards(now bbrtype.Mono, out []bbrjournal.Entry) []bbrjournal.Entry {
	first := len(c.state.Stewards) == 0 && c.IsMember()
	taking := c.takeover.revoked && c.takeover.at == c.state.StewardsAt
	steward := c.state.IsSteward(c.opts.Self.ID) && c.rank(now) == 0
	if !first && !taking && !steward {
		return out
	}
	if !c.voucher.MayAppend(now) {
		return out
	}
	next := c.nextStewards(now)
	if len(next) == 0 || slices.Equal(next, c.state.Stewards) {
		return out
	}
	return append(out, bbrjournal.StewardsNamed{Stewards: next, TakenOver: taking})
}

// nextStewards keeps the fit stewards and fills up from other instances, data
// centres without a steward first.
func (c *Control) nextStewards(now bbrtype.Mono) []bbrtype.InstanceID {
	var next []bbrtype.InstanceID
	centres := map[bbrtype.DataCentre]int{}
	add := func(i bbrjournal.Instance) {
		next = append(next, i.ID)
		centres[i.DataCentre]++
	}
	for _, id := range c.state.Stewards {
		if i, ok := c.state.Instances[id]; ok && c.isFit(now, id) && len(next) < c.opts.StewardCount {
			add(i)
		}
	}
	var ids []bbrtype.InstanceID
	for _, i := range c.state.SortedInstances() {
		if !slices.Contains(next, i.ID) && c.isFit(now, i.ID) {
			ids = append(ids, i.ID)
		}
	}
	ids = bbrrendezvous.Top("stewards", ids, len(ids))
	for len(next) < c.opts.StewardCount && len(ids) > 0 {
		best := 0
		for k, id := range ids {
			if centres[c.state.Instances[id].DataCentre] < centres[c.state.Instances[ids[best]].DataCentre] {
				best = k
			}
		}
		add(c.state.Instances[ids[best]])
		ids = slices.Delete(ids, best, best+1)
	}
	return next
}

// isFit reports whether an instance can be a steward.
func (c *Control) isFit(now bbrtype.Mono, id bbrtype.InstanceID) bool {
	if id == c.opts.Self.ID {
		return !c.leaving
	}
	p := c.peers[id]
	return p != nil && !p.leaving && !c.isGone(now, id, c.opts.Silence)
}

// planBeat sends a steward's heartbeat.
func (c *Control) planBeat(now bbrtype.Mono) {
	if !c.state.IsSteward(c.opts.Self.ID) || (c.beat > 0 && now.Sub(c.beatAt) < c.opts.BeatInterval) {
		return
	}
	c.beat++
	c.beatAt = now
	c.do(Beat{Beat: c.beat})
}

// takeover is the observation of stewards that are all gone. They may promise
// for a holdover after their last heartbeat, so it takes longer than that.
type takeover struct {
	// at is the index of the observed set of stewards.
	at      bbrtype.Index
	askedAt bbrtype.Mono
	beats   map[bbrtype.InstanceID]uint64
	// quietSince is when the last change of a heartbeat was seen.
	quietSince bbrtype.Mono
	asked      bool
	revoked    bool
}

// planTakeover watches the heartbeats while no steward is heard.
func (c *Control) planTakeover(now bbrtype.Mono) {
	if !c.IsMember() || c.leaving || len(c.state.Stewards) == 0 || c.hearsSteward(now) {
		c.takeover = takeover{}
		return
	}
	t := &c.takeover
	if t.at != c.state.StewardsAt {
		*t = takeover{at: c.state.StewardsAt}
	}
	quiet := c.opts.Authority.Holdover + 2*c.opts.Authority.Duration
	if t.beats != nil && !t.asked && now.Sub(t.quietSince) > quiet {
		t.asked = true
		c.do(RevokeBeats{Beats: t.beats})
		return
	}
	if !t.asked && now.Sub(t.askedAt) >= c.opts.BeatInterval {
		t.askedAt = now
		c.do(ReadBeats{Stewards: c.state.Stewards})
	}
}

func (c *Control) hearsSteward(now bbrtype.Mono) bool {
	for _, id := range c.state.Stewards {
		if _, member := c.state.Instances[id]; member && !c.isGone(now, id, c.opts.Silence) {
			return true
		}
	}
	return false
}

func (c *Control) beatsRead(now bbrtype.Mono, e BeatsRead) {
	t := &c.takeover
	if e.Failed || t.at == 0 || t.asked {
		return
	}
	changed := t.beats == nil
	for _, id := range c.state.Stewards {
		changed = changed || e.Beats[id] != t.beats[id]
	}
	if changed {
		t.beats = e.Beats
		t.quietSince = now
	}
}
