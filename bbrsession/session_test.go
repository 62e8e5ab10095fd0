package bbrsession

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// errLost is the end of a connection on which an answer was lost.
var errLost = errors.New("the connection was reset")

// script answers a statement at a member. The error errLost loses the answer.
type script func(member bbrtype.MemberName, text string) (bbrmessage.Reply, error)

// fakeMember is a connection to a member that follows a script.
type fakeMember struct {
	id     bbrtype.MemberName
	world  *world
	queued []bbrmessage.Guarded
}

func (f *fakeMember) Send(_ time.Time, statements ...bbrmessage.Guarded) error {
	f.queued = append(f.queued, statements...)
	return nil
}

func (f *fakeMember) Receive(time.Time) (bbrmessage.Reply, error) {
	g := f.queued[0]
	f.queued = f.queued[1:]
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	f.world.seen = append(f.world.seen, string(f.id)+" "+g.Text)
	return f.world.script(f.id, g.Text)
}

func (f *fakeMember) Texts() bbrmessage.Texts { return fakeTexts{} }

func (f *fakeMember) Close() error { return nil }

// fakeTexts are the words of the fake members.
type fakeTexts struct{}

func (fakeTexts) Begin(bool) string                         { return "begin" }
func (fakeTexts) Rollback() string                          { return "rollback" }
func (fakeTexts) Reset() string                             { return "reset" }
func (fakeTexts) Set(name, value string) string             { return "set " + name + "=" + value }
func (fakeTexts) Prepare(p bbrmessage.Prepare) string       { return "prepare " + p.Shape }
func (fakeTexts) Execute(e bbrmessage.Execute) string       { return "execute " + e.Arguments }
func (fakeTexts) Look() string                              { return "look" }
func (fakeTexts) Hold(bbrtype.Term) string                  { return "hold" }
func (fakeTexts) Resume() string                            { return "resume" }
func (fakeTexts) StepDown(bbrtype.Term) string              { return "step down" }
func (fakeTexts) ParseLook(string) (bbrmessage.Look, error) { return bbrmessage.Look{}, errLost }

// fakeCaller hands out requests and takes answers.
type fakeCaller struct {
	requests []bbrmessage.Request
	replies  []bbrmessage.Reply
}

func (c *fakeCaller) Receive() (bbrmessage.Request, error) {
	if len(c.requests) == 0 {
		return nil, io.EOF
	}
	r := c.requests[0]
	c.requests = c.requests[1:]
	return r, nil
}

func (c *fakeCaller) IsIdle() bool { return true }

func (c *fakeCaller) SetReceiveDeadline(time.Time) error { return nil }

func (c *fakeCaller) Send(r bbrmessage.Reply) error {
	c.replies = append(c.replies, r)
	return nil
}

func (c *fakeCaller) Close() error { return nil }

// world is a server before a primary p and a replica r.
type world struct {
	mu     sync.Mutex
	script script
	seen   []string
	server *Server
}

func newWorld(s script) *world {
	w := &world{script: s}
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := bbrtype.NewClock()
	g := bbrlink.NewGroup("g", bbrlink.Deps{
		Dial: func(_ context.Context, m bbrdirectory.Member) (bbrmessage.MemberConn, error) {
			return &fakeMember{id: m.ID, world: w}, nil
		},
		Clock: clock, Log: log, Group: &errgroup.Group{}, Instances: func() int { return 1 },
		Vouch: func(context.Context) error { return errLost }, Ask: func(context.Context) error { return errLost },
	})
	g.SetMembers([]bbrdirectory.Member{{ID: "p", Group: "g"}, {ID: "r", Group: "g"}}, nil, bbrcatalog.Service{MaxConnections: 20, SyncReplicas: 1})
	g.SetPrimary(bbrlink.Primary{Member: "p", Term: 1})
	g.TakeShared(bbrlink.Shared{Primary: "p", Term: 1, Place: bbrmessage.Place{Term: 1, Number: 1}}, clock.Now())
	var catalog bbrcatalog.Holder
	routes := map[string]bbrcatalog.Route{}
	for name, policy := range map[string]bbrcatalog.Policy{"orders": bbrcatalog.PolicyPrimary, "own": bbrcatalog.PolicyOwnWrites} {
		routes[name] = bbrcatalog.Route{Name: bbrtype.RouteName(name), Database: name, Group: "g", Policy: policy, Timeout: time.Second, MaxAge: time.Minute}
	}
	catalog.Offer(&bbrcatalog.Catalogue{Version: 1, Routes: routes})
	w.server = New(Deps{
		Catalog: &catalog, Group: func(bbrtype.GroupName) *bbrlink.Group { return g },
		Clock: clock, Log: log, Work: &errgroup.Group{},
	})
	return w
}

// play runs statements in a session and returns the answers after the first.
func (w *world) play(t *testing.T, database string, ops ...bbrmessage.Operation) []bbrmessage.Reply {
	t.Helper()
	c := &fakeCaller{requests: []bbrmessage.Request{bbrmessage.Startup{Database: database}}}
	for _, op := range ops {
		c.requests = append(c.requests, bbrmessage.Statement{ID: "q", Text: textOf(op), Op: op})
	}
	if err := w.server.Serve(context.Background(), c); err != nil {
		t.Fatal(err)
	}
	return c.replies[1:]
}

func textOf(op bbrmessage.Operation) string {
	switch op.(type) {
	case bbrmessage.Read:
		return "read"
	case bbrmessage.Write:
		return "write"
	case bbrmessage.Commit:
		return "commit"
	}
	return "other"
}

// count returns how often a text was sent to any member.
func (w *world) count(text string) int {
	n := 0
	for _, s := range w.seen {
		if strings.HasSuffix(s, " "+text) {
			n++
		}
	}
	return n
}

// done is the answer of a member that serves everything.
func done(_ bbrtype.MemberName, text string) (bbrmessage.Reply, error) {
	state := bbrmessage.StateIdle
	if text == "begin" {
		state = bbrmessage.StateTransaction
	}
	return bbrmessage.Reply{Proof: "sig", State: state, Place: bbrmessage.Place{Term: 1, Number: 2}}, nil
}

// losing serves everything but loses the answers to one text, n times.
func losing(lost string, n int) script {
	return func(m bbrtype.MemberName, text string) (bbrmessage.Reply, error) {
		if text == lost && n > 0 {
			n--
			return bbrmessage.Reply{}, errLost
		}
		return done(m, text)
	}
}

// refusing serves everything but refuses one text with a class, n times.
func refusing(refused string, class bbrmessage.Class, n int) script {
	return func(m bbrtype.MemberName, text string) (bbrmessage.Reply, error) {
		if text == refused && n > 0 {
			n--
			return bbrmessage.Reply{Failure: &bbrmessage.Failure{Class: class}, State: bbrmessage.StateIdle}, nil
		}
		return done(m, text)
	}
}

func TestWhatIsTold(t *testing.T) {
	begin, read, write, commit := bbrmessage.Begin{}, bbrmessage.Read{}, bbrmessage.Write{}, bbrmessage.Commit{}
	tests := map[string]struct {
		script   script
		database string
		ops      []bbrmessage.Operation
		// class is the class of the last answer, empty for a success.
		class bbrmessage.Class
		// text was sent to members as often as times says.
		text  string
		times int
	}{
		"a lost read is tried again":                        {script: losing("read", 1), database: "own", ops: []bbrmessage.Operation{read}, text: "read", times: 2},
		"a lost write is in doubt, and not sent again":      {script: losing("write", 1), database: "own", ops: []bbrmessage.Operation{write}, class: bbrmessage.ClassInDoubt, text: "write", times: 1},
		"a write that a member had no room for is repeated": {script: refusing("write", bbrmessage.ClassBusy, 1), database: "own", ops: []bbrmessage.Operation{write}, text: "write", times: 2},
		"a write that failed is told so":                    {script: refusing("write", bbrmessage.ClassFailed, 1), database: "own", ops: []bbrmessage.Operation{write}, class: bbrmessage.ClassFailed, text: "write", times: 1},
		"a replica that lags is left for the primary":       {script: refusing("read", bbrmessage.ClassLagging, 1), database: "own", ops: []bbrmessage.Operation{read}, text: "read", times: 2},
		"a transaction loses its connection: rolled back":   {script: losing("write", 1), database: "orders", ops: []bbrmessage.Operation{begin, write}, class: bbrmessage.ClassAborted, text: "write", times: 1},
		"a lost commit that wrote is in doubt":              {script: losing("commit", 1), database: "orders", ops: []bbrmessage.Operation{begin, write, commit}, class: bbrmessage.ClassInDoubt, text: "commit", times: 1},
		"a lost commit that only read kept nothing":         {script: losing("commit", 1), database: "orders", ops: []bbrmessage.Operation{begin, read, commit}, class: bbrmessage.ClassAborted, text: "commit", times: 1},
		"the commit of a failed transaction keeps nothing":  {script: losing("write", 1), database: "orders", ops: []bbrmessage.Operation{begin, write, commit}, class: bbrmessage.ClassAborted, text: "commit", times: 0},
		"a write in a transaction that only reads":          {script: done, database: "own", ops: []bbrmessage.Operation{bbrmessage.Begin{ReadOnly: true}, read, write}, class: bbrmessage.ClassMalformed, text: "write", times: 0},
		"a caller that leaves is rolled back":               {script: done, database: "orders", ops: []bbrmessage.Operation{begin, write}, text: "rollback", times: 1},
		"an empty transaction is committed by a member":     {script: done, database: "orders", ops: []bbrmessage.Operation{begin, commit}, text: "commit", times: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(tt.script)
			replies := w.play(t, tt.database, tt.ops...)
			is.Equal(len(replies), len(tt.ops))
			last := replies[len(replies)-1]
			if tt.class == "" {
				is.Equal(last.Failure, nil)
			} else {
				is.True(last.Failure != nil)
				is.Equal(last.Failure.Class, tt.class)
			}
			is.Equal(w.count(tt.text), tt.times)
		})
	}
}

func TestSessionValuesFollowTheCaller(t *testing.T) {
	is := is.New(t)
	w := newWorld(done)
	w.play(t, "orders", bbrmessage.Set{Name: "zone", Value: "a"}, bbrmessage.Read{}, bbrmessage.Read{})
	is.Equal(w.count("set zone=a"), 1) // once for the connection
	w.play(t, "orders", bbrmessage.Read{})
	is.Equal(w.count("reset"), 1) // another caller must not see them
	w.play(t, "orders", bbrmessage.Prepare{Name: "s", Access: bbrmessage.AccessRead, Shape: "x"}, bbrmessage.Execute{Name: "s", Arguments: "1"}, bbrmessage.Deallocate{Name: "s"})
	is.Equal(w.count("prepare x"), 1)
	replies := w.play(t, "orders", bbrmessage.Execute{Name: "s", Arguments: "1"})
	is.Equal(replies[0].Failure.Class, bbrmessage.ClassNoStatement) // names belong to a session
}
