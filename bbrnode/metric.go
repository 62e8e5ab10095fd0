package bbrnode

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// statementBuckets are the bounds of the histograms of statements, in seconds.
var statementBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// metrics are the metrics of an instance.
type metrics struct {
	registry   *prometheus.Registry
	statements *prometheus.HistogramVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		statements: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bbr_node_statement_seconds", Help: "Time from the arrival of a statement to its answer.", Buckets: statementBuckets,
		}, []string{"policy", "outcome"}),
	}
	m.registry.MustRegister(m.statements)
	return m
}

// Observe takes in how long a statement took.
func (m *metrics) Observe(_ bbrtype.RouteName, policy bbrcatalog.Policy, outcome string, took time.Duration) {
	m.statements.WithLabelValues(string(policy), outcome).Observe(took.Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
