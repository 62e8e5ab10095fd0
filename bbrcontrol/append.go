package bbrcontrol

import (
	"slices"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// openAppend is a record whose fate is not known yet. It stays open until its
// index is applied: by this record or by another one.
type openAppend struct {
	record bbrjournal.Record
	sentAt bbrtype.Mono
}

// configureWant is a configuration that an operator waits for.
type configureWant struct {
	id    RequestID
	entry bbrjournal.Configured
	// sent is set once the entry is part of an append.
	sent bool
}

// appended takes the reply to an append.
func (c *Control) appended(now bbrtype.Mono, e Appended) {
	if c.open == nil || c.open.record.Nonce != e.Record.Nonce {
		return
	}
	switch e.Result {
	case AppendStored:
		c.applyAll(now, []bbrjournal.Record{e.Record})
		c.exchangeNow()
	case AppendTaken, AppendUnknown:
		c.urgent = true
		// The index may hold the own record: an earlier reply may be lost.
		c.readHeadNow(now)
	}
}

// closeAppend ends the open append once its index is applied.
func (c *Control) closeAppend(r bbrjournal.Record, effective []bbrjournal.Entry) {
	own := c.open != nil && c.open.record.Nonce == r.Nonce && r.Nonce != ""
	kept := c.configure[:0]
	for _, w := range c.configure {
		switch {
		case own && w.sent && containsVersion(effective, w.entry):
			c.do(ConfigureDone{ID: w.id, Result: ConfigureInForce, Index: r.Index})
		case own && w.sent:
			c.do(ConfigureDone{ID: w.id, Result: ConfigureConflict, Index: r.Index})
		default:
			if c.open != nil && r.Index >= c.open.record.Index {
				w.sent = false
			}
			kept = append(kept, w)
		}
	}
	c.configure = kept
	if c.open != nil && r.Index >= c.open.record.Index {
		c.open = nil
	}
}

func containsVersion(entries []bbrjournal.Entry, want bbrjournal.Configured) bool {
	for _, e := range entries {
		if v, ok := e.(bbrjournal.Configured); ok && v.Version == want.Version && v.Hash == want.Hash {
			return true
		}
	}
	return false
}

// abandon forgets a request. If its entry may be stored, the answer is unknown.
func (c *Control) abandon(id RequestID) {
	for i, w := range c.configure {
		if w.id != id {
			continue
		}
		result := ConfigureConflict
		if w.sent {
			result = ConfigureUnknown
		}
		c.configure = slices.Delete(c.configure, i, i+1)
		c.do(ConfigureDone{ID: id, Result: result})
		return
	}
}

// planAppend sends one record with all that this instance wants to enter.
func (c *Control) planAppend(now bbrtype.Mono) {
	if c.open != nil {
		if now.Sub(c.open.sentAt) >= c.opts.AppendRetry {
			c.open.sentAt = now
			c.do(Append{Record: c.open.record})
		}
		return
	}
	entries := c.wanted(now)
	if len(entries) == 0 {
		return
	}
	c.open = &openAppend{
		record: bbrjournal.Record{
			Index: c.state.Applied + 1, Writer: c.opts.Self.ID, Nonce: c.opts.Nonce(), Entries: entries,
		},
		sentAt: now,
	}
	c.do(Append{Record: c.open.record})
}

// wanted collects the entries that this instance has reason to append.
func (c *Control) wanted(now bbrtype.Mono) []bbrjournal.Entry {
	if c.state.Applied == 0 && c.holder.ShownAt() == 0 {
		// Without a read of the journal nothing is known.
		return nil
	}
	var out []bbrjournal.Entry
	out = c.wantMembership(now, out)
	out = c.wantStewards(now, out)
	out = c.wantChanges(now, out)
	out = c.wantSettled(now, out)
	return c.wantConfigurations(now, out)
}

func (c *Control) wantConfigurations(now bbrtype.Mono, out []bbrjournal.Entry) []bbrjournal.Entry {
	kept := c.configure[:0]
	taken := false
	for _, w := range c.configure {
		last, _ := c.state.Version()
		switch {
		case w.entry.Version != last.Version+1 || taken:
			c.do(ConfigureDone{ID: w.id, Result: ConfigureConflict, Index: c.state.Applied})
			continue
		case c.wishFor(now, w.entry):
		default:
			w.sent = true
			taken = true
			out = append(out, w.entry)
		}
		kept = append(kept, w)
	}
	c.configure = kept
	return out
}

// wishFor notes the primaries that a configuration takes away. It returns true
// while there are any, or while such a group has no primary.
func (c *Control) wishFor(now bbrtype.Mono, e bbrjournal.Configured) bool {
	waits := false
	for _, name := range c.state.GroupNames() {
		g := c.state.Groups[name]
		next, kept := e.Groups[name]
		members := next.Members
		if !kept || len(g.Members) == 0 {
			continue
		}
		if g.Fenced && !containsAll(members, g.Members) {
			waits = true
			continue
		}
		if l, ok := g.Primary(); ok && !slices.Contains(members, l.Member) {
			w := Wish{Group: name, Excluded: l.Member}
			c.wishes[w] = now
			c.noteWish(now, w)
			waits = true
		}
	}
	return waits
}

func containsAll(have, want []bbrtype.MemberName) bool {
	for _, m := range want {
		if !slices.Contains(have, m) {
			return false
		}
	}
	return true
}

// wantMembership adds this instance, and on a steward adds and removes others.
func (c *Control) wantMembership(now bbrtype.Mono, out []bbrjournal.Entry) []bbrjournal.Entry {
	var e bbrjournal.MembershipChanged
	switch member := c.IsMember(); {
	case c.drained && member:
		return append(out, bbrjournal.MembershipChanged{Left: []bbrtype.InstanceID{c.opts.Self.ID}})
	case !member && !c.leaving && c.maySelfJoin(now):
		e.Joined = append(e.Joined, c.opts.Self)
		c.joinAt = now
	case c.state.IsSteward(c.opts.Self.ID):
		e = c.stewardMembership(now)
	}
	if len(e.Joined)+len(e.Left) > 0 {
		out = append(out, e)
	}
	return out
}

// maySelfJoin reports whether the instance appends its own entry: at once if
// nobody else can, else after a steward had time to.
func (c *Control) maySelfJoin(now bbrtype.Mono) bool {
	if c.holder.ShownAt() == 0 {
		return false
	}
	return len(c.state.Stewards) == 0 || now.Sub(max(c.startedAt, c.joinAt)) >= c.opts.Silence
}

// stewardMembership collects the peers that ask to join and those gone for
// long.
func (c *Control) stewardMembership(now bbrtype.Mono) bbrjournal.MembershipChanged {
	var e bbrjournal.MembershipChanged
	if c.rank(now) != 0 {
		return e
	}
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if _, member := c.state.Instances[id]; !member && p.joining && now.Sub(p.heardAt) <= c.opts.Silence {
			e.Joined = append(e.Joined, p.instance)
		}
	}
	for _, i := range c.state.SortedInstances() {
		if i.ID != c.opts.Self.ID && c.isGone(now, i.ID, c.opts.RemoveAfter) {
			e.Left = append(e.Left, i.ID)
		}
	}
	return e
}
