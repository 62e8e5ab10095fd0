package bbrnode

import (
	"context"
	"sync"
)

// shared is work whose outcome serves all that ask for it while it is under way.
// The zero value is ready.
type shared struct {
	mu    sync.Mutex
	under *outcome
}

// outcome is the end of one run of shared work.
type outcome struct {
	done chan struct{}
	err  error
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
