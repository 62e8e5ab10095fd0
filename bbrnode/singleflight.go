package bbrnode

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// singleFlight lets concurrent calls of a function share one run and its error. The
// zero value is ready to use.
type singleFlight struct {
	mu      sync.Mutex
	current *flight
	// lastSuccessStartedAt is when the last successful run started.
	lastSuccessStartedAt bbrtype.Mono
}

// flight is a run in progress.
type flight struct {
	done chan struct{}
	err  error
}

// doUnlessRecent is like do, but does nothing if the last successful run started
// less than interval before now.
func (s *singleFlight) doUnlessRecent(ctx context.Context, now bbrtype.Mono, interval time.Duration, work func(context.Context) error) error {
	s.mu.Lock()
	recent := s.lastSuccessStartedAt != 0 && now.Sub(s.lastSuccessStartedAt) < interval
	s.mu.Unlock()
	if recent {
		return nil
	}
	return s.do(ctx, func(ctx context.Context) error { return s.run(ctx, now, work) })
}

// run runs work, and records a success that started at startedAt.
func (s *singleFlight) run(ctx context.Context, startedAt bbrtype.Mono, work func(context.Context) error) error {
	err := work(ctx)
	if err == nil {
		s.mu.Lock()
		s.lastSuccessStartedAt = startedAt
		s.mu.Unlock()
	}
	return err
}

// hasSucceededSince reports whether a successful run started at since or later.
func (s *singleFlight) hasSucceededSince(since bbrtype.Mono) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSuccessStartedAt >= since
}

// doSince is like do, but shares only runs that started at since or later: it does nothing
// if a successful one did, and waits for the end of one that started earlier.
func (s *singleFlight) doSince(ctx context.Context, since bbrtype.Mono, now func() bbrtype.Mono, work func(context.Context) error) error {
	for {
		s.mu.Lock()
		isDone, f := s.lastSuccessStartedAt >= since, s.current
		s.mu.Unlock()
		if isDone {
			return nil
		}
		if f == nil {
			// A run that others start meanwhile starts after since, too.
			return s.do(ctx, func(ctx context.Context) error {
				if s.hasSucceededSince(since) {
					return nil // it began and ended after the look at current
				}
				return s.run(ctx, now(), work)
			})
		}
		select {
		case <-f.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// do runs work. If a run is in progress, it waits for that run instead and returns
// its error.
func (s *singleFlight) do(ctx context.Context, work func(context.Context) error) error {
	s.mu.Lock()
	if f := s.current; f != nil {
		s.mu.Unlock()
		select {
		case <-f.done:
			return f.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	f := &flight{done: make(chan struct{})}
	s.current = f
	s.mu.Unlock()
	f.err = work(ctx)
	s.mu.Lock()
	s.current = nil
	s.mu.Unlock()
	close(f.done)
	return f.err
}
