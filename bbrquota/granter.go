// Package bbrquota divides the connections that a member accepts among all
// instances. One instance is the granter of a member. The other instances, and the
// granter itself, are holders: each one periodically reports its open connections
// and its demand to the granter, and receives a lease for a number of connections.
//
// The number is the holder's max-min fair share of the member's limit, as far as
// the leases of other holders leave room. The sum of the connections that may be
// open never exceeds the limit, even while a holder is suspended or the role of the
// granter moves to another instance: the granter counts the connections of a holder
// until its lease has expired, and a new granter grants none beyond those already
// open until the leases of its predecessor have expired or all holders have
// reported.
//
// The package is pure: it reads no clock.
//
// # Usage
//
//	g := bbrquota.NewGranter(limit, now, handover)
//	amount := g.Renew(now, "instance-1", bbrquota.Ask{Held: 2, Want: 5})
package bbrquota

import (
	"sort"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Durations of leases.
const (
	// Lease is the duration of a lease on the holder's side.
	Lease = 5 * time.Second
	// RenewEvery is the interval between two renewals of a lease.
	RenewEvery = time.Second
	// expiryMargin is how much longer a lease lasts on the granter's side than on the
	// holder's.
	expiryMargin = 500 * time.Millisecond
)

// Ask is a holder's report to the granter.
type Ask struct {
	// Held is the number of connections that the holder has open.
	Held int
	// Want is the number of connections that the holder could use.
	Want int
}

// lease is the granter's record of a holder.
type lease struct {
	granted int
	// open and demand are those of the holder's last report.
	open      int
	demand    int
	expiresAt bbrtype.Mono
}

// committed is the number of connections that the holder may have open.
func (l *lease) committed() int { return max(l.granted, l.open) }

// Granter grants leases on the connections of one member.
type Granter struct {
	limit int
	// handoverEnd is when the leases of an earlier granter have expired.
	handoverEnd bbrtype.Mono
	leases      map[bbrtype.InstanceID]*lease
}

// NewGranter returns a granter that starts at now. For the duration handover, or
// until all holders have reported, it assumes that leases of an earlier granter may
// be in use.
func NewGranter(limit int, now bbrtype.Mono, handover time.Duration) *Granter {
	return &Granter{limit: limit, handoverEnd: now.Add(handover), leases: map[bbrtype.InstanceID]*lease{}}
}

// SetLimit changes the member's limit. A lower limit takes effect as holders close
// connections.
func (g *Granter) SetLimit(limit int) { g.limit = limit }

// Known ends the handover early if all instances in ids have reported: then no
// lease of an earlier granter is unknown.
func (g *Granter) Known(ids []bbrtype.InstanceID) {
	for _, id := range ids {
		if g.leases[id] == nil {
			return
		}
	}
	g.handoverEnd = 0
}

// Renew records a holder's report, renews its lease and returns the number of
// connections that the holder may have open while the lease lasts.
func (g *Granter) Renew(now bbrtype.Mono, id bbrtype.InstanceID, a Ask) int {
	g.expire(now)
	l := g.leases[id]
	if l == nil {
		l = &lease{}
		g.leases[id] = l
	}
	l.open, l.demand = max(a.Held, 0), max(a.Want, 0)
	others := 0
	for other, o := range g.leases {
		if other != id {
			others += o.committed()
		}
	}
	available := max(0, g.limit-others)
	if now < g.handoverEnd {
		// Other instances may hold leases of the earlier granter.
		available = min(available, l.open)
	}
	l.granted = min(g.fairShare(id), available)
	l.expiresAt = now.Add(Lease + expiryMargin)
	return l.granted
}

// Release ends the lease of a holder that has closed its connections.
func (g *Granter) Release(id bbrtype.InstanceID) { delete(g.leases, id) }

// Sum returns the number of connections that all holders together may have open.
func (g *Granter) Sum(now bbrtype.Mono) int {
	g.expire(now)
	sum := 0
	for _, l := range g.leases {
		sum += l.committed()
	}
	return sum
}

// expire removes leases that were not renewed in time.
func (g *Granter) expire(now bbrtype.Mono) {
	for id, l := range g.leases {
		if now >= l.expiresAt && l.expiresAt != 0 {
			delete(g.leases, id)
		}
	}
}

// fairShare returns a holder's max-min fair share of the limit. A holder whose
// demand is at most an equal part gets its demand; the rest is divided equally
// among the others. Each demand counts as at least 1, so that a holder without
// demand gets a connection if there are enough for all.
func (g *Granter) fairShare(id bbrtype.InstanceID) int {
	type demand struct {
		id     bbrtype.InstanceID
		amount int
	}
	demands := make([]demand, 0, len(g.leases))
	for other, l := range g.leases {
		demands = append(demands, demand{other, max(l.demand, 1)})
	}
	sort.Slice(demands, func(i, j int) bool {
		if demands[i].amount != demands[j].amount {
			return demands[i].amount < demands[j].amount
		}
		return demands[i].id < demands[j].id
	})
	left := g.limit
	for i, d := range demands {
		share := min(d.amount, left/(len(demands)-i))
		if d.id == id {
			return share
		}
		left -= share
	}
	return 0
}
