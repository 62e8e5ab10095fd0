package bbrnode

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellroute/bluebellroute/bbrrows"
)

// storeCall is a kind of call to the store.
type storeCall string

// The calls. A read of a table counts once, even if it takes several pages.
const (
	callRead  storeCall = "read"
	callWatch storeCall = "watch"
	callWrite storeCall = "write"
)

// callOutcome is how a call to the store ended.
type callOutcome string

// The outcomes.
const (
	outcomeDone callOutcome = "done"
	// outcomeUnchanged is a poll that returned no change.
	outcomeUnchanged callOutcome = "unchanged"
	outcomeConflict  callOutcome = "conflict"
	outcomeCompacted callOutcome = "compacted"
	outcomeRejected  callOutcome = "rejected"
	// outcomeCancelled is a call that this instance gave up, outcomeFailed any other one
	// without a usable reply.
	outcomeCancelled callOutcome = "cancelled"
	outcomeFailed    callOutcome = "failed"
)

// countedStore counts the calls to a store. Its counter has the labels call, table and
// outcome.
type countedStore struct {
	store bbrrows.Store
	calls *prometheus.CounterVec
}

// Read implements bbrrows.Store.
func (s countedStore) Read(ctx context.Context, table string) ([]bbrrows.Row, bbrrows.Version, error) {
	rows, version, err := s.store.Read(ctx, table)
	s.count(callRead, table, outcomeOf(err))
	return rows, version, err
}

// Watch implements bbrrows.Store.
func (s countedStore) Watch(ctx context.Context, table string, after bbrrows.Version, wait time.Duration) (bbrrows.ChangeBatch, error) {
	batch, err := s.store.Watch(ctx, table, after, wait)
	outcome := outcomeOf(err)
	if err == nil && len(batch.Rows) == 0 {
		outcome = outcomeUnchanged
	}
	s.count(callWatch, table, outcome)
	return batch, err
}

// Write implements bbrrows.Store.
func (s countedStore) Write(ctx context.Context, c bbrrows.ConditionalWrite) (bbrrows.Version, error) {
	version, err := s.store.Write(ctx, c)
	s.count(callWrite, writtenTables(c), outcomeOf(err))
	return version, err
}

func (s countedStore) count(call storeCall, table string, outcome callOutcome) {
	s.calls.WithLabelValues(string(call), table, string(outcome)).Inc()
}

// outcomeOf returns the outcome that an error of the store stands for.
func outcomeOf(err error) callOutcome {
	switch {
	case err == nil:
		return outcomeDone
	case errors.Is(err, bbrrows.ErrConflict):
		return outcomeConflict
	case errors.Is(err, bbrrows.ErrCompacted):
		return outcomeCompacted
	case errors.Is(err, bbrrows.ErrRejected):
		return outcomeRejected
	case errors.Is(err, context.Canceled), errors.Is(err, errReadOld):
		return outcomeCancelled
	}
	return outcomeFailed
}

// writtenTables returns the names of the tables that a write changes, joined by "+".
func writtenTables(c bbrrows.ConditionalWrite) string {
	var tables []string
	for k := range c.Set {
		tables = append(tables, k.Table)
	}
	for _, k := range c.Delete {
		tables = append(tables, k.Table)
	}
	slices.Sort(tables)
	return strings.Join(slices.Compact(tables), "+")
}
