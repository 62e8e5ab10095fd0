// Package bbrproxy serves callers over PostgreSQL's protocol. It authenticates
// them, classifies each request, chooses the member that runs it, and passes on
// the answer under the rules for acknowledgements.
//
// # Usage
//
//	s := bbrproxy.NewServer(deps, opts)
//	err := s.Serve(listener)
//	s.Drain(ctx)
package bbrproxy

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrmetric"
	"github.com/bluebellroute/bluebellroute/bbrstatement"
	"github.com/bluebellroute/bluebellroute/bbrtoken"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Default limits.
const (
	DefaultMaxMessage      = 16 << 20
	DefaultMaxCallers      = 10000
	DefaultAuthTimeout     = 10 * time.Second
	DefaultAnswerPatience  = 2 * time.Second
	DefaultResolvePatience = 10 * time.Second
	DefaultStatementCache  = 10000
)

// Evidence learns from traffic whether members answer.
type Evidence interface {
	MemberAnswered(ref bbrmember.Ref)
	MemberFailed(ref bbrmember.Ref, kind bbrmember.FailureKind)
}

// Deps are what a server works with.
type Deps struct {
	Registry *bbrgroup.Registry
	Clock    *bbrtype.Clock
	Signer   *bbrtoken.Signer
	Metrics  *bbrmetric.Set
	Log      logrus.FieldLogger
	Evidence Evidence
	// TLS is nil where callers connect in the clear.
	TLS *tls.Config
}

// Options are the limits of a server. Zero values stand for the defaults.
type Options struct {
	// MaxMessage bounds one message of a caller, in bytes.
	MaxMessage int
	// MaxCallers bounds the connections of callers.
	MaxCallers int
	// AuthTimeout bounds the time until a caller is authenticated.
	AuthTimeout time.Duration
	// AnswerPatience is the silence after which a statement's connection is
	// checked.
	AnswerPatience time.Duration
	// ResolvePatience bounds the time to find out the fate of a keyed request.
	ResolvePatience time.Duration
	// RequireTLS turns callers without TLS away.
	RequireTLS bool
	// Baseline replaces the policy in measurements.
	Baseline Baseline
}

// Baseline is a simpler policy that measurements compare with.
type Baseline string

// The baselines. BaselinePrimary sends all reads to the primary.
// BaselineRandom sends reads to a random replica without regard to what the
// caller has seen.
const (
	BaselineNone    Baseline = ""
	BaselinePrimary Baseline = "primary"
	BaselineRandom  Baseline = "random"
)

func (o Options) withDefaults() Options {
	if o.MaxMessage == 0 {
		o.MaxMessage = DefaultMaxMessage
	}
	if o.MaxCallers == 0 {
		o.MaxCallers = DefaultMaxCallers
	}
	if o.AuthTimeout == 0 {
		o.AuthTimeout = DefaultAuthTimeout
	}
	if o.AnswerPatience == 0 {
		o.AnswerPatience = DefaultAnswerPatience
	}
	if o.ResolvePatience == 0 {
		o.ResolvePatience = DefaultResolvePatience
	}
	return o
}

// Server accepts callers.
type Server struct {
	deps       Deps
	opts       Options
	classifier *bbrstatement.Classifier
	group      *errgroup.Group
	ctx        context.Context
	cancel     context.CancelFunc
	positions  positionReads
	series     seriesCache
	recent     recent
	mockKey    []byte

	draining atomic.Bool
	// ending is set in a planned stop once open transactions are ended, too.
	ending atomic.Bool
	nextID atomic.Uint32

	mu        sync.Mutex
	listeners []net.Listener
	sessions  map[uint32]*session
	perCaller map[bbrtype.CallerName]int
	perTenant map[bbrtype.TenantName]int
	changed   chan struct{}
}

// NewServer returns a server without listeners.
func NewServer(deps Deps, opts Options) (*Server, error) {
	classifier, err := bbrstatement.NewClassifier(DefaultStatementCache)
	if err != nil {
		return nil, err
	}
	mockKey := make([]byte, 16)
	_, _ = rand.Read(mockKey)
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		mockKey:    mockKey,
		deps:       deps,
		opts:       opts.withDefaults(),
		classifier: classifier,
		group:      &errgroup.Group{},
		ctx:        ctx,
		cancel:     cancel,
		sessions:   map[uint32]*session{},
		perCaller:  map[bbrtype.CallerName]int{},
		perTenant:  map[bbrtype.TenantName]int{},
		changed:    make(chan struct{}),
	}, nil
}

// acceptPause is the wait after a caller could not be accepted, such as for want
// of file descriptors.
const acceptPause = 50 * time.Millisecond

// Serve accepts callers until the listener is closed. Other errors pass: callers
// who leave make room for new ones.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			if s.draining.Load() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.deps.Log.WithError(err).Warn("caller not accepted")
			time.Sleep(acceptPause)
			continue
		}
		s.group.Go(func() error {
			s.serveConn(conn)
			return nil
		})
	}
}

// register enters a session. It returns false if there are too many.
func (s *Server) register(c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.opts.MaxCallers {
		return false
	}
	c.id = s.nextID.Add(1)
	c.secret = make([]byte, 4)
	_, _ = rand.Read(c.secret)
	s.sessions[c.id] = c
	return true
}

func (s *Server) unregister(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c.id)
	if c.counted {
		s.perCaller[c.caller]--
		s.perTenant[c.tenant]--
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// count enters an authenticated caller. It returns false if the caller or its
// tenant has too many connections.
func (s *Server) count(c *session, callerLimit, tenantLimit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if callerLimit > 0 && s.perCaller[c.caller] >= callerLimit {
		return false
	}
	if tenantLimit > 0 && s.perTenant[c.tenant] >= tenantLimit {
		return false
	}
	s.perCaller[c.caller]++
	s.perTenant[c.tenant]++
	c.counted = true
	return true
}

// Callers returns the number of open connections.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// cancelStatement passes a cancel request on to the member that runs the
// session's statement.
func (s *Server) cancelStatement(id uint32, secret []byte) {
	s.mu.Lock()
	c := s.sessions[id]
	s.mu.Unlock()
	if c == nil || len(secret) != len(c.secret) || binary.BigEndian.Uint32(secret) != binary.BigEndian.Uint32(c.secret) {
		return
	}
	c.cancelRunning()
}

// endsSession reports whether a planned stop ends a session that waits for its caller.
func (s *Server) endsSession(w wait) bool {
	switch w {
	case waitIdle:
		return s.draining.Load()
	case waitInTransaction:
		return s.ending.Load()
	}
	return false
}

// wakeSessions lets the sessions that a planned stop ends find that out.
func (s *Server) wakeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		c.wakeForDrain()
	}
}

// endTransactions ends the sessions that are in a transaction, when they are between two
// statements. The members roll the transactions back.
func (s *Server) endTransactions() {
	s.ending.Store(true)
	s.wakeSessions()
}

// endTransactionsLater ends transactions after half of the time until the deadline of a
// context, if it has one. The returned function stops that.
func (s *Server) endTransactionsLater(ctx context.Context) (stop func()) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(deadline)/2, s.endTransactions)
	return func() { timer.Stop() }
}

// Drain ends the sessions: idle ones at once with a clear error, others when
// their statement or transaction has ended. After half of the time until the context's
// deadline, transactions are ended between two statements. Sessions that remain when the
// context ends are cut off; their number is returned.
func (s *Server) Drain(ctx context.Context) int {
	s.draining.Store(true)
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	s.wakeSessions()
	defer s.endTransactionsLater(ctx)()
	for {
		s.mu.Lock()
		left, changed := len(s.sessions), s.changed
		s.mu.Unlock()
		if left == 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		}
		s.cutOff()
		_ = s.group.Wait()
		return left
	}
	s.cancel()
	_ = s.group.Wait()
	return 0
}

// cutOff closes every connection.
func (s *Server) cutOff() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		_ = c.conn.Close()
	}
}

// Close cuts all callers off.
func (s *Server) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Drain(ctx)
}

// IsDraining reports whether a planned stop is under way.
func (s *Server) IsDraining() bool { return s.draining.Load() }
