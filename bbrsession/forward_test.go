package bbrsession

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrforward"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// fakeHolders forwards statements to servers in the same process, in their order. One
// that does not respond, or that declined, is left out from then on.
type fakeHolders struct {
	mu      sync.Mutex
	servers []*Server
	// disturb is what becomes of a statement on its way. It may be nil.
	disturb  func(address string, s bbrforward.Statement) disturbance
	excluded map[string]bool
	// lastResort keeps the first holder in use although it declines.
	lastResort bool
	// runs counts the statements that a holder has run.
	runs int
}

// disturbance is what becomes of a statement on its way to a holder.
type disturbance string

// The disturbances: the holder cannot be reached, the reply is lost, or the holder neither
// runs the statement nor replies.
const (
	undisturbed   disturbance = ""
	notReached    disturbance = "notReached"
	replyLost     disturbance = "replyLost"
	holderFrozen  disturbance = "frozen"
	holderStopped disturbance = "stopped"
)

func (h *fakeHolders) address(i int) string { return string(rune('a' + i)) }

func (h *fakeHolders) Holder(bbrtype.GroupName) (Holder, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.servers {
		if h.lastResort || !h.excluded[h.address(i)] {
			return Holder{Address: h.address(i), LastResort: h.lastResort}, true
		}
	}
	return Holder{}, false
}

func (h *fakeHolders) Exclude(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.excluded[address] = true
}

func (h *fakeHolders) ExcludeFor(address string, _ bbrtype.GroupName) { h.Exclude(address) }

func (h *fakeHolders) HasRepliedRecently(string) bool { return true }

func (h *fakeHolders) Run(ctx context.Context, address string, s bbrforward.Statement) (bbrforward.Result, error) {
	d := undisturbed
	if h.disturb != nil {
		d = h.disturb(address, s)
	}
	switch d {
	case notReached:
		return bbrforward.Result{}, bbrforward.ErrNotSent
	case holderFrozen:
		<-ctx.Done()
		return bbrforward.Result{}, ctx.Err()
	}
	server := h.servers[address[0]-'a']
	if d == holderStopped {
		server.StopForwarded()
	}
	result := server.RunForwarded(ctx, s)
	h.mu.Lock()
	h.runs++
	h.mu.Unlock()
	if d == replyLost {
		return bbrforward.Result{}, errReplyLost
	}
	return result, nil
}

func (h *fakeHolders) Ping(ctx context.Context, address string) error {
	if h.disturb != nil && h.disturb(address, bbrforward.Statement{}) == holderFrozen {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (h *fakeHolders) RecordForward(ForwardOutcome) {}

// newForwardingFixture returns a server that forwards to n holders, whose members reply by
// the handler.
func newForwardingFixture(h handler, n int, disturb func(string, bbrforward.Statement) disturbance) (*fixture, *fakeHolders, []*fixture) {
	holders := &fakeHolders{excluded: map[string]bool{}, disturb: disturb}
	var fixtures []*fixture
	for range n {
		f := newFixture(h)
		fixtures = append(fixtures, f)
		holders.servers = append(holders.servers, f.server)
	}
	ingress := newFixture(func(bbrtype.MemberName, string) (bbrmessage.Reply, error) {
		return bbrmessage.Reply{}, errors.New("the forwarding instance has no connection")
	})
	ingress.server.Forward = holders
	return ingress, holders, fixtures
}

// once disturbs the first statement with an operation that op accepts, at any holder.
func once(d disturbance, op func(bbrmessage.Operation) bool) func(string, bbrforward.Statement) disturbance {
	var mu sync.Mutex
	at := ""
	return func(address string, s bbrforward.Statement) disturbance {
		mu.Lock()
		defer mu.Unlock()
		if s.Op == nil && address == at || at == "" && s.Op != nil && op(s.Op) {
			at = address
			return d
		}
		return undisturbed
	}
}

func isOp[T bbrmessage.Operation](op bbrmessage.Operation) bool {
	_, ok := op.(T)
	return ok
}

// countRuns returns how often a text was sent to members of any holder.
func countRuns(fixtures []*fixture, text string) int {
	n := 0
	for _, f := range fixtures {
		n += f.countSent(text)
	}
	return n
}

// TestWhatIsToldOverAHolder guards against what a caller is told when the instance that
// holds the connections is lost: nothing runs twice, and "not run" is only said if true.
func TestWhatIsToldOverAHolder(t *testing.T) {
	begin, read, write, commit := bbrmessage.Begin{}, bbrmessage.Read{}, bbrmessage.Write{}, bbrmessage.Commit{}
	tests := map[string]struct {
		disturb func(string, bbrforward.Statement) disturbance
		ops     []bbrmessage.Operation
		// class is the failure class of the last reply, empty for a success.
		class    bbrmessage.FailureClass
		sentText string
		// sentCount is how often sentText runs at members.
		sentCount int
	}{
		"a read":                       {ops: []bbrmessage.Operation{read}, sentText: "read", sentCount: 1},
		"a write":                      {ops: []bbrmessage.Operation{write}, sentText: "write", sentCount: 1},
		"a transaction":                {ops: []bbrmessage.Operation{begin, read, write, commit}, sentText: "commit", sentCount: 1},
		"an empty transaction":         {ops: []bbrmessage.Operation{begin, commit}, sentText: "commit", sentCount: 1},
		"a transaction rolled back":    {ops: []bbrmessage.Operation{begin, write, bbrmessage.Rollback{}}, sentText: "rollback", sentCount: 1},
		"a caller leaves":              {ops: []bbrmessage.Operation{begin, write}, sentText: "rollback", sentCount: 1},
		"a read, holder not reached":   {disturb: once(notReached, isOp[bbrmessage.Read]), ops: []bbrmessage.Operation{read}, sentText: "read", sentCount: 1},
		"a write, holder not reached":  {disturb: once(notReached, isOp[bbrmessage.Write]), ops: []bbrmessage.Operation{write}, sentText: "write", sentCount: 1},
		"a read, reply lost":           {disturb: once(replyLost, isOp[bbrmessage.Read]), ops: []bbrmessage.Operation{read}, sentText: "read", sentCount: 2},
		"a write, reply lost":          {disturb: once(replyLost, isOp[bbrmessage.Write]), ops: []bbrmessage.Operation{write}, class: bbrmessage.ClassInDoubt, sentText: "write", sentCount: 1},
		"a read, holder frozen":        {disturb: once(holderFrozen, isOp[bbrmessage.Read]), ops: []bbrmessage.Operation{read}, sentText: "read", sentCount: 1},
		"a write, holder frozen":       {disturb: once(holderFrozen, isOp[bbrmessage.Write]), ops: []bbrmessage.Operation{write}, class: bbrmessage.ClassInDoubt, sentText: "write", sentCount: 0},
		"a write, holder stopping":     {disturb: once(holderStopped, isOp[bbrmessage.Write]), ops: []bbrmessage.Operation{write}, sentText: "write", sentCount: 1},
		"the first of a transaction":   {disturb: once(replyLost, isOp[bbrmessage.Read]), ops: []bbrmessage.Operation{begin, read, write, commit}, sentText: "commit", sentCount: 1},
		"a write of a transaction":     {disturb: once(replyLost, isOp[bbrmessage.Write]), ops: []bbrmessage.Operation{begin, read, write}, class: bbrmessage.ClassAborted, sentText: "write", sentCount: 1},
		"its commit afterwards":        {disturb: once(replyLost, isOp[bbrmessage.Write]), ops: []bbrmessage.Operation{begin, read, write, commit}, class: bbrmessage.ClassAborted, sentText: "commit", sentCount: 0},
		"a commit, reply lost":         {disturb: once(replyLost, isOp[bbrmessage.Commit]), ops: []bbrmessage.Operation{begin, write, commit}, class: bbrmessage.ClassInDoubt, sentText: "commit", sentCount: 1},
		"a commit of reads, lost":      {disturb: once(replyLost, isOp[bbrmessage.Commit]), ops: []bbrmessage.Operation{begin, read, commit}, class: bbrmessage.ClassAborted, sentText: "commit", sentCount: 1},
		"a commit, holder gone":        {disturb: once(notReached, isOp[bbrmessage.Commit]), ops: []bbrmessage.Operation{begin, write, commit}, class: bbrmessage.ClassAborted, sentText: "commit", sentCount: 0},
		"a commit, holder stopping":    {disturb: once(holderStopped, isOp[bbrmessage.Commit]), ops: []bbrmessage.Operation{begin, write, commit}, sentText: "commit", sentCount: 1},
		"a frozen holder's commit":     {disturb: once(holderFrozen, isOp[bbrmessage.Commit]), ops: []bbrmessage.Operation{begin, write, commit}, class: bbrmessage.ClassInDoubt, sentText: "commit", sentCount: 0},
		"frozen after the first reply": {disturb: once(holderFrozen, isOp[bbrmessage.Write]), ops: []bbrmessage.Operation{begin, read, write, commit}, class: bbrmessage.ClassAborted, sentText: "commit", sentCount: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f, _, holders := newForwardingFixture(serveAll, 2, tt.disturb)
			replies := f.runSession(t, "orders", tt.ops...)
			is.Equal(len(replies), len(tt.ops))
			last := replies[len(replies)-1]
			if tt.class == "" {
				is.Equal(last.Failure, nil)
			} else {
				is.True(last.Failure != nil)
				is.Equal(last.Failure.Class, tt.class)
			}
			is.Equal(countRuns(holders, tt.sentText), tt.sentCount)
		})
	}
}

// TestDeclinedAsALastResort guards against a statement that goes round the holders until its
// time is over, though none of them knows a primary.
func TestDeclinedAsALastResort(t *testing.T) {
	is := is.New(t)
	f, h, holders := newForwardingFixture(serveAll, 1, nil)
	h.lastResort = true
	holders[0].server.StopForwarded()
	replies := f.runSession(t, "orders", bbrmessage.Write{})
	is.Equal(replies[0].Failure.Class, bbrmessage.ClassBusy)
	is.Equal(h.runs, 1)
}

// TestSessionStateGoesWithTheStatement runs statements of one session at two holders: each
// gets the session's values and prepared statements.
func TestSessionStateGoesWithTheStatement(t *testing.T) {
	is := is.New(t)
	f, _, holders := newForwardingFixture(serveAll, 2, once(notReached, isOp[bbrmessage.Write]))
	replies := f.runSession(t, "orders",
		bbrmessage.Set{Name: "zone", Value: "a"}, bbrmessage.Prepare{Name: "s", Access: bbrmessage.AccessRead, Definition: "x"},
		bbrmessage.Execute{Name: "s", Arguments: "1"}, bbrmessage.Write{}, bbrmessage.Execute{Name: "s", Arguments: "2"})
	for _, r := range replies {
		is.Equal(r.Failure, nil)
	}
	for _, h := range holders {
		is.Equal(h.countSent("set zone=a"), 1)
		is.Equal(h.countSent("prepare x"), 1)
	}
}

// TestForwardedTransactionExpires guards against a transaction that stays open at a holder
// after the forwarding instance is gone.
func TestForwardedTransactionExpires(t *testing.T) {
	is := is.New(t)
	_, h, holders := newForwardingFixture(serveAll, 1, nil)
	route, _ := holders[0].server.Catalog.Route("orders")
	result, err := h.Run(context.Background(), "a", bbrforward.Statement{
		Statement: bbrmessage.Statement{ID: "q", Text: "write", Op: bbrmessage.Write{}}, Route: route, InTransaction: true,
	})
	is.NoErr(err)
	is.True(result.Transaction != "")
	is.Equal(holders[0].server.ForwardedCount(), 1)
	holders[0].server.EndTransactions() // as in a stop
	is.NoErr(holders[0].server.Tasks.Wait())
	is.Equal(holders[0].server.ForwardedCount(), 0)
	is.Equal(holders[0].countSent("rollback"), 1)
	result, err = h.Run(context.Background(), "a", bbrforward.Statement{
		Statement: bbrmessage.Statement{ID: "q", Text: "commit", Op: bbrmessage.Commit{}}, Route: route, InTransaction: true, Transaction: result.Transaction,
	})
	is.NoErr(err)
	is.True(result.Declined != "")
	is.Equal(holders[0].countSent("commit"), 0)
}

// TestFrozenHolderIsLeftSoon guards against reads that stay with a holder which does not
// respond until their time is over.
func TestFrozenHolderIsLeftSoon(t *testing.T) {
	is := is.New(t)
	f, h, _ := newForwardingFixture(serveAll, 2, once(holderFrozen, isOp[bbrmessage.Read]))
	startedAt := time.Now()
	replies := f.runSession(t, "own", bbrmessage.Read{})
	is.Equal(replies[0].Failure, nil)
	is.True(time.Since(startedAt) < pingAfter+pingTimeout+200*time.Millisecond)
	is.True(h.excluded["a"])
}
