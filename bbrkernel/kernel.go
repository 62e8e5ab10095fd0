// Package bbrkernel puts an instance together: a small kernel, built on fx, in
// which services find each other by name, and which starts and stops them in
// order.
//
// # Usage
//
//	k, err := bbrkernel.New(settings, log)
//	err = k.Start(ctx)
//	...
//	err = k.Stop(ctx)
package bbrkernel

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbradmin"
	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrinstance"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrmetric"
	"github.com/bluebellroute/bluebellroute/bbrpeer"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrproxy"
	"github.com/bluebellroute/bluebellroute/bbrsettings"
	"github.com/bluebellroute/bluebellroute/bbrstore"
	"github.com/bluebellroute/bluebellroute/bbrtls"
	"github.com/bluebellroute/bluebellroute/bbrtoken"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Names under which services are found.
const (
	nameSettings  = `name:"settings"`
	nameLog       = `name:"log"`
	nameClock     = `name:"clock"`
	nameMetrics   = `name:"metrics"`
	nameGroup     = `name:"group"`
	nameEvidence  = `name:"evidence"`
	nameCerts     = `name:"certificates"`
	nameRegistry  = `name:"registry"`
	namePeers     = `name:"peers"`
	nameInstance  = `name:"instance"`
	nameProxy     = `name:"proxy"`
	nameListeners = `name:"listeners"`
)

// storeDialTimeout bounds the making of a connection to the platform.
const storeDialTimeout = 2 * time.Second

// Kernel is one instance, put together.
type Kernel struct {
	app *fx.App

	settings  *bbrsettings.Settings
	log       logrus.FieldLogger
	group     *errgroup.Group
	instance  *bbrinstance.Instance
	proxy     *bbrproxy.Server
	registry  *bbrgroup.Registry
	listeners *listeners
}

// listeners are the two ports of an instance.
type listeners struct {
	callers net.Listener
	control net.Listener
}

// certificates are the TLS configurations of an instance. Each is nil where TLS
// is off.
type certificates struct {
	callers    *tls.Config
	peerServer *tls.Config
	peerClient *tls.Config
	member     *tls.Config
}

// evidence passes what traffic shows to the instance, which is made later than
// those who tell it.
type evidence struct {
	target atomic.Pointer[bbrinstance.Instance]
}

var (
	_ bbrproxy.Evidence = (*evidence)(nil)
	_ bbrpool.Observer  = (*evidence)(nil)
)

// MemberAnswered implements bbrproxy.Evidence.
func (e *evidence) MemberAnswered(ref bbrmember.Ref) {
	if i := e.target.Load(); i != nil {
		i.MemberAnswered(ref)
	}
}

// MemberFailed implements bbrproxy.Evidence and bbrpool.Observer.
func (e *evidence) MemberFailed(ref bbrmember.Ref, kind bbrmember.FailureKind) {
	if i := e.target.Load(); i != nil {
		i.MemberFailed(ref, kind)
	}
}

// New puts an instance together and opens its ports. Nothing runs yet.
func New(s *bbrsettings.Settings, log logrus.FieldLogger) (*Kernel, error) {
	k := &Kernel{settings: s, log: log}
	named := func(constructor any, name string, params ...string) fx.Option {
		return fx.Provide(fx.Annotate(constructor, fx.ResultTags(name), fx.ParamTags(params...)))
	}
	k.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(fx.Annotate(s, fx.ResultTags(nameSettings))),
		named(func() logrus.FieldLogger { return log }, nameLog),
		named(bbrtype.NewClock, nameClock),
		named(bbrmetric.New, nameMetrics),
		named(func() *errgroup.Group { return &errgroup.Group{} }, nameGroup),
		named(func() *evidence { return &evidence{} }, nameEvidence),
		named(newCertificates, nameCerts, nameSettings),
		named(newListeners, nameListeners, nameSettings),
		named(newRegistry, nameRegistry, nameSettings, nameLog, nameClock, nameGroup, nameEvidence, nameCerts),
		named(newPeers, namePeers, nameCerts, nameMetrics),
		named(newInstance, nameInstance, nameSettings, nameLog, nameClock, nameGroup, nameMetrics, nameRegistry, namePeers, nameEvidence, nameListeners),
		named(newProxy, nameProxy, nameSettings, nameLog, nameClock, nameMetrics, nameRegistry, nameEvidence, nameCerts),
		fx.Invoke(fx.Annotate(k.assemble, fx.ParamTags("", nameGroup, nameInstance, nameProxy, nameRegistry, nameListeners, nameMetrics, nameCerts))),
	)
	if err := k.app.Err(); err != nil {
		return nil, errors.Wrap(err, "put the instance together")
	}
	return k, nil
}

func newCertificates(s *bbrsettings.Settings) (*certificates, error) {
	c := &certificates{}
	if s.TLS.CallerCert != "" {
		r, err := bbrtls.NewReloader(s.TLS.CallerCert, s.TLS.CallerKey)
		if err != nil {
			return nil, err
		}
		c.callers = r.ServerConfig()
	}
	if s.TLS.PeerCert != "" {
		r, err := bbrtls.NewReloader(s.TLS.PeerCert, s.TLS.PeerKey)
		if err != nil {
			return nil, err
		}
		pool, err := bbrtls.LoadPool(s.TLS.PeerCA)
		if err != nil {
			return nil, err
		}
		c.peerServer, c.peerClient = bbrtls.MutualServer(r, pool), bbrtls.MutualClient(r, pool)
	}
	c.member = &tls.Config{MinVersion: tls.VersionTLS12}
	if s.TLS.MemberCA != "" {
		pool, err := bbrtls.LoadPool(s.TLS.MemberCA)
		if err != nil {
			return nil, err
		}
		c.member.RootCAs = pool
	}
	return c, nil
}

// newListeners opens the ports. An address with port 0 takes a free one.
func newListeners(s *bbrsettings.Settings) (*listeners, error) {
	callers, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return nil, errors.Wrapf(err, "open the port for callers %s", s.Callers)
	}
	control, err := net.Listen("tcp", s.Control)
	if err != nil {
		_ = callers.Close()
		return nil, errors.Wrapf(err, "open the control port %s", s.Control)
	}
	return &listeners{callers: callers, control: control}, nil
}

func newRegistry(
	s *bbrsettings.Settings, log logrus.FieldLogger, clock *bbrtype.Clock, group *errgroup.Group, e *evidence, c *certificates,
) *bbrgroup.Registry {
	return bbrgroup.NewRegistry(bbrgroup.Deps{
		Clock: clock, Tasks: group, Observer: e, Log: log, Secrets: s, DataCentre: s.DataCentre, MemberTLS: c.member,
	})
}

func newPeers(c *certificates, m *bbrmetric.Set) *bbrpeer.Clients {
	return bbrpeer.NewClients(c.peerClient, m)
}

func newInstance(
	s *bbrsettings.Settings, log logrus.FieldLogger, clock *bbrtype.Clock, group *errgroup.Group, m *bbrmetric.Set,
	r *bbrgroup.Registry, peers *bbrpeer.Clients, e *evidence, l *listeners,
) (*bbrinstance.Instance, error) {
	store := s.Store
	store.Dial = m.CountDial(bbrmetric.LinkStore, (&net.Dialer{Timeout: storeDialTimeout}).DialContext)
	objects, err := bbrstore.NewObjects(store)
	if err != nil {
		return nil, err
	}
	opts := s.Timing
	opts.Self.ID = bbrinstance.NewID(s.Name)
	opts.FleetName = s.Store.Table
	if s.Advertised == s.Control {
		opts.Self.Address = l.control.Addr().String()
	}
	i := bbrinstance.New(bbrinstance.Deps{
		Clock: clock, Journal: bbrstore.NewTable(store), Bodies: objects, List: bbrstore.NewList(store),
		Peers: peers, Registry: r, Metrics: m, Log: log.WithField("instance", s.Name), Group: group,
	}, bbrinstance.Options{Control: opts, Seeds: s.Seeds, FixedQuota: s.FixedQuota})
	e.target.Store(i)
	return i, nil
}

func newProxy(
	s *bbrsettings.Settings, log logrus.FieldLogger, clock *bbrtype.Clock, m *bbrmetric.Set, r *bbrgroup.Registry, e *evidence, c *certificates,
) (*bbrproxy.Server, error) {
	return bbrproxy.NewServer(bbrproxy.Deps{
		Registry: r, Clock: clock, Signer: bbrtoken.NewSigner(s.TokenKey), Metrics: m,
		Log: log.WithField("instance", s.Name), Evidence: e, TLS: c.callers,
	}, s.Limits)
}

// assemble sets the order of start and stop.
func (k *Kernel) assemble(
	lc fx.Lifecycle, group *errgroup.Group, i *bbrinstance.Instance, p *bbrproxy.Server, r *bbrgroup.Registry,
	l *listeners, m *bbrmetric.Set, c *certificates,
) {
	k.group, k.instance, k.proxy, k.registry, k.listeners = group, i, p, r, l
	adminKey, _ := k.settings.Secret("adminKey")
	reporter := &reporter{instance: i, proxy: p, registry: r, name: k.settings.Name}
	admin := bbradmin.NewHandler(bbradmin.Deps{Instance: i, AdminKey: adminKey, Status: reporter.report, Log: k.log})
	control := newControlServer(i, p, reporter, admin, m, c.peerServer, k.settings.Profiling)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			group.Go(func() error { return control.serve(l.control) })
			i.Start()
			group.Go(func() error { return p.Serve(l.callers) })
			return nil
		},
		OnStop: func(ctx context.Context) error {
			i.Stop()
			r.Close()
			control.close(ctx)
			return group.Wait()
		},
	})
}

// CallerAddress returns the address that callers connect to.
func (k *Kernel) CallerAddress() string { return k.listeners.callers.Addr().String() }

// ControlAddress returns the address for instances and operators.
func (k *Kernel) ControlAddress() string { return k.listeners.control.Addr().String() }

// Instance returns the instance.
func (k *Kernel) Instance() *bbrinstance.Instance { return k.instance }

// Registry returns the groups in service.
func (k *Kernel) Registry() *bbrgroup.Registry { return k.registry }

// Start starts the services.
func (k *Kernel) Start(ctx context.Context) error {
	if err := k.app.Start(ctx); err != nil {
		return errors.Wrap(err, "start the instance")
	}
	k.log.WithFields(logrus.Fields{
		"instance": k.settings.Name, "callers": k.CallerAddress(), "control": k.ControlAddress(), "dataCentre": k.settings.DataCentre,
	}).Info("instance started")
	return nil
}

// Drain ends service in order: it gives up the steward's work, lets statements
// and transactions end within the drain setting, and takes the instance out of
// the journal. It returns the number of callers that were cut off.
func (k *Kernel) Drain(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, k.settings.Drain)
	defer cancel()
	k.log.WithField("instance", k.settings.Name).Info("instance draining")
	k.instance.Leave(ctx)
	cut := k.proxy.Drain(ctx)
	k.instance.Drained(ctx)
	k.log.WithFields(logrus.Fields{"instance": k.settings.Name, "cutOff": cut}).Info("instance drained")
	return cut
}

// Stop stops the services. Callers that are still connected are cut off.
func (k *Kernel) Stop(ctx context.Context) error {
	k.proxy.Close()
	return errors.Wrap(k.app.Stop(ctx), "stop the instance")
}
