package bbrlink

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// refusedLogInterval is the minimum time between two log lines of a group about statements
// that got no slot.
const refusedLogInterval = time.Second

// reasonTimeout is the reason of statements that waited until their deadline.
const reasonTimeout bbrplace.RejectReason = "timeout"

// newRefusals returns refusals that count 0 for each reason.
func newRefusals() refusals {
	return refusals{byReason: map[bbrplace.RejectReason]uint64{
		reasonTimeout: 0, bbrplace.RejectLate: 0, bbrplace.RejectOverload: 0, bbrplace.RejectQueueFull: 0, bbrplace.RejectConnectionsRefused: 0,
	}}
}

// refusals counts the statements that got no slot.
type refusals struct {
	byReason map[bbrplace.RejectReason]uint64
	// loggedAt is when the last line was logged, unlogged the number of statements since.
	loggedAt bbrtype.Mono
	unlogged int
}

// reject counts a statement that got no slot and returns the error to report. It logs the
// members' load, at most once in refusedLogInterval.
func (g *Group) reject(req bbrplace.Requirements, reason bbrplace.RejectReason) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused.byReason[reason]++
	g.refused.unlogged++
	now := g.Clock.Now()
	if g.refused.loggedAt == 0 || now.Sub(g.refused.loggedAt) >= refusedLogInterval {
		g.Log.WithFields(logrus.Fields{
			"group": g.name, "statements": g.refused.unlogged, "reason": reason, "primaryOnly": req.PrimaryOnly, "minPosition": req.MinPosition,
			"waiting": g.scheduler.QueueLen(), "members": g.scheduler.MemberLoads(now),
		}).Info("no slot for statements")
		g.refused.loggedAt, g.refused.unlogged = now, 0
	}
	return rejectError(reason)
}

// rejectError returns the error for a statement that got no slot.
func rejectError(reason bbrplace.RejectReason) error {
	switch reason {
	case reasonTimeout:
		return ErrAcquireTimeout
	case bbrplace.RejectConnectionsRefused:
		return ErrConnectionsRefused
	}
	return ErrOverloaded
}

// MemberLoads returns what this instance knows of the members' load.
func (g *Group) MemberLoads() []bbrplace.MemberLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.MemberLoads(g.Clock.Now())
}

// Rejections returns the number of statements that got no slot, by reason, and the number
// of times that a member was ejected.
func (g *Group) Rejections() (byReason map[bbrplace.RejectReason]uint64, ejections uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.refused.byReason), g.scheduler.Ejections()
}
