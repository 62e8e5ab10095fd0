package bbrdirectory

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// rewriteTimeout is the time within which a member that runs writes its entry again
	// after the directory was restored, or the directory drops its entry.
	rewriteTimeout = 5 * time.Second
	// restoredRetention is how long Expired returns a member that was removed around a
	// restore. A member that runs may not notice that the directory has lost its entry.
	restoredRetention = time.Minute
	// departedRetention is how long a member that has left is remembered. It exceeds the
	// age of the copies from which a directory is restored.
	departedRetention = time.Minute
)

// departedMember is a member that drained and whose entry was removed.
type departedMember struct {
	member     Member
	departedAt bbrtype.Mono
}

// RecordRestore records that the directory was restored from an older copy.
func (d *Directory) RecordRestore(now bbrtype.Mono) { d.restoredAt = now }

// isOutdated reports whether an entry may come from the copy from which the directory was
// restored, and is older than what is known of its member.
func (d *Directory) isOutdated(m Member, now bbrtype.Mono) bool {
	if d.restoredAt == 0 || now.Sub(d.restoredAt) > rewriteTimeout {
		return false
	}
	if x, ok := d.departed[m.ID]; ok {
		return !m.isNewerThan(x.member)
	}
	e := d.entries[m.ID]
	return e != nil && e.member.isNewerThan(m)
}

// isNewerThan reports whether m was written after o by the same member: by a process that
// started later, or as a later entry of the same process.
func (m Member) isNewerThan(o Member) bool {
	if m.StartedAtMs != o.StartedAtMs {
		return m.StartedAtMs > o.StartedAtMs
	}
	return m.Sequence > o.Sequence
}

// retention is how long Expired returns a removed member.
func (d *Directory) retention(x expiredMember) time.Duration {
	sinceRestore := x.expiredAt.Sub(d.restoredAt)
	if d.restoredAt != 0 && sinceRestore > -expiredRetention && sinceRestore < restoredRetention {
		return restoredRetention
	}
	return expiredRetention
}

// holdBack stores an outdated entry until its member writes it again.
func (d *Directory) holdBack(m Member) {
	if d.heldBack == nil {
		d.heldBack = map[bbrtype.MemberName]Member{}
	}
	d.heldBack[m.ID] = m
}

// releaseHeldBack takes the entries into use that were held back, once rewriteTimeout has
// passed since the restore. It reports whether there were any.
func (d *Directory) releaseHeldBack(now bbrtype.Mono) bool {
	if len(d.heldBack) == 0 || now.Sub(d.restoredAt) <= rewriteTimeout {
		return false
	}
	for _, m := range d.heldBack {
		d.put(m)
	}
	return true
}

// recordDeparted records a member that has left.
func (d *Directory) recordDeparted(m Member, now bbrtype.Mono) {
	if d.departed == nil {
		d.departed = map[bbrtype.MemberName]departedMember{}
	}
	d.departed[m.ID] = departedMember{member: m, departedAt: now}
}

// forgetDeparted drops departed members after departedRetention.
func (d *Directory) forgetDeparted(now bbrtype.Mono) {
	for id, x := range d.departed {
		if now.Sub(x.departedAt) > departedRetention {
			delete(d.departed, id)
		}
	}
}
