// Package bbrmessage defines the messages that an instance exchanges with callers
// and members, and the interfaces that a wire protocol ("dialect") implements. A
// dialect decodes bytes into these messages and encodes them again; routing
// decisions depend on the decoded messages only. Statement texts and result rows
// are forwarded unchanged.
//
// # Usage
//
//	req, err := caller.Receive()
//	switch req := req.(type) {
//	case bbrmessage.Startup:
//	case bbrmessage.Statement:
//		switch op := req.Op.(type) {
//		case bbrmessage.Read:
//		}
//	case bbrmessage.Terminate:
//	}
package bbrmessage

import (
	"cmp"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// RequestID identifies a statement. It is chosen by the caller that sends it.
type RequestID string

// OwnID is the request ID of statements that an instance issues on its own behalf.
const OwnID RequestID = "-"

// Place is a position in the replication log of a group: the term of the primary
// that wrote the entry, and the number of the commit. The zero value means that the
// position is unknown; it orders before all other positions.
type Place struct {
	Term   bbrtype.Term
	Number uint64
}

// Compare returns -1 if p is before o, 1 if p is after o, and 0 if they are equal.
func (p Place) Compare(o Place) int {
	return cmp.Or(cmp.Compare(p.Term, o.Term), cmp.Compare(p.Number, o.Number))
}

// IsBefore reports whether p is before o.
func (p Place) IsBefore(o Place) bool { return p.Compare(o) < 0 }

// IsZero reports whether the position is unknown.
func (p Place) IsZero() bool { return p == Place{} }

// Latest returns the later of two log positions.
func Latest(a, b Place) Place {
	if a.IsBefore(b) {
		return b
	}
	return a
}

// Request is a message from a caller: Startup, Statement or Terminate.
type Request interface{ isRequest() }

// Startup opens a session.
type Startup struct {
	// Database is the database name that the caller connects to. It selects a route.
	Database string
	Caller   bbrtype.CallerName
}

// Statement requests one operation.
type Statement struct {
	ID RequestID
	// Text is the statement's text, unchanged.
	Text string
	Op   Operation
}

// Terminate ends a session.
type Terminate struct{}

func (Startup) isRequest()   {}
func (Statement) isRequest() {}
func (Terminate) isRequest() {}

// Access tells whether a statement reads or writes data.
type Access string

// The access modes of statements.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
)

// Operation is the parsed form of a statement: Begin, Commit, Rollback, Read, Write,
// Set, Prepare, Execute, Deallocate or Unknown.
type Operation interface{ isOperation() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit commits the open transaction.
type Commit struct{}

// Rollback rolls back the open transaction.
type Rollback struct{}

// Read is a statement that only reads data.
type Read struct{}

// Write is a statement that changes data.
type Write struct{}

// Set assigns a value to a session variable.
type Set struct{ Name, Value string }

// Prepare creates a prepared statement. Shape defines the statement in the dialect's
// notation and is forwarded unchanged.
type Prepare struct {
	Name   string
	Access Access
	Shape  string
}

// Execute runs a prepared statement with arguments.
type Execute struct{ Name, Arguments string }

// Deallocate drops a prepared statement.
type Deallocate struct{ Name string }

// Unknown is a statement that the dialect can't parse.
type Unknown struct{}

func (Begin) isOperation()      {}
func (Commit) isOperation()     {}
func (Rollback) isOperation()   {}
func (Read) isOperation()       {}
func (Write) isOperation()      {}
func (Set) isOperation()        {}
func (Prepare) isOperation()    {}
func (Execute) isOperation()    {}
func (Deallocate) isOperation() {}
func (Unknown) isOperation()    {}

// Class classifies a failure.
type Class string

// The failure classes.
const (
	// ClassBusy means that no capacity was free; the statement was not run.
	ClassBusy Class = "busy"
	// ClassAborted means that the transaction was rolled back.
	ClassAborted Class = "aborted"
	// ClassLagging means that a replica has not applied the required log position;
	// the statement was not run.
	ClassLagging Class = "lagging"
	// ClassReadOnly means that the member is not the primary; the statement was not
	// run.
	ClassReadOnly Class = "readOnly"
	// ClassWrongMember means that a different member listens at the address; the
	// statement was not run.
	ClassWrongMember Class = "wrongMember"
	// ClassTooManyConnections means that the member's connection limit is reached;
	// the statement was not run.
	ClassTooManyConnections Class = "tooManyConnections"
	// ClassInDoubt means that it is unknown whether the statement took effect.
	ClassInDoubt Class = "inDoubt"
	// ClassTimeout means that the statement timed out; it may have run.
	ClassTimeout Class = "timeout"
	// ClassFailed means that the statement was run and returned an error.
	ClassFailed Class = "failed"
	// ClassNoStatement means that no prepared statement has the name; nothing was run.
	ClassNoStatement Class = "noStatement"
	// ClassNoDatabase means that no route has the name.
	ClassNoDatabase Class = "noDatabase"
	// ClassTooBig means that a message exceeds the maximum length.
	ClassTooBig Class = "tooBig"
	// ClassMalformed means that a message can't be parsed, or is not allowed at this
	// point of the session.
	ClassMalformed Class = "malformed"
)

// State is the transaction state of a session or of a connection to a member.
type State string

// The transaction states. StateFailed is a transaction after an error: it can only be
// rolled back.
const (
	StateIdle        State = "idle"
	StateTransaction State = "transaction"
	StateFailed      State = "failed"
)

// Failure is an error reply, as members send it and callers receive it.
type Failure struct {
	Class Class
	Text  string
}

// Error returns the class and the text of the failure.
func (f *Failure) Error() string { return string(f.Class) + ": " + f.Text }

// Reply is the complete reply to one statement.
type Reply struct {
	Rows []string
	// Proof is the signature that a member puts on a successful reply.
	Proof string
	// Failure is nil if the statement succeeded.
	Failure *Failure
	State   State
	// Place is the member's log position after the statement, zero if the member
	// reported none.
	Place Place
}

// NoProof stands in for the signature in replies that no member produced.
const NoProof = "-"

// Role is the replication role that a member reports.
type Role string

// The roles of members.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Look is the status that a member reports.
type Look struct {
	Role Role
	Term bbrtype.Term
	// Received is the last position in the member's log.
	Received Place
	// Held is the term under which replication is paused, 0 if it is not paused.
	Held bbrtype.Term
	Lag  time.Duration
	// Busy is the number of statements that the member is executing.
	Busy        int
	Connections int
}

// CallerConn is a connection from a caller.
type CallerConn interface {
	// Receive returns the next request. If the error is a *Failure, the message is
	// to be rejected with it; any other error ends the connection.
	Receive() (Request, error)
	// IsIdle reports whether no part of a request has been read.
	IsIdle() bool
	// SetReceiveDeadline sets the deadline of Receive. The zero time means none.
	SetReceiveDeadline(t time.Time) error
	Send(r Reply) error
	Close() error
}

// Guarded is a statement for a member. The member runs it only if its log contains
// the position After; the zero position sets no condition.
type Guarded struct {
	ID    RequestID
	Text  string
	After Place
}

// MemberConn is a connection to a member.
type MemberConn interface {
	// Send writes statements without waiting for their replies.
	Send(deadline time.Time, statements ...Guarded) error
	// Receive returns the next reply, in the order of the statements.
	Receive(deadline time.Time) (Reply, error)
	// Texts returns the dialect's texts for statements that the instance issues.
	Texts() Texts
	Close() error
}

// Texts builds the texts of statements that an instance issues itself, and parses
// the replies to them.
type Texts interface {
	Begin(readOnly bool) string
	Rollback() string
	Reset() string
	Set(name, value string) string
	Prepare(p Prepare) string
	Execute(e Execute) string
	// Look queries the member's status.
	Look() string
	// Hold pauses replication at a replica under a term.
	Hold(t bbrtype.Term) string
	// Resume ends the pause of replication.
	Resume() string
	// StepDown demotes a primary of a lower term to a replica.
	StepDown(t bbrtype.Term) string
	// ParseLook parses the row that members return for Look, Hold, Resume and
	// StepDown.
	ParseLook(row string) (Look, error)
}
