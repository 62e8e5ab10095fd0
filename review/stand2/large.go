package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// firstWrites lets an instance serve a write of a service.
func firstWrites(r *record, i *instance, service int) error {
	c, err := dial(i.callers, fmt.Sprintf("billing%d", service))
	if err != nil {
		return err
	}
	defer c.close()
	id, a, err := c.ask("WRITE first "+i.zone, 5*time.Second)
	r.add("%s: %s WRITE: %v %v", i.name, id, a, err)
	return err
}

// largeResults lets consumers read results of many rows. A process that exceeds the memory of
// its machine is killed and started again, as the platform does.
func largeResults(r *record, dir string, trouble bool) (verdict, error) {
	const (
		instances = 4
		readers   = 6
		rowBytes  = 512 << 10
		duration  = 25 * time.Second
	)
	rows := 1
	if trouble {
		rows = 64
	}
	p, err := newPlatform(r, 1)
	if err != nil {
		return couldNotGo, err
	}
	defer p.close()
	row := strings.Repeat("x", rowBytes)
	p.services[0].rowsOf = func(item string) []string {
		if item != "report" {
			return nil
		}
		out := make([]string, rows)
		for n := range out {
			out[n] = row
		}
		return out
	}
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
	if err := firstWrites(r, all[0], 1); err != nil {
		return couldNotGo, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	ends := map[string]int{}
	end := time.Now().Add(duration)
	var work errgroup.Group
	for _, i := range all {
		work.Go(func() error {
			n := overseer(r, i, all, end)
			mu.Lock()
			defer mu.Unlock()
			ends[i.name] = n
			return nil
		})
		for range readers {
			work.Go(func() error {
				readReports(r, i, end)
				return nil
			})
		}
	}
	_ = work.Wait()
	total, machines := 0, 0
	for _, n := range ends {
		total += n
		if n > 0 {
			machines++
		}
	}
	r.add("%d processes were killed over %d MB, on %d of %d machines", total, memoryMb, machines, instances)
	if total >= 3 && machines >= 2 {
		return broken, nil
	}
	return held, nil
}

// overseer kills the process of a machine that exceeds its memory, as the platform does, and
// starts it again. It returns how often.
func overseer(r *record, i *instance, all []*instance, end time.Time) int {
	n, most := 0, 0
	for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		mb := i.residentMb()
		most = max(most, mb)
		if mb <= memoryMb {
			continue
		}
		n++
		r.add("%s holds %d MB of %d: killed", i.name, mb, memoryMb)
		i.signal(syscall.SIGKILL)
		if _, done, _ := i.running(); done != nil {
			<-done
		}
		time.Sleep(500 * time.Millisecond)
		if err := i.start(seedsOf(all)); err != nil {
			r.add("%s does not start: %v", i.name, err)
			return n
		}
	}
	r.add("%s held %d MB at most", i.name, most)
	return n
}

// readReports reads the report again and again.
func readReports(r *record, i *instance, end time.Time) {
	for time.Now().Before(end) {
		c, err := dial(i.callers, "balance1")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		id, a, err := c.ask("READ report", 8*time.Second)
		r.add("%s: %s READ report: %v %v", i.name, id, a, err)
		c.close()
		time.Sleep(50 * time.Millisecond)
	}
}
