package bbrnode

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
)

// versionFields are the log fields of a version of the store.
func versionFields(v bbrrows.Version) logrus.Fields {
	return logrus.Fields{"version": v.Number, "era": v.Era}
}

// currentEra returns the newest era of the store that this instance has seen.
func (n *Node) currentEra() bbrsuccession.StoreEra {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeEra
}

// eraContext returns a context that ends when a newer era is seen.
func (n *Node) eraContext() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.eraCtx
}

// recordEra records the era in a reply of the store.
func (n *Node) recordEra(era bbrrows.Era) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeEra.Since != 0 && era <= n.storeEra.Era {
		return
	}
	n.log.WithFields(logrus.Fields{"era": era, "before": n.storeEra.Era, "first": n.storeEra.Since == 0}).Warn("new era of the store")
	now := n.clock.Now()
	if n.storeEra.Since != 0 {
		n.directory.RecordRestore(now)
	}
	n.storeEra = bbrsuccession.StoreEra{Era: era, Since: now}
	n.endEra()
	n.eraCtx, n.endEra = context.WithCancel(context.Background())
}

// logIgnored logs rows that are not newer than the known ones but differ from them.
// n.mu must be held.
func (n *Node) logIgnored(rows []bbrrows.Row) {
	for _, r := range n.mirror.Ignored(rows) {
		n.metrics.ignoredRows.WithLabelValues(r.Table).Inc()
		n.log.WithFields(versionFields(r.Version)).WithFields(logrus.Fields{"table": r.Table, "key": r.Key}).Info("row ignored: it is not newer than the known one")
	}
}
