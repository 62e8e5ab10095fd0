package main

import (
	"time"
)

// drainAfterStart lets the primary drain while the platform's call for a promotion is down, and
// adds a machine meanwhile. The machine must send nothing to the primary later than drain_ms after
// the store has accepted that it drains.
func drainAfterStart(r *record, dir string, trouble bool) (verdict, error) {
	const (
		// addedAfter is when the machine is added, outage how long promotions are down.
		addedAfter = 2800 * time.Millisecond
		outage     = 8 * time.Second
	)
	w, err := newWorld(r)
	if err != nil {
		return couldNotGo, err
	}
	w.isQuiet = true
	defer w.close()
	if err := w.store.put("op", "config", manifest(3)); err != nil {
		return couldNotGo, err
	}
	all, err := newInstances(dir, 3, w.store.address, w.promoter.address)
	if err != nil {
		return couldNotGo, err
	}
	for _, i := range all {
		defer i.kill()
	}
	for _, i := range all[:2] {
		if err := i.start(seedsOf(all)); err != nil {
			return couldNotGo, err
		}
	}
	for _, i := range all[:2] {
		if err := i.awaitReady(20 * time.Second); err != nil {
			return couldNotGo, err
		}
	}
	for _, i := range all[:2] {
		if err := firstWrites(r, i); err != nil {
			return couldNotGo, err
		}
	}
	time.Sleep(stableWindowMs * time.Millisecond)
	if trouble {
		r.add("the call for a promotion is down for %s", outage)
		w.promoter.close()
		w.work.Go(func() error {
			time.Sleep(outage)
			r.add("the call for a promotion is back")
			return w.promoter.up()
		})
	}
	primary := w.members[0]
	ackAt, err := primary.drain()
	if err != nil {
		return couldNotGo, err
	}
	r.at(ackAt, "the store has accepted that %s drains", primary.id)
	time.Sleep(time.Until(ackAt.Add(addedAfter)))
	added := all[2]
	if err := added.start(seedsOf(all)); err != nil {
		return couldNotGo, err
	}
	r.add("%s is added", added.name)
	if err := added.awaitReady(10 * time.Second); err != nil {
		return couldNotGo, err
	}
	_, _, startedAt := added.running()
	r.add("%s is ready", added.name)
	// From here on the added machine is in touch, and the primary has drained for drain_ms.
	from := startedAt.Add(stableWindowMs*time.Millisecond + 200*time.Millisecond)
	if earliest := ackAt.Add(drainMs * time.Millisecond); from.Before(earliest) {
		from = earliest
	}
	time.Sleep(time.Until(from.Add(20 * time.Millisecond)))
	sent := map[string]time.Time{}
	for n := 0; time.Since(ackAt) < 10*time.Second; n++ {
		askOnce(r, added, sent)
		time.Sleep(50 * time.Millisecond)
	}
	late := 0
	for _, s := range w.statements() {
		if at, ok := sent[s.id]; ok && s.member == primary.id {
			late++
			r.at(s.at, "%s, sent to %s at %.3f s, reached %s %.3f s after the ack of its drain", s.id, added.name, at.Sub(r.beganAt).Seconds(), s.member, s.at.Sub(ackAt).Seconds())
		}
	}
	r.add("%d requests of %d, all sent later than %d ms after the ack, reached the draining member", late, len(sent), drainMs)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// firstWrites lets an instance serve a write.
func firstWrites(r *record, i *instance) error {
	c, err := dial(i.callers, "billing")
	if err != nil {
		return err
	}
	defer c.close()
	id, a, err := c.ask("WRITE first "+i.zone, 5*time.Second)
	r.add("%s: %s WRITE: %v %v", i.name, id, a, err)
	return err
}

// askOnce sends a read of the primary's route in a session of its own.
func askOnce(r *record, i *instance, sent map[string]time.Time) {
	c, err := dial(i.callers, "billing")
	if err != nil {
		r.add("%s takes no session: %v", i.name, err)
		return
	}
	defer c.close()
	at := time.Now()
	id, a, err := c.ask("READ first", 2500*time.Millisecond)
	sent[id] = at
	r.at(at, "%s: %s READ first: %v %v", i.name, id, a, err)
}
