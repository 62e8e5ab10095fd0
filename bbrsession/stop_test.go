package bbrsession

import (
	"context"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrforward"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// statements returns the requests of a session that runs operations.
func statements(database string, ops ...bbrmessage.Operation) []bbrmessage.Request {
	requests := []bbrmessage.Request{bbrmessage.Startup{Database: database}}
	for _, op := range ops {
		requests = append(requests, bbrmessage.Statement{ID: "q", Text: textOf(op), Op: op})
	}
	return requests
}

// classOf returns the failure class of a reply, empty for a success.
func classOf(r bbrmessage.Reply) bbrmessage.FailureClass {
	if r.Failure == nil {
		return ""
	}
	return r.Failure.Class
}

// TestTransactionWithStatementInProgressAtHalfOfGrace guards against statements that the
// exit of a stopped instance cuts off: a transaction that had a statement in progress when
// the others were rolled back went on without a limit.
func TestTransactionWithStatementInProgressAtHalfOfGrace(t *testing.T) {
	begin, read, commit, rollback := bbrmessage.Begin{}, bbrmessage.Read{}, bbrmessage.Commit{}, bbrmessage.Rollback{}
	const served, aborted, busy = bbrmessage.FailureClass(""), bbrmessage.ClassAborted, bbrmessage.ClassBusy
	tests := map[string]struct {
		ops []bbrmessage.Operation
		// during is the text with which a member is at work when the transactions are
		// ended; if it is empty, they are ended once left requests are left.
		during string
		left   int
		// ignoresDeadline is set if the requests have been read by the deadline.
		ignoresDeadline bool
		want            []bbrmessage.FailureClass
		wantSent        map[string]int
	}{
		"a read is in progress": {
			ops: []bbrmessage.Operation{begin, read, read, rollback}, during: "read",
			want: []bbrmessage.FailureClass{served, served, aborted, served}, wantSent: map[string]int{"read": 1, "rollback": 1},
		},
		"a read is in progress, and the next one has been read": {
			ops: []bbrmessage.Operation{begin, read, read, rollback}, during: "read", ignoresDeadline: true,
			want: []bbrmessage.FailureClass{served, served, aborted, served}, wantSent: map[string]int{"read": 1, "rollback": 1},
		},
		"a read is in progress, and the commit follows": {
			ops: []bbrmessage.Operation{begin, read, commit}, during: "read",
			want: []bbrmessage.FailureClass{served, served, aborted}, wantSent: map[string]int{"rollback": 1, "commit": 0},
		},
		"a read is in progress, and the commit has been read": {
			ops: []bbrmessage.Operation{begin, read, commit}, during: "read", ignoresDeadline: true,
			want: []bbrmessage.FailureClass{served, served, aborted}, wantSent: map[string]int{"rollback": 1, "commit": 0},
		},
		"the begin is in progress at the member": {
			ops: []bbrmessage.Operation{begin, read, read, rollback}, during: "begin",
			want: []bbrmessage.FailureClass{served, served, aborted, served}, wantSent: map[string]int{"read": 1, "rollback": 1},
		},
		"the commit is in progress": {
			ops: []bbrmessage.Operation{begin, read, commit}, during: "commit",
			want: []bbrmessage.FailureClass{served, served, served}, wantSent: map[string]int{"commit": 1},
		},
		"the transaction has not begun at a member": {
			ops: []bbrmessage.Operation{begin, read, rollback}, left: 2,
			want: []bbrmessage.FailureClass{served, aborted, served}, wantSent: map[string]int{"begin": 0, "read": 0},
		},
		"a transaction begins later": {
			ops: []bbrmessage.Operation{begin}, left: 1, ignoresDeadline: true,
			want: []bbrmessage.FailureClass{busy}, wantSent: map[string]int{"begin": 0},
		},
		"a statement arrives later": {
			ops: []bbrmessage.Operation{read}, left: 1, ignoresDeadline: true,
			want: []bbrmessage.FailureClass{busy}, wantSent: map[string]int{"read": 0},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f *fixture
			end := sync.OnceFunc(func() {
				f.server.Drain()
				f.server.EndTransactions()
			})
			f = newFixture(func(m bbrtype.MemberName, text string) (bbrmessage.Reply, error) {
				if text == tt.during {
					end()
				}
				return serveAll(m, text)
			})
			c := &deadlineCaller{ignoresDeadline: tt.ignoresDeadline}
			c.requests = statements("orders", tt.ops...)
			c.beforeReceive = func() {
				if tt.during == "" && len(c.requests) == tt.left {
					end()
				}
			}
			is.NoErr(f.server.Serve(context.Background(), c))
			var got []bbrmessage.FailureClass
			for _, r := range c.replies[1:] {
				got = append(got, classOf(r))
			}
			is.Equal(got, tt.want)
			for text, n := range tt.wantSent {
				is.Equal(f.countSent(text), n) // of this text
			}
		})
	}
}

// TestForwardedTransactionAtHalfOfGrace guards against the same for a transaction that is
// forwarded, at the instance that forwards it and at its holder.
func TestForwardedTransactionAtHalfOfGrace(t *testing.T) {
	begin, read, rollback := bbrmessage.Begin{}, bbrmessage.Read{}, bbrmessage.Rollback{}
	tests := map[string]struct{ holderStops bool }{
		"the forwarding instance stops": {},
		"the holder stops":              {holderStops: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var stopping *Server
			end := sync.OnceFunc(func() { stopping.EndTransactions() })
			f, _, holders := newForwardingFixture(func(m bbrtype.MemberName, text string) (bbrmessage.Reply, error) {
				if text == "read" {
					end()
				}
				return serveAll(m, text)
			}, 1, nil)
			stopping = f.server
			if tt.holderStops {
				stopping = holders[0].server
			}
			c := &deadlineCaller{}
			c.requests = statements("orders", begin, read, read, rollback)
			is.NoErr(f.server.Serve(context.Background(), c))
			is.NoErr(holders[0].server.Tasks.Wait())
			is.Equal(classOf(c.replies[2]), bbrmessage.FailureClass("")) // the read in progress
			is.Equal(classOf(c.replies[3]), bbrmessage.ClassAborted)
			is.Equal(holders[0].countSent("read"), 1)
			is.Equal(holders[0].countSent("rollback"), 1)
			is.Equal(holders[0].server.ForwardedCount(), 0)
		})
	}
}

// TestStatementOfEndedGuest declines a statement of a forwarded transaction that reaches its
// holder after the transactions were ended, and before this one was rolled back.
func TestStatementOfEndedGuest(t *testing.T) {
	is := is.New(t)
	_, h, holders := newForwardingFixture(serveAll, 1, nil)
	route, _ := holders[0].server.Catalog.Route("orders")
	st := bbrforward.Statement{Statement: bbrmessage.Statement{ID: "q", Text: "read", Op: bbrmessage.Read{}}, Route: route, InTransaction: true}
	result, err := h.Run(context.Background(), "a", st)
	is.NoErr(err)
	holders[0].server.ending.Store(true)
	st.Transaction = result.Transaction
	result, err = h.Run(context.Background(), "a", st)
	is.NoErr(err)
	is.True(result.Declined != "")
	is.Equal(holders[0].countSent("read"), 1)
	is.Equal(holders[0].countSent("rollback"), 1)
	is.Equal(holders[0].server.ForwardedCount(), 0)
}

// TestStatementsAreAnsweredBeforeTheExit guards against statements that still wait when a
// stopped instance exits, because their route allows more time.
func TestStatementsAreAnsweredBeforeTheExit(t *testing.T) {
	const untilExit = 100 * time.Millisecond
	alwaysBusy := rejectStatements("read", bbrmessage.ClassBusy, math.MaxInt)
	tests := map[string]struct {
		fixture func() *fixture
		op      bbrmessage.Operation
		want    bbrmessage.FailureClass
	}{
		"a statement that no member takes": {
			fixture: func() *fixture { return newFixture(alwaysBusy) },
			op:      bbrmessage.Read{}, want: bbrmessage.ClassBusy,
		},
		"a write at a holder that does not respond": {
			fixture: func() *fixture {
				f, _, _ := newForwardingFixture(serveAll, 2, once(holderFrozen, isOp[bbrmessage.Write]))
				return f
			},
			op: bbrmessage.Write{}, want: bbrmessage.ClassInDoubt,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := tt.fixture()
			startedAt := f.server.Clock.Now()
			f.server.AnswerBy(startedAt.Add(untilExit))
			replies := f.runSession(t, "orders", tt.op)
			is.Equal(classOf(replies[0]), tt.want)
			is.True(f.server.Clock.Now().Sub(startedAt) < 9*untilExit) // the route allows ten times as long
		})
	}
}
