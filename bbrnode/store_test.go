package bbrnode

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
)

// memoryStore is a store in memory that can be restored to a copy. The zero value is an
// empty store of era 0.
type memoryStore struct {
	bbrrows.Store

	mu      sync.Mutex
	rows    map[bbrrows.RowKey]bbrrows.Row
	version bbrrows.Version
	// intercept, if set, gets each write before it is made. If it returns an error, the
	// write is not made.
	intercept func(bbrrows.ConditionalWrite) error
	// readErr, if set, is the error of each read.
	readErr error
}

func (s *memoryStore) Read(_ context.Context, table string) ([]bbrrows.Row, bbrrows.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readErr != nil {
		return nil, bbrrows.Version{}, s.readErr
	}
	var out []bbrrows.Row
	for _, r := range s.rows {
		if r.Table == table {
			r.Version.Era = s.version.Era
			out = append(out, r)
		}
	}
	return out, s.version, nil
}

// Watch implements bbrrows.Store. Rows that were deleted are not reported.
func (s *memoryStore) Watch(ctx context.Context, table string, after bbrrows.Version, wait time.Duration) (bbrrows.ChangeBatch, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		rows, version, err := s.Read(ctx, table)
		if err != nil {
			return bbrrows.ChangeBatch{}, err
		}
		rows = slices.DeleteFunc(rows, func(r bbrrows.Row) bool { return !r.Version.IsNewerThan(after) })
		if len(rows) > 0 || time.Now().After(end) {
			return bbrrows.ChangeBatch{Rows: rows, NextVersion: version}, nil
		}
		if err := ctx.Err(); err != nil {
			return bbrrows.ChangeBatch{}, err
		}
	}
}

func (s *memoryStore) Write(_ context.Context, c bbrrows.ConditionalWrite) (bbrrows.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.intercept != nil {
		if err := s.intercept(c); err != nil {
			return bbrrows.Version{}, err
		}
	}
	return s.apply(c)
}

// apply makes a write. It is called with mu held.
func (s *memoryStore) apply(c bbrrows.ConditionalWrite) (bbrrows.Version, error) {
	for k, v := range c.ExpectedVersions {
		if s.rows[k].Version.Number != v.Number {
			return bbrrows.Version{}, bbrrows.ErrConflict
		}
	}
	if s.rows == nil {
		s.rows = map[bbrrows.RowKey]bbrrows.Row{}
	}
	s.version.Number++
	for _, k := range c.Delete {
		delete(s.rows, k)
	}
	for k, value := range c.Set {
		s.rows[k] = bbrrows.Row{RowKey: k, Value: value, Version: s.version}
	}
	return s.version, nil
}

// copy returns a copy of the store as it is.
func (s *memoryStore) copy() *memoryStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &memoryStore{rows: maps.Clone(s.rows), version: s.version}
}

// restore puts the store back to a copy.
func (s *memoryStore) restore(c *memoryStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(c.rows)
	s.version.Number = c.version.Number
	s.version.Era++
}

// put writes a row without a condition.
func (s *memoryStore) put(is *is.I, table, key string, value any) {
	b, err := json.Marshal(value)
	is.NoErr(err)
	_, err = s.Write(context.Background(), bbrrows.ConditionalWrite{Set: map[bbrrows.RowKey][]byte{{Table: table, Key: key}: b}})
	is.NoErr(err)
}

// record returns the record of the group "orders", nil if there is none.
func (s *memoryStore) record(is *is.I) *bbrsuccession.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[bbrrows.RowKey{Table: groupTable, Key: "orders"}]
	if !ok {
		return nil
	}
	var r bbrsuccession.Record
	is.NoErr(json.Unmarshal(row.Value, &r))
	return &r
}
