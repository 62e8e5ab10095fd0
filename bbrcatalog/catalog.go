// Package bbrcatalog defines the operator's configuration of routes and database
// groups. A catalogue is an immutable snapshot of one version. A Holder publishes
// the newest snapshot to concurrent readers and rejects older versions.
//
// # Usage
//
//	var holder bbrcatalog.Holder
//	holder.PublishIfNewer(&bbrcatalog.Catalogue{Version: 7, Routes: routes})
//	route, ok := holder.Route("orders")
package bbrcatalog

import (
	"sync/atomic"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// ReadPolicy is the rule that selects the members that may serve the reads of a route.
type ReadPolicy string

// The read policies.
const (
	// PolicyPrimary sends reads to the primary only.
	PolicyPrimary ReadPolicy = "primary"
	// PolicyBoundedStaleness sends reads to any member whose data is not older than the
	// route's MaxStaleness.
	PolicyBoundedStaleness ReadPolicy = "boundedAge"
	// PolicyReadYourWrites is PolicyBoundedStaleness with the additional condition that
	// the member has applied all writes of the session.
	PolicyReadYourWrites ReadPolicy = "ownWrites"
)

// Route maps a database name, as used by callers, to a database group. It has the
// settings for statements that are sent to that name.
type Route struct {
	Name bbrtype.RouteName
	// Database is the database name that callers connect to.
	Database string
	Group    bbrtype.GroupName
	Policy   ReadPolicy
	// StatementTimeout is the time limit of a single statement, including the time in the
	// queue. 0 means the default.
	StatementTimeout time.Duration
	// LatencyObjective is the latency objective: the time within which a statement should
	// complete, 0 for none.
	LatencyObjective time.Duration
	// MaxStaleness is the maximum age of the data that reads return. It is not used with
	// PolicyPrimary.
	MaxStaleness time.Duration
	// Priority is the priority of queued statements. 0 is the highest.
	Priority int
	// Public is set if callers need no key for the route.
	Public bool
}

// GroupSettings holds the operator's settings of a database group.
type GroupSettings struct {
	Group bbrtype.GroupName
	// MaxConnections is the maximum number of connections to each member, from all
	// instances together.
	MaxConnections int
	// SyncReplicas is the number of replicas that must have a commit in their log before
	// the primary acknowledges it.
	SyncReplicas int
}

// Catalogue is one version of the configuration.
type Catalogue struct {
	Version int64
	// Routes is keyed by database name.
	Routes map[string]Route
	Groups map[bbrtype.GroupName]GroupSettings
	// IdleTransactionTimeout is the timeout of idle transactions, 0 for none.
	IdleTransactionTimeout time.Duration
	// Tenants holds the tenants by name, and Keys the holder of each key. Tenants is nil
	// where callers are not identified.
	Tenants map[bbrtype.TenantName]Tenant
	Keys    map[KeyDigest]bbrtype.TenantName
}

// Holder publishes the newest catalogue. It is safe for concurrent use. The zero value
// holds no catalogue.
type Holder struct{ current atomic.Pointer[Catalogue] }

// PublishIfNewer publishes a catalogue if its version is newer than the current one. It
// reports whether the catalogue was published.
func (h *Holder) PublishIfNewer(c *Catalogue) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Current returns the newest catalogue, or nil if none was published yet.
func (h *Holder) Current() *Catalogue { return h.current.Load() }

// Route returns the route for a database name.
func (h *Holder) Route(database string) (Route, bool) {
	c := h.current.Load()
	if c == nil {
		return Route{}, false
	}
	r, ok := c.Routes[database]
	return r, ok
}
