package bbrintegration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrstandinplatform"
	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
)

// The platform's store is down: writes go on by the stewards' promises.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{})
	f.makeTable()
	w := f.write(0, 1, 2)
	w.awaitAcks(20)
	for _, s := range []bbrstandinplatform.Service{bbrstandinplatform.ServiceTable, bbrstandinplatform.ServiceObject, bbrstandinplatform.ServiceList} {
		f.fault(bbrstandinplatform.Fault{Service: s, Mode: bbrstandinplatform.ModeDown})
	}
	time.Sleep(5 * time.Second) // longer than any authority by reads
	w.awaitAcks(100)
	out, exit := f.command(0, "apply", f.file(f.configuration("slots = 4", "m1", "m2", "m3")))
	is.True(exit != 0) // nothing is accepted that can't be kept
	is.True(strings.Contains(out, "nothing was applied"))
	for _, s := range []bbrstandinplatform.Service{bbrstandinplatform.ServiceTable, bbrstandinplatform.ServiceObject, bbrstandinplatform.ServiceList} {
		f.fault(bbrstandinplatform.Fault{Service: s, Mode: bbrstandinplatform.ModeNone})
	}
	old := f.primary()
	old.process.Kill()
	f.awaitPrimaryOtherThan(old)
	w.awaitAcks(20)
	w.judge()
}

// The store hangs, or loses replies: nothing false is acknowledged.
func TestStoreSlowAndLosingReplies(t *testing.T) {
	f := newFleet(t, options{})
	f.makeTable()
	w := f.write(0, 1, 2)
	w.awaitAcks(20)
	f.fault(bbrstandinplatform.Fault{Service: bbrstandinplatform.ServiceTable, Mode: bbrstandinplatform.ModeSlow, DelayMs: 900})
	w.awaitAcks(100)
	f.fault(bbrstandinplatform.Fault{Service: bbrstandinplatform.ServiceTable, Mode: bbrstandinplatform.ModeHang})
	time.Sleep(3 * time.Second)
	w.awaitAcks(50)
	f.fault(bbrstandinplatform.Fault{Service: bbrstandinplatform.ServiceTable, Mode: bbrstandinplatform.ModeLoseReply, Count: 40})
	old := f.primary()
	old.process.Kill()
	f.awaitPrimaryOtherThan(old)
	w.awaitAcks(50)
	w.judge()
}

// An instance that loses the store and the others stops acknowledging.
func TestInstanceCutOffStopsAcknowledging(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{})
	f.makeTable()
	conn := f.connect(0)
	_, err := conn.Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES (1, 1)")
	is.NoErr(err)
	f.instances[0].store.Stop()
	for _, i := range f.instances {
		i.inbound.Stop()
	}
	f.eventually("its authority runs out", func() error {
		r, err := f.status(0)
		if err == nil && r.AuthorityMs <= 0 && r.Groups[0].Verdict != "ok" {
			return nil
		}
		return fmt.Errorf("%+v %v", r, err)
	})
	ctx, cancel := context.WithTimeout(f.ctx, 40*time.Second)
	defer cancel()
	_, err = conn.Exec(ctx, "INSERT INTO orders (id, shop) VALUES (2, 1)")
	is.Equal(code(err), "57P03") // told that it was not run
	is.Equal(f.runs(f.members[0])[2], 0)
}

// Two operators at once: one configuration wins, the other is told so.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{})
	r, err := f.status(0)
	is.NoErr(err)
	var wg sync.WaitGroup
	outs, codes := make([]string, 3), make([]int, 3)
	for n := range 3 {
		file := f.file(f.configuration(fmt.Sprintf("slots = %d", 4+n), "m1", "m2", "m3"))
		wg.Add(1)
		bbrtesthelpers.Go(func() {
			defer wg.Done()
			outs[n], codes[n] = f.command(n, "apply", "--expect", fmt.Sprint(r.Version), "--wait", file)
		})
	}
	wg.Wait()
	won := 0
	for n := range 3 {
		switch codes[n] {
		case 0:
			won++
			shown, _ := f.command(2-n, "show")
			is.True(strings.Contains(shown, fmt.Sprintf("slots = %d", 4+n)))
		case 3:
			is.True(strings.Contains(outs[n], "slots: ")) // the loser sees the difference
		default:
			t.Errorf("operator %d: exit code %d: %s", n, codes[n], outs[n])
		}
	}
	is.Equal(won, 1)
}

// The reply to an accepted configuration is lost: the operator is not told that
// it was refused.
func TestOperatorsReplyLost(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{})
	r, err := f.status(0)
	is.NoErr(err)
	f.fault(bbrstandinplatform.Fault{Service: bbrstandinplatform.ServiceTable, Mode: bbrstandinplatform.ModeLoseReply, Count: 10})
	out, exit := f.command(0, "apply", "--wait", f.file(f.configuration("slots = 4", "m1", "m2", "m3")))
	is.Equal(exit, 0)
	is.True(strings.Contains(out, "in_force") || strings.Contains(out, "in force"))
	now, err := f.status(1)
	is.NoErr(err)
	is.Equal(now.Version, r.Version+1) // once, not twice
}
