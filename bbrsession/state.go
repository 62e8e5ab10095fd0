package bbrsession

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
)

// StateLimiter is a caller's connection that bounds what its session keeps.
type StateLimiter interface {
	// Keep counts a change of the number of values and prepared statements and of the bytes of
	// their texts. It returns a failure if the session may not keep more.
	Keep(entries, bytes int) *bbrmessage.Failure
}

// keep counts a change of what the session keeps. It returns a failure if it may not keep more.
func (sess *session) keep(entries, bytes int) *bbrmessage.Failure {
	if l, ok := sess.caller.(StateLimiter); ok {
		return l.Keep(entries, bytes)
	}
	return nil
}

// refuseState returns the reply to a statement whose state the session may not keep. ClassBusy
// promises that nothing is kept of what the caller does, so that an open transaction is rolled back.
func (sess *session) refuseState(f *bbrmessage.Failure) bbrmessage.Reply {
	if f.Class != bbrmessage.ClassBusy || sess.tx == nil {
		return sess.failureReply(f)
	}
	return sess.rollbackAndFail(f)
}

// withoutPromise returns the failure of a message that was refused unread. In a transaction of
// which a statement may have run outside, it must not promise that nothing is kept.
func (sess *session) withoutPromise(f *bbrmessage.Failure) *bbrmessage.Failure {
	if f.Class != bbrmessage.ClassBusy || sess.tx == nil || !sess.tx.inDoubt {
		return f
	}
	return &bbrmessage.Failure{Class: bbrmessage.ClassInDoubt, Text: f.Text}
}

// set keeps a value. The copies of its texts let the rest of the message go.
func (sess *session) set(op bbrmessage.Set) bbrmessage.Reply {
	entries, bytes := 1, len(op.Name)+len(op.Value)
	if old, ok := sess.state.Values[op.Name]; ok {
		entries, bytes = 0, len(op.Value)-len(old)
	}
	if failure := sess.keep(entries, bytes); failure != nil {
		return sess.refuseState(failure)
	}
	if sess.state.Values == nil {
		sess.state.Values = map[string]string{}
	}
	sess.state.Values[strings.Clone(op.Name)] = strings.Clone(op.Value)
	return sess.successReply()
}

// prepare stores a prepared statement in the session. The name under which members
// store it is a hash of access and definition, so that sessions with the same
// statement reuse it on pooled connections.
func (sess *session) prepare(op bbrmessage.Prepare) bbrmessage.Reply {
	entries, bytes := 1, len(op.Name)+len(op.Definition)
	if old, ok := sess.state.Prepared[op.Name]; ok {
		entries, bytes = 0, len(op.Definition)-len(old.Definition)
	}
	if failure := sess.keep(entries, bytes); failure != nil {
		return sess.refuseState(failure)
	}
	if sess.state.Prepared == nil {
		sess.state.Prepared = map[string]bbrmessage.Prepare{}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(op.Access) + " " + op.Definition))
	stored := bbrmessage.Prepare{Name: "p" + strconv.FormatUint(h.Sum64(), 36), Access: op.Access, Definition: strings.Clone(op.Definition)}
	sess.state.Prepared[strings.Clone(op.Name)] = stored
	return sess.successReply()
}

// deallocate drops a prepared statement.
func (sess *session) deallocate(op bbrmessage.Deallocate) bbrmessage.Reply {
	if old, ok := sess.state.Prepared[op.Name]; ok {
		delete(sess.state.Prepared, op.Name)
		_ = sess.keep(-1, -len(op.Name)-len(old.Definition)) // giving back never fails
	}
	return sess.successReply()
}
