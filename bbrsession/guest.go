package bbrsession

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrforward"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// guestIdleTimeout is how long a forwarded transaction may be idle if the
	// configuration sets no timeout, and guestIdleMargin how much longer than the
	// configuration's timeout, by which the forwarding instance ends it.
	guestIdleTimeout = 10 * time.Second
	guestIdleMargin  = time.Second
)

// guest is a transaction of another instance's session. Its statements run one after the
// other.
type guest struct {
	mu   sync.Mutex
	sess *session
	// ended is set once the transaction is committed or rolled back.
	ended bool
	idle  *time.Timer
}

// guests are the statements and transactions that other instances have forwarded. The
// zero value has none.
type guests struct {
	mu sync.Mutex
	// running counts the statements in progress.
	running      int
	transactions map[bbrforward.TransactionID]*guest
}

// count returns the number of statements in progress and of open transactions.
func (g *guests) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running + len(g.transactions)
}

func (g *guests) addRunning(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running += n
}

func (g *guests) find(id bbrforward.TransactionID) *guest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.transactions[id]
}

func (g *guests) add(id bbrforward.TransactionID, tx *guest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.transactions == nil {
		g.transactions = map[bbrforward.TransactionID]*guest{}
	}
	g.transactions[id] = tx
}

func (g *guests) remove(id bbrforward.TransactionID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.transactions, id)
}

// all returns the open transactions.
func (g *guests) all() map[bbrforward.TransactionID]*guest {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[bbrforward.TransactionID]*guest, len(g.transactions))
	for id, tx := range g.transactions {
		out[id] = tx
	}
	return out
}

// RunForwarded runs a statement of another instance's session. It declines statements
// that it cannot serve, so that they are served elsewhere.
func (s *Server) RunForwarded(ctx context.Context, st bbrforward.Statement) bbrforward.Result {
	// A statement runs to its end when the forwarding instance has given up: its outcome
	// must not depend on when the connection ends.
	ctx = context.WithoutCancel(ctx)
	s.guests.addRunning(1)
	defer s.guests.addRunning(-1)
	startedAt := s.Clock.Now()
	var result bbrforward.Result
	if st.Transaction != "" {
		result = s.continueGuest(ctx, st)
	} else {
		result = s.startGuest(ctx, st)
	}
	result.Took = s.Clock.Now().Sub(startedAt)
	if f := result.Reply.Failure; f != nil {
		s.Log.WithFields(logrus.Fields{
			"request": st.ID, "route": st.Route.Name, "group": st.Route.Group, "outcome": f.Class, "cause": f.Text, "tookMs": result.Took.Milliseconds(),
		}).Info("forwarded statement not served")
	}
	return result
}

// startGuest runs a statement outside of a transaction, or the first one of a
// transaction.
func (s *Server) startGuest(ctx context.Context, st bbrforward.Statement) bbrforward.Result {
	if s.declining.Load() {
		return bbrforward.Result{Declined: "the instance is stopping", Stopping: true}
	}
	group := s.GroupByName(st.Route.Group)
	if group == nil || group.Primary().Member == "" {
		return bbrforward.Result{Declined: "no primary of the group is known"}
	}
	if !st.LastResort && s.lacksPrimary(group, st) {
		return bbrforward.Result{Declined: "the primary does not respond to this instance"}
	}
	now := s.Clock.Now()
	sess := &session{server: s, database: st.Route.Database, tenant: st.Tenant}
	sess.state = stateOf(st)
	sess.lastWritePosition = st.LastWrite
	arrivedAt := now.Add(-st.ArrivedAgo)
	if !st.InTransaction {
		access, ok := sess.accessOf(st.Statement)
		if !ok {
			return sess.guestResult(sess.failureReply(noStatementFailure()))
		}
		return sess.guestResult(sess.runSingle(ctx, sess.newExecution(st.Statement, st.Route, group, access, arrivedAt)))
	}
	sess.tx = &transaction{readOnly: st.ReadOnly, arrivedAt: now.Add(-st.BegunAgo), route: st.Route, group: group}
	tx := &guest{sess: sess}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	id := bbrforward.TransactionID(uuid.NewString())
	s.guests.add(id, tx)
	return s.runGuest(ctx, id, tx, st, arrivedAt)
}

// primaryPatience is how long a primary may leave this instance without a reply before
// statements for it are declined.
const primaryPatience = 300 * time.Millisecond

// lacksPrimary reports whether a statement needs the primary and the primary does not
// respond to this instance. It may respond to another one.
func (s *Server) lacksPrimary(group *bbrlink.Group, st bbrforward.Statement) bool {
	since := group.UnresponsiveSince(group.Primary().Member)
	if since == 0 || s.Clock.Now().Sub(since) < primaryPatience {
		return false
	}
	if st.InTransaction {
		return !st.ReadOnly
	}
	sess := &session{state: stateOf(st)}
	access, _ := sess.accessOf(st.Statement)
	return access == bbrmessage.AccessWrite || st.Route.Policy == bbrcatalog.PolicyPrimary
}

// continueGuest runs a statement of an open transaction.
func (s *Server) continueGuest(ctx context.Context, st bbrforward.Statement) bbrforward.Result {
	tx := s.guests.find(st.Transaction)
	if tx == nil {
		return bbrforward.Result{Declined: "the transaction is not open any more"}
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.ended {
		return bbrforward.Result{Declined: "the transaction is not open any more"}
	}
	tx.idle.Stop()
	if s.ending.Load() {
		s.endGuest(st.Transaction, tx)
		return bbrforward.Result{Declined: "the instance is stopping; the transaction is rolled back", Stopping: true}
	}
	tx.sess.phases = Phases{}
	tx.sess.state = stateOf(st)
	return s.runGuest(ctx, st.Transaction, tx, st, s.Clock.Now().Add(-st.ArrivedAgo))
}

// runGuest runs a statement of a transaction. tx.mu must be held.
func (s *Server) runGuest(ctx context.Context, id bbrforward.TransactionID, tx *guest, st bbrforward.Statement, arrivedAt bbrtype.Mono) bbrforward.Result {
	result := tx.sess.guestResult(tx.sess.runTransactionStatement(ctx, st.Statement, arrivedAt))
	if tx.sess.tx == nil || tx.sess.tx.failed {
		tx.ended = true
		s.guests.remove(id)
		return result
	}
	result.Transaction = id
	tx.idle = time.AfterFunc(s.guestTimeout(), func() { s.expireGuest(id, tx) })
	return result
}

// guestTimeout returns how long a forwarded transaction may be idle.
func (s *Server) guestTimeout() time.Duration {
	if c := s.Catalog.Current(); c != nil && c.IdleTransactionTimeout > 0 {
		return c.IdleTransactionTimeout + guestIdleMargin
	}
	return guestIdleTimeout
}

// expireGuest rolls a forwarded transaction back that has been idle for too long, or on
// EndTransactions. The instance that forwarded it is gone, or does not commit it any more.
func (s *Server) expireGuest(id bbrforward.TransactionID, tx *guest) {
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if !tx.ended {
		s.endGuest(id, tx)
	}
}

// endGuest rolls a forwarded transaction back. tx.mu must be held.
func (s *Server) endGuest(id bbrforward.TransactionID, tx *guest) {
	s.Log.WithFields(logrus.Fields{"route": tx.sess.tx.route.Name, "group": tx.sess.tx.route.Group, "stopping": s.closing.Load()}).Info("idle forwarded transaction rolled back")
	tx.sess.rollback()
	tx.ended = true
	s.guests.remove(id)
}

// runTransactionStatement runs a statement, a commit or a rollback of the session's open
// transaction.
func (sess *session) runTransactionStatement(ctx context.Context, st bbrmessage.Statement, arrivedAt bbrtype.Mono) bbrmessage.Reply {
	switch st.Op.(type) {
	case bbrmessage.Commit:
		return sess.commit(ctx, st, arrivedAt)
	case bbrmessage.Rollback:
		sess.rollback()
		sess.tx = nil
		return sess.successReply()
	}
	access, ok := sess.accessOf(st)
	if !ok {
		return sess.rollbackAndFail(noStatementFailure())
	}
	return sess.runInTransaction(ctx, st, access, arrivedAt)
}

// stateOf returns the session state that a forwarded statement needs.
func stateOf(st bbrforward.Statement) bbrlink.SessionState {
	return bbrlink.SessionState{Values: st.Values, Prepared: st.Prepared}
}

// guestResult returns the result of a forwarded statement of the session.
func (sess *session) guestResult(reply bbrmessage.Reply) bbrforward.Result {
	return bbrforward.Result{Reply: reply, LastWrite: sess.lastWritePosition, Phases: sess.phases.forForward()}
}

func noStatementFailure() *bbrmessage.Failure {
	return &bbrmessage.Failure{Class: bbrmessage.ClassNoPreparedStatement, Text: "no such prepared statement"}
}
