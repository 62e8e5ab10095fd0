package bbrmetric

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbroutcome"
)

// metricName finds the names of metrics in a document.
var metricName = regexp.MustCompile(namespace + `_[a-z_]+`)

// existing returns the names that the set serves.
func existing(t *testing.T) map[string]bool {
	t.Helper()
	is := is.New(t)
	s := New()
	series := s.Statements("t", "c")
	series.Done(TargetReplica, time.Millisecond)
	series.Queued(time.Millisecond)
	s.Failed("t", "c", bbroutcome.ReasonOverload)
	s.Reads("g").Served(TargetReplica)
	s.Retried("t")
	s.Silent("g", "m")
	s.Callers("t", 1)
	s.Member("g", "m", "waiting", 1)
	s.Control(time.Second, 1, 1)
	s.Change("g", time.Second)
	s.StoreCall("read", true, time.Millisecond)
	s.CountDial(LinkPeer, nil)
	families, err := s.registry.Gather()
	is.NoErr(err)
	names := map[string]bool{}
	for _, f := range families {
		names[f.GetName()] = true
	}
	return names
}

// The rules and the dashboard may name only what exists.
func TestDocumentsNameMetricsThatExist(t *testing.T) {
	names := existing(t)
	for _, file := range []string{"alerts.yml", "dashboard.json", "alarms.md"} {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile("../docs/operators/" + file)
			is.NoErr(err)
			found := metricName.FindAllString(string(text), -1)
			is.True(len(found) > 0)
			for _, n := range found {
				for _, suffix := range []string{"_bucket", "_count", "_sum"} {
					n = strings.TrimSuffix(n, suffix)
				}
				if !names[n] {
					t.Errorf("there is no metric %s", n)
				}
			}
		})
	}
}
