// Package bbrnode puts together an instance that meets its platform through
// interfaces: where configurations and members come from, how callers and members
// are spoken to, and who carries out a promotion.
//
// # Usage
//
//	err := bbrnode.Start(ctx, settings, ports, log, load, reload)
package bbrnode

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsession"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Tables of the system's own.
const (
	groupTable    = "groups"
	instanceTable = "instances"
)

// Source tells where configurations and members are kept, and reads them.
type Source struct {
	ConfigTable, ConfigKey, MemberTable string

	DecodeCatalogue func([]byte) (*bbrcatalog.Catalogue, error)
	DecodeMember    func(id string, entry []byte) (bbrdirectory.Member, error)
}

// Promoter carries out promotions.
type Promoter interface {
	Promote(ctx context.Context, o bbrsuccession.Order) error
}

// Ports are the ways to an instance's platform.
type Ports struct {
	Source
	Rows     bbrrows.Rows
	Promoter Promoter
	Caller   func(net.Conn) bbrmessage.CallerConn
	Dial     bbrlink.Dialer
	// Watch prepares a caller's connection, so that it is found when it goes silent.
	Watch func(net.Conn)
	// Transport makes connections to other instances.
	Transport http.RoundTripper
	// ReadyPath is where the platform asks whether the instance takes callers.
	ReadyPath string
}

// Node is one instance.
type Node struct {
	settings *Settings
	ports    Ports
	log      *logrus.Logger
	clock    *bbrtype.Clock
	work     *errgroup.Group
	catalog  bbrcatalog.Holder
	sessions *bbrsession.Server
	metrics  *metrics
	voucher  shared
	asker    shared
	others   *bbrshare.Client

	mu        sync.Mutex
	directory bbrdirectory.Directory
	records   map[bbrtype.GroupName]bbrsuccession.Known
	groups    map[bbrtype.GroupName]*bbrlink.Group
	instances atomic.Int64
	// avoided are instances that did not answer, until when.
	avoided map[string]bbrtype.Mono
	// peers are the other instances.
	peers  []instanceEntry
	mirror bbrrows.Mirror
	// loaded are the tables that the store was read for, lost those that it does
	// not answer for at present.
	loaded   map[string]bool
	lost     map[string]bool
	stopping bool
	badSeen  map[string]int64
	// changing are the groups whose change of primary this instance makes.
	changing map[bbrtype.GroupName]bool
	received map[bbrtype.GroupName]received
}

// newNode returns an instance that does not run yet.
func newNode(s *Settings, p Ports, log *logrus.Logger, clock *bbrtype.Clock, m *metrics) *Node {
	n := &Node{
		settings: s, ports: p, log: log, clock: clock, work: &errgroup.Group{}, metrics: m,
		records:  map[bbrtype.GroupName]bbrsuccession.Known{},
		groups:   map[bbrtype.GroupName]*bbrlink.Group{},
		loaded:   map[string]bool{},
		lost:     map[string]bool{},
		avoided:  map[string]bbrtype.Mono{},
		others:   bbrshare.NewClient(p.Transport),
		badSeen:  map[string]int64{},
		changing: map[bbrtype.GroupName]bool{},
		received: map[bbrtype.GroupName]received{},
	}
	n.sessions = bbrsession.New(bbrsession.Deps{
		Catalog: &n.catalog, Group: n.group, Clock: n.clock, Log: log, Work: n.work, Record: n.metrics,
	})
	m.registry.MustRegister(collector{n})
	return n
}

// group returns a group that is in service.
func (n *Node) group(name bbrtype.GroupName) *bbrlink.Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.groups[name]
}

// allGroups returns the groups in service.
func (n *Node) allGroups() []*bbrlink.Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]*bbrlink.Group, 0, len(n.groups))
	for _, g := range n.groups {
		out = append(out, g)
	}
	return out
}

// instanceCount returns the number of instances that share the members.
func (n *Node) instanceCount() int { return max(1, int(n.instances.Load())) }

// tables are the tables that an instance follows.
func (n *Node) tables() []table {
	return []table{
		{name: n.ports.ConfigTable, wait: max(time.Second, n.settings.ConfigBound-boundMargin)},
		{name: n.ports.MemberTable, wait: max(time.Second, n.settings.DrainBound/2)},
		{name: groupTable, wait: recordWait},
	}
}

// takeCatalogue takes in the operator's document. The caller holds mu.
func (n *Node) takeCatalogue(r bbrrows.Row) {
	if r.Key != n.ports.ConfigKey || r.Deleted {
		return
	}
	c, err := n.ports.DecodeCatalogue(r.Value)
	if err != nil {
		n.log.WithError(err).Error("configuration refused")
		return
	}
	if n.catalog.Offer(c) {
		n.log.WithFields(logrus.Fields{"version": c.Version, "routes": len(c.Routes)}).Info("configuration in force")
	}
}

// takeMember takes in a member's entry. The caller holds mu.
func (n *Node) takeMember(r bbrrows.Row) {
	if r.Deleted {
		n.log.WithField("member", r.Key).Info("member's entry gone")
		n.directory.Remove(bbrtype.MemberName(r.Key), n.clock.Now())
		return
	}
	if m, ok := n.decodeMember(r); ok {
		n.directory.Put(m)
	}
}

// decodeMember reads an entry. A bad one is told once and left out.
func (n *Node) decodeMember(r bbrrows.Row) (bbrdirectory.Member, bool) {
	m, err := n.ports.DecodeMember(r.Key, r.Value)
	if err == nil {
		return m, true
	}
	if _, seen := n.badSeen[r.Key]; !seen {
		n.badSeen[r.Key] = r.Version
		n.log.WithField("member", r.Key).WithError(err).Warn("entry left out")
	}
	return m, false
}

// refreshGroups puts members and services in force. The caller holds mu.
func (n *Node) refreshGroups() {
	c := n.catalog.Current()
	if c == nil {
		return
	}
	for name, service := range c.Services {
		members := n.directory.Members(name)
		g := n.groups[name]
		if g == nil {
			if len(members) == 0 {
				continue
			}
			g = bbrlink.NewGroup(name, bbrlink.Deps{
				Dial: n.ports.Dial, Clock: n.clock, Log: n.log, Group: n.work,
				DataCentre: n.settings.DataCentre, DrainBound: n.settings.DrainBound, Instances: n.instanceCount, Vouch: n.vouch, Ask: n.askNear,
			})
			n.groups[name] = g
		}
		g.SetMembers(members, n.directory.Departed(name), service)
	}
}

// takeRecord takes in a group's record. The caller holds mu.
func (n *Node) takeRecord(r bbrrows.Row) {
	if r.Deleted {
		return
	}
	var rec bbrsuccession.Record
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		n.log.WithField("group", r.Key).WithError(err).Error("record left out")
		return
	}
	n.noteRecord(bbrtype.GroupName(r.Key), rec, r.Version)
}

// noteRecord enters a record that is newer than the one known. The caller holds
// mu.
func (n *Node) noteRecord(name bbrtype.GroupName, rec bbrsuccession.Record, version int64) {
	if old := n.records[name]; old.Version >= version {
		return
	}
	n.records[name] = bbrsuccession.Known{Record: rec, Version: version, SeenAt: n.clock.Now()}
	n.log.WithFields(logrus.Fields{"group": name, "phase": rec.Phase, "holder": rec.Holder, "fence": rec.Fence, "primary": rec.Primary, "term": rec.Term}).Info("record of the group")
	if g := n.groups[name]; g != nil && rec.Phase == bbrsuccession.PhaseNamed && rec.Term > g.Primary().Term {
		g.SetPrimary(bbrlink.Primary{Member: rec.Primary, Term: rec.Term})
	}
}

// known returns what is known of a group's record.
func (n *Node) known(name bbrtype.GroupName) bbrsuccession.Known {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.records[name]
}

// isReady reports whether the instance takes callers.
func (n *Node) isReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping || n.catalog.Current() == nil || len(n.groups) == 0 {
		return false
	}
	for _, g := range n.groups {
		if g.Primary().Member != "" {
			return true
		}
	}
	return false
}

// register enters the instance in the store and counts the others now and then.
func (n *Node) register(ctx context.Context) {
	me := bbrrows.RowName{Table: instanceTable, Key: n.settings.Name}
	entry, err := json.Marshal(instanceEntry{DataCentre: n.settings.DataCentre, Address: n.settings.Peers})
	if err != nil {
		n.log.WithError(err).Error("entry of the instance")
		return
	}
	entered := false
	for wait := countSoon; ctx.Err() == nil; wait = min(2*wait, countEvery) {
		if !entered {
			_, err := n.ports.Rows.Write(ctx, bbrrows.Change{Set: map[bbrrows.RowName][]byte{me: entry}})
			entered = err == nil
		}
		if rows, _, err := n.ports.Rows.Read(ctx, instanceTable); err == nil {
			n.takeInstances(rows)
		}
		if !entered {
			wait = countSoon
		}
		bbrtype.Sleep(ctx, wait)
	}
}

// unregister takes the instance's entry out, so that others take its share.
func (n *Node) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	me := bbrrows.RowName{Table: instanceTable, Key: n.settings.Name}
	if _, err := n.ports.Rows.Write(ctx, bbrrows.Change{Remove: []bbrrows.RowName{me}}); err != nil {
		n.log.WithError(err).Warn("entry of the instance stays")
	}
}
