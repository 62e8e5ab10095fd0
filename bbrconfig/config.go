// Package bbrconfig reads and checks the operators' configuration: one
// complete, named set of database groups, members, read policies, classes,
// tenants, routes and callers in INI, which refer to one another by name.
//
// The whole set is checked together. Errors come all at once, each with the
// file, the section, the key and what to do.
//
// # Usage
//
//	cfg, problems := bbrconfig.Parse("fleet.ini", text)
//	if len(problems) > 0 {
//		// nothing may be applied
//	}
//	group := cfg.Groups["billing"]
package bbrconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Default values of optional keys.
const (
	DefaultConnections = 25
	DefaultSlots       = 3
	DefaultQueue       = 200
	DefaultPatience    = 5 * time.Second
	DefaultPriority    = 5
	DefaultMaxAge      = 10 * time.Second
	DefaultCatchUpWait = 100 * time.Millisecond
	DefaultConfirmWait = 2 * time.Second
	DefaultLossAfter   = 5 * time.Second
)

// Statements that PostgreSQL understands. Placeholders: {term}, {host}, {port}.
const (
	// DefaultStateSQL returns: in recovery, visible position, received
	// position, history.
	DefaultStateSQL = "SELECT pg_is_in_recovery()," +
		" CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END," +
		" CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_lsn() END," +
		" timeline_id FROM pg_control_checkpoint()"
	DefaultPromoteSQL = "SELECT pg_promote()"
	DefaultFollowSQL  = "ALTER SYSTEM SET primary_conninfo = 'host={host} port={port}'; SELECT pg_reload_conf()"
)

// PolicyName names a read policy.
type PolicyName string

// ClassName names a class of statements.
type ClassName string

// SecretName names a secret in the process settings.
type SecretName string

// ReplicaUse tells whether a route's reads may go to replicas.
type ReplicaUse string

// The uses of replicas.
const (
	ReplicasPrefer ReplicaUse = "prefer"
	ReplicasNever  ReplicaUse = "never"
)

// KeyUse tells whether a group's statements may carry request keys.
type KeyUse string

// The uses of request keys.
const (
	KeysOn  KeyUse = "on"
	KeysOff KeyUse = "off"
)

// Member is one database of a group.
type Member struct {
	Group      bbrtype.GroupName
	Name       bbrtype.MemberName
	Address    string
	DataCentre bbrtype.DataCentre
}

// Group is a database group.
type Group struct {
	Name     bbrtype.GroupName
	Database string
	User     string
	Password SecretName
	// TLS makes connections to the members use TLS.
	TLS bool
	// Connections is the limit of a member over all instances.
	Connections int
	// Slots is the number of statements that a member works on at once.
	Slots int
	// Confirm is the number of replicas that hold a write before it is
	// acknowledged, ConfirmKeyed that for a write with a request key.
	Confirm      int
	ConfirmKeyed int
	ConfirmWait  time.Duration
	OnLoss       bbrfailover.LossPolicy
	LossAfter    time.Duration
	RequestKeys  KeyUse
	StateSQL     string
	PromoteSQL   string
	FollowSQL    string
	// Owner is the team that may change the group, if any.
	Owner   string
	Members map[bbrtype.MemberName]Member
}

// Policy returns the part of the group that a change of primary follows.
func (g *Group) Policy() bbrfailover.Policy {
	return bbrfailover.Policy{OnLoss: g.OnLoss, LossAfter: g.LossAfter}
}

// Copies returns the number of replicas that must hold a write before it is
// acknowledged.
func (g *Group) Copies(keyed bool) int {
	if keyed {
		return max(g.Confirm, g.ConfirmKeyed)
	}
	return g.Confirm
}

// MemberNames returns the names of the members in order.
func (g *Group) MemberNames() []bbrtype.MemberName {
	out := make([]bbrtype.MemberName, 0, len(g.Members))
	for n := range g.Members {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// ReadPolicy tells what a read may be served from.
type ReadPolicy struct {
	Name     PolicyName
	Replicas ReplicaUse
	// MaxAge is the highest age of the data.
	MaxAge time.Duration
	// CatchUpWait bounds the wait for a replica that is about to catch up.
	CatchUpWait time.Duration
	Owner       string
}

// Class is a kind of statement with its place in the queues.
type Class struct {
	Name ClassName
	// Priority orders the queues: 1 goes first, 9 last.
	Priority int
	// Tables give the class to a write that touches one of them.
	Tables []string
	Owner  string
}

// Tenant is an owner of callers.
type Tenant struct {
	Name bbrtype.TenantName
	// Weight is the share of a tenant against others in the same queue.
	Weight int
	// Queue bounds the waiting statements of the tenant on an instance.
	Queue int
	// Patience bounds how long a statement waits.
	Patience time.Duration
	// MaxConnections bounds the tenant's connections to an instance. 0 means
	// no bound.
	MaxConnections int
	Owner          string
}

// Route leads a database name that callers ask for to a group.
type Route struct {
	Name   bbrtype.RouteName
	Group  bbrtype.GroupName
	Policy PolicyName
	Owner  string
}

// Caller is somebody who may connect.
type Caller struct {
	Name   bbrtype.CallerName
	Tenant bbrtype.TenantName
	// Verifier is the SCRAM-SHA-256 verifier in PostgreSQL's notation.
	Verifier string
	Routes   []bbrtype.RouteName
	// Class is the class of statements that no table gives another one.
	Class ClassName
	// MaxConnections bounds the caller's connections to an instance. 0 means
	// no bound.
	MaxConnections int
	Owner          string
}

// Config is a complete configuration. The zero value has no objects.
type Config struct {
	Name      string
	Groups    map[bbrtype.GroupName]*Group
	Policies  map[PolicyName]*ReadPolicy
	Classes   map[ClassName]*Class
	Tenants   map[bbrtype.TenantName]*Tenant
	Routes    map[bbrtype.RouteName]*Route
	Callers   map[bbrtype.CallerName]*Caller
	Operators map[OperatorName]*Operator

	classOfTable map[string]*Class
}

// Hash names a configuration's text, in hexadecimal SHA-256.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// ClassOfTable returns the class of writes to a table, nil if it has none.
func (c *Config) ClassOfTable(table string) *Class { return c.classOfTable[table] }

// Settings returns the settings of all groups as the journal keeps them.
func (c *Config) Settings() map[bbrtype.GroupName]bbrjournal.ReplicationConfig {
	out := make(map[bbrtype.GroupName]bbrjournal.ReplicationConfig, len(c.Groups))
	for name, g := range c.Groups {
		least := g.Copies(false)
		if least == 0 {
			least = g.Copies(true)
		}
		out[name] = bbrjournal.ReplicationConfig{Members: g.MemberNames(), MinConfirmations: least}
	}
	return out
}

// LeastAge returns the lowest age of data that a read policy allows for replicas,
// 0 if there is none.
func (c *Config) LeastAge() time.Duration {
	least := time.Duration(0)
	for _, p := range c.Policies {
		if p.Replicas == ReplicasPrefer && (least == 0 || p.MaxAge < least) {
			least = p.MaxAge
		}
	}
	return least
}

// FailoverPolicies returns the policies of all groups.
func (c *Config) FailoverPolicies() map[bbrtype.GroupName]bbrfailover.Policy {
	out := make(map[bbrtype.GroupName]bbrfailover.Policy, len(c.Groups))
	for name, g := range c.Groups {
		out[name] = g.Policy()
	}
	return out
}
