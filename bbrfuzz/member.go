package bbrfuzz

import (
	"fmt"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrrequest"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// entry is one committed transaction of a member.
type entry struct {
	position bbrtype.Position
	history  bbrtype.History
	at       time.Duration
	// write is the request that ran, 0 for a transaction of the system's own.
	write int
	// key is the request key that the transaction wrote, with its row.
	key string
	row bbrrequest.Row
}

// fork is the start of a history.
type fork struct {
	history bbrtype.History
	start   bbrtype.Position
}

// fakeMember is the fake of a database.
type fakeMember struct {
	w     *World
	group bbrtype.GroupName
	name  bbrtype.MemberName
	// end is the member's end of links.
	end     string
	up      bool
	primary bool
	log     []entry
	// shown is the number of entries that reads see.
	shown   int
	lineage []fork
	term    bbrtype.Term
	follows *fakeMember
	lag     time.Duration
	// epoch grows when the member restarts or rewinds: connections break.
	epoch int
}

// fakeGroup is the fake of a database group.
type fakeGroup struct {
	name    bbrtype.GroupName
	members map[bbrtype.MemberName]*fakeMember
	order   []bbrtype.MemberName
}

// addGroup makes a group whose first member is the primary.
func (w *World) addGroup(name bbrtype.GroupName) {
	g := &fakeGroup{name: name, members: map[bbrtype.MemberName]*fakeMember{}}
	w.groups[name] = g
	for n := range w.opts.Members {
		m := &fakeMember{
			w: w, group: name, name: bbrtype.MemberName(fmt.Sprintf("m%d", n+1)), up: true, primary: n == 0,
			lineage: []fork{{history: 1}},
		}
		m.end = string(name) + "/" + string(m.name)
		if n > 0 {
			m.follows = g.members["m1"]
		}
		g.members[m.name] = m
		g.order = append(g.order, m.name)
		m.replicate()
	}
}

func (m *fakeMember) position() bbrtype.Position {
	if len(m.log) == 0 {
		return 0
	}
	return m.log[len(m.log)-1].position
}

// state is what the member reports.
func (m *fakeMember) state() bbrmember.State {
	st := bbrmember.State{Primary: m.primary, Received: m.position(), History: m.lineage[len(m.lineage)-1].history}
	if m.primary {
		m.shown = len(m.log)
	}
	if m.shown > 0 {
		st.Position = m.log[m.shown-1].position
	}
	return st
}

// commit appends a transaction on a primary.
func (m *fakeMember) commit(e entry) bool {
	if !m.primary || !m.up {
		return false
	}
	e.position = m.position() + 8
	e.history = m.lineage[len(m.lineage)-1].history
	e.at = m.w.now
	m.log = append(m.log, e)
	m.shown = len(m.log)
	return true
}

// row returns the present row of a request key.
func (m *fakeMember) row(key string) (bbrrequest.Row, bool) {
	for i := len(m.log) - 1; i >= 0; i-- {
		if m.log[i].key == key {
			r := m.log[i].row
			r.Age = m.w.now - m.log[i].at
			return r, true
		}
	}
	return bbrrequest.Row{}, false
}

// has reports how often a request is in the log, within what reads see if asked.
func (m *fakeMember) has(write int, onlyShown bool) int {
	n := 0
	end := len(m.log)
	if onlyShown {
		end = m.shown
	}
	for i := range end {
		if m.log[i].write == write {
			n++
		}
	}
	return n
}

// promote orders a promotion.
func (m *fakeMember) promote(term bbrtype.Term) bool {
	if m.primary || (!m.w.opts.Termless && term <= m.term) {
		return false
	}
	h := m.lineage[len(m.lineage)-1].history + 1
	if !m.w.opts.Termless {
		m.term = term
		h = max(h, bbrtype.History(term))
	}
	m.primary = true
	m.follows = nil
	m.shown = len(m.log)
	m.lineage = append(m.lineage, fork{history: h, start: m.position()})
	m.w.note("%s promoted for term %d at %s, history %d", m.end, term, m.position(), h)
	return true
}

// follow orders a member to follow another one.
func (m *fakeMember) follow(target *fakeMember, term bbrtype.Term) bool {
	if m.w.opts.Termless {
		if m.primary {
			return false
		}
	} else if term < m.term || (term == m.term && m.primary) {
		return false
	}
	m.term = max(m.term, term)
	if m.primary {
		m.primary = false
		m.epoch++
	}
	m.follows = target
	m.w.note("%s follows %s", m.end, target.end)
	return true
}

// replicate copies what the followed member has, again and again.
func (m *fakeMember) replicate() {
	defer m.w.after(replicateStep+time.Duration(m.w.r.Int64N(int64(replicateStep))), m.replicate)
	if !m.up || m.primary {
		return
	}
	p := m.follows
	if p != nil && p.up && p != m && !m.w.isCut(p.end, m.end) {
		m.rewind(p)
		m.log = append(m.log, p.log[len(m.log):]...)
		m.lineage = append([]fork(nil), p.lineage...)
	}
	for m.shown < len(m.log) && m.w.now-m.log[m.shown].at >= m.lag {
		m.shown++
	}
}

// rewind drops entries that the followed member does not have.
func (m *fakeMember) rewind(p *fakeMember) {
	common := 0
	for common < len(m.log) && common < len(p.log) && m.log[common] == p.log[common] {
		common++
	}
	if common < len(m.log) {
		m.w.note("%s discards %d entries", m.end, len(m.log)-common)
		m.log = m.log[:common:common]
		m.shown = min(m.shown, common)
		m.epoch++
	}
}
