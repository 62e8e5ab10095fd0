package bbrproxy

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmetric"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrstatement"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// transaction is a member's connection that a session holds until the
// transaction ends.
type transaction struct {
	group   *bbrgroup.Group
	pool    *bbrpool.Pool
	conn    *bbrpool.Conn
	member  bbrtype.MemberName
	lineage bbrjournal.PrimaryTerm
	replica bool
	status  byte
	wrote   bool
	// newSettings is set once settings were sent within the transaction.
	newSettings bool
	// paused is set while no statement of the transaction is at work.
	paused bool
}

// hold keeps a connection for a transaction that began.
func (c *session) hold(r *request, pool *bbrpool.Pool, conn *bbrpool.Conn, m bbrtype.MemberName, pm *pump, replica bool, took time.Duration) {
	if pm.ans.status == txIdle {
		pool.Release(conn, took)
		return
	}
	c.tx = &transaction{
		group: r.group, pool: pool, conn: conn, member: m, replica: replica, status: pm.ans.status, paused: true,
		wrote: r.batch.info.Kind == bbrstatement.KindWrite,
	}
	pool.Pause(conn, took)
}

// resume counts a statement that goes to work.
func (t *transaction) resume() {
	if t.paused {
		t.pool.Resume(t.conn)
		t.paused = false
	}
}

// dropTransaction ends a transaction without a commit: the member rolls it
// back when its connection closes.
func (c *session) dropTransaction() {
	c.tx.pool.Discard(c.tx.conn)
	c.tx = nil
}

// serveInTransaction runs a batch on the connection that the transaction holds.
func (c *session) serveInTransaction(r *request) (bbrmetric.Target, error) {
	t := c.tx
	target := bbrmetric.TargetPrimary
	if t.replica {
		target = bbrmetric.TargetReplica
	}
	b := r.batch
	ends := b.info.HasTxControl && b.info.TxControl != bbrstatement.TxOther
	commits := ends && b.info.TxControl != bbrstatement.TxRollback
	t.wrote = t.wrote || b.info.Kind == bbrstatement.KindWrite
	t.resume()
	if err := t.conn.CheckQuiet(); err != nil {
		return target, c.transactionNotSent(commits, err)
	}
	t.newSettings = t.newSettings || t.conn.Settings != c.digest
	p := c.newPlan(t.conn)
	withKey := r.key != "" && commits && t.status == txActive && !t.replica
	if withKey {
		p.addQuery(roleKey, 1, insertKeySQL(c.tenant, r.key, fingerprint(r.batch)))
	}
	p.addBatch(b, t.conn)
	if commits && !t.replica {
		p.addState(t.group)
	}
	pm := c.newPump(t.group, t.pool, t.conn, t.member)
	pm.holdTags = commits && !t.replica
	sentAt := c.srv.deps.Clock.Now()
	err := c.exchange(p, t.conn, t.pool.Endpoint().Address, pm)
	took := c.srv.deps.Clock.Now().Sub(sentAt)
	if err != nil {
		return target, c.transactionLost(r, pm, commits, err)
	}
	t.status = pm.ans.status
	if t.status != txIdle {
		t.paused = true
		t.pool.Pause(t.conn, took)
		return target, nil
	}
	c.tx = nil
	if t.newSettings {
		// The end of the transaction may have taken them back.
		t.conn.Settings = bbrpool.SettingsUnknown
	}
	t.pool.Release(t.conn, took)
	return target, c.transactionEnded(r, t, pm, sentAt, withKey)
}

// transactionEnded decides what the caller is told after a transaction has
// ended on the member.
func (c *session) transactionEnded(r *request, t *transaction, pm *pump, sentAt bbrtype.Mono, withKey bool) error {
	if withKey && pm.ans.keyRefused != nil {
		pm.withdraw()
		return c.keyRefused(r, pm.ans.keyRefused)
	}
	if t.replica || !t.wrote || pm.ans.refused != nil || pm.ans.tag == "ROLLBACK" {
		return nil
	}
	return c.acknowledge(t.group, t.lineage, pm, sentAt, withKey)
}

// transactionLost tells what became of a transaction whose connection broke.
// Before COMMIT was sent it can't be committed.
func (c *session) transactionLost(r *request, pm *pump, commits bool, err error) error {
	t := c.tx
	pm.withdraw()
	c.dropTransaction()
	c.connectionLost(t.group, t.member, err)
	if !commits {
		c.aborted = true
		return bbroutcome.New(bbroutcome.ReasonRolledBack, "the connection to member %q broke within the transaction", t.member)
	}
	if t.replica || !t.wrote {
		return bbroutcome.New(bbroutcome.ReasonRolledBack, "the connection to member %q broke at the end of the transaction, which wrote nothing", t.member)
	}
	if r.key != "" {
		return c.resolve(r)
	}
	return bbroutcome.New(bbroutcome.ReasonOutcomeUnknown, "the connection to the primary broke before the commit's result was known: %v", err)
}

// transactionNotSent tells that a transaction is lost before the statement was sent. The
// end of its connection rolls it back.
func (c *session) transactionNotSent(commits bool, err error) error {
	t := c.tx
	c.dropTransaction()
	c.connectionLost(t.group, t.member, err)
	c.log().WithError(err).WithField("member", t.member).Warn("transaction rolled back: its connection can't be used")
	c.aborted = !commits
	return bbroutcome.New(bbroutcome.ReasonRolledBack, "the connection to member %q was of no use within the transaction: %v", t.member, err)
}
