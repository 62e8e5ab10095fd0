package bbrpool

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbradmit"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// mayStart reports whether a statement need not wait.
func (p *Pool) mayStart(t bbrtype.TenantName) bool {
	if p.queue.Len() == 0 {
		return p.limiter.HasRoom() || p.mayExceed(t)
	}
	return p.queue.Waiting(t) == 0 && p.mayExceed(t)
}

// mayExceed reports whether a statement may start although the limiter has
// lowered its bound: the tenant has less at work than its share of the member's
// slots, and those leave room. Otherwise the statements of one tenant, which made
// the member slow, would keep out those of others.
func (p *Pool) mayExceed(t bbrtype.TenantName) bool {
	return p.limiter.HasSpare() && p.active[t] < p.share(t)
}

// share is a tenant's part of the slots, by its weight among those that have
// statements at work or waiting. It is at least 1. A tenant alone has none beyond
// what the limiter allows.
func (p *Pool) share(t bbrtype.TenantName) int {
	sum, others := p.weights[t], 0
	add := func(o bbrtype.TenantName) {
		if o != t {
			others++
			sum += p.weights[o]
		}
	}
	for o := range p.active {
		add(o)
	}
	p.queue.Tenants(func(o bbrtype.TenantName) {
		if p.active[o] == 0 {
			add(o)
		}
	})
	if others == 0 {
		return 0
	}
	return max(1, p.limiter.Max()*p.weights[t]/sum)
}

// next takes the waiter whose turn it is, nil if nobody may start.
func (p *Pool) next(now bbrtype.Mono) *bbradmit.Waiter {
	if p.limiter.HasRoom() {
		return p.queue.Pop(now)
	}
	if !p.limiter.HasSpare() {
		return nil
	}
	return p.queue.PopOf(now, p.mayExceed)
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
	p.limiter.End(took)
	if p.active[c.tenant]--; p.active[c.tenant] == 0 {
		delete(p.active, c.tenant)
	}
}
