package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// promoteCase cuts a machine off from the platform, right after it has claimed a change of
// primary, for cutLength. The order of fences that the platform sees is judged.
func promoteCase(t *trial, trouble bool) []string {
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
	zones := []string{"abbotsford", "chilliwack"}
	var toStore, toPromoter []*link
	for range zones {
		toStore = append(toStore, newLink(t, platformIP, s.address))
		toPromoter = append(toPromoter, newLink(t, platformIP, p.address))
	}
	claims := make(chan string, 100)
	s.onWrite = func(r row) {
		var record struct{ Phase, Holder string }
		if r.Table == "groups" && json.Unmarshal(r.Value, &record) == nil && record.Phase == "claimed" {
			t.note("store: %s claims the change of primary of %s", record.Holder, r.Key)
			claims <- record.Holder
		}
	}
	instances := t.startInstances(deployment{
		zones: zones, bounds: smallBounds,
		store:    func(i int) string { return toStore[i].address },
		promoter: func(i int) string { return toPromoter[i].address },
	})
	time.Sleep(time.Second)
	for i, instance := range instances {
		for _, r := range routes {
			t.loop(instance, r.host, fmt.Sprintf("r%d-%s", i, r.service), "READ k%d", 35*time.Millisecond)
			t.loop(instance, r.host, fmt.Sprintf("w%d-%s", i, r.service), "WRITE k%d v", 50*time.Millisecond)
		}
	}
	time.Sleep(stableWindow)
	// Of three changes of primary, two are made by one of the two instances. That one has a
	// connection to the platform's call for promotions from before, and is cut off.
	made := map[string]bool{}
	for _, g := range groups {
		m := g.addReplica(t, "langley")
		t.note("member %s joins %s before the release", m.id, g.name)
		time.Sleep(time.Second)
		for len(claims) > 0 {
			<-claims
		}
		g.drain(t)
		var holder string
		select {
		case holder = <-claims:
		case <-time.After(5 * time.Second):
			t.must(fmt.Errorf("nobody changes the primary of %s", g.name))
		}
		if !made[holder] {
			made[holder] = true
			time.Sleep(3 * time.Second)
			continue
		}
		for i, instance := range instances {
			if instance.name == holder && trouble {
				t.note("%s is cut off from the platform for %v", holder, cutLength)
				toStore[i].setCut(true)
				toPromoter[i].setCut(true)
				time.Sleep(cutLength)
				toStore[i].setCut(false)
				toPromoter[i].setCut(false)
				t.note("the cut has ended")
			}
		}
		break
	}
	time.Sleep(4 * time.Second)
	t.stopLoops()
	return p.lowerFences(t)
}

// lowerFences returns the orders of a promotion with a lower fence than the platform had seen
// for the service.
func (p *promoter) lowerFences(t *trial) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := map[string]promotion{}
	var broken []string
	for _, o := range p.orders {
		if n := newest[o.service]; o.fence < n.fence {
			broken = append(broken, fmt.Sprintf("ONE: %s ordered at %.3f to promote %s in %s with fence %d, after %s at %.3f to promote %s with fence %d",
				o.holder, o.at.Sub(t.began).Seconds(), o.member, o.service, o.fence, n.holder, n.at.Sub(t.began).Seconds(), n.member, n.fence))
			continue
		}
		newest[o.service] = o
	}
	return broken
}
