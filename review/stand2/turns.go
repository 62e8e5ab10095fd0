package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

// leaseTime is lease_ms of the rule ONE, as the bench states it.
const leaseTime = 3 * time.Second

// holdersByTurns replaces the members of three services one after the other, again and again.
// Two instances must not order promotions of a service in turn inside lease_ms.
func holdersByTurns(r *record, dir string, trouble bool) (verdict, error) {
	const (
		instances = 4
		duration  = 85 * time.Second
	)
	gap := 5 * time.Second
	if trouble {
		gap = time.Second
	}
	p, err := newPlatform(r, len(serviceNames))
	if err != nil {
		return couldNotGo, err
	}
	defer p.close()
	all, err := newInstances(dir, instances, p.store.address, p.promoter.address)
	if err != nil {
		return couldNotGo, err
	}
	for _, i := range all {
		if err := i.start(seedsOf(all)); err != nil {
			return couldNotGo, err
		}
		defer i.kill()
	}
	for _, i := range all {
		if err := i.awaitReady(20 * time.Second); err != nil {
			return couldNotGo, err
		}
	}
	for n := range p.services {
		if err := firstWrites(r, all[n%instances], n+1); err != nil {
			return couldNotGo, err
		}
	}
	time.Sleep(2 * stableWindowMs * time.Millisecond)
	end := time.Now().Add(duration - 15*time.Second)
	var work errgroup.Group
	for n, w := range p.services {
		work.Go(func() error {
			// Each service is replaced by a plan of its own.
			time.Sleep(time.Duration(n) * 1300 * time.Millisecond)
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.Int64N(int64(700 * time.Millisecond))))
				if err := w.replaceAll(gap); err != nil {
					return err
				}
			}
			return nil
		})
	}
	over := make(chan struct{})
	var traffic errgroup.Group
	for n := range p.services {
		traffic.Go(func() error {
			writeOn(r, all[n%instances], n+1, over)
			return nil
		})
	}
	err = work.Wait()
	close(over)
	_ = traffic.Wait()
	if err != nil {
		return couldNotGo, err
	}
	broke := false
	for _, w := range p.services {
		var orders []order
		for _, o := range p.promoter.all() {
			if o.service == w.name {
				orders = append(orders, o)
			}
		}
		r.add("%s: %d promotions were ordered", w.name, len(orders))
		for k := 2; k < len(orders); k++ {
			a, b, c := orders[k-2], orders[k-1], orders[k]
			if a.holder == c.holder && a.holder != b.holder && c.at.Sub(a.at) < leaseTime {
				broke = true
				r.add("%s: %s, %s and %s ordered promotions at %.3f, %.3f and %.3f s with the fences %s, %s and %s, in turn inside %s", w.name,
					a.holder, b.holder, c.holder, a.at.Sub(r.beganAt).Seconds(), b.at.Sub(r.beganAt).Seconds(), c.at.Sub(r.beganAt).Seconds(), a.fence, b.fence, c.fence, leaseTime)
			}
		}
	}
	if broke {
		return broken, nil
	}
	return held, nil
}

// writeOn writes to a service until over is closed.
func writeOn(r *record, i *instance, service int, over <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(500 * time.Millisecond):
		}
		c, err := dial(i.callers, fmt.Sprintf("billing%d", service))
		if err != nil {
			r.add("%s takes no session: %v", i.name, err)
			continue
		}
		id, a, err := c.ask(fmt.Sprintf("WRITE item%d v%d", n, n), 5*time.Second)
		r.add("%s: %s WRITE item%d: %v %v", i.name, id, n, a, err)
		c.close()
	}
}

// replaceAll replaces the members one after the other, the primary first: a new one starts, then
// the old one says that it leaves, and ends some time after drain_ms.
func (w *world) replaceAll(gap time.Duration) error {
	var last errgroup.Group
	for n, m := range w.running() {
		if n > 0 {
			time.Sleep(gap)
		}
		if _, err := w.addMember(); err != nil {
			return err
		}
		at, err := m.drain()
		if err != nil {
			return err
		}
		w.record.at(at, "the store has accepted that %s leaves", m.id)
		last.Go(func() error {
			time.Sleep(drainMs*time.Millisecond + 200*time.Millisecond)
			m.leave()
			w.record.add("%s has left", m.id)
			return nil
		})
	}
	return last.Wait()
}
