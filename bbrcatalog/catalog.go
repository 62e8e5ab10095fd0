// Package bbrcatalog holds the routes and services that are in force. A catalogue
// is immutable; versions only go forwards.
//
// # Usage
//
//	var holder bbrcatalog.Holder
//	holder.Offer(&bbrcatalog.Catalogue{Version: 7, Routes: routes})
//	route, ok := holder.Route("orders")
package bbrcatalog

import (
	"sync/atomic"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Policy says which members may serve a route's reads.
type Policy string

// The read policies.
const (
	// PolicyPrimary reads from the primary only.
	PolicyPrimary Policy = "primary"
	// PolicyBoundedAge reads data up to a stated age.
	PolicyBoundedAge Policy = "boundedAge"
	// PolicyOwnWrites reads data up to a stated age that has the session's writes.
	PolicyOwnWrites Policy = "ownWrites"
)

// Route is the database name that callers ask for, and how it is served.
type Route struct {
	Name     bbrtype.RouteName
	Database string
	Group    bbrtype.GroupName
	Policy   Policy
	// Timeout bounds a single statement.
	Timeout time.Duration
	// Objective is the time within which an operation should be over.
	Objective time.Duration
	// MaxAge is the stated age of reads, unless the policy is PolicyPrimary.
	MaxAge time.Duration
	// Priority orders waiting statements. 0 goes first.
	Priority int
}

// Service is a database group as the operators describe it.
type Service struct {
	Group          bbrtype.GroupName
	MaxConnections int
	// SyncReplicas is the number of replicas that hold a commit before it is
	// acknowledged.
	SyncReplicas int
}

// Catalogue is one version of the configuration.
type Catalogue struct {
	Version  int64
	Routes   map[string]Route
	Services map[bbrtype.GroupName]Service
	// IdleTransaction is how long a transaction may stay idle, 0 for no limit.
	IdleTransaction time.Duration
}

// Holder holds the newest catalogue. The zero value holds none.
type Holder struct{ current atomic.Pointer[Catalogue] }

// Offer puts a catalogue in force if it is newer than the present one.
func (h *Holder) Offer(c *Catalogue) bool {
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

// Current returns the catalogue in force, nil before the first one.
func (h *Holder) Current() *Catalogue { return h.current.Load() }

// Route returns the route of a database name.
func (h *Holder) Route(database string) (Route, bool) {
	c := h.current.Load()
	if c == nil {
		return Route{}, false
	}
	r, ok := c.Routes[database]
	return r, ok
}
