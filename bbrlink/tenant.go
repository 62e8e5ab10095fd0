package bbrlink

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbreviction"
	"github.com/bluebellroute/bluebellroute/bbrholder"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// tenantIdleTimeout is how long a tenant's connection may stay idle. Until then it is closed
// only for a connection of another tenant.
const tenantIdleTimeout = 30 * time.Second

// errNoTenants is returned for a tenant's connection where no tenants are served.
var errNoTenants = errors.New("connections of tenants are not served")

// dialAs opens a connection of a tenant, or one for the instance's own statements.
func (g *Group) dialAs(ctx context.Context, m bbrdirectory.Member, tenant bbrtype.TenantName) (bbrmessage.MemberConn, error) {
	switch {
	case tenant == "":
		return g.Dial(ctx, m)
	case g.DialTenant == nil:
		return nil, errNoTenants
	}
	return g.DialTenant(ctx, m, tenant)
}

// takeIdle takes the most recently used idle connection of a tenant to a member, nil if there
// is none. The caller holds mu.
func (g *Group) takeIdle(id bbrtype.MemberName, tenant bbrtype.TenantName) *Conn {
	conns := g.idle[id]
	for i := len(conns) - 1; i >= 0; i-- {
		if c := conns[i]; c.tenant == tenant {
			g.idle[id] = slices.Delete(conns, i, i+1)
			g.countIdle(id, tenant)
			return c
		}
	}
	return nil
}

// addIdle adds an idle connection. The caller holds mu.
func (g *Group) addIdle(c *Conn) {
	id := c.member.ID
	g.idle[id] = append(g.idle[id], c)
	g.countIdle(id, c.tenant)
}

// countIdle tells the scheduler how many idle connections a tenant has to a member. The
// caller holds mu.
func (g *Group) countIdle(id bbrtype.MemberName, tenant bbrtype.TenantName) {
	if tenant == "" {
		return
	}
	n := 0
	for _, c := range g.idle[id] {
		if c.tenant == tenant {
			n++
		}
	}
	g.scheduler.SetIdleConnections(id, tenant, n)
}

// makeRoom closes an idle connection of another tenant if a new one would exceed the
// instance's share. The caller holds mu.
func (g *Group) makeRoom(m bbrdirectory.Member, tenant bbrtype.TenantName) {
	now := g.Clock.Now()
	limit := min(g.shareIn(m).Connections, g.scheduler.ConnectionLimit(m.ID, now))
	if g.open[m.ID]+g.dialing[m.ID] < limit {
		return
	}
	var others []int
	var unused []bbreviction.Unused
	for i, c := range g.idle[m.ID] {
		if c.tenant != tenant {
			others = append(others, i)
			unused = append(unused, bbreviction.Unused{Tenant: c.tenant, IdleSince: c.idleSince})
		}
	}
	chosen := g.usage.Choose(unused, now)
	if chosen < 0 {
		return
	}
	i := others[chosen]
	c := g.idle[m.ID][i]
	g.idle[m.ID] = slices.Delete(g.idle[m.ID], i, i+1)
	g.countIdle(m.ID, c.tenant)
	g.closeConn(c)
	g.dials.Evicted++
	g.Log.WithFields(logrus.Fields{
		"group": g.name, "member": m.ID, "tenant": c.tenant, "for": tenant, "open": g.open[m.ID], "limit": limit,
		"idleMs": now.Sub(c.idleSince).Milliseconds(),
	}).Debug("connection closed for another tenant")
}

// idleTimeout returns how long the connection may stay idle.
func (c *Conn) idleTimeout(share bbrholder.Share) time.Duration {
	switch {
	case !share.KeepsIdle:
		return unsharedIdleTimeout
	case c.tenant != "":
		return tenantIdleTimeout
	}
	return idleTimeout
}
