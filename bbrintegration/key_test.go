package bbrintegration

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/anishathalye/porcupine"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// keyState is what the database holds of a request key.
type keyState string

// The states. A closed key has not run, and what was sent before never will.
const (
	keyFree keyState = "free"
	keyRun  keyState = "run"
)

// What a try of a keyed request ends in.
const (
	tryDone       = "done"
	tryAlreadyRun = "UB001"
	tryResolved   = "UB004"
	tryNotRun     = "notRun"
	tryUnknown    = "unknown"
)

// keyModel says that of all tries under a key at most one runs. A try that was
// said not to have run leaves the key as it was; one whose fate is unknown may
// have run.
var keyModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyFree} },
	Step: func(state, _, output any) []any {
		free := state.(keyState) == keyFree
		switch out := output.(string); {
		case out == tryDone && free:
			return []any{keyRun}
		case out == tryAlreadyRun && !free, out == tryResolved && free, out == tryNotRun:
			return []any{state}
		case out == tryUnknown && free:
			return []any{keyFree, keyRun}
		case out == tryUnknown:
			return []any{state}
		}
		return nil
	},
}).ToModel()

// outcomeOfTry turns a caller's error into a try's end.
func outcomeOfTry(err error) string {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return tryDone
	case !errors.As(err, &pe):
		return tryUnknown
	case pe.Code == tryAlreadyRun, pe.Code == tryResolved:
		return pe.Code
	case pe.Detail == "outcome: notRun":
		return tryNotRun
	}
	return tryUnknown
}

// try sends a keyed order by an instance and notes what it was told.
func (f *fleet) try(n int, key string, id int, began time.Time) porcupine.Operation {
	op := porcupine.Operation{ClientId: n, Call: time.Since(began).Nanoseconds()}
	ctx, cancel := context.WithTimeout(f.ctx, deadline)
	defer cancel()
	outcome := tryNotRun // without a connection nothing is sent
	if conn, err := pgx.Connect(ctx, f.url(n)); err == nil {
		_, err = conn.Exec(ctx, fmt.Sprintf("/* bbr requestKey=%s */ INSERT INTO orders (id, shop) VALUES (%d, 1)", key, id))
		outcome = outcomeOfTry(err)
		_ = conn.Close(ctx)
	}
	op.Output, op.Return = outcome, time.Since(began).Nanoseconds()
	if outcome == tryUnknown {
		op.Return = time.Hour.Nanoseconds()
	}
	return op
}

// disturb cuts the answers of a member off again and again.
func (f *fleet) disturb(link *toxiproxy.Proxy, done <-chan struct{}) {
	for {
		f.silence(link, "downstream")
		stopped := waitOr(done, 300*time.Millisecond)
		f.restore(link)
		if stopped || waitOr(done, 500*time.Millisecond) {
			return
		}
	}
}

func waitOr(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// Request keys are linearizable: tries of the same request by several instances
// at once, while answers of the primary are lost, behave as if one of them ran.
func TestRequestKeysAreLinearizable(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{})
	f.makeTable()
	done := make(chan struct{})
	link := f.primary().link
	var disturber, tries errgroup.Group
	disturber.Go(func() error {
		f.disturb(link, done)
		return nil
	})
	const keys = 8
	var mu sync.Mutex
	histories := make([][]porcupine.Operation, keys)
	began := time.Now()
	for k := range keys {
		for n := range f.instances {
			tries.Go(func() error {
				for range 3 {
					op := f.try(n, fmt.Sprintf("key-%d", k), k+1, began)
					mu.Lock()
					histories[k] = append(histories[k], op)
					mu.Unlock()
				}
				return nil
			})
		}
	}
	is.NoErr(tries.Wait())
	close(done)
	is.NoErr(disturber.Wait())
	f.awaitService()
	ends := map[any]int{}
	for _, history := range histories {
		for _, op := range history {
			ends[op.Output]++
		}
	}
	t.Logf("tries by their end: %v", ends)
	for _, history := range histories {
		is.True(porcupine.CheckOperations(keyModel, history))
	}
	fates := make([]string, keys)
	for k := range fates {
		fates[k] = f.lookup(0, fmt.Sprintf("key-%d", k))
	}
	runs := f.runs(f.primary())
	for k, history := range histories {
		told := 0
		for _, op := range history {
			if op.Output == tryDone {
				told++
			}
		}
		is.True(runs[int64(k+1)] <= 1)
		is.True(told <= runs[int64(k+1)])
		is.Equal(fates[k] == "run", runs[int64(k+1)] == 1) // a lookup tells the truth
	}

	// The check can fail.
	twice := []porcupine.Operation{{Call: 0, Return: 1, Output: tryDone}, {Call: 2, Return: 3, Output: tryDone}}
	is.True(!porcupine.CheckOperations(keyModel, twice))
}
