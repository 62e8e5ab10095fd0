package bbrplace

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// The decisions in this file answer reads whose replicas lag, so that the primary gets all
// of them.

const (
	// lagPause is how long a replica that rejected a read at a log position gets no
	// reads at this or a later position. The pause doubles with each further
	// rejection.
	lagPause = 100 * time.Millisecond
	// maxLagDoublings limits the number of doublings of lagPause.
	maxLagDoublings = 3
)

// RecordLagging records that a replica rejected a read because the replica lags: it
// has not applied the log position that the read requires.
func (s *Scheduler) RecordLagging(id bbrtype.MemberName, position bbrmessage.LogPosition, now bbrtype.Mono) {
	if m := s.members[id]; m != nil {
		m.lagPosition, m.lagRejectedAt = position, now
		m.lagRejections++
	}
}

// mayHaveApplied reports whether a replica is expected to have applied a log
// position. It is true until the replica rejects a read because it lags. After
// that, the replica gets reads at the rejected position or a later one only when a reply
// shows that it serves reads again, or one at a time after a pause.
func (m *memberState) mayHaveApplied(position bbrmessage.LogPosition, now bbrtype.Mono) bool {
	if !m.isLagging(position) {
		return true
	}
	return now > m.lagPauseEnd() && (m.lagRejections == 0 || now.Sub(m.lagTrialAt) > lagPause)
}

// lagPauseEnd returns when the pause after the last read that the replica rejected ends.
func (m *memberState) lagPauseEnd() bbrtype.Mono {
	return m.lagRejectedAt.Add(lagPause << max(0, min(m.lagRejections-1, maxLagDoublings)))
}

// isLagging reports whether a replica has rejected a log position or an earlier one, and
// has not shown since that it has applied it.
func (m *memberState) isLagging(position bbrmessage.LogPosition) bool {
	return m.appliedPosition.IsBefore(position) && !m.lagPosition.IsZero() && !position.IsBefore(m.lagPosition)
}

// beginLagTrial records that a lagging replica gets a read, so that further reads wait for
// the outcome.
func (m *memberState) beginLagTrial(r *Requirements, now bbrtype.Mono) {
	if m.isTriedWhileLagging(r) {
		m.lagTrialAt = now
	}
}

// isTriedWhileLagging reports whether a statement at the member would only find out
// whether the member still lags: it has rejected reads and replied to none since.
func (m *memberState) isTriedWhileLagging(r *Requirements) bool {
	return !m.Primary && r.OnlyMember == "" && m.lagRejections > 0 && m.isLagging(r.MinPosition)
}

// serves reports whether the member is expected to serve a statement once it has capacity.
// A lagging replica that may get a statement to find out whether it still lags is not.
func (s *Scheduler) serves(m *memberState, r *Requirements, now bbrtype.Mono) bool {
	return m.isAvailable(r, now) && s.isAdmitted(m, r, now) && !m.isTriedWhileLagging(r)
}
