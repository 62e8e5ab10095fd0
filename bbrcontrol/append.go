package bbrcontrol

import (
	"slices"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// appendAttempt is a record that was sent to the store. It stays pending until
// its index is applied, be it with this record or with one of another writer.
type appendAttempt struct {
	record bbrjournal.Record
	sentAt bbrtype.Mono
}

// configRequest is an operator's request to append a configuration. The
// operator waits for the result.
type configRequest struct {
	id    RequestID
	entry bbrjournal.Configured
	// sent is set while the entry is part of the pending append.
	sent bool
}

func (c *Control) handleAppended(now bbrtype.Mono, e Appended) {
	if c.pendingAppend == nil || c.pendingAppend.record.Nonce != e.Record.Nonce {
		return
	}
	switch e.Result {
	case AppendStored:
		c.applyRecords(now, []bbrjournal.Record{e.Record})
		c.exchangeNow()
	case AppendIndexTaken, AppendUnknown:
		c.planNow = true
		// The index may hold this instance's own record, stored by an earlier
		// attempt whose reply was lost.
		c.readJournal(now)
	}
}

// resolveAppend ends the pending append once its index is applied, and answers
// the configuration requests that were part of it.
func (c *Control) resolveAppend(r bbrjournal.Record, effective []bbrjournal.Entry) {
	own := c.pendingAppend != nil && c.pendingAppend.record.Nonce == r.Nonce && r.Nonce != ""
	kept := c.configRequests[:0]
	for _, req := range c.configRequests {
		switch {
		case own && req.sent && containsConfig(effective, req.entry):
			c.emit(ConfigureDone{ID: req.id, Result: ConfigureInForce, Index: r.Index})
		case own && req.sent:
			c.emit(ConfigureDone{ID: req.id, Result: ConfigureConflict, Index: r.Index})
		default:
			if c.pendingAppend != nil && r.Index >= c.pendingAppend.record.Index {
				req.sent = false
			}
			kept = append(kept, req)
		}
	}
	c.configRequests = kept
	if c.pendingAppend != nil && r.Index >= c.pendingAppend.record.Index {
		c.pendingAppend = nil
	}
}

func containsConfig(entries []bbrjournal.Entry, want bbrjournal.Configured) bool {
	for _, e := range entries {
		if v, ok := e.(bbrjournal.Configured); ok && v.Version == want.Version && v.Hash == want.Hash {
			return true
		}
	}
	return false
}

// abandonConfigRequest drops a request. The result is ConfigureUnknown if the
// entry may be stored.
func (c *Control) abandonConfigRequest(id RequestID) {
	for i, req := range c.configRequests {
		if req.id != id {
			continue
		}
		result := ConfigureConflict
		if req.sent {
			result = ConfigureUnknown
		}
		c.configRequests = slices.Delete(c.configRequests, i, i+1)
		c.emit(ConfigureDone{ID: id, Result: result})
		return
	}
}

// planAppend appends all proposed entries as one record, or retries the pending
// append. Only one append is pending at a time.
func (c *Control) planAppend(now bbrtype.Mono) {
	if c.pendingAppend != nil {
		if now.Sub(c.pendingAppend.sentAt) >= c.opts.AppendRetryInterval {
			c.pendingAppend.sentAt = now
			c.emit(Append{Record: c.pendingAppend.record})
		}
		return
	}
	entries := c.proposedEntries(now)
	if len(entries) == 0 {
		return
	}
	c.pendingAppend = &appendAttempt{
		record: bbrjournal.Record{
			Index: c.state.AppliedIndex + 1, Writer: c.opts.Self.ID, Nonce: c.opts.Nonce(), Entries: entries,
		},
		sentAt: now,
	}
	c.emit(Append{Record: c.pendingAppend.record})
}

// proposedEntries returns the entries that this instance has to append.
func (c *Control) proposedEntries(now bbrtype.Mono) []bbrjournal.Entry {
	if c.state.AppliedIndex == 0 && c.authority.LastReadAt() == 0 {
		// The state is unknown until the journal has been read.
		return nil
	}
	var out []bbrjournal.Entry
	out = c.proposeInstanceChanges(now, out)
	out = c.proposeStewards(now, out)
	out = c.proposeChanges(now, out)
	out = c.proposeTransitionsCompleted(now, out)
	return c.proposeConfigurations(now, out)
}

// proposeConfigurations adds the next configuration version. Requests for any
// other version fail with a conflict. A configuration that removes a primary is
// not appended until a planned change has moved the primary to another member.
func (c *Control) proposeConfigurations(now bbrtype.Mono, out []bbrjournal.Entry) []bbrjournal.Entry {
	kept := c.configRequests[:0]
	proposed := false
	for _, req := range c.configRequests {
		last, _ := c.state.CurrentConfig()
		switch {
		case req.entry.Version != last.Version+1 || proposed:
			c.emit(ConfigureDone{ID: req.id, Result: ConfigureConflict, Index: c.state.AppliedIndex})
			continue
		// The request stays queued until the primary has been moved.
		case c.requestSwitchovers(now, req.entry):
		default:
			req.sent = true
			proposed = true
			out = append(out, req.entry)
		}
		kept = append(kept, req)
	}
	c.configRequests = kept
	return out
}

// requestSwitchovers requests a planned change for each primary that a
// configuration removes. It returns true while the configuration removes a
// primary or removes a member of a fenced group, which has no primary.
func (c *Control) requestSwitchovers(now bbrtype.Mono, e bbrjournal.Configured) bool {
	blocked := false
	for _, name := range c.state.GroupNames() {
		g := c.state.Groups[name]
		next, found := e.Groups[name]
		members := next.Members
		if !found || len(g.Members) == 0 {
			continue
		}
		if g.Fenced && !containsAll(members, g.Members) {
			blocked = true
			continue
		}
		if l, ok := g.Primary(); ok && !slices.Contains(members, l.Member) {
			req := SwitchoverRequest{Group: name, Excluded: l.Member}
			c.switchovers[req] = now
			c.handleSwitchoverRequest(now, req)
			blocked = true
		}
	}
	return blocked
}

func containsAll(have, want []bbrtype.MemberName) bool {
	for _, m := range want {
		if !slices.Contains(have, m) {
			return false
		}
	}
	return true
}

// proposeInstanceChanges adds this instance to the journal, or removes it after it
// has drained. On a steward it also adds and removes other instances.
func (c *Control) proposeInstanceChanges(now bbrtype.Mono, out []bbrjournal.Entry) []bbrjournal.Entry {
	var e bbrjournal.InstancesChanged
	switch joined := c.HasJoined(); {
	case c.drained && joined:
		return append(out, bbrjournal.InstancesChanged{Left: []bbrtype.InstanceID{c.opts.Self.ID}})
	case !joined && !c.leaving && c.canSelfJoin(now):
		e.Joined = append(e.Joined, c.opts.Self)
		c.selfJoinAt = now
	case c.state.IsSteward(c.opts.Self.ID):
		e = c.instanceChanges(now)
	}
	if len(e.Joined)+len(e.Left) > 0 {
		out = append(out, e)
	}
	return out
}

// canSelfJoin reports whether the instance may add itself to the journal. It
// may do so at once if there are no stewards. Otherwise it waits for
// Options.PeerTimeout, so that a steward can add it.
func (c *Control) canSelfJoin(now bbrtype.Mono) bool {
	if c.authority.LastReadAt() == 0 {
		return false
	}
	return len(c.state.Stewards) == 0 || now.Sub(max(c.startedAt, c.selfJoinAt)) >= c.opts.PeerTimeout
}

// instanceChanges adds the peers that request to join and removes the
// instances that have been unreachable for RemoveAfter. Only the first
// reachable steward does so.
func (c *Control) instanceChanges(now bbrtype.Mono) bbrjournal.InstancesChanged {
	var e bbrjournal.InstancesChanged
	if c.rank(now) != 0 {
		return e
	}
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if _, joined := c.state.Instances[id]; !joined && p.joining && now.Sub(p.lastSeen) <= c.opts.PeerTimeout {
			e.Joined = append(e.Joined, p.instance)
		}
	}
	for _, i := range c.state.SortedInstances() {
		if i.ID != c.opts.Self.ID && c.isUnreachable(now, i.ID, c.opts.RemoveAfter) {
			e.Left = append(e.Left, i.ID)
		}
	}
	return e
}
