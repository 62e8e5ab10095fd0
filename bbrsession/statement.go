package bbrsession

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// rollbackPatience bounds a rollback at a member.
	rollbackPatience = 300 * time.Millisecond
	// ageMargin is taken off a route's stated age, for the time that a request
	// was on its way to this instance.
	ageMargin = 50 * time.Millisecond
	// answerMargin is how long before the end of its time a statement is answered.
	answerMargin = 20 * time.Millisecond
	// againPause is the pause before a member that was busy is asked again.
	againPause = 15 * time.Millisecond
	// provePause is the pause before a proof is asked for again.
	provePause = 60 * time.Millisecond
	// usualTimeout bounds statements of routes that state no time.
	usualTimeout = 2 * time.Second
)

// attempt is one statement on its way to a member.
type attempt struct {
	x        *session
	group    *bbrlink.Group
	route    bbrcatalog.Route
	st       bbrmessage.Statement
	access   bbrmessage.Access
	arrived  bbrtype.Mono
	deadline bbrtype.Mono
	// since is the moment from which the data's age counts: the arrival of the
	// statement, or of its transaction's begin.
	since bbrtype.Mono
	avoid []bbrtype.MemberName
	// tries is the number of times that the statement was sent.
	tries int
	// under is the primary in use when the statement was sent.
	under bbrlink.Primary
}

// until returns the deadline as connections take it.
func (a *attempt) until() time.Time {
	return time.Now().Add(a.left())
}

// limit returns until when a member has to answer what can be tried again. The
// time grows with each try.
func (a *attempt) limit(id bbrtype.MemberName) time.Time {
	a.tries++
	patience := time.Duration(a.tries) * a.group.Patience(id)
	return time.Now().Add(min(patience, a.left()))
}

// left returns the time that is left.
func (a *attempt) left() time.Duration { return a.deadline.Sub(a.x.server.Clock.Now()) }

// due is when the caller should have the answer, 0 if the route states no time.
func (a *attempt) due() bbrtype.Mono {
	if a.route.Objective <= 0 {
		return 0
	}
	return a.arrived.Add(a.route.Objective)
}

// newAttempt makes an attempt of a statement.
func (x *session) newAttempt(st bbrmessage.Statement, route bbrcatalog.Route, group *bbrlink.Group, access bbrmessage.Access, arrived bbrtype.Mono) *attempt {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = usualTimeout
	}
	return &attempt{
		x: x, group: group, route: route, st: st, access: access,
		arrived: arrived, since: arrived, deadline: arrived.Add(timeout - answerMargin),
	}
}

// text returns the text as members take it, and the prepared name that it needs.
func (x *session) text(st bbrmessage.Statement, texts bbrmessage.Texts) (text, name string) {
	e, ok := st.Op.(bbrmessage.Execute)
	if !ok {
		return st.Text, ""
	}
	return texts.Execute(bbrmessage.Execute{Name: x.held.Prepared[e.Name].Name, Arguments: e.Arguments}), e.Name
}

// accessOf tells whether a statement reads or writes. It returns false for a
// prepared name that is not known.
func (x *session) accessOf(st bbrmessage.Statement) (bbrmessage.Access, bool) {
	switch op := st.Op.(type) {
	case bbrmessage.Write:
		return bbrmessage.AccessWrite, true
	case bbrmessage.Execute:
		p, ok := x.held.Prepared[op.Name]
		return p.Access, ok
	}
	return bbrmessage.AccessRead, true
}

// data serves a statement that reads or writes.
func (x *session) data(ctx context.Context, st bbrmessage.Statement, arrived bbrtype.Mono) bbrmessage.Reply {
	access, ok := x.accessOf(st)
	if !ok {
		return x.fail(&bbrmessage.Failure{Class: bbrmessage.ClassNoStatement, Text: "no such prepared statement"})
	}
	if x.tx != nil {
		return x.inTransaction(ctx, st, access, arrived)
	}
	route, group, failure := x.target()
	if failure != nil {
		return x.fail(failure)
	}
	a := x.newAttempt(st, route, group, access, arrived)
	if access == bbrmessage.AccessWrite {
		return x.write(ctx, a)
	}
	return x.read(ctx, a)
}

// acquire returns a connection for a statement, or the failure to tell.
func (a *attempt) acquire(ctx context.Context, want bbrplace.Want) (*bbrlink.Conn, *bbrmessage.Failure) {
	for {
		want.Avoid = a.avoid
		want.Priority = a.route.Priority
		want.Deadline = a.deadline
		want.Due = a.due()
		want.Objective = a.route.Objective
		conn, err := a.group.Acquire(ctx, want)
		if err == nil {
			a.under = a.group.Primary()
			return conn, nil
		}
		var m *bbrlink.MemberError
		if !errors.As(err, &m) {
			return nil, busy(err.Error())
		}
		if want.PrimaryOnly {
			if !a.pause(ctx, againPause) {
				return nil, busy(err.Error())
			}
			continue
		}
		a.avoid = append(a.avoid, m.Member)
	}
}

// pause waits, and reports whether there is time for another try.
func (a *attempt) pause(ctx context.Context, d time.Duration) bool {
	if a.left() < 2*d {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// wantRead tells what a read needs, or the failure to tell if nothing is known
// to be fresh enough.
func (a *attempt) wantRead(ctx context.Context) (bbrplace.Want, *bbrmessage.Failure) {
	if a.route.Policy == bbrcatalog.PolicyPrimary {
		a.proveAside(ctx)
		return bbrplace.Want{PrimaryOnly: true}, nil
	}
	floor, ok := a.group.Floor(a.since, a.route.MaxAge-ageMargin)
	for !ok {
		a.prove(ctx)
		if floor, ok = a.group.Floor(a.since, a.route.MaxAge-ageMargin); !ok && !a.pause(ctx, provePause) {
			return bbrplace.Want{}, busy("no position of the primary is known that is recent enough")
		}
	}
	if a.route.Policy == bbrcatalog.PolicyOwnWrites {
		floor = bbrmessage.Latest(floor, a.x.written)
	}
	return bbrplace.Want{Floor: floor}, nil
}

// prove gets a proof of the primary within the statement's time.
func (a *attempt) prove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.left())
	defer cancel()
	a.group.Prove(ctx)
}

// proveAside starts a proof, unless the primary is proven for the statement.
func (a *attempt) proveAside(ctx context.Context) {
	if a.group.Covers(a.group.Primary(), a.since) {
		return
	}
	a.x.server.Work.Go(func() error {
		a.prove(ctx)
		return nil
	})
}

// isProven reports whether the member that served the statement was the only
// primary when the statement arrived. It waits for a proof if there is none yet.
func (a *attempt) isProven(ctx context.Context, served bbrtype.MemberName) bool {
	if served != a.under.Member {
		return false
	}
	if a.group.Covers(a.under, a.since) {
		return true
	}
	for a.group.Primary() == a.under {
		a.prove(ctx)
		if a.group.Covers(a.under, a.since) {
			return true
		}
		if !a.pause(ctx, provePause) {
			return false
		}
	}
	return false
}

// read serves a read outside of a transaction. It is tried again elsewhere while
// there is time.
func (x *session) read(ctx context.Context, a *attempt) bbrmessage.Reply {
	for {
		want, failure := a.wantRead(ctx)
		if failure != nil {
			return x.fail(failure)
		}
		conn, failure := a.acquire(ctx, want)
		if failure != nil {
			return x.fail(failure)
		}
		reply, again := a.tryRead(ctx, conn, want)
		if !again {
			return reply
		}
	}
}

// tryRead runs a read at one member. It returns true if it is to be tried again.
func (a *attempt) tryRead(ctx context.Context, conn *bbrlink.Conn, want bbrplace.Want) (bbrmessage.Reply, bool) {
	x, id := a.x, conn.Member().ID
	text, name := x.text(a.st, conn.Texts())
	limit := a.limit(id)
	sentAt := x.server.Clock.Now()
	reply, err := conn.Run(limit, conn.Prelude(&x.held, name), bbrmessage.Guarded{ID: a.st.ID, Text: text, After: want.Floor})
	if err != nil {
		a.lost(conn, sentAt, err)
		return a.again(ctx, id, &bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: err.Error()})
	}
	a.group.Note(conn, bbrlink.Evidence{SentAt: sentAt, Reply: reply, Floor: want.Floor})
	if reply.Failure != nil && reply.Failure.Class == bbrmessage.ClassNoStatement {
		conn.ForgetPrepared()
	}
	a.group.Release(conn)
	if f := reply.Failure; f != nil {
		if notRun(f.Class) {
			return a.again(ctx, id, f)
		}
		return x.fail(f), false
	}
	if want.PrimaryOnly && !a.isProven(ctx, id) {
		return x.fail(busy("the primary could not be shown to be the only one")), false
	}
	return bbrmessage.Reply{Rows: reply.Rows, Proof: reply.Proof, State: bbrmessage.StateIdle}, false
}

// lost gives back a connection on which a reply was lost. If the member answered
// others meanwhile, only this statement is stuck there: a commit that no replica
// confirms, or a slow one.
func (a *attempt) lost(conn *bbrlink.Conn, sentAt bbrtype.Mono, err error) {
	id := conn.Member().ID
	if isTimeout(err) && a.group.AnsweredSince(id, sentAt) {
		if a.access == bbrmessage.AccessWrite {
			a.group.NoteStall(id, sentAt)
		}
	} else {
		a.group.NoteSilence(id)
	}
	a.group.Release(conn)
}

// again notes a failed try. It returns the answer to give if there is no time
// for another one.
func (a *attempt) again(ctx context.Context, id bbrtype.MemberName, f *bbrmessage.Failure) (bbrmessage.Reply, bool) {
	a.x.server.Log.WithFields(logrus.Fields{"request": a.st.ID, "group": a.group.Name(), "member": id, "class": f.Class, "leftMs": a.left().Milliseconds()}).Debug("try failed")
	pause := time.Duration(0)
	if f.Class == bbrmessage.ClassBusy || a.route.Policy == bbrcatalog.PolicyPrimary {
		pause = againPause
	} else {
		a.avoid = append(a.avoid, id)
		if len(a.avoid) >= len(a.group.Members()) {
			a.avoid = nil
			pause = againPause
		}
	}
	if !a.pause(ctx, max(pause, time.Millisecond)) {
		return a.x.fail(f), false
	}
	return bbrmessage.Reply{}, true
}

// notRun reports whether a class means that the member ran nothing.
func notRun(c bbrmessage.Class) bool {
	switch c {
	case bbrmessage.ClassBusy, bbrmessage.ClassLagging, bbrmessage.ClassReadOnly, bbrmessage.ClassNoStatement,
		bbrmessage.ClassWrongMember, bbrmessage.ClassTooManyConnections:
		return true
	}
	return false
}

// write serves a write outside of a transaction. It is sent again only if the
// member said that it ran nothing.
func (x *session) write(ctx context.Context, a *attempt) bbrmessage.Reply {
	for {
		conn, failure := a.acquire(ctx, bbrplace.Want{PrimaryOnly: true})
		if failure != nil {
			return x.fail(failure)
		}
		text, name := x.text(a.st, conn.Texts())
		sentAt := x.server.Clock.Now()
		reply, err := conn.Run(a.until(), conn.Prelude(&x.held, name), bbrmessage.Guarded{ID: a.st.ID, Text: text})
		if err != nil {
			a.lost(conn, sentAt, err)
			return x.fail(&bbrmessage.Failure{Class: bbrmessage.ClassInDoubt, Text: err.Error()})
		}
		a.group.Note(conn, bbrlink.Evidence{SentAt: sentAt, Reply: reply, Commit: true})
		if reply.Failure != nil && reply.Failure.Class == bbrmessage.ClassNoStatement {
			conn.ForgetPrepared()
		}
		a.group.Release(conn)
		if reply.Failure == nil {
			x.written = bbrmessage.Latest(x.written, reply.Place)
			return bbrmessage.Reply{Rows: reply.Rows, Proof: reply.Proof, State: bbrmessage.StateIdle}
		}
		if !notRun(reply.Failure.Class) || !a.pause(ctx, againPause) {
			return x.fail(reply.Failure)
		}
	}
}

func busy(text string) *bbrmessage.Failure {
	return &bbrmessage.Failure{Class: bbrmessage.ClassBusy, Text: text}
}
