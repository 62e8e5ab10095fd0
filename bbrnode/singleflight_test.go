package bbrnode

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestReadSharedOnlyIfSentLater checks that a caller which needs a read of the store that was
// sent after some time does not take the result of one that was sent before.
func TestReadSharedOnlyIfSentLater(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := bbrtype.NewClock()
	var s singleFlight
	var runs atomic.Int32
	read := func(context.Context) error {
		runs.Add(1)
		return nil
	}
	started, finish := make(chan struct{}), make(chan struct{})
	var tasks errgroup.Group
	tasks.Go(func() error {
		return s.doUnlessRecent(ctx, clock.Now(), 0, func(ctx context.Context) error {
			close(started)
			<-finish
			return read(ctx)
		})
	})
	<-started
	since := clock.Now()
	for range 3 {
		tasks.Go(func() error { return s.doSince(ctx, since, clock.Now, read) })
	}
	close(finish)
	is.NoErr(tasks.Wait())
	is.Equal(int(runs.Load()), 2) // the earlier one, and one for all three
	is.NoErr(s.doSince(ctx, since, clock.Now, read))
	is.Equal(int(runs.Load()), 2)
}
