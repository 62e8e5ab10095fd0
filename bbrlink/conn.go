package bbrlink

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Conn is a connection to a member. One statement or transaction has exclusive use of
// it until Release returns it to the pool.
type Conn struct {
	group  *Group
	member bbrdirectory.Member
	conn   bbrmessage.MemberConn
	// tenant is the tenant that was named when the connection was opened. Only its
	// statements run on the connection.
	tenant bbrtype.TenantName
	// values and prepared are the session values and prepared statements that the
	// member has stored for this connection.
	values   map[string]string
	prepared map[string]bbrmessage.Prepare
	broken   bool
	// replyOverdue is set while the reply in flight is later than the member's reply
	// timeout. Meanwhile the connection occupies no slot at its member.
	replyOverdue bool
	// idleInTx is set while a transaction keeps the connection but has no statement
	// in flight. Meanwhile the connection occupies no slot at its member.
	idleInTx  bool
	idleSince bbrtype.Mono
	// carried is what no further reply may repeat.
	carried replySet
	// newest is the newest log position in the replies that the connection has carried.
	// failedAt is that at the last failure, if there was one.
	newest, failedAt bbrmessage.LogPosition
	hasFailed        bool
	// setupBytes is the size of the statements that set up the member's session.
	setupBytes int
	begun      begunReplies
	// state is the transaction state at the member, empty for a new connection.
	state bbrmessage.TransactionState
	// dialTime is how long it took to open the connection, 0 if it was pooled.
	dialTime time.Duration
}

// DialTime returns how long opening the connection took, 0 if it came from the pool.
func (c *Conn) DialTime() time.Duration { return c.dialTime }

// Member returns the member at the other end of the connection.
func (c *Conn) Member() bbrdirectory.Member { return c.member }

// Dialect returns the dialect of the connection's member, which builds the instance's
// own statements.
func (c *Conn) Dialect() bbrmessage.Dialect { return c.conn.Dialect() }

// SessionState is the part of a caller's session that must be set up on a connection
// before a statement of the session runs there. Prepared is keyed by the caller's
// name of a prepared statement; Prepare.Name is its name at members.
type SessionState struct {
	Values   map[string]string
	Prepared map[string]bbrmessage.Prepare
}

// SetupStatements returns the statements to run before a session's next statement.
// They set missing session values and prepare the statement named execute if the
// connection lacks it. SetupStatements assumes that they will succeed and updates the
// connection's record; if one fails, Run marks the connection as broken.
func (c *Conn) SetupStatements(s *SessionState, execute string) []bbrmessage.MemberStatement {
	var out []bbrmessage.MemberStatement
	add := func(text string) {
		c.setupBytes += len(text)
		out = append(out, bbrmessage.MemberStatement{ID: bbrmessage.InternalRequestID, Text: text, Kind: bbrmessage.KindSetup})
	}
	if c.hasStaleValues(s) {
		add(c.Dialect().ResetSession())
		c.values, c.prepared = nil, nil
	}
	for name, value := range s.Values {
		if c.values[name] == value && hasKey(c.values, name) {
			continue
		}
		add(c.Dialect().Set(name, value))
		if c.values == nil {
			c.values = map[string]string{}
		}
		c.values[name] = value
	}
	if p, ok := s.Prepared[execute]; ok && c.prepared[p.Name] != p {
		add(c.Dialect().Prepare(p))
		if c.prepared == nil {
			c.prepared = map[string]bbrmessage.Prepare{}
		}
		c.prepared[p.Name] = p
	}
	return out
}

func hasKey(m map[string]string, key string) bool {
	_, ok := m[key]
	return ok
}

// hasStaleValues reports whether a value is set on the connection that the session
// has not set.
func (c *Conn) hasStaleValues(s *SessionState) bool {
	for name := range c.values {
		if !hasKey(s.Values, name) {
			return true
		}
	}
	return false
}

// errSetup is returned if a member rejects a setup statement. Its text says "refused"
// for rejected.
var errSetup = errors.New("the member refused to set up the connection")

// Run sends a statement after its setup statements and returns the reply to it. After
// an error the connection is marked as broken, and it is unknown whether the
// statement has run.
func (c *Conn) Run(deadline time.Time, setup []bbrmessage.MemberStatement, g bbrmessage.MemberStatement) (bbrmessage.Reply, error) {
	c.group.endIdleInTx(c)
	sentAt := c.group.Clock.Now()
	c.group.addInFlight(c.member.ID, sentAt)
	defer c.group.removeInFlight(c.member.ID, sentAt)
	overdueTimer := time.AfterFunc(c.group.ReplyTimeout(c.member.ID), func() { c.group.markOverdue(c) })
	defer func() {
		overdueTimer.Stop()
		c.group.clearOverdue(c)
	}()
	c.countBegins(setup, g)
	if err := c.conn.Send(deadline, append(setup, g)...); err != nil {
		c.broken = true
		return bbrmessage.Reply{}, errors.Wrapf(err, "send to member %s", c.member.ID)
	}
	for _, s := range setup {
		r, err := c.receive(deadline, s)
		if err == nil && r.Failure != nil {
			err = errors.Wrap(errSetup, r.Failure.Error())
		}
		if err != nil {
			c.broken = true
			return bbrmessage.Reply{}, errors.Wrapf(err, "member %s", c.member.ID)
		}
	}
	r, err := c.receive(deadline, g)
	if err != nil {
		c.broken = true
		return bbrmessage.Reply{}, errors.Wrapf(err, "reply of member %s", c.member.ID)
	}
	c.group.recordPosition(c.member.ID, r.Position)
	if r.Failure != nil && len(setup) > 0 && !isOfData(r.Failure.Class) {
		c.broken = true
	}
	return r, nil
}

// countBegins counts the statements whose replies look like that to a begin.
func (c *Conn) countBegins(setup []bbrmessage.MemberStatement, s bbrmessage.MemberStatement) {
	switch {
	case s.Kind == bbrmessage.KindBegin:
		c.begun.send(1)
	case c.transactionState() != bbrmessage.StateIdle && len(setup) > 0:
		c.begun.send(len(setup))
	}
}

// Rollback rolls back the transaction that is open on the connection.
func (c *Conn) Rollback(deadline time.Time) (bbrmessage.Reply, error) {
	return c.runInternal(deadline, bbrmessage.KindRollback, c.Dialect().Rollback())
}

// runInternal runs a statement that the instance issues itself.
func (c *Conn) runInternal(deadline time.Time, kind bbrmessage.StatementKind, text string) (bbrmessage.Reply, error) {
	return c.Run(deadline, nil, bbrmessage.MemberStatement{ID: bbrmessage.InternalRequestID, Text: text, Kind: kind})
}

// RunControl runs a control statement and returns the member's status from the reply.
func (c *Conn) RunControl(deadline time.Time, text string) (bbrmessage.MemberStatus, error) {
	r, err := c.runInternal(deadline, bbrmessage.KindControl, text)
	if err != nil {
		return bbrmessage.MemberStatus{}, err
	}
	if r.Failure != nil {
		return bbrmessage.MemberStatus{}, errors.WithStack(r.Failure)
	}
	if len(r.Rows) != 1 {
		return bbrmessage.MemberStatus{}, errors.Errorf("member %s answered %d rows to a look", c.member.ID, len(r.Rows))
	}
	return c.Dialect().ParseStatus(r.Rows[0])
}

// MarkIdleInTransaction releases the connection's slot at its member while the
// connection's transaction has no statement in flight. The next Run occupies a slot
// again.
func (c *Conn) MarkIdleInTransaction() { c.group.beginIdleInTx(c) }

// MarkBroken marks the connection as broken, so that Release closes it.
func (c *Conn) MarkBroken() { c.broken = true }

// ResetPrepared drops the record of the connection's prepared statements, after the
// member reported an unknown prepared statement.
func (c *Conn) ResetPrepared() { c.prepared = nil }
