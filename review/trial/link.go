package main

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// linkKeepAlive is how long a cut connection stays open at its ends: the instances' own
// keep-alive probes would end it after about that time.
const linkKeepAlive = 3 * time.Second

// link is a proxy between an instance and a service of the platform, which can be cut. A cut
// holds all bytes, in both directions, and tells nobody.
type link struct {
	address, target string
	t               *trial

	mu   sync.Mutex
	cut  chan struct{}
	mend chan struct{}
}

// newLink starts a link that is not cut.
func newLink(t *trial, ip, target string) *link {
	l, err := net.Listen("tcp", ip+":0")
	t.must(err)
	k := &link{address: l.Addr().String(), target: target, t: t, mend: closedChannel(), cut: make(chan struct{})}
	t.work.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			t.work.Go(func() error {
				k.serve(c.(*net.TCPConn))
				return nil
			})
		}
	})
	return k
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// setCut cuts the link or mends it.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut {
		k.mend = make(chan struct{})
		close(k.cut)
	} else {
		close(k.mend)
		k.cut = make(chan struct{})
	}
}

// state returns a channel that is closed while the link is whole, and one that is closed
// while it is cut.
func (k *link) state() (mend, cut chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mend, k.cut
}

// serve serves one connection. One that is opened while the link is cut reaches nobody and
// is reset later. One that is open when the link is cut stays, if it holds bytes of the
// client; otherwise the client's keep-alive ends it.
func (k *link) serve(client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	mend, _ := k.state()
	select {
	case <-mend:
	default:
		select {
		case <-mend:
		case <-time.After(linkKeepAlive):
		}
		_ = client.SetLinger(0)
		return
	}
	conn, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	defer func() { _ = server.Close() }()
	var holds atomic.Bool
	done := make(chan struct{}, 2)
	k.t.work.Go(func() error {
		k.pump(server, client, &holds)
		done <- struct{}{}
		return nil
	})
	k.t.work.Go(func() error {
		k.pump(client, server, new(atomic.Bool))
		done <- struct{}{}
		return nil
	})
	for ended := 0; ended < 2; {
		_, cut := k.state()
		select {
		case <-done:
			ended++
			continue
		case <-cut:
		}
		mend, _ := k.state()
		select {
		case <-mend:
		case <-time.After(linkKeepAlive):
			if !holds.Load() {
				_ = client.SetLinger(0)
				return
			}
			<-mend
		}
	}
}

// pump copies from src to dst. Bytes that arrive while the link is cut go on when it is
// mended, also if src has closed the connection since, as a kernel sends them again; but
// not if src has reset it. holds is set meanwhile.
func (k *link) pump(dst, src *net.TCPConn, holds *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		holds.Store(n > 0)
		mend, _ := k.state()
		select {
		case <-mend:
		case <-k.t.ended:
			return
		}
		if n > 0 {
			if isReset(src) {
				return
			}
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = dst.CloseWrite()
			return
		}
	}
}

// isReset reports whether the other end of a connection has reset it.
func isReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	failed := 0
	err = raw.Control(func(fd uintptr) { failed, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return err != nil || failed != 0
}
