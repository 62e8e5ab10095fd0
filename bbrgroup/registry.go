package bbrgroup

import (
	"crypto/tls"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrroute"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Secrets returns passwords by name.
type Secrets interface {
	// Secret returns a password. ok is false if the name is unknown.
	Secret(name bbrconfig.SecretName) (value string, ok bool)
}

// Deps are what a registry works with.
type Deps struct {
	Clock    *bbrtype.Clock
	Group    *errgroup.Group
	Observer bbrpool.Observer
	Secrets  Secrets
	// DataCentre is the instance's own.
	DataCentre bbrtype.DataCentre
	// MemberTLS is used for groups that ask for it.
	MemberTLS *tls.Config
}

// Registry holds the groups of the configuration in force.
type Registry struct {
	deps   Deps
	clock  *bbrtype.Clock
	group  *errgroup.Group
	dialer *bbrpool.Dialer

	view atomic.Pointer[View]

	mu     sync.Mutex
	groups map[bbrtype.GroupName]*Group
	// changed is closed and replaced with each new view that matters to
	// those who wait.
	changed chan struct{}
}

// NewRegistry returns a registry without groups.
func NewRegistry(deps Deps) *Registry {
	r := &Registry{
		deps:    deps,
		clock:   deps.Clock,
		group:   deps.Group,
		dialer:  &bbrpool.Dialer{Clock: deps.Clock},
		groups:  map[bbrtype.GroupName]*Group{},
		changed: make(chan struct{}),
	}
	r.view.Store(&View{State: &bbrjournal.State{}})
	return r
}

// View returns what the instance knows now.
func (r *Registry) View() *View { return r.view.Load() }

// Changed returns a channel that is closed when the view changes.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// SetView replaces the journal's part of the view.
func (r *Registry) SetView(s *bbrjournal.State, until bbrtype.Mono) {
	old := r.view.Load()
	if old.State == s && old.Until == until {
		return
	}
	now := r.clock.Now()
	next := *old
	next.State, next.Until = s, until
	r.view.Store(&next)
	if old.State != s || old.Until <= now {
		r.wake()
	}
}

func (r *Registry) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Group returns a group of the configuration in force.
func (r *Registry) Group(name bbrtype.GroupName) (*Group, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, ok := r.groups[name]
	return g, ok
}

// Groups returns all groups.
func (r *Registry) Groups() []*Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*Group, 0, len(r.groups))
	for _, g := range r.groups {
		out = append(out, g)
	}
	return out
}

// SetConfig puts a configuration in force. Connections in use stay open until
// their statement or transaction ends.
func (r *Registry) SetConfig(cfg *bbrconfig.Config, version uint64, hash string) {
	r.mu.Lock()
	for name, g := range r.groups {
		if cfg.Groups[name] == nil {
			g.closePools()
			delete(r.groups, name)
		}
	}
	for name, gc := range cfg.Groups {
		g := r.groups[name]
		if g == nil {
			g = &Group{
				Name:     name,
				Tracker:  bbrroute.NewTracker(rand.Uint64),
				registry: r,
				pools:    map[bbrtype.MemberName]*bbrpool.Pool{},
				polled:   map[bbrtype.MemberName]bool{},
				moved:    make(chan struct{}),
			}
			r.groups[name] = g
		}
		g.configure(gc)
	}
	next := *r.view.Load()
	next.Config, next.Version, next.Hash = cfg, version, hash
	r.view.Store(&next)
	r.mu.Unlock()
	r.wake()
}

// configure takes over a group's configuration: pools of members that are new
// or changed are made anew.
func (g *Group) configure(gc *bbrconfig.Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	near := map[bbrtype.MemberName]bool{}
	for name, pool := range g.pools {
		m, ok := gc.Members[name]
		if !ok || !reflect.DeepEqual(pool.Endpoint(), g.registry.endpoint(gc, m)) || (g.cfg != nil && g.cfg.Slots != gc.Slots) {
			pool.Close()
			delete(g.pools, name)
			g.Tracker.Forget(name)
		}
	}
	for name, m := range gc.Members {
		near[name] = m.DataCentre == g.registry.deps.DataCentre
		if g.pools[name] == nil {
			g.pools[name] = bbrpool.New(bbrpool.Options{
				Ref:      bbrmember.Ref{Group: g.Name, Member: name},
				Endpoint: g.registry.endpoint(gc, m),
				Slots:    gc.Slots,
				Dialer:   g.registry.dialer,
				Clock:    g.registry.clock,
				Observer: g.registry.deps.Observer,
				Group:    g.registry.group,
			})
		}
	}
	g.cfg = gc
	// A text of the configuration has no zero byte and can be encoded.
	g.stateQuery, _ = (&pgproto3.Query{String: gc.StateSQL}).Encode(nil)
	g.Tracker.SetNear(near)
}

// endpoint works out how a member is reached.
func (r *Registry) endpoint(gc *bbrconfig.Group, m bbrconfig.Member) bbrpool.Endpoint {
	e := bbrpool.Endpoint{Address: m.Address, Database: gc.Database, User: gc.User, DataCentre: string(r.deps.DataCentre)}
	if gc.Password != "" && r.deps.Secrets != nil {
		e.Password, _ = r.deps.Secrets.Secret(gc.Password)
	}
	if gc.TLS {
		e.TLS = r.deps.MemberTLS
	}
	return e
}

// Endpoint returns how a member is reached. ok is false if there is none.
func (r *Registry) Endpoint(ref bbrmember.Ref) (e bbrpool.Endpoint, ok bool) {
	g, ok := r.Group(ref.Group)
	if !ok {
		return e, false
	}
	gc := g.Config()
	m, ok := gc.Members[ref.Member]
	if !ok {
		return e, false
	}
	return r.endpoint(gc, m), true
}

func (g *Group) closePools() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		p.Close()
	}
}

// Close closes all pools.
func (r *Registry) Close() {
	for _, g := range r.Groups() {
		g.closePools()
	}
}
