package bbrgroup

import (
	"crypto/tls"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrroute"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Secrets looks up passwords by name.
type Secrets interface {
	// Secret returns a password. ok is false if the name is unknown.
	Secret(name bbrconfig.SecretName) (value string, ok bool)
}

// Deps are the dependencies of a Registry.
type Deps struct {
	Clock *bbrtype.Clock
	// Tasks runs the goroutines of the registry and of its pools.
	Tasks *errgroup.Group
	// Observer is notified when a connection to a member can't be made.
	Observer bbrpool.Observer
	// Log may be nil.
	Log logrus.FieldLogger
	// Secrets may be nil. All passwords are empty then.
	Secrets Secrets
	// DataCentre is the data centre of this instance.
	DataCentre bbrtype.DataCentre
	// MemberTLS is used for connections to members of groups with TLS.
	MemberTLS *tls.Config
}

// Registry contains the groups of the configuration in force, and the current
// view.
type Registry struct {
	deps   Deps
	clock  *bbrtype.Clock
	tasks  *errgroup.Group
	dialer *bbrpool.Dialer

	view atomic.Pointer[View]

	mu     sync.Mutex
	groups map[bbrtype.GroupName]*Group
	// changed is closed and replaced at each change that ViewChanged reports.
	changed chan struct{}
}

// NewRegistry returns a registry without groups.
func NewRegistry(deps Deps) *Registry {
	r := &Registry{
		deps:    deps,
		clock:   deps.Clock,
		tasks:   deps.Tasks,
		dialer:  &bbrpool.Dialer{Clock: deps.Clock},
		groups:  map[bbrtype.GroupName]*Group{},
		changed: make(chan struct{}),
	}
	r.view.Store(&View{Journal: &bbrjournal.State{}})
	return r
}

// View returns the current view.
func (r *Registry) View() *View { return r.view.Load() }

// ViewChanged returns a channel that is closed when the journal's state or the
// configuration changes, or when the instance's authority is renewed after it
// expired.
func (r *Registry) ViewChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// SetJournalState replaces the journal's state and the end of the instance's
// authority in the view.
func (r *Registry) SetJournalState(s *bbrjournal.State, authorityUntil bbrtype.Mono) {
	old := r.view.Load()
	if old.Journal == s && old.AuthorityUntil == authorityUntil {
		return
	}
	now := r.clock.Now()
	next := *old
	next.Journal, next.AuthorityUntil = s, authorityUntil
	r.view.Store(&next)
	if old.Journal != s || old.AuthorityUntil <= now {
		r.notifyChanged()
	}
}

func (r *Registry) notifyChanged() {
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

// Groups returns all groups of the configuration in force.
func (r *Registry) Groups() []*Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*Group, 0, len(r.groups))
	for _, g := range r.groups {
		out = append(out, g)
	}
	return out
}

// SetConfig activates a configuration. It closes the pools of removed or
// changed members. Their connections in use stay open until the statement or
// transaction ends.
func (r *Registry) SetConfig(cfg *bbrconfig.Config, version uint64, hash string) {
	r.mu.Lock()
	for name, g := range r.groups {
		if cfg.Groups[name] == nil {
			g.closePools()
			delete(r.groups, name)
		}
	}
	for name, groupCfg := range cfg.Groups {
		g := r.groups[name]
		if g == nil {
			g = &Group{
				Name:            name,
				Tracker:         bbrroute.NewTracker(rand.Uint64),
				registry:        r,
				pools:           map[bbrtype.MemberName]*bbrpool.Pool{},
				pollers:         map[bbrtype.MemberName]bool{},
				nextObservation: make(chan struct{}),
			}
			r.groups[name] = g
		}
		g.configure(groupCfg)
	}
	next := *r.view.Load()
	next.Config, next.ConfigVersion, next.ConfigHash = cfg, version, hash
	r.view.Store(&next)
	r.mu.Unlock()
	r.notifyChanged()
}

// configure applies a group's configuration. It creates the pools of new
// members, closes those of removed members, and replaces those whose endpoint or
// number of slots changed.
func (g *Group) configure(groupCfg *bbrconfig.Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	localMembers := map[bbrtype.MemberName]bool{}
	for name, pool := range g.pools {
		m, ok := groupCfg.Members[name]
		if !ok || !reflect.DeepEqual(pool.Endpoint(), g.registry.memberEndpoint(groupCfg, m)) || (g.cfg != nil && g.cfg.Slots != groupCfg.Slots) {
			pool.Close()
			delete(g.pools, name)
			g.Tracker.InvalidateState(name)
		}
	}
	for name, m := range groupCfg.Members {
		localMembers[name] = m.DataCentre == g.registry.deps.DataCentre
		if g.pools[name] == nil {
			g.pools[name] = bbrpool.New(bbrpool.Options{
				Ref:      bbrmember.Ref{Group: g.Name, Member: name},
				Endpoint: g.registry.memberEndpoint(groupCfg, m),
				Slots:    groupCfg.Slots,
				Dialer:   g.registry.dialer,
				Clock:    g.registry.clock,
				Observer: g.registry.deps.Observer,
				Log:      g.registry.deps.Log,
				Group:    g.registry.tasks,
			})
		}
	}
	g.cfg = groupCfg
	// The configuration contains no zero bytes, so encoding can't fail.
	g.encodedStateQuery, _ = (&pgproto3.Query{String: groupCfg.StateSQL}).Encode(nil)
	g.Tracker.SetLocal(localMembers)
}

// memberEndpoint returns the address and credentials for connections to a member.
func (r *Registry) memberEndpoint(groupCfg *bbrconfig.Group, m bbrconfig.Member) bbrpool.Endpoint {
	e := bbrpool.Endpoint{Address: m.Address, Database: groupCfg.Database, User: groupCfg.User, DataCentre: string(r.deps.DataCentre)}
	if groupCfg.Password != "" && r.deps.Secrets != nil {
		e.Password, _ = r.deps.Secrets.Secret(groupCfg.Password)
	}
	if groupCfg.TLS {
		e.TLS = r.deps.MemberTLS
	}
	return e
}

// Endpoint returns the address and credentials for connections to the
// referenced member. ok is false if the configuration has no such member.
func (r *Registry) Endpoint(ref bbrmember.Ref) (e bbrpool.Endpoint, ok bool) {
	g, ok := r.Group(ref.Group)
	if !ok {
		return e, false
	}
	groupCfg := g.Config()
	m, ok := groupCfg.Members[ref.Member]
	if !ok {
		return e, false
	}
	return r.memberEndpoint(groupCfg, m), true
}

func (g *Group) closePools() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		p.Close()
	}
}

// Close closes the pools of all groups.
func (r *Registry) Close() {
	for _, g := range r.Groups() {
		g.closePools()
	}
}
