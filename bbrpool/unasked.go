package bbrpool

import (
	"crypto/tls"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// ErrUnasked tells that a member sent a message that answers nothing. What comes after it
// can't be assigned to a statement, so its connection is of no use.
var ErrUnasked = errors.New("the member sent a message that answers nothing")

// unaskedPatience bounds the wait for the rest of a message that has begun to arrive.
const unaskedPatience = 100 * time.Millisecond

// CheckQuiet reads what has arrived on a connection on which nothing is outstanding. It
// returns an error if that is anything but messages that a member may send at any time. It
// has to be called before anything is sent, since a later check can't tell such a message
// from an answer.
func (c *Conn) CheckQuiet() error {
	for {
		msg, err := c.receiveUnasked()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case nil:
			return nil
		case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		case *pgproto3.ErrorResponse:
			return errors.Wrapf(ErrUnasked, "%v", NewMemberError(m))
		default:
			return errors.Wrapf(ErrUnasked, "%T", m)
		}
	}
}

// receiveUnasked reads a message that has arrived, or has begun to. It returns nil if there
// is none.
func (c *Conn) receiveUnasked() (pgproto3.BackendMessage, error) {
	patience := unaskedPatience
	if c.fe.ReadBufferLen() == 0 && !c.socketHasUnread() {
		if _, ok := c.net.(*tls.Conn); !ok {
			return nil, nil
		}
		// Records that TLS has read already are returned after the deadline, too.
		patience = -unaskedPatience
	}
	if err := c.Arm(patience); err != nil {
		return nil, err
	}
	msg, err := c.Receive()
	if IsTimeout(err) && patience < 0 && c.fe.ReadBufferLen() == 0 {
		return nil, nil
	}
	return msg, err
}

// socketHasUnread reports whether the socket holds bytes or has ended. It doesn't wait.
func (c *Conn) socketHasUnread() bool {
	if c.raw == nil {
		return false
	}
	var b [1]byte
	var err error
	cerr := c.raw.Control(func(fd uintptr) {
		for {
			if _, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); err != unix.EINTR {
				return
			}
		}
	})
	return cerr != nil || err != unix.EAGAIN
}

// logUnasked logs that a connection is closed because of what the member sent on it. That
// it was closed by the member needs no line.
func (p *Pool) logUnasked(err error) {
	if p.opts.Log != nil && errors.Is(err, ErrUnasked) {
		p.opts.Log.WithError(err).WithFields(logrus.Fields{"group": p.opts.Ref.Group, "member": p.opts.Ref.Member}).
			Warn("connection closed before use")
	}
}
