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
// The instance that runs the failover waits for Lease after the barrier before the new
// primary may acknowledge anything. A proof whose request was sent at t is thus a lease
// on the primary until t + Lease. The clocks of the processes need not be synchronized.
//
// # Usage
//
//	var a bbrproof.Authority
//	a.Observe(pos, sentAt)
//	a.Prove(term, sentAt)
//	floor, ok := a.Floor(now, 1500*time.Millisecond)
package bbrproof

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// Lease is how long a proof is valid after its request was sent.
	Lease = time.Second
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

// Authority tracks the proofs for a group's primary and samples of its log position.
// The zero value has no proof.
type Authority struct {
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
func (a *Authority) Reset(term bbrtype.Term, now bbrtype.Mono) {
	*a = Authority{term: term, inUseSince: now}
}

// Prove records a proof that no failover had reached its barrier when the request was
// sent. Pending samples that the proof covers become proven.
func (a *Authority) Prove(term bbrtype.Term, sentAt bbrtype.Mono) {
	if term != a.term || sentAt <= a.provenAt {
		return
	}
	a.provenAt = sentAt
	stillPending := a.pendingSamples[:0]
	for _, s := range a.pendingSamples {
		if a.Covers(s.at) {
			a.addProven(s)
		} else {
			stillPending = append(stillPending, s)
		}
	}
	a.pendingSamples = stillPending
}

// Observe records a log position that the primary reported in response to a request
// sent at sentAt.
func (a *Authority) Observe(pos bbrmessage.LogPosition, sentAt bbrtype.Mono) {
	if pos.IsZero() || sentAt < a.inUseSince {
		return
	}
	s := sample{at: sentAt, pos: pos}
	if a.Covers(sentAt) {
		a.addProven(s)
		return
	}
	if n := len(a.pendingSamples); n > 0 && sentAt.Sub(a.pendingSamples[n-1].at) < minSampleInterval {
		return
	}
	a.pendingSamples = append(a.pendingSamples, s)
	if len(a.pendingSamples) > int(sampleRetention/minSampleInterval) {
		a.pendingSamples = a.pendingSamples[1:]
	}
}

// addProven appends a sample to provenSamples and drops samples older than
// sampleRetention. A sample that is not at least minSampleInterval newer than the
// newest one is skipped.
func (a *Authority) addProven(s sample) {
	n := len(a.provenSamples)
	if n > 0 && s.at.Sub(a.provenSamples[n-1].at) < minSampleInterval {
		return
	}
	a.provenSamples = append(a.provenSamples, s)
	for s.at.Sub(a.provenSamples[0].at) > sampleRetention {
		a.provenSamples = a.provenSamples[1:]
	}
}

// Covers reports whether it is proven that no other primary acknowledged commits at
// the given time. A time before the instance began to use the primary is treated as
// that moment.
func (a *Authority) Covers(at bbrtype.Mono) bool {
	return a.provenAt != 0 && max(at, a.inUseSince) < a.provenAt.Add(Lease)
}

// Floor returns the lowest known position that is at or above all commits acknowledged
// before now - maxAge. It returns false if no such position is known.
func (a *Authority) Floor(now bbrtype.Mono, maxAge time.Duration) (bbrmessage.LogPosition, bool) {
	for _, s := range a.provenSamples {
		if s.at >= now.Add(-maxAge) {
			return s.pos, true
		}
	}
	return bbrmessage.LogPosition{}, false
}

// Pending returns when the request for the newest sample without a proof was sent, 0 if
// there is none.
func (a *Authority) Pending() bbrtype.Mono {
	if len(a.pendingSamples) == 0 {
		return 0
	}
	return a.pendingSamples[len(a.pendingSamples)-1].at
}

// ProvenAt returns when the request of the newest proof was sent, 0 if there is no
// proof.
func (a *Authority) ProvenAt() bbrtype.Mono { return a.provenAt }

// NewestSample returns the time and the position of the newest proven sample. The
// time is 0 if there is none.
func (a *Authority) NewestSample() (bbrtype.Mono, bbrmessage.LogPosition) {
	if len(a.provenSamples) == 0 {
		return 0, bbrmessage.LogPosition{}
	}
	s := a.provenSamples[len(a.provenSamples)-1]
	return s.at, s.pos
}

// Newest returns when the request for the newest proven sample was sent, 0 if there is
// none.
func (a *Authority) Newest() bbrtype.Mono {
	if len(a.provenSamples) == 0 {
		return 0
	}
	return a.provenSamples[len(a.provenSamples)-1].at
}
