package bbrlink

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Conn is a connection to a member that one statement or transaction has to
// itself until it is given back.
type Conn struct {
	group  *Group
	member bbrdirectory.Member
	wire   bbrmessage.MemberConn
	// values and prepared are what the member holds for this connection.
	values   map[string]string
	prepared map[string]bbrmessage.Prepare
	broken   bool
	// detached is set while the connection holds no place at its member: the answer
	// that it waits for counts as lost.
	detached bool
	// resting is set while a transaction keeps the connection and nothing is at work
	// for it.
	resting  bool
	idleFrom bbrtype.Mono
}

// Member returns the member at the other end.
func (c *Conn) Member() bbrdirectory.Member { return c.member }

// Texts returns the dialect's words for the system's own statements.
func (c *Conn) Texts() bbrmessage.Texts { return c.wire.Texts() }

// Session is what a caller's session holds: values, and prepared statements by
// the name under which members know them.
type Session struct {
	Values   map[string]string
	Prepared map[string]bbrmessage.Prepare
}

// Prelude returns the statements that give the connection a session's values,
// and the prepared statement that is to be executed, if it lacks it.
func (c *Conn) Prelude(s *Session, execute string) []bbrmessage.Guarded {
	var out []bbrmessage.Guarded
	add := func(text string) {
		out = append(out, bbrmessage.Guarded{ID: bbrmessage.OwnID, Text: text})
	}
	if c.hasForeignValues(s) {
		add(c.Texts().Reset())
		c.values, c.prepared = nil, nil
	}
	for name, value := range s.Values {
		if c.values[name] == value && hasKey(c.values, name) {
			continue
		}
		add(c.Texts().Set(name, value))
		if c.values == nil {
			c.values = map[string]string{}
		}
		c.values[name] = value
	}
	if p, ok := s.Prepared[execute]; ok && c.prepared[p.Name] != p {
		add(c.Texts().Prepare(p))
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

// hasForeignValues reports whether the connection holds values that the session
// does not have.
func (c *Conn) hasForeignValues(s *Session) bool {
	for name := range c.values {
		if !hasKey(s.Values, name) {
			return true
		}
	}
	return false
}

// errPrelude is returned if a member refused a statement of the system's own.
var errPrelude = errors.New("the member refused to set up the connection")

// Run sends a statement behind its prelude and returns the reply to it. After an
// error the connection is broken, and whether the statement has run is unknown.
func (c *Conn) Run(deadline time.Time, prelude []bbrmessage.Guarded, g bbrmessage.Guarded) (bbrmessage.Reply, error) {
	c.group.wake(c)
	sentAt := c.group.Clock.Now()
	c.group.sent(c.member.ID, sentAt)
	defer c.group.answered(c.member.ID, sentAt)
	stuck := time.AfterFunc(c.group.Patience(c.member.ID), func() { c.group.detach(c) })
	defer func() {
		stuck.Stop()
		c.group.attach(c)
	}()
	if err := c.wire.Send(deadline, append(prelude, g)...); err != nil {
		c.broken = true
		return bbrmessage.Reply{}, errors.Wrapf(err, "send to member %s", c.member.ID)
	}
	for range prelude {
		r, err := c.wire.Receive(deadline)
		if err == nil && r.Failure != nil {
			err = errors.Wrap(errPrelude, r.Failure.Error())
		}
		if err != nil {
			c.broken = true
			return bbrmessage.Reply{}, errors.Wrapf(err, "member %s", c.member.ID)
		}
	}
	r, err := c.wire.Receive(deadline)
	if err != nil {
		c.broken = true
		return bbrmessage.Reply{}, errors.Wrapf(err, "reply of member %s", c.member.ID)
	}
	return r, nil
}

// RunText runs a statement of the system's own.
func (c *Conn) RunText(deadline time.Time, text string) (bbrmessage.Reply, error) {
	return c.Run(deadline, nil, bbrmessage.Guarded{ID: bbrmessage.OwnID, Text: text})
}

// Look runs one of the statements that are answered by a look.
func (c *Conn) Look(deadline time.Time, text string) (bbrmessage.Look, error) {
	r, err := c.RunText(deadline, text)
	if err != nil {
		return bbrmessage.Look{}, err
	}
	if r.Failure != nil {
		return bbrmessage.Look{}, errors.WithStack(r.Failure)
	}
	if len(r.Rows) != 1 {
		return bbrmessage.Look{}, errors.Errorf("member %s answered %d rows to a look", c.member.ID, len(r.Rows))
	}
	return c.Texts().ParseLook(r.Rows[0])
}

// Rest gives up the connection's place at its member until the next statement of
// the transaction that keeps it.
func (c *Conn) Rest() { c.group.rest(c) }

// Break makes the connection unfit for further use.
func (c *Conn) Break() { c.broken = true }

// ForgetPrepared drops what is known of prepared statements, after the member
// said that it does not know one.
func (c *Conn) ForgetPrepared() { c.prepared = nil }
