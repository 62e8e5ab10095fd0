package bbrstandindb

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// delayedBytes bounds the bytes on their way in each direction.
const delayedBytes = 4096

// parcel is some bytes with the time of their arrival.
type parcel struct {
	at    time.Time
	bytes []byte
}

// delayConn is a connection over a distance: what is sent arrives later, in
// order, and much of it can be on its way at once.
type delayConn struct {
	net.Conn
	oneWay time.Duration
	in     chan parcel
	out    chan parcel
	rest   []byte
	closed chan struct{}
	once   sync.Once
	group  errgroup.Group
}

// newDelayConn puts a distance before a connection.
func newDelayConn(c net.Conn, oneWay time.Duration) *delayConn {
	d := &delayConn{
		Conn: c, oneWay: oneWay, in: make(chan parcel, delayedBytes), out: make(chan parcel, delayedBytes), closed: make(chan struct{}),
	}
	d.group.Go(d.receive)
	d.group.Go(d.deliver)
	return d
}

// receive takes what comes in and notes when it arrives.
func (d *delayConn) receive() error {
	defer close(d.in)
	for {
		buf := make([]byte, delayedBytes)
		n, err := d.Conn.Read(buf)
		if err != nil {
			return err
		}
		select {
		case d.in <- parcel{time.Now().Add(d.oneWay), buf[:n]}:
		case <-d.closed:
			return nil
		}
	}
}

// deliver writes what goes out when it arrives.
func (d *delayConn) deliver() error {
	for {
		select {
		case p := <-d.out:
			time.Sleep(time.Until(p.at))
			if _, err := d.Conn.Write(p.bytes); err != nil {
				return err
			}
		case <-d.closed:
			return nil
		}
	}
}

// Read implements net.Conn.
func (d *delayConn) Read(b []byte) (int, error) {
	if len(d.rest) == 0 {
		p, ok := <-d.in
		if !ok {
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(p.at))
		d.rest = p.bytes
	}
	n := copy(b, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (d *delayConn) Write(b []byte) (int, error) {
	select {
	case d.out <- parcel{time.Now().Add(d.oneWay), append([]byte(nil), b...)}:
		return len(b), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn.
func (d *delayConn) Close() error {
	d.once.Do(func() { close(d.closed) })
	return d.Conn.Close()
}
