// Package bbrbudget bounds what callers, and whoever else reaches a port, make an instance
// hold: bytes of messages and replies, what sessions keep, and connections.
//
// A message or reply up to SmallMessage bytes is not counted. Before more of a message is
// read, the connection reserves MessageCost. While the budget has no room for it, nothing is
// read, so that the sender is slowed down. If room does not come soon, the connection that
// has made no progress for the longest time is closed. A reservation covers the longest
// message, so that those who have one never wait for each other.
//
// Who is closed is decided by functions without state (Stalled, Slowest, Largest, Admit).
// Budget, Gate and the wrappers of connections carry the decisions out.
//
// # Usage
//
//	limits := bbrbudget.NewLimits(memory, descriptors)
//	b := bbrbudget.New(limits, recorder)
//	conn := b.NewConn(netConn)
//	caller := bbrbudget.NewCaller(conn, dialect.NewCallerConn(conn))
package bbrbudget

import "time"

// Bytes is an amount of memory.
type Bytes int64

// Units of memory.
const (
	Kilobyte Bytes = 1 << 10
	Megabyte Bytes = 1 << 20
)

const (
	// SmallMessage is the size up to which messages and replies are not counted.
	SmallMessage = 4 * Kilobyte
	// MessageCost is what a larger message takes, with the copies made on its way of it and of
	// the session's state.
	MessageCost = 6 * Megabyte
	// replyCopies is how often a reply is held while it is sent.
	replyCopies = 2
	// entryCost is what one of a session's values or prepared names takes beside its texts.
	entryCost = 256
	// maxSessionState bounds what one session keeps. It has room for a value of the longest
	// message.
	maxSessionState = 2 * Megabyte
)

const (
	// defaultMemory and defaultDescriptors apply if the settings state no limits.
	defaultMemory      = 256 * Megabyte
	defaultDescriptors = 4096
	// probeConnections is the number of connections to each port for checks and metrics.
	probeConnections = 16
)

const (
	// messageTimeout is how long the rest of a message may take once its first byte is there.
	messageTimeout = 30 * time.Second
	// roomTimeout is how long a connection waits for room before a stalled one is closed, and
	// how long one that works waits for room at most.
	roomTimeout = time.Second
	// stallTimeout is how long a connection that holds memory may make no progress while
	// others wait for room.
	stallTimeout = 2 * time.Second
	// longTimeout is how long a message may take while others wait for room, even with
	// progress.
	longTimeout = 10 * time.Second
)

// Limits are the limits of an instance.
type Limits struct {
	// Messages bounds the bytes of callers' messages and replies, Peers those of requests of
	// other instances.
	Messages, Peers Bytes
	// State bounds the values and prepared names that all sessions keep, SessionState those
	// of one session.
	State, SessionState Bytes
	// Callers, PeerConnections and ProbeConnections bound the open connections to the ports.
	Callers, PeerConnections, ProbeConnections int
	// Runtime is the memory limit of the Go runtime, 0 for none.
	Runtime Bytes
}

// NewLimits divides the memory and the descriptors of a machine; 0 means that the limit is not
// known. A third of the memory is left to what the runtime does not count, and nearly a
// quarter of the descriptors to files and to connections that the instance opens itself: to
// members, other instances and the store.
func NewLimits(memory Bytes, descriptors int) Limits {
	var l Limits
	if memory > 0 {
		l.Runtime = memory * 2 / 3
	} else {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	l.Messages = memory * 3 / 10
	l.Peers = memory / 8
	l.State = memory / 10
	l.SessionState = min(maxSessionState, l.State)
	l.Callers = descriptors * 3 / 8
	l.PeerConnections = descriptors * 3 / 8
	l.ProbeConnections = min(probeConnections, max(1, descriptors/16))
	return l
}
