// Package bbrsession serves callers: it keeps their sessions, sends each
// statement to a member that may serve it, and tells truthfully what became of
// it. It speaks bbrmessage; a dialect turns that into bytes.
//
// # Usage
//
//	s := bbrsession.New(deps)
//	err := s.Serve(ctx, caller)
//	…
//	s.CloseIdle()
package bbrsession

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// startupPatience bounds the wait for a caller's first message.
	startupPatience = 5 * time.Second
	// catalogPatience bounds the wait for the first configuration.
	catalogPatience = 1500 * time.Millisecond
	// catalogPoll is how often a caller that waits for it looks again.
	catalogPoll = 20 * time.Millisecond
)

// Recorder takes in how long operations took.
type Recorder interface {
	Observe(route bbrtype.RouteName, policy bbrcatalog.Policy, outcome string, took time.Duration)
}

// Deps are what sessions need.
type Deps struct {
	Catalog *bbrcatalog.Holder
	// Group returns the group of a name, nil if it is not known.
	Group  func(bbrtype.GroupName) *bbrlink.Group
	Clock  *bbrtype.Clock
	Log    logrus.FieldLogger
	Work   *errgroup.Group
	Record Recorder
}

// Server serves callers.
type Server struct {
	Deps
	closing atomic.Bool

	mu       sync.Mutex
	sessions map[*session]struct{}
}

// New returns a server without callers.
func New(deps Deps) *Server {
	return &Server{Deps: deps, sessions: map[*session]struct{}{}}
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// CloseIdle ends each session as soon as it is between two statements and in no
// transaction.
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	s.interrupt()
}

// EndTransactions rolls back transactions that are idle, and ends their sessions
// after the next statement.
func (s *Server) EndTransactions() {
	s.mu.Lock()
	for x := range s.sessions {
		x.expireTransaction.Store(true)
	}
	s.mu.Unlock()
	s.interrupt()
}

// interrupt wakes the sessions that wait for their callers.
func (s *Server) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.sessions {
		_ = x.wire.SetReceiveDeadline(time.Unix(1, 0))
	}
}

// Serve serves one caller until it leaves.
func (s *Server) Serve(ctx context.Context, wire bbrmessage.CallerConn) error {
	defer func() { _ = wire.Close() }()
	x := &session{server: s, wire: wire}
	if !s.start(ctx, x) {
		return nil
	}
	s.mu.Lock()
	s.sessions[x] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, x)
		s.mu.Unlock()
		x.abandon()
	}()
	return x.run(ctx)
}

// start reads the first message and answers it.
func (s *Server) start(ctx context.Context, x *session) bool {
	_ = x.wire.SetReceiveDeadline(time.Now().Add(startupPatience))
	req, err := x.wire.Receive()
	var refused *bbrmessage.Failure
	if errors.As(err, &refused) {
		_ = x.wire.Send(bbrmessage.Reply{Failure: refused})
		return false
	}
	first, ok := req.(bbrmessage.Startup)
	if err != nil || !ok {
		return false
	}
	s.awaitCatalog(ctx)
	x.database = first.Database
	if _, ok := s.Catalog.Route(first.Database); !ok {
		s.Log.WithFields(logrus.Fields{"database": first.Database, "version": s.version()}).Info("no such database")
		_ = x.wire.Send(bbrmessage.Reply{Failure: noDatabase(first.Database)})
		return false
	}
	return x.wire.Send(bbrmessage.Reply{State: bbrmessage.StateIdle}) == nil
}

// awaitCatalog waits a bounded time for the first configuration.
func (s *Server) awaitCatalog(ctx context.Context) {
	until := time.Now().Add(catalogPatience)
	for s.Catalog.Current() == nil && ctx.Err() == nil && time.Now().Before(until) {
		time.Sleep(catalogPoll)
	}
}

// version returns the version of the configuration in force, 0 before the first.
func (s *Server) version() int64 {
	if c := s.Catalog.Current(); c != nil {
		return c.Version
	}
	return 0
}

func noDatabase(name string) *bbrmessage.Failure {
	return &bbrmessage.Failure{Class: bbrmessage.ClassNoDatabase, Text: "no route has the name " + name}
}
