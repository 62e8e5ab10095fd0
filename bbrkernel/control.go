package bbrkernel

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbradmin"
	"github.com/bluebellroute/bluebellroute/bbrinstance"
	"github.com/bluebellroute/bluebellroute/bbrmetric"
	"github.com/bluebellroute/bluebellroute/bbrpeer"
	"github.com/bluebellroute/bluebellroute/bbrproxy"
	"github.com/bluebellroute/bluebellroute/bbrstatus"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// controlServer serves instances, operators and monitoring.
type controlServer struct {
	server *http.Server
	tls    *tls.Config
}

// handleProfiles serves profiles of the process.
func handleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
}

func newControlServer(i *bbrinstance.Instance, p *bbrproxy.Server, r *reporter, admin http.Handler, m *bbrmetric.Set, cfg *tls.Config, profiling bool) *controlServer {
	mux := http.NewServeMux()
	if profiling {
		handleProfiles(mux)
	}
	mux.Handle(bbrpeer.PathPrefix, bbrpeer.NewHandler(i))
	mux.Handle(bbradmin.PathPrefix, admin)
	mux.Handle("/metrics", m.Handler())
	mux.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = bbrstatus.WriteText(w, r.report())
	})
	mux.HandleFunc("/status.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.report())
	})
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if why := r.notReady(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("/request", p.ServeRequestLookup)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &controlServer{
		server: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Protocols: protocols},
		tls:    cfg,
	}
}

func (s *controlServer) serve(l net.Listener) error {
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the control port")
	}
	return nil
}

func (s *controlServer) close(ctx context.Context) {
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}
