package bbrnode

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrrows"
)

// stallingStore is a store whose first reads get no reply.
type stallingStore struct {
	*memoryStore
	lost  int64
	reads atomic.Int64
}

func (s *stallingStore) Read(ctx context.Context, table string) ([]bbrrows.Row, bbrrows.Version, error) {
	if s.reads.Add(1) <= s.lost {
		<-ctx.Done()
		return nil, bbrrows.Version{}, ctx.Err()
	}
	return s.memoryStore.Read(ctx, table)
}

// TestReadForProofsThatGetsLost guards against a data centre without proofs for as long as the
// loss of one packet between its proof delegate and the store goes unnoticed.
func TestReadForProofsThatGetsLost(t *testing.T) {
	tests := map[string]struct {
		lost    int64
		rejects bool
		isRead  bool
		reads   int64
	}{
		"none is lost":         {isRead: true, reads: 1},
		"one is lost":          {lost: 1, isRead: true, reads: 2},
		"both are lost":        {lost: 2, reads: 2},
		"the store rejects it": {rejects: true, reads: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &stallingStore{memoryStore: &memoryStore{}, lost: tt.lost}
			if tt.rejects {
				store.readErr = bbrrows.ErrRejected
			}
			n := newTestNode()
			n.platform.Store = store
			startedAt := time.Now()
			err := n.proveByRecords(context.Background())
			is.Equal(err == nil, tt.isRead)
			is.Equal(store.reads.Load(), tt.reads)
			is.Equal(!n.areRecordsOlder(recordsRenewAge), tt.isRead)
			if tt.isRead {
				is.True(time.Since(startedAt) < storeProofTimeout)
			}
			_ = n.background.Wait()
		})
	}
}
