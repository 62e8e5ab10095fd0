package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is an entry of a member's log.
type commit struct {
	term, number uint64
	// id is the consumer's request that made it.
	id string
	// appliedAt is when reads of this member see it.
	appliedAt time.Time
}

func (c commit) place() string {
	if c.term == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", c.term, c.number)
}

func (c commit) less(o commit) bool {
	return c.term < o.term || c.term == o.term && c.number < o.number
}

// groupShape is what a group of databases is like.
type groupShape struct {
	name           string
	lag            time.Duration
	promoteTime    time.Duration
	maxConnections int
	slots          int
	// work is how long a read, write or commit takes.
	work time.Duration
}

const (
	// hop is how long a commit travels to a replica.
	hop = time.Millisecond
	// handshake is how long a new connection occupies a slot.
	handshake = 12 * time.Millisecond
	// queueLimit is how many statements wait for a slot at a member.
	queueLimit = 24
	// beat is the interval of the members' heartbeats.
	beat = 1200 * time.Millisecond
)

// group is a primary and its replicas.
type group struct {
	groupShape
	store *store

	mu      sync.Mutex
	changed chan struct{}
	members []*member
	// commits holds the place of each commit by its request.
	commits map[string]commit
	// leaderships are the promotions that have taken effect.
	leaderships []leadership
}

// leadership is a promotion that has taken effect, with the commits in the member's log.
type leadership struct {
	member string
	term   uint64
	at     time.Time
	has    map[string]bool
}

// member is one database.
type member struct {
	group   *group
	id      string
	address string
	zone    string
	slots   chan struct{}
	born    int64

	// What follows is guarded by the group's mu.
	primary  bool
	draining bool
	gone     bool
	term     uint64
	held     uint64
	log      []commit
	conns    int
	waiting  int
	sequence int
}

// newGroup starts a group of three members in the given zones.
func newGroup(t *trial, s *store, shape groupShape, ips, zones []string) *group {
	g := &group{groupShape: shape, store: s, changed: make(chan struct{}), commits: map[string]commit{}}
	for i := range ips {
		g.add(t, ips[i], zones[i%len(zones)])
	}
	g.members[0].primary = true
	for _, m := range g.members {
		// What the databases held before the case.
		m.term, m.log = 1, []commit{{term: 1, number: 1, id: "before"}}
		m.register()
	}
	t.work.Go(func() error {
		for t.running() {
			time.Sleep(hop)
			g.replicate()
		}
		return nil
	})
	t.work.Go(func() error {
		for t.running() {
			time.Sleep(beat)
			for _, m := range g.all() {
				m.register()
			}
		}
		return nil
	})
	return g
}

// add starts a member that is not registered yet.
func (g *group) add(t *trial, ip, zone string) *member {
	l, err := net.Listen("tcp", ip+":0")
	t.must(err)
	m := &member{group: g, id: fmt.Sprintf("i-%s-%02d", g.name, 60-len(g.members)), address: l.Addr().String(), zone: zone, slots: make(chan struct{}, g.slots), born: time.Now().UnixMilli()}
	g.members = append(g.members, m)
	t.work.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			t.work.Go(func() error {
				(&dbSession{trial: t, member: m, conn: c, prepared: map[string]string{}}).run()
				return nil
			})
		}
	})
	return m
}

func (g *group) all() []*member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*member(nil), g.members...)
}

// register writes the member's entry.
func (m *member) register() {
	g := m.group
	g.mu.Lock()
	if m.gone {
		g.mu.Unlock()
		return
	}
	m.sequence++
	role, state := "replica", "ready"
	if m.primary {
		role = "primary"
	}
	if m.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": g.name, "address": m.address, "zone": m.zone, "version": "v1", "slots": g.slots,
		"state": state, "cold_left_ms": 0, "db_role": role, "sequence": m.sequence, "born": m.born,
	}
	g.mu.Unlock()
	g.store.put("servers", m.id, entry)
}

// drain lets the primary say that it is about to leave.
func (g *group) drain(t *trial) { g.drainMember(t, g.leader()) }

// drainMember lets a member say that it is about to leave.
func (g *group) drainMember(t *trial, m *member) {
	g.mu.Lock()
	role := "a replica"
	if m.primary {
		role = "the primary"
	}
	m.draining = true
	g.mu.Unlock()
	m.register()
	t.note("member %s, %s of %s, says that it is draining", m.id, role, g.name)
}

// leader returns the primary of the newest term.
func (g *group) leader() *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaderLocked()
}

func (g *group) leaderLocked() *member {
	var best *member
	for _, m := range g.members {
		if m.primary && !m.gone && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

func (m *member) last() commit {
	if len(m.log) == 0 {
		return commit{}
	}
	return m.log[len(m.log)-1]
}

// applied returns the newest commit that reads of the member see.
func (m *member) applied() commit {
	now := time.Now()
	for i := len(m.log) - 1; i >= 0; i-- {
		if m.primary || !m.log[i].appliedAt.After(now) {
			return m.log[i]
		}
	}
	return commit{}
}

// replicate sends the logs of primaries to the replicas that receive from them. A replica
// follows the primary of the newest term; one that is paused receives nothing.
func (g *group) replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.leaderLocked()
	if p == nil {
		return
	}
	now := time.Now()
	for _, m := range g.members {
		if m == p || m.gone || m.held > p.term {
			continue
		}
		if m.primary {
			// An older primary follows a newer one a second after it can reach it.
			continue
		}
		m.term, m.held = p.term, 0
		same := 0
		for same < len(m.log) && same < len(p.log) && m.log[same].place() == p.log[same].place() {
			same++
		}
		m.log = m.log[:same]
		for _, c := range p.log[same:] {
			c.appliedAt = now.Add(g.lag)
			m.log = append(m.log, c)
		}
	}
	g.wake()
}

func (g *group) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// promote lets a member lead the next term after the group's promoteTime.
func (g *group) promote(t *trial, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.id != id || m.gone {
			continue
		}
		if m == g.leaderLocked() {
			return true
		}
		t.work.Go(func() error {
			time.Sleep(g.promoteTime)
			g.lead(t, m)
			return nil
		})
		return true
	}
	return false
}

func (g *group) lead(t *trial, m *member) {
	g.mu.Lock()
	term := uint64(0)
	for _, o := range g.members {
		term = max(term, o.term)
	}
	for _, o := range g.members {
		if o.held <= term+1 {
			o.held = 0
		}
	}
	old := g.leaderLocked()
	m.primary, m.term, m.held = true, term+1, 0
	p := leadership{member: m.id, term: term + 1, at: time.Now(), has: map[string]bool{}}
	for _, c := range m.log {
		p.has[c.id] = true
	}
	g.leaderships = append(g.leaderships, p)
	g.mu.Unlock()
	t.note("member %s leads %s in term %d with log %s", m.id, g.name, term+1, m.last().place())
	m.register()
	if old != nil && old != m {
		t.work.Go(func() error {
			time.Sleep(time.Second)
			g.mu.Lock()
			defer g.mu.Unlock()
			if old.primary && old.term < m.term {
				old.primary = false
			}
			return nil
		})
	}
}

// dbSession is a connection to a member.
type dbSession struct {
	trial    *trial
	member   *member
	conn     net.Conn
	inTx     bool
	failed   bool
	readOnly bool
	wrote    []string
	term     uint64
	prepared map[string]string
}

func (s *dbSession) run() {
	m, g := s.member, s.member.group
	defer func() { _ = s.conn.Close() }()
	r := bufio.NewReader(s.conn)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != g.name || len(f) > 3 && f[3] != m.id {
		_, _ = fmt.Fprintf(s.conn, "ERROR WRONGNODE %s\r\n", m.id)
		return
	}
	g.mu.Lock()
	full := m.conns >= g.maxConnections
	if !full {
		m.conns++
	}
	g.mu.Unlock()
	if full {
		_, _ = fmt.Fprintf(s.conn, "ERROR MAXCONN %s\r\n", m.id)
		return
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		m.conns--
	}()
	m.slots <- struct{}{}
	time.Sleep(handshake)
	<-m.slots
	if !s.send("") {
		return
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		s.trial.arrived(f[1])
		if !s.send(s.query(f[1], strings.Fields(f[2]))) {
			return
		}
	}
}

// send writes an answer and the state.
func (s *dbSession) send(answer string) bool {
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.inTx:
		state = "T"
	}
	s.member.group.mu.Lock()
	place := s.member.applied().place()
	s.member.group.mu.Unlock()
	if answer != "" {
		answer += "\r\n"
	}
	_, err := fmt.Fprintf(s.conn, "%sREADY %s %s\r\n", answer, state, place)
	return err == nil
}

// slot occupies a slot while f runs. It returns BUSY if too many statements wait.
func (s *dbSession) slot(work time.Duration, f func() string) string {
	m, g := s.member, s.member.group
	g.mu.Lock()
	if m.waiting >= queueLimit {
		g.mu.Unlock()
		return "ERROR BUSY -"
	}
	m.waiting++
	g.mu.Unlock()
	m.slots <- struct{}{}
	g.mu.Lock()
	m.waiting--
	g.mu.Unlock()
	defer func() { <-m.slots }()
	time.Sleep(work)
	return f()
}

// slotThen occupies a slot for the work, and then runs f without one: a commit that waits
// for a replica occupies none.
func (s *dbSession) slotThen(work time.Duration, f func() string) string {
	if answer := s.slot(work, func() string { return "" }); answer != "" {
		return answer
	}
	return f()
}

func (s *dbSession) query(id string, f []string) string {
	m, g := s.member, s.member.group
	if s.failed && f[0] != "ROLLBACK" && f[0] != "COMMIT" {
		return "ERROR MALFORMED -"
	}
	if f[0] == "AFTER" && len(f) > 2 {
		g.mu.Lock()
		term, number, _ := strings.Cut(f[1], ".")
		t, _ := strconv.ParseUint(term, 10, 64)
		n, _ := strconv.ParseUint(number, 10, 64)
		lacks := m.applied().less(commit{term: t, number: n})
		g.mu.Unlock()
		if lacks {
			return "ERROR LAGGING -"
		}
		f = f[2:]
	}
	switch f[0] {
	case "BEGIN":
		readOnly := len(f) > 1 && f[1] == "READ"
		g.mu.Lock()
		primary, term := m.primary, m.term
		g.mu.Unlock()
		if !readOnly && !primary {
			return "ERROR READONLY " + m.id
		}
		s.inTx, s.readOnly, s.wrote, s.term = true, readOnly, nil, term
		return "COMPLETE -"
	case "READ":
		return s.slot(g.work, func() string { return s.read(id) })
	case "WRITE":
		return s.slotThen(g.work, func() string { return s.write(id) })
	case "COMMIT":
		return s.slotThen(g.work, func() string { return s.commit(id) })
	case "ROLLBACK":
		s.inTx, s.failed, s.wrote = false, false, nil
		return "COMPLETE -"
	case "SET", "DEALLOC", "RESET", "PREPARE":
		return "COMPLETE -"
	}
	return s.slot(0, func() string { return s.control(f) })
}

func (s *dbSession) signed(id string) string { return "COMPLETE sig." + s.member.id + "." + id }

// lost reports whether a plain transaction's member has lost the lead. The caller holds mu.
func (s *dbSession) lost() bool {
	return s.inTx && !s.readOnly && (!s.member.primary || s.member.term != s.term)
}

func (s *dbSession) read(id string) string {
	g := s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.lost() {
		s.failed = true
		return "ERROR READONLY " + s.member.id
	}
	at := s.member.applied()
	s.trial.ran(id, s.member.id, at)
	return "ROW at" + at.place() + "\r\n" + s.signed(id)
}

func (s *dbSession) write(id string) string {
	g := s.member.group
	g.mu.Lock()
	if !s.member.primary || s.lost() {
		s.failed = s.inTx
		g.mu.Unlock()
		return "ERROR READONLY " + s.member.id
	}
	if s.inTx {
		s.wrote = append(s.wrote, id)
		s.trial.ran(id, s.member.id, s.member.last())
		g.mu.Unlock()
		return s.signed(id)
	}
	return s.confirm(id)
}

func (s *dbSession) commit(id string) string {
	g := s.member.group
	wrote := len(s.wrote) > 0
	g.mu.Lock()
	failed := s.failed || wrote && s.lost()
	s.inTx, s.failed, s.wrote = false, false, nil
	switch {
	case failed:
		g.mu.Unlock()
		return "ERROR READONLY " + s.member.id
	case !wrote:
		s.trial.ran(id, s.member.id, s.member.applied())
		g.mu.Unlock()
		return s.signed(id)
	}
	return s.confirm(id)
}

// confirm commits, and waits until a replica has received the commit. The caller holds the
// group's mu, which confirm releases.
func (s *dbSession) confirm(id string) string {
	m, g := s.member, s.member.group
	c := commit{term: m.term, number: m.last().number + 1, id: id, appliedAt: time.Now()}
	m.log = append(m.log, c)
	g.commits[id] = c
	s.trial.ran(id, m.id, c)
	for {
		for _, o := range g.members {
			if o != m && !o.gone && !o.last().less(c) && o.term == c.term {
				g.mu.Unlock()
				return s.signed(id)
			}
		}
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-s.trial.ended:
			return "ERROR TIMEOUT -"
		}
		g.mu.Lock()
	}
}

// control serves the words that steer replication.
func (s *dbSession) control(f []string) string {
	m, g := s.member, s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	term := uint64(0)
	if len(f) > 1 {
		term, _ = strconv.ParseUint(f[1], 10, 64)
	}
	switch f[0] {
	case "STATUS":
	case "PAUSE":
		if term > m.term && !m.primary {
			m.held = max(m.held, term)
		}
	case "RESUME":
		m.held = 0
	case "STEPDOWN":
		if m.primary && m.term < term {
			m.primary = false
			s.trial.note("member %s steps down", m.id)
		}
	default:
		return "ERROR MALFORMED -"
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 %d %d\r\nCOMPLETE -", role, m.term, m.last().place(), m.held, len(m.slots), m.conns)
}

// addReplica starts a replica that joins the group while it serves.
func (g *group) addReplica(t *trial, zone string) *member {
	ip := t.loopbackIPs(1)[0]
	g.mu.Lock()
	m := g.add(t, ip, zone)
	g.mu.Unlock()
	m.register()
	return m
}
