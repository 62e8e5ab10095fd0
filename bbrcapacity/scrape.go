package bbrcapacity

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// scrapeTimeout bounds the reading of an instance's metrics.
const scrapeTimeout = 5 * time.Second

// counts are the metrics of one instance at one moment.
type counts struct {
	at       time.Time
	families map[string]*dto.MetricFamily
}

// scrape reads an instance's metrics.
func scrape(control string) (*counts, error) {
	client := http.Client{Timeout: scrapeTimeout}
	resp, err := client.Get("http://" + control + "/metrics")
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	return &counts{at: time.Now(), families: families}, errors.Wrap(err, "decode metrics")
}

// sum adds up the values of a metric whose labels match. For histograms it
// adds up the numbers of observations.
func (c *counts) sum(name string, labels map[string]string) float64 {
	total := 0.0
	f := c.families["bluebellroute_"+name]
	if f == nil {
		f = c.families[name]
	}
	for _, m := range f.GetMetric() {
		if !matches(m, labels) {
			continue
		}
		total += m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetHistogram().GetSampleCount())
	}
	return total
}

func matches(m *dto.Metric, labels map[string]string) bool {
	found := 0
	for _, l := range m.GetLabel() {
		if want, ok := labels[l.GetName()]; ok {
			if l.GetValue() != want {
				return false
			}
			found++
		}
	}
	return found == len(labels)
}

// Calls of the table service that read, by their label.
var readCalls = []string{"read", "readBeat", "snapshotIndex"}

// Calls of the table service that write, by their label.
var writeCalls = []string{"append", "beat", "revoke"}

// spentBetween returns what an instance spent between two readings.
func spentBetween(before, after *counts) Spent {
	seconds := after.at.Sub(before.at).Seconds()
	rate := func(name string, labels map[string]string) float64 {
		return (after.sum(name, labels) - before.sum(name, labels)) / seconds
	}
	link := func(name string) float64 { return rate("control_bytes_total", map[string]string{"link": name}) }
	calls := func(names []string) float64 {
		total := 0.0
		for _, n := range names {
			total += rate("store_seconds", map[string]string{"call": n})
		}
		return total
	}
	return Spent{
		CPUPercent: 100 * rate("process_cpu_seconds_total", nil),
		MemoryMB:   after.sum("process_resident_memory_bytes", nil) / 1e6,
		HeapMB:     after.sum("go_memstats_heap_inuse_bytes", nil) / 1e6,
		// What one instance asks, another one answers.
		PeerBytes:   2 * link("peer"),
		StoreBytes:  link("store"),
		ProbeBytes:  link("probe"),
		StoreReads:  calls(readCalls),
		StoreWrites: calls(writeCalls),
	}
}
