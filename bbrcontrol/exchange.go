package bbrcontrol

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrauthority"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// recordsPerMessage bounds the records in one message.
const recordsPerMessage = 64

// peerOf returns what is kept about a peer.
func (c *Control) peerOf(i bbrjournal.Instance) *peer {
	p := c.peers[i.ID]
	if p == nil {
		p = &peer{}
		c.peers[i.ID] = p
	}
	p.instance = i
	return p
}

func (c *Control) peerIDs() []bbrtype.InstanceID { return slices.Sorted(maps.Keys(c.peers)) }

// partners are the instances to exchange messages with.
func (c *Control) partners() []bbrjournal.Instance {
	var out []bbrjournal.Instance
	for _, i := range c.state.SortedInstances() {
		if i.ID != c.opts.Self.ID {
			out = append(out, i)
		}
	}
	return out
}

// planExchange sends messages that are due.
func (c *Control) planExchange(now bbrtype.Mono) {
	calm, interval := c.isCalm(now), c.opts.ExchangeInterval
	if calm {
		interval = c.calmInterval()
	}
	due := now.Sub(c.exchangeAt) >= interval
	if due {
		c.exchangeAt = now
	}
	for _, i := range c.partners() {
		p := c.peerOf(i)
		if !due && !p.again {
			continue
		}
		if p.busy {
			p.again = p.again || due
			continue
		}
		m := c.message(now, p)
		if calm && !p.again {
			m.Calm, m.Reports = true, nil
		}
		p.busy, p.again = true, false
		m.WantVouch = c.state.IsSteward(i.ID) && c.holder.NeedsVouch(now)
		c.do(Exchange{To: i, Message: m})
	}
	if due && !c.IsMember() {
		c.askHints(now)
	}
	if c.holder.NeedsVouch(now) && c.state.IsSteward(c.opts.Self.ID) && c.vouch(now, c.opts.Self.ID, c.state.Applied) {
		c.holder.Vouched(c.opts.Self.ID, now)
	}
}

// askHints sends a message to addresses where instances may be found, as long
// as the journal's state names none.
func (c *Control) askHints(now bbrtype.Mono) {
	if len(c.partners()) > 0 {
		return
	}
	for _, addr := range c.hints {
		if addr != c.opts.Self.Address {
			c.do(Exchange{To: bbrjournal.Instance{Address: addr}, Message: c.message(now, nil)})
		}
	}
}

// exchangeNow asks for a message to every peer without delay.
func (c *Control) exchangeNow() {
	c.urgent = true
	for _, p := range c.peers {
		p.again = true
	}
}

// message tells a peer what this instance knows.
func (c *Control) message(now bbrtype.Mono, p *peer) Message {
	m := Message{
		From:     c.opts.Self,
		Applied:  c.state.Applied,
		Joining:  !c.IsMember() && !c.leaving,
		Leaving:  c.leaving,
		Version:  c.version,
		Reports:  c.reports(now),
		Silent:   c.silent(now),
		Suspects: c.suspects(now),
		Wishes:   c.freshWishes(now),
	}
	if p == nil || !c.isKnown(p.instance.ID) || !c.isCalm(now) {
		m.Fleet = c.opts.Fleet
	}
	if p != nil && p.heardAt != 0 && p.applied < c.state.Applied {
		m.Records, m.Snapshot = c.recordsAfter(p.applied)
	}
	return m
}

// recordsAfter returns the records behind an index, or the whole state if they
// are not kept any more.
func (c *Control) recordsAfter(after bbrtype.Index) ([]bbrjournal.Record, *bbrjournal.State) {
	if len(c.recent) == 0 || c.recent[0].Index > after+1 {
		return nil, c.state
	}
	i := int(after + 1 - c.recent[0].Index)
	return c.recent[i:min(i+recordsPerMessage, len(c.recent))], nil
}

// silent lists the instances that were not heard lately.
func (c *Control) silent(now bbrtype.Mono) []bbrtype.InstanceID {
	var out []bbrtype.InstanceID
	for id := range c.state.Instances {
		if id != c.opts.Self.ID && !c.hears(now, c.peers[id]) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// hears reports whether a peer was heard lately.
func (c *Control) hears(now bbrtype.Mono, p *peer) bool {
	return p != nil && p.heardAt != 0 && now.Sub(p.heardAt) <= c.opts.Silence
}

func (c *Control) freshWishes(now bbrtype.Mono) []Wish {
	var out []Wish
	for w, at := range c.wishes {
		if now.Sub(at) > c.opts.Silence {
			delete(c.wishes, w)
			continue
		}
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Group < out[j].Group })
	return out
}

// HandleExchange answers a peer's message. The actions are to be carried out
// as those of Step.
func (c *Control) HandleExchange(now bbrtype.Mono, m Message) (Message, []Action) {
	c.out = nil
	if c.startedAt == 0 {
		c.startedAt = now
	}
	if c.isForeign(m) {
		return Message{From: c.opts.Self, Fleet: c.opts.Fleet}, nil
	}
	p := c.hear(now, m, 0)
	vouched := m.WantVouch && c.vouch(now, m.From.ID, m.Applied)
	if c.urgent {
		c.plan(now)
	}
	reply := c.message(now, p)
	reply.Vouched = vouched
	return reply, c.out
}

// vouch weighs a peer's request for a promise.
func (c *Control) vouch(now bbrtype.Mono, asker bbrtype.InstanceID, applied bbrtype.Index) bool {
	_, member := c.state.Instances[asker]
	return c.voucher.Vouch(now, bbrauthority.Request{
		AskerApplied:  applied,
		OwnApplied:    c.state.Applied,
		IsSteward:     c.state.IsSteward(c.opts.Self.ID),
		AppendOpen:    c.open != nil,
		FenceWanted:   c.fenceWanted && now.Sub(c.holder.ShownAt()) <= c.opts.Authority.Duration,
		AskerIsMember: member,
	})
}

func (c *Control) exchangeReplied(now bbrtype.Mono, e ExchangeReplied) {
	if e.From == "" {
		// A hinted address: the reply tells who listens there.
		c.hear(now, e.Reply, e.SentAt)
		return
	}
	p := c.peers[e.From]
	if p == nil || e.Reply.From.ID != e.From {
		return
	}
	p.busy = false
	c.hear(now, e.Reply, e.SentAt)
	if e.Reply.Vouched {
		c.holder.Vouched(e.From, e.SentAt)
	}
}

// isForeign reports whether a message comes from an instance of another fleet.
// One that is in the journal is known to belong to this one.
func (c *Control) isForeign(m Message) bool {
	return !c.isKnown(m.From.ID) && m.Fleet != c.opts.Fleet
}

// isKnown reports whether an instance is in the journal.
func (c *Control) isKnown(id bbrtype.InstanceID) bool {
	_, ok := c.state.Instances[id]
	return ok
}

// hear takes what a peer tells. askedAt is when this instance asked for it, 0
// for a message that came unasked.
func (c *Control) hear(now bbrtype.Mono, m Message, askedAt bbrtype.Mono) *peer {
	if m.From.ID == c.opts.Self.ID || m.From.ID == "" || c.isForeign(m) {
		return nil
	}
	p := c.peerOf(m.From)
	p.heardAt = now
	p.applied = max(p.applied, m.Applied)
	p.version = m.Version
	p.leaving = m.Leaving
	p.joining = m.Joining
	p.silent = m.Silent
	if !m.Calm {
		c.takeReports(now, p, m.Reports, askedAt)
	}
	for _, ref := range m.Suspects {
		c.suspect(now, ref)
	}
	for _, w := range m.Wishes {
		c.noteWish(now, w)
	}
	if m.Snapshot != nil && m.Snapshot.Applied > c.state.Applied {
		c.adopt(now, m.Snapshot)
	}
	c.applyAll(now, m.Records)
	c.confirmFences(now, m.From.ID, m.Applied)
	return p
}

// noteWish keeps a steward's knowledge of a wish without spreading it further
// than its sender does.
func (c *Control) noteWish(now bbrtype.Mono, w Wish) {
	if c.state.IsSteward(c.opts.Self.ID) {
		c.groupOf(w.Group).wish(now, w)
	}
}

// isGone reports whether a peer was silent for long, to this instance and to
// most of those that it hears.
func (c *Control) isGone(now bbrtype.Mono, id bbrtype.InstanceID, after time.Duration) bool {
	if id == c.opts.Self.ID {
		return false
	}
	p := c.peers[id]
	if p != nil && now.Sub(max(p.heardAt, c.startedAt)) < after {
		return false
	}
	hearing, silent := 0, 1
	for other, q := range c.peers {
		if other == id || now.Sub(q.heardAt) > c.opts.Silence {
			continue
		}
		if slices.Contains(q.silent, id) {
			silent++
		} else {
			hearing++
		}
	}
	return hearing < silent
}
