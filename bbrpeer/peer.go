// Package bbrpeer carries the calls between instances, by twirp.
//
// # Usage
//
//	clients := bbrpeer.NewClients(tlsConfig, metrics)
//	reply, err := clients.Exchange(ctx, address, message)
//
//	mux.Handle(bbrpeer.PathPrefix, bbrpeer.NewHandler(service))
package bbrpeer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrmetric"
	"github.com/bluebellroute/bluebellroute/bbrpeer/peerpb"
	"github.com/bluebellroute/bluebellroute/bbrquota"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// PathPrefix is where the handler is to be mounted.
const PathPrefix = peerpb.PeerPathPrefix

const (
	// dialTimeout bounds the making of a connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection to a peer is kept without use.
	idleTimeout = time.Minute
)

// RenewRequest asks the granter of some members for connections.
type RenewRequest struct {
	From    bbrtype.InstanceID
	Applied bbrtype.Index
	Asks    map[bbrmember.Ref]bbrquota.Demand
	// Release gives everything back.
	Release bool
}

// Service is what an instance offers to its peers.
type Service interface {
	Exchange(ctx context.Context, m bbrcontrol.Message) (bbrcontrol.Message, error)
	Renew(ctx context.Context, r RenewRequest) (map[bbrmember.Ref]int, error)
	ConfigurationBody(ctx context.Context, hash string) ([]byte, error)
}

// ErrUnknownConfiguration is returned for a body that a peer does not have.
var ErrUnknownConfiguration = errors.New("the configuration is not known here")

// handler turns twirp's calls into those of a Service.
type handler struct{ service Service }

var _ peerpb.Peer = (*handler)(nil)

// NewHandler returns the HTTP handler of a service.
func NewHandler(s Service) http.Handler { return peerpb.NewPeerServer(&handler{service: s}) }

// Exchange implements peerpb.Peer.
func (h *handler) Exchange(ctx context.Context, m *peerpb.Message) (*peerpb.Message, error) {
	msg, err := messageFromProto(m)
	if err != nil {
		return nil, twirp.InvalidArgumentError("message", err.Error())
	}
	reply, err := h.service.Exchange(ctx, msg)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return messageToProto(reply)
}

// Renew implements peerpb.Peer.
func (h *handler) Renew(ctx context.Context, m *peerpb.RenewRequest) (*peerpb.RenewReply, error) {
	r := RenewRequest{
		From: bbrtype.InstanceID(m.GetFrom()), Applied: bbrtype.Index(m.GetApplied()),
		Asks: map[bbrmember.Ref]bbrquota.Demand{}, Release: m.GetRelease(),
	}
	for _, a := range m.GetAsks() {
		r.Asks[refFromProto(a.GetRef())] = bbrquota.Demand{Open: int(a.GetHeld()), Wanted: int(a.GetWant())}
	}
	grants, err := h.service.Renew(ctx, r)
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	out := &peerpb.RenewReply{}
	for ref, n := range grants {
		out.Grants = append(out.Grants, &peerpb.Grant{Ref: refToProto(ref), Amount: uint32(n)})
	}
	return out, nil
}

// Configuration implements peerpb.Peer.
func (h *handler) Configuration(ctx context.Context, m *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	body, err := h.service.ConfigurationBody(ctx, m.GetHash())
	if errors.Is(err, ErrUnknownConfiguration) {
		return nil, twirp.NotFoundError(err.Error())
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.ConfigurationReply{Body: body}, nil
}

// Clients calls peers by their address. Calls to a peer share one HTTP/2
// connection, whose compressed headers keep them small.
type Clients struct {
	tls  *tls.Config
	dial bbrmetric.DialFunc

	mu    sync.Mutex
	peers map[string]*client
}

// client calls one peer.
type client struct {
	peerpb.Peer
	dial bbrmetric.DialFunc

	mu   sync.Mutex
	conn net.Conn
}

// NewClients returns clients that use TLS if a configuration is given.
func NewClients(cfg *tls.Config, metrics *bbrmetric.Set) *Clients {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Clients{tls: cfg, dial: metrics.CountDial(bbrmetric.LinkPeer, dialer.DialContext), peers: map[string]*client{}}
}

// at returns the client of a peer.
func (c *Clients) at(address string) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = c.newClient(address)
		c.peers[address] = p
	}
	return p
}

func (c *Clients) newClient(address string) *client {
	p := &client{dial: c.dial}
	t := &http.Transport{TLSClientConfig: c.tls, IdleConnTimeout: idleTimeout, DialContext: p.connect, Protocols: new(http.Protocols)}
	scheme := "http://"
	if c.tls != nil {
		scheme = "https://"
		t.Protocols.SetHTTP2(true)
	} else {
		t.Protocols.SetUnencryptedHTTP2(true)
	}
	p.Peer = peerpb.NewPeerProtobufClient(scheme+address, &http.Client{Transport: t})
	return p
}

// connect opens the connection and remembers it.
func (p *client) connect(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if err == nil {
		p.mu.Lock()
		p.conn = conn
		p.mu.Unlock()
	}
	return conn, err
}

// close closes the connection.
func (p *client) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// replace closes a peer's connection, and lets the next call use a new client. The old
// one's transport notices the end of its connection only later.
func (c *Clients) replace(address string, p *client) {
	c.mu.Lock()
	if c.peers[address] == p {
		delete(c.peers, address)
	}
	c.mu.Unlock()
	p.close()
}

// failed turns a call's error into the caller's. Unless the peer itself refused
// the call, the connection may have gone silent: the next call makes a new one.
func (c *Clients) failed(p *client, err error, what, address string) error {
	var refused twirp.Error
	if !errors.As(err, &refused) || refused.Code() == twirp.Internal {
		c.replace(address, p)
	}
	return errors.Wrapf(err, "%s %s", what, address)
}

// Exchange sends a message to a peer and returns its reply.
func (c *Clients) Exchange(ctx context.Context, address string, m bbrcontrol.Message) (bbrcontrol.Message, error) {
	req, err := messageToProto(m)
	if err != nil {
		return bbrcontrol.Message{}, err
	}
	p := c.at(address)
	reply, err := p.Exchange(ctx, req)
	if err != nil {
		return bbrcontrol.Message{}, c.failed(p, err, "exchange with", address)
	}
	return messageFromProto(reply)
}

// Renew asks a granter for connections.
func (c *Clients) Renew(ctx context.Context, address string, r RenewRequest) (map[bbrmember.Ref]int, error) {
	req := &peerpb.RenewRequest{From: string(r.From), Applied: uint64(r.Applied), Release: r.Release}
	for ref, a := range r.Asks {
		req.Asks = append(req.Asks, &peerpb.Ask{Ref: refToProto(ref), Held: uint32(a.Open), Want: uint32(a.Wanted)})
	}
	p := c.at(address)
	reply, err := p.Renew(ctx, req)
	if err != nil {
		return nil, c.failed(p, err, "renew grants with", address)
	}
	out := map[bbrmember.Ref]int{}
	for _, g := range reply.GetGrants() {
		out[refFromProto(g.GetRef())] = int(g.GetAmount())
	}
	return out, nil
}

// ConfigurationBody asks a peer for a configuration's body.
func (c *Clients) ConfigurationBody(ctx context.Context, address, hash string) ([]byte, error) {
	p := c.at(address)
	reply, err := p.Configuration(ctx, &peerpb.ConfigurationRequest{Hash: hash})
	if err != nil {
		return nil, c.failed(p, err, "read configuration from", address)
	}
	return reply.GetBody(), nil
}

// Close closes the connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
}
