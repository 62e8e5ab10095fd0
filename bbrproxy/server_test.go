package bbrproxy

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// scarce is a listener that has no file descriptor at first.
type scarce struct{ failures int }

// Accept implements net.Listener.
func (l *scarce) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *scarce) Close() error { return nil }

// Addr implements net.Listener.
func (l *scarce) Addr() net.Addr { return &net.TCPAddr{} }

func TestServingOutlivesAWantOfDescriptors(t *testing.T) {
	is := is.New(t)
	log, hook := logtest.NewNullLogger()
	s, err := NewServer(Deps{Log: log}, Options{})
	is.NoErr(err)
	l := &scarce{failures: 2}
	is.NoErr(s.Serve(l))
	is.Equal(l.failures, 0)
	is.Equal(len(hook.AllEntries()), 2)
	is.Equal(hook.LastEntry().Level, logrus.WarnLevel)
}
