package bbrlink

import (
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// An instance that has not read the groups' records for bbrproof.RecordsLease may not know of
// a promotion that was ordered. A replica that was paused for it and receives again, as after a
// restart, confirms commits that the promoted member lacks. Such an instance acknowledges a
// commit only once each replica that responds has received it, or has shown after the commit
// was confirmed that it is not paused: a barrier that is reached later includes the commit.

// statusReport is what a replica's reply to a status query showed.
type statusReport struct {
	sentAt bbrtype.Mono
	status bbrmessage.MemberStatus
}

// knowsRecords reports whether a read of the groups' records is recent enough to show all
// promotions that may have been requested.
func (v changeView) knowsRecords() bool {
	return v.recordsAlwaysKnown || v.recordsReadAt != 0 && v.at.Sub(v.recordsReadAt) < bbrproof.RecordsLease
}

// recordStatus records a replica's reply to a status query. The caller holds mu.
func (g *Group) recordStatus(id bbrtype.MemberName, r statusReport) {
	if r.sentAt > g.reports[id].sentAt {
		g.reports[id] = r
	}
}

// unclearReplicas returns the replicas whose promotion may have been ordered without a commit
// that this instance awaits. The caller holds mu.
func (g *Group) unclearReplicas(w *lastingWait, view changeView) (unclear []bbrtype.MemberName) {
	if view.knowsRecords() || g.settings.SyncReplicas == 0 {
		return nil
	}
	for id := range g.members {
		if id == w.primary || hasReceived(g.received[id], w.commit) || g.health[id].failingSince != 0 {
			continue
		}
		if r := g.reports[id]; r.sentAt < w.confirmedAt || !r.follows(w.commit.Term) {
			unclear = append(unclear, id)
		}
	}
	return unclear
}

// logUnclear logs if a commit stays in doubt because a promotion may have been ordered that this
// instance does not know of.
func (g *Group) logUnclear(w lastingWait) {
	if len(w.unclear) > 0 && !w.isReplaced {
		g.Log.WithFields(logrus.Fields{"group": g.name, "commit": w.commit, "replicas": w.unclear, "waitedMs": g.Clock.Now().Sub(w.confirmedAt).Milliseconds()}).Warn("commit in doubt: the records of groups were not read recently, and replicas are paused or have not shown that they are not")
	}
}

// follows reports whether a member showed itself as a replica that receives commits of a term.
func (r statusReport) follows(term bbrtype.Term) bool {
	return r.status.Role == bbrmessage.RoleReplica && r.status.Term <= term && r.status.PausedTerm <= term
}
