package bbrstandindb

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"
)

// replicationDatabase is the database name under which a replica connects.
const replicationDatabase = "standinReplication"

// Server accepts the connections of clients and replicas of one member.
type Server struct {
	db       *Database
	listener net.Listener
	group    *errgroup.Group
	cancel   context.CancelFunc

	mu       sync.Mutex
	sessions map[uint32]*session
	nextID   uint32
	clients  int
	peak     int
	closed   bool
}

// Listen starts a server for the member at an address such as 127.0.0.1:0.
func Listen(db *Database, addr string) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	s := &Server{db: db, listener: l, group: group, cancel: cancel, sessions: map[uint32]*session{}}
	db.rewound = s.dropClients
	db.activity = s.activity
	db.terminate = s.terminate
	group.Go(func() error { return s.accept() })
	group.Go(func() error { return follow(ctx, db) })
	group.Go(func() error { return replayAll(ctx, db) })
	return s, nil
}

// Addr returns the address that the server listens at.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// PeakConnections returns the highest number of clients connected at once.
func (s *Server) PeakConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// Close ends all connections at once, like a killed process.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	_ = s.listener.Close()
	s.dropClients()
	_ = s.group.Wait()
}

// terminate ends a connection.
func (s *Server) terminate(pid uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.sessions[pid]
	if c == nil {
		return false
	}
	_ = c.conn.Close()
	return true
}

// activity returns what each connection does: active or idle.
func (s *Server) activity() map[uint32]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[uint32]string{}
	for id, c := range s.sessions {
		out[id] = "idle"
		if c.active.Load() {
			out[id] = "active"
		}
	}
	return out
}

// dropClients closes every connection.
func (s *Server) dropClients() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		_ = c.conn.Close()
	}
}

func (s *Server) accept() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return nil
		}
		s.group.Go(func() error {
			s.serve(conn)
			return nil
		})
	}
}

func (s *Server) serve(conn net.Conn) {
	c := &session{
		db:         s.db,
		server:     s,
		conn:       conn,
		be:         pgproto3.NewBackend(conn, conn),
		statements: map[string]*statement{},
		portals:    map[string]*portal{},
	}
	defer func() { _ = c.conn.Close() }()
	startup, err := c.startup()
	if err != nil || startup == nil {
		return
	}
	replication := startup.Parameters["database"] == replicationDatabase
	c.moveAway(startup.Parameters["application_name"])
	if !s.register(c, replication) {
		c.fail(sqlErrorf(codeTooMany, "sorry, too many clients already"))
		return
	}
	defer s.unregister(c, replication)
	if replication {
		shipLog(c)
		return
	}
	time.Sleep(s.db.opts.ConnectDelay)
	if err := c.authenticate(startup.Parameters["user"]); err != nil {
		c.fail(err)
		return
	}
	c.run()
}

// moveAway puts the distance between two data centres before a client.
func (c *session) moveAway(application string) {
	_, centre, known := strings.Cut(application, "/")
	if !known || centre == c.db.opts.DataCentre || c.db.opts.FarDelay == 0 {
		return
	}
	c.conn = newDelayConn(c.conn, c.db.opts.FarDelay)
	c.be = pgproto3.NewBackend(c.conn, c.conn)
}

// register counts a client. It returns false if there are too many.
func (s *Server) register(c *session, replication bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || (!replication && s.clients >= s.db.opts.MaxConnections) {
		return false
	}
	if !replication {
		s.clients++
		s.peak = max(s.peak, s.clients)
	}
	s.nextID++
	c.id = s.nextID
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	c.secret = binary.BigEndian.Uint32(secret[:])
	s.sessions[c.id] = c
	return true
}

func (s *Server) unregister(c *session, replication bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !replication {
		s.clients--
	}
	delete(s.sessions, c.id)
}

// cancelSession marks a session's running statement as cancelled.
func (s *Server) cancelSession(id, secret uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.sessions[id]; c != nil && c.secret == secret {
		c.cancelled.Store(true)
	}
}
