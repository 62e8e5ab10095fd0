package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// beat is the time between two entries of a member.
	beat = 1200 * time.Millisecond
	// slots is how many statements a member works on, connectionCap how many connections it
	// accepts, workTime how long a statement takes.
	slots         = 3
	connectionCap = 23
	workTime      = 6 * time.Millisecond
	// promoteTime is how long a promotion takes, lag how far replicas are behind.
	promoteTime = 600 * time.Millisecond
	lag         = 60 * time.Millisecond
	// followAfter is how long an old primary goes on that reaches the new one.
	followAfter = time.Second
)

// commit is an entry of a log.
type commit struct {
	term, number int
	item, data   string
	at           time.Time
}

func (c commit) place() string {
	if c.term == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", c.term, c.number)
}

// member is a member of the service.
type member struct {
	world    *world
	id, zone string
	listener net.Listener
	born     int64
	slots    chan struct{}

	// The rest is guarded by the world's mu.
	isPrimary, isDraining, isGone bool
	term, paused, sequence        int
	log                           []commit
	conns                         map[net.Conn]bool
}

// serviceNames are the services of a deployment.
var serviceNames = []string{"dele69a", "xano55b", "gowu98c"}

// platform is the platform of a deployment, with its services.
type platform struct {
	store    *store
	promoter *promoter
	services []*world
}

// newPlatform starts a platform with three members for each of some services, and puts a manifest
// with their routes in force.
func newPlatform(r *record, services int) (*platform, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	p := &platform{store: s}
	if p.promoter, err = newPromoter(r, p); err != nil {
		return nil, err
	}
	for _, name := range serviceNames[:services] {
		w, err := newWorld(r, s, name)
		if err != nil {
			return nil, err
		}
		p.services = append(p.services, w)
	}
	return p, s.put("op", "config", manifest(3, serviceNames[:services]))
}

func (p *platform) close() {
	for _, w := range p.services {
		w.close()
	}
	p.promoter.close()
	p.store.close()
}

// service returns the service of a name, nil if there is none.
func (p *platform) service(name string) *world {
	for _, w := range p.services {
		if w.name == name {
			return w
		}
	}
	return nil
}

// world is a service of members.
type world struct {
	name   string
	record *record
	store  *store
	work   errgroup.Group
	// rowsOf returns the rows of a read of an item, nil for the item's value.
	rowsOf func(item string) []string

	mu        sync.Mutex
	members   []*member
	changed   chan struct{}
	signature int
	started   int
	isClosed  bool
}

func newWorld(r *record, s *store, name string) (*world, error) {
	w := &world{name: name, record: r, store: s, changed: make(chan struct{})}
	for range 3 {
		if _, err := w.addMember(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// zones are those of the members, by turns.
var zones = []string{"nottingham-depot", "derby-works", "leicester-hub"}

// addMember starts a member with the primary's log. The first one is the primary.
func (w *world) addMember() (*member, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.started++
	id, zone := fmt.Sprintf("i-%s-%03d", w.name, w.started), zones[w.started%len(zones)]
	w.mu.Unlock()
	m := &member{world: w, id: id, zone: zone, listener: l, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), conns: map[net.Conn]bool{}}
	w.mu.Lock()
	if p := w.leader(); p != nil {
		m.term, m.log = p.term, append([]commit(nil), p.log...)
	} else {
		m.isPrimary, m.term = true, 1
	}
	w.members = append(w.members, m)
	w.mu.Unlock()
	w.work.Go(m.accept)
	if err := m.register(); err != nil {
		return nil, err
	}
	w.work.Go(func() error {
		for {
			time.Sleep(beat)
			w.mu.Lock()
			isOver := w.isClosed || m.isGone
			w.mu.Unlock()
			if isOver {
				return nil
			}
			_ = m.register()
		}
	})
	return m, nil
}

// register writes the member's entry.
func (m *member) register() error {
	m.world.mu.Lock()
	m.sequence++
	role, state := "replica", "ready"
	if m.isPrimary {
		role = "primary"
	}
	if m.isDraining {
		state = "draining"
	}
	entry := map[string]any{
		"service": m.world.name, "address": m.listener.Addr().String(), "zone": m.zone, "version": "1", "slots": slots,
		"state": state, "cold_left_ms": 0, "sequence": m.sequence, "db_role": role, "born": m.born,
	}
	m.world.mu.Unlock()
	return m.world.store.put("servers", m.id, entry)
}

// leader returns the member that leads the newest term. The caller holds mu.
func (w *world) leader() *member {
	var best *member
	for _, m := range w.members {
		if m.isPrimary && !m.isGone && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// wake lets all that wait look again. The caller holds mu.
func (w *world) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) close() {
	w.mu.Lock()
	w.isClosed = true
	for _, m := range w.members {
		_ = m.listener.Close()
		for c := range m.conns {
			_ = c.Close()
		}
	}
	w.wake()
	w.mu.Unlock()
	_ = w.work.Wait()
}

// promote lets a member lead the next term, promoteTime after it was ordered.
func (w *world) promote(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var m *member
	for _, o := range w.members {
		if o.id == id && !o.isGone {
			m = o
		}
	}
	if m == nil {
		return false
	}
	if m == w.leader() {
		return true
	}
	w.work.Go(func() error {
		time.Sleep(promoteTime)
		w.lead(m)
		return m.register()
	})
	return true
}

func (w *world) lead(m *member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.leader()
	term := 0
	for _, o := range w.members {
		term = max(term, o.term)
	}
	m.isPrimary, m.term, m.paused = true, term+1, 0
	w.record.add("%s leads term %d, its log ends at %s", m.id, m.term, m.last().place())
	for _, o := range w.members {
		if o != m && !o.isPrimary {
			o.follow(m)
		}
	}
	if old != nil && old != m {
		w.work.Go(func() error {
			time.Sleep(followAfter)
			w.mu.Lock()
			defer w.mu.Unlock()
			old.stepDown()
			return nil
		})
	}
	w.wake()
}

// follow lets a member receive from a newer primary. The caller holds mu.
func (m *member) follow(p *member) {
	m.term, m.paused, m.log = p.term, 0, append([]commit(nil), p.log...)
}

// stepDown makes a primary a replica. The caller holds mu.
func (m *member) stepDown() {
	if p := m.world.leader(); m.isPrimary && p != m {
		m.isPrimary = false
		m.follow(p)
	}
}

func (m *member) last() commit {
	if len(m.log) == 0 {
		return commit{}
	}
	return m.log[len(m.log)-1]
}

// add appends a commit to a primary's log and to those of its replicas. It reports whether one
// has received it. The caller holds mu.
func (m *member) add(item, data string) bool {
	m.log = append(m.log, commit{term: m.term, number: m.last().number + 1, item: item, data: data, at: time.Now()})
	isReceived := false
	for _, o := range m.world.members {
		if o != m && !o.isGone && !o.isPrimary && o.paused == 0 && o.term == m.term {
			o.log = append([]commit(nil), m.log...)
			isReceived = true
		}
	}
	return isReceived
}

// applied returns how much of the log reads see. The caller holds mu.
func (m *member) applied() []commit {
	n := len(m.log)
	for !m.isPrimary && n > 0 && time.Since(m.log[n-1].at) < lag {
		n--
	}
	return m.log[:n]
}

func (m *member) accept() error {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return nil
		}
		m.world.mu.Lock()
		m.conns[c] = true
		m.world.mu.Unlock()
		m.world.work.Go(func() error {
			(&session{member: m, conn: c, state: "I", prepared: map[string][]string{}}).run()
			m.world.mu.Lock()
			delete(m.conns, c)
			m.world.mu.Unlock()
			return c.Close()
		})
	}
}

// session is a connection to a member.
type session struct {
	member   *member
	conn     net.Conn
	out      *bufio.Writer
	state    string
	readOnly bool
	writes   [][2]string
	prepared map[string][]string
}

func (s *session) run() {
	in := bufio.NewReader(s.conn)
	s.out = bufio.NewWriterSize(s.conn, 64<<10)
	for {
		line, err := in.ReadString('\n')
		if err != nil || !strings.HasSuffix(line, "\r\n") {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "STARTUP":
			if !s.start(rest) {
				_ = s.out.Flush()
				return
			}
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			s.query(id, text)
		default:
			return
		}
		if s.out.Flush() != nil {
			return
		}
	}
}

func (s *session) start(rest string) bool {
	m := s.member
	f := append(strings.Split(rest, " "), "", "")
	m.world.mu.Lock()
	n := len(m.conns)
	m.world.mu.Unlock()
	switch {
	case f[0] != m.world.name || f[2] != "" && f[2] != m.id:
		_, _ = fmt.Fprintf(s.out, "ERROR WRONGNODE %s\r\n", m.id)
		return false
	case n > connectionCap:
		_, _ = fmt.Fprintf(s.out, "ERROR MAXCONN %s\r\n", m.id)
		return false
	}
	time.Sleep(12 * time.Millisecond)
	s.ready()
	return true
}

func (s *session) ready() {
	s.member.world.mu.Lock()
	place := s.member.last().place()
	s.member.world.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "READY %s %s\r\n", s.state, place)
}

// query runs a statement and answers it.
func (s *session) query(id, text string) {
	m, w := s.member, s.member.world
	if id != "-" {
		w.record.add("%s received %s %s", m.id, id, text)
	}
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	rows, answer := s.answer(text, after)
	for _, r := range rows {
		_, _ = fmt.Fprintf(s.out, "ROW %s\r\n", r)
	}
	if s.state == "T" && strings.HasPrefix(answer, "ERROR") {
		s.state, s.writes = "E", nil
	}
	_, _ = fmt.Fprintf(s.out, "%s\r\n", answer)
	s.ready()
}

// lacks reports whether the log lacks a position.
func (s *session) lacks(after string) bool {
	if after == "" || after == "-" {
		return false
	}
	s.member.world.mu.Lock()
	defer s.member.world.mu.Unlock()
	for _, c := range s.member.applied() {
		if c.place() == after {
			return false
		}
	}
	return true
}

func (s *session) answer(text, after string) (rows []string, answer string) {
	word, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return nil, "ERROR MALFORMED -"
	}
	if s.lacks(after) {
		return nil, "ERROR LAGGING -"
	}
	switch word {
	case "BEGIN":
		if rest != "READ" && !s.leads() {
			return nil, "ERROR READONLY " + s.member.id
		}
		s.state, s.readOnly, s.writes = "T", rest == "READ", nil
		return nil, "COMPLETE -"
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return nil, "COMPLETE -"
	case "SET", "DEALLOC":
		return nil, "COMPLETE -"
	case "RESET":
		s.prepared = map[string][]string{}
		return nil, "COMPLETE -"
	case "PREPARE":
		f := append(strings.SplitN(rest, " ", 3), "", "")
		s.prepared[f[0]] = f[1:3]
		return nil, "COMPLETE -"
	case "EXECUTE":
		f := append(strings.SplitN(rest, " ", 2), "")
		p := s.prepared[f[0]]
		if p == nil {
			return nil, "ERROR NOSTMT " + f[0]
		}
		word, rest = p[0], f[1]
	}
	switch word {
	case "READ", "WRITE", "COMMIT":
		s.member.slots <- struct{}{}
		defer func() { <-s.member.slots }()
		time.Sleep(workTime)
	}
	switch word {
	case "READ":
		return s.read(rest)
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		return nil, s.write([2]string{item, data})
	case "COMMIT":
		writes, state := s.writes, s.state
		s.state, s.writes = "I", nil
		switch {
		case state == "E":
			return nil, "ERROR ABORTED -"
		case len(writes) == 0:
			return nil, s.signed()
		}
		return nil, s.confirm(writes)
	}
	return s.control(word, rest)
}

func (s *session) leads() bool {
	s.member.world.mu.Lock()
	defer s.member.world.mu.Unlock()
	return s.member.isPrimary
}

func (s *session) signed() string {
	w := s.member.world
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signature++
	return fmt.Sprintf("COMPLETE %d.%s", w.signature, s.member.id)
}

func (s *session) read(item string) (rows []string, answer string) {
	w := s.member.world
	if w.rowsOf != nil {
		rows = w.rowsOf(item)
	}
	if rows == nil {
		w.mu.Lock()
		log := s.member.applied()
		data := "-"
		for _, c := range log {
			if c.item == item {
				data = c.data
			}
		}
		w.mu.Unlock()
		for _, p := range s.writes {
			if p[0] == item {
				data = p[1]
			}
		}
		rows = []string{data}
	}
	return rows, s.signed()
}

func (s *session) write(p [2]string) string {
	switch {
	case !s.leads() || s.state == "T" && s.readOnly:
		return "ERROR READONLY " + s.member.id
	case s.state == "T":
		s.writes = append(s.writes, p)
		return s.signed()
	}
	return s.confirm([][2]string{p})
}

// confirm commits, and answers once a replica has received it.
func (s *session) confirm(writes [][2]string) string {
	m, w := s.member, s.member.world
	w.mu.Lock()
	if !m.isPrimary {
		w.mu.Unlock()
		return "ERROR READONLY " + m.id
	}
	isReceived := false
	for _, p := range writes {
		isReceived = m.add(p[0], p[1])
	}
	mine := m.last()
	for !isReceived {
		changed := w.changed
		w.mu.Unlock()
		<-changed
		w.mu.Lock()
		if w.isClosed || !m.isPrimary {
			w.mu.Unlock()
			return "ERROR TIMEOUT -"
		}
		for _, o := range w.members {
			if o != m && !o.isGone && !o.isPrimary && o.paused == 0 && o.term == m.term {
				o.log = append([]commit(nil), m.log...)
			}
			for _, c := range o.log {
				isReceived = isReceived || o != m && c.place() == mine.place()
			}
		}
	}
	w.mu.Unlock()
	return s.signed()
}

// control runs a statement that steers replication.
func (s *session) control(word, rest string) (rows []string, answer string) {
	m, w := s.member, s.member.world
	w.mu.Lock()
	defer w.mu.Unlock()
	term, _ := strconv.Atoi(rest)
	switch word {
	case "PAUSE":
		if term <= m.term {
			return nil, "ERROR FAILED an old term"
		}
		if !m.isPrimary {
			m.paused = term
		}
	case "RESUME":
		m.paused = 0
		w.wake()
	case "STEPDOWN":
		if m.isPrimary && m.term < term {
			if p := w.leader(); p != m {
				m.stepDown()
			} else {
				m.isPrimary = false
			}
			w.wake()
		}
	case "STATUS":
	default:
		return nil, "ERROR MALFORMED -"
	}
	role := "replica"
	if m.isPrimary {
		role = "primary"
	}
	return []string{fmt.Sprintf("%s %d %s %d 0 %d %d", role, m.term, m.last().place(), m.paused, len(m.slots), len(m.conns))}, "COMPLETE -"
}

// promoter is the platform's call for a promotion.
type promoter struct {
	record   *record
	platform *platform
	address  string
	server   *http.Server
	work     errgroup.Group
}

func newPromoter(r *record, of *platform) (*promoter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &promoter{record: r, platform: of, address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.serve)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	p.work.Go(func() error {
		_ = p.server.Serve(l)
		return nil
	})
	return p, nil
}

func (p *promoter) close() {
	_ = p.server.Close()
	_ = p.work.Wait()
}

func (p *promoter) serve(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.record.add("promotion of %s in %s ordered by %s with fence %s", body.ID, body.Service, r.Header.Get("Bluebellroute-Lease-Holder"), r.Header.Get("Bluebellroute-Fencing-Token"))
	if s := p.platform.service(body.Service); s == nil || !s.promote(body.ID) {
		http.Error(w, "that member is not running", http.StatusConflict)
	}
}
