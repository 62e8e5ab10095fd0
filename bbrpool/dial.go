package bbrpool

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bluebellroute/bluebellroute/bbrmetric"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 2 * time.Second
	// userTimeout is how long sent data may stay without acknowledgement.
	userTimeout = 4 * time.Second
	// Keepalive settings find a silent connection within about five seconds.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Endpoint is how a member is reached.
type Endpoint struct {
	Address  string
	Database string
	User     string
	Password string
	// DataCentre is the instance's own, which members are told.
	DataCentre string
	// TLS is nil for a connection in the clear.
	TLS *tls.Config
}

// Dialer makes connections to members.
type Dialer struct {
	Clock *bbrtype.Clock
	// Count wraps the function that opens connections. It may be nil.
	Count func(bbrmetric.DialFunc) bbrmetric.DialFunc
}

// Dial connects and authenticates. A *MemberError tells that the member
// answered and refused.
func (d *Dialer) Dial(ctx context.Context, e Endpoint) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	cfg, err := connConfig(e)
	if err != nil {
		return nil, err
	}
	var raw syscall.RawConn
	cfg.DialFunc = keepRaw(cfg.DialFunc, &raw)
	if d.Count != nil {
		cfg.DialFunc = pgconn.DialFunc(d.Count(bbrmetric.DialFunc(cfg.DialFunc)))
	}
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		var refused *pgconn.PgError
		if errors.As(err, &refused) {
			return nil, &MemberError{Code: refused.Code, Message: refused.Message, Severity: refused.Severity}
		}
		return nil, errors.Wrapf(err, "connect to %s", e.Address)
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, errors.Wrapf(err, "take over the connection to %s", e.Address)
	}
	c := newConn(h.Conn, h.Frontend, h.PID, h.SecretKey, d.Clock.Now())
	c.raw = raw
	return c, nil
}

// keepRaw wraps a function that opens connections. raw becomes the socket of the last one.
func keepRaw(dial pgconn.DialFunc, raw *syscall.RawConn) pgconn.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if s, ok := conn.(syscall.Conn); ok {
			if *raw, err = s.SyscallConn(); err != nil {
				return nil, errors.Wrap(err, "reach the socket")
			}
		}
		return conn, nil
	}
}

func connConfig(e Endpoint) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(e.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", e.Address)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, errors.Wrapf(err, "port of %q", e.Address)
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "make the settings of a connection")
	}
	dialer := &net.Dialer{
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	cfg.Host, cfg.Port = host, uint16(n)
	cfg.Database, cfg.User, cfg.Password = e.Database, e.User, e.Password
	cfg.DialFunc = dialer.DialContext
	cfg.Fallbacks = nil
	cfg.RuntimeParams = map[string]string{"application_name": "bluebellroute/" + e.DataCentre}
	if e.TLS != nil {
		cfg.TLSConfig = e.TLS.Clone()
		cfg.TLSConfig.ServerName = host
	}
	return cfg, nil
}

// setUserTimeout makes the system give up a connection whose data is not
// acknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var serr error
	err := c.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return errors.Wrap(err, "reach the socket")
	}
	return errors.Wrap(serr, "set TCP_USER_TIMEOUT")
}

// Cancel asks a member to cancel what a connection runs.
func Cancel(ctx context.Context, address string, pid uint32, secret []byte) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "connect to %s", address)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline of a cancel request")
	}
	b, err := (&pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode a cancel request")
	}
	if _, err := conn.Write(b); err != nil {
		return errors.Wrap(err, "send a cancel request")
	}
	// The member closes the connection once it has taken the request.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}
