// Package bbrreply checks that a PostgreSQL member's reply to a request has the messages
// that the protocol allows, in their order. Messages carry no reference to what they
// answer, so that a reply is assigned to a request by its place in the stream alone: after
// a message out of order, nothing on its connection can be assigned any more.
//
// # Usage
//
//	c := bbrreply.Checker{Request: bbrreply.Query}
//	for {
//		msg, err := fe.Receive()
//		ended, err := c.Next(msg)
//	}
package bbrreply

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Request is a kind of message that is sent to a member.
type Request string

// The kinds. The reply to Query and that to Sync end with ReadyForQuery, any other reply
// with a message of its own or with an error.
const (
	Query             Request = "query"
	Parse             Request = "parse"
	Bind              Request = "bind"
	DescribeStatement Request = "describeStatement"
	DescribePortal    Request = "describePortal"
	Execute           Request = "execute"
	CloseStatement    Request = "closeStatement"
	ClosePortal       Request = "closePortal"
	Sync              Request = "sync"
)

// ErrOutOfOrder tells that a member sent a message that can't come at its place.
var ErrOutOfOrder = errors.New("the member sent a message out of order")

// phase is how far a reply has come.
type phase string

const (
	phaseStart phase = ""
	// phaseRows follows a description of rows, or a row.
	phaseRows phase = "rows"
	// phaseParameters follows the description of a statement's parameters.
	phaseParameters phase = "parameters"
	phaseCopyIn     phase = "copyIn"
	phaseCopyOut    phase = "copyOut"
	phaseCopied     phase = "copied"
	// phaseBetween follows the result of one of a query's statements.
	phaseBetween phase = "between"
	phaseRefused phase = "refused"
	phaseEnded   phase = "ended"
)

// Checker checks the reply to one request.
type Checker struct {
	Request Request
	// Results is the number of results that the reply to a Query has unless it ends in an
	// error, 0 if it isn't known.
	Results int

	phase   phase
	results int
}

// Next takes the reply's next message. It returns true if the reply ends with it, and
// ErrOutOfOrder if it can't come now.
func (c *Checker) Next(msg pgproto3.BackendMessage) (ended bool, err error) {
	if IsAsynchronous(msg) {
		return false, nil
	}
	before := c.phase
	if !c.advance(msg) {
		return false, errors.Wrapf(ErrOutOfOrder, "%T in the reply to %s %s", msg, c.Request, before)
	}
	return c.phase == phaseEnded, nil
}

// IsAsynchronous reports whether a member may send a message at any time.
func IsAsynchronous(msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return true
	}
	return false
}

// advance moves to the phase after a message. It returns false if there is none.
func (c *Checker) advance(msg pgproto3.BackendMessage) bool {
	if _, ok := msg.(*pgproto3.ErrorResponse); ok {
		return c.refuse()
	}
	switch c.Request {
	case Query:
		return c.advanceQuery(msg)
	case Execute:
		return c.advanceExecute(msg)
	case DescribeStatement, DescribePortal:
		return c.advanceDescribe(msg)
	}
	var ok bool
	switch c.Request {
	case Parse:
		_, ok = msg.(*pgproto3.ParseComplete)
	case Bind:
		_, ok = msg.(*pgproto3.BindComplete)
	case CloseStatement, ClosePortal:
		_, ok = msg.(*pgproto3.CloseComplete)
	case Sync:
		_, ok = msg.(*pgproto3.ReadyForQuery)
	}
	return c.to(phaseEnded, ok && c.phase != phaseEnded)
}

// to moves to a phase if a message may come.
func (c *Checker) to(next phase, allowed bool) bool {
	if allowed {
		c.phase = next
	}
	return allowed
}

// refuse takes an error. Query and Sync end with ReadyForQuery after it.
func (c *Checker) refuse() bool {
	next := phaseEnded
	if c.Request == Query || c.Request == Sync {
		next = phaseRefused
	}
	return c.to(next, c.phase != phaseRefused && c.phase != phaseEnded)
}

// advanceQuery takes a message of a simple query's reply: a result for each statement.
func (c *Checker) advanceQuery(msg pgproto3.BackendMessage) bool {
	first := c.phase == phaseStart
	begins := first || c.phase == phaseBetween
	switch msg.(type) {
	case *pgproto3.RowDescription:
		return c.to(phaseRows, begins)
	case *pgproto3.DataRow:
		return c.phase == phaseRows
	case *pgproto3.EmptyQueryResponse:
		return c.to(phaseBetween, first)
	case *pgproto3.CommandComplete:
		c.results++
		allowed := c.Results == 0 || c.results <= c.Results
		return c.to(phaseBetween, allowed && (begins || c.phase == phaseRows || c.mayEndCopy()))
	case *pgproto3.ReadyForQuery:
		complete := c.phase == phaseBetween && (c.Results == 0 || c.results == c.Results)
		return c.to(phaseEnded, complete || c.phase == phaseRefused)
	}
	return c.advanceCopy(msg, begins)
}

// advanceExecute takes a message of the reply to Execute: a result without description.
func (c *Checker) advanceExecute(msg pgproto3.BackendMessage) bool {
	first := c.phase == phaseStart
	inRows := first || c.phase == phaseRows
	switch msg.(type) {
	case *pgproto3.DataRow:
		return c.to(phaseRows, inRows)
	case *pgproto3.EmptyQueryResponse:
		return c.to(phaseEnded, first)
	case *pgproto3.PortalSuspended:
		return c.to(phaseEnded, inRows)
	case *pgproto3.CommandComplete:
		return c.to(phaseEnded, inRows || c.mayEndCopy())
	}
	return c.advanceCopy(msg, first)
}

// advanceCopy takes a message of COPY, which begins at the begin of a result.
func (c *Checker) advanceCopy(msg pgproto3.BackendMessage, begins bool) bool {
	switch msg.(type) {
	case *pgproto3.CopyInResponse:
		return c.to(phaseCopyIn, begins)
	case *pgproto3.CopyOutResponse:
		return c.to(phaseCopyOut, begins)
	case *pgproto3.CopyData:
		return c.phase == phaseCopyOut
	case *pgproto3.CopyDone:
		return c.to(phaseCopied, c.phase == phaseCopyOut)
	}
	return false
}

// mayEndCopy reports whether a COPY's result may end.
func (c *Checker) mayEndCopy() bool { return c.phase == phaseCopyIn || c.phase == phaseCopied }

// advanceDescribe takes a message of a description. Only a statement has parameters.
func (c *Checker) advanceDescribe(msg pgproto3.BackendMessage) bool {
	rowsFrom := phaseStart
	if c.Request == DescribeStatement {
		rowsFrom = phaseParameters
	}
	switch msg.(type) {
	case *pgproto3.ParameterDescription:
		return c.to(phaseParameters, c.Request == DescribeStatement && c.phase == phaseStart)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return c.to(phaseEnded, c.phase == rowsFrom)
	}
	return false
}
