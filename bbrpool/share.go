package bbrpool

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbradmit"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// mayStart reports whether a statement need not wait.
func (p *Pool) mayStart(t bbrtype.TenantName) bool {
	if p.queue.Len() == 0 {
		return p.limiter.HasCapacity() || p.mayExceed(t)
	}
	return p.queue.TenantLen(t) == 0 && p.mayExceed(t)
}

// present are the tenants that have statements at work or waiting: their number,
// and the sum of their weights.
type present struct{ tenants, weight int }

func (p *Pool) present() present {
	var out present
	for t := range p.active {
		out.tenants++
		out.weight += p.weights[t]
	}
	p.queue.EachTenant(func(t bbrtype.TenantName) {
		if p.active[t] == 0 {
			out.tenants++
			out.weight += p.weights[t]
		}
	})
	return out
}

// mayExceed reports whether a statement may start although the limiter has
// lowered its bound: the tenant is not alone, it has less at work than its share
// of the member's slots, and those leave room. Otherwise the statements of one
// tenant, which made the member slow, would keep out those of others.
func (p *Pool) mayExceed(t bbrtype.TenantName) bool {
	now := p.present()
	if p.active[t] == 0 && p.queue.TenantLen(t) == 0 {
		now.tenants++
		now.weight += p.weights[t]
	}
	return p.limiter.IsBelowMax() && p.isWithinShare(t, now)
}

// isWithinShare reports whether a tenant has less at work than its share of the
// slots, which is at least 1.
func (p *Pool) isWithinShare(t bbrtype.TenantName, now present) bool {
	return now.tenants > 1 && p.active[t] < max(1, p.limiter.Max()*p.weights[t]/now.weight)
}

// next takes the waiter whose turn it is, nil if nobody may start.
func (p *Pool) next(now bbrtype.Mono) *bbradmit.Waiter {
	if p.limiter.HasCapacity() {
		return p.queue.Pop(now)
	}
	if !p.limiter.IsBelowMax() {
		return nil
	}
	here := p.present()
	return p.queue.PopAllowed(now, func(t bbrtype.TenantName) bool { return p.isWithinShare(t, here) })
}

// wantsToExceed reports whether a waiter may start beyond the lowered bound.
func (p *Pool) wantsToExceed() bool {
	if !p.limiter.IsBelowMax() {
		return false
	}
	here, found := p.present(), false
	p.queue.EachTenant(func(t bbrtype.TenantName) { found = found || p.isWithinShare(t, here) })
	return found
}

// begin counts the statement of a connection as at work.
func (p *Pool) begin(c *Conn) {
	if !c.counted {
		c.counted = true
		p.limiter.Start()
		p.active[c.tenant]++
	}
}

// end takes back what begin counted.
func (p *Pool) end(c *Conn, took time.Duration) {
	if !c.counted {
		return
	}
	c.counted = false
	p.limiter.Done(took)
	if p.active[c.tenant]--; p.active[c.tenant] == 0 {
		delete(p.active, c.tenant)
	}
}
