// Package bbrdirectory tracks the members that are registered in the platform's
// service directory. A member writes an entry about itself; an instance passes the
// entries that it reads to a Directory.
//
// An entry that disappears does not remove its member at once. A draining member is
// removed immediately. Any other member stays in use for a grace period, since the
// entry may be missing because of an outage of the directory. After the grace
// period the member is removed, but it is still reported by Departed for some time,
// because it may be running without a connection to the directory.
//
// The package is pure: it reads no clock and does no input or output.
//
// # Usage
//
//	var d bbrdirectory.Directory
//	d.Put(member)
//	d.Remove(id, now)
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
	// missingGrace is how long the member of a missing entry stays in use. The
	// directory may have been unavailable without a failed read at this instance.
	missingGrace = 2500 * time.Millisecond
	// expiredRetention is how long a member that was removed without a drain may
	// still be running, disconnected from the directory.
	expiredRetention = 12 * time.Second
)

// Member is a member as its directory entry describes it.
type Member struct {
	ID         bbrtype.MemberName
	Group      bbrtype.GroupName
	Address    string
	DataCentre bbrtype.DataCentre
	// Slots is the number of statements that the member executes concurrently.
	Slots    int
	Draining bool
	Role     bbrmessage.Role
	// Born is the start time of the member's process, in Unix milliseconds, 0 if
	// unknown.
	Born int64
}

// entry is a member and the time since which its directory entry is missing, 0 if
// it is present.
type entry struct {
	member       Member
	missingSince bbrtype.Mono
}

// expiredMember is a member whose entry disappeared without a drain and did not
// return within missingGrace.
type expiredMember struct {
	member    Member
	expiredAt bbrtype.Mono
}

// Directory holds the registered members. The zero value is empty.
type Directory struct {
	entries map[bbrtype.MemberName]*entry
	expired map[bbrtype.MemberName]expiredMember
	// readFailedAt is the time of the last failed read of the directory.
	readFailedAt bbrtype.Mono
}

// Put adds a member or replaces its entry.
func (d *Directory) Put(m Member) {
	if d.entries == nil {
		d.entries = map[bbrtype.MemberName]*entry{}
	}
	d.entries[m.ID] = &entry{member: m}
	delete(d.expired, m.ID)
}

// Trouble records that reading the directory failed. No missing entry
// expires until missingGrace after the last failure.
func (d *Directory) Trouble(now bbrtype.Mono) { d.readFailedAt = now }

// Remove records that a member's entry is missing. A draining member is removed at
// once; any other member stays in use for missingGrace.
func (d *Directory) Remove(id bbrtype.MemberName, now bbrtype.Mono) {
	e := d.entries[id]
	if e == nil {
		return
	}
	if e.member.Draining {
		delete(d.entries, id)
		return
	}
	if e.missingSince == 0 {
		e.missingSince = now
	}
}

// Replace takes a complete listing of the directory: it calls Put for all members
// of the listing and Remove for all others.
func (d *Directory) Replace(all []Member, now bbrtype.Mono) {
	seen := map[bbrtype.MemberName]bool{}
	for _, m := range all {
		seen[m.ID] = true
		d.Put(m)
	}
	for id := range d.entries {
		if !seen[id] {
			d.Remove(id, now)
		}
	}
}

// Expire removes members whose entries have been missing for longer than
// missingGrace, and forgets removed members after expiredRetention. It reports
// whether anything changed.
func (d *Directory) Expire(now bbrtype.Mono) bool {
	changed := false
	for id, e := range d.entries {
		if e.missingSince != 0 && now.Sub(e.missingSince) > missingGrace && now.Sub(d.readFailedAt) > missingGrace {
			delete(d.entries, id)
			d.recordExpired(e.member, now)
			changed = true
		}
	}
	for id, m := range d.expired {
		if now.Sub(m.expiredAt) > expiredRetention {
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

// Departed returns the members of a group that were removed without a drain and may
// still be running, ordered by name. A member is left out if another member is
// registered at its address.
func (d *Directory) Departed(g bbrtype.GroupName) []Member {
	addresses := map[string]bool{}
	for _, e := range d.entries {
		addresses[e.member.Address] = true
	}
	var out []Member
	for _, m := range d.expired {
		if m.member.Group == g && !addresses[m.member.Address] {
			out = append(out, m.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Members returns the members of a group that are in use, ordered by name.
func (d *Directory) Members(g bbrtype.GroupName) []Member {
	var out []Member
	for _, e := range d.entries {
		if e.member.Group == g {
			out = append(out, e.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
