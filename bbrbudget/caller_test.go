package bbrbudget_test

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrbudget"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/platform"
)

// reasons records what the limits did.
type reasons struct {
	mu  sync.Mutex
	all []bbrbudget.Reason
}

func (r *reasons) RecordLimit(reason bbrbudget.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, reason)
}

// pair is a caller and its other end.
type pair struct {
	*bbrbudget.Caller
	remote net.Conn
	work   errgroup.Group
}

// newPair returns a started session of a budget.
func newPair(t *testing.T, b *bbrbudget.Budget) *pair {
	t.Helper()
	local, remote := net.Pipe()
	conn := b.NewConn(local)
	p := &pair{Caller: bbrbudget.NewCaller(conn, platform.NewCallerConn(conn), nil), remote: remote}
	p.write("STARTUP orders u1\r\n")
	if _, err := p.Receive(); err != nil {
		t.Fatal(err)
	}
	return p
}

// write writes to the session in the background.
func (p *pair) write(parts ...string) {
	p.work.Go(func() error {
		for _, part := range parts {
			if _, err := io.WriteString(p.remote, part); err != nil {
				return nil
			}
		}
		return nil
	})
}

// close ends both sides.
func (p *pair) close() {
	_ = p.Close()
	_ = p.remote.Close()
	_ = p.work.Wait()
}

// classOf returns the class of a failure, empty for another error or none.
func classOf(err error) bbrmessage.FailureClass {
	var f *bbrmessage.Failure
	if errors.As(err, &f) {
		return f.Class
	}
	return ""
}

// large is a text that makes a message count.
var large = strings.Repeat("x", 100_000)

// oneMessage are limits with room for one large message and one small state.
var oneMessage = bbrbudget.Limits{Messages: bbrbudget.MessageCost, State: 90 * bbrbudget.Kilobyte, SessionState: 60 * bbrbudget.Kilobyte}

func TestLargeMessageWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &reasons{}
		b := bbrbudget.New(oneMessage, r)
		first, second := newPair(t, b), newPair(t, b)
		defer first.close()
		defer second.close()
		first.write("QUERY q WRITE k ", large, "\r\n")
		_, err := first.Receive()
		is.NoErr(err)
		second.write("QUERY q WRITE k ", large, "\r\n")
		var received time.Time
		second.work.Go(func() error {
			_, err := second.Receive()
			received = time.Now()
			return err
		})
		time.Sleep(5 * time.Second) // the first statement is in progress
		is.True(received.IsZero())
		first.write("QUERY q READ k\r\n")
		_, err = first.Receive()
		is.NoErr(err)
		is.NoErr(second.work.Wait())
		is.True(!received.IsZero())
		is.Equal(len(r.all), 0)
	})
}

func TestStalledMessageMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &reasons{}
		b := bbrbudget.New(oneMessage, r)
		first, second := newPair(t, b), newPair(t, b)
		defer second.close()
		first.write("QUERY q WRITE k ", large)
		first.work.Go(func() error {
			_, err := first.Receive()
			is.Equal(classOf(err), bbrmessage.ClassBusy)
			_, err = first.Receive()
			is.True(err != nil && classOf(err) == "") // the connection ends
			return first.Close()
		})
		synctest.Wait()
		second.write("QUERY q WRITE k ", large, "\r\n")
		_, err := second.Receive()
		is.NoErr(err)
		first.close()
		is.Equal(r.all, []bbrbudget.Reason{bbrbudget.ReasonStalled})
	})
}

func TestMessageThatIsNotFinished(t *testing.T) {
	tests := map[string][]string{
		"half a message":                     {"QUERY q WRI"},
		"half a message behind a whole one":  {"QUERY q READ k\r\nQUERY q WRI"},
		"half a message of many small parts": {"QUERY q WRITE k ", large},
	}
	for name, parts := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &reasons{}
				p := newPair(t, bbrbudget.New(oneMessage, r))
				defer p.close()
				time.Sleep(time.Hour) // an idle session stays
				p.write(parts...)
				var err error
				for err == nil {
					_, err = p.Receive()
				}
				is.Equal(classOf(err), bbrmessage.ClassBusy)
				is.Equal(r.all, []bbrbudget.Reason{bbrbudget.ReasonSlowMessage})
				_, err = p.Receive()
				is.True(err != nil && classOf(err) == "")
			})
		})
	}
}

func TestReplyThatIsNotReadMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &reasons{}
		b := bbrbudget.New(oneMessage, r)
		first, second := newPair(t, b), newPair(t, b)
		defer first.close()
		defer second.close()
		reply := bbrmessage.Reply{Rows: []string{strings.Repeat(large, 22)}, Signature: "s", State: bbrmessage.StateIdle}
		var firstErr error
		first.work.Go(func() error {
			firstErr = first.Send(reply)
			return nil
		})
		synctest.Wait()
		second.work.Go(func() error {
			_, err := io.Copy(io.Discard, second.remote)
			return err
		})
		is.NoErr(second.Send(reply))
		synctest.Wait()
		is.True(firstErr != nil)
		is.Equal(r.all, []bbrbudget.Reason{bbrbudget.ReasonSlowReader})
	})
}

func TestStateOfSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &reasons{}
		b := bbrbudget.New(oneMessage, r)
		largest, other := newPair(t, b), newPair(t, b)
		defer largest.close()
		defer other.close()
		is.Equal(largest.Keep(1, 50_000), nil)
		is.Equal(largest.Keep(1, 20_000).Class, bbrmessage.ClassTooLarge) // more than one session may keep
		is.Equal(other.Keep(1, 40_000), nil)
		is.Equal(other.Keep(0, -40_000), nil)
		is.Equal(other.Keep(0, 40_000), nil)

		third := newPair(t, b)
		defer third.close()
		var ended error
		largest.work.Go(func() error {
			_, ended = largest.Receive()
			return largest.Close()
		})
		synctest.Wait()
		is.Equal(third.Keep(1, 30_000), nil) // in place of the largest
		synctest.Wait()
		is.Equal(classOf(ended), bbrmessage.ClassBusy)
		is.Equal(r.all, []bbrbudget.Reason{bbrbudget.ReasonSessionState, bbrbudget.ReasonState})
		is.Equal(third.Keep(1, 25_000).Class, bbrmessage.ClassBusy) // it would be the largest itself
	})
}

// TestNothingStaysHeld checks that sessions that end in any phase give everything back.
func TestNothingStaysHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := bbrbudget.New(oneMessage, &reasons{})
		for range 3 {
			p := newPair(t, b)
			is.Equal(p.Keep(2, 10_000), nil)
			p.write("QUERY q WRITE k ", large, "\r\n", "QUERY q WRITE k ", large)
			_, err := p.Receive()
			is.NoErr(err)
			is.NoErr(p.SetReceiveDeadline(time.Now().Add(time.Second)))
			_, err = p.Receive()
			is.True(err != nil) // interrupted half-way
			p.close()
		}
		held, kept := b.Usage()
		is.Equal(held, bbrbudget.Bytes(0))
		is.Equal(kept, bbrbudget.Bytes(0))
	})
}
