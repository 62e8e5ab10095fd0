package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// change is a conditional change.
type change struct {
	Expected []row `json:"expected"`
	Set      []row `json:"set_keys"`
	Remove   []row `json:"remove"`
}

// answerTime is how long the store takes to answer.
const answerTime = 4 * time.Millisecond

// store is the platform's metadata store.
type store struct {
	server  *http.Server
	address string
	work    errgroup.Group

	mu      sync.Mutex
	rows    map[string]row
	log     []row
	version int64
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), rows: map[string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.write)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	s.work.Go(func() error {
		_ = s.server.Serve(l)
		return nil
	})
	return s, nil
}

func (s *store) close() {
	_ = s.server.Close()
	_ = s.work.Wait()
}

// put sets a row as the operator or a member does. It returns once the store has accepted it.
func (s *store) put(table, key string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(change{Set: []row{{Table: table, Key: key, Value: b}}})
	return nil
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(change{Remove: []row{{Table: table, Key: key}}})
}

// apply makes a change. The caller holds mu.
func (s *store) apply(c change) {
	s.version++
	for _, r := range c.Set {
		r.Version = s.version
		s.rows[r.name()] = r
		s.log = append(s.log, r)
	}
	for _, r := range c.Remove {
		if _, ok := s.rows[r.name()]; ok {
			delete(s.rows, r.name())
			s.log = append(s.log, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply answers a call. The caller holds mu.
func (s *store) reply(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": false, "schema_ver": s.version, "now_ms": time.Now().UnixMilli()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for _, have := range s.rows {
		if have.Table == r.FormValue("table") && have.Key >= r.FormValue("from_rev") {
			out = append(out, have)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	s.reply(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		http.Error(w, "a field is not a number", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		out := []row{}
		for _, have := range s.log {
			if have.Version > after && have.Table == r.FormValue("table") {
				out = append(out, have)
			}
		}
		if len(out) > 0 || isOver {
			s.reply(w, http.StatusOK, out)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	var c change
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range c.Expected {
		if s.rows[e.name()].Version != e.Version {
			s.reply(w, http.StatusPreconditionFailed, []row{s.rows[e.name()]})
			return
		}
	}
	for _, x := range append(append([]row{}, c.Set...), c.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			http.Error(w, "not the system's table", http.StatusForbidden)
			return
		}
	}
	s.apply(c)
	s.reply(w, http.StatusOK, []row{})
}
