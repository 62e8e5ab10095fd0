// Package bbrmessage holds the typed messages that the engine exchanges with
// callers and members, and the interfaces of a dialect. A dialect turns bytes
// into these messages and back; the engine decides by them alone. Texts and
// rows pass through unchanged.
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

// RequestID is the identifier that a caller gave to a statement.
type RequestID string

// OwnID is the identifier of statements that the system issues itself.
const OwnID RequestID = "-"

// Place is a place in the log of a group: the term of the primary that wrote
// there, and the number of the commit. The zero value stands before all others.
type Place struct {
	Term   bbrtype.Term
	Number uint64
}

// Compare orders places: -1 if p is before o, 1 if it is after it, else 0.
func (p Place) Compare(o Place) int {
	return cmp.Or(cmp.Compare(p.Term, o.Term), cmp.Compare(p.Number, o.Number))
}

// IsBefore reports whether p is before o.
func (p Place) IsBefore(o Place) bool { return p.Compare(o) < 0 }

// IsZero reports whether the place is unknown.
func (p Place) IsZero() bool { return p == Place{} }

// Latest returns the later of two places.
func Latest(a, b Place) Place {
	if a.IsBefore(b) {
		return b
	}
	return a
}

// Request is what a caller sends: Startup, Statement or Terminate.
type Request interface{ isRequest() }

// Startup opens a session.
type Startup struct {
	// Database is the name that the caller asks for: a route.
	Database string
	Caller   bbrtype.CallerName
}

// Statement asks for one operation.
type Statement struct {
	ID RequestID
	// Text is the statement as the caller wrote it.
	Text string
	Op   Operation
}

// Terminate ends a session.
type Terminate struct{}

func (Startup) isRequest()   {}
func (Statement) isRequest() {}
func (Terminate) isRequest() {}

// Access tells what a statement does with data.
type Access string

// The kinds of access.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
)

// Operation is what a statement does: Begin, Commit, Rollback, Read, Write, Set,
// Prepare, Execute, Deallocate or Unknown.
type Operation interface{ isOperation() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and keeps what it wrote.
type Commit struct{}

// Rollback ends a transaction and keeps nothing.
type Rollback struct{}

// Read reads data.
type Read struct{}

// Write changes data.
type Write struct{}

// Set gives a session value.
type Set struct{ Name, Value string }

// Prepare names a statement.
type Prepare struct {
	Name   string
	Access Access
	Shape  string
}

// Execute runs a prepared statement with arguments.
type Execute struct{ Name, Arguments string }

// Deallocate forgets a prepared statement.
type Deallocate struct{ Name string }

// Unknown is a text that the dialect can't read.
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

// Class is the kind of a failure.
type Class string

// The classes of failures.
const (
	// ClassBusy means that there was no room; nothing was run.
	ClassBusy Class = "busy"
	// ClassAborted means that the transaction was rolled back.
	ClassAborted Class = "aborted"
	// ClassLagging means that a replica lacks a position; nothing was run.
	ClassLagging Class = "lagging"
	// ClassReadOnly means that the member is not the primary; nothing was run.
	ClassReadOnly Class = "readOnly"
	// ClassWrongMember means that another member answers at the address.
	ClassWrongMember Class = "wrongMember"
	// ClassTooManyConnections means that the member takes no further connection.
	ClassTooManyConnections Class = "tooManyConnections"
	// ClassInDoubt means that nobody knows whether the statement took effect.
	ClassInDoubt Class = "inDoubt"
	// ClassTimeout means that a statement ran out of time; it may have run.
	ClassTimeout Class = "timeout"
	// ClassFailed means that the statement was run and failed.
	ClassFailed Class = "failed"
	// ClassNoStatement means that a prepared name is not known; nothing was run.
	ClassNoStatement Class = "noStatement"
	// ClassNoDatabase means that no route has the name.
	ClassNoDatabase Class = "noDatabase"
	// ClassTooBig means that a message is longer than the limit.
	ClassTooBig Class = "tooBig"
	// ClassMalformed means that a message can't be understood here.
	ClassMalformed Class = "malformed"
)

// State is the state of a session or of a connection to a member.
type State string

// The states of a session.
const (
	StateIdle        State = "idle"
	StateTransaction State = "transaction"
	StateFailed      State = "failed"
)

// Failure is an error as it is told to callers and by members.
type Failure struct {
	Class Class
	Text  string
}

// Error returns the class and the text.
func (f *Failure) Error() string { return string(f.Class) + ": " + f.Text }

// Reply is the whole answer to one statement.
type Reply struct {
	Rows []string
	// Proof is the member's signature of a success.
	Proof string
	// Failure is nil for a success.
	Failure *Failure
	State   State
	// Place is the member's log position, zero if it told none.
	Place Place
}

// NoProof is the proof of an answer that no member gave.
const NoProof = "-"

// Role is how a member sees itself.
type Role string

// The roles of members.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Look is what a member tells of itself.
type Look struct {
	Role Role
	Term bbrtype.Term
	// Received is the newest place in the member's log.
	Received Place
	// Held is the term under which replication is held, 0 if it is not.
	Held        bbrtype.Term
	Lag         time.Duration
	Busy        int
	Connections int
}

// CallerConn is a caller's connection in some dialect.
type CallerConn interface {
	// Receive returns the next request. A *Failure tells of a message that is
	// to be refused; any other error ends the connection.
	Receive() (Request, error)
	// IsIdle reports whether no part of a request has been read.
	IsIdle() bool
	// SetReceiveDeadline bounds Receive. A zero time means no bound.
	SetReceiveDeadline(t time.Time) error
	Send(r Reply) error
	Close() error
}

// Guarded is a statement for a member, to be run only if its log has After.
type Guarded struct {
	ID    RequestID
	Text  string
	After Place
}

// MemberConn is a connection to a member in some dialect.
type MemberConn interface {
	// Send writes statements without waiting for replies.
	Send(deadline time.Time, statements ...Guarded) error
	// Receive returns the next reply, in the order of the statements.
	Receive(deadline time.Time) (Reply, error)
	// Texts returns the dialect's words for the system's own statements.
	Texts() Texts
	Close() error
}

// Texts makes the texts of statements that the system issues itself.
type Texts interface {
	Begin(readOnly bool) string
	Rollback() string
	Reset() string
	Set(name, value string) string
	Prepare(p Prepare) string
	Execute(e Execute) string
	Look() string
	Hold(t bbrtype.Term) string
	Resume() string
	StepDown(t bbrtype.Term) string
	// ParseLook reads the row that answers Look, Hold, Resume and StepDown.
	ParseLook(row string) (Look, error)
}
