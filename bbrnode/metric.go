package bbrnode

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// statementBuckets are the bounds of the histograms of statements, in seconds.
var statementBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

const (
	// mostRoutes bounds the routes that have series of their own. Statements of
	// others count for otherRoutes.
	mostRoutes  = 200
	otherRoutes = "other"
)

// metrics are the metrics of an instance.
type metrics struct {
	registry   *prometheus.Registry
	statements *prometheus.HistogramVec

	mu     sync.Mutex
	routes map[bbrtype.RouteName]bool
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		routes:   map[bbrtype.RouteName]bool{},
		statements: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bbr_node_statement_seconds", Help: "Time from the arrival of a statement to its answer.", Buckets: statementBuckets,
		}, []string{"route", "policy", "outcome"}),
	}
	m.registry.MustRegister(m.statements)
	return m
}

// Observe takes in how long a statement took.
func (m *metrics) Observe(route bbrtype.RouteName, policy bbrcatalog.Policy, outcome string, took time.Duration) {
	m.statements.WithLabelValues(m.label(route), string(policy), outcome).Observe(took.Seconds())
}

// label returns the label of a route.
func (m *metrics) label(route bbrtype.RouteName) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.routes[route] {
		if len(m.routes) >= mostRoutes {
			return otherRoutes
		}
		m.routes[route] = true
	}
	return string(route)
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
