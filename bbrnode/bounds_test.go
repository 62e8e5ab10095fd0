package bbrnode

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/bluebellroute/bluebellroute/bbrbudget"
)

// TestReceiveBufferOfCallers guards against bytes that a crowd has sent and that wait in the
// kernel because there is no room for them.
func TestReceiveBufferOfCallers(t *testing.T) {
	is := is.New(t)
	l, err := listenForCallers(context.Background(), "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	size := 0
	is.NoErr(raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }))
	is.NoErr(err)
	is.True(size <= 2*receiveBuffer)
}

// TestLimitsAreLoggedAtABoundedRate checks that a crowd does not fill the log.
func TestLimitsAreLoggedAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		l := newLimitRecorder(log, newMetrics())
		for range 1000 {
			l.RecordLimit(bbrbudget.ReasonConnections)
		}
		l.RecordLimit(bbrbudget.ReasonStalled)
		is.Equal(strings.Count(out.String(), "reason=connections"), 1)
		is.Equal(strings.Count(out.String(), "reason=stalled"), 1)
		time.Sleep(boundLogInterval)
		l.RecordLimit(bbrbudget.ReasonConnections)
		is.True(strings.Contains(out.String(), "count=1000 reason=connections"))
	})
}
