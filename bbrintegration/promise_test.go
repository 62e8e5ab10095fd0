package bbrintegration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrstandinplatform"
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

// Tokens: forged ones are refused and break nothing.
func TestTokens(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{})
	f.makeTable()
	conn := f.connect(0)
	_, err := conn.Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES (1, 1)")
	is.NoErr(err)
	token := conn.PgConn().ParameterStatus("bbr.token")
	for name, text := range map[string]string{"another position": strings.Replace(token, ":0/", ":F/", 1), "no code": "orders:1:0/8:", "nonsense": "x"} {
		_, err := conn.Exec(f.ctx, "SET bbr.token = '"+text+"'")
		if code(err) != "22023" {
			t.Errorf("%s: %v", name, err)
		}
	}
	var n int64
	is.NoErr(conn.QueryRow(f.ctx, "SELECT count(*) FROM orders").Scan(&n))
	is.Equal(n, int64(1))
	var shown string
	is.NoErr(conn.QueryRow(f.ctx, "SHOW bbr.token").Scan(&shown))
	is.True(strings.HasPrefix(shown, "orders:1:"))
}

// Request keys: a second run is refused, a lookup answers.
func TestRequestKeys(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{})
	f.makeTable()
	a, b := f.connect(0), f.connect(1)
	order := "/* bbr requestKey=spring-1 */ INSERT INTO orders (id, shop) VALUES (1, 1)"
	_, err := a.Exec(f.ctx, order)
	is.NoErr(err)
	_, err = b.Exec(f.ctx, order)
	is.Equal(code(err), "UB001")
	_, err = b.Exec(f.ctx, strings.Replace(order, "(1, 1)", "(2, 1)", 1))
	is.Equal(code(err), "UB002") // the key of another request
	tx, err := a.Begin(f.ctx)
	is.NoErr(err)
	_, err = tx.Exec(f.ctx, "SET bbr.requestKey = 'spring-2'")
	is.NoErr(err)
	_, err = tx.Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES (3, 1)")
	is.NoErr(err)
	is.NoErr(tx.Commit(f.ctx))
	is.Equal(f.lookup(2, "spring-1"), "run")
	is.Equal(f.lookup(2, "spring-2"), "run")
	is.Equal(f.lookup(2, "spring-3"), "notRun")
	// It was said not to have run: sent anew it runs.
	f.eventually("the request runs once it is sent anew", func() error {
		_, err := a.Exec(f.ctx, "/* bbr requestKey=spring-3 */ INSERT INTO orders (id, shop) VALUES (4, 1)")
		return err
	})
	is.Equal(f.lookup(0, "spring-3"), "run")
	runs := f.runs(f.primary())
	is.Equal([]int{runs[1], runs[2], runs[3], runs[4]}, []int{1, 0, 1, 1})
}

// lookup asks for a request's fate by its key.
func (f *fleet) lookup(n int, key string) string {
	f.t.Helper()
	var reply struct{ State string }
	f.eventually("the lookup answers", func() error {
		req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+f.instances[n].control()+"/request?route=orders&key="+key, nil)
		if err != nil {
			return err
		}
		req.SetBasicAuth("shop", password)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s", resp.Status)
		}
		return decode(resp, &reply)
	})
	return reply.State
}

// Answers never mix: many callers on few connections get their own.
func TestAnswersAreTheCallersOwn(t *testing.T) {
	f := newFleet(t, options{})
	f.makeTable()
	var wg sync.WaitGroup
	for k := range 24 {
		conn := f.connect(k % 3)
		wg.Add(1)
		bbrtesthelpers.Go(func() {
			defer wg.Done()
			for i := range 60 {
				f.ask(conn, int64(k*1000+i))
			}
		})
	}
	wg.Wait()
}

// ask sends statements whose answers can be told apart, some of which are given
// up in the middle.
func (f *fleet) ask(conn *pgx.Conn, id int64) {
	var got int64
	err := conn.QueryRow(f.ctx, "SELECT $1::bigint + 0", id).Scan(&got)
	if err != nil || got != id {
		f.t.Errorf("asked for %d, got %d: %v", id, got, err)
	}
	if id%10 != 0 {
		return
	}
	tx, err := conn.Begin(f.ctx)
	if err != nil {
		f.t.Error(err)
		return
	}
	if _, err := tx.Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES ($1, $2)", id, id); err != nil {
		f.t.Error(err)
	}
	var n int64
	if err := tx.QueryRow(f.ctx, "SELECT count(*) FROM orders WHERE shop = $1", id).Scan(&n); err != nil || n != 1 {
		f.t.Errorf("the transaction sees %d of its own orders: %v", n, err)
	}
	if err := tx.Rollback(f.ctx); err != nil {
		f.t.Error(err)
	}
}

// What pooled connections can't carry gets a clear error.
func TestUnsupported(t *testing.T) {
	f := newFleet(t, options{instances: 1})
	f.makeTable()
	conn := f.connect(0)
	for text, want := range map[string]string{
		"LISTEN a":                       "0A000",
		"CREATE TEMP TABLE a (b int)":    "0A000",
		"SELECT pg_advisory_lock(1)":     "0A000",
		"SET client_encoding = 'LATIN1'": "0A000",
		"SET bbr.nothing = '1'":          "22P02",
		"SELECT * FROM nothing":          "42P01",
		"SELEC 1":                        "42601",
		"/* bbr requestKey=a b */ INSERT INTO orders VALUES (1, 1)": "0A000",
	} {
		if _, err := conn.Exec(f.ctx, text); code(err) != want {
			t.Errorf("%s: %v", text, err)
		}
	}
	var one int
	if err := conn.QueryRow(f.ctx, "SELECT 1").Scan(&one); err != nil || one != 1 {
		t.Errorf("the session is of no use after errors: %v", err)
	}
	wrong := strings.Replace(f.url(0), "shop:", "nobody:", 1)
	if _, err := pgx.Connect(f.ctx, wrong); code(err) != "28P01" {
		t.Errorf("an unknown caller: %v", err)
	}
	if outcomeOf(nil) != bbroutcome.Done {
		t.Error("no error means done")
	}
}
