// Package bbrnode runs an instance as a process on the users' platform. The platform
// is reached through interfaces, see Platform: a store of versioned rows, the service
// that promotes members, and the protocols of callers and members.
//
// An instance follows three tables of the store: the operator's configuration, the
// entries of the members, and one record for each group, which names the primary and
// coordinates changes of primary. From these it builds the groups (bbrlink) that its
// sessions (bbrsession) use. A fourth table lists the instances, among which the
// members' connections are divided.
//
// For each group the instance holds a proof: a time-limited confirmation (a lease)
// that the primary in use is still the primary. It is renewed from the proof
// delegate of the data centre (another instance), from the store, or from the
// members. If the primary does not respond, does not confirm commits or is draining,
// the instance carries out a change of primary (a failover) as decided by package
// bbrsuccession. While reads of a table from the store fail, the instance pulls the
// rows of that table from other instances (bbrshare).
//
// A store that is restored from a copy begins a new era, which each reply names. The
// instance then reads all tables again, registers again, and uses the records of the
// groups once they are confirmed in that era; see docs/design/storeRestore.md.
//
// # Usage
//
//	err := bbrnode.Run(ctx, settings, platform, log, load, reload)
package bbrnode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrbudget"
	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrforward"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsession"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Tables of the store that the instances write themselves.
const (
	groupTable    = "groups"
	instanceTable = "instances"
	seenTable     = "seen"
)

// StoreSchema names the tables of the configuration and of the members and the key
// of the configuration's row, and decodes the values of the rows.
type StoreSchema struct {
	ConfigTable, ConfigRowKey, MemberTable string

	DecodeCatalogue func([]byte) (*bbrcatalog.Catalogue, error)
	DecodeMember    func(id string, entry []byte) (bbrdirectory.Member, error)
}

// Promoter requests promotions from the platform.
type Promoter interface {
	Promote(ctx context.Context, request bbrsuccession.PromotionRequest) error
}

// Platform holds the interfaces through which an instance uses its platform.
type Platform struct {
	StoreSchema
	Store         bbrrows.Store
	Promoter      Promoter
	NewCallerConn func(net.Conn) bbrmessage.CallerConn
	DialMember    bbrlink.Dialer
	DialTenant    bbrlink.TenantDialer
	// ConfigureCallerConn sets options of a caller's connection by which the loss of
	// an idle connection is detected.
	ConfigureCallerConn func(net.Conn)
	// PeerTransport is used for requests to other instances.
	PeerTransport http.RoundTripper
	// ReadyPath is the path of the readiness check, by which the platform decides
	// whether to send callers.
	ReadyPath string
}

// Node is an instance. The package and its metrics (bbr_node_...) call it a node.
type Node struct {
	settings   *Settings
	platform   Platform
	log        *logrus.Logger
	clock      *bbrtype.Clock
	background *errgroup.Group
	catalog    bbrcatalog.Holder
	sessions   *bbrsession.Server
	metrics    *metrics
	// budget is what callers may make the instance hold, peerBudget what other instances may.
	limits             bbrbudget.Limits
	limitRecorder      *limitRecorder
	budget, peerBudget *bbrbudget.Budget
	// storeProofFlight and peerProofFlight merge concurrent requests for proofs to
	// the store and to the proof delegate.
	storeProofFlight singleFlight
	peerProofFlight  singleFlight
	peerClient       *bbrshare.Client
	forwardClient    *bbrforward.Client
	// forwardRequests are the requests by which other instances forward statements.
	forwardRequests requestCounter
	limiter         *limiter
	// fleet is this instance and the others that the store lists.
	fleet atomic.Pointer[fleetView]

	mu        sync.Mutex
	directory bbrdirectory.Directory
	records   map[bbrtype.GroupName]bbrsuccession.VersionedRecord
	groups    map[bbrtype.GroupName]*bbrlink.Group
	// listedInstanceCount is the number of instances that the store lists, including
	// this one. It is read without mu.
	listedInstanceCount atomic.Int64
	// excludedUntil maps the address of each instance that did not respond to the time
	// until which it is excluded from being the proof delegate.
	excludedUntil map[string]bbrtype.Mono
	news          recordsNews
	// peers are the other instances that the store lists.
	peers  []instanceEntry
	mirror bbrrows.Mirror
	tables tableReads
	// loaded holds the tables that have been read from the store in full.
	// unavailable holds the tables that cannot be read from the store at present.
	loaded      map[string]bool
	unavailable map[string]bool
	stopping    bool
	// holderPeers holds the instances that statements were forwarded to, by address.
	holderPeers map[string]*holderPeer
	// adoptedUntil maps the groups of which other instances forwarded statements to the
	// time until which this instance counts as their holder. It is read without mu.
	adoptedUntil sync.Map
	// servedUntil is the same for the groups of which this instance served statements of
	// its own sessions because no other one responded.
	servedUntil sync.Map
	seen        seenMembers
	// undecodableMembers holds the members whose entries could not be decoded, so
	// that each is logged only once. The value is the version of the first such
	// entry.
	undecodableMembers map[string]bbrrows.Version
	// storeEra is the newest era of the store that this instance has seen.
	storeEra bbrsuccession.StoreEra
	// eraCtx ends when an era newer than storeEra is seen, by endEra.
	eraCtx context.Context
	// guard is the guard of the era in which this instance last wrote a record.
	guard  eraGuard
	endEra context.CancelFunc
	// changing holds the groups whose primary this instance is changing.
	changing map[bbrtype.GroupName]bool
	progress map[bbrtype.GroupName]replicationProgress
}

// newNode returns an instance that does not run yet.
func newNode(s *Settings, p Platform, log *logrus.Logger, clock *bbrtype.Clock, m *metrics) *Node {
	p.Store = countedStore{store: p.Store, calls: m.storeCalls}
	n := &Node{
		settings: s, platform: p, log: log, clock: clock, background: &errgroup.Group{}, metrics: m,
		records:            map[bbrtype.GroupName]bbrsuccession.VersionedRecord{},
		groups:             map[bbrtype.GroupName]*bbrlink.Group{},
		loaded:             map[string]bool{},
		unavailable:        map[string]bool{},
		holderPeers:        map[string]*holderPeer{},
		excludedUntil:      map[string]bbrtype.Mono{},
		peerClient:         bbrshare.NewClient(p.PeerTransport),
		forwardClient:      bbrforward.NewClient(p.PeerTransport),
		undecodableMembers: map[string]bbrrows.Version{},
		changing:           map[bbrtype.GroupName]bool{},
		progress:           map[bbrtype.GroupName]replicationProgress{},
	}
	n.limits = bbrbudget.NewLimits(s.Memory, s.Descriptors)
	n.limitRecorder = newLimitRecorder(log, m)
	n.budget = bbrbudget.New(n.limits, n.limitRecorder)
	n.peerBudget = bbrbudget.New(bbrbudget.Limits{Messages: n.limits.Peers}, n.limitRecorder)
	n.setFleet(nil)
	n.eraCtx, n.endEra = context.WithCancel(context.Background())
	n.limiter = newLimiter(n)
	n.sessions = bbrsession.New(bbrsession.Deps{
		Catalog: &n.catalog, GroupByName: n.group, Clock: n.clock, Log: log, Tasks: n.background, Recorder: n.metrics, Forward: n, Limiter: n.limiter,
	})
	m.registry.MustRegister(collector{n}, n.limiter)
	for _, t := range n.followedTables() {
		m.storeCalls.WithLabelValues(string(callWatch), t.name, string(outcomeDone))
		m.ignoredRows.WithLabelValues(t.name) // shown as 0 until a row is ignored
	}
	return n
}

// group returns the group of that name, nil if this instance has not created it.
func (n *Node) group(name bbrtype.GroupName) *bbrlink.Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.groups[name]
}

// allGroups returns the groups that this instance has created.
func (n *Node) allGroups() []*bbrlink.Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]*bbrlink.Group, 0, len(n.groups))
	for _, g := range n.groups {
		out = append(out, g)
	}
	return out
}

// instanceCount returns the number of instances among which the members' connections
// are divided.
func (n *Node) instanceCount() int { return max(1, int(n.listedInstanceCount.Load())) }

// followedTables returns the tables that the instance follows.
func (n *Node) followedTables() []followedTable {
	return []followedTable{
		{
			name: n.platform.ConfigTable, pollTimeout: max(time.Second, n.settings.ConfigTimeout-replyMargin),
			sharedAge: max(time.Second, n.settings.ConfigTimeout/2),
		},
		{
			name: n.platform.MemberTable, pollTimeout: max(time.Second, n.settings.DrainTimeout/2),
			pollInterval: n.settings.DrainTimeout / memberPollShare, sharedAge: max(time.Second, n.settings.DrainTimeout/2),
		},
		{name: groupTable, pollTimeout: recordPollTimeout, sharedAge: sharedRecordAge},
	}
}

// applyCatalogue applies the operator's configuration if it is newer than the
// current one. n.mu must be held.
func (n *Node) applyCatalogue(r bbrrows.Row) {
	if r.Key != n.platform.ConfigRowKey || r.Deleted {
		return
	}
	c, err := n.platform.DecodeCatalogue(r.Value)
	if err != nil {
		n.metrics.entriesLeftOut.WithLabelValues(r.Table).Inc()
		n.log.WithError(err).Error("cannot decode the configuration; the current one stays in force")
		return
	}
	log := n.log.WithFields(logrus.Fields{"version": c.Version, "routes": len(c.Routes), "rowVersion": r.Version.Number, "era": r.Version.Era})
	if n.catalog.PublishIfNewer(c) {
		log.Info("configuration in force")
		return
	}
	log.WithField("inForce", n.catalog.Current().Version).Info("the configuration is not newer than the one in force")
}

// applyMember applies a change of a member's entry. n.mu must be held.
func (n *Node) applyMember(r bbrrows.Row) {
	id := bbrtype.MemberName(r.Key)
	switch {
	case r.Lost:
		n.log.WithField("member", id).Info("member's entry lost by a restore of the store")
		n.directory.MarkLost(id, n.clock.Now())
		return
	case r.Deleted:
		n.log.WithField("member", id).Info("member's entry gone")
		n.directory.MarkMissing(id, n.clock.Now())
		return
	}
	m, ok := n.decodeMember(r)
	if !ok {
		return
	}
	log := n.log.WithFields(versionFields(r.Version)).WithFields(logrus.Fields{"member": id, "draining": m.Draining, "sequence": m.Sequence})
	switch {
	case !n.directory.Put(m, n.clock.Now()):
		log.Info("member's entry held back: a newer one is known")
	case m.Draining:
		log.Info("member draining")
	}
}

// decodeMember decodes a member's entry. An entry that cannot be decoded is skipped,
// and logged once for each member.
func (n *Node) decodeMember(r bbrrows.Row) (bbrdirectory.Member, bool) {
	m, err := n.platform.DecodeMember(r.Key, r.Value)
	if err == nil {
		return m, true
	}
	n.metrics.entriesLeftOut.WithLabelValues(r.Table).Inc()
	if _, seen := n.undecodableMembers[r.Key]; !seen {
		n.undecodableMembers[r.Key] = r.Version
		n.log.WithField("member", r.Key).WithError(err).Warn("entry left out")
	}
	return m, false
}

// refreshGroups updates the groups to the current configuration and members. A group
// is created as soon as it has a member. n.mu must be held.
func (n *Node) refreshGroups() {
	c := n.catalog.Current()
	if c == nil {
		return
	}
	for name, settings := range c.Groups {
		members := n.directory.Members(name)
		g := n.groups[name]
		if g == nil {
			if len(members) == 0 {
				continue
			}
			g = bbrlink.NewGroup(name, bbrlink.Deps{
				Dial: n.platform.DialMember, DialTenant: n.platform.DialTenant, Clock: n.clock, Log: n.log, Tasks: n.background,
				DataCentre: n.settings.DataCentre, DrainTimeout: n.settings.DrainTimeout, Share: n.share, Sharing: n.sharing,
				MayHaveConfirmed: n.mayHaveConfirmed, SeenMembers: n.seenMembers, IsChanging: n.isChanging, OrderedMembers: n.orderedMembers,
				RecordsReadAt:  n.recordsReadAt,
				ProveFromStore: n.proveFromStore, FetchPeerProofs: n.fetchPeerProofs,
			})
			n.groups[name] = g
		}
		g.SetMembers(members, n.directory.Expired(name), settings)
	}
}

// applyRecord applies a change of a group's record. n.mu must be held.
func (n *Node) applyRecord(r bbrrows.Row) {
	name := bbrtype.GroupName(r.Key)
	if r.Deleted {
		n.setRecordLost(name, r.Version)
		return
	}
	record, err := bbrsuccession.DecodeRecord(r.Value)
	if err != nil {
		n.metrics.entriesLeftOut.WithLabelValues(r.Table).Inc()
		n.log.WithField("group", r.Key).WithError(err).Error("cannot decode the group's record; ignoring it")
		return
	}
	n.setRecord(name, record, r.Version)
}

// setRecordLost records that the store no longer has a group's record, as after a
// restore. Its last value stays known. n.mu must be held.
func (n *Node) setRecordLost(name bbrtype.GroupName, version bbrrows.Version) {
	r := n.records[name]
	if !r.Exists || !version.IsNewerThan(r.Version) {
		return
	}
	r.Exists, r.Version, r.FirstReadAt = false, version, n.clock.Now()
	n.records[name] = r
	n.log.WithFields(versionFields(version)).WithField("group", name).Warn("the store has lost the group's record")
}

// setRecord replaces this instance's copy of a group's record if the given one is
// newer, and uses its primary if that has a newer term. n.mu must be held.
func (n *Node) setRecord(name bbrtype.GroupName, record bbrsuccession.Record, version bbrrows.Version) {
	old := n.records[name]
	if !version.IsNewerThan(old.Version) {
		return
	}
	n.records[name] = old.Next(record, version, n.clock.Now())
	n.log.WithFields(logrus.Fields{"group": name, "phase": record.Phase, "holder": record.Holder, "fence": record.FencingToken, "primary": record.Primary, "term": record.Term, "orders": record.Orders}).Info("record of the group")
	if g := n.groups[name]; g != nil && record.Phase == bbrsuccession.PhaseNamed && record.Term > g.Primary().Term {
		g.SetPrimary(bbrlink.Primary{Member: record.Primary, Term: record.Term})
	}
}

// knownRecord returns the newest record of a group that this instance has received.
func (n *Node) knownRecord(name bbrtype.GroupName) bbrsuccession.VersionedRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.records[name]
}

// isChanging reports whether the newest record of a group that this instance has received
// shows that a change of primary has begun, and that its holder renews the claim.
func (n *Node) isChanging(name bbrtype.GroupName) bool {
	return bbrsuccession.IsClaimHeld(n.knownRecord(name), n.clock.Now())
}

// orderedMembers returns the members of a group whose promotion may still take effect, by
// the newest record that this instance has received.
func (n *Node) orderedMembers(name bbrtype.GroupName) []bbrtype.MemberName {
	return n.knownRecord(name).OrderedMembers(n.clock.Now())
}

// isReady reports whether the instance accepts callers: it is not stopping, has a
// configuration, and knows the primary of at least one group, or another instance to which
// it forwards statements of one.
func (n *Node) isReady() bool {
	if n.isStopping() || n.catalog.Current() == nil {
		return false
	}
	for _, g := range n.allGroups() {
		if _, forwards := n.Holder(g.Name()); forwards || g.Primary().Member != "" {
			return true
		}
	}
	return false
}
