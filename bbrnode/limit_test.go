package bbrnode

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrallowance"
	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrlimit"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// limitedFleet is instances in data centres of their own that serve each other's requests for
// tokens.
type limitedFleet struct {
	nodes   []*Node
	servers []*httptest.Server
}

// newLimitedFleet returns instances whose tenant acme has a limit, and tells each of them of
// all.
func newLimitedFleet(t *testing.T, count int, tenant bbrcatalog.Tenant) *limitedFleet {
	f := &limitedFleet{}
	var entries []instanceEntry
	for i := range count {
		n := newTestNode()
		server := httptest.NewServer(bbrallowance.Handler(n.limiter))
		t.Cleanup(server.Close)
		n.settings.PeerAddress = strings.TrimPrefix(server.URL, "http://")
		n.settings.DataCentre = bbrtype.DataCentre(rune('a' + i))
		n.catalog.PublishIfNewer(&bbrcatalog.Catalogue{Version: 8, Tenants: map[bbrtype.TenantName]bbrcatalog.Tenant{tenant.Name: tenant}})
		// As if the instances had run for so long that all buckets are full.
		n.limiter.owner.StartedAt = n.clock.Now().Add(-365 * 24 * time.Hour)
		entries = append(entries, instanceEntry{DataCentre: n.settings.DataCentre, Address: n.settings.PeerAddress})
		f.nodes, f.servers = append(f.nodes, n), append(f.servers, server)
	}
	for _, n := range f.nodes {
		n.list(entries)
	}
	return f
}

// list tells an instance of all instances.
func (n *Node) list(entries []instanceEntry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = nil
	for _, e := range entries {
		if e.Address != n.settings.PeerAddress {
			n.peers = append(n.peers, e)
		}
	}
	n.listedInstanceCount.Store(int64(len(entries)))
	n.setFleet(nil)
}

// beginAll begins operations at one instance until one is rejected, and returns how many were
// admitted and when the rejected one may return.
func (f *limitedFleet) beginAll(n int) (admitted int, retryAfter time.Duration) {
	for {
		ok, retryAfter := f.nodes[n].limiter.Admit(context.Background(), "acme")
		if !ok {
			return admitted, retryAfter
		}
		admitted++
	}
}

// slowTenant has a limit whose tokens do not come back during a test.
var slowTenant = bbrcatalog.Tenant{Name: "acme", RatePerSecond: 0.01, Burst: 30}

// allTokens is how many tokens the buckets of slowTenant hold in a fleet of two.
const allTokens = 40

func TestTokensOfAllOwnersAreUsed(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 2, slowTenant)
	admitted, retryAfter := f.beginAll(0)
	for deadline := time.Now().Add(10 * time.Second); admitted < allTokens && time.Now().Before(deadline); {
		// The first owner takes the tokens of the second one in several steps.
		time.Sleep(20 * time.Millisecond)
		var more int
		more, retryAfter = f.beginAll(0)
		admitted += more
	}
	is.Equal(admitted, allTokens)
	is.True(retryAfter > 0)
	admitted, _ = f.beginAll(1)
	is.Equal(admitted, 0)
}

// TestOwnerThatDoesNotRespondKeepsItsPart guards against an instance that takes over the
// tokens of an owner that it cannot reach, which may still grant them to others.
func TestOwnerThatDoesNotRespondKeepsItsPart(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 2, slowTenant)
	f.servers[1].CloseClientConnections()
	f.servers[1].Close()
	admitted, _ := f.beginAll(0)
	is.Equal(admitted, allTokens/2)
	// The second instance is cut off from the first one only in this direction.
	admitted, _ = f.beginAll(1)
	is.True(admitted <= allTokens/2)
}

func TestAnotherOwnerIsAskedIfTheFirstDoesNotRespond(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 3, slowTenant)
	// An instance that owns nothing: its data centre has one that ranks before it.
	asker := newTestNode()
	asker.catalog.PublishIfNewer(f.nodes[0].catalog.Current())
	owner := f.nodes[0].settings
	asker.settings.DataCentre, asker.settings.PeerAddress = owner.DataCentre, lowerRanked(owner.PeerAddress)
	var entries []instanceEntry
	for _, n := range append([]*Node{asker}, f.nodes...) {
		entries = append(entries, instanceEntry{DataCentre: n.settings.DataCentre, Address: n.settings.PeerAddress})
	}
	asker.list(entries)
	f.nodes = append(f.nodes, asker)
	f.servers[0].Close()
	ok, _ := asker.limiter.Admit(context.Background(), "acme")
	is.True(ok)
	is.True(asker.limiter.isExcluded(bbrtype.InstanceID(owner.PeerAddress)))
}

// lowerRanked returns an address that ranks after the given one for the limit of acme.
func lowerRanked(first string) string {
	for port := 1; ; port++ {
		address := "127.0.0.2:" + strings.Repeat("1", port)
		owners := bbrlimit.Owners("acme", "a", []bbrlimit.Instance{
			{ID: bbrtype.InstanceID(first), DataCentre: "a"}, {ID: bbrtype.InstanceID(address), DataCentre: "a"},
		})
		if owners[0].ID == bbrtype.InstanceID(first) {
			return address
		}
	}
}

// TestOperationsAreUnlimited checks that no request is sent for operations without a limit.
func TestOperationsAreUnlimited(t *testing.T) {
	cases := map[string]bbrtype.TenantName{"no limit": "acme", "unknown tenant": "other", "no tenant": ""}
	for name, tenant := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newLimitedFleet(t, 2, bbrcatalog.Tenant{Name: "acme"})
			f.servers[1].Close()
			for range 100 {
				ok, _ := f.nodes[0].limiter.Admit(context.Background(), tenant)
				is.True(ok)
			}
			is.Equal(len(f.nodes[0].limiter.excludedUntil), 0)
		})
	}
}

// TestInstanceWithoutAListAdmitsNothing guards against an instance that takes itself for the
// only one before it has read the list.
func TestInstanceWithoutAListAdmitsNothing(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 2, slowTenant)
	f.nodes[0].listedInstanceCount.Store(0)
	ok, retryAfter := f.nodes[0].limiter.Admit(context.Background(), "acme")
	is.True(!ok)
	is.True(retryAfter > 0)
}

// TestNonOwnerGrantsNothing guards against instances with different lists that each take
// another instance for the owner.
func TestNonOwnerGrantsNothing(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 2, slowTenant)
	n := f.nodes[0]
	n.list([]instanceEntry{{DataCentre: n.settings.DataCentre, Address: n.settings.PeerAddress}, {DataCentre: n.settings.DataCentre, Address: higherRanked(n.settings.PeerAddress)}})
	_, err := n.limiter.Grant(bbrallowance.Request{Tenant: "acme", Request: bbrlimit.Request{Needed: 1}})
	is.Equal(err, bbrallowance.ErrNotOwner)
}

// higherRanked returns an address that ranks before the given one for the limit of acme.
func higherRanked(second string) string {
	for port := 1; ; port++ {
		address := "127.0.0.2:" + strings.Repeat("1", port)
		owners := bbrlimit.Owners("acme", "a", []bbrlimit.Instance{
			{ID: bbrtype.InstanceID(second), DataCentre: "a"}, {ID: bbrtype.InstanceID(address), DataCentre: "a"},
		})
		if owners[0].ID != bbrtype.InstanceID(second) {
			return address
		}
	}
}

// newNeighbours returns two instances of one data centre of which the first ranks before the
// second for the limit of acme, and their entries. No instance has a list.
func newNeighbours(t *testing.T) (*limitedFleet, []instanceEntry) {
	f := newLimitedFleet(t, 2, slowTenant)
	for _, n := range f.nodes {
		n.settings.DataCentre = "a"
	}
	var listed []bbrlimit.Instance
	for _, n := range f.nodes {
		listed = append(listed, bbrlimit.Instance{ID: n.limiter.self(), DataCentre: "a"})
	}
	if bbrlimit.Owners("acme", "a", listed)[0].ID != f.nodes[0].limiter.self() {
		slices.Reverse(f.nodes)
		slices.Reverse(f.servers)
	}
	var entries []instanceEntry
	for _, n := range f.nodes {
		entries = append(entries, instanceEntry{DataCentre: "a", Address: n.settings.PeerAddress})
	}
	return f, entries
}

// TestNewOwnerTakesOver adds an instance that ranks before the owner, whose list is still the
// old one. It guards against two owners of the same part of the limit.
func TestNewOwnerTakesOver(t *testing.T) {
	is := is.New(t)
	f, entries := newNeighbours(t)
	added, before := f.nodes[0].limiter, f.nodes[1].limiter
	f.nodes[1].list(entries[1:])
	admitted := 0
	for range 15 {
		if ok, _ := before.Admit(context.Background(), "acme"); ok {
			admitted++
		}
	}
	is.Equal(admitted, 15)
	f.nodes[0].list(entries)
	for {
		grant, err := added.Grant(bbrallowance.Request{Tenant: "acme", Request: bbrlimit.Request{Needed: 1}})
		is.NoErr(err)
		if grant.Tokens == 0 {
			break
		}
		admitted += grant.Tokens
	}
	is.True(admitted <= allTokens)
	is.True(admitted >= allTokens-5)
	_, err := before.Grant(bbrallowance.Request{Tenant: "acme", Request: bbrlimit.Request{Needed: 1}})
	is.Equal(err, bbrallowance.ErrNotOwner)
}

func TestNewOwnerDoesNotWaitForAnInstanceThatDoesNotRun(t *testing.T) {
	is := is.New(t)
	f, entries := newNeighbours(t)
	f.servers[1].Close()
	f.nodes[0].list(entries)
	grant, err := f.nodes[0].limiter.Grant(bbrallowance.Request{Tenant: "acme", Request: bbrlimit.Request{Needed: 1}})
	is.NoErr(err)
	is.Equal(grant.Tokens, 1)
}

// TestInstanceThatStopsGrantsNothing guards against an instance that goes on granting while
// its successor, which the list already names, does so, too.
func TestInstanceThatStopsGrantsNothing(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 2, slowTenant)
	f.nodes[0].stopping = true
	_, err := f.nodes[0].limiter.Grant(bbrallowance.Request{Tenant: "acme", Request: bbrlimit.Request{Needed: 1}})
	is.Equal(err, bbrallowance.ErrNotOwner)
	ok, _ := f.nodes[0].limiter.Admit(context.Background(), "acme")
	is.True(ok) // by the other owner
}
