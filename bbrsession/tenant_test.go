package bbrsession

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// publishKeys publishes a configuration with the given holders of keys.
func (f *fixture) publishKeys(version int64, holders map[string]bbrtype.TenantName) {
	old := f.server.Catalog.Current()
	c := &bbrcatalog.Catalogue{Version: version, Routes: old.Routes, Tenants: map[bbrtype.TenantName]bbrcatalog.Tenant{}, Keys: map[bbrcatalog.KeyDigest]bbrtype.TenantName{}}
	for key, holder := range holders {
		c.Tenants[holder] = bbrcatalog.Tenant{Name: holder}
		c.Keys[bbrcatalog.DigestKey(key)] = holder
	}
	f.server.Catalog.PublishIfNewer(c)
}

// step is a request of keyedCaller. before is called when the session asks for it.
type step struct {
	op     bbrmessage.Operation
	before func(f *fixture)
}

// keyedCaller sends steps and keeps the replies.
type keyedCaller struct {
	fakeCaller
	fixture *fixture
	steps   []step
}

func (c *keyedCaller) Receive() (bbrmessage.Request, error) {
	if len(c.requests) > 0 || len(c.steps) == 0 {
		return c.fakeCaller.Receive()
	}
	s := c.steps[0]
	c.steps = c.steps[1:]
	if s.before != nil {
		s.before(c.fixture)
	}
	return bbrmessage.Statement{ID: "q", Text: textOf(s.op), Op: s.op}, nil
}

// newTenantFixture returns a fixture whose connections of tenants note the tenant of each
// statement in front of its text.
func newTenantFixture(h handler) *fixture {
	f := newFixture(h)
	f.server.GroupByName("g").DialTenant = func(_ context.Context, m bbrdirectory.Member, tenant bbrtype.TenantName) (bbrmessage.MemberConn, error) {
		return &fakeMember{id: bbrtype.MemberName(string(m.ID) + " " + string(tenant)), fixture: f}, nil
	}
	f.publishKeys(2, map[string]bbrtype.TenantName{"k1": "north", "k2": "south"})
	return f
}

func TestKeys(t *testing.T) {
	read, write, begin, commit := step{op: bbrmessage.Read{}}, step{op: bbrmessage.Write{}}, step{op: bbrmessage.Begin{}}, step{op: bbrmessage.Commit{}}
	take := func(s step, holders map[string]bbrtype.TenantName) step {
		return step{op: s.op, before: func(f *fixture) { f.publishKeys(3, holders) }}
	}
	taken, moved := map[string]bbrtype.TenantName{"k2": "south"}, map[string]bbrtype.TenantName{"k1": "south"}
	tests := map[string]struct {
		key   string
		steps []step
		// classes are the failure classes of the replies, that to the start first, empty
		// for a success.
		classes []bbrmessage.FailureClass
		// sent are the texts that members got, with the member and the tenant.
		sent []string
	}{
		"a statement runs on a connection of the key's tenant": {key: "k1", steps: []step{write}, classes: []bbrmessage.FailureClass{"", ""}, sent: []string{"p north write"}},
		"an unknown key is rejected":                           {key: "k3", steps: []step{write}, classes: []bbrmessage.FailureClass{bbrmessage.ClassUnknownKey}},
		"no key is rejected":                                   {steps: []step{write}, classes: []bbrmessage.FailureClass{bbrmessage.ClassUnknownKey}},
		"a key that is taken away runs nothing more":           {key: "k1", steps: []step{write, take(write, taken), read}, classes: []bbrmessage.FailureClass{"", "", bbrmessage.ClassUnknownKey, bbrmessage.ClassUnknownKey}, sent: []string{"p north write"}},
		"a key that moves runs for its new holder":             {key: "k1", steps: []step{write, take(write, moved)}, classes: []bbrmessage.FailureClass{"", "", ""}, sent: []string{"p north write", "p south write"}},
		"a transaction whose key is taken away is rolled back": {key: "k1", steps: []step{begin, write, take(write, taken), commit}, classes: []bbrmessage.FailureClass{"", "", "", bbrmessage.ClassAborted, bbrmessage.ClassAborted}, sent: []string{"p north begin", "p north write", "p north rollback"}},
		"a commit whose key is taken away is rolled back":      {key: "k1", steps: []step{begin, write, take(commit, taken)}, classes: []bbrmessage.FailureClass{"", "", "", bbrmessage.ClassAborted}, sent: []string{"p north begin", "p north write", "p north rollback"}},
		"a transaction whose key moves is rolled back":         {key: "k1", steps: []step{begin, write, take(commit, moved)}, classes: []bbrmessage.FailureClass{"", "", "", bbrmessage.ClassAborted}, sent: []string{"p north begin", "p north write", "p north rollback"}},
		"a rollback after the key is taken away succeeds":      {key: "k1", steps: []step{begin, write, take(step{op: bbrmessage.Rollback{}}, taken)}, classes: []bbrmessage.FailureClass{"", "", "", ""}, sent: []string{"p north begin", "p north write", "p north rollback"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTenantFixture(serveAll)
			c := &keyedCaller{fixture: f, steps: tt.steps}
			c.requests = []bbrmessage.Request{bbrmessage.Startup{Database: "orders", Key: tt.key}}
			is.NoErr(f.server.Serve(context.Background(), c))
			is.Equal(classesOf(c.replies), tt.classes)
			is.Equal(f.sentTexts, tt.sent)
		})
	}
}

func classesOf(replies []bbrmessage.Reply) []bbrmessage.FailureClass {
	var out []bbrmessage.FailureClass
	for _, r := range replies {
		class := bbrmessage.FailureClass("")
		if r.Failure != nil {
			class = r.Failure.Class
		}
		out = append(out, class)
	}
	return out
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	for key, tenant := range map[string]string{"": string(bbrcatalog.GuestTenant), "k3": string(bbrcatalog.GuestTenant), "k1": "north"} {
		t.Run("key "+key, func(t *testing.T) {
			is := is.New(t)
			f := newTenantFixture(serveAll)
			route := f.server.Catalog.Current().Routes["orders"]
			route.Public = true
			f.server.Catalog.Current().Routes["orders"] = route
			c := &keyedCaller{fixture: f, steps: []step{{op: bbrmessage.Write{}}}}
			c.requests = []bbrmessage.Request{bbrmessage.Startup{Database: "orders", Key: key}}
			is.NoErr(f.server.Serve(context.Background(), c))
			is.Equal(f.sentTexts, []string{"p " + tenant + " write"})
		})
	}
}

// TestRetriesKeepTheTenant guards against a statement that runs on a connection of another
// tenant after a member rejected it or lost its reply.
func TestRetriesKeepTheTenant(t *testing.T) {
	tests := map[string]handler{
		"a busy member":    rejectFirst("read", 2),
		"a lost reply":     loseReplies("read", 1),
		"a lost begin":     loseReplies("begin", 1),
		"a refused begin":  rejectFirst("begin", 1),
		"nothing happens":  serveAll,
		"a lost statement": loseReplies("write", 1),
	}
	for name, h := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTenantFixture(func(m bbrtype.MemberName, text string) (bbrmessage.Reply, error) { return h(m, text) })
			for i := range 6 {
				c := &keyedCaller{fixture: f, steps: []step{{op: bbrmessage.Read{}}, {op: bbrmessage.Begin{}}, {op: bbrmessage.Write{}}, {op: bbrmessage.Commit{}}}}
				c.requests = []bbrmessage.Request{bbrmessage.Startup{Database: "own", Key: fmt.Sprintf("k%d", 1+i%2)}}
				sent := len(f.sentTexts)
				is.NoErr(f.server.Serve(context.Background(), c))
				for _, text := range f.sentTexts[sent:] {
					is.Equal(strings.Fields(text)[1], []string{"north", "south"}[i%2])
				}
			}
		})
	}
}

// rejectFirst rejects one text n times because the member is busy.
func rejectFirst(match string, n int) handler {
	return rejectStatements(match, bbrmessage.ClassBusy, n)
}

// fakeLimiter admits the given number of operations of each tenant.
type fakeLimiter struct {
	left    int
	tenants []bbrtype.TenantName
}

func (l *fakeLimiter) Admit(_ context.Context, tenant bbrtype.TenantName) (bool, time.Duration) {
	l.tenants = append(l.tenants, tenant)
	l.left--
	return l.left >= 0, 120 * time.Millisecond
}

// TestLimitCountsOperations checks that a transaction counts once, that nothing of an operation
// beyond the limit is sent to a member, and that its caller is told when to come back.
func TestLimitCountsOperations(t *testing.T) {
	is := is.New(t)
	f := newTenantFixture(serveAll)
	limiter := &fakeLimiter{left: 2}
	f.server.Limiter = limiter
	c := &keyedCaller{fixture: f, steps: []step{
		{op: bbrmessage.Begin{}},
		{op: bbrmessage.Write{}},
		{op: bbrmessage.Write{}},
		{op: bbrmessage.Commit{}},
		{op: bbrmessage.Write{}},
		{op: bbrmessage.Write{}},
		{op: bbrmessage.Begin{}},
	}}
	c.requests = []bbrmessage.Request{bbrmessage.Startup{Database: "orders", Key: "k1"}}
	is.NoErr(f.server.Serve(context.Background(), c))
	is.Equal(limiter.tenants, []bbrtype.TenantName{"north", "north", "north", "north"})
	is.Equal(classesOf(c.replies), []bbrmessage.FailureClass{"", "", "", "", "", "", bbrmessage.ClassBusy, bbrmessage.ClassBusy})
	is.True(strings.Contains(c.replies[6].Failure.Text, "120 ms"))
	is.Equal(len(slices.DeleteFunc(f.sentTexts, func(s string) bool { return !strings.HasSuffix(s, "write") })), 3)
}

// TestWithoutTenantsNobodyIsIdentified checks that keys and limits have no effect where no
// tenants are configured.
func TestWithoutTenantsNobodyIsIdentified(t *testing.T) {
	is := is.New(t)
	f := newFixture(serveAll)
	f.server.Limiter = &fakeLimiter{}
	replies := f.runSession(t, "orders", bbrmessage.Write{}, bbrmessage.Write{})
	is.Equal(classesOf(replies), []bbrmessage.FailureClass{"", ""})
	is.Equal(f.sentTexts, []string{"p write", "p write"})
}
