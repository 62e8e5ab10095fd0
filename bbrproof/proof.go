// Package bbrproof decides what an instance may conclude from the responses of a
// group's members: whether the primary in use was the only primary at a given time,
// and how old the data at a log position is. The package is pure: it reads no clock
// and does no input or output.
//
// A failover first reaches a barrier: every replica has paused replication under a
// higher term, or the old primary has been demoted. Three kinds of observation prove
// that the barrier had not been reached when the request was sent: a commit that a
// replica confirmed; the statuses of the primary and its replicas, if they show no
// pause and no demotion; and a read of the group's record in the table store that
// shows no failover. The instance that runs the failover waits for Lease after
// the barrier before the new primary may acknowledge anything. Therefore a proof
// whose request was sent at t gives authority until t + Lease, and no two processes
// need a common clock.
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

// sample is a position that the primary's log had reached at a time.
type sample struct {
	at  bbrtype.Mono
	pos bbrmessage.Place
}

// Authority tracks the proofs for a group's primary and samples of its log position.
// The zero value has no proof.
type Authority struct {
	term bbrtype.Term
	// since is when the primary came into use. Earlier samples are ignored: they may
	// come from another primary, or from an earlier term of the same primary.
	since bbrtype.Mono
	// provenAt is when the request of the newest proof was sent.
	provenAt bbrtype.Mono
	// proven are the samples that a proof covers, oldest first.
	proven []sample
	// pending are the samples that no proof covers yet, oldest first.
	pending []sample
}

// Reset discards all proofs and samples. It is called when a new primary of the given
// term comes into use.
func (a *Authority) Reset(term bbrtype.Term, now bbrtype.Mono) {
	*a = Authority{term: term, since: now}
}

// Prove records a proof that no failover had reached its barrier when the request was
// sent.
func (a *Authority) Prove(term bbrtype.Term, sentAt bbrtype.Mono) {
	if term != a.term || sentAt <= a.provenAt {
		return
	}
	a.provenAt = sentAt
	rest := a.pending[:0]
	for _, s := range a.pending {
		if a.Covers(s.at) {
			a.addProven(s)
		} else {
			rest = append(rest, s)
		}
	}
	a.pending = rest
}

// Observe records a log position that the primary reported in response to a request
// sent at sentAt.
func (a *Authority) Observe(pos bbrmessage.Place, sentAt bbrtype.Mono) {
	if pos.IsZero() || sentAt < a.since {
		return
	}
	s := sample{at: sentAt, pos: pos}
	if a.Covers(sentAt) {
		a.addProven(s)
		return
	}
	if n := len(a.pending); n > 0 && sentAt.Sub(a.pending[n-1].at) < minSampleInterval {
		return
	}
	a.pending = append(a.pending, s)
	if len(a.pending) > int(sampleRetention/minSampleInterval) {
		a.pending = a.pending[1:]
	}
}

// addProven appends a sample to proven and drops expired samples. A sample that is
// not at least minSampleInterval newer than the newest one is skipped.
func (a *Authority) addProven(s sample) {
	n := len(a.proven)
	if n > 0 && s.at.Sub(a.proven[n-1].at) < minSampleInterval {
		return
	}
	a.proven = append(a.proven, s)
	for s.at.Sub(a.proven[0].at) > sampleRetention {
		a.proven = a.proven[1:]
	}
}

// Covers reports whether it is proven that no other primary acknowledged commits at
// the given time. For a time before the primary came into use, it reports whether
// this is proven from the moment that the primary came into use.
func (a *Authority) Covers(at bbrtype.Mono) bool {
	return a.provenAt != 0 && max(at, a.since) < a.provenAt.Add(Lease)
}

// Floor returns the lowest known position that includes all commits acknowledged
// before now - maxAge. It returns false if no such position is known.
func (a *Authority) Floor(now bbrtype.Mono, maxAge time.Duration) (bbrmessage.Place, bool) {
	for _, s := range a.proven {
		if s.at >= now.Add(-maxAge) {
			return s.pos, true
		}
	}
	return bbrmessage.Place{}, false
}

// Pending returns when the newest sample without a proof was taken, 0 if there is
// none.
func (a *Authority) Pending() bbrtype.Mono {
	if len(a.pending) == 0 {
		return 0
	}
	return a.pending[len(a.pending)-1].at
}

// ProvenAt returns when the request of the newest proof was sent, 0 if there is no
// proof.
func (a *Authority) ProvenAt() bbrtype.Mono { return a.provenAt }

// NewestSample returns the time and the position of the newest proven sample. The
// time is 0 if there is none.
func (a *Authority) NewestSample() (bbrtype.Mono, bbrmessage.Place) {
	if len(a.proven) == 0 {
		return 0, bbrmessage.Place{}
	}
	s := a.proven[len(a.proven)-1]
	return s.at, s.pos
}

// Newest returns when the newest proven sample was taken, 0 if there is none.
func (a *Authority) Newest() bbrtype.Mono {
	if len(a.proven) == 0 {
		return 0
	}
	return a.proven[len(a.proven)-1].at
}
