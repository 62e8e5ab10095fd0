package main

import (
	"fmt"
	"time"
)

const (
	// leaseLength is the lease_ms by which the bench judges the rule.
	leaseLength = 3 * time.Second
	// replacements is how often the primary is replaced, replaceGap the time between.
	replacements = 20
	replaceGap   = 1300 * time.Millisecond
)

// turnsCase replaces the primary of a service again and again. There is nothing else.
func turnsCase(t *trial, trouble bool) []string {
	platformIP := t.loopbackIPs(1)[0]
	s, p := newStore(t, platformIP), newPromoter(t, platformIP)
	groups := smallGroups(t, s, p, 6*time.Millisecond)
	var routes []route
	var services []string
	for _, g := range groups {
		services = append(services, g.name)
		routes = append(routes, route{host: "orders-" + g.name, kind: "primary", service: g.name, timeoutMs: 800, sloMs: 150})
	}
	s.put("op", "config", manifest(1, routes, services, maxConnections))
	instances := t.startInstances(deployment{
		zones: smallZones, bounds: smallBounds,
		store:    func(int) string { return s.address },
		promoter: func(int) string { return p.address },
	})
	time.Sleep(time.Second)
	for i, instance := range instances {
		for _, r := range routes {
			t.loop(instance, r.host, fmt.Sprintf("r%d-%s", i, r.service), "READ k%d", 60*time.Millisecond)
			t.loop(instance, r.host, fmt.Sprintf("w%d-%s", i, r.service), "WRITE k%d v", 200*time.Millisecond)
		}
	}
	time.Sleep(stableWindow)
	g := groups[0]
	for range replacements {
		if trouble {
			m := g.addReplica(t, "mission")
			t.note("member %s joins %s", m.id, g.name)
		}
		time.Sleep(replaceGap)
		for trouble && g.leader() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		if trouble {
			g.drain(t)
		}
	}
	time.Sleep(3 * time.Second)
	t.stopLoops()
	return p.turns(t)
}

// turns returns the orders of promotions by which a holder acted again after another one,
// all within leaseLength.
func (p *promoter) turns(t *trial) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := func(o promotion) float64 { return o.at.Sub(t.began).Seconds() }
	var broken []string
	for i, first := range p.orders {
		var other *promotion
		for k := i + 1; k < len(p.orders) && p.orders[k].at.Sub(first.at) < leaseLength; k++ {
			o := p.orders[k]
			if o.service != first.service {
				continue
			}
			if o.holder != first.holder {
				other = &o
			} else if other != nil {
				broken = append(broken, fmt.Sprintf("ONE: in %s, %s ordered a promotion at %.3f with fence %d, %s at %.3f with fence %d, and %s at %.3f with fence %d",
					o.service, first.holder, at(first), first.fence, other.holder, at(*other), other.fence, o.holder, at(o), o.fence))
				break
			}
		}
	}
	return broken
}
