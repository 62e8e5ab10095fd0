package bbrnode

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	dto "github.com/prometheus/client_model/go"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// newTestNode returns an instance with one group that has no members.
func newTestNode() *Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := newNode(&Settings{}, Platform{StoreSchema: StoreSchema{ConfigTable: "configuration", MemberTable: "members"}}, log, bbrtype.NewClock(), newMetrics())
	n.catalog.PublishIfNewer(&bbrcatalog.Catalogue{Version: 7})
	n.groups["orders"] = bbrlink.NewGroup("orders", bbrlink.Deps{Clock: n.clock, Log: log, Share: n.share})
	return n
}

// gatherMetrics returns the metric families of an instance by name.
func gatherMetrics(is *is.I, n *Node) map[string]*dto.MetricFamily {
	all, err := n.metrics.registry.Gather()
	is.NoErr(err)
	out := map[string]*dto.MetricFamily{}
	for _, f := range all {
		out[f.GetName()] = f
	}
	return out
}

func TestMetricsTellTheState(t *testing.T) {
	is := is.New(t)
	n := newTestNode()
	n.unavailable["members"] = true
	record := bbrsuccession.Record{Phase: bbrsuccession.PhaseNamed, Primary: "m1", Term: 3, Orders: []bbrsuccession.Order{{Member: "m2", FencingToken: 5}}}
	n.records["orders"] = bbrsuccession.VersionedRecord{}.Next(record, bbrrows.Version{}, n.clock.Now())
	families := gatherMetrics(is, n)
	is.Equal(families["bbr_node_configuration_version"].Metric[0].Gauge.GetValue(), 7.0)
	is.Equal(families["bbr_node_instances"].Metric[0].Gauge.GetValue(), 1.0)
	unavailable := map[string]float64{}
	for _, m := range families["bbr_node_table_lost"].Metric {
		unavailable[m.Label[0].GetValue()] = m.Gauge.GetValue()
	}
	is.Equal(unavailable["members"], 1.0)
	is.Equal(unavailable["configuration"], 0.0)
	is.Equal(families["bbr_node_group_term"].Metric[0].Gauge.GetValue(), 0.0)
	is.Equal(families["bbr_node_group_orders"].Metric[0].Gauge.GetValue(), 1.0)
}

func TestSeriesOfRoutesAreBounded(t *testing.T) {
	is := is.New(t)
	n := newTestNode()
	for i := range 3 * maxRouteLabels {
		n.metrics.RecordStatement(bbrtype.RouteName(fmt.Sprintf("r%d", i)), bbrcatalog.PolicyPrimary, "done", time.Millisecond)
	}
	family := gatherMetrics(is, n)["bbr_node_statement_seconds"]
	is.Equal(len(family.Metric), maxRouteLabels+1)
	total := uint64(0)
	for _, m := range family.Metric {
		total += m.Histogram.GetSampleCount()
	}
	is.Equal(total, uint64(3*maxRouteLabels)) // including the statements of other routes
}

var nodeMetricPattern = regexp.MustCompile(`\bbbr_node_[a-z_]+`)

// TestDocumentsNameMetricsThatExist checks that each metric named in the operators'
// documents is exported.
func TestDocumentsNameMetricsThatExist(t *testing.T) {
	is := is.New(t)
	n := newTestNode()
	n.groups["orders"].SetMembers([]bbrdirectory.Member{{ID: "p", Group: "orders"}}, nil, bbrcatalog.GroupSettings{Group: "orders"})
	n.metrics.RecordStatement("r", bbrcatalog.PolicyPrimary, "done", time.Millisecond)
	families := gatherMetrics(is, n)
	for _, file := range []string{"operators/alerts.yml", "operators/dashboard.json", "OPERATIONS.md"} {
		text, err := os.ReadFile("../docs/" + file)
		is.NoErr(err)
		found := nodeMetricPattern.FindAllString(string(text), -1)
		is.True(len(found) > 0)
		for _, name := range found {
			for _, suffix := range []string{"_bucket", "_count", "_sum"} {
				name = strings.TrimSuffix(name, suffix)
			}
			if families[name] == nil {
				t.Errorf("%s: there is no metric %s", file, name)
			}
		}
	}
}
