package bbrlink

import (
	"maps"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
)

// StrayKind is the kind of a reply that does not belong to the statement in progress.
type StrayKind string

// The kinds of stray replies.
const (
	// strayRepeated is a reply with a signature that its connection has carried before.
	strayRepeated StrayKind = "repeated"
	// strayUnsigned is a success without a signature that does not fit the statement.
	strayUnsigned StrayKind = "unsigned"
	// strayUnexpected is a signed reply to a statement whose reply is not signed, or that
	// leads to another transaction state.
	strayUnexpected StrayKind = "unexpected"
	// strayFailure is a failure or a status that may be one that its connection has carried
	// before, or a failure that the statement cannot have.
	strayFailure StrayKind = "failure"
)

// recordStray counts and logs a stray reply that was received while a statement was in
// progress.
func (g *Group) recordStray(c *Conn, kind StrayKind, request bbrmessage.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.strays[kind]++
	g.Log.WithFields(logrus.Fields{"group": g.name, "member": c.member.ID, "kind": kind, "request": request, "statements": c.carried.len()}).Warn("a member's reply may belong to an earlier statement")
}

// Strays returns the counts of stray replies since the group was created.
func (g *Group) Strays() map[StrayKind]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.strays)
}
