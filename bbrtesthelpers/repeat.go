package bbrtesthelpers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// Repetition is when a server of ServeRepeating sends a response for the second time.
type Repetition string

// The repetitions. With RepeatAtOnce both come in one piece, with RepeatLater the second one
// RepeatDelay after the first, with RepeatBeforeNext directly before the response to the next
// request on the connection.
const (
	RepeatNever      Repetition = "never"
	RepeatAtOnce     Repetition = "at once"
	RepeatLater      Repetition = "while the connection is idle"
	RepeatBeforeNext Repetition = "while the next request is under way"
)

// RepeatDelay is the delay of RepeatLater.
const RepeatDelay = 20 * time.Millisecond

// ServeRepeating serves HTTP by a handler, one response after another, and sends the first
// response on each connection twice. It returns its address. It ends with the test.
func ServeRepeating(t *testing.T, h http.Handler, when Repetition) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				return serveRepeating(conn, h, when)
			})
		}
	})
	return l.Addr().String()
}

// serveRepeating serves one connection until it ends.
func serveRepeating(conn net.Conn, h http.Handler, when Repetition) error {
	in := bufio.NewReader(conn)
	var first []byte
	for n := 0; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return err
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return err
		}
		res := w.Result()
		res.ContentLength = int64(w.Body.Len())
		out, err := httputil.DumpResponse(res, true)
		if err != nil {
			return err
		}
		if n == 0 {
			first = out
		}
		switch {
		case n == 0 && when == RepeatAtOnce:
			out = append(out, first...)
		case n == 1 && when == RepeatBeforeNext:
			out = append(first, out...)
		}
		if _, err := conn.Write(out); err != nil {
			return err
		}
		if n == 0 && when == RepeatLater {
			time.Sleep(RepeatDelay)
			if _, err := conn.Write(first); err != nil {
				return err
			}
		}
	}
}
