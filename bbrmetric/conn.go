package bbrmetric

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Link tells what a connection for control leads to.
type Link string

// The links. LinkProbe leads to members, for probes and orders.
const (
	LinkPeer  Link = "peer"
	LinkStore Link = "store"
	LinkProbe Link = "probe"
)

// DialFunc opens a connection, as net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent, received prometheus.Counter
}

// CountDial returns a function that opens connections whose bytes are counted
// under a link.
func (s *Set) CountDial(l Link, dial DialFunc) DialFunc {
	sent, received := s.bytes.WithLabelValues(string(l), "sent"), s.bytes.WithLabelValues(string(l), "received")
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, sent: sent, received: received}, nil
	}
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(float64(n))
	return n, err
}
