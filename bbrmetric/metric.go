// Package bbrmetric holds the metrics of an instance. Labels are bounded: they
// come from the configuration or from fixed sets, never from callers' texts.
//
// # Usage
//
//	m := bbrmetric.New()
//	m.Statement("residents", "view", bbrmetric.TargetReplica, bbroutcome.Done, took)
//	http.Handle("/metrics", m.Handler())
package bbrmetric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Target tells what served a statement.
type Target string

// The targets.
const (
	TargetPrimary Target = "primary"
	TargetReplica Target = "replica"
	TargetNone    Target = "none"
)

// namespace heads the names of all metrics.
const namespace = "bluebellroute"

// latencyBuckets are the bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{
	.0001, .0002, .0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 20,
}

// Set holds the metrics of one instance.
type Set struct {
	registry *prometheus.Registry

	latency    *prometheus.HistogramVec
	queueing   *prometheus.HistogramVec
	outcomes   *prometheus.CounterVec
	reads      *prometheus.CounterVec
	retries    *prometheus.CounterVec
	silent     *prometheus.CounterVec
	callers    *prometheus.GaugeVec
	members    *prometheus.GaugeVec
	authority  prometheus.Gauge
	index      prometheus.Gauge
	version    prometheus.Gauge
	changes    *prometheus.HistogramVec
	storeCalls *prometheus.HistogramVec
	bytes      *prometheus.CounterVec
}

// New returns a set of metrics in a registry of its own.
func New() *Set {
	s := &Set{registry: prometheus.NewRegistry()}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets,
		}, labels)
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	gauges := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	s.latency = histogram("statement_seconds", "Time from a caller's request to its answer.", "tenant", "class", "target")
	s.queueing = histogram("queue_seconds", "Time that a statement waited for a connection.", "tenant", "class")
	s.outcomes = counter("outcomes_total", "Statements by what the caller was told.", "tenant", "class", "outcome", "reason")
	s.reads = counter("reads_total", "Reads by where they went and why.", "group", "target")
	s.retries = counter("retries_total", "Statements sent again.", "tenant")
	s.silent = counter("silent_connections_total", "Connections found silent.", "group", "member")
	s.callers = gauges("caller_connections", "Open connections of callers.", "tenant")
	s.members = gauges("member", "State of each member as this instance sees it.", "group", "member", "what")
	s.authority = gauge("authority_seconds", "Time left of the authority to acknowledge writes.")
	s.index = gauge("journal_index", "Journal index applied.")
	s.version = gauge("configuration_version", "Version of the configuration in force.")
	s.changes = histogram("change_of_primary_seconds", "Time from the fence to the named primary.", "group")
	s.storeCalls = histogram("store_seconds", "Time of calls to the platform's store.", "call", "result")
	s.bytes = counter("control_bytes_total", "Bytes on connections for control that this instance opened.", "link", "direction")
	s.registry.MustRegister(
		s.latency, s.queueing, s.outcomes, s.reads, s.retries, s.silent, s.callers, s.members, s.authority, s.index, s.version,
		s.changes, s.storeCalls, s.bytes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return s
}

// Handler serves the metrics to Prometheus.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// StatementSeries is the part of the metrics that one tenant's class uses. It
// saves the lookup of labels on each statement.
type StatementSeries struct {
	latency map[Target]prometheus.Observer
	queue   prometheus.Observer
	done    prometheus.Counter
}

// Statements returns the series of a tenant's class.
func (s *Set) Statements(t bbrtype.TenantName, class string) *StatementSeries {
	out := &StatementSeries{
		latency: map[Target]prometheus.Observer{},
		queue:   s.queueing.WithLabelValues(string(t), class),
		done:    s.outcomes.WithLabelValues(string(t), class, string(bbroutcome.Done), ""),
	}
	for _, target := range []Target{TargetPrimary, TargetReplica, TargetNone} {
		out.latency[target] = s.latency.WithLabelValues(string(t), class, string(target))
	}
	return out
}

// Done counts a statement that was answered.
func (s *StatementSeries) Done(target Target, took time.Duration) {
	s.latency[target].Observe(took.Seconds())
	s.done.Inc()
}

// Queued notes how long a statement waited for a connection.
func (s *StatementSeries) Queued(waited time.Duration) { s.queue.Observe(waited.Seconds()) }

// Failed counts a statement that ended in an error of the proxy.
func (s *Set) Failed(t bbrtype.TenantName, class string, r bbroutcome.Reason) {
	s.outcomes.WithLabelValues(string(t), class, string(bbroutcome.OutcomeOf(r)), string(r)).Inc()
}

// ReadSeries counts the reads of one group.
type ReadSeries struct{ primary, replica prometheus.Counter }

// Reads returns the series of a group.
func (s *Set) Reads(g bbrtype.GroupName) *ReadSeries {
	return &ReadSeries{
		primary: s.reads.WithLabelValues(string(g), string(TargetPrimary)),
		replica: s.reads.WithLabelValues(string(g), string(TargetReplica)),
	}
}

// Served counts a read by the target that it went to.
func (r *ReadSeries) Served(target Target) {
	if target == TargetReplica {
		r.replica.Inc()
		return
	}
	r.primary.Inc()
}

// Retried counts a statement that was sent again.
func (s *Set) Retried(t bbrtype.TenantName) { s.retries.WithLabelValues(string(t)).Inc() }

// Silent counts a connection that was found silent.
func (s *Set) Silent(g bbrtype.GroupName, m bbrtype.MemberName) {
	s.silent.WithLabelValues(string(g), string(m)).Inc()
}

// Callers changes the number of a tenant's connections.
func (s *Set) Callers(t bbrtype.TenantName, by int) {
	s.callers.WithLabelValues(string(t)).Add(float64(by))
}

// Member sets one value of a member's state.
func (s *Set) Member(g bbrtype.GroupName, m bbrtype.MemberName, what string, value float64) {
	s.members.WithLabelValues(string(g), string(m), what).Set(value)
}

// Control sets the values of the control logic.
func (s *Set) Control(authority time.Duration, index bbrtype.Index, version uint64) {
	s.authority.Set(max(0, authority.Seconds()))
	s.index.Set(float64(index))
	s.version.Set(float64(version))
}

// Change notes the time of a change of primary.
func (s *Set) Change(g bbrtype.GroupName, took time.Duration) {
	s.changes.WithLabelValues(string(g)).Observe(took.Seconds())
}

// StoreCall notes the time of a call to the platform's store.
func (s *Set) StoreCall(call string, ok bool, took time.Duration) {
	result := "ok"
	if !ok {
		result = "failed"
	}
	s.storeCalls.WithLabelValues(call, result).Observe(took.Seconds())
}
