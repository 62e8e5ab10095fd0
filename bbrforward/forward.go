// Package bbrforward carries statements from an instance without connections to the
// members of a group to one that holds some (see bbrholder), by twirp. It decides
// nothing: which instance a statement is forwarded to, what is forwarded again and what
// the caller is told is up to bbrsession.
//
// Times are sent as durations, counted back from the moment of sending, because instances
// share no clock. The receiving instance counts them back from the moment of receipt, so
// that a statement never seems to have arrived earlier than it did.
//
// # Usage
//
//	handler := bbrforward.Handler(runner)
//	c := bbrforward.NewClient(transport)
//	result, err := c.Run(ctx, "10.0.0.7:7440", statement)
//	if errors.Is(err, bbrforward.ErrNotSent) { … }
package bbrforward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrecho"
	"github.com/bluebellroute/bluebellroute/bbrforward/forwardpb"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TransactionID names an open transaction at the instance that holds its connection.
type TransactionID string

// Statement is a statement that is forwarded, with what its session adds.
type Statement struct {
	bbrmessage.Statement
	// Route is the route by which the forwarding instance serves the statement.
	Route bbrcatalog.Route
	// Tenant is the tenant on whose connections the statement runs, empty where callers
	// are not identified.
	Tenant bbrtype.TenantName
	// ArrivedAgo is how long before sending the statement arrived. BegunAgo is the same
	// for the begin of its transaction, or for the statement if it is in none.
	ArrivedAgo, BegunAgo time.Duration
	// LastWrite is the newest log position of the session's own commits.
	LastWrite bbrmessage.LogPosition
	Values    map[string]string
	// Prepared is the prepared statement that an Execute runs, by the caller's name of
	// it.
	Prepared map[string]bbrmessage.Prepare
	// InTransaction is set for a statement of a transaction. Transaction is empty if the
	// transaction begins with this statement.
	InTransaction, ReadOnly bool
	Transaction             TransactionID
	// LastResort is set if the instance is to serve the statement even if the group's
	// primary does not respond to it.
	LastResort bool
}

// Result is the outcome of a forwarded statement.
type Result struct {
	// Declined is why the instance did not run the statement and will not, empty if it
	// took it on. Such a statement may be run elsewhere.
	Declined string
	// Stopping is set if it declined because it is stopping.
	Stopping bool
	// Reply has neither state nor position: the session knows its own.
	Reply bbrmessage.Reply
	// LastWrite is the newest log position of the session's own commits.
	LastWrite bbrmessage.LogPosition
	// Transaction is the transaction that is open after the statement, empty if none is.
	Transaction TransactionID
	Phases      Phases
	// Took is how long the instance worked on the statement.
	Took time.Duration
}

// Phases is where the time of a statement went at the instance that ran it; see
// bbrsession.Phases.
type Phases struct {
	Queue, Connect, Proof, Member, Pause time.Duration
	Attempts, ConnectFailures            int
}

// ErrNotSent means that no connection to the instance could be opened, so that the
// statement has not run.
var ErrNotSent = errors.New("the instance could not be reached")

// ErrStopping means that the instance responds, but is stopping.
var ErrStopping = errors.New("the instance is stopping")

// Runner runs forwarded statements.
type Runner func(ctx context.Context, s Statement) Result

// Handler serves forwarded statements. stopping reports whether the instance is stopping.
func Handler(run Runner, stopping func() bool) http.Handler {
	return bbrecho.Handler(forwardpb.NewForwardServer(&server{run: run, stopping: stopping}))
}

// DeclineHandler declines forwarded statements without reading them.
func DeclineHandler(reason string) http.Handler {
	return bbrecho.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reply, err := proto.Marshal(&forwardpb.RunReply{Declined: reason})
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(reply)
	}))
}

// PathPrefix is the path under which Handler expects requests.
const PathPrefix = forwardpb.ForwardPathPrefix

type server struct {
	run      Runner
	stopping func() bool
}

// Run implements the service.
func (s *server) Run(ctx context.Context, r *forwardpb.RunRequest) (*forwardpb.RunReply, error) {
	st, err := decodeStatement(r)
	if err != nil {
		return &forwardpb.RunReply{Declined: err.Error()}, nil
	}
	return encodeResult(s.run(ctx, st)), nil
}

// Ping implements the service.
func (s *server) Ping(context.Context, *forwardpb.PingRequest) (*forwardpb.PingReply, error) {
	return &forwardpb.PingReply{Stopping: s.stopping()}, nil
}

// Client forwards statements.
type Client struct{ http *http.Client }

// NewClient returns a client that makes its connections by a transport.
func NewClient(t http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: bbrecho.Transport{Base: t}}}
}

// Run forwards a statement to the instance at an address. After ErrNotSent the statement
// has not run; after any other error it is unknown whether it has.
func (c *Client) Run(ctx context.Context, address string, s Statement) (Result, error) {
	reply, err := c.service(address).Run(ctx, encodeStatement(s))
	if err != nil {
		return Result{}, errors.Wrapf(sentOrNot(err), "forward to the instance at %s", address)
	}
	return decodeResult(reply)
}

// Ping returns an error if the instance at an address does not respond before ctx ends, and
// ErrStopping if it responds but is stopping.
func (c *Client) Ping(ctx context.Context, address string) error {
	reply, err := c.service(address).Ping(ctx, &forwardpb.PingRequest{})
	if err == nil && reply.GetStopping() {
		err = ErrStopping
	}
	return errors.Wrapf(err, "ping the instance at %s", address)
}

func (c *Client) service(address string) forwardpb.Forward {
	return forwardpb.NewForwardProtobufClient("http://"+address, c.http)
}

// sentOrNot returns ErrNotSent for an error of opening a connection, else err.
func sentOrNot(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	return err
}
