package bbrtrial

import (
	"net"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// linkBuffer is the size of a link's buffers, in bytes.
const linkBuffer = 32 << 10

// Link passes TCP connections on to an address. It can be cut, and it can make
// the open connections silent for good while new ones work.
type Link struct {
	listener net.Listener
	upstream string
	group    errgroup.Group

	mu     sync.Mutex
	cut    bool
	silent chan struct{}
	conns  map[net.Conn]bool
}

// NewLink starts a link before an address.
func NewLink(upstream string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start a link")
	}
	k := &Link{listener: l, upstream: upstream, silent: make(chan struct{}), conns: map[net.Conn]bool{}}
	k.group.Go(k.accept)
	return k, nil
}

// Addr returns the address to connect to.
func (k *Link) Addr() string { return k.listener.Addr().String() }

// Silence makes all open connections silent for good.
func (k *Link) Silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silenceLocked()
}

func (k *Link) silenceLocked() {
	close(k.silent)
	k.silent = make(chan struct{})
}

// Cut makes all connections silent, new ones too, until Restore.
func (k *Link) Cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = true
	k.silenceLocked()
}

// Restore lets new connections work again.
func (k *Link) Restore() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = false
}

// Reset closes all open connections, silent ones too: each side learns of the end.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.Close()
	}
}

// Close ends the link and its connections.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.Reset()
	_ = k.group.Wait()
}

func (k *Link) accept() error {
	for {
		down, err := k.listener.Accept()
		if err != nil {
			return nil
		}
		k.group.Go(func() error {
			k.connect(down)
			return nil
		})
	}
}

// connect passes one connection on.
func (k *Link) connect(down net.Conn) {
	k.mu.Lock()
	cut, silent := k.cut, k.silent
	k.conns[down] = true
	k.mu.Unlock()
	if cut {
		return // open, and silent
	}
	up, err := net.Dial("tcp", k.upstream)
	if err != nil {
		_ = down.Close()
		return
	}
	k.mu.Lock()
	k.conns[up] = true
	k.mu.Unlock()
	k.group.Go(func() error {
		k.forward(down, up, silent)
		return nil
	})
	k.forward(up, down, silent)
}

// forward copies until the source ends. Once silent is closed it swallows.
func (k *Link) forward(from, to net.Conn, silent <-chan struct{}) {
	defer func() {
		_ = from.Close()
		k.mu.Lock()
		delete(k.conns, from)
		k.mu.Unlock()
	}()
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		select {
		case <-silent:
			if err != nil {
				return // the other side never learns of the end
			}
			continue
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
