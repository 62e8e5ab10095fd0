package bbrproxy

import (
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrreply"
)

// role is the purpose of a step that is sent to a member.
type role string

// The roles. Only the answer of roleCaller goes to the caller.
const (
	roleSettings role = "settings"
	roleKey      role = "key"
	roleCaller   role = "caller"
	roleCommit   role = "commit"
	roleState    role = "state"
)

// expect is a reply that a member owes.
type expect struct {
	kind itemKind
	// swallow keeps the reply from the caller.
	swallow bool
	// synthetic replies are made here: the member is not asked.
	synthetic bool
	stmt      *prepared
	// callerName is the caller's name of a parsed statement.
	callerName string
	// results is the number of results of a simple query, 0 if it isn't known.
	results int
}

// step is a part of what is sent, up to one ReadyForQuery.
type step struct {
	role    role
	expects []expect
	// tags are the command tags that its answer may have, nil for any.
	tags []string
}

// answer is what a member replied to all steps.
type answer struct {
	// status is the transaction state after the caller's step.
	status byte
	// refused is the member's error in the caller's step.
	refused *bbrpool.MemberError
	// keyRefused and commitRefused are errors in the system's own steps.
	keyRefused    *bbrpool.MemberError
	commitRefused *bbrpool.MemberError
	// tag is the last command tag of the caller's step, commitTag that of the
	// commit step.
	tag       string
	commitTag string
	// state is the member's state, if hasState is set.
	state    bbrmember.State
	hasState bool
	// passed is set once a part of the answer was written to the caller.
	passed bool
	// completed is set once the caller's step has been answered.
	completed bool
}

// pump reads the answers of all steps from a member and encodes those of the
// caller's step for the caller.
type pump struct {
	c    *session
	conn *bbrpool.Conn
	ans  answer
	// held is where in the pending output the part begins that must not be
	// written yet. It is -1 while nothing is held.
	held int
	// base is where in the pending output the answer begins.
	base int
	// holdTags keeps command tags back: the answer acknowledges a write.
	holdTags bool
	// watch decides what to do about a connection that says nothing.
	watch silentWatch
	// status is the transaction state after the last step.
	status byte
	// progress is set if a message came since the connection was armed.
	progress bool
}

// run reads the answers of the steps.
func (p *pump) run(steps []step) error {
	if err := p.conn.Arm(p.c.srv.opts.AnswerPatience); err != nil {
		return err
	}
	for i := range steps {
		if err := p.step(&steps[i]); err != nil {
			return err
		}
		if steps[i].role == roleCaller {
			p.ans.completed = true
		}
	}
	return nil
}

// step reads the answers of one step.
func (p *pump) step(s *step) error {
	failed := false
	for i := range s.expects {
		e := &s.expects[i]
		if failed {
			p.forget(e)
			continue
		}
		if e.synthetic {
			p.synthesize(e)
			continue
		}
		ok, err := p.await(s, e)
		if err != nil {
			return err
		}
		if e.kind == itemQuery {
			// A simple query ends with ReadyForQuery.
			return nil
		}
		failed = !ok
	}
	return p.awaitReady(s)
}

// synthesize answers for the member.
func (p *pump) synthesize(e *expect) {
	switch e.kind {
	case itemParse:
		p.c.send(&pgproto3.ParseComplete{})
	case itemCloseStatement:
		p.c.send(&pgproto3.CloseComplete{})
	}
}

// forget drops a statement whose Parse was refused, or skipped because of an error before
// it. If the system's own Close was skipped, the member has a statement that is not noted.
func (p *pump) forget(e *expect) {
	if e.kind == itemCloseStatement && e.swallow {
		p.conn.Taint()
	}
	if e.kind != itemParse || e.stmt == nil {
		return
	}
	p.conn.ForgetPrepared(e.stmt.name)
	if !e.swallow && p.c.prepared[e.callerName] == e.stmt {
		delete(p.c.prepared, e.callerName)
	}
}

// next reads a message. A silent connection is looked into.
func (p *pump) next() (pgproto3.BackendMessage, error) {
	for {
		msg, err := p.conn.Receive()
		if err == nil {
			p.progress = true
			return msg, nil
		}
		if !bbrpool.IsTimeout(err) {
			return nil, err
		}
		patience := p.c.srv.opts.AnswerPatience
		if !p.progress {
			if patience, err = p.watch.check(); err != nil {
				return nil, err
			}
		}
		p.progress = false
		if err := p.conn.Arm(patience); err != nil {
			return nil, err
		}
	}
}

// await reads the reply to one message. It returns false if the member refused it, and an
// error if the reply can't be that message's.
func (p *pump) await(s *step, e *expect) (bool, error) {
	check := bbrreply.Checker{Request: e.kind, Results: e.results}
	refused := false
	for {
		msg, err := p.next()
		if err != nil {
			return false, err
		}
		ended, err := check.Next(msg)
		if err != nil {
			return false, err
		}
		switch m := msg.(type) {
		case *pgproto3.ErrorResponse:
			refused = true
			p.forget(e)
			err = p.refuse(s.role, m)
		case *pgproto3.ReadyForQuery:
			err = p.ready(s.role, m)
		case *pgproto3.CommandComplete:
			err = p.complete(s, m)
		default:
			err = p.reply(s.role, e, msg)
		}
		if err != nil || ended {
			return !refused, err
		}
	}
}

// complete takes the end of a result.
func (p *pump) complete(s *step, m *pgproto3.CommandComplete) error {
	tag := string(m.CommandTag)
	if s.tags != nil && !slices.Contains(s.tags, tag) {
		return errors.Wrapf(bbrreply.ErrOutOfOrder, "tag %q in the %s step", tag, s.role)
	}
	switch s.role {
	case roleCommit:
		p.ans.commitTag = tag
	case roleCaller:
		p.ans.tag = tag
		if p.holdTags && p.held < 0 {
			p.held = len(p.c.out)
		}
		p.c.send(m)
	}
	return nil
}

// reply takes any other message of a reply.
func (p *pump) reply(r role, e *expect, msg pgproto3.BackendMessage) error {
	if row, ok := msg.(*pgproto3.DataRow); ok && r == roleState {
		return p.takeState(row)
	}
	_, notice := msg.(*pgproto3.NoticeResponse)
	if r != roleCaller || e.swallow && !notice || bbrreply.IsAsynchronous(msg) && !notice {
		return nil
	}
	p.c.send(msg)
	switch msg.(type) {
	case *pgproto3.DataRow, *pgproto3.CopyData:
		return p.relieve()
	case *pgproto3.CopyInResponse:
		return p.copyIn()
	}
	return nil
}

// takeState reads the member's state, which is one row.
func (p *pump) takeState(m *pgproto3.DataRow) error {
	if p.ans.hasState {
		return errors.Wrap(bbrreply.ErrOutOfOrder, "second row of the state")
	}
	if st, err := bbrgroup.ParseStateRow(m.Values); err == nil {
		p.ans.state, p.ans.hasState = st, true
	}
	return nil
}

// refuse takes an error of the member.
func (p *pump) refuse(r role, m *pgproto3.ErrorResponse) error {
	e := bbrpool.NewMemberError(m)
	if strings.EqualFold(e.Severity, "FATAL") || strings.EqualFold(e.Severity, "PANIC") {
		return errors.Wrap(e, "the member ended the connection")
	}
	switch r {
	case roleSettings:
		p.conn.Settings = bbrpool.SettingsUnknown
		p.c.log().WithError(e).WithField("member", p.watch.member).Warn("the member refused the session's settings")
	case roleCaller:
		p.ans.refused = e
		p.c.send(m)
	case roleKey:
		p.ans.keyRefused = e
	case roleCommit:
		p.ans.commitRefused = e
	}
	return nil
}

// ready takes the end of a step. The look at the state leaves the transaction as it is.
func (p *pump) ready(r role, m *pgproto3.ReadyForQuery) error {
	if r == roleState && m.TxStatus != p.status {
		return errors.Wrapf(bbrreply.ErrOutOfOrder, "transaction state %q after the state, %q before it", m.TxStatus, p.status)
	}
	p.status = m.TxStatus
	if r == roleCaller {
		p.ans.status = m.TxStatus
	}
	return nil
}

// awaitReady reads the reply to the Sync that ends a step. It may begin with a deferred
// error, at the end of an implicit transaction.
func (p *pump) awaitReady(s *step) error {
	_, err := p.await(s, &syncExpect)
	return err
}

var syncExpect = expect{kind: bbrreply.Sync}

// relieve writes what need not be kept back once it has become large.
func (p *pump) relieve() error {
	if len(p.c.out)-p.base < holdLimit {
		return nil
	}
	end := len(p.c.out)
	if p.held >= 0 {
		end = p.held
	}
	if end == 0 {
		return nil
	}
	rest := append([]byte(nil), p.c.out[end:]...)
	p.c.out = p.c.out[:end]
	if err := p.c.flush(); err != nil {
		return err
	}
	p.ans.passed = true
	p.c.out = append(p.c.out, rest...)
	if p.held >= 0 {
		p.held = 0
	}
	p.base = 0
	return nil
}

// withdraw takes back what has not been written of the answer, from the first
// held tag on, or all of it.
func (p *pump) withdraw() {
	switch {
	case p.held >= 0:
		p.c.out = p.c.out[:p.held]
	case !p.ans.passed:
		p.c.out = p.c.out[:p.base]
	default:
		p.c.out = p.c.out[:0]
	}
}

// copyIn passes the caller's data on until it ends.
func (p *pump) copyIn() error {
	if err := p.c.flush(); err != nil {
		return err
	}
	p.ans.passed = true
	p.base = 0
	var buf []byte
	for {
		msg, err := p.c.receive(waitInRequest)
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.CopyData:
			if buf, err = m.Encode(buf[:0]); err != nil {
				return errors.Wrap(err, "encode data of a COPY")
			}
		case *pgproto3.CopyDone, *pgproto3.CopyFail:
			if buf, err = m.(pgproto3.FrontendMessage).Encode(buf[:0]); err != nil {
				return errors.Wrap(err, "encode the end of a COPY")
			}
			return p.conn.Write(buf)
		case *pgproto3.Flush, *pgproto3.Sync:
			continue
		default:
			return bbroutcome.New(bbroutcome.ReasonProtocolViolation, "unexpected message %T during COPY", msg)
		}
		if err := p.conn.Write(buf); err != nil {
			return err
		}
	}
}
