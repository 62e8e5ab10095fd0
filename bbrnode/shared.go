package bbrnode

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// shared is work whose outcome serves all that ask for it while it is under way.
// The zero value is ready.
type shared struct {
	mu    sync.Mutex
	under *outcome
	// last is when the newest run that ended well began.
	last bbrtype.Mono
}

// outcome is the end of one run of shared work.
type outcome struct {
	done chan struct{}
	err  error
}

// doAfter is do, unless the last run that ended well began less than a gap ago.
func (s *shared) doAfter(ctx context.Context, now bbrtype.Mono, gap time.Duration, work func(context.Context) error) error {
	s.mu.Lock()
	fresh := s.last != 0 && now.Sub(s.last) < gap
	s.mu.Unlock()
	if fresh {
		return nil
	}
	return s.do(ctx, func(ctx context.Context) error {
		err := work(ctx)
		if err == nil {
			s.mu.Lock()
			s.last = now
			s.mu.Unlock()
		}
		return err
	})
}

// do runs the work, or waits for the run that is under way.
func (s *shared) do(ctx context.Context, work func(context.Context) error) error {
	s.mu.Lock()
	if o := s.under; o != nil {
		s.mu.Unlock()
		select {
		case <-o.done:
			return o.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	o := &outcome{done: make(chan struct{})}
	s.under = o
	s.mu.Unlock()
	o.err = work(ctx)
	s.mu.Lock()
	s.under = nil
	s.mu.Unlock()
	close(o.done)
	return o.err
}
