package bbrnode

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bluebellroute/bluebellroute/bbrbudget"
	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrfollow"
	"github.com/bluebellroute/bluebellroute/bbrsession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// statementBuckets are the upper bounds of the buckets of the statement latency
// histogram, in seconds.
var statementBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

const (
	// maxRouteLabels bounds the number of routes with a label value of their own,
	// and so the number of series. Statements of further routes are counted under
	// otherRouteLabel.
	maxRouteLabels  = 200
	otherRouteLabel = "other"
)

// metrics holds the registry and the statement latencies of an instance.
type metrics struct {
	registry   *prometheus.Registry
	statements *prometheus.HistogramVec
	// phases sums up where the time of statements went.
	phases *prometheus.CounterVec
	// forwards counts the statements that were forwarded to other instances.
	forwards *prometheus.CounterVec
	// storeCalls counts the calls to the store, see countedStore.
	storeCalls *prometheus.CounterVec
	// entriesLeftOut counts the rows that could not be used.
	entriesLeftOut *prometheus.CounterVec
	// ignoredRows counts the rows that were not newer than the known ones, but
	// differed from them.
	ignoredRows *prometheus.CounterVec
	// followersLeft counts the followers that were left, by bbrfollow.Reason.
	followersLeft *prometheus.CounterVec
	// limits counts what was refused or closed because of a limit.
	limits *prometheus.CounterVec

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
		phases: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bbr_node_statement_phase_seconds_total", Help: "Time of statements by where it went.",
		}, []string{"policy", "phase"}),
		forwards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bbr_node_forwards_total", Help: "Statements forwarded to instances that hold connections, by outcome.",
		}, []string{"outcome"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bbr_node_store_calls_total", Help: "Calls to the store by kind, table and outcome.",
		}, []string{"call", "table", "outcome"}),
		entriesLeftOut: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bbr_node_entries_left_out_total", Help: "Rows of the store that were left out because they cannot be used.",
		}, []string{"table"}),
		ignoredRows: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bbr_node_rows_ignored_total", Help: "Rows that differed from the known ones but were not newer.",
		}, []string{"table"}),
		followersLeft: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bbr_node_followers_left_total", Help: "Instances that were followed and left, by reason.",
		}, []string{"reason"}),
		limits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bbr_node_limits_total", Help: "Connections, messages and requests that were refused or closed because of a limit.",
		}, []string{"reason"}),
	}
	m.registry.MustRegister(m.statements, m.phases, m.forwards, m.storeCalls, m.entriesLeftOut, m.ignoredRows, m.followersLeft, m.limits)
	m.showZeros()
	return m
}

// showZeros lets counters show as 0 until they are counted.
func (m *metrics) showZeros() {
	for _, policy := range []bbrcatalog.ReadPolicy{bbrcatalog.PolicyPrimary, bbrcatalog.PolicyBoundedStaleness, bbrcatalog.PolicyReadYourWrites} {
		m.RecordPhases(policy, bbrsession.Phases{})
	}
	for _, table := range []string{groupTable, instanceTable} {
		m.entriesLeftOut.WithLabelValues(table)
	}
	for _, reason := range bbrfollow.Reasons() {
		m.followersLeft.WithLabelValues(string(reason))
	}
	for _, reason := range bbrbudget.Reasons {
		m.limits.WithLabelValues(string(reason))
	}
	for _, outcome := range []bbrsession.ForwardOutcome{bbrsession.ForwardDone, bbrsession.ForwardDeclined, bbrsession.ForwardNotSent, bbrsession.ForwardLost} {
		m.forwards.WithLabelValues(string(outcome))
	}
}

// RecordStatement records the latency of a statement.
func (m *metrics) RecordStatement(route bbrtype.RouteName, policy bbrcatalog.ReadPolicy, outcome string, elapsed time.Duration) {
	m.statements.WithLabelValues(m.routeLabel(route), string(policy), outcome).Observe(elapsed.Seconds())
}

// RecordPhases records where the time of a statement went.
func (m *metrics) RecordPhases(policy bbrcatalog.ReadPolicy, p bbrsession.Phases) {
	p.Each(func(name string, spent time.Duration) {
		m.phases.WithLabelValues(string(policy), name).Add(spent.Seconds())
	})
}

// routeLabel returns the label value of a route.
func (m *metrics) routeLabel(route bbrtype.RouteName) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.routes[route] {
		if len(m.routes) >= maxRouteLabels {
			return otherRouteLabel
		}
		m.routes[route] = true
	}
	return string(route)
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
