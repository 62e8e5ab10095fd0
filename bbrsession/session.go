package bbrsession

import (
	"context"
	"hash/fnv"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// session is one caller's connection.
type session struct {
	server   *Server
	wire     bbrmessage.CallerConn
	database string
	held     bbrlink.Session
	// written is the newest place of the session's own commits.
	written bbrmessage.Place
	tx      *transaction
	// expireTransaction asks the session to roll back an idle transaction.
	expireTransaction atomic.Bool
}

// transaction is an open transaction. It has no connection before its first
// statement.
type transaction struct {
	readOnly bool
	// arrived is when its begin was read.
	arrived bbrtype.Mono
	route   bbrcatalog.Route
	group   *bbrlink.Group
	conn    *bbrlink.Conn
	wrote   bool
	failed  bool
}

// run serves the caller's statements.
func (x *session) run(ctx context.Context) error {
	for {
		if x.server.closing.Load() && x.tx == nil && x.wire.IsIdle() {
			return nil
		}
		x.limitIdle()
		req, err := x.wire.Receive()
		if isTimeout(err) {
			x.onTimeout()
			continue
		}
		reply, last := x.answer(ctx, req, err)
		if last {
			return nil
		}
		if err := x.wire.Send(reply); err != nil {
			return errors.Wrap(err, "answer to the caller")
		}
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}

// limitIdle bounds how long a transaction waits for its caller.
func (x *session) limitIdle() {
	var until time.Time
	if c := x.server.Catalog.Current(); x.tx != nil && x.tx.conn != nil && c != nil && c.IdleTransaction > 0 {
		until = time.Now().Add(c.IdleTransaction)
	}
	_ = x.wire.SetReceiveDeadline(until)
}

// onTimeout ends a transaction that was idle too long, or that a stop ends.
func (x *session) onTimeout() {
	if x.tx == nil || !x.wire.IsIdle() {
		return
	}
	if x.server.closing.Load() && !x.expireTransaction.Load() {
		return
	}
	x.server.Log.WithFields(logrus.Fields{"route": x.tx.route.Name, "stopping": x.server.closing.Load()}).Info("idle transaction rolled back")
	x.rollback()
	x.tx.failed = true
}

// answer serves one request. It returns true if the session is over.
func (x *session) answer(ctx context.Context, req bbrmessage.Request, err error) (bbrmessage.Reply, bool) {
	var refused *bbrmessage.Failure
	if errors.As(err, &refused) {
		return x.fail(refused), false
	}
	if err != nil {
		return bbrmessage.Reply{}, true
	}
	st, ok := req.(bbrmessage.Statement)
	if !ok {
		return bbrmessage.Reply{}, true
	}
	arrived := x.server.Clock.Now()
	reply := x.handle(ctx, st, arrived)
	x.report(st, reply, arrived)
	return reply, false
}

// report logs and counts what became of a statement.
func (x *session) report(st bbrmessage.Statement, reply bbrmessage.Reply, arrived bbrtype.Mono) {
	took := x.server.Clock.Now().Sub(arrived)
	outcome := "done"
	if reply.Failure != nil {
		outcome = string(reply.Failure.Class)
	}
	route, _ := x.server.Catalog.Route(x.database)
	if x.server.Record != nil {
		x.server.Record.Observe(route.Name, route.Policy, outcome, took)
	}
	if reply.Failure != nil {
		x.server.Log.WithFields(logrus.Fields{
			"request": st.ID, "route": route.Name, "group": route.Group, "version": x.server.version(),
			"outcome": outcome, "cause": reply.Failure.Text, "tookMs": took.Milliseconds(),
		}).Info("statement not served")
	}
}

// handle serves one statement.
func (x *session) handle(ctx context.Context, st bbrmessage.Statement, arrived bbrtype.Mono) bbrmessage.Reply {
	if x.tx != nil && x.tx.failed {
		return x.handleFailed(st)
	}
	switch op := st.Op.(type) {
	case bbrmessage.Set:
		return x.set(op)
	case bbrmessage.Prepare:
		return x.prepare(op)
	case bbrmessage.Deallocate:
		delete(x.held.Prepared, op.Name)
		return x.done()
	case bbrmessage.Begin:
		return x.begin(op, arrived)
	case bbrmessage.Rollback:
		if x.tx == nil {
			return x.fail(malformed("no transaction is open"))
		}
		x.rollback()
		x.tx = nil
		return x.done()
	case bbrmessage.Commit:
		if x.tx == nil {
			return x.fail(malformed("no transaction is open"))
		}
		return x.commit(ctx, st, arrived)
	case bbrmessage.Read, bbrmessage.Write, bbrmessage.Execute:
		return x.data(ctx, st, arrived)
	}
	return x.fail(malformed("the statement can't be understood"))
}

// handleFailed serves a statement in a transaction that has failed.
func (x *session) handleFailed(st bbrmessage.Statement) bbrmessage.Reply {
	switch st.Op.(type) {
	case bbrmessage.Rollback:
		x.tx = nil
		return x.done()
	case bbrmessage.Commit:
		x.tx = nil
		return x.fail(&bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: "the transaction had failed and was rolled back"})
	}
	return x.fail(malformed("the transaction has failed; end it first"))
}

func malformed(text string) *bbrmessage.Failure {
	return &bbrmessage.Failure{Class: bbrmessage.ClassMalformed, Text: text}
}

// state returns the state of the session as its caller sees it.
func (x *session) state() bbrmessage.State {
	switch {
	case x.tx == nil:
		return bbrmessage.StateIdle
	case x.tx.failed:
		return bbrmessage.StateFailed
	}
	return bbrmessage.StateTransaction
}

// done is the answer to a statement that no member has to run.
func (x *session) done() bbrmessage.Reply {
	return bbrmessage.Reply{Proof: bbrmessage.NoProof, State: x.state()}
}

// fail is the answer to a statement that was not served.
func (x *session) fail(f *bbrmessage.Failure) bbrmessage.Reply {
	return bbrmessage.Reply{Failure: f, State: x.state()}
}

// failTransaction ends the transaction's work and says why.
func (x *session) failTransaction(f *bbrmessage.Failure) bbrmessage.Reply {
	x.tx.failed = true
	return x.fail(f)
}

func (x *session) set(op bbrmessage.Set) bbrmessage.Reply {
	if x.held.Values == nil {
		x.held.Values = map[string]string{}
	}
	x.held.Values[op.Name] = op.Value
	return x.done()
}

// prepare keeps a prepared statement under a name made from what it does, so
// that callers who prepare the same share it.
func (x *session) prepare(op bbrmessage.Prepare) bbrmessage.Reply {
	if x.held.Prepared == nil {
		x.held.Prepared = map[string]bbrmessage.Prepare{}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(op.Access) + " " + op.Shape))
	shared := op
	shared.Name = "p" + strconv.FormatUint(h.Sum64(), 36)
	x.held.Prepared[op.Name] = shared
	return x.done()
}

// begin opens a transaction. It takes a connection with its first statement.
func (x *session) begin(op bbrmessage.Begin, arrived bbrtype.Mono) bbrmessage.Reply {
	if x.tx != nil {
		return x.fail(malformed("a transaction is open"))
	}
	route, group, failure := x.target()
	if failure != nil {
		return x.fail(failure)
	}
	x.tx = &transaction{readOnly: op.ReadOnly, arrived: arrived, route: route, group: group}
	return x.done()
}

// target returns where the session's next operation goes.
func (x *session) target() (bbrcatalog.Route, *bbrlink.Group, *bbrmessage.Failure) {
	route, ok := x.server.Catalog.Route(x.database)
	if !ok {
		return route, nil, noDatabase(x.database)
	}
	group := x.server.Group(route.Group)
	if group == nil {
		return route, nil, busy("no member of the group is known")
	}
	return route, group, nil
}

// rollback ends the transaction at its member and gives the connection back.
func (x *session) rollback() {
	tx := x.tx
	if tx == nil || tx.conn == nil {
		return
	}
	conn := tx.conn
	tx.conn = nil
	reply, err := conn.RunText(time.Now().Add(rollbackPatience), conn.Texts().Rollback())
	if err != nil || reply.State != bbrmessage.StateIdle {
		conn.Break()
	}
	tx.group.Release(conn)
}

// abandon ends what a caller that left had open.
func (x *session) abandon() {
	x.rollback()
	x.tx = nil
}
