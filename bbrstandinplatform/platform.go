// Package bbrstandinplatform is a small stand-in for the platform: a table
// service that speaks DynamoDB's JSON protocol, an object store that speaks
// S3, and the list of live and leaving instances. It keeps everything in
// memory and can be told to fail.
//
// # Usage
//
//	p, err := bbrstandinplatform.Listen("127.0.0.1:0")
//	defer p.Close()
//	p.SetFault(bbrstandinplatform.Fault{Service: bbrstandinplatform.ServiceTable, Mode: bbrstandinplatform.ModeDown})
//
// Over HTTP the same is done by POST /standin/fault with the fault as JSON.
package bbrstandinplatform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Service names a part of the platform that can fail by itself.
type Service string

// The services of the platform.
const (
	ServiceTable  Service = "table"
	ServiceObject Service = "object"
	ServiceList   Service = "list"
)

// Mode is the way in which a service fails.
type Mode string

// The modes of failure. ModeNone ends a fault.
const (
	ModeNone      Mode = "none"
	ModeDown      Mode = "down"
	ModeSlow      Mode = "slow"
	ModeLoseReply Mode = "loseReply"
	ModeHang      Mode = "hang"
)

// Fault is a failure of one service.
type Fault struct {
	Service Service `json:"service"`
	Mode    Mode    `json:"mode"`
	// DelayMs is the delay of ModeSlow, in milliseconds.
	DelayMs int `json:"delayMs,omitempty"`
	// Count ends the fault after so many requests. 0 means until changed.
	Count int `json:"count,omitempty"`
	// Client limits the fault to requests whose User-Agent has this text.
	Client string `json:"client,omitempty"`
}

// Listed is an instance on the platform's list.
type Listed struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Platform is the state of the stand-in.
type Platform struct {
	listener net.Listener
	server   *http.Server
	group    errgroup.Group

	mu       sync.Mutex
	faults   map[Service]Fault
	tables   map[string]*itemTable
	objects  map[string][]byte
	listed   map[string]Listed
	shown    []Listed
	shownAt  time.Time
	listLag  time.Duration
	requests map[Service]int
}

// Listen starts a platform at an address such as 127.0.0.1:0.
func Listen(addr string) (*Platform, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		listener: l,
		faults:   map[Service]Fault{},
		tables:   map[string]*itemTable{},
		objects:  map[string][]byte{},
		listed:   map[string]Listed{},
		requests: map[Service]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/standin/fault", p.serveFault)
	mux.HandleFunc("/standin/requests", p.serveRequests)
	mux.HandleFunc("/instances", p.failing(ServiceList, p.serveList))
	mux.HandleFunc("/instances/", p.failing(ServiceList, p.serveListed))
	mux.HandleFunc("/", p.serveRoot)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	p.group.Go(func() error {
		_ = p.server.Serve(l)
		return nil
	})
	return p, nil
}

// Addr returns the address that the platform listens at.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// Close ends the platform.
func (p *Platform) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = p.server.Shutdown(ctx)
	_ = p.server.Close()
	_ = p.group.Wait()
}

// SetFault starts or ends a failure.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[f.Service] = f
}

// SetListLag makes the list of instances change only once in a while.
func (p *Platform) SetListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listLag = lag
}

// Requests returns the number of requests that a service has received.
func (p *Platform) Requests(s Service) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests[s]
}

func (p *Platform) serveRequests(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(p.requests)
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(f)
}

// serveRoot tells DynamoDB's requests from those of S3.
func (p *Platform) serveRoot(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.Header.Get("X-Amz-Target"), "DynamoDB_") {
		p.failing(ServiceTable, p.serveTable)(w, r)
		return
	}
	p.failing(ServiceObject, p.serveObject)(w, r)
}

// present returns the fault that a request meets and counts it down.
func (p *Platform) present(s Service, r *http.Request) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[s]++
	f := p.faults[s]
	if f.Mode == ModeNone || f.Mode == "" || !strings.Contains(r.UserAgent(), f.Client) {
		return Fault{}
	}
	if f.Count > 0 {
		next := f
		next.Count--
		if next.Count == 0 {
			next = Fault{}
		}
		p.faults[s] = next
	}
	return f
}

// failing wraps a handler with the fault of its service.
func (p *Platform) failing(s Service, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := p.present(s, r)
		switch f.Mode {
		case ModeDown:
			http.Error(w, "{}", http.StatusServiceUnavailable)
		case ModeHang:
			<-r.Context().Done()
		case ModeSlow:
			select {
			case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
			case <-r.Context().Done():
			}
			h(w, r)
		case ModeLoseReply:
			h(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			h(w, r)
		}
	}
}

// discardWriter takes a reply that is lost on the way.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shown == nil || time.Since(p.shownAt) >= p.listLag {
		p.shown = []Listed{}
		for _, l := range p.listed {
			p.shown = append(p.shown, l)
		}
		p.shownAt = time.Now()
	}
	_ = json.NewEncoder(w).Encode(p.shown)
}

// serveListed changes one entry of the list.
func (p *Platform) serveListed(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/instances/")
	p.mu.Lock()
	defer p.mu.Unlock()
	switch r.Method {
	case http.MethodPut:
		var l Listed
		if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Name = name
		p.listed[name] = l
	case http.MethodDelete:
		delete(p.listed, name)
	default:
		http.Error(w, "PUT or DELETE", http.StatusMethodNotAllowed)
	}
}
