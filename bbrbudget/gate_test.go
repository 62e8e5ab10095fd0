package bbrbudget_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrbudget"
)

func TestGate(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r := &reasons{}
	refused := 0
	g := bbrbudget.NewGate(l, 2, r, func(net.Conn) { refused++ })
	defer func() { _ = g.Close() }()
	accept := func() *bbrbudget.GatedConn {
		t.Helper()
		c, err := g.Accept()
		is.NoErr(err)
		return c.(*bbrbudget.GatedConn)
	}
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
	}
	used, silent := accept(), accept()
	used.MarkUsed()
	next := accept()
	_, err = silent.Read(make([]byte, 1))
	is.True(err != nil) // closed for the third connection
	next.MarkUsed()
	is.NoErr(used.Close())
	is.True(used.Close() != nil) // counts once
	last := accept()
	last.MarkUsed()
	is.NoErr(l.Close()) // the fifth connection may be pending: it is refused or lost
	_, err = g.Accept()
	is.True(err != nil)
	is.Equal(r.all[0], bbrbudget.ReasonConnections)
	is.Equal(refused, len(r.all)-1)
}
