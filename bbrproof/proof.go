// Package bbrproof decides what an instance may conclude from answers of a
// group's members: whether a primary was still the primary at some moment, and
// how old the data at a log position is. The package is pure.
//
// A change of primary begins with a barrier: every replica holds replication
// under a higher term, or the old primary has stepped down. A commit that a
// replica confirmed, or a look at primary and replica that shows no barrier,
// proves that the barrier had not been reached when the request was sent. The
// one who changes the primary waits Lease after the barrier before the new
// primary acknowledges anything. So a proof sent at t gives authority until
// t + Lease, without any clock that two processes would have to share.
//
// # Usage
//
//	var a bbrproof.Authority
//	a.Observe(place, sentAt)
//	a.Prove(term, sentAt)
//	floor, ok := a.Floor(now, 1500*time.Millisecond)
package bbrproof

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// Lease is how long a proof counts, from the moment its request was sent.
	Lease = time.Second
	// sampleGap is the least time between two samples that are kept.
	sampleGap = 40 * time.Millisecond
	// sampleAge is how long samples are kept.
	sampleAge = 4 * time.Second
)

// sample is a position that the primary's log had reached at a moment.
type sample struct {
	at    bbrtype.Mono
	place bbrmessage.Place
}

// Authority is what is proven about a group's primary. The zero value proves
// nothing.
type Authority struct {
	term bbrtype.Term
	// from is when the primary came into use. Nothing before counts: the answer may
	// be another primary's, or the same one's in an earlier term.
	from bbrtype.Mono
	// provenAt is when the request of the newest proof was sent.
	provenAt bbrtype.Mono
	// proven are samples under authority, oldest first.
	proven []sample
	// pending are samples that no proof covers yet, oldest first.
	pending []sample
}

// Reset forgets everything, for a new primary of a term that comes into use.
func (a *Authority) Reset(term bbrtype.Term, now bbrtype.Mono) { *a = Authority{term: term, from: now} }

// Prove notes that no change had reached its barrier when a request was sent.
func (a *Authority) Prove(term bbrtype.Term, sentAt bbrtype.Mono) {
	if term != a.term || sentAt <= a.provenAt {
		return
	}
	a.provenAt = sentAt
	rest := a.pending[:0]
	for _, s := range a.pending {
		if a.Covers(s.at) {
			a.keep(s)
		} else {
			rest = append(rest, s)
		}
	}
	a.pending = rest
}

// Observe notes a position that the primary reported to a request sent at a time.
func (a *Authority) Observe(place bbrmessage.Place, sentAt bbrtype.Mono) {
	if place.IsZero() || sentAt < a.from {
		return
	}
	s := sample{at: sentAt, place: place}
	if a.Covers(sentAt) {
		a.keep(s)
		return
	}
	if n := len(a.pending); n > 0 && sentAt.Sub(a.pending[n-1].at) < sampleGap {
		return
	}
	a.pending = append(a.pending, s)
	if len(a.pending) > int(sampleAge/sampleGap) {
		a.pending = a.pending[1:]
	}
}

// keep enters a sample in order of time and drops those that are too old.
func (a *Authority) keep(s sample) {
	n := len(a.proven)
	if n > 0 && s.at.Sub(a.proven[n-1].at) < sampleGap {
		return
	}
	a.proven = append(a.proven, s)
	for s.at.Sub(a.proven[0].at) > sampleAge {
		a.proven = a.proven[1:]
	}
}

// Covers reports whether the primary is proven to have been the only one that
// acknowledges, at a moment or, if it came into use later, from then on.
func (a *Authority) Covers(at bbrtype.Mono) bool {
	return a.provenAt != 0 && max(at, a.from) < a.provenAt.Add(Lease)
}

// Floor returns the earliest known position that has all commits acknowledged
// before now - maxAge. It returns false if none is known.
func (a *Authority) Floor(now bbrtype.Mono, maxAge time.Duration) (bbrmessage.Place, bool) {
	for _, s := range a.proven {
		if s.at >= now.Add(-maxAge) {
			return s.place, true
		}
	}
	return bbrmessage.Place{}, false
}

// Pending returns when the newest sample was taken that waits for a proof, 0 if
// there is none.
func (a *Authority) Pending() bbrtype.Mono {
	if len(a.pending) == 0 {
		return 0
	}
	return a.pending[len(a.pending)-1].at
}

// ProvenAt returns when the request of the newest proof was sent, 0 if nothing is
// proven.
func (a *Authority) ProvenAt() bbrtype.Mono { return a.provenAt }

// NewestSample returns the newest proven sample, with the time 0 if there is none.
func (a *Authority) NewestSample() (bbrtype.Mono, bbrmessage.Place) {
	if len(a.proven) == 0 {
		return 0, bbrmessage.Place{}
	}
	s := a.proven[len(a.proven)-1]
	return s.at, s.place
}

// Newest returns when the newest sample under authority was taken.
func (a *Authority) Newest() bbrtype.Mono {
	if len(a.proven) == 0 {
		return 0
	}
	return a.proven[len(a.proven)-1].at
}
