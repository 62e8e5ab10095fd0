// Package bbrallowance lets instances take tokens of the limits of tenants from the owners of
// the limits (see bbrlimit), and new owners take over from those before. A token that is
// granted in a reply that gets lost is lost: it is never used twice.
//
// # Usage
//
//	mux.Handle(bbrallowance.PathPrefix, bbrallowance.Handler(source))
//	c := bbrallowance.NewClient(transport)
//	reply, err := c.Take(ctx, "10.0.0.7:7440", bbrallowance.Request{Tenant: "acme", Request: bbrlimit.Request{Needed: 1}})
package bbrallowance

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrallowance/allowancepb"
	"github.com/bluebellroute/bluebellroute/bbrecho"
	"github.com/bluebellroute/bluebellroute/bbrlimit"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// PathPrefix is the path under which Handler expects requests.
const PathPrefix = allowancepb.AllowancePathPrefix

// ErrNotOwner means that the asked instance owns no part of the tenant's limit, as far as it
// knows.
var ErrNotOwner = errors.New("the instance does not own the limit of the tenant")

// Request asks for tokens of a tenant.
type Request struct {
	Tenant bbrtype.TenantName
	bbrlimit.Request
	// FromOwner is set if the asker is an owner of the tenant's limit, too.
	FromOwner bool
}

// Source is an owner of limits.
type Source interface {
	// Grant grants tokens. It returns ErrNotOwner if this instance has none to grant.
	Grant(r Request) (bbrlimit.Grant, error)
	// Yield gives up the tokens of a tenant.
	Yield(tenant bbrtype.TenantName) bbrlimit.Handover
}

// Handler grants tokens to other instances.
func Handler(s Source) http.Handler {
	return bbrecho.Handler(allowancepb.NewAllowanceServer(&server{source: s}))
}

type server struct{ source Source }

// Take implements the service.
func (s *server) Take(_ context.Context, r *allowancepb.TakeRequest) (*allowancepb.TakeReply, error) {
	grant, err := s.source.Grant(Request{
		Tenant:    bbrtype.TenantName(r.GetTenant()),
		Request:   bbrlimit.Request{Needed: int(max(0, r.GetNeeded())), Spare: int(max(0, r.GetSpare()))},
		FromOwner: r.GetOwner(),
	})
	if err != nil {
		return &allowancepb.TakeReply{}, nil
	}
	return &allowancepb.TakeReply{Owner: true, Tokens: count(grant.Tokens), RetryAfterUs: grant.RetryAfter.Microseconds()}, nil
}

// Yield implements the service.
func (s *server) Yield(_ context.Context, r *allowancepb.YieldRequest) (*allowancepb.YieldReply, error) {
	h := s.source.Yield(bbrtype.TenantName(r.GetTenant()))
	return &allowancepb.YieldReply{Owned: h.Owned, Tokens: count(h.Tokens)}, nil
}

// Client takes tokens from other instances.
type Client struct{ http *http.Client }

// NewClient returns a client that makes its connections by a transport.
func NewClient(t http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: bbrecho.Transport{Base: t}}}
}

// Take takes tokens from the instance at an address. It returns ErrNotOwner if that one owns
// no part of the tenant's limit.
func (c *Client) Take(ctx context.Context, address string, r Request) (bbrlimit.Grant, error) {
	reply, err := c.service(address).Take(ctx, &allowancepb.TakeRequest{
		Tenant: string(r.Tenant), Needed: count(r.Needed), Spare: count(r.Spare), Owner: r.FromOwner,
	})
	switch {
	case err != nil:
		return bbrlimit.Grant{}, errors.Wrapf(err, "take tokens from the instance at %s", address)
	case !reply.GetOwner():
		return bbrlimit.Grant{}, ErrNotOwner
	}
	return decode(r, reply), nil
}

// ErrNotRunning means that no process listens at the address, so that none grants tokens.
var ErrNotRunning = errors.New("no instance runs at the address")

// Yield asks the instance at an address to give up its tokens of a tenant. After
// ErrNotRunning it has none.
func (c *Client) Yield(ctx context.Context, address string, tenant bbrtype.TenantName) (bbrlimit.Handover, error) {
	reply, err := c.service(address).Yield(ctx, &allowancepb.YieldRequest{Tenant: string(tenant)})
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial" && !op.Timeout():
		return bbrlimit.Handover{}, errors.WithMessage(ErrNotRunning, err.Error())
	case err != nil:
		return bbrlimit.Handover{}, errors.Wrapf(err, "ask the instance at %s to yield a limit", address)
	}
	return bbrlimit.Handover{Owned: reply.GetOwned(), Tokens: max(0, int(reply.GetTokens()))}, nil
}

func (c *Client) service(address string) allowancepb.Allowance {
	return allowancepb.NewAllowanceProtobufClient("http://"+address, c.http)
}

// decode returns the grant of a reply. No owner grants more than was asked for.
func decode(r Request, reply *allowancepb.TakeReply) bbrlimit.Grant {
	retryAfter := min(max(0, reply.GetRetryAfterUs()), bbrlimit.MaxRetryAfter.Microseconds())
	return bbrlimit.Grant{
		Tokens:     min(max(0, int(reply.GetTokens())), max(0, r.Needed)+max(0, r.Spare)),
		RetryAfter: time.Duration(retryAfter) * time.Microsecond,
	}
}

func count(n int) int32 { return int32(min(max(0, n), math.MaxInt32)) }
