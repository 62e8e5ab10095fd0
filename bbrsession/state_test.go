package bbrsession

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
)

// countingCaller counts what a session keeps, up to a limit of bytes.
type countingCaller struct {
	bbrmessage.CallerConn
	entries, bytes, limit int
}

func (c *countingCaller) Keep(entries, bytes int) *bbrmessage.Failure {
	if c.bytes+bytes > c.limit {
		return &bbrmessage.Failure{Class: bbrmessage.ClassTooLarge}
	}
	c.entries += entries
	c.bytes += bytes
	return nil
}

// TestKeptStateIsCounted checks that what a session keeps is counted once, given back, and not
// changed by what is refused.
func TestKeptStateIsCounted(t *testing.T) {
	tests := map[string]struct {
		operations     []bbrmessage.Operation
		entries, bytes int
		refused        bool
	}{
		"a value":         {[]bbrmessage.Operation{bbrmessage.Set{Name: "a", Value: "12"}}, 1, 3, false},
		"a changed value": {[]bbrmessage.Operation{bbrmessage.Set{Name: "a", Value: "12"}, bbrmessage.Set{Name: "a", Value: "1"}}, 1, 2, false},
		"a name":          {[]bbrmessage.Operation{bbrmessage.Prepare{Name: "s", Definition: "123"}}, 1, 4, false},
		"a changed name":  {[]bbrmessage.Operation{bbrmessage.Prepare{Name: "s", Definition: "123"}, bbrmessage.Prepare{Name: "s", Definition: "1"}}, 1, 2, false},
		"a dropped name":  {[]bbrmessage.Operation{bbrmessage.Prepare{Name: "s", Definition: "123"}, bbrmessage.Deallocate{Name: "s"}, bbrmessage.Deallocate{Name: "s"}}, 0, 0, false},
		"too large":       {[]bbrmessage.Operation{bbrmessage.Set{Name: "a", Value: "1"}, bbrmessage.Set{Name: "b", Value: "1234567890"}}, 1, 2, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &countingCaller{limit: 10}
			sess := &session{caller: c}
			var reply bbrmessage.Reply
			for _, op := range tt.operations {
				switch op := op.(type) {
				case bbrmessage.Set:
					reply = sess.set(op)
				case bbrmessage.Prepare:
					reply = sess.prepare(op)
				case bbrmessage.Deallocate:
					reply = sess.deallocate(op)
				}
			}
			is.Equal(c.entries, tt.entries)
			is.Equal(c.bytes, tt.bytes)
			is.Equal(len(sess.state.Values)+len(sess.state.Prepared), tt.entries)
			is.Equal(reply.Failure != nil, tt.refused)
		})
	}
}

// busyCaller lets a session keep nothing.
type busyCaller struct{ bbrmessage.CallerConn }

func (busyCaller) Keep(int, int) *bbrmessage.Failure {
	return &bbrmessage.Failure{Class: bbrmessage.ClassBusy}
}

// TestBusyIsTrueInTransactions guards against BUSY, which promises that nothing is kept, beside a
// transaction that can still be committed or has run in part.
func TestBusyIsTrueInTransactions(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	unread := &bbrmessage.Failure{Class: bbrmessage.ClassBusy}
	tests := map[string]struct {
		tx    *transaction
		reply func(sess *session) bbrmessage.Reply
		class bbrmessage.FailureClass
		state bbrmessage.TransactionState
	}{
		"state outside of a transaction": {
			nil, func(sess *session) bbrmessage.Reply { return sess.set(bbrmessage.Set{Name: "a"}) },
			bbrmessage.ClassBusy, bbrmessage.StateIdle,
		},
		"state in a transaction": {
			&transaction{}, func(sess *session) bbrmessage.Reply { return sess.prepare(bbrmessage.Prepare{Name: "a"}) },
			bbrmessage.ClassBusy, bbrmessage.StateFailed,
		},
		"a message unread in a transaction in doubt": {
			&transaction{failed: true, inDoubt: true}, func(sess *session) bbrmessage.Reply {
				reply, _ := sess.handleRequest(context.Background(), nil, unread)
				return reply
			},
			bbrmessage.ClassInDoubt, bbrmessage.StateFailed,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sess := &session{server: New(Deps{Log: log}), caller: busyCaller{}, tx: tt.tx}
			reply := tt.reply(sess)
			is.Equal(reply.Failure.Class, tt.class)
			is.Equal(reply.State, tt.state)
		})
	}
}
