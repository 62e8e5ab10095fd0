// Package bbrplace schedules the statements of one group: it decides which member
// serves a statement, which statements wait in a queue, and which are rejected.
// The package is pure: it holds no lock and reads no clock.
//
// Its inputs are the members with their roles and limits, the statements with
// their requirements, and the replies and errors of the members. Each member has a
// capacity: the number of statements that this instance may have in flight at the
// member. The capacity adapts to the latency of the member's replies. A statement
// is late if it can't be answered within its latency objective any more. The rules
// are:
//
//   - A read is sent to the member with the lowest cost among the primary and the
//     replicas that are expected to have applied the required log position. The
//     cost is the expected latency, with penalties for a member in another data
//     centre and for opening a connection. The cost of the primary is multiplied
//     by primaryCostFactor, to keep its capacity for statements that only the
//     primary can run.
//   - If other instances send statements to the same members (see SetSharing), the
//     member is drawn at random instead, so that instances which know the same do not
//     all choose the same member. The statements that the others probably have in
//     flight are divided so that the costs become equal; the probability of a member is
//     its part. With few statements in flight this is the member with the lowest cost.
//   - A member that fails part of its statements is ejected: it gets one statement at a
//     time as a trial, and after several replies in a row its load rises step by step.
//   - A statement for which no eligible member has capacity waits in a queue. The
//     queue is ordered by priority. Within a priority, statements that are not
//     late are scheduled before late ones, and shorter latency objectives before
//     longer ones. Statements of tenants take turns within a priority, and a priority
//     that waits long gets a turn before higher ones.
//   - While all eligible members are saturated, late statements that would wait until
//     their deadline are rejected, so that the caller can retry elsewhere.
//
// # Usage
//
//	var s bbrplace.Scheduler
//	s.SetMember(bbrplace.Member{ID: "m1", Primary: true, BaseLimit: 3})
//	w := &bbrplace.Waiter{Requirements: req, OnGrant: func(id bbrtype.MemberName) { … }}
//	s.Submit(w, now)
//	…
//	s.Release("m1", now)
package bbrplace

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// initialLatency is the latency assumed of a member before its first reply.
	initialLatency = 20 * time.Millisecond
	// connRefusedPause is how long a member is paused after it refused a connection
	// while this instance had no open connection to it. The pause doubles with each
	// further refusal.
	connRefusedPause = 120 * time.Millisecond
	// maxConnRefusedDoublings limits the number of doublings of connRefusedPause.
	maxConnRefusedDoublings = 1
	// busyPause is how long a member is paused after it rejected a statement because
	// the member was busy.
	busyPause = 30 * time.Millisecond
	// noReplyPause is how long a member is paused after it did not reply.
	noReplyPause = 500 * time.Millisecond
	// connCapDuration is how long the capacity of a member that refused a connection
	// is capped at the number of connections that this instance had open then.
	connCapDuration = 1500 * time.Millisecond
	// minReplyTimeout is the lower bound of the reply timeout.
	minReplyTimeout = 350 * time.Millisecond
	// replyTimeoutFactor is the ratio of the reply timeout to the member's latency.
	replyTimeoutFactor = 8
	// latencySmoothing is the smoothing factor of the moving average of the latency.
	latencySmoothing = 0.15
)

// Member describes a member of the group.
type Member struct {
	ID      bbrtype.MemberName
	Primary bool
	// SameDataCentre is set for a member in the data centre of this instance.
	SameDataCentre bool
	// Draining is set for a member that is being drained. A draining replica gets no
	// new reads. A draining primary is not excluded.
	Draining bool
	// BaseLimit is the base value of the adaptive limit of statements in flight.
	// MaxLimit is the upper bound to which the adaptive limit may rise, for an instance
	// that has more callers than others; a value below BaseLimit counts as BaseLimit.
	BaseLimit, MaxLimit int
}

// memberState is a member with the state derived from its replies and errors.
type memberState struct {
	Member
	inFlight int
	// granted counts the statements that were granted the member.
	granted uint64
	// idleInTransaction is the number of connections of transactions that have no
	// statement in flight.
	idleInTransaction int
	// openConns is the number of connections of this instance to the member, unused
	// ones included.
	openConns int
	// idleConns is the number of unused connections of each tenant.
	idleConns map[bbrtype.TenantName]int
	// latency is the moving average of the time to a reply. latencyAt is when it was last
	// updated.
	latency   time.Duration
	latencyAt bbrtype.Mono
	// load is what the member last reported of its load.
	load loadReport
	usage
	ejection
	// appliedPosition is the latest log position in a reply of the member.
	appliedPosition bbrmessage.LogPosition
	// lagPosition and lagRejectedAt are the position and the time of the last read
	// that the replica rejected because it lagged. lagRejections counts these
	// rejections since the last reply.
	lagPosition   bbrmessage.LogPosition
	lagRejectedAt bbrtype.Mono
	// lagTrialAt is when the replica last got a read to find out whether it still lags.
	lagTrialAt    bbrtype.Mono
	lagRejections int
	// connRefusals counts the connections that the member refused since its last
	// reply, while this instance had no open connection to it.
	connRefusals int
	// connRefusedSince is the time of the first refusal in connRefusals.
	connRefusedSince bbrtype.Mono
	pausedUntil      bbrtype.Mono
	// silentUntil is when the pause after the last statement without a reply ends.
	silentUntil bbrtype.Mono
	// connCap limits the number of connections until connCapUntil.
	connCap      int
	connCapUntil bbrtype.Mono
	adaptiveLimit
	// saturatedSince is when a grant used up the capacity, 0 if the member has had
	// free capacity since.
	saturatedSince bbrtype.Mono
}

// Scheduler schedules the statements of this instance on the members of a group. The
// zero value has no members and an empty queue.
type Scheduler struct {
	members map[bbrtype.MemberName]*memberState
	// queue holds the waiting statements in the order of compareWaiters.
	queue []*Waiter
	// seq is the sequence number of the newest statement in the queue.
	seq uint64
	// lastLateGrant is when a member was last granted to a late statement.
	lastLateGrant bbrtype.Mono
	// lateGrants is the rate of grants to late statements.
	lateGrants grantRate
	// lateSince is since when late statements have been in the queue, 0 if there are none.
	lateSince bbrtype.Mono
	sharing   Sharing
	// rng draws the member of a statement.
	rng *rand.Rand
	// ejections counts how many times a member was ejected.
	ejections uint64
	fairness
}

// SetMember adds or updates a member. The member's adaptive limit is reset if its
// configured limits have changed.
func (s *Scheduler) SetMember(m Member) {
	if s.members == nil {
		s.members = map[bbrtype.MemberName]*memberState{}
	}
	state := s.members[m.ID]
	if state == nil {
		state = &memberState{latency: initialLatency}
		state.adaptiveLimit.reset(m)
		s.members[m.ID] = state
	}
	if state.BaseLimit != m.BaseLimit || state.MaxLimit != m.MaxLimit {
		state.adaptiveLimit.reset(m)
	}
	state.Member = m
}

// RemoveMember removes a member.
func (s *Scheduler) RemoveMember(id bbrtype.MemberName) { delete(s.members, id) }

// isAvailable reports whether the member is eligible for a statement and not paused.
// A pause does not apply to statements that no other member can run.
func (m *memberState) isAvailable(r *Requirements, now bbrtype.Mono) bool {
	if r.OnlyMember == "" && !r.PrimaryOnly && now < m.pausedUntil {
		return false
	}
	return m.isEligible(r, now)
}

// isEligible reports whether the member may serve a statement, ignoring pauses.
func (m *memberState) isEligible(r *Requirements, now bbrtype.Mono) bool {
	if r.OnlyMember != "" {
		return m.ID == r.OnlyMember
	}
	if r.PrimaryOnly {
		return m.Primary
	}
	if slices.Contains(r.Exclude, m.ID) {
		return false
	}
	if m.Primary {
		return true
	}
	return !m.Draining && m.mayHaveApplied(r.MinPosition, now)
}

// hasCapacity reports whether another statement may be sent to the member.
func (m *memberState) hasCapacity(now bbrtype.Mono) bool {
	return m.inFlight < m.capacity(now)
}

// capacity returns the maximum number of statements in flight at the member: the
// lower of the adaptive limit and the number of connections that are not idle in a
// transaction.
func (m *memberState) capacity(now bbrtype.Mono) int {
	return max(0, min(m.adaptiveLimit.value(), m.connectionLimit(now)-m.idleInTransaction))
}

// connectionLimit returns how many connections to the member may be open.
func (m *memberState) connectionLimit(now bbrtype.Mono) int {
	limit := max(m.BaseLimit, m.MaxLimit)
	if now < m.connCapUntil {
		limit = min(limit, m.connCap)
	}
	return limit
}

// ConnectionLimit returns how many connections to a member may be open: the instance's share,
// or fewer after the member has refused one.
func (s *Scheduler) ConnectionLimit(id bbrtype.MemberName, now bbrtype.Mono) int {
	if m := s.members[id]; m != nil {
		return m.connectionLimit(now)
	}
	return 0
}

// hasConnection reports whether an unused connection to the member is open on which a
// statement may run.
func (m *memberState) hasConnection(r *Requirements) bool {
	if r.Tenant != "" {
		return m.idleConns[r.Tenant] > 0
	}
	return m.openConns > m.inFlight+m.idleInTransaction
}

// SetOpenConnections sets the number of open connections of this instance to a
// member, unused ones included.
func (s *Scheduler) SetOpenConnections(id bbrtype.MemberName, n int) {
	if m := s.members[id]; m != nil {
		m.openConns = n
	}
}

// SetIdleConnections sets the number of unused connections to a member on which the
// statements of a tenant may run.
func (s *Scheduler) SetIdleConnections(id bbrtype.MemberName, tenant bbrtype.TenantName, n int) {
	m := s.members[id]
	if m == nil {
		return
	}
	if n <= 0 {
		delete(m.idleConns, tenant)
		return
	}
	if m.idleConns == nil {
		m.idleConns = map[bbrtype.TenantName]int{}
	}
	m.idleConns[tenant] = n
}

// ReplyTimeout returns the reply timeout of a member: the time after which a reply
// counts as lost. The timeout grows with the member's latency, so that a slow or
// loaded member gets more time.
func (s *Scheduler) ReplyTimeout(id bbrtype.MemberName) time.Duration {
	m := s.members[id]
	if m == nil {
		return minReplyTimeout
	}
	return max(minReplyTimeout, replyTimeoutFactor*m.latency)
}

// RecordReply records the latency of a member's reply and the applied log position in
// the reply.
func (s *Scheduler) RecordReply(id bbrtype.MemberName, latency time.Duration, applied bbrmessage.LogPosition, now bbrtype.Mono) {
	m := s.members[id]
	if m == nil {
		return
	}
	m.lagRejections, m.connRefusals = 0, 0
	m.latency += time.Duration(latencySmoothing * float64(latency-m.latency))
	m.latencyAt = now
	m.ejection.recordReply(now)
	m.adaptiveLimit.recordLatency(m.latency, now)
	m.appliedPosition = bbrmessage.LaterPosition(m.appliedPosition, applied)
}

// RecordBusy records that a member rejected a statement because the member was busy.
func (s *Scheduler) RecordBusy(id bbrtype.MemberName, now bbrtype.Mono) {
	if m := s.members[id]; m != nil {
		m.pausedUntil = now.Add(busyPause)
	}
}

// RecordConnectionRefused records that a member refused a connection because it has
// reached its connection limit. openConns is the number of connections that this
// instance has open to the member. If openConns is 0, the member is paused and the
// length of the pause is returned: Dispatch must be called after the pause, because
// there is no statement in flight whose Release would call it. Otherwise 0 is
// returned.
func (s *Scheduler) RecordConnectionRefused(id bbrtype.MemberName, openConns int, now bbrtype.Mono) time.Duration {
	m := s.members[id]
	if m == nil {
		return 0
	}
	m.connCap, m.connCapUntil = openConns, now.Add(connCapDuration)
	if openConns == 0 {
		pause := connRefusedPause << min(m.connRefusals, maxConnRefusedDoublings)
		if m.connRefusals == 0 {
			m.connRefusedSince = now
		}
		m.connRefusals++
		m.connCapUntil = now.Add(pause)
		m.pausedUntil = now.Add(pause)
		return pause
	}
	return 0
}

// RecordNoReply records that a member did not reply.
func (s *Scheduler) RecordNoReply(id bbrtype.MemberName, now bbrtype.Mono) {
	if m := s.members[id]; m != nil {
		m.pausedUntil = now.Add(noReplyPause)
		m.silentUntil = m.pausedUntil
		m.ejection.recordFailure()
		s.ejectFailing(m, now)
	}
}

// ForceAcquire counts a statement as in flight at a member whether or not the member
// has capacity. It is for statements that must not wait in the queue, such as status
// queries.
func (s *Scheduler) ForceAcquire(id bbrtype.MemberName) {
	if m := s.members[id]; m != nil {
		m.inFlight++
	}
}

// PauseTransaction records that a transaction is idle: it keeps its connection to the
// member but has no statement in flight. The capacity used by its last statement is
// released.
func (s *Scheduler) PauseTransaction(id bbrtype.MemberName, now bbrtype.Mono) {
	if m := s.members[id]; m != nil {
		m.idleInTransaction++
	}
	s.Release(id, now)
}

// ResumeTransaction records that an idle transaction sends its next statement. The
// statement never waits for capacity, because this could deadlock: statements in
// flight may wait for locks of the transaction.
func (s *Scheduler) ResumeTransaction(id bbrtype.MemberName) {
	if m := s.members[id]; m != nil {
		m.idleInTransaction = max(0, m.idleInTransaction-1)
	}
	s.ForceAcquire(id)
}
