// Package bbrproof decides, from the responses of a group's members and of the table
// store, whether the primary in use is certain to be the only primary, and which log
// position a read with bounded staleness needs. The package is pure: it reads no clock
// and does no input or output.
//
// A failover first reaches its barrier (see bbrsuccession), after which no commit of
// the old primary can be acknowledged. The following observations prove that the
// barrier had not been reached when the request was sent:
//
//   - a commit that a replica confirmed;
//   - the statuses of the primary and its replicas, if they show no pause of
//     replication and no demotion;
//   - a read of the group's record in the table store that shows no failover.
//
// The instance that runs the failover waits for LeaseDuration after the barrier
// before the new primary may acknowledge anything. A proof whose request was sent
// at t is thus a lease on the primary until t + LeaseDuration. The clocks of the
// processes need not be synchronized.
//
// # Usage
//
//	var l bbrproof.PrimaryLease
//	l.AddSample(pos, sentAt)
//	l.AddProof(term, sentAt)
//	minPos, ok := l.MinPosition(now, 1500*time.Millisecond)
package bbrproof

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// LeaseDuration is how long a proof is valid after its request was sent.
	LeaseDuration = time.Second
	// RecordsLease is how long after it was sent a read of the groups' records shows all
	// promotions that may have been requested: once a promotion is entered, LeaseDuration
	// passes before it is requested, or all instances have shown that they know of it. It is
	// shorter, for clocks that differ in rate.
	RecordsLease = 900 * time.Millisecond
	// minSampleInterval is the minimum time between two stored samples.
	minSampleInterval = 40 * time.Millisecond
	// sampleRetention is how long samples are stored.
	sampleRetention = 4 * time.Second
)

// sample is a position that the primary's log had reached at the time at.
type sample struct {
	at  bbrtype.Mono
	pos bbrmessage.LogPosition
}

// PrimaryLease tracks the proofs for a group's primary and samples of its log position.
// The zero value has no proof.
type PrimaryLease struct {
	term bbrtype.Term
	// inUseSince is when this instance began to use the primary. Earlier samples are
	// ignored: they may come from another primary, or from an earlier term of the same
	// primary.
	inUseSince bbrtype.Mono
	// provenAt is when the request of the newest proof was sent.
	provenAt bbrtype.Mono
	// provenSamples are the samples that a proof covers, oldest first.
	provenSamples []sample
	// pendingSamples are the samples that no proof covers yet, oldest first.
	pendingSamples []sample
}

// Reset discards all proofs and samples. It is called when the instance begins to use
// a new primary of the given term.
func (l *PrimaryLease) Reset(term bbrtype.Term, now bbrtype.Mono) {
	*l = PrimaryLease{term: term, inUseSince: now}
}

// AddProof records a proof that no failover had reached its barrier when the request was
// sent. Pending samples that the proof covers become proven.
func (l *PrimaryLease) AddProof(term bbrtype.Term, sentAt bbrtype.Mono) {
	if term != l.term || sentAt <= l.provenAt {
		return
	}
	l.provenAt = sentAt
	stillPending := l.pendingSamples[:0]
	for _, s := range l.pendingSamples {
		if l.IsProvenAt(s.at) {
			l.addProven(s)
		} else {
			stillPending = append(stillPending, s)
		}
	}
	l.pendingSamples = stillPending
}

// AddSample records a log position that the primary reported in response to a request
// sent at sentAt.
func (l *PrimaryLease) AddSample(pos bbrmessage.LogPosition, sentAt bbrtype.Mono) {
	if pos.IsZero() || sentAt < l.inUseSince {
		return
	}
	s := sample{at: sentAt, pos: pos}
	if l.IsProvenAt(sentAt) {
		l.addProven(s)
		return
	}
	if n := len(l.pendingSamples); n > 0 && sentAt.Sub(l.pendingSamples[n-1].at) < minSampleInterval {
		return
	}
	l.pendingSamples = append(l.pendingSamples, s)
	if len(l.pendingSamples) > int(sampleRetention/minSampleInterval) {
		l.pendingSamples = l.pendingSamples[1:]
	}
}

// addProven appends a sample to provenSamples and drops samples older than
// sampleRetention. A sample that is not at least minSampleInterval newer than the
// newest one is skipped.
func (l *PrimaryLease) addProven(s sample) {
	n := len(l.provenSamples)
	if n > 0 && s.at.Sub(l.provenSamples[n-1].at) < minSampleInterval {
		return
	}
	l.provenSamples = append(l.provenSamples, s)
	for s.at.Sub(l.provenSamples[0].at) > sampleRetention {
		l.provenSamples = l.provenSamples[1:]
	}
}

// IsProvenAt reports whether it is proven that no other primary acknowledged commits at
// the given time. A time before the instance began to use the primary is treated as
// that moment.
func (l *PrimaryLease) IsProvenAt(at bbrtype.Mono) bool {
	return l.provenAt != 0 && max(at, l.inUseSince) < l.provenAt.Add(LeaseDuration)
}

// MinPosition returns the lowest known position that is at or above all commits
// acknowledged before now - maxAge. It returns false if no such position is known.
func (l *PrimaryLease) MinPosition(now bbrtype.Mono, maxAge time.Duration) (bbrmessage.LogPosition, bool) {
	for _, s := range l.provenSamples {
		if s.at >= now.Add(-maxAge) {
			return s.pos, true
		}
	}
	return bbrmessage.LogPosition{}, false
}

// NewestPendingAt returns when the request for the newest sample without a proof
// was sent, 0 if there is none.
func (l *PrimaryLease) NewestPendingAt() bbrtype.Mono {
	if len(l.pendingSamples) == 0 {
		return 0
	}
	return l.pendingSamples[len(l.pendingSamples)-1].at
}

// LastProofAt returns when the request of the newest proof was sent, 0 if there is no
// proof.
func (l *PrimaryLease) LastProofAt() bbrtype.Mono { return l.provenAt }

// NewestSample returns the time and the position of the newest proven sample. The
// time is 0 if there is none.
func (l *PrimaryLease) NewestSample() (bbrtype.Mono, bbrmessage.LogPosition) {
	if len(l.provenSamples) == 0 {
		return 0, bbrmessage.LogPosition{}
	}
	s := l.provenSamples[len(l.provenSamples)-1]
	return s.at, s.pos
}

// NewestSampleAt returns when the request for the newest proven sample was sent, 0
// if there is none.
func (l *PrimaryLease) NewestSampleAt() bbrtype.Mono {
	if len(l.provenSamples) == 0 {
		return 0
	}
	return l.provenSamples[len(l.provenSamples)-1].at
}
