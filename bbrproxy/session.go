package bbrproxy

import (
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrtoken"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Transaction states of the protocol.
const (
	txIdle   byte = 'I'
	txActive byte = 'T'
	txFailed byte = 'E'
)

const (
	// holdLimit is the size of an answer up to which it is kept back until it
	// is known to be good, in bytes.
	holdLimit = 256 << 10
	// keepBuffer is the size of a buffer that a session keeps, in bytes.
	keepBuffer = 64 << 10
	// callerWriteTimeout bounds a write to a caller that takes nothing.
	callerWriteTimeout = time.Minute
)

// session is one caller's connection.
type session struct {
	srv    *Server
	conn   net.Conn
	be     *pgproto3.Backend
	id     uint32
	secret []byte

	caller  bbrtype.CallerName
	tenant  bbrtype.TenantName
	route   bbrtype.RouteName
	counted bool

	// out holds encoded messages for the caller that are not written yet.
	out []byte
	// writeBy is the present deadline of writes.
	writeBy time.Time

	token       bbrtoken.Token
	tokenSentAs bbrtoken.Token
	// lost is a position that was lost and that the caller is to be told of.
	lost bbrtoken.Token
	// seenAt is when the token's position was last raised.
	seenAt bbrtype.Mono
	// positionKnown is set once the session has a token, its own or one made
	// from the primary's position.
	positionKnown bool
	requestKey    bbrtype.RequestKey
	settings      map[string]string
	digest        string
	prepared      map[string]*prepared

	work work

	tx *transaction
	// aborted is set after a transaction was lost, until the caller ends it.
	aborted bool
	batches uint64

	mu      sync.Mutex
	running running
	// waiting is what the session waits for the caller with.
	waiting wait
}

// wait is the state of a session while it waits for a message of the caller.
type wait string

// The states. With waitIdle the session is between transactions, with waitInTransaction
// between two requests of one, and with waitInRequest a request has begun to arrive.
const (
	waitNone          wait = ""
	waitIdle          wait = "idle"
	waitInTransaction wait = "inTransaction"
	waitInRequest     wait = "inRequest"
)

// running is what a cancel request needs to know.
type running struct {
	address   string
	conn      *bbrpool.Conn
	cancelled bool
}

func newSession(s *Server, conn net.Conn) *session {
	c := &session{srv: s, settings: map[string]string{}, prepared: map[string]*prepared{}}
	c.attach(conn)
	return c
}

// attach makes the session talk over a connection.
func (c *session) attach(conn net.Conn) {
	c.conn = conn
	c.writeBy = time.Time{}
	c.be = pgproto3.NewBackend(conn, conn)
	c.be.SetMaxBodyLen(c.srv.opts.MaxMessage)
}

func (c *session) log() logrus.FieldLogger {
	return c.srv.deps.Log.WithFields(logrus.Fields{"session": c.id, "caller": c.caller, "route": c.route, "request": c.batches})
}

// send encodes a message for the caller.
func (c *session) send(m pgproto3.BackendMessage) {
	b, err := m.Encode(c.out)
	if err != nil {
		// Only a message beyond the protocol's size can't be encoded.
		c.log().WithError(err).Error("message not encoded")
		return
	}
	c.out = b
}

// flush writes what is pending.
func (c *session) flush() error {
	if len(c.out) == 0 {
		return nil
	}
	if now := time.Now(); c.writeBy.Sub(now) < callerWriteTimeout/2 {
		c.writeBy = now.Add(callerWriteTimeout)
		if err := c.conn.SetWriteDeadline(c.writeBy); err != nil {
			return errors.Wrap(err, "set the deadline of a write")
		}
	}
	_, err := c.conn.Write(c.out)
	if cap(c.out) > keepBuffer {
		c.out = nil
	}
	c.out = c.out[:0]
	return errors.Wrap(err, "write to the caller")
}

// sendError encodes an error for the caller.
func (c *session) sendError(e *bbroutcome.Error) {
	c.send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.SQLState(), Message: e.Message, Hint: e.Hint(),
		Detail: "outcome: " + string(bbroutcome.OutcomeOf(e.Reason)),
	})
}

// fatal tells the caller why the connection ends.
func (c *session) fatal(e *bbroutcome.Error) {
	c.send(&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: e.SQLState(), Message: e.Message, Hint: e.Hint(),
		Detail: "outcome: " + string(bbroutcome.OutcomeOf(e.Reason)),
	})
	_ = c.flush()
}

// run serves requests until the caller leaves or the session has to end.
func (c *session) run() {
	for {
		b, err := c.readBatch()
		if err != nil {
			c.endReading(err)
			return
		}
		c.batches++
		if err := c.serve(b); err != nil {
			if !errors.Is(err, errEnded) {
				c.log().WithError(err).Debug("session ended")
			}
			return
		}
	}
}

// endReading tells the caller why no more requests are read, if it can be told.
func (c *session) endReading(err error) {
	var e *bbroutcome.Error
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	switch {
	case c.srv.draining.Load() && bbrpool.IsTimeout(err):
		c.fatal(c.stopError())
	case errors.As(err, &e):
		c.fatal(e)
	case errors.As(err, &tooLong):
		c.fatal(bbroutcome.New(bbroutcome.ReasonTooLarge, "a message is longer than %d bytes", c.srv.opts.MaxMessage))
	}
}

// stopError tells the caller that the session ends because the instance stops.
func (c *session) stopError() *bbroutcome.Error {
	if c.tx != nil {
		return bbroutcome.New(bbroutcome.ReasonDraining, "the instance is stopping; the transaction is rolled back")
	}
	return bbroutcome.New(bbroutcome.ReasonDraining, "the instance is stopping")
}

// receive reads a message. A session whose wait a planned stop ends gets an error for
// which bbrpool.IsTimeout holds.
func (c *session) receive(w wait) (pgproto3.FrontendMessage, error) {
	c.setWaiting(w)
	msg, err := c.be.Receive()
	c.setWaiting(waitNone)
	return msg, errors.Wrap(err, "read from the caller")
}

// setWaiting notes what the session waits with.
func (c *session) setWaiting(w wait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = w
	c.interruptIfStopped()
}

// wakeForDrain ends the wait of a session that a planned stop ends.
func (c *session) wakeForDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interruptIfStopped()
}

// interruptIfStopped interrupts a wait that a planned stop ends. The caller holds mu.
func (c *session) interruptIfStopped() {
	if c.srv.endsSession(c.waiting) {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// close gives back what the session holds.
func (c *session) close() {
	if c.tx != nil {
		c.tx.resume()
		c.dropTransaction()
	}
}

// begin notes the connection that runs the session's statement, so that it can
// be cancelled.
func (c *session) begin(address string, conn *bbrpool.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = running{address: address, conn: conn}
}

// end forgets the connection. One that a cancel request was sent for is not
// used again: the request may reach it late.
func (c *session) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running.cancelled && c.running.conn != nil {
		c.running.conn.Taint()
	}
	c.running = running{}
}

// cancelRunning sends a cancel request for the session's statement, if one
// runs.
func (c *session) cancelRunning() {
	c.mu.Lock()
	r := c.running
	if r.conn == nil {
		c.mu.Unlock()
		return
	}
	c.running.cancelled = true
	c.mu.Unlock()
	if err := bbrpool.Cancel(c.srv.ctx, r.address, r.conn.PID, r.conn.Secret); err != nil {
		c.log().WithError(err).Warn("cancel request failed")
	}
}
