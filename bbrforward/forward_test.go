package bbrforward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrforward/forwardpb"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
)

// wholeStatement is a statement with all its fields.
func wholeStatement() Statement {
	return Statement{
		Statement:  bbrmessage.Statement{ID: "5c0e", Text: "EXECUTE s1 k v", Op: bbrmessage.Execute{Name: "s1", Arguments: "k v"}},
		Route:      bbrcatalog.Route{Name: "r", Database: "orders", Group: "g", Policy: bbrcatalog.PolicyReadYourWrites, StatementTimeout: time.Second, LatencyObjective: 150 * time.Millisecond, MaxStaleness: 2 * time.Second, Priority: 2},
		ArrivedAgo: 3 * time.Millisecond, BegunAgo: 9 * time.Millisecond,
		LastWrite: bbrmessage.LogPosition{Term: 3, Index: 1207}, Values: map[string]string{"zone": "a b"},
		Prepared:      map[string]bbrmessage.Prepare{"s1": {Name: "p7", Access: bbrmessage.AccessWrite, Definition: "q2c"}},
		InTransaction: true, ReadOnly: true, Transaction: "t-1", LastResort: true,
	}
}

func TestStatementArrivesUnchanged(t *testing.T) {
	is := is.New(t)
	want := Result{
		Reply:     bbrmessage.Reply{Rows: []string{"a", ""}, Signature: "sig.1"},
		LastWrite: bbrmessage.LogPosition{Term: 3, Index: 1208}, Transaction: "t-1", Took: 4 * time.Millisecond,
		Phases: Phases{Queue: time.Millisecond, Connect: 2 * time.Millisecond, Proof: 3 * time.Millisecond, Member: 4 * time.Millisecond, Pause: 5 * time.Millisecond, Attempts: 2, ConnectFailures: 1},
	}
	var got Statement
	stopping := false
	server := httptest.NewServer(Handler(func(_ context.Context, s Statement) Result {
		got = s
		return want
	}, func() bool { return stopping }))
	defer server.Close()
	c := NewClient(http.DefaultTransport)
	address := server.Listener.Addr().String()
	result, err := c.Run(context.Background(), address, wholeStatement())
	is.NoErr(err)
	is.Equal(got, wholeStatement())
	is.Equal(result, want)
	is.NoErr(c.Ping(context.Background(), address))
	stopping = true
	is.True(errors.Is(c.Ping(context.Background(), address), ErrStopping))

	want = Result{Reply: bbrmessage.Reply{Failure: &bbrmessage.Failure{Class: bbrmessage.ClassInDoubt, Text: "lost"}}}
	result, err = c.Run(context.Background(), address, wholeStatement())
	is.NoErr(err)
	is.Equal(result.Reply.Failure, want.Reply.Failure)
}

// TestNotSent guards against a statement that is said not to have run although it may have:
// only an error of opening the connection shows that.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	ended := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	c := NewClient(&http.Transport{})
	_, err := c.Run(context.Background(), ended.Listener.Addr().String(), wholeStatement())
	is.True(err != nil && !errors.Is(err, ErrNotSent))
	address := ended.Listener.Addr().String()
	ended.Close()
	_, err = c.Run(context.Background(), address, wholeStatement())
	is.True(errors.Is(err, ErrNotSent))
}

// TestDeclinedUnread checks that a statement that is declined without being read is not taken for
// one that may have run.
func TestDeclinedUnread(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(DeclineHandler("no room"))
	defer server.Close()
	s := wholeStatement()
	s.Text = strings.Repeat("x", 1<<20)
	result, err := NewClient(http.DefaultTransport).Run(context.Background(), server.Listener.Addr().String(), s)
	is.NoErr(err)
	is.Equal(result.Declined, "no room")
	is.True(!result.Stopping)
}

// FuzzRunRequest decodes a request and checks what decisions rely on.
func FuzzRunRequest(f *testing.F) {
	for _, r := range []*forwardpb.RunRequest{encodeStatement(wholeStatement()), {Operation: "read", ArrivedAgoUs: -1 << 63, BegunAgoUs: 1<<63 - 1, Route: &forwardpb.Route{Policy: "primary", StatementTimeoutUs: 1<<63 - 1}}, {}} {
		b, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		var r forwardpb.RunRequest
		if proto.Unmarshal(message, &r) != nil {
			return
		}
		s, err := decodeStatement(&r)
		if err != nil {
			return
		}
		for _, d := range []time.Duration{s.ArrivedAgo, s.BegunAgo, s.Route.StatementTimeout, s.Route.LatencyObjective, s.Route.MaxStaleness} {
			if d < 0 || d > maxDuration {
				t.Fatalf("the time %v is out of range", d)
			}
		}
		if operationName(s.Op) == "" {
			t.Fatalf("the operation %T is not forwarded", s.Op)
		}
	})
}

// FuzzRunReply decodes a reply: it has an outcome, or a reason to decline.
func FuzzRunReply(f *testing.F) {
	for _, r := range []*forwardpb.RunReply{{Signature: []byte("sig")}, {Declined: "stopping"}, {FailureClass: "busy"}, {}} {
		b, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		var r forwardpb.RunReply
		if proto.Unmarshal(message, &r) != nil {
			return
		}
		result, err := decodeResult(&r)
		if err == nil && result.Declined == "" && result.Reply.Failure == nil && result.Reply.Signature == "" {
			t.Fatal("a reply without an outcome counts as a success")
		}
	})
}
