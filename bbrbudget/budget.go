package bbrbudget

import (
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Recorder records what the limits did.
type Recorder interface {
	RecordLimit(reason Reason)
}

// Budget is what all callers' connections make the process hold.
type Budget struct {
	limits   Limits
	recorder Recorder

	mu sync.Mutex
	// held is the sum of the reservations, kept that of the sessions' states.
	held, kept Bytes
	// shares are the connections that hold anything.
	shares  map[*share]struct{}
	waiters []*waiter
}

// waiter is a reservation that waits for room.
type waiter struct {
	share *share
	size  Bytes
	ready chan struct{}
}

// share is the part of a budget that one connection holds. Its fields are guarded by the
// budget's mu.
type share struct {
	budget             *Budget
	held, kept         Bytes
	phase              Phase
	begunAt, quietFrom time.Time
	// closing is why the connection is to be closed, empty if it is not.
	closing Reason
	// interrupt makes the connection notice closing.
	interrupt func(p Phase)
}

// New returns a budget that nobody holds anything of.
func New(l Limits, r Recorder) *Budget {
	return &Budget{limits: l, recorder: r, shares: map[*share]struct{}{}}
}

// Usage returns what callers' messages and replies hold, and what sessions keep.
func (b *Budget) Usage() (held, kept Bytes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.kept
}

// fits reports whether a reservation can be made at once. One is always possible. mu must be
// held.
func (b *Budget) fits(size Bytes) bool { return b.held == 0 || b.held+size <= b.limits.Messages }

// add changes what a share holds and keeps. mu must be held.
func (b *Budget) add(s *share, held, kept Bytes) {
	b.held += held
	b.kept += kept
	s.held += held
	s.kept += kept
	if s.held == 0 && s.kept == 0 {
		delete(b.shares, s)
	} else {
		b.shares[s] = struct{}{}
	}
	if held < 0 {
		b.grant()
	}
}

// grant makes the reservations that there is room for, in the order of their arrival. mu must
// be held.
func (b *Budget) grant() {
	for len(b.waiters) > 0 && b.fits(b.waiters[0].size) {
		w := b.waiters[0]
		b.waiters = b.waiters[1:]
		b.add(w.share, w.size, 0)
		close(w.ready)
	}
}

// cancel takes back a reservation that waits. It returns false if it has been made.
func (b *Budget) cancel(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return false
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	b.grant()
	return true
}

// errInterrupted is returned if a wait for room was interrupted.
var errInterrupted = errors.New("the wait for room was interrupted")

// reserve waits until there is room and holds it. It returns errInterrupted once wake has a
// value, and os.ErrDeadlineExceeded at the deadline, if that is not zero.
func (s *share) reserve(size Bytes, deadline time.Time, wake <-chan struct{}) error {
	b := s.budget
	b.mu.Lock()
	if len(b.waiters) == 0 && b.fits(size) {
		b.add(s, size, 0)
		b.mu.Unlock()
		return nil
	}
	w := &waiter{share: s, size: size, ready: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	err := b.await(w, deadline, wake)
	if err != nil && !b.cancel(w) {
		return nil
	}
	return err
}

// await waits until a reservation is made. While it waits, it closes who is stalled.
func (b *Budget) await(w *waiter, deadline time.Time, wake <-chan struct{}) error {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	ticker := time.NewTicker(roomTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-w.ready:
			return nil
		case <-wake:
			return errInterrupted
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-ticker.C:
			b.closeStalled(w)
		}
	}
}

// closeStalled closes the stalled connection, if there is one, on behalf of the first waiter.
func (b *Budget) closeStalled(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) == 0 || b.waiters[0] != w {
		return
	}
	shares, holdings := b.holdings()
	for range shares {
		i := Stalled(holdings)
		if i == none {
			return
		}
		b.close(shares[i], ReasonStalled)
		holdings[i].Held = 0
	}
}

// holdings returns the shares that are not being closed, and what they hold. mu must be held.
func (b *Budget) holdings() ([]*share, []Holding) {
	now := time.Now()
	shares := make([]*share, 0, len(b.shares))
	holdings := make([]Holding, 0, len(b.shares))
	for s := range b.shares {
		if s.closing != "" {
			continue
		}
		shares = append(shares, s)
		holdings = append(holdings, Holding{Phase: s.phase, Held: s.held, Kept: s.kept, Quiet: now.Sub(s.quietFrom), Age: now.Sub(s.begunAt)})
	}
	return shares, holdings
}

// close lets a connection be closed: at once, or after the statement in progress. mu must be
// held.
func (b *Budget) close(s *share, r Reason) {
	s.closing = r
	b.recorder.RecordLimit(r)
	s.interrupt(s.phase)
}

// begin notes that a message or reply begins.
func (s *share) begin(p Phase, at time.Time) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.phase, s.begunAt, s.quietFrom = p, at, at
}

// progress notes that bytes were received or sent.
func (s *share) progress(at time.Time) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.quietFrom = at
}

// work notes that a message is complete. It returns why the connection is to be closed instead,
// empty if it is not.
func (s *share) work() Reason {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.phase = PhaseWorking
	return s.closing
}

// closingReason returns why the connection is to be closed, empty if it is not.
func (s *share) closingReason() Reason {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.closing
}

// take holds a reply without waiting. If the budget is exceeded, it closes the slowest readers of
// other replies.
func (s *share) take(size Bytes) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(s, size, 0)
	excess := b.held - b.limits.Messages
	if excess <= 0 {
		return
	}
	shares, holdings := b.holdings()
	if i := slices.Index(shares, s); i >= 0 {
		holdings[i].Held = 0
	}
	for excess > 0 {
		i := Slowest(holdings)
		if i == none {
			return
		}
		excess -= holdings[i].Held
		holdings[i].Held = 0
		b.close(shares[i], ReasonSlowReader)
	}
}

// release gives back what the connection holds for its message and reply.
func (s *share) release() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.held != 0 {
		s.budget.add(s, -s.held, 0)
	}
}

// end gives back everything.
func (s *share) end() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.held != 0 || s.kept != 0 {
		s.budget.add(s, -s.held, -s.kept)
	}
}

// keep changes what the session keeps by some bytes. It returns why it may not, empty if it
// may.
func (s *share) keep(change Bytes) Reason {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case change <= 0:
		b.add(s, 0, change)
		return ""
	case s.kept+change > b.limits.SessionState:
		return ReasonSessionState
	}
	excess := b.kept + change - b.limits.State
	if excess <= 0 {
		b.add(s, 0, change)
		return ""
	}
	b.closeLargest(s.kept+change, excess)
	return ReasonState
}

// closeLargest closes the sessions that keep most, down to a given amount, until enough is
// given back. mu must be held.
func (b *Budget) closeLargest(than, excess Bytes) {
	for s := range b.shares {
		if s.closing == ReasonState {
			excess -= s.kept
		}
	}
	shares, holdings := b.holdings()
	for excess > 0 {
		i := Largest(holdings, than)
		if i == none {
			return
		}
		excess -= holdings[i].Kept
		holdings[i].Kept = 0
		b.close(shares[i], ReasonState)
	}
}

// usage returns what the connection holds and what its session keeps.
func (s *share) usage() (held, kept Bytes) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.held, s.kept
}
