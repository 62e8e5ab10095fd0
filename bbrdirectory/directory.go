// Package bbrdirectory tracks the members that are registered in the platform's
// service directory. Each member registers itself with an entry. An instance reads
// the entries and applies them to a Directory.
//
// If the entry of a draining member disappears, the member is removed immediately.
// Any other member stays in use for a grace period, since its entry may be missing
// because of an outage of the directory. After the grace period the member is
// removed, but Expired still returns it for some time, since its process may be
// running and only be disconnected from the directory.
//
// A directory that is restored from an older copy lists entries as they were: of members
// that have left since, or that did not drain yet. Such an entry is recognized by its
// member's own count of entries (see Member.Sequence) and held back, until the member
// writes its entry again or rewriteTimeout shows that it does not. An entry that the copy
// lacks counts as missing (see MarkLost), not as removed by its member.
//
// The package does no I/O and reads no clock; callers pass the time.
//
// # Usage
//
//	var d bbrdirectory.Directory
//	d.Put(member, now)
//	d.MarkMissing(id, now)
//	d.Expire(now)
//	members := d.Members("orders")
package bbrdirectory

import (
	"sort"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// missingGrace is how long a member stays in use after its entry disappeared. An
	// entry can disappear in an outage of the directory that caused no read error at
	// this instance.
	missingGrace = 2500 * time.Millisecond
	// expiredRetention is how long Expired returns a member after its removal. A
	// process may run for that long while it is disconnected from the directory.
	expiredRetention = 12 * time.Second
)

// Member is a member as its directory entry describes it.
type Member struct {
	ID         bbrtype.MemberName
	Group      bbrtype.GroupName
	Address    string
	DataCentre bbrtype.DataCentre
	// Slots is the maximum number of statements that the member executes concurrently.
	Slots    int
	Draining bool
	// EntryMissing is set if the entry has disappeared, while the member stays in use.
	EntryMissing bool
	Role         bbrmessage.Role
	// StartedAtMs is the start time of the member's process, in Unix milliseconds, 0 if
	// unknown.
	StartedAtMs int64
	// Sequence counts the entries that the member's process has written, 0 if unknown.
	Sequence int64
}

// entry is the state of a registered member.
type entry struct {
	member Member
	// missingSince is the time at which the member's directory entry disappeared, 0 if
	// the entry is present.
	missingSince bbrtype.Mono
}

// expiredMember is a member whose entry disappeared without a drain and did not
// return within missingGrace.
type expiredMember struct {
	member    Member
	expiredAt bbrtype.Mono
}

// Directory is the set of registered members, and of members that expired recently. The
// zero value is empty.
type Directory struct {
	entries map[bbrtype.MemberName]*entry
	expired map[bbrtype.MemberName]expiredMember
	// departed are the members that drained and whose entries were removed.
	departed map[bbrtype.MemberName]departedMember
	// heldBack are entries that are older than what is known of their members.
	heldBack map[bbrtype.MemberName]Member
	// restoredAt is when the directory was last found to be restored, 0 if never.
	restoredAt bbrtype.Mono
	// readFailedAt is the time of the last failed read of the directory.
	readFailedAt bbrtype.Mono
}

// Put adds a member or replaces its entry. A missing or expired member counts as
// registered again. For rewriteTimeout after a restore of the directory, an entry that is
// older than what is known of the member is held back. Put reports whether the entry is in use.
func (d *Directory) Put(m Member, now bbrtype.Mono) bool {
	if d.isOutdated(m, now) {
		d.holdBack(m)
		return false
	}
	d.put(m)
	return true
}

// put adds a member or replaces its entry.
func (d *Directory) put(m Member) {
	if d.entries == nil {
		d.entries = map[bbrtype.MemberName]*entry{}
	}
	d.entries[m.ID] = &entry{member: m}
	delete(d.expired, m.ID)
	delete(d.departed, m.ID)
	delete(d.heldBack, m.ID)
}

// RecordReadFailure records that reading the directory failed. Members with
// missing entries are not removed until missingGrace after the last failure.
func (d *Directory) RecordReadFailure(now bbrtype.Mono) { d.readFailedAt = now }

// MarkMissing records that a member's entry is missing. A draining member is removed at
// once; any other member stays in use for missingGrace.
func (d *Directory) MarkMissing(id bbrtype.MemberName, now bbrtype.Mono) {
	delete(d.heldBack, id)
	if e := d.entries[id]; e != nil && e.member.Draining {
		delete(d.entries, id)
		d.recordDeparted(e.member, now)
		return
	}
	d.MarkLost(id, now)
}

// MarkLost records that a member's entry is missing since the directory was restored from
// an older copy. The member stays in use for missingGrace, in which it writes its entry
// again.
func (d *Directory) MarkLost(id bbrtype.MemberName, now bbrtype.Mono) {
	if e := d.entries[id]; e != nil && e.missingSince == 0 {
		e.missingSince = now
	}
}

// ApplyListing applies a complete listing of the directory: it calls Put for all
// members of the listing and MarkMissing for all others.
func (d *Directory) ApplyListing(all []Member, now bbrtype.Mono) {
	seen := map[bbrtype.MemberName]bool{}
	for _, m := range all {
		seen[m.ID] = true
		d.Put(m, now)
	}
	for id := range d.entries {
		if !seen[id] {
			d.MarkMissing(id, now)
		}
	}
}

// Expire removes members whose entries have been missing for longer than
// missingGrace, drops expired members after their retention, and takes entries into use
// that were held back (see Put). It reports whether anything changed.
func (d *Directory) Expire(now bbrtype.Mono) bool {
	changed := d.releaseHeldBack(now)
	d.forgetDeparted(now)
	for id, e := range d.entries {
		if e.missingSince != 0 && now.Sub(e.missingSince) > missingGrace && now.Sub(d.readFailedAt) > missingGrace {
			delete(d.entries, id)
			d.recordExpired(e.member, now)
			changed = true
		}
	}
	for id, x := range d.expired {
		if now.Sub(x.expiredAt) > d.retention(x) {
			delete(d.expired, id)
			changed = true
		}
	}
	return changed
}

// recordExpired records a removed member that may still be running.
func (d *Directory) recordExpired(m Member, now bbrtype.Mono) {
	if d.expired == nil {
		d.expired = map[bbrtype.MemberName]expiredMember{}
	}
	d.expired[m.ID] = expiredMember{member: m, expiredAt: now}
}

// Expired returns the members of a group that were removed without a drain and may
// still be running, ordered by name. A member is omitted if another member is
// registered at its address.
func (d *Directory) Expired(g bbrtype.GroupName) []Member {
	usedAddresses := map[string]bool{}
	for _, e := range d.entries {
		usedAddresses[e.member.Address] = true
	}
	var out []Member
	for _, x := range d.expired {
		if x.member.Group == g && !usedAddresses[x.member.Address] {
			out = append(out, x.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Members returns the members of a group that are in use, ordered by name.
func (d *Directory) Members(g bbrtype.GroupName) []Member {
	var out []Member
	for _, e := range d.entries {
		if e.member.Group != g {
			continue
		}
		m := e.member
		m.EntryMissing = e.missingSince != 0
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
