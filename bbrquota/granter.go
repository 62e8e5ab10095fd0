// Package bbrquota divides the connections that a member accepts among all
// instances. For each member, one instance is the granter of its connections. Every
// instance, the granter included, is a lease holder: it periodically reports its
// open connections and its demand to the granter, and receives a lease on a number
// of connections.
//
// The number is the lower of the holder's max-min fair share of the member's limit
// and the connections that are not committed to other holders. The sum of open
// connections never exceeds the limit:
//
//   - The connections of a holder are counted until its lease expires, also if the
//     holder is suspended.
//   - After a change of granter, the new granter grants only connections that are
//     already open, until the leases of the previous granter have expired or all
//     holders have reported.
//
// The package is pure: it holds no lock and reads no clock.
//
// # Usage
//
//	g := bbrquota.NewGranter(limit, now, handover)
//	amount := g.Renew(now, "instance-1", bbrquota.Demand{Open: 2, Wanted: 5})
package bbrquota

import (
	"sort"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Durations of leases.
const (
	// LeaseDuration is how long a holder may use a lease.
	LeaseDuration = 5 * time.Second
	// RenewInterval is the interval between two renewals of a lease.
	RenewInterval = time.Second
	// expiryMargin is the extra time for which the granter counts a lease, so that it
	// expires at the holder first.
	expiryMargin = 500 * time.Millisecond
)

// Demand is a holder's report to the granter.
type Demand struct {
	// Open is the number of connections that the holder has open.
	Open int
	// Wanted is the number of connections that the holder could use. At least 1 is
	// assumed.
	Wanted int
}

// lease is the granter's record of a holder.
type lease struct {
	granted int
	// open and demand are from the holder's last report.
	open   int
	demand int
	// expiresAt includes expiryMargin.
	expiresAt bbrtype.Mono
}

// committed returns the number of connections that are counted for the holder.
func (l *lease) committed() int { return max(l.granted, l.open) }

// Granter grants leases on the connections of one member.
type Granter struct {
	limit int
	// handoverEnd is the time by which the leases of the previous granter have expired,
	// 0 if the handover has ended early.
	handoverEnd bbrtype.Mono
	leases      map[bbrtype.InstanceID]*lease
}

// NewGranter returns a granter that starts at now. Until handover has passed or
// EndHandover has ended it, only connections that are already open are granted, because
// leases of the previous granter may be in use.
func NewGranter(limit int, now bbrtype.Mono, handover time.Duration) *Granter {
	return &Granter{limit: limit, handoverEnd: now.Add(handover), leases: map[bbrtype.InstanceID]*lease{}}
}

// SetLimit changes the member's limit. A lower limit takes effect with the next
// renewals, as holders close connections.
func (g *Granter) SetLimit(limit int) { g.limit = limit }

// EndHandover ends the handover early if all instances in ids have reported: then all
// leases of the previous granter are accounted for.
func (g *Granter) EndHandover(ids []bbrtype.InstanceID) {
	for _, id := range ids {
		if g.leases[id] == nil {
			return
		}
	}
	g.handoverEnd = 0
}

// Renew records a holder's report, renews its lease and returns the number of
// connections that the holder may have open while the lease lasts.
func (g *Granter) Renew(now bbrtype.Mono, id bbrtype.InstanceID, d Demand) int {
	g.expire(now)
	l := g.leases[id]
	if l == nil {
		l = &lease{}
		g.leases[id] = l
	}
	l.open, l.demand = max(d.Open, 0), max(d.Wanted, 0)
	committedToOthers := 0
	for otherID, other := range g.leases {
		if otherID != id {
			committedToOthers += other.committed()
		}
	}
	available := max(0, g.limit-committedToOthers)
	if now < g.handoverEnd {
		// Other instances may still use leases of the previous granter.
		available = min(available, l.open)
	}
	l.granted = min(g.fairShare(id), available)
	l.expiresAt = now.Add(LeaseDuration + expiryMargin)
	return l.granted
}

// Release ends the lease of a holder that has closed its connections.
func (g *Granter) Release(id bbrtype.InstanceID) { delete(g.leases, id) }

// Committed returns the number of connections that are committed to all holders.
func (g *Granter) Committed(now bbrtype.Mono) int {
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
// demand is at most an equal share gets its demand. The remaining connections are
// divided equally among the other holders. Each demand counts as at least 1, so that
// a holder without demand gets a connection if there are at least as many
// connections as holders.
func (g *Granter) fairShare(id bbrtype.InstanceID) int {
	type holderDemand struct {
		id     bbrtype.InstanceID
		amount int
	}
	demands := make([]holderDemand, 0, len(g.leases))
	for otherID, l := range g.leases {
		demands = append(demands, holderDemand{otherID, max(l.demand, 1)})
	}
	sort.Slice(demands, func(i, j int) bool {
		if demands[i].amount != demands[j].amount {
			return demands[i].amount < demands[j].amount
		}
		return demands[i].id < demands[j].id
	})
	remaining := g.limit
	for i, d := range demands {
		share := min(d.amount, remaining/(len(demands)-i))
		if d.id == id {
			return share
		}
		remaining -= share
	}
	return 0
}
