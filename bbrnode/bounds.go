package bbrnode

import (
	"context"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/bluebellroute/bluebellroute/bbrbudget"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
)

// boundLogInterval is the interval at which each reason of a limit is logged at most.
const boundLogInterval = time.Second

// limitRecorder counts what the limits of an instance did, and logs it at a bounded rate.
type limitRecorder struct {
	log     logrus.FieldLogger
	metrics *metrics

	mu sync.Mutex
	// loggedAt is when a reason was last logged, unlogged how often it has occurred since.
	loggedAt map[bbrbudget.Reason]time.Time
	unlogged map[bbrbudget.Reason]int
}

func newLimitRecorder(log logrus.FieldLogger, m *metrics) *limitRecorder {
	return &limitRecorder{log: log, metrics: m, loggedAt: map[bbrbudget.Reason]time.Time{}, unlogged: map[bbrbudget.Reason]int{}}
}

// RecordLimit implements bbrbudget.Recorder.
func (l *limitRecorder) RecordLimit(reason bbrbudget.Reason) {
	l.metrics.limits.WithLabelValues(string(reason)).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlogged[reason]++
	now := time.Now()
	if now.Sub(l.loggedAt[reason]) < boundLogInterval {
		return
	}
	l.log.WithFields(logrus.Fields{"reason": reason, "count": l.unlogged[reason]}).Warn("refused or closed beyond a limit")
	l.loggedAt[reason] = now
	l.unlogged[reason] = 0
}

// limitRuntime sets the runtime's memory limit, unless the environment has set one. The runtime
// then collects garbage in time.
func limitRuntime(l bbrbudget.Limits) {
	if l.Runtime > 0 && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(l.Runtime))
	}
}

// newCaller returns the caller of an accepted connection, whose messages, replies and session
// are bounded.
func (n *Node) newCaller(c net.Conn) bbrmessage.CallerConn {
	started := func() {}
	if gated, ok := c.(*bbrbudget.GatedConn); ok {
		n.platform.ConfigureCallerConn(gated.Conn)
		started = gated.MarkUsed
	}
	conn := n.budget.NewConn(c)
	return bbrbudget.NewCaller(conn, n.platform.NewCallerConn(conn), started)
}

// refuseCaller tells a caller beyond the limit of connections that it is refused.
func (n *Node) refuseCaller(c net.Conn) {
	_ = n.platform.NewCallerConn(c).Send(bbrmessage.Reply{Failure: &bbrmessage.Failure{
		Class: bbrmessage.ClassTooManyConnections, Text: "the instance has no room for more connections",
	}})
}

// receiveBuffer is the size of the kernel's buffer for what a caller sends and the instance has
// not read, in bytes; the kernel doubles it. It counts for the process's memory on some platforms.
const receiveBuffer = 16 << 10

// listenForCallers listens on an address with a small receive buffer, which the connections
// inherit. It is best effort.
func listenForCallers(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	return config.Listen(ctx, "tcp", address)
}

const (
	// maxHeaderBytes bounds the header of an HTTP request.
	maxHeaderBytes = 16 << 10
	// headerTimeout is how long the header of an HTTP request may take.
	headerTimeout = 2 * time.Second
	// checkTimeout bounds a request for readiness or metrics and its response. checkIdleTimeout is
	// how long a connection may be without one.
	checkTimeout     = 10 * time.Second
	checkIdleTimeout = 30 * time.Second
	// peerReadTimeout and peerWriteTimeout bound the request of another instance and its
	// response; a statement runs in between.
	peerReadTimeout  = 30 * time.Second
	peerWriteTimeout = 60 * time.Second
	// peerIdleTimeout is longer than other instances keep idle connections, so that it does not
	// close one at which a request arrives.
	peerIdleTimeout = 3 * time.Minute
)

// endpoint is an HTTP server on an address.
type endpoint struct {
	address string
	handler http.Handler
	// connections bounds the open connections.
	connections int
	// readTimeout, writeTimeout and idleTimeout are those of the server.
	readTimeout, writeTimeout, idleTimeout time.Duration
	// keepsUsed is set if connections that have served a request are not closed for new ones.
	keepsUsed bool
}

// probeEndpoint returns the endpoint of checks or metrics.
func (n *Node) probeEndpoint(address string, h http.Handler) endpoint {
	return endpoint{
		address: address, handler: h, connections: n.limits.ProbeConnections,
		readTimeout: checkTimeout, writeTimeout: checkTimeout, idleTimeout: checkIdleTimeout,
	}
}

// peerEndpoint returns the endpoint of other instances.
func (n *Node) peerEndpoint(address string, h http.Handler) endpoint {
	return endpoint{
		address: address, handler: h, connections: n.limits.PeerConnections,
		readTimeout: peerReadTimeout, writeTimeout: peerWriteTimeout, idleTimeout: peerIdleTimeout, keepsUsed: true,
	}
}

// server returns the HTTP server of an endpoint.
func (e endpoint) server() *http.Server {
	s := &http.Server{
		Handler: e.handler, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: e.readTimeout, WriteTimeout: e.writeTimeout, IdleTimeout: e.idleTimeout,
	}
	if e.keepsUsed {
		s.ConnState = markUsed
	}
	return s
}

// markUsed marks a connection as used once a request was served.
func markUsed(c net.Conn, state http.ConnState) {
	if gated, ok := c.(*bbrbudget.GatedConn); ok && state == http.StateIdle {
		gated.MarkUsed()
	}
}
