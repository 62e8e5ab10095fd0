package bbrbudget

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
)

// Caller is a caller's connection whose messages, replies and session state are bounded.
type Caller struct {
	bbrmessage.CallerConn
	conn *Conn
	// started is called once the session has started.
	started func()
	// inTransaction is set if the last reply told so.
	inTransaction bool
	// ended is why the connection takes no more messages.
	ended error
}

// NewCaller returns the caller of a connection of the budget; inner speaks its dialect over
// conn. started is called once the session has started.
func NewCaller(conn *Conn, inner bbrmessage.CallerConn, started func()) *Caller {
	return &Caller{CallerConn: inner, conn: conn, started: started}
}

// Receive returns the next request. A connection that is to be closed gets a failure, and ends
// with the next call.
func (c *Caller) Receive() (bbrmessage.Request, error) {
	if c.ended != nil {
		return nil, c.ended
	}
	c.conn.awaitMessage(!c.IsIdle())
	if c.conn.share.closingReason() != "" {
		return nil, c.end(errClosing)
	}
	req, err := c.CallerConn.Receive()
	if errors.Is(err, errClosing) || errors.Is(err, errSlowMessage) {
		return nil, c.end(err)
	}
	if err != nil && !errors.As(err, new(*bbrmessage.Failure)) {
		return req, err
	}
	c.conn.endMessage()
	if c.conn.share.work() != "" {
		return nil, c.end(errClosing)
	}
	if failure := c.admit(req); failure != nil {
		return nil, failure
	}
	return req, err
}

// end lets the connection end. It returns the failure to tell the caller, whose message has not
// run.
func (c *Caller) end(cause error) error {
	if errors.Is(cause, errSlowMessage) {
		c.conn.share.budget.recorder.RecordLimit(ReasonSlowMessage)
	}
	c.ended = cause
	return busy(cause.Error())
}

func busy(text string) *bbrmessage.Failure {
	return &bbrmessage.Failure{Class: bbrmessage.ClassBusy, Text: text}
}

// admit holds memory for a statement whose session has much state, because members are told
// all of it. The room for a large message covers that. Outside of a transaction a statement is
// refused if there is no room in time.
func (c *Caller) admit(req bbrmessage.Request) error {
	if _, ok := req.(bbrmessage.Statement); !ok {
		return nil
	}
	held, kept := c.conn.share.usage()
	if held > 0 || kept <= SmallMessage {
		return nil
	}
	size := replyCopies * kept
	if c.inTransaction {
		c.conn.share.take(size)
		return nil
	}
	if err := c.conn.share.reserve(size, time.Now().Add(roomTimeout), nil); err != nil {
		c.conn.share.budget.recorder.RecordLimit(ReasonNoRoom)
		return busy("there is no room for the statement")
	}
	return nil
}

// Send writes an answer. A large one is counted until it is written.
func (c *Caller) Send(r bbrmessage.Reply) error {
	c.inTransaction = r.State != bbrmessage.StateIdle && r.State != ""
	size := replySize(r)
	if size > SmallMessage {
		c.conn.share.release()
		c.conn.share.begin(PhaseSending, time.Now())
		c.conn.share.take(size * replyCopies)
		c.conn.sendsLarge = true
		defer c.endLargeReply()
	}
	err := c.CallerConn.Send(r)
	if err == nil && c.started != nil && r.Failure == nil {
		c.started()
		c.started = nil
	}
	return err
}

// endLargeReply gives back what was held for a large reply.
func (c *Caller) endLargeReply() {
	c.conn.sendsLarge = false
	c.conn.share.work()
	c.conn.share.release()
}

func replySize(r bbrmessage.Reply) Bytes {
	size := len(r.Signature)
	for _, row := range r.Rows {
		size += len(row)
	}
	return Bytes(size)
}

// Keep counts a change of what the session keeps: entries and the bytes of their texts. It
// returns a failure if the session may not keep it.
func (c *Caller) Keep(entries, bytes int) *bbrmessage.Failure {
	change := Bytes(entries*entryCost + bytes)
	for end := time.Now().Add(roomTimeout); ; time.Sleep(roomTimeout / 50) {
		switch reason := c.conn.share.keep(change); reason {
		case "":
			return nil
		case ReasonSessionState:
			c.conn.share.budget.recorder.RecordLimit(reason)
			return &bbrmessage.Failure{Class: bbrmessage.ClassTooLarge, Text: "the session keeps too many values or prepared statements"}
		}
		if time.Now().After(end) {
			c.conn.share.budget.recorder.RecordLimit(ReasonNoRoom)
			return busy("there is no room for more values or prepared statements")
		}
	}
}

// Close ends the connection.
func (c *Caller) Close() error {
	c.conn.share.end()
	return c.CallerConn.Close()
}
