package bbrplace

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// The decisions in this file answer members that fail part of their statements, and
// members that return.

const (
	// failureSmoothing is the smoothing factor of the fraction of failed statements.
	failureSmoothing = 0.2
	// maxFailureFraction is the fraction of failed statements above which a member is
	// ejected.
	maxFailureFraction = 0.3
	// trialInterval is the time between two trials of an ejected member, doubled with
	// each trial that fails.
	trialInterval = 500 * time.Millisecond
	// maxTrialDoublings limits the number of doublings of trialInterval.
	maxTrialDoublings = 2
	// sound is the fraction of failed statements below which earlier ejections are
	// forgotten.
	sound = 0.01
	// trialsToReturn is how many trials in a row must succeed before a member returns.
	trialsToReturn = 8
	// returnStep is the time in which the number of statements that a returning member
	// may have in flight doubles, from 1.
	returnStep = 200 * time.Millisecond
	// returnSteps is the number of steps after which the number is not limited any more.
	returnSteps = 5
)

// MemberMode is how a member gets statements that other members could serve as well.
type MemberMode string

// The modes of a member. A member in ModeTrial is ejected, but gets one statement at a
// time to find out whether it replies again. In ModeReturning its load rises step by
// step.
const (
	ModeServing   MemberMode = ""
	ModeTrial     MemberMode = "trial"
	ModeReturning MemberMode = "returning"
)

// ejection is the state of a member that fails statements or returns. The zero value is
// a member that serves.
type ejection struct {
	mode MemberMode
	// failures is the moving average of the fraction of failed statements.
	failures float64
	// nextTrial is when the next trial may begin. succeeded counts the trials in a row
	// that succeeded. failed counts the trials that failed and the ejections until the member
	// is sound again.
	nextTrial         bbrtype.Mono
	succeeded, failed int
	returningSince    bbrtype.Mono
}

// recordReply records that the member replied.
func (e *ejection) recordReply(now bbrtype.Mono) {
	e.failures -= failureSmoothing * e.failures
	if e.mode != ModeTrial {
		if e.failures < sound {
			e.failed = 0
		}
		return
	}
	e.nextTrial = now
	if e.succeeded++; e.succeeded >= trialsToReturn {
		*e = ejection{mode: ModeReturning, returningSince: now, failures: maxFailureFraction / 2, failed: e.failed}
	}
}

// recordFailure records that the member did not reply to a statement.
func (e *ejection) recordFailure() { e.failures += failureSmoothing * (1 - e.failures) }

// ejectFailing ejects a member that fails too many statements, and delays the next trial
// of an ejected one. No member is ejected if others are that together with it make up
// more than half of the group.
func (s *Scheduler) ejectFailing(m *memberState, now bbrtype.Mono) {
	switch {
	case !s.isShared():
		return
	case m.mode == ModeTrial:
	case m.failures > maxFailureFraction && s.mayEject():
		m.mode = ModeTrial
		s.ejections++
	default:
		return
	}
	m.succeeded = 0
	m.failed++
	m.nextTrial = now.Add(trialInterval << min(m.failed-1, maxTrialDoublings))
}

// mayEject reports whether one more member may be ejected.
func (s *Scheduler) mayEject() bool {
	ejected := 0
	for _, m := range s.members {
		if m.mode == ModeTrial {
			ejected++
		}
	}
	return ejected < len(s.members)/2
}

// RecordReturn records that a member's process has started again. Its load rises step
// by step.
func (s *Scheduler) RecordReturn(id bbrtype.MemberName, now bbrtype.Mono) {
	if m := s.members[id]; m != nil && s.isShared() {
		m.ejection = ejection{mode: ModeReturning, returningSince: now}
		m.load = loadReport{}
	}
}

// isAdmitted reports whether the member's mode permits another statement. The mode does
// not apply to statements that no other member can run.
func (s *Scheduler) isAdmitted(m *memberState, r *Requirements, now bbrtype.Mono) bool {
	if m.mode == ModeServing || r.OnlyMember != "" || r.PrimaryOnly {
		return true
	}
	if m.mode == ModeTrial {
		return m.inFlight == 0 && now >= m.nextTrial || s.isLast(m, r, now)
	}
	steps := int(now.Sub(m.returningSince) / returnStep)
	if steps >= returnSteps {
		m.mode = ModeServing
		return true
	}
	return m.inFlight < 1<<steps || s.isLast(m, r, now)
}

// isLast reports whether no other member is available for a statement.
func (s *Scheduler) isLast(m *memberState, r *Requirements, now bbrtype.Mono) bool {
	for _, o := range s.members {
		if o != m && o.mode != ModeTrial && o.isAvailable(r, now) {
			return false
		}
	}
	return true
}

// Mode returns how a member gets statements that other members could serve as well.
func (s *Scheduler) Mode(id bbrtype.MemberName) MemberMode {
	if m := s.members[id]; m != nil {
		return m.mode
	}
	return ModeServing
}

// Ejections returns how many times a member was ejected.
func (s *Scheduler) Ejections() uint64 { return s.ejections }
