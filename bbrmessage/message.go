// Package bbrmessage defines the messages that an instance exchanges with callers
// and members, and the interfaces that the implementation of a wire protocol (a
// "dialect") provides. A dialect decodes bytes into these messages and encodes them.
// Routing uses the decoded messages only. Statement texts and result rows are
// forwarded unchanged.
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

// RequestID identifies a statement. The caller that sends the statement chooses it.
type RequestID string

// InternalRequestID is the request ID of statements that an instance issues itself, not
// on behalf of a caller.
const InternalRequestID RequestID = "-"

// LogPosition is a position in the replication log of a group: the term of the primary
// that wrote the entry, and the index of the commit. The zero value is an
// unknown position and compares as smaller than all others.
type LogPosition struct {
	Term  bbrtype.Term
	Index uint64 `json:"Number"` // logged under this name
}

// Compare returns -1 if p is before o, 1 if p is after o, and 0 if they are equal.
func (p LogPosition) Compare(o LogPosition) int {
	return cmp.Or(cmp.Compare(p.Term, o.Term), cmp.Compare(p.Index, o.Index))
}

// IsBefore reports whether p is before o.
func (p LogPosition) IsBefore(o LogPosition) bool { return p.Compare(o) < 0 }

// IsZero reports whether the position is unknown.
func (p LogPosition) IsZero() bool { return p == LogPosition{} }

// LaterPosition returns the later of two log positions.
func LaterPosition(a, b LogPosition) LogPosition {
	if a.IsBefore(b) {
		return b
	}
	return a
}

// Request is a message from a caller: Startup, Statement or Terminate.
type Request interface{ isRequest() }

// Startup opens a session.
type Startup struct {
	// Database is the database name that the caller connects to. The
	// instance looks up the route by this name.
	Database string
	// Key identifies the caller where tenants are configured. It is a secret: it is
	// neither logged nor sent on.
	Key string
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

// Access states whether a statement reads or writes data.
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

// Prepare creates a prepared statement.
type Prepare struct {
	Name   string
	Access Access
	// Definition is the definition of the statement in the dialect's syntax. It is
	// forwarded unchanged.
	Definition string
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

// FailureClass is the class of a failure.
type FailureClass string

// The failure classes.
const (
	// ClassBusy means that the member or the instance can't serve the statement at
	// present, for example because a concurrency limit is reached. The statement had
	// no effect.
	ClassBusy FailureClass = "busy"
	// ClassAborted means that the transaction was rolled back.
	ClassAborted FailureClass = "aborted"
	// ClassLagging means that a replica has not applied the required log position;
	// the statement was not run.
	ClassLagging FailureClass = "lagging"
	// ClassReadOnly means that the member is not the primary; the statement was not
	// run.
	ClassReadOnly FailureClass = "readOnly"
	// ClassWrongMember means that the connection reached a member other than the
	// expected one; the statement was not run.
	ClassWrongMember FailureClass = "wrongMember"
	// ClassTooManyConnections means that the member's connection limit is reached;
	// the statement was not run.
	ClassTooManyConnections FailureClass = "tooManyConnections"
	// ClassInDoubt means that it is unknown whether the statement took effect.
	ClassInDoubt FailureClass = "inDoubt"
	// ClassTimeout means that the statement timed out; it may have run.
	ClassTimeout FailureClass = "timeout"
	// ClassFailed means that the statement was run and returned an error.
	ClassFailed FailureClass = "failed"
	// ClassNoPreparedStatement means that no prepared statement has the name; nothing
	// was run.
	ClassNoPreparedStatement FailureClass = "noStatement"
	// ClassNoDatabase means that no route has the database name; nothing was run.
	ClassNoDatabase FailureClass = "noDatabase"
	// ClassUnknownKey means that no tenant holds the caller's key; nothing was run.
	ClassUnknownKey FailureClass = "unknownKey"
	// ClassTooLarge means that a message exceeds the maximum length and was rejected.
	ClassTooLarge FailureClass = "tooBig"
	// ClassMalformed means that a message was rejected because it can't be parsed or is
	// not allowed in the current state of the session.
	ClassMalformed FailureClass = "malformed"
)

// TransactionState is the transaction state of a session or of a connection to a member.
type TransactionState string

// The transaction states. StateIdle means that no transaction is open. StateFailed means
// that a statement of the open transaction failed; the transaction can only be rolled
// back.
const (
	StateIdle          TransactionState = "idle"
	StateInTransaction TransactionState = "transaction"
	StateFailed        TransactionState = "failed"
)

// Failure is an error reply, from a member to an instance or from an instance to a
// caller.
type Failure struct {
	Class FailureClass
	Text  string
}

// Error returns the class and the text of the failure.
func (f *Failure) Error() string { return string(f.Class) + ": " + f.Text }

// Reply is the complete reply to one statement.
type Reply struct {
	Rows []string
	// Signature is the member's signature of a successful reply, forwarded unchanged.
	Signature string
	// Failure is nil if the statement succeeded.
	Failure *Failure
	State   TransactionState
	// Position is the member's log position after the statement, zero if the member
	// reported none.
	Position LogPosition
}

// NoSignature is the signature in replies that the instance creates itself.
const NoSignature = "-"

// Role is the replication role that a member reports.
type Role string

// The roles of members.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// MemberStatus is the status that a member reports.
type MemberStatus struct {
	Role Role
	Term bbrtype.Term
	// Received is the last position in the member's log. A replica may not have
	// applied it yet.
	Received LogPosition
	// PausedTerm is the term for which replication to the member was paused, 0 if it is
	// not paused.
	PausedTerm bbrtype.Term `json:"Held"` // logged under this name
	// Lag is the replication lag that the member reports, 0 if it is unknown.
	Lag time.Duration
	// ActiveStatements is the number of statements that the member is executing.
	ActiveStatements int `json:"Busy"` // logged under this name
	// Connections is the number of open connections to the member.
	Connections int
}

// CallerConn is a connection from a caller.
type CallerConn interface {
	// Receive returns the next request. If the error is a *Failure, the instance sends
	// that failure as the reply; after any other error it closes the connection.
	Receive() (Request, error)
	// IsIdle reports whether the connection is between two requests, with no byte of
	// the next one read.
	IsIdle() bool
	// SetReceiveDeadline sets the deadline of Receive. The zero time means none.
	SetReceiveDeadline(t time.Time) error
	Send(r Reply) error
	Close() error
}

// StatementKind is what a statement for a member does, as far as its reply tells.
type StatementKind string

// The kinds of statements. The zero value is a read or a write.
const (
	KindData     StatementKind = ""
	KindCommit   StatementKind = "commit"
	KindBegin    StatementKind = "begin"
	KindRollback StatementKind = "rollback"
	// KindSetup is a statement that changes the connection's session only.
	KindSetup StatementKind = "setup"
	// KindControl is a statement that is answered by the member's status.
	KindControl StatementKind = "control"
)

// MemberStatement is a statement for a member, with the log position that the member
// must have reached.
type MemberStatement struct {
	ID   RequestID
	Text string
	Kind StatementKind
	// MayCommit is set for a commit, and for a write outside of a transaction: a success
	// is kept.
	MayCommit bool
	// MinPosition is a log position. The member runs the statement only if its log
	// contains this position. The zero position sets no condition.
	MinPosition LogPosition
}

// MemberConn is a connection to a member.
type MemberConn interface {
	// Send writes statements without waiting for their replies.
	Send(deadline time.Time, statements ...MemberStatement) error
	// Receive returns the next reply, in the order of the statements.
	Receive(deadline time.Time) (Reply, error)
	// Dialect returns the dialect of the connection.
	Dialect() Dialect
	Close() error
}

// Dialect builds the texts of statements that an instance issues itself, in the syntax of
// the dialect, and parses the status that members return.
type Dialect interface {
	Begin(readOnly bool) string
	Rollback() string
	// ResetSession returns the statement that clears the session variables and prepared
	// statements of the connection.
	ResetSession() string
	Set(name, value string) string
	Prepare(p Prepare) string
	Execute(e Execute) string
	// Status returns the statement that queries the member's status.
	Status() string
	// PauseReplication returns the statement that makes a replica stop receiving the
	// log, for the change of primary to term t.
	PauseReplication(t bbrtype.Term) string
	// ResumeReplication returns the statement that makes a replica receive the log again.
	ResumeReplication() string
	// StepDown returns the statement that demotes the member to a replica if it is
	// the primary of a term lower than t.
	StepDown(t bbrtype.Term) string
	// ParseStatus parses the status row that members return for Status,
	// PauseReplication, ResumeReplication and StepDown.
	ParseStatus(row string) (MemberStatus, error)
}
