package bbrsession

import (
	"context"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// inTransaction serves a statement of an open transaction.
func (x *session) inTransaction(ctx context.Context, st bbrmessage.Statement, access bbrmessage.Access, arrived bbrtype.Mono) bbrmessage.Reply {
	if access == bbrmessage.AccessWrite && x.tx.readOnly {
		return x.failTransactionAtMember(malformed("the transaction only reads"))
	}
	if failure := x.open(ctx, st, arrived); failure != nil {
		return x.failTransaction(failure)
	}
	tx := x.tx
	a := x.newAttempt(st, tx.route, tx.group, access, arrived)
	tx.wrote = tx.wrote || access == bbrmessage.AccessWrite
	reply, ok := x.runOpen(a)
	if !ok {
		return x.failTransaction(&bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: "the connection to the member was lost; the transaction is rolled back"})
	}
	if reply.Failure != nil {
		return x.failTransactionAtMember(reply.Failure)
	}
	tx.conn.Rest()
	return bbrmessage.Reply{Rows: reply.Rows, Proof: reply.Proof, State: x.state()}
}

// failTransactionAtMember rolls the transaction back and says why.
func (x *session) failTransactionAtMember(f *bbrmessage.Failure) bbrmessage.Reply {
	x.rollback()
	return x.failTransaction(f)
}

// runOpen runs a statement on the transaction's connection. It returns false if
// the connection is lost.
func (x *session) runOpen(a *attempt) (bbrmessage.Reply, bool) {
	conn := x.tx.conn
	text, name := x.text(a.st, conn.Texts())
	sentAt := x.server.Clock.Now()
	_, isCommit := a.st.Op.(bbrmessage.Commit)
	limit := a.until()
	if !isCommit {
		// Nothing is kept before the commit, so that the caller may begin anew.
		limit = a.limit(conn.Member().ID)
	}
	reply, err := conn.Run(limit, conn.Prelude(&x.held, name), bbrmessage.Guarded{ID: a.st.ID, Text: text})
	if err != nil {
		x.tx.conn = nil
		a.lost(conn, sentAt, err)
		return reply, false
	}
	a.group.Note(conn, bbrlink.Evidence{SentAt: sentAt, Reply: reply, Commit: isCommit && x.tx.wrote})
	return reply, true
}

// open begins the transaction at a member, unless it is open there.
func (x *session) open(ctx context.Context, st bbrmessage.Statement, arrived bbrtype.Mono) *bbrmessage.Failure {
	tx := x.tx
	if tx.conn != nil {
		return nil
	}
	a := x.newAttempt(st, tx.route, tx.group, bbrmessage.AccessRead, arrived)
	a.since = tx.arrived
	for {
		want, failure := x.wantTransaction(ctx, a)
		if failure != nil {
			return failure
		}
		conn, failure := a.acquire(ctx, want)
		if failure != nil {
			return failure
		}
		failure, again := x.tryOpen(ctx, a, conn, want)
		if !again {
			return failure
		}
	}
}

// wantTransaction tells what the transaction needs.
func (x *session) wantTransaction(ctx context.Context, a *attempt) (bbrplace.Want, *bbrmessage.Failure) {
	if !x.tx.readOnly {
		a.proveAside(ctx)
		return bbrplace.Want{PrimaryOnly: true}, nil
	}
	return a.wantRead(ctx)
}

// tryOpen begins the transaction at one member. It returns true if it is to be
// tried again.
func (x *session) tryOpen(ctx context.Context, a *attempt, conn *bbrlink.Conn, want bbrplace.Want) (*bbrmessage.Failure, bool) {
	id := conn.Member().ID
	sentAt := x.server.Clock.Now()
	begin := bbrmessage.Guarded{ID: bbrmessage.OwnID, Text: conn.Texts().Begin(x.tx.readOnly), After: want.Floor}
	reply, err := conn.Run(a.limit(id), conn.Prelude(&x.held, ""), begin)
	if err != nil {
		a.lost(conn, sentAt, err)
		r, again := a.again(ctx, id, &bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: err.Error()})
		return r.Failure, again
	}
	if reply.Failure != nil {
		a.group.Note(conn, bbrlink.Evidence{SentAt: sentAt, Reply: reply, Floor: want.Floor})
		a.group.Release(conn)
		r, again := a.again(ctx, id, reply.Failure)
		return r.Failure, again
	}
	x.tx.conn = conn
	if !want.PrimaryOnly || a.isProven(ctx, id) {
		return nil, false
	}
	x.rollback()
	return busy("the primary could not be shown to be the only one"), false
}

// commit ends a transaction. Only what the member says is told as done.
func (x *session) commit(ctx context.Context, st bbrmessage.Statement, arrived bbrtype.Mono) bbrmessage.Reply {
	if failure := x.open(ctx, st, arrived); failure != nil {
		x.tx = nil
		return x.fail(failure)
	}
	tx := x.tx
	a := x.newAttempt(st, tx.route, tx.group, bbrmessage.AccessWrite, arrived)
	reply, ok := x.runOpen(a)
	x.tx = nil
	if !ok {
		return x.fail(lostCommit(tx))
	}
	if reply.State != bbrmessage.StateIdle {
		tx.conn.Break()
	}
	tx.group.Release(tx.conn)
	if reply.Failure != nil {
		return x.fail(reply.Failure)
	}
	if tx.wrote {
		x.written = bbrmessage.Latest(x.written, reply.Place)
	}
	return bbrmessage.Reply{Rows: reply.Rows, Proof: reply.Proof, State: bbrmessage.StateIdle}
}

// lostCommit is what is told when the answer to a commit was lost.
func lostCommit(tx *transaction) *bbrmessage.Failure {
	if tx.wrote {
		return &bbrmessage.Failure{Class: bbrmessage.ClassInDoubt, Text: "the answer to the commit was lost"}
	}
	return &bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: "the answer to the commit was lost; the transaction had written nothing"}
}
