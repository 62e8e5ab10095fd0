package bbrintegration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
)

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
