package bbrtesthelpers

import (
	"net"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
)

// group runs the helpers' goroutines.
var group errgroup.Group

// Go runs something in the background until the tests end.
func Go(f func()) {
	group.Go(func() error {
		f()
		return nil
	})
}

// Silencer passes TCP connections on. It can make the open ones silent for
// good, as a middlebox does that has lost track of them, while new ones work.
type Silencer struct {
	listener net.Listener
	upstream string

	mu     sync.Mutex
	silent chan struct{}
	conns  []net.Conn
}

// NewSilencer starts a silencer before an address.
func NewSilencer(t *testing.T, upstream string) *Silencer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Silencer{listener: l, upstream: upstream, silent: make(chan struct{})}
	t.Cleanup(s.close)
	Go(s.accept)
	return s
}

// Addr returns the address to connect to.
func (s *Silencer) Addr() string { return s.listener.Addr().String() }

// Silence makes all open connections silent.
func (s *Silencer) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silent)
	s.silent = make(chan struct{})
}

func (s *Silencer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

func (s *Silencer) accept() {
	for {
		down, err := s.listener.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", s.upstream)
		if err != nil {
			_ = down.Close()
			continue
		}
		s.mu.Lock()
		s.conns = append(s.conns, down, up)
		silent := s.silent
		s.mu.Unlock()
		Go(func() { forward(down, up, silent) })
		Go(func() { forward(up, down, silent) })
	}
}

// forward copies until the source ends. Once silent is closed it swallows.
func forward(from, to net.Conn, silent <-chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			select {
			case <-silent:
				// The other side never learns of the end.
			default:
				_ = to.Close()
			}
			return
		}
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
