package bbrnode

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellroute/bluebellroute/bbrlink"
)

// Descriptions of the metrics that are computed from the instance's state at each
// scrape.
var (
	versionDesc          = prometheus.NewDesc("bbr_node_configuration_version", "Version of the configuration in force.", nil, nil)
	sessionsDesc         = prometheus.NewDesc("bbr_node_sessions", "Open sessions of callers.", nil, nil)
	instancesDesc        = prometheus.NewDesc("bbr_node_instances", "Instances that the store lists.", nil, nil)
	tableUnavailableDesc = prometheus.NewDesc("bbr_node_table_lost", "1 while the store does not answer for a table.", []string{"table"}, nil)
	followsStoreDesc     = prometheus.NewDesc("bbr_node_follows_store", "1 while this instance follows the store, for itself or for others.", nil, nil)
	tableAgeDesc         = prometheus.NewDesc("bbr_node_table_age_seconds", "Age of the newest read of the store that showed what is known of a table.", []string{"table"}, nil)
	storeEraDesc         = prometheus.NewDesc("bbr_node_store_era", "Newest era of the store that was seen; it rises each time the store is restored.", nil, nil)
	unconfirmedDesc      = prometheus.NewDesc("bbr_node_groups_unconfirmed", "Groups whose records are not confirmed in the store's era.", nil, nil)
	forwardedDesc        = prometheus.NewDesc("bbr_node_forwarded", "Statements in progress and open transactions that other instances forwarded to this one.", nil, nil)
	heldDesc             = prometheus.NewDesc("bbr_node_held_bytes", "Memory held for what callers send and ask for, by what holds it.", []string{"kind"}, nil)
	holderDesc           = prometheus.NewDesc("bbr_node_group_holder", "1 while this instance keeps connections to the group's members.", []string{"group"}, nil)
	waitingDesc          = prometheus.NewDesc("bbr_node_group_waiting", "Statements that wait for a member.", []string{"group"}, nil)
	connectionsDesc      = prometheus.NewDesc("bbr_node_group_connections", "Open connections to members.", []string{"group"}, nil)
	dialsDesc            = prometheus.NewDesc("bbr_node_group_dials_total", "Attempts to open a connection to a member, by result.", []string{"group", "result"}, nil)
	straysDesc           = prometheus.NewDesc("bbr_node_group_stray_replies_total", "Replies of members that belong to no statement in progress, by kind.", []string{"group", "kind"}, nil)
	grantedDesc          = prometheus.NewDesc("bbr_node_member_granted_total", "Statements that were granted a member.", []string{"group", "member"}, nil)
	inFlightDesc         = prometheus.NewDesc("bbr_node_member_in_flight", "Statements of this instance in flight at a member.", []string{"group", "member"}, nil)
	ejectionsDesc        = prometheus.NewDesc("bbr_node_group_ejections_total", "Times that a member was ejected because it failed part of its statements.", []string{"group"}, nil)
	rejectedDesc         = prometheus.NewDesc("bbr_node_group_rejected_total", "Statements that got no slot at a member, by reason.", []string{"group", "reason"}, nil)
	termDesc             = prometheus.NewDesc("bbr_node_group_term", "Term of the primary in use, 0 if none is known.", []string{"group"}, nil)
	ordersDesc           = prometheus.NewDesc("bbr_node_group_orders", "Promotions of the group's members that may still take effect.", []string{"group"}, nil)
	proofAgeDesc         = prometheus.NewDesc("bbr_node_group_proof_age_seconds", "Age of the newest proof of the primary in use.", []string{"group"}, nil)
)

// collector exports an instance's state as metrics.
type collector struct{ node *Node }

// Describe implements prometheus.Collector.
func (c collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		versionDesc, sessionsDesc, instancesDesc, tableUnavailableDesc, followsStoreDesc, tableAgeDesc, storeEraDesc, unconfirmedDesc, forwardedDesc, heldDesc,
		holderDesc, waitingDesc, connectionsDesc, dialsDesc, straysDesc, grantedDesc, inFlightDesc, ejectionsDesc, rejectedDesc, termDesc, ordersDesc, proofAgeDesc,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	n := c.node
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	if current := n.catalog.Current(); current != nil {
		gauge(versionDesc, float64(current.Version))
	}
	gauge(sessionsDesc, float64(n.sessions.SessionCount()))
	gauge(instancesDesc, float64(n.instanceCount()))
	for _, t := range n.followedTables() {
		value := 0.0
		if n.isUnavailable(t.name) {
			value = 1
		}
		gauge(tableUnavailableDesc, value, t.name)
	}
	followsStore := 0.0
	if n.followsStore() {
		followsStore = 1
	}
	gauge(followsStoreDesc, followsStore)
	reads, now := n.tableReads(), n.clock.Now()
	for table := range n.followLimits() {
		// A table that was not read is as old as the instance's clock.
		gauge(tableAgeDesc, now.Sub(reads[table].SentAt).Seconds(), table)
	}
	gauge(storeEraDesc, float64(n.currentEra().Era))
	_, unconfirmed := n.confirmableRecords(n.clock.Now())
	gauge(unconfirmedDesc, float64(unconfirmed))
	gauge(forwardedDesc, float64(n.sessions.ForwardedCount()))
	held, kept := n.budget.Usage()
	forwarded, _ := n.peerBudget.Usage()
	gauge(heldDesc, float64(held), "messages")
	gauge(heldDesc, float64(kept), "sessions")
	gauge(heldDesc, float64(forwarded), "forwarded")
	for _, g := range n.allGroups() {
		name := string(g.Name())
		holder := 0.0
		if n.holds(g.Name()) {
			holder = 1
		}
		gauge(holderDesc, holder, name)
		waiting, connections := g.Stats()
		gauge(waitingDesc, float64(waiting), name)
		gauge(connectionsDesc, float64(connections), name)
		dials := g.Dials()
		for result, count := range map[string]uint64{"opened": dials.Opened, "refused": dials.Refused, "failed": dials.Failed, "evicted": dials.Evicted} {
			out <- prometheus.MustNewConstMetric(dialsDesc, prometheus.CounterValue, float64(count), name, result)
		}
		for kind, count := range g.Strays() {
			out <- prometheus.MustNewConstMetric(straysDesc, prometheus.CounterValue, float64(count), name, string(kind))
		}
		c.collectLoad(out, g)
		proof := g.ExportProof()
		gauge(termDesc, float64(proof.Term), name)
		gauge(ordersDesc, float64(len(n.knownRecord(g.Name()).PendingOrders(n.clock.Now()))), name)
		gauge(proofAgeDesc, proof.ProofAge.Seconds(), name)
	}
}

// collectLoad exports the load of a group's members and the statements that got no slot.
func (c collector) collectLoad(out chan<- prometheus.Metric, g *bbrlink.Group) {
	name := string(g.Name())
	for _, m := range g.MemberLoads() {
		out <- prometheus.MustNewConstMetric(grantedDesc, prometheus.CounterValue, float64(m.Granted), name, string(m.Member))
		out <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(m.InFlight), name, string(m.Member))
	}
	byReason, ejections := g.Rejections()
	out <- prometheus.MustNewConstMetric(ejectionsDesc, prometheus.CounterValue, float64(ejections), name)
	for reason, count := range byReason {
		out <- prometheus.MustNewConstMetric(rejectedDesc, prometheus.CounterValue, float64(count), name, string(reason))
	}
}
