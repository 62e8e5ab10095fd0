package bbrbudget

import (
	"container/list"
	"net"
	"sync"
)

// Gate is a listener that bounds the open connections. At the limit the oldest connection that
// has shown no use is closed for a new one; if there is none, the new one is refused.
type Gate struct {
	net.Listener
	limit    int
	recorder Recorder
	// refuse tells a connection that it is refused, nil for nothing to tell. The connection is
	// closed afterwards.
	refuse func(net.Conn)

	mu     sync.Mutex
	open   int
	unused list.List
}

// NewGate returns a gate before a listener.
func NewGate(l net.Listener, limit int, r Recorder, refuse func(net.Conn)) *Gate {
	return &Gate{Listener: l, limit: limit, recorder: r, refuse: refuse}
}

// Accept returns the next connection that is admitted. It is a *GatedConn.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := g.admit(c); admitted != nil {
			return admitted, nil
		}
	}
}

// admit returns the connection if it is admitted, else it closes it and returns nil.
func (g *Gate) admit(c net.Conn) *GatedConn {
	g.mu.Lock()
	admission := Admit(g.open, g.limit, g.unused.Len())
	if admission == AdmitRefuse {
		g.mu.Unlock()
		g.recorder.RecordLimit(ReasonConnections)
		if g.refuse != nil {
			g.refuse(c)
		}
		_ = c.Close()
		return nil
	}
	var replaced *GatedConn
	if admission == AdmitReplace {
		replaced = g.unused.Front().Value.(*GatedConn)
	}
	conn := &GatedConn{Conn: c, gate: g}
	g.open++
	conn.unused = g.unused.PushBack(conn)
	g.mu.Unlock()
	if replaced != nil {
		g.recorder.RecordLimit(ReasonConnections)
		_ = replaced.Close()
	}
	return conn
}

// GatedConn is a connection that a gate has admitted.
type GatedConn struct {
	net.Conn
	gate   *Gate
	unused *list.Element
	closed bool
}

// MarkUsed notes that the connection has shown its use.
func (c *GatedConn) MarkUsed() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.markUsed()
}

// markUsed is MarkUsed with the gate's mu held.
func (c *GatedConn) markUsed() {
	if c.unused != nil {
		c.gate.unused.Remove(c.unused)
		c.unused = nil
	}
}

// Close closes the connection.
func (c *GatedConn) Close() error {
	c.gate.mu.Lock()
	if !c.closed {
		c.closed = true
		c.gate.open--
		c.markUsed()
	}
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
