package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is the site's grace_s.
	grace = 6 * time.Second
	// stopSessions is how many sessions the stopped instance has.
	stopSessions = 60
	// statementWork is how long a member works on a statement; the site's longest is 220 ms.
	statementWork = 150 * time.Millisecond
	// minPause and maxPause bound the consumers' pause between the statements of a
	// transaction.
	minPause, maxPause = 100 * time.Millisecond, 500 * time.Millisecond
	// dataStatements is how many statements a transaction has besides BEGIN and COMMIT.
	dataStatements = 10
	// lookupTimeout is the timeout of the route.
	lookupTimeout = 2 * time.Second
)

// stopCase stops one of two instances by SIGTERM while consumers run transactions on it.
func stopCase(t *trial, trouble bool) []string {
	platformIP := t.loopbackIPs(1)[0]
	s, p := newStore(t, platformIP), newPromoter(t, platformIP)
	groups := smallGroups(t, s, p, statementWork)
	var routes []route
	var services []string
	for _, g := range groups {
		services = append(services, g.name)
		routes = append(routes, route{host: "lookup-" + g.name, kind: "bounded_staleness", service: g.name, timeoutMs: int(lookupTimeout.Milliseconds()), sloMs: 500, st: 1500})
	}
	s.put("op", "config", manifest(1, routes, services, maxConnections))
	instances := t.startInstances(deployment{
		zones: smallZones[:2], bounds: smallBounds,
		store:    func(int) string { return s.address },
		promoter: func(int) string { return p.address },
	})
	time.Sleep(time.Second)
	// Each session reads once, so that the instance has connections and positions.
	var sessions []*consumer
	for i := range stopSessions {
		r := routes[i%len(routes)]
		if c := t.connect(instances[0], r.host, fmt.Sprintf("c%d", i)); c != nil {
			sessions = append(sessions, c)
			c.query("READ k0")
		}
	}
	time.Sleep(stableWindow)
	stopAt := time.Now()
	if trouble {
		t.note("%s gets SIGTERM", instances[0].name)
		instances[0].signal(syscall.SIGTERM)
	}
	var all sync.WaitGroup
	for _, c := range sessions {
		all.Add(1)
		t.work.Go(func() error {
			defer all.Done()
			defer c.close()
			time.Sleep(rand.N(2 * time.Second))
			c.transaction()
			return nil
		})
	}
	all.Wait()
	if trouble {
		time.Sleep(time.Until(stopAt.Add(grace)))
		if !instances[0].hasEnded() {
			t.note("%s is killed at the end of its grace period", instances[0].name)
			instances[0].kill()
		}
	}
	return t.lostRequests(instances[0], stopAt)
}

// pause is a consumer's pause between two statements.
func pause() { time.Sleep(minPause + rand.N(maxPause-minPause)) }

// transaction runs a transaction that reads, until its end or an answer that is no success.
func (c *consumer) transaction() {
	if a := c.query("BEGIN READ"); a.outcome != "COMPLETE -" {
		return
	}
	for i := range dataStatements {
		pause()
		if !c.query(fmt.Sprintf("READ k%d", i)).succeeded() {
			if c.state == "E" {
				c.query("ROLLBACK")
			}
			return
		}
	}
	pause()
	c.query("COMMIT")
}

// lostRequests returns the requests around the stop of an instance that broke LOST: they
// were passed on to a member, and the connection ended without a complete answer. A request
// that was sent no later than 3 s after the SIGTERM is left out, and one that used seven
// tenths of its route's timeout.
func (t *trial) lostRequests(p *process, stopAt time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var broken []string
	for _, a := range t.answers {
		arrived, passedOn := t.arrivals[a.id]
		after := a.sentAt.Sub(stopAt)
		switch {
		case a.outcome != lost || a.instance != p.name || !passedOn:
		case after <= 3*time.Second || after > grace+time.Second:
		case a.answeredAt.Sub(a.sentAt) > lookupTimeout*7/10:
		default:
			broken = append(broken, fmt.Sprintf("LOST: %s %q on %s, sent %.3f s after the SIGTERM, was passed on to a member at %.3f, and the connection ended at %.3f without an answer",
				a.id, a.text, a.database, after.Seconds(), arrived.Sub(t.began).Seconds(), a.answeredAt.Sub(t.began).Seconds()))
		}
	}
	return broken
}
