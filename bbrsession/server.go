// Package bbrsession serves the sessions of callers on the users' platform. It sends
// each statement to an eligible member of the route's group, retries it where that is
// safe, and replies to the caller. It works with the messages of bbrmessage; a dialect
// encodes and decodes them.
//
// A read outside of a transaction is retried, also at other members, until the
// route's timeout. A write is retried only if the member rejected it without running
// it. If the reply to a write, or to the commit of a transaction that wrote, is lost,
// the outcome is unknown: it is reported as in doubt, and the statement is not
// retried. A transaction runs on one connection; if the connection is lost, the
// transaction is rolled back.
//
// Reads may run at replicas if the route's policy accepts data of some age. A read on
// a route with the primary policy, and a read-write transaction, succeed only if the
// member is proven to have been the only primary when the request arrived (see
// bbrlink).
//
// # Usage
//
//	s := bbrsession.New(deps)
//	err := s.Serve(ctx, caller)
//	…
//	s.Drain()
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
	// startupTimeout is the timeout for a caller's first message.
	startupTimeout = 5 * time.Second
	// catalogTimeout is how long a new session waits for the instance's first
	// configuration.
	catalogTimeout = 1500 * time.Millisecond
	// catalogPollInterval is how often a new session checks for the first
	// configuration.
	catalogPollInterval = 20 * time.Millisecond
)

// Recorder records the duration and outcome of statements.
type Recorder interface {
	RecordStatement(route bbrtype.RouteName, policy bbrcatalog.ReadPolicy, outcome string, duration time.Duration)
	// RecordPhases records where the time of a statement went.
	RecordPhases(policy bbrcatalog.ReadPolicy, p Phases)
}

// Limiter limits the operations of tenants over all instances.
type Limiter interface {
	// Admit counts an operation of a tenant that is about to begin. If the tenant has
	// reached its limit, it returns false and the time after which the operation may
	// begin.
	Admit(ctx context.Context, tenant bbrtype.TenantName) (ok bool, retryAfter time.Duration)
}

// Deps are the dependencies of a server.
type Deps struct {
	Catalog *bbrcatalog.Holder
	// GroupByName returns the group with the given name, nil if there is none.
	GroupByName func(bbrtype.GroupName) *bbrlink.Group
	Clock       *bbrtype.Clock
	Log         logrus.FieldLogger
	Tasks       *errgroup.Group
	Recorder    Recorder
	// Forward forwards statements to the instances that hold connections. With nil all
	// statements are served here.
	Forward Forwarder
	// Limiter limits the operations of tenants. With nil they are not limited.
	Limiter Limiter
}

// Server serves callers and tracks their open sessions.
type Server struct {
	Deps
	closing atomic.Bool
	// ending is set when open transactions are ended, see EndTransactions.
	ending atomic.Bool
	// answerBy is the time by which all statements are answered, 0 for no limit.
	answerBy atomic.Int64
	// declining is set when forwarded statements are declined.
	declining atomic.Bool
	guests    guests

	mu       sync.Mutex
	sessions map[*session]struct{}
}

// New returns a server without sessions.
func New(deps Deps) *Server {
	return &Server{Deps: deps, sessions: map[*session]struct{}{}}
}

// SessionCount returns the number of open sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// ForwardedCount returns the number of forwarded statements in progress, and of open
// transactions that other instances have forwarded.
func (s *Server) ForwardedCount() int { return s.guests.count() }

// IsForwardedStopped reports whether StopForwarded was called.
func (s *Server) IsForwardedStopped() bool { return s.declining.Load() }

// StopForwarded declines forwarded statements from now on, except those of open
// transactions.
func (s *Server) StopForwarded() { s.declining.Store(true) }

// Drain ends each session as soon as it has neither a statement in progress nor an
// open transaction.
func (s *Server) Drain() {
	s.closing.Store(true)
	s.interruptReceives()
}

// EndTransactions rolls back each open transaction as soon as it has no statement in
// progress, and lets no further statement begin. Transactions that are rolled back count as
// failed. After Drain, such a session ends once the caller has sent commit or rollback.
func (s *Server) EndTransactions() {
	s.ending.Store(true)
	s.interruptReceives()
	for id, tx := range s.guests.all() {
		s.Tasks.Go(func() error {
			s.expireGuest(id, tx)
			return nil
		})
	}
}

// AnswerBy lets each statement that arrives from now on be answered by the given time, even
// if its route allows it more.
func (s *Server) AnswerBy(at bbrtype.Mono) { s.answerBy.Store(int64(at)) }

// deadline returns the time by which a statement is to be answered.
func (s *Server) deadline(route bbrcatalog.Route, arrivedAt bbrtype.Mono) bbrtype.Mono {
	timeout := route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	deadline := arrivedAt.Add(timeout)
	if limit := bbrtype.Mono(s.answerBy.Load()); limit != 0 {
		deadline = min(deadline, limit)
	}
	return deadline
}

// interruptReceives makes pending receives of all sessions time out, so that the
// sessions check whether they have to end.
func (s *Server) interruptReceives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		// A deadline in the past; the zero time would mean no deadline.
		_ = sess.caller.SetReceiveDeadline(time.Unix(1, 0))
	}
}

// Serve serves one caller until the caller disconnects or the session ends.
func (s *Server) Serve(ctx context.Context, caller bbrmessage.CallerConn) error {
	defer func() { _ = caller.Close() }()
	sess := &session{server: s, caller: caller}
	if !s.startSession(ctx, sess) {
		return nil
	}
	s.mu.Lock()
	s.sessions[sess] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, sess)
		s.mu.Unlock()
		sess.cleanUp()
	}()
	return sess.run(ctx)
}

// startSession receives the caller's first message and replies to it. It returns
// false if the session is rejected or the caller has disconnected.
func (s *Server) startSession(ctx context.Context, sess *session) bool {
	_ = sess.caller.SetReceiveDeadline(time.Now().Add(startupTimeout))
	req, err := sess.caller.Receive()
	var rejected *bbrmessage.Failure
	if errors.As(err, &rejected) {
		_ = sess.caller.Send(bbrmessage.Reply{Failure: rejected})
		return false
	}
	startup, ok := req.(bbrmessage.Startup)
	if err != nil || !ok {
		return false
	}
	s.awaitCatalog(ctx)
	sess.database, sess.key = startup.Database, bbrcatalog.DigestKey(startup.Key)
	route, ok := s.Catalog.Route(startup.Database)
	if !ok {
		s.Log.WithFields(logrus.Fields{"database": startup.Database, "version": s.configVersion()}).Info("startup rejected: no route for the requested database")
		_ = sess.caller.Send(bbrmessage.Reply{Failure: noDatabaseFailure(startup.Database)})
		return false
	}
	if failure := sess.identify(route); failure != nil {
		s.logUnknownKey(route)
		_ = sess.caller.Send(bbrmessage.Reply{Failure: failure})
		return false
	}
	return sess.caller.Send(bbrmessage.Reply{State: bbrmessage.StateIdle}) == nil
}

// awaitCatalog waits up to catalogTimeout for the first configuration.
func (s *Server) awaitCatalog(ctx context.Context) {
	until := time.Now().Add(catalogTimeout)
	for s.Catalog.Current() == nil && ctx.Err() == nil && time.Now().Before(until) {
		time.Sleep(catalogPollInterval)
	}
}

// configVersion returns the version of the current configuration, 0 if there is none
// yet.
func (s *Server) configVersion() int64 {
	if c := s.Catalog.Current(); c != nil {
		return c.Version
	}
	return 0
}

func noDatabaseFailure(name string) *bbrmessage.Failure {
	return &bbrmessage.Failure{Class: bbrmessage.ClassNoDatabase, Text: "no route has the name " + name}
}
