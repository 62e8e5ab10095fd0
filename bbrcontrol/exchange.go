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

const maxRecordsPerMessage = 64

// ensurePeer returns the state of a peer and creates it if necessary.
func (c *Control) ensurePeer(i bbrjournal.Instance) *peer {
	p := c.peers[i.ID]
	if p == nil {
		p = &peer{}
		c.peers[i.ID] = p
	}
	p.instance = i
	return p
}

func (c *Control) peerIDs() []bbrtype.InstanceID { return slices.Sorted(maps.Keys(c.peers)) }

// otherInstances returns all instances in the journal except this one.
func (c *Control) otherInstances() []bbrjournal.Instance {
	var out []bbrjournal.Instance
	for _, i := range c.state.SortedInstances() {
		if i.ID != c.opts.Self.ID {
			out = append(out, i)
		}
	}
	return out
}

// planExchange sends the messages that are due. Each peer has at most one
// exchange in flight.
func (c *Control) planExchange(now bbrtype.Mono) {
	steady, interval := c.isSteady(now), c.opts.ExchangeInterval
	if steady {
		interval = c.steadyInterval()
	}
	due := now.Sub(c.exchangeAt) >= interval
	if due {
		c.exchangeAt = now
	}
	for _, i := range c.otherInstances() {
		p := c.ensurePeer(i)
		if !due && !p.sendNow {
			continue
		}
		if p.inFlight {
			p.sendNow = p.sendNow || due
			continue
		}
		m := c.buildMessage(now, p)
		if steady && !p.sendNow {
			m.ReportsOmitted, m.Reports = true, nil
		}
		p.inFlight, p.sendNow = true, false
		m.GrantRequested = c.state.IsSteward(i.ID) && c.authority.NeedsGrants(now)
		c.emit(Exchange{To: i, Message: m})
	}
	if due && !c.HasJoined() {
		c.contactPeerAddresses(now)
	}
	if c.authority.NeedsGrants(now) && c.state.IsSteward(c.opts.Self.ID) && c.grantLease(now, c.opts.Self.ID, c.state.AppliedIndex) {
		c.authority.RecordGrant(c.opts.Self.ID, now)
	}
}

// contactPeerAddresses sends a message to each of peerAddresses while the
// journal state names no other instance.
func (c *Control) contactPeerAddresses(now bbrtype.Mono) {
	if len(c.otherInstances()) > 0 {
		return
	}
	for _, addr := range c.peerAddresses {
		if addr != c.opts.Self.Address {
			c.emit(Exchange{To: bbrjournal.Instance{Address: addr}, Message: c.buildMessage(now, nil)})
		}
	}
}

// exchangeNow requests an exchange with every peer without waiting for the
// interval.
func (c *Control) exchangeNow() {
	c.planNow = true
	for _, p := range c.peers {
		p.sendNow = true
	}
}

// buildMessage returns a message to a peer. p is nil if only an address is
// known.
func (c *Control) buildMessage(now bbrtype.Mono, p *peer) Message {
	m := Message{
		From:             c.opts.Self,
		AppliedIndex:     c.state.AppliedIndex,
		Joining:          !c.HasJoined() && !c.leaving,
		Leaving:          c.leaving,
		ConfigVersion:    c.configVersion,
		Reports:          c.buildReports(now),
		SilentInstances:  c.silentInstances(now),
		SuspectedMembers: c.primariesToProbe(now),
		Switchovers:      c.activeSwitchovers(now),
	}
	if p == nil || !c.isJoined(p.instance.ID) || !c.isSteady(now) {
		m.FleetName = c.opts.FleetName
	}
	if p != nil && p.lastSeen != 0 && p.appliedIndex < c.state.AppliedIndex {
		m.Records, m.Snapshot = c.recordsAfter(p.appliedIndex)
	}
	return m
}

// recordsAfter returns the records that follow an index, or the whole state if
// some of them are no longer kept.
func (c *Control) recordsAfter(after bbrtype.Index) ([]bbrjournal.Record, *bbrjournal.State) {
	if len(c.recentRecords) == 0 || c.recentRecords[0].Index > after+1 {
		return nil, c.state
	}
	i := int(after + 1 - c.recentRecords[0].Index)
	return c.recentRecords[i:min(i+maxRecordsPerMessage, len(c.recentRecords))], nil
}

// silentInstances lists the instances that have sent no message recently.
func (c *Control) silentInstances(now bbrtype.Mono) []bbrtype.InstanceID {
	var out []bbrtype.InstanceID
	for id := range c.state.Instances {
		if id != c.opts.Self.ID && !c.seenRecently(now, c.peers[id]) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// seenRecently reports whether a peer has sent a message within
// Options.PeerTimeout.
func (c *Control) seenRecently(now bbrtype.Mono, p *peer) bool {
	return p != nil && p.lastSeen != 0 && now.Sub(p.lastSeen) <= c.opts.PeerTimeout
}

// activeSwitchovers returns the switchover requests of this instance and drops
// expired ones.
func (c *Control) activeSwitchovers(now bbrtype.Mono) []SwitchoverRequest {
	var out []SwitchoverRequest
	for req, at := range c.switchovers {
		if now.Sub(at) > c.opts.PeerTimeout {
			delete(c.switchovers, req)
			continue
		}
		out = append(out, req)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Group < out[j].Group })
	return out
}

// HandleExchange handles a peer's message and returns the reply. The actions
// are to be carried out like those of Step.
func (c *Control) HandleExchange(now bbrtype.Mono, m Message) (Message, []Action) {
	c.actions = nil
	if c.startedAt == 0 {
		c.startedAt = now
	}
	if c.isFromOtherFleet(m) {
		return Message{From: c.opts.Self, FleetName: c.opts.FleetName}, nil
	}
	p := c.handleMessage(now, m, 0)
	granted := m.GrantRequested && c.grantLease(now, m.From.ID, m.AppliedIndex)
	if c.planNow {
		c.plan(now)
	}
	reply := c.buildMessage(now, p)
	reply.Granted = granted
	return reply, c.actions
}

// grantLease decides on a request for a lease grant and records the grant if it
// is given.
func (c *Control) grantLease(now bbrtype.Mono, requester bbrtype.InstanceID, applied bbrtype.Index) bool {
	_, joined := c.state.Instances[requester]
	return c.granter.Grant(now, bbrauthority.GrantRequest{
		RequesterApplied:    applied,
		StewardApplied:      c.state.AppliedIndex,
		IsSteward:           c.state.IsSteward(c.opts.Self.ID),
		AppendPending:       c.pendingAppend != nil,
		FencePending:        c.fenceDue && now.Sub(c.authority.LastReadAt()) <= c.opts.Authority.Duration,
		RequesterIsInstance: joined,
	})
}

func (c *Control) handleExchangeReplied(now bbrtype.Mono, e ExchangeReplied) {
	if e.To == "" {
		// The request was sent to one of peerAddresses. The reply names the
		// instance.
		c.handleMessage(now, e.Reply, e.SentAt)
		return
	}
	p := c.peers[e.To]
	if p == nil || e.Reply.From.ID != e.To {
		return
	}
	p.inFlight = false
	c.handleMessage(now, e.Reply, e.SentAt)
	if e.Reply.Granted {
		c.authority.RecordGrant(e.To, e.SentAt)
	}
}

// isFromOtherFleet reports whether a message is from an instance of another
// fleet. An instance that is in the journal belongs to this fleet.
func (c *Control) isFromOtherFleet(m Message) bool {
	return !c.isJoined(m.From.ID) && m.FleetName != c.opts.FleetName
}

// isJoined reports whether an instance is in the journal.
func (c *Control) isJoined(id bbrtype.InstanceID) bool {
	_, ok := c.state.Instances[id]
	return ok
}

// handleMessage processes a request or a reply of a peer. requestedAt is when
// this instance sent the request that a reply belongs to, and 0 for a request.
func (c *Control) handleMessage(now bbrtype.Mono, m Message, requestedAt bbrtype.Mono) *peer {
	if m.From.ID == c.opts.Self.ID || m.From.ID == "" || c.isFromOtherFleet(m) {
		return nil
	}
	p := c.ensurePeer(m.From)
	p.lastSeen = now
	p.appliedIndex = max(p.appliedIndex, m.AppliedIndex)
	p.configVersion = m.ConfigVersion
	p.leaving = m.Leaving
	p.joining = m.Joining
	p.silent = m.SilentInstances
	if !m.ReportsOmitted {
		c.handleReports(now, p, m.Reports, requestedAt)
	}
	for _, ref := range m.SuspectedMembers {
		c.probeTemporarily(now, ref)
	}
	for _, req := range m.Switchovers {
		c.handleSwitchoverRequest(now, req)
	}
	if m.Snapshot != nil && m.Snapshot.AppliedIndex > c.state.AppliedIndex {
		c.installSnapshot(now, m.Snapshot)
	}
	c.applyRecords(now, m.Records)
	c.confirmFences(now, m.From.ID, m.AppliedIndex)
	return p
}

// handleSwitchoverRequest stores a switchover request if this instance is a
// steward. Requests of peers are not forwarded.
func (c *Control) handleSwitchoverRequest(now bbrtype.Mono, req SwitchoverRequest) {
	if c.state.IsSteward(c.opts.Self.ID) {
		c.ensureGroup(req.Group).recordSwitchoverRequest(now, req)
	}
}

// isUnreachable reports whether this instance has received no message from an
// instance for the given time, and more than half of the reachable instances,
// this one included, report that instance as silent.
func (c *Control) isUnreachable(now bbrtype.Mono, id bbrtype.InstanceID, after time.Duration) bool {
	if id == c.opts.Self.ID {
		return false
	}
	p := c.peers[id]
	if p != nil && now.Sub(max(p.lastSeen, c.startedAt)) < after {
		return false
	}
	votesReachable, votesUnreachable := 0, 1
	for other, q := range c.peers {
		if other == id || now.Sub(q.lastSeen) > c.opts.PeerTimeout {
			continue
		}
		if slices.Contains(q.silent, id) {
			votesUnreachable++
		} else {
			votesReachable++
		}
	}
	return votesReachable < votesUnreachable
}
