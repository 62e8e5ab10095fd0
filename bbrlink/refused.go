package bbrlink

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// refusedLogInterval is the minimum time between two log lines of a group about statements
// that got no slot.
const refusedLogInterval = time.Second

// refusedLog counts the statements that got no slot since the last log line.
type refusedLog struct {
	at    bbrtype.Mono
	count int
}

// logRefused logs the members' load after a statement got no slot, at most once in
// refusedLogInterval. The caller holds mu.
func (g *Group) logRefused(req bbrplace.Requirements, err error, now bbrtype.Mono) {
	g.refused.count++
	if g.refused.at != 0 && now.Sub(g.refused.at) < refusedLogInterval {
		return
	}
	g.Log.WithFields(logrus.Fields{
		"group": g.name, "statements": g.refused.count, "cause": err.Error(), "primaryOnly": req.PrimaryOnly, "minPosition": req.MinPosition,
		"waiting": g.scheduler.QueueLen(), "members": g.scheduler.MemberLoads(now),
	}).Info("no slot for statements")
	g.refused = refusedLog{at: now}
}

// reject logs that a statement got no slot because of err, and returns err.
func (g *Group) reject(req bbrplace.Requirements, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logRefused(req, err, g.Clock.Now())
	return err
}
