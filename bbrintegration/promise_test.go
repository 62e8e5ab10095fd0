package bbrintegration

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
)

// code returns an error's SQLSTATE.
func code(err error) string {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return pe.Code
	}
	return ""
}

// The whole path: a write, a read elsewhere, a new configuration, a killed
// primary, and writes that go on.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{})
	f.makeTable()
	a := f.connect(0)
	for id := range 20 {
		_, err := a.Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES ($1, $2)", id, 7)
		is.NoErr(err)
	}
	token := a.PgConn().ParameterStatus("bbr.token")
	b := f.connect(1)
	_, err := b.Exec(f.ctx, "SET bbr.token = '"+token+"'")
	is.NoErr(err)
	var n int64
	is.NoErr(b.QueryRow(f.ctx, "SELECT count(*) FROM orders WHERE shop = $1", 7).Scan(&n))
	is.Equal(n, int64(20)) // the token came along
	c := f.connect(2)
	is.NoErr(c.QueryRow(f.ctx, "SELECT count(*) FROM orders").Scan(&n))
	is.Equal(n, int64(20)) // a session without a token asks the primary

	tx, err := a.Begin(f.ctx)
	is.NoErr(err)
	f.apply(1, f.configuration("slots = 5", "m1", "m2", "m3")) // closes no transaction in flight
	_, err = tx.Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES (100, 7)")
	is.NoErr(err)
	is.NoErr(tx.Commit(f.ctx))

	old := f.primary()
	old.process.Kill()
	_, err = b.Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES (101, 7)")
	is.NoErr(err) // it waited for the new primary
	now := f.awaitPrimaryOtherThan(old)
	runs := f.runs(now)
	for _, id := range []int64{0, 19, 100, 101} {
		is.Equal(runs[id], 1)
	}
}

// A killed primary: no acknowledged order is lost, none runs twice.
func TestPrimaryKilled(t *testing.T) {
	f := newFleet(t, options{})
	f.makeTable()
	w := f.write(0, 1, 2, 0, 1, 2)
	w.awaitAcks(50)
	old := f.primary()
	old.process.Kill()
	f.awaitPrimaryOtherThan(old)
	w.awaitAcks(50)
	w.judge()
}

// A primary that is paused is replaced. When it wakes, nothing that it says
// counts, and it follows the new one.
func TestPrimaryPausedAndWoken(t *testing.T) {
	f := newFleet(t, options{})
	f.makeTable()
	w := f.write(0, 1, 2, 0, 1, 2)
	w.awaitAcks(50)
	old := f.primary()
	old.process.Pause()
	now := f.awaitPrimaryOtherThan(old)
	w.awaitAcks(20)
	old.process.Resume()
	w.awaitAcks(50)
	w.stop()
	f.eventually("the old primary has the new one's log", func() error {
		have, want := len(f.runs(old)), len(f.runs(now))
		if have != want || f.primary() != now {
			return fmt.Errorf("%d orders of %d", have, want)
		}
		return nil
	})
	w.judge()
}

// A primary that is cut off in one direction or both.
func TestPrimaryCutOff(t *testing.T) {
	for name, streams := range map[string][]string{"to it": {"upstream"}, "from it": {"downstream"}, "both": {"upstream", "downstream"}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, options{})
			f.makeTable()
			w := f.write(0, 1, 2, 0, 1, 2)
			w.awaitAcks(30)
			old := f.primary()
			for _, s := range streams {
				f.silence(old.link, s)
			}
			f.awaitPrimaryOtherThan(old)
			w.awaitAcks(30)
			f.restore(old.link)
			w.awaitAcks(30)
			w.judge()
		})
	}
}

// An instance that dies in the middle of a transaction: its caller finds out by
// the key, through another instance.
func TestInstanceKilled(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{})
	f.makeTable()
	w := f.write(0, 1, 2, 0, 1, 2)
	w.awaitAcks(50)
	f.instances[0].process.Kill()
	w.awaitAcks(50)
	w.stop()
	other := f.connect(1)
	for _, s := range w.unknown() {
		if !s.keyed {
			continue
		}
		_, err := other.Exec(f.ctx, fmt.Sprintf("/* bbr requestKey=k%d */ INSERT INTO orders (id, shop) VALUES (%d, 1)", s.id, s.id))
		is.True(err == nil || code(err) == "UB001") // run now, or run before
		is.Equal(f.runs(f.primary())[s.id], 1)
	}
	f.instances = f.instances[1:]
	w.judge()
}

// An instance that is paused while its primary is replaced does not acknowledge
// anything by the old one when it wakes.
func TestInstancePausedDuringAChange(t *testing.T) {
	f := newFleet(t, options{})
	f.makeTable()
	w := f.write(0, 0, 0, 1, 2)
	w.awaitAcks(50)
	f.instances[0].process.Pause()
	old := f.primaryOf(1)
	f.silence(old.link, "upstream")
	f.eventually("another member is the primary", func() error {
		if f.primaryOf(1) == old {
			return errors.New("not yet")
		}
		return nil
	})
	f.restore(old.link) // the old primary still believes that it is one
	f.instances[0].process.Resume()
	w.awaitAcks(80)
	w.judge()
}

// primaryOf returns the primary that one instance knows.
func (f *fleet) primaryOf(n int) *member {
	r, err := f.status(n)
	if err != nil || len(r.Groups) == 0 {
		return nil
	}
	for _, m := range f.members {
		if m.name == string(r.Groups[0].Primary) {
			return m
		}
	}
	return nil
}

// A steward that dies at any step of a change: another one goes on.
func TestStewardKilledDuringAChange(t *testing.T) {
	f := newFleet(t, options{instances: 4})
	f.makeTable()
	w := f.write(0, 1, 2, 3)
	w.awaitAcks(30)
	r, err := f.status(0)
	if err != nil {
		t.Fatal(err)
	}
	old := f.primary()
	old.process.Kill()
	// The first steward dies while it runs the change.
	for n, i := range f.instances {
		if i.name == r.Stewards[0] {
			f.eventually("the change begins", func() error {
				s, err := f.status(n)
				if err == nil && s.Groups[0].Term > r.Groups[0].Term {
					return nil
				}
				return fmt.Errorf("no fence yet")
			})
			i.process.Kill()
			f.instances = append(f.instances[:n:n], f.instances[n+1:]...)
			break
		}
	}
	f.awaitPrimaryOtherThan(old)
	w.awaitAcks(30)
	w.judge()
}

// Open connections that go silent for good while new ones work.
func TestSilentConnections(t *testing.T) {
	f := newFleet(t, options{silencers: true, settings: "[limits]\nanswerPatience = 500ms"})
	f.makeTable()
	w := f.write(0, 1, 2, 0, 1, 2)
	w.awaitAcks(50)
	for _, m := range f.members {
		m.silencer.Silence()
	}
	w.awaitAcks(50)
	w.judge()
}

// A planned stop cuts off no request in flight.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{})
	f.makeTable()
	busy, idle := f.connect(0), f.connect(0)
	tx, err := busy.Begin(f.ctx)
	is.NoErr(err)
	_, err = tx.Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES (1, 1)")
	is.NoErr(err)
	var wg sync.WaitGroup
	exit := -1
	wg.Add(1)
	p := f.instances[0].process
	bbrtesthelpers.Go(func() {
		defer wg.Done()
		exit = p.Terminate()
	})
	f.eventually("the instance drains", func() error {
		r, err := f.status(0)
		if err == nil && r.Draining {
			return nil
		}
		return fmt.Errorf("%+v %v", r, err)
	})
	_, err = idle.Exec(f.ctx, "SELECT 1")
	is.Equal(code(err), "57P01") // the idle session moves by a clear error
	_, err = tx.Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES (2, 1)")
	is.NoErr(err)
	is.NoErr(tx.Commit(f.ctx))
	wg.Wait()
	is.Equal(exit, 0)
	runs := f.runs(f.primaryOf(1))
	is.Equal(runs[1]+runs[2], 2)
	f.eventually("the others know that it has left", func() error {
		r, err := f.status(1)
		if err == nil && len(r.Instances) == 2 {
			return nil
		}
		return fmt.Errorf("%+v %v", r, err)
	})
}

// A planned stop with transactions that outlive half of its time: guards against statements
// that are cut off when the time is over.
func TestPlannedStopEndsTransactions(t *testing.T) {
	is := is.New(t)
	const drain = 4 * time.Second
	f := newFleet(t, options{settings: "[limits]\ndrain = 4s"})
	f.makeTable()
	idle, busy := f.connect(0), f.connect(0)
	for n, c := range []*pgx.Conn{idle, busy} {
		_, err := c.Exec(f.ctx, "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(f.ctx, fmt.Sprintf("INSERT INTO orders (id, shop) VALUES (%d, 1)", n+1))
		is.NoErr(err)
	}
	exit := make(chan int, 1)
	startedAt := time.Now()
	p := f.instances[0].process
	bbrtesthelpers.Go(func() { exit <- p.Terminate() })
	var err error
	for err == nil && time.Since(startedAt) < 2*drain {
		_, err = busy.Exec(f.ctx, "SELECT 1")
	}
	is.Equal(code(err), "57P01") // between two statements
	is.True(time.Since(startedAt) > drain/4)
	is.True(time.Since(startedAt) < drain)
	_, err = idle.Exec(f.ctx, "COMMIT")
	is.Equal(code(err), "57P01")
	is.Equal(<-exit, 0) // nobody was cut off
	runs := f.runs(f.primaryOf(1))
	is.Equal(runs[1]+runs[2], 0)
}

// All instances are replaced one after the other while orders come in.
func TestRollingRestart(t *testing.T) {
	f := newFleet(t, options{})
	f.makeTable()
	w := f.write(0, 1, 2, 0, 1, 2)
	w.awaitAcks(30)
	for n := range f.instances {
		if exit := f.instances[n].process.Terminate(); exit != 0 {
			t.Errorf("exit code %d", exit)
		}
		if log := f.instances[n].process.Log(); strings.Contains(log, "not removed from the journal") {
			t.Errorf("it did not leave by itself:\n%s", log)
		}
		f.startInstance(n, "")
		f.awaitService()
		w2 := f.write(n)
		w2.next.Store(int64(n+1) * 1000000)
		w2.awaitAcks(10)
		w2.judge()
	}
	w.judge()
}

// A member that is taken out gets no new work.
func TestMemberTakenOut(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{})
	f.makeTable()
	w := f.write(0, 1, 2)
	w.awaitAcks(20)
	old := f.primary()
	var rest []string
	for _, m := range f.members {
		if m != old {
			rest = append(rest, m.name)
		}
	}
	// The primary itself is taken out: a change of primary comes first.
	f.apply(0, f.configuration("", rest...))
	w.awaitAcks(50)
	w.judge()
	before := len(f.runs(old))
	w = f.write(0, 1, 2)
	w.next.Store(1000000)
	w.awaitAcks(50)
	w.judge()
	is.True(len(f.runs(old)) <= before+len(f.runs(f.primary()))) // it only replicates
	var st struct {
		State struct{ Primary bool }
	}
	f.eventually("the old primary is none any more, or nobody talks to it", func() error {
		return get(f.ctx, "http://"+old.process.Field("control")+"/state", &st)
	})
}

// A SIGHUP does not end an instance: its settings are checked again.
func TestReload(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{instances: 1})
	f.makeTable()
	p := f.instances[0].process
	p.Signal(syscall.SIGHUP)
	for end := time.Now().Add(deadline); !strings.Contains(p.Log(), "reload"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("nothing was reloaded:\n%s", p.Log())
		}
	}
	_, err := f.connect(0).Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES (1, 1)")
	is.NoErr(err)
}
