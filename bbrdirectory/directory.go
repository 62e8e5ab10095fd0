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

// returnGrace is how long an entry that vanished around an outage of the
// directory may take to come back.
const returnGrace = 2500 * time.Millisecond

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

// Directory holds the members known. The zero value is empty.
type Directory struct {
	entries map[bbrtype.MemberName]*entry
	// trouble is the last time at which the directory could not be read.
	trouble bbrtype.Mono
}

// Put enters a member or replaces its entry.
func (d *Directory) Put(m Member) {
	if d.entries == nil {
		d.entries = map[bbrtype.MemberName]*entry{}
	}
	d.entries[m.ID] = &entry{member: m}
}

// Trouble notes that the directory could not be read at a time.
func (d *Directory) Trouble(now bbrtype.Mono) { d.trouble = now }

// Remove notes that an entry is gone. Around an outage the member stays in use
// until returnGrace has passed.
func (d *Directory) Remove(id bbrtype.MemberName, now bbrtype.Mono) {
	e := d.entries[id]
	if e == nil {
		return
	}
	if d.trouble == 0 || now.Sub(d.trouble) > returnGrace {
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

// Expire drops entries whose time to come back is over. It reports whether any
// was dropped.
func (d *Directory) Expire(now bbrtype.Mono) bool {
	dropped := false
	for id, e := range d.entries {
		if e.missing != 0 && now.Sub(e.missing) > returnGrace && now.Sub(d.trouble) > returnGrace {
			delete(d.entries, id)
			dropped = true
		}
	}
	return dropped
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
