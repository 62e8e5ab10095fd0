package main

import (
	"fmt"
	"strings"
	"time"
)

// small is the deployment of the site cedarsteam-pool: six machines in four zones.
var smallZones = []string{"abbotsford", "abbotsford", "chilliwack", "chilliwack", "langley", "mission"}

// smallBounds are the bounds of the site cedarsteam-pool.
var smallBounds = map[string]string{"apply_ms": "3000", "drain_ms": "7000", "grace_s": "6"}

// maxConnections and slots are those of the site's members.
const (
	maxConnections = 38
	slots          = 3
)

const (
	// stableWindow is the site's stable_window_ms, for which all is calm before the case.
	stableWindow = 4 * time.Second
	// cutLength is the site's length of a core_cut.
	cutLength = 5500 * time.Millisecond
	// cutLead is how long before the first release the cut begins, and releaseGap the
	// time between the releases of the three services.
	cutLead    = time.Second
	releaseGap = 400 * time.Millisecond
)

// smallGroups starts the site's three services of three members.
func smallGroups(t *trial, s *store, p *promoter, work time.Duration) []*group {
	var all []*group
	for _, name := range []string{"db1", "db2", "db3"} {
		shape := groupShape{name: name, lag: 20 * time.Millisecond, promoteTime: 600 * time.Millisecond, maxConnections: maxConnections, slots: slots, work: work}
		g := newGroup(t, s, shape, t.loopbackIPs(3), []string{"abbotsford", "chilliwack", "langley"})
		p.mu.Lock()
		p.groups[name] = g
		p.mu.Unlock()
		all = append(all, g)
	}
	return all
}

// staleCase cuts one machine off from the store, and lets the primaries of the three
// services be replaced meanwhile, for the first time. Reads on primary routes are judged.
func staleCase(t *trial, trouble bool) []string {
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
	const cutOff = 4
	store := newLink(t, platformIP, s.address)
	instances := t.startInstances(deployment{
		zones: smallZones, bounds: smallBounds,
		store: func(i int) string {
			if i == cutOff {
				return store.address
			}
			return s.address
		},
		promoter: func(int) string { return p.address },
	})
	time.Sleep(time.Second)
	for i, instance := range instances {
		for _, r := range routes {
			writers, pause := 1, 150*time.Millisecond
			if i == cutOff {
				writers, pause = 2, 20*time.Millisecond
			} else {
				t.loop(instance, r.host, fmt.Sprintf("r%d-%s", i, r.service), "READ k%d", 35*time.Millisecond)
			}
			for w := range writers {
				t.loop(instance, r.host, fmt.Sprintf("w%d.%d-%s", i, w, r.service), "WRITE k%d v", pause)
			}
		}
	}
	time.Sleep(stableWindow)
	for _, g := range groups {
		m := g.addReplica(t, "mission")
		t.note("member %s joins %s before the release", m.id, g.name)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		t.note("%s is cut off from the store for %v", instances[cutOff].name, cutLength)
		store.setCut(true)
	}
	cutAt := time.Now()
	time.Sleep(cutLead)
	for _, g := range groups {
		g.drain(t)
		time.Sleep(releaseGap)
	}
	time.Sleep(time.Until(cutAt.Add(cutLength)))
	if trouble {
		t.note("the cut has ended")
		store.setCut(false)
	}
	time.Sleep(time.Second)
	t.stopLoops()
	return t.staleReads(groups)
}

// staleReads returns the reads that were served on a log that lacked a commit which had been
// acknowledged before the read was sent. Commits that a promotion rolled back don't count.
func (t *trial) staleReads(groups []*group) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var broken []string
	for _, g := range groups {
		g.mu.Lock()
		kept := map[string]bool{}
		for _, c := range g.leaderLocked().log {
			kept[c.id] = true
		}
		var acked []answer
		for _, a := range t.answers {
			if strings.HasSuffix(a.database, g.name) && strings.HasPrefix(a.text, "WRITE") && a.succeeded() && kept[a.id] {
				acked = append(acked, a)
			}
		}
		for _, a := range t.answers {
			if !strings.HasSuffix(a.database, g.name) || !strings.HasPrefix(a.text, "READ") || !a.succeeded() {
				continue
			}
			r, ok := t.signedRun(a)
			if !ok {
				continue
			}
			for _, w := range acked {
				if c := g.commits[w.id]; w.answeredAt.Before(a.sentAt) && r.at.less(c) {
					broken = append(broken, fmt.Sprintf("STALE: %s on %s, sent at %.3f to %s, ran at %s on log %s; commit %s of %s was acknowledged by %s at %.3f",
						a.id, a.database, a.sentAt.Sub(t.began).Seconds(), a.instance, r.member, r.at.place(), c.place(), w.id, w.instance, w.answeredAt.Sub(t.began).Seconds()))
					break
				}
			}
		}
		g.mu.Unlock()
	}
	return broken
}

// signedRun returns the run whose signature an answer carries. The caller holds mu.
func (t *trial) signedRun(a answer) (run, bool) {
	runs := t.runs[a.id]
	for i := len(runs) - 1; i >= 0; i-- {
		if a.outcome == "COMPLETE sig."+runs[i].member+"."+a.id {
			return runs[i], true
		}
	}
	return run{}, false
}
