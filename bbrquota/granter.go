// Package bbrquota shares the connections of each member among all instances.
// One instance is the granter of a member. It lends grants for a short time;
// the sum of all grants that may still be in use never exceeds the member's
// limit, also while a holder is paused or the granter changes.
//
// The package is pure: it reads no clock.
//
// # Usage
//
//	g := bbrquota.NewGranter(limit, now, lease)
//	amount := g.Renew(now, "instance-1", bbrquota.Ask{Held: 2, Want: 5})
package bbrquota

import (
	"sort"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Durations of grants.
const (
	// Lease is how long a grant lasts for its holder.
	Lease = 5 * time.Second
	// RenewEvery is the pause between two renewals.
	RenewEvery = time.Second
	// margin is how much longer the granter counts a grant than its holder.
	margin = 500 * time.Millisecond
)

// Ask is what a holder tells its granter.
type Ask struct {
	// Held is the number of connections that are open.
	Held int
	// Want is the number that the holder could use.
	Want int
}

// holding is what a granter knows of a holder.
type holding struct {
	granted int
	held    int
	want    int
	until   bbrtype.Mono
}

// committed is what the holder may have open.
func (h *holding) committed() int { return max(h.granted, h.held) }

// Granter lends the connections of one member.
type Granter struct {
	limit   int
	readyAt bbrtype.Mono
	holders map[bbrtype.InstanceID]*holding
}

// NewGranter returns a granter that begins at now. Grants of an earlier granter
// may be in use until it knows all holders, or until handover has passed.
func NewGranter(limit int, now bbrtype.Mono, handover time.Duration) *Granter {
	return &Granter{limit: limit, readyAt: now.Add(handover), holders: map[bbrtype.InstanceID]*holding{}}
}

// SetLimit changes the member's limit. A lower one takes effect as holders give
// connections back.
func (g *Granter) SetLimit(limit int) { g.limit = limit }

// Known tells the granter which instances there are. Once it has heard from all
// of them it need not wait for the earlier granter's grants.
func (g *Granter) Known(ids []bbrtype.InstanceID) {
	for _, id := range ids {
		if g.holders[id] == nil {
			return
		}
	}
	g.readyAt = 0
}

// Renew takes a holder's request and returns the number of connections that it
// may have open for the lease.
func (g *Granter) Renew(now bbrtype.Mono, id bbrtype.InstanceID, a Ask) int {
	g.expire(now)
	h := g.holders[id]
	if h == nil {
		h = &holding{}
		g.holders[id] = h
	}
	h.held, h.want = max(a.Held, 0), max(a.Want, 0)
	others := 0
	for other, o := range g.holders {
		if other != id {
			others += o.committed()
		}
	}
	room := max(0, g.limit-others)
	if now < g.readyAt {
		// Others may hold grants that this granter does not know of.
		room = min(room, h.held)
	}
	h.granted = min(g.share(id), room)
	h.until = now.Add(Lease + margin)
	return h.granted
}

// Release forgets a holder that has closed its connections.
func (g *Granter) Release(id bbrtype.InstanceID) { delete(g.holders, id) }

// Sum returns the connections that may be in use.
func (g *Granter) Sum(now bbrtype.Mono) int {
	g.expire(now)
	sum := 0
	for _, h := range g.holders {
		sum += h.committed()
	}
	return sum
}

// expire forgets holders that did not renew in time.
func (g *Granter) expire(now bbrtype.Mono) {
	for id, h := range g.holders {
		if now >= h.until && h.until != 0 {
			delete(g.holders, id)
		}
	}
}

// share divides the limit so that each holder gets what it wants, or an equal
// part of what the modest ones leave. One connection is the least.
func (g *Granter) share(id bbrtype.InstanceID) int {
	type wish struct {
		id   bbrtype.InstanceID
		want int
	}
	wishes := make([]wish, 0, len(g.holders))
	for other, h := range g.holders {
		wishes = append(wishes, wish{other, max(h.want, 1)})
	}
	sort.Slice(wishes, func(i, j int) bool {
		if wishes[i].want != wishes[j].want {
			return wishes[i].want < wishes[j].want
		}
		return wishes[i].id < wishes[j].id
	})
	left := g.limit
	for i, w := range wishes {
		part := min(w.want, left/(len(wishes)-i))
		if w.id == id {
			return part
		}
		left -= part
	}
	return 0
}
