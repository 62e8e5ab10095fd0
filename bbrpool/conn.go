package bbrpool

import (
	"net"
	"os"
	"syscall"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// preparedLimit bounds the statements prepared on one connection.
	preparedLimit = 256
	// writeTimeout bounds a write to a member that takes nothing. The deadline
	// is set anew when writeRefresh of it has passed.
	writeTimeout = 12 * time.Second
	writeRefresh = 2 * time.Second
)

// SettingsUnknown is unlike the digest of any settings.
const SettingsUnknown = "unknown"

// Conn is a connection to a member. It is used by one goroutine at a time.
type Conn struct {
	net net.Conn
	fe  *pgproto3.Frontend
	// raw is the socket below net, nil if there is none.
	raw syscall.RawConn

	// PID and Secret let a statement be cancelled.
	PID    uint32
	Secret []byte
	// Settings is a digest of the session settings in force on the member's
	// side, or SettingsUnknown.
	Settings string

	prepared *lru.LRU[string, struct{}]
	evicted  []string
	bornAt   bbrtype.Mono
	usedAt   bbrtype.Mono
	tainted  bool
	// tenant is whose statement is at work, counted set while it counts.
	tenant  bbrtype.TenantName
	counted bool
	// writeBy is the present deadline of writes.
	writeBy time.Time
}

func newConn(n net.Conn, fe *pgproto3.Frontend, pid uint32, secret []byte, now bbrtype.Mono) *Conn {
	c := &Conn{net: n, fe: fe, PID: pid, Secret: secret, bornAt: now, usedAt: now}
	// The size is a positive constant: there is no error.
	c.prepared, _ = lru.NewLRU(preparedLimit, func(name string, _ struct{}) {
		c.evicted = append(c.evicted, name)
	})
	return c
}

// Taint keeps the connection from being used again: something on it may be
// outstanding.
func (c *Conn) Taint() { c.tainted = true }

// IsPrepared reports whether a statement is prepared, and marks it as used.
func (c *Conn) IsPrepared(name string) bool {
	_, ok := c.prepared.Get(name)
	return ok
}

// NotePrepared notes that a statement is prepared. It returns the names that
// have to be closed to make room.
func (c *Conn) NotePrepared(name string) []string {
	c.evicted = c.evicted[:0]
	c.prepared.Add(name, struct{}{})
	return c.evicted
}

// ForgetPrepared notes that a statement is not prepared after all.
func (c *Conn) ForgetPrepared(name string) {
	c.prepared.Remove(name)
	c.evicted = c.evicted[:0]
}

// Write sends encoded messages.
func (c *Conn) Write(b []byte) error {
	if now := time.Now(); c.writeBy.Sub(now) < writeTimeout-writeRefresh {
		c.writeBy = now.Add(writeTimeout)
		if err := c.net.SetWriteDeadline(c.writeBy); err != nil {
			return errors.Wrap(err, "set the deadline of a write")
		}
	}
	_, err := c.net.Write(b)
	return errors.Wrap(err, "send to the member")
}

// Arm sets the time by which messages have to come.
func (c *Conn) Arm(patience time.Duration) error {
	return errors.Wrap(c.net.SetReadDeadline(time.Now().Add(patience)), "set the deadline of a read")
}

// Receive reads a message. It returns an error for which IsTimeout holds if
// none came by the time that Arm has set; reading may go on after it. The
// message is valid until the next call.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	msg, err := c.fe.Receive()
	return msg, errors.Wrap(err, "read from the member")
}

// IsTimeout reports whether a read only took too long.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// interrupt makes a read that waits return an error for which IsTimeout holds.
func (c *Conn) interrupt() { _ = c.net.SetReadDeadline(time.Unix(1, 0)) }

// Close ends the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// MemberError is an error that a member reported.
type MemberError struct {
	Code     string
	Message  string
	Severity string
}

// NewMemberError copies an error out of a message.
func NewMemberError(m *pgproto3.ErrorResponse) *MemberError {
	return &MemberError{Code: m.Code, Message: m.Message, Severity: m.Severity}
}

func (e *MemberError) Error() string { return e.Code + ": " + e.Message }
