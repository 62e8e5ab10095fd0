package bbrplace

import (
	"slices"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// standing is how long members must have had work for every place before new
	// statements are turned away that would be late.
	standing = 300 * time.Millisecond
	// lateIdle is how long no late statement must have been served before those that
	// wait are turned away: members have too much work that can be in time.
	lateIdle = time.Second
)

// Want is what a statement needs.
type Want struct {
	// PrimaryOnly is set for what only the primary can do.
	PrimaryOnly bool
	// Floor is the least log position of a replica.
	Floor bbrmessage.Place
	// Avoid are members that were tried already.
	Avoid []bbrtype.MemberName
	// Only names the one member that will do, empty for any.
	Only     bbrtype.MemberName
	Priority int
	Deadline bbrtype.Mono
	// Due is when the caller should have the answer, 0 if nothing is stated. After
	// it the answer is worth less.
	Due bbrtype.Mono
	// Objective is the time in which the caller should have an answer. Of what can
	// still be in time, what is to be over sooner goes first: it is shorter work, so
	// that more callers are served in time if there is too much.
	Objective time.Duration
}

// Waiter is a statement that asks for a member.
type Waiter struct {
	Want
	// Granted is called once, when the statement has a member.
	Granted func(bbrtype.MemberName)
	// TurnedAway is called once instead if the statement can't be served in time. A
	// statement without it waits.
	TurnedAway func()

	order  uint64
	queued bool
}

// Waiting returns the number of statements that wait.
func (b *Board) Waiting() int { return len(b.waiting) }

// Ask grants a member at once, lets the statement wait, or turns it away.
func (b *Board) Ask(w *Waiter, now bbrtype.Mono) {
	if s := b.pick(&w.Want, now); s != nil {
		s.take(now)
		w.Granted(s.ID)
		return
	}
	if w.TurnedAway != nil && b.isHopeless(w, now) {
		b.noteTurnedAway(&w.Want, now)
		w.TurnedAway()
		return
	}
	b.order++
	w.order = b.order
	w.queued = true
	i, _ := slices.BinarySearchFunc(b.waiting, w, compareWaiters)
	b.waiting = slices.Insert(b.waiting, i, w)
}

// compareWaiters orders by priority, then by objective, then by arrival.
func compareWaiters(a, b *Waiter) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if a.Objective != b.Objective {
		return compare(a.Objective, b.Objective)
	}
	return compare(a.order, b.order)
}

func compare[T time.Duration | uint64](a, b T) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// willBeLate reports whether a statement's answer would come too late if it were
// sent now.
func (b *Board) willBeLate(w *Waiter, now bbrtype.Mono) bool {
	return w.Due != 0 && now.Add(b.quickest(&w.Want, now)) > w.Due
}

// quickest is the least time to an answer among the members that may serve a
// statement.
func (b *Board) quickest(w *Want, now bbrtype.Mono) time.Duration {
	least := time.Duration(0)
	for _, s := range b.seats {
		if s.canServe(w, now) && (least == 0 || s.answer < least) {
			least = s.answer
		}
	}
	return least
}

// Remove takes out a statement that gave up. It returns false if it was granted
// a member or turned away already.
func (b *Board) Remove(w *Waiter) bool {
	if !w.queued {
		return false
	}
	w.queued = false
	b.waiting = slices.DeleteFunc(b.waiting, func(o *Waiter) bool { return o == w })
	return true
}

// Release notes that a statement has left a member.
func (b *Board) Release(id bbrtype.MemberName, now bbrtype.Mono) {
	if s := b.seats[id]; s != nil && s.inUse > 0 {
		s.inUse--
	}
	b.Dispatch(now)
}

// take enters a statement at a member.
func (s *seat) take(now bbrtype.Mono) {
	s.inUse++
	if s.fullFrom == 0 && !s.hasRoom(now) {
		s.fullFrom = now
	}
}

// Dispatch grants members to those that wait, as far as there is room, and turns
// away those that have become late while members have more work than they can do.
func (b *Board) Dispatch(now bbrtype.Mono) {
	d := dispatch{board: b, now: now}
	for priority, rest := 0, b.waiting; len(rest) > 0; {
		priority = rest[0].Priority
		n := slices.IndexFunc(rest, func(w *Waiter) bool { return w.Priority != priority })
		if n < 0 {
			n = len(rest)
		}
		d.serve(rest[:n], false)
		d.serve(rest[:n], true)
		rest = rest[n:]
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(w *Waiter) bool { return !w.queued })
	for _, s := range b.seats {
		if s.hasRoom(now) {
			s.fullFrom = 0
		}
	}
	for _, tell := range d.tell {
		tell()
	}
}

// dispatch is one round of grants.
type dispatch struct {
	board *Board
	now   bbrtype.Mono
	tell  []func()
}

// serve grants members to statements of one priority: those in time, or those
// that are late.
func (d *dispatch) serve(waiting []*Waiter, late bool) {
	for _, w := range waiting {
		if d.board.willBeLate(w, d.now) != late {
			continue
		}
		if s := d.board.pick(&w.Want, d.now); s != nil {
			s.take(d.now)
			if late {
				d.board.lateServedAt = d.now
			}
			w.queued = false
			id := s.ID
			d.tell = append(d.tell, func() { w.Granted(id) })
		} else if w.TurnedAway != nil && (late && d.board.leavesLate(&w.Want, d.now) || d.board.isShut(&w.Want, d.now)) {
			w.queued = false
			d.board.noteTurnedAway(&w.Want, d.now)
			d.tell = append(d.tell, w.TurnedAway)
		}
	}
}

// isOverloaded reports whether every member that may serve a statement has had
// work for all its places for a time. It is false if there is no such member: one
// may come.
func (b *Board) isOverloaded(w *Want, long time.Duration, now bbrtype.Mono) bool {
	found := false
	for _, s := range b.seats {
		if !s.canServe(w, now) {
			continue
		}
		if s.fullFrom == 0 || now.Sub(s.fullFrom) < long {
			return false
		}
		found = true
	}
	return found
}

// leavesLate reports whether members have had so much work that can be in time
// that no late statement was served for a while.
func (b *Board) leavesLate(w *Want, now bbrtype.Mono) bool {
	return now.Sub(b.lateServedAt) > lateIdle && b.isOverloaded(w, lateIdle, now)
}

// isShut reports whether every member that is for a statement has refused all
// connections of this instance for a while. Other instances have some.
func (b *Board) isShut(w *Want, now bbrtype.Mono) bool {
	found := false
	for _, s := range b.seats {
		if !s.isFor(w, now) {
			continue
		}
		if s.open > 0 || s.fulls == 0 || now.Sub(s.refusingFrom) < standing {
			return false
		}
		found = true
	}
	return found
}

// isHopeless reports whether a new statement would not be served in time by
// members that have had too much work for a while.
func (b *Board) isHopeless(w *Waiter, now bbrtype.Mono) bool {
	if b.isShut(&w.Want, now) {
		return true
	}
	if w.Due == 0 || !b.isOverloaded(&w.Want, standing, now) {
		return false
	}
	wait, ok := b.expectedWait(&w.Want, now)
	if !ok {
		return false
	}
	answered := now.Add(wait)
	return answered > w.Deadline || answered > w.Due && b.leavesLate(&w.Want, now)
}

// expectedWait is the time until a new statement's answer, judged by the members'
// answers and those that wait before it. It is false if transactions keep all
// connections: nothing tells when they end.
func (b *Board) expectedWait(w *Want, now bbrtype.Mono) (time.Duration, bool) {
	ahead := 0
	for _, o := range b.waiting {
		if o.Priority < w.Priority || o.Priority == w.Priority && o.Objective <= w.Objective && !b.willBeLate(o, now) {
			ahead++
		}
	}
	perHour, answer := time.Duration(0), time.Duration(0)
	for _, s := range b.seats {
		if s.canServe(w, now) {
			perHour += time.Duration(s.room(now)) * time.Hour / max(s.answer, time.Millisecond)
			answer = max(answer, s.answer)
		}
	}
	if perHour == 0 {
		return 0, false
	}
	return answer + time.Duration(ahead+1)*time.Hour/perHour, true
}

// noteTurnedAway raises the pace at the members that could have served a
// statement.
func (b *Board) noteTurnedAway(w *Want, now bbrtype.Mono) {
	for _, s := range b.seats {
		if s.canServe(w, now) {
			s.pace.turnedAway()
		}
	}
}
