package bbrnode

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// operationOutcome is the limiter's decision on an operation.
type operationOutcome string

// The outcomes of operations of limited tenants.
const (
	operationAdmitted operationOutcome = "admitted"
	operationRejected operationOutcome = "rejected"
	// operationUndecided is rejected because no owner of the limit responds.
	operationUndecided operationOutcome = "undecided"
)

// takeOutcome is the outcome of a request for tokens.
type takeOutcome string

// The outcomes of requests for tokens.
const (
	takeGranted  takeOutcome = "replied"
	takeLocal    takeOutcome = "local"
	takeNotOwner takeOutcome = "notOwner"
	takeFailed   takeOutcome = "failed"
)

var (
	nearLimitDesc = prometheus.NewDesc("bbr_node_tenants_near_limit", "Tenants of which this instance owns a part of the limit and has recently rejected operations.", nil, nil)
	ownerAgeDesc  = prometheus.NewDesc("bbr_node_limit_reply_age_seconds", "Time since an owner of limits last replied, -1 if none has.", nil, nil)
)

// limitMetrics counts operations of limited tenants and requests for tokens.
type limitMetrics struct{ operations, takes *prometheus.CounterVec }

func newLimitMetrics(r prometheus.Registerer) *limitMetrics {
	m := &limitMetrics{
		operations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bbr_node_limited_operations_total", Help: "Operations of limited tenants by decision.",
		}, []string{"outcome"}),
		takes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bbr_node_limit_takes_total", Help: "Requests for tokens of tenants' limits by outcome.",
		}, []string{"outcome"}),
	}
	r.MustRegister(m.operations, m.takes)
	for _, o := range []operationOutcome{operationAdmitted, operationRejected, operationUndecided} {
		m.operations.WithLabelValues(string(o))
	}
	for _, o := range []takeOutcome{takeGranted, takeLocal, takeNotOwner, takeFailed} {
		m.takes.WithLabelValues(string(o))
	}
	return m
}

func (m *limitMetrics) count(o operationOutcome) { m.operations.WithLabelValues(string(o)).Inc() }

func (m *limitMetrics) take(o takeOutcome) { m.takes.WithLabelValues(string(o)).Inc() }

// Describe implements prometheus.Collector.
func (l *limiter) Describe(out chan<- *prometheus.Desc) { out <- nearLimitDesc; out <- ownerAgeDesc }

// Collect implements prometheus.Collector.
func (l *limiter) Collect(out chan<- prometheus.Metric) {
	now := l.node.clock.Now()
	l.mu.Lock()
	near := l.owner.CountNearLimit(now)
	l.mu.Unlock()
	age := -1.0
	if at := l.repliedAt.Load(); at != 0 {
		age = time.Duration(int64(now) - at).Seconds()
	}
	out <- prometheus.MustNewConstMetric(nearLimitDesc, prometheus.GaugeValue, float64(near))
	out <- prometheus.MustNewConstMetric(ownerAgeDesc, prometheus.GaugeValue, age)
}
