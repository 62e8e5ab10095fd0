package bbrproxy

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/url"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// goneAfter bounds the wait for the server to give up a broken caller. It is no
// measure of speed.
const goneAfter = 20 * time.Second

// frame makes a message of a type with a length that may lie.
func frame(kind byte, length uint32, body string) []byte {
	b := append([]byte{kind}, binary.BigEndian.AppendUint32(nil, length)...)
	return append(b, body...)
}

// sendBroken writes bytes to a connection and waits until the server is done
// with it.
func sendBroken(t *testing.T, conn net.Conn, data []byte) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(goneAfter)); err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write(data)
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.CloseWrite()
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			t.Fatalf("the server still holds a caller that sent %q and left", data)
		}
	}
	_ = conn.Close()
}

// connectable reports whether another caller is still served.
func connectable(t *testing.T, target string) {
	t.Helper()
	is := is.New(t)
	c, err := pgconn.Connect(context.Background(), target)
	is.NoErr(err)
	_, err = c.Exec(context.Background(), "SELECT 1").ReadAll()
	is.NoErr(err)
	is.NoErr(c.Close(context.Background()))
}

// FuzzStartup sends anything before a caller is known.
func FuzzStartup(f *testing.F) {
	target, _ := cannedServer(f)
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "shop", "database": "orders"}}).Encode(nil)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{
		nil,
		{0},
		[]byte("GET / HTTP/1.1\r\n\r\n"), startup, startup[:9], append(startup, startup...),
		{0, 0, 0, 8, 4, 210, 22, 47},               // asks for TLS
		{0, 0, 0, 16, 4, 210, 22, 46, 1, 2, 3},     // half a cancel request
		{255, 255, 255, 255, 0, 3, 0, 0},           // a length past all bounds
		append(startup, frame('p', 4, "")...),      // an empty answer to SASL
		append(startup, frame('p', 1<<30, "x")...), // a long one that never comes
		append(startup, frame('Q', 13, "SELECT 1\x00")...),
	} {
		f.Add(seed)
	}
	address := addressOf(f, target)
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		sendBroken(t, conn, data)
		connectable(t, target)
	})
}

// FuzzMessages sends anything as a caller that is known.
func FuzzMessages(f *testing.F) {
	target, _ := cannedServer(f)
	for _, seed := range [][]byte{
		nil,
		{'Q'},
		frame('Q', 4, ""), frame('Q', 3, ""), frame('Q', 8, "abcd"), frame('Q', 1<<31, "SELECT"),
		frame('P', 10, "a\x00b\x00\x00\x01"), frame('B', 8, "\x00\x00\x00\x09"), frame('E', 9, "x\x00\x00\x00\x00"),
		frame('D', 6, "S\x00"), frame('C', 6, "P\x00"), frame('S', 4, ""), frame('H', 4, ""), frame('X', 4, ""),
		frame('d', 8, "data"), frame('c', 4, ""), frame('f', 6, "x\x00"), frame('F', 12, "\x00\x00\x00\x01\x00\x00\x00\x00"), frame(0, 4, ""),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := pgconn.Connect(context.Background(), target)
		if err != nil {
			t.Fatal(err)
		}
		h, err := c.Hijack()
		if err != nil {
			t.Fatal(err)
		}
		sendBroken(t, h.Conn, data)
		connectable(t, target)
	})
}

func addressOf(tb testing.TB, target string) string {
	tb.Helper()
	u, err := url.Parse(target)
	if err != nil {
		tb.Fatal(err)
	}
	return u.Host
}
