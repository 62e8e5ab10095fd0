package bbrbudget

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// writeChunk is the number of bytes after which the progress of a reply is noted.
const writeChunk = 64 * 1024

// Conn is a caller's connection that holds a part of a budget. Caller tells it where messages
// end.
type Conn struct {
	net.Conn
	share share
	// wake interrupts a wait for room.
	wake chan struct{}
	// sendsLarge is set while a counted reply is written.
	sendsLarge bool

	mu sync.Mutex
	// deadline is the reader's deadline, begunAt when the first byte of the message was there,
	// received how many bytes of it are, and reserved whether it has room.
	deadline, begunAt time.Time
	received          Bytes
	reserved          bool
}

// NewConn returns a connection that takes part in the budget.
func (b *Budget) NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c, wake: make(chan struct{}, 1)}
	conn.share = share{budget: b, phase: PhaseReceiving, interrupt: conn.interrupt}
	return conn
}

// errSlowMessage ends a connection whose message was not finished in time, errClosing one that
// is closed for the sake of others.
var (
	errSlowMessage = errors.New("the message was not finished in time")
	errClosing     = errors.New("the connection is closed to make room")
)

// interrupt lets the connection notice that it is to be closed. One that works notices by
// itself. The budget's mu is held, so that it must not wait.
func (c *Conn) interrupt(p Phase) {
	switch p {
	case PhaseSending:
		_ = c.Conn.Close()
	case PhaseReceiving:
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		c.wakeUp()
	}
}

func (c *Conn) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetReadDeadline sets the reader's deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	err := c.Conn.SetReadDeadline(c.effectiveDeadline())
	c.mu.Unlock()
	c.wakeUp()
	return err
}

// effectiveDeadline returns the earlier one of the reader's deadline and that of the message,
// zero for none. mu must be held.
func (c *Conn) effectiveDeadline() time.Time {
	if c.received == 0 {
		return c.deadline
	}
	if end := c.begunAt.Add(messageTimeout); c.deadline.IsZero() || end.Before(c.deadline) {
		return end
	}
	return c.deadline
}

// Read reads from the connection once there is room for what it reads.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.awaitRoom(); err != nil {
		return 0, c.readError(err)
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.add(n)
	}
	if err != nil {
		err = c.readError(err)
	}
	return n, err
}

// awaitRoom reserves room for the message if it is no small one.
func (c *Conn) awaitRoom() error {
	for {
		c.mu.Lock()
		isBegun, needsRoom, deadline := c.received > 0, c.received > SmallMessage && !c.reserved, c.effectiveDeadline()
		if isBegun {
			_ = c.Conn.SetReadDeadline(deadline)
		}
		c.mu.Unlock()
		if isBegun && c.share.closingReason() != "" {
			return errClosing
		}
		if !needsRoom {
			return nil
		}
		err := c.share.reserve(MessageCost, deadline, c.wake)
		if errors.Is(err, errInterrupted) {
			continue
		}
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.reserved = true
		c.mu.Unlock()
		return nil
	}
}

// add notes bytes that were received.
func (c *Conn) add(n int) {
	now := time.Now()
	c.mu.Lock()
	isFirst, isCounted := c.received == 0, c.reserved
	if isFirst {
		c.begunAt = now
	}
	c.received += Bytes(n)
	c.mu.Unlock()
	switch {
	case isFirst:
		c.share.begin(PhaseReceiving, now)
	case isCounted:
		c.share.progress(now)
	}
}

// readError returns the error that ends the connection if a time limit is behind err, else err.
func (c *Conn) readError(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if c.share.closingReason() != "" {
		return errClosing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received > 0 && !time.Now().Before(c.begunAt.Add(messageTimeout)) {
		return errSlowMessage
	}
	return err
}

// awaitMessage notes that the next message is to be received, unless the one before was
// interrupted. isBegun is set if its first bytes were read with the one before.
func (c *Conn) awaitMessage(isBegun bool) {
	now := time.Now()
	c.mu.Lock()
	isNew := c.received == 0
	if isNew && isBegun {
		c.received, c.begunAt = 1, now
	}
	c.mu.Unlock()
	if isNew {
		c.share.release()
		c.share.begin(PhaseReceiving, now)
	}
}

// endMessage notes that the message is complete. What it reserved stays reserved.
func (c *Conn) endMessage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received, c.reserved = 0, false
}

// Write writes to the connection. It notes the progress of a counted reply.
func (c *Conn) Write(b []byte) (int, error) {
	if !c.sendsLarge {
		return c.Conn.Write(b)
	}
	written := 0
	for written < len(b) {
		n, err := c.Conn.Write(b[written:min(written+writeChunk, len(b))])
		written += n
		if err != nil {
			return written, err
		}
		c.share.progress(time.Now())
	}
	return written, nil
}

// Close closes the connection and gives its part of the budget back.
func (c *Conn) Close() error {
	c.share.end()
	return c.Conn.Close()
}
