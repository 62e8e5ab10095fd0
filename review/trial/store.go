package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeDelay is how long the store takes to answer, and transactionDelay how long a
// transaction takes.
const (
	storeDelay       = 4 * time.Millisecond
	transactionDelay = 6 * time.Millisecond
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store, as PROTOCOL describes it.
type store struct {
	address string
	began   time.Time
	// onWrite is told of each row that an instance sets, once the answer is on its way.
	onWrite func(row)

	mu      sync.Mutex
	rows    map[string]row
	log     []row
	version int64
	// forgotten is the version up to which the history is gone.
	forgotten int64
	changed   chan struct{}
}

// newStore starts a store at a loopback address.
func newStore(t *trial, ip string) *store {
	l, err := net.Listen("tcp", ip+":0")
	t.must(err)
	s := &store{address: l.Addr().String(), began: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.serveRead)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	mux.HandleFunc("POST /-/rows-tx", s.serveWrite)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	t.work.Go(func() error {
		_ = server.Serve(l)
		return nil
	})
	return s
}

func rowName(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes a row without a condition, as the operator and the members do.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: b}}, nil)
}

// forget discards the history. Feeds that wait for changes after an older version are told.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply makes a change. The caller holds mu.
func (s *store) apply(set, remove []row) {
	s.version++
	for _, r := range set {
		r.Version = s.version
		s.rows[rowName(r)] = r
		s.log = append(s.log, r)
	}
	for _, r := range remove {
		if _, ok := s.rows[rowName(r)]; ok {
			delete(s.rows, rowName(r))
			s.log = append(s.log, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply answers a call. The caller holds mu.
func (s *store) reply(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": false, "schema_ver": s.version, "now_ms": time.Since(s.began).Milliseconds()})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for _, have := range s.rows {
		if have.Table == r.FormValue("table") && have.Part == r.FormValue("part") && have.Key >= r.FormValue("from_rev") {
			out = append(out, have)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	s.reply(w, http.StatusOK, out)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		http.Error(w, "after or wait_ms is no number", http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		if after < s.forgotten {
			s.reply(w, http.StatusGone, nil)
			s.mu.Unlock()
			return
		}
		var out []row
		for _, have := range s.log {
			if have.Version > after && have.Table == r.FormValue("table") {
				out = append(out, have)
			}
		}
		if len(out) > 0 || over {
			s.reply(w, http.StatusOK, out)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Expected []row `json:"expected"`
		Set      []row `json:"set_keys"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(transactionDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(append([]row(nil), c.Set...), c.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var conflicts []row
	for _, e := range c.Expected {
		if have := s.rows[rowName(e)]; have.Version != e.Version {
			if have.Version != 0 {
				conflicts = append(conflicts, have)
			}
			s.reply(w, http.StatusPreconditionFailed, conflicts)
			return
		}
	}
	s.apply(c.Set, c.Remove)
	s.reply(w, http.StatusOK, nil)
	if s.onWrite != nil {
		time.AfterFunc(2*time.Millisecond, func() {
			for _, r := range c.Set {
				s.onWrite(r)
			}
		})
	}
}

// promotion is an order that has reached the platform.
type promotion struct {
	holder, service, member string
	fence                   uint64
	at                      time.Time
}

// promoter is a stand-in for the platform's call for promotions. It checks no fences.
type promoter struct {
	address string

	mu     sync.Mutex
	groups map[string]*group
	orders []promotion
}

// newPromoter starts a promoter at a loopback address.
func newPromoter(t *trial, ip string) *promoter {
	l, err := net.Listen("tcp", ip+":0")
	t.must(err)
	p := &promoter{address: l.Addr().String(), groups: map[string]*group{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) { p.serve(t, w, r) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	t.work.Go(func() error {
		_ = server.Serve(l)
		return nil
	})
	return p
}

func (p *promoter) serve(t *trial, w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("Bluebellroute-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	order := promotion{holder: r.Header.Get("Bluebellroute-Lease-Holder"), service: body.Service, member: body.ID, fence: fence, at: time.Now()}
	p.mu.Lock()
	p.orders = append(p.orders, order)
	g := p.groups[body.Service]
	p.mu.Unlock()
	t.note("platform: promotion of %s in %s ordered by %s with fence %d", order.member, order.service, order.holder, fence)
	time.Sleep(storeDelay)
	if g == nil || !g.promote(t, body.ID) {
		w.WriteHeader(http.StatusConflict)
	}
}
