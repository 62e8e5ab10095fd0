package bbrlink

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// cappedMember is a member that takes a limited number of connections.
type cappedMember struct {
	limit, open, most, opened, refused int
}

// tenantConn is a connection to a cappedMember.
type tenantConn struct {
	bbrmessage.MemberConn
	member *cappedMember
	tenant bbrtype.TenantName
}

func (m *cappedMember) dial(tenant bbrtype.TenantName) (bbrmessage.MemberConn, error) {
	if m.open >= m.limit {
		m.refused++
		return nil, &bbrmessage.Failure{Class: bbrmessage.ClassTooManyConnections}
	}
	m.open++
	m.opened++
	m.most = max(m.most, m.open)
	return &tenantConn{member: m, tenant: tenant}, nil
}

func (c *tenantConn) Close() error {
	c.member.open--
	return nil
}

// newTenantGroup returns a group with one member, of which this instance may use all that is
// shared out of maxConnections.
func newTenantGroup(t *testing.T, m *cappedMember, maxConnections int) *Group {
	t.Helper()
	g := newTestGroup(t, maxConnections, 1)
	g.Dial = func(context.Context, bbrdirectory.Member) (bbrmessage.MemberConn, error) { return m.dial("") }
	g.DialTenant = func(_ context.Context, _ bbrdirectory.Member, tenant bbrtype.TenantName) (bbrmessage.MemberConn, error) {
		return m.dial(tenant)
	}
	g.SetMembers([]bbrdirectory.Member{{ID: "p", Group: "g"}}, nil, bbrcatalog.GroupSettings{Group: "g", MaxConnections: maxConnections})
	return g
}

// acquireFor acquires a connection of a tenant to the primary.
func acquireFor(g *Group, tenant bbrtype.TenantName) (*Conn, error) {
	return g.Acquire(context.Background(), bbrplace.Requirements{PrimaryOnly: true, Tenant: tenant, Deadline: g.Clock.Now().Add(time.Second)})
}

func TestConnectionsOfTenants(t *testing.T) {
	const maxConnections, share = 12, 6
	is := is.New(t)
	m := &cappedMember{limit: maxConnections}
	g := newTenantGroup(t, m, maxConnections)
	for i := range 200 {
		tenant := bbrtype.TenantName(fmt.Sprintf("t%d", i%20))
		c, err := acquireFor(g, tenant)
		is.NoErr(err)
		is.Equal(c.conn.(*tenantConn).tenant, tenant) // the connection belongs to the tenant
		g.Release(c)
	}
	is.True(m.most <= share) // never more than the share
	is.Equal(m.refused, 0)
}

// TestTenantKeepsItsConnection checks that a tenant's statements share a connection while
// others come and go.
func TestTenantKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	m := &cappedMember{limit: 12}
	g := newTenantGroup(t, m, 12)
	opened := 0
	for i := range 100 {
		before := m.opened
		c, err := acquireFor(g, "large")
		is.NoErr(err)
		opened += m.opened - before
		g.Release(c)
		if i%3 == 0 {
			c, err := acquireFor(g, bbrtype.TenantName(fmt.Sprintf("small%d", i)))
			is.NoErr(err)
			g.Release(c)
		}
	}
	is.Equal(opened, 1)
}

// TestMemberAtItsLimitServesAllTenants guards against an instance that loses its connections to
// a member whose others hold the rest, as after a loss of power: it opens one for another
// tenant only in place of one of its own.
func TestMemberAtItsLimitServesAllTenants(t *testing.T) {
	is := is.New(t)
	m := &cappedMember{limit: 12, open: 10}
	g := newTenantGroup(t, m, 12)
	for i := range 60 {
		c, err := acquireFor(g, bbrtype.TenantName(fmt.Sprintf("t%d", i%20)))
		if err != nil {
			continue
		}
		g.Release(c)
	}
	is.True(m.refused <= 2)
	is.True(m.opened >= 50) // nearly every statement has got a connection
}

// TestOwnStatementsKeepToOwnConnections checks that control statements never use a tenant's
// connection, and tenants none under the instance's own name.
func TestOwnStatementsKeepToOwnConnections(t *testing.T) {
	is := is.New(t)
	m := &cappedMember{limit: 12}
	g := newTenantGroup(t, m, 12)
	for range 10 {
		for _, tenant := range []bbrtype.TenantName{"north", "south"} {
			c, err := acquireFor(g, tenant)
			is.NoErr(err)
			is.Equal(c.conn.(*tenantConn).tenant, tenant)
			g.Release(c)
		}
		c, err := g.acquireMember(context.Background(), "p", g.connect)
		is.NoErr(err)
		is.Equal(c.conn.(*tenantConn).tenant, bbrtype.TenantName(""))
		g.Release(c)
	}
	is.Equal(m.opened, 3)
}
