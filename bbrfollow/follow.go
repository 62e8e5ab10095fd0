// Package bbrfollow decides from where an instance learns of changes of the store's tables.
// Where a data centre has many instances, few of them follow the store, and the others
// follow one of these: its follower. The package is pure: it reads no clock and does no
// input or output.
//
// All instances of a data centre rank each other in the same order and ask the first one
// that they have not left. Whoever is asked follows the store, so the instances need not
// agree on a follower: if they differ, for instance because only some reach it, the data
// centre has more than one for a while. An instance that ranks itself first follows the
// store, and so does one that has left maxFollowers of them.
//
// What a follower tells has the age of its own read of the store. The age is counted from
// when that read was sent, so a follower that stood still, or that the store has cut off,
// is left as soon as its reads are older than a TableLimits allows.
//
// # Usage
//
//	var left bbrfollow.Left
//	switch s := bbrfollow.Choose(self, others, &left, now).(type) {
//	case bbrfollow.Store:
//	case bbrfollow.Follower:
//		reason := bbrfollow.Judge(limits, reads, era, now)
//		left.Leave(s.ID, now)
//	}
package bbrfollow

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// RankKey is the key by which the instances of a data centre are ranked, for followers and
// for proof delegates alike. It must be the same in all instances.
const RankKey = "speaker"

const (
	// MinInstances is the least number of instances of a data centre of which few follow
	// the store for the others.
	MinInstances = 5
	// maxFollowers is how many instances are asked one after the other before an instance
	// follows the store itself.
	maxFollowers = 3
	// leaveTime is how long a follower that was left is not asked.
	leaveTime = 2 * time.Second
	// ageMargin is how much older a follower's read may be than it lets it become: for slow
	// replies.
	ageMargin = 500 * time.Millisecond
)

// Source is from where an instance learns of changes: Store or Follower.
type Source interface{ isSource() }

// Store means that the instance follows the store itself.
type Store struct{}

// Follower is another instance, which follows the store.
type Follower struct{ ID bbrtype.InstanceID }

func (Store) isSource()    {}
func (Follower) isSource() {}

// Left holds the followers that an instance has left. The zero value holds none.
type Left struct {
	until map[bbrtype.InstanceID]bbrtype.Mono
}

// Leave records that a follower was left at a time.
func (l *Left) Leave(id bbrtype.InstanceID, now bbrtype.Mono) {
	if l.until == nil {
		l.until = map[bbrtype.InstanceID]bbrtype.Mono{}
	}
	for other, until := range l.until {
		if until <= now {
			delete(l.until, other)
		}
	}
	l.until[id] = now.Add(leaveTime)
}

// Contains reports whether a follower was left less than leaveTime ago.
func (l *Left) Contains(id bbrtype.InstanceID, now bbrtype.Mono) bool { return now < l.until[id] }

// AreMany reports whether a data centre has so many instances that few follow the store.
func AreMany(instances int) bool { return instances >= MinInstances }

// Choose returns the source of an instance. others are the other instances of its data
// centre.
func Choose(self bbrtype.InstanceID, others []bbrtype.InstanceID, left *Left, now bbrtype.Mono) Source {
	if !AreMany(len(others) + 1) {
		return Store{}
	}
	candidates := append([]bbrtype.InstanceID{self}, others...)
	for _, id := range bbrrendezvous.Top(RankKey, candidates, maxFollowers) {
		switch {
		case id == self:
			return Store{}
		case !left.Contains(id, now):
			return Follower{ID: id}
		}
	}
	return Store{}
}

// TableRead is how far a table is known: all its changes up to a version, which was read by
// a request that was sent at SentAt.
type TableRead struct {
	Version bbrrows.Version
	SentAt  bbrtype.Mono
}

// TableReads holds the reads of tables by their names.
type TableReads map[string]TableRead

// Refresh records that the store had a version by a request that was sent at sentAt: what is
// known up to that version is as new as that request. The store counts its versions over all
// tables.
func (r TableReads) Refresh(version bbrrows.Version, sentAt bbrtype.Mono) {
	for table, read := range r {
		if read.Version.Era == version.Era && !version.IsNewerThan(read.Version) && sentAt > read.SentAt {
			read.SentAt = sentAt
			r[table] = read
		}
	}
}

// TableLimits are the times in which a follower learns of changes of a table.
type TableLimits struct {
	// MaxReadAge is the age of its newest read above which it asks the store anew.
	MaxReadAge time.Duration
	// PollInterval is the least time between two questions.
	PollInterval time.Duration
}

// MaxAge is the age up to which a follower's read of the table is used.
func (l TableLimits) MaxAge() time.Duration { return l.MaxReadAge + l.PollInterval + ageMargin }

// Limits holds the limits of tables by their names.
type Limits map[string]TableLimits

// Reason is why a follower is left.
type Reason string

// The reasons.
const (
	// ReasonNone means that the follower is kept.
	ReasonNone Reason = ""
	// ReasonSilent means that it did not reply in time.
	ReasonSilent Reason = "silent"
	// ReasonNotFollowing means that it does not tell a table: it stops, or the store
	// rejects its reads.
	ReasonNotFollowing Reason = "notFollowing"
	// ReasonOldEra means that it has not seen that the store was restored.
	ReasonOldEra Reason = "oldEra"
	// ReasonStale means that its reads are too old.
	ReasonStale Reason = "stale"
)

// Reasons returns the reasons for which a follower is left.
func Reasons() []Reason {
	return []Reason{ReasonSilent, ReasonNotFollowing, ReasonOldEra, ReasonStale}
}

// Judge returns the reason to leave a follower that has reported reads, ReasonNone if it is
// kept.
func Judge(limits Limits, reads TableReads, era bbrrows.Era, now bbrtype.Mono) Reason {
	worst := ReasonNone
	for table, l := range limits {
		r, ok := reads[table]
		switch {
		case !ok:
			return ReasonNotFollowing
		case r.Version.Era < era:
			worst = ReasonOldEra
		case now.Sub(r.SentAt) > l.MaxAge() && worst == ReasonNone:
			worst = ReasonStale
		}
	}
	return worst
}

// TimeLeft returns the time until the first of the reads is too old, 0 if one is or is
// missing.
func TimeLeft(limits Limits, reads TableReads, now bbrtype.Mono) time.Duration {
	var shortest time.Duration
	first := true
	for table, l := range limits {
		r, ok := reads[table]
		if !ok {
			return 0
		}
		if d := l.MaxAge() - now.Sub(r.SentAt); first || d < shortest {
			shortest, first = d, false
		}
	}
	return max(0, shortest)
}
