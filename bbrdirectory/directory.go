// Package bbrdirectory keeps the members that registered themselves in a
// directory. The package is pure: it reads no clock and does no input or output.
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
	// returnGrace is how long an entry that vanished may take to come back. The
	// directory may have been away without this instance having noticed.
	returnGrace = 2500 * time.Millisecond
	// departedTime is how long a member whose entry vanished without a drain may
	// still be at work, cut off from the directory.
	departedTime = 12 * time.Second
)

// Member is a member as its entry describes it.
type Member struct {
	ID         bbrtype.MemberName
	Group      bbrtype.GroupName
	Address    string
	DataCentre bbrtype.DataCentre
	// Slots is the number of statements that it works on at once.
	Slots    int
	Draining bool
	Role     bbrmessage.Role
	// Born is the start of the process, in Unix milliseconds, 0 if unknown.
	Born int64
}

// entry is a member with the time since which its entry is missing.
type entry struct {
	member  Member
	missing bbrtype.Mono
}

// departed is a member whose entry vanished without a drain.
type departed struct {
	member Member
	at     bbrtype.Mono
}

// Directory holds the members known. The zero value is empty.
type Directory struct {
	entries  map[bbrtype.MemberName]*entry
	departed map[bbrtype.MemberName]departed
	// trouble is the last time at which the directory could not be read.
	trouble bbrtype.Mono
}

// Put enters a member or replaces its entry.
func (d *Directory) Put(m Member) {
	if d.entries == nil {
		d.entries = map[bbrtype.MemberName]*entry{}
	}
	d.entries[m.ID] = &entry{member: m}
	delete(d.departed, m.ID)
}

// Trouble notes that the directory could not be read at a time.
func (d *Directory) Trouble(now bbrtype.Mono) { d.trouble = now }

// Remove notes that an entry is gone. Unless it was draining, the member stays in
// use until returnGrace has passed.
func (d *Directory) Remove(id bbrtype.MemberName, now bbrtype.Mono) {
	e := d.entries[id]
	if e == nil {
		return
	}
	if e.member.Draining {
		delete(d.entries, id)
		return
	}
	if e.missing == 0 {
		e.missing = now
	}
}

// Replace enters all members of a whole reading; entries that it lacks are
// removed.
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

// Expire drops entries whose time to come back is over. It reports whether
// anything changed.
func (d *Directory) Expire(now bbrtype.Mono) bool {
	dropped := false
	for id, e := range d.entries {
		if e.missing != 0 && now.Sub(e.missing) > returnGrace && now.Sub(d.trouble) > returnGrace {
			delete(d.entries, id)
			d.depart(e.member, now)
			dropped = true
		}
	}
	for id, m := range d.departed {
		if now.Sub(m.at) > departedTime {
			delete(d.departed, id)
			dropped = true
		}
	}
	return dropped
}

// depart notes a member that may still be at work.
func (d *Directory) depart(m Member, now bbrtype.Mono) {
	if d.departed == nil {
		d.departed = map[bbrtype.MemberName]departed{}
	}
	d.departed[m.ID] = departed{member: m, at: now}
}

// Departed returns the members of a group that may still be at work although
// their entries are gone. One whose address another member has taken is not.
func (d *Directory) Departed(g bbrtype.GroupName) []Member {
	taken := map[string]bool{}
	for _, e := range d.entries {
		taken[e.member.Address] = true
	}
	var out []Member
	for _, m := range d.departed {
		if m.member.Group == g && !taken[m.member.Address] {
			out = append(out, m.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Members returns the members of a group, ordered by name.
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
