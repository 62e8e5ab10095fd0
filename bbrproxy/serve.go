package bbrproxy

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrmetric"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrstatement"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// work is the room that a session uses again for each batch.
type work struct {
	batch   batch
	request request
	plan    plan
	pump    pump
}

// request is a batch with what the configuration says about its caller.
type request struct {
	batch     *batch
	group     *bbrgroup.Group
	policy    *bbrconfig.ReadPolicy
	tenant    *bbrconfig.Tenant
	class     string
	priority  int
	startedAt bbrtype.Mono
	deadline  bbrtype.Mono
	// key is the request key that goes with the batch, if any.
	key bbrtype.RequestKey
	// retries counts how often the batch was sent again.
	retries int
	avoid   []bbrtype.MemberName
}

// ticket asks a pool for a connection.
func (r *request) ticket() bbrpool.Ticket {
	return bbrpool.Ticket{
		Tenant: r.tenant.Name, Weight: r.tenant.Weight, Queue: r.tenant.Queue, Priority: r.priority, Deadline: r.deadline,
	}
}

// serve answers one batch.
func (c *session) serve(b *batch) error {
	r, err := c.newRequest(b)
	if err != nil {
		c.fatal(asError(err))
		return errEnded
	}
	target, err := c.dispatch(r)
	var e *bbroutcome.Error
	switch {
	case errors.As(err, &e):
		c.sendError(e)
		c.srv.deps.Metrics.Failed(c.tenant, r.class, e.Reason)
		c.srv.recent.note(c.srv.deps.Clock.Now(), r.group.Name, e.Reason)
		c.log().WithFields(map[string]any{"reason": e.Reason, "class": r.class}).Info(e.Message)
	case err != nil:
		return err
	default:
		took := c.srv.deps.Clock.Now().Sub(r.startedAt)
		c.srv.series.of(c.srv.deps.Metrics, c.tenant, r.class).Done(target, took)
	}
	if b.partial {
		return c.flush()
	}
	return c.ready()
}

// asError returns an error in the form that callers are told.
func asError(err error) *bbroutcome.Error {
	var e *bbroutcome.Error
	if errors.As(err, &e) {
		return e
	}
	return bbroutcome.New(bbroutcome.ReasonProtocolViolation, "%v", err)
}

// ready tells the caller that the next request may come.
func (c *session) ready() error {
	c.reportToken()
	status := txIdle
	switch {
	case c.aborted:
		status = txFailed
	case c.tx != nil:
		status = c.tx.status
	}
	c.send(&pgproto3.ReadyForQuery{TxStatus: status})
	if err := c.flush(); err != nil {
		return err
	}
	next := waitInTransaction
	if status == txIdle {
		next = waitIdle
	}
	if c.srv.endsSession(next) {
		c.fatal(c.stopError())
		return errEnded
	}
	return nil
}

// newRequest looks up what the configuration in force says about a batch.
func (c *session) newRequest(b *batch) (*request, error) {
	cfg := c.srv.deps.Registry.View().Config
	caller := cfg.Callers[c.caller]
	route := cfg.Routes[c.route]
	if caller == nil || route == nil || !caller.MayUse(c.route) || caller.Tenant != c.tenant {
		return nil, bbroutcome.New(bbroutcome.ReasonAccessDenied, "the configuration in force no longer has caller %q on route %q", c.caller, c.route)
	}
	group, ok := c.srv.deps.Registry.Group(route.Group)
	if !ok {
		return nil, bbroutcome.New(bbroutcome.ReasonNoRoute, "route %q leads to no group", c.route)
	}
	now := c.srv.deps.Clock.Now()
	r := &c.work.request
	*r = request{
		batch: b, group: group, policy: cfg.Policies[route.Policy], tenant: cfg.Tenants[caller.Tenant],
		class: string(caller.Class), priority: bbrconfig.DefaultPriority, startedAt: now,
	}
	if class := cfg.Classes[caller.Class]; class != nil {
		r.priority = class.Priority
	}
	for _, t := range b.info.WrittenTables {
		if class := cfg.ClassOfTable(t); class != nil && class.Priority < r.priority {
			r.priority, r.class = class.Priority, string(class.Name)
		}
	}
	r.deadline = now.Add(r.tenant.Patience)
	return r, nil
}

// dispatch decides what a batch needs and runs it.
func (c *session) dispatch(r *request) (bbrmetric.Target, error) {
	b := r.batch
	if b.partial && !b.isPrepareOnly() {
		return "", bbroutcome.New(bbroutcome.ReasonUnsupported, "Flush after Execute is not supported: send Sync")
	}
	if c.aborted {
		return bbrmetric.TargetNone, c.serveAborted(b)
	}
	switch b.info.Kind {
	case bbrstatement.KindRejected:
		return "", bbroutcome.New(bbroutcome.ReasonUnsupported, "%s", b.info.Reason)
	case bbrstatement.KindSetting:
		return bbrmetric.TargetNone, c.serveSession(b)
	case bbrstatement.KindEmpty:
		if len(b.items) == 0 {
			return bbrmetric.TargetNone, nil
		}
	}
	if session, ok := c.preparesSession(b); ok {
		return bbrmetric.TargetNone, c.describeSession(b, session)
	}
	if err := c.takeKey(r); err != nil {
		return "", err
	}
	if c.tx != nil {
		return c.serveInTransaction(r)
	}
	if err := c.settleToken(r); err != nil {
		return "", err
	}
	if c.isRead(b) {
		return c.serveRead(r)
	}
	return bbrmetric.TargetPrimary, c.serveWrite(r)
}

// takeKey moves the request key to the batch that it belongs to: one that
// commits.
func (c *session) takeKey(r *request) error {
	info := &r.batch.info
	if info.RequestKey != "" {
		c.requestKey = bbrtype.RequestKey(info.RequestKey)
	}
	if c.requestKey == "" || r.batch.isPrepareOnly() {
		return nil
	}
	commits := info.TxControl == bbrstatement.TxCommit
	alone := c.tx == nil && info.Kind == bbrstatement.KindWrite
	if !commits && !alone {
		return nil
	}
	if r.group.Config().RequestKeys == bbrconfig.KeysOff {
		return bbroutcome.New(bbroutcome.ReasonUnsupported, "group %q has request keys switched off", r.group.Name)
	}
	if info.HasTxControl && !commits || commits && info.Statements > 1 || info.CopyIn {
		return bbroutcome.New(bbroutcome.ReasonUnsupported, "a request key goes with one transaction and not with COPY")
	}
	r.key, c.requestKey = c.requestKey, ""
	return nil
}

// isRead reports whether a batch may be served by a replica.
func (c *session) isRead(b *batch) bool {
	switch b.info.Kind {
	case bbrstatement.KindRead, bbrstatement.KindEmpty:
		return !b.info.HasTxControl
	case bbrstatement.KindTxControl:
		return b.info.TxControl == bbrstatement.TxBegin && b.info.BeginsReadOnly
	}
	return false
}

// serveAborted answers within a transaction that was lost.
func (c *session) serveAborted(b *batch) error {
	switch b.info.TxControl {
	case bbrstatement.TxCommit, bbrstatement.TxRollback:
		c.aborted = false
		c.answerLocally(b, "ROLLBACK", nil, nil)
		return nil
	}
	return bbroutcome.New(bbroutcome.ReasonRolledBack, "the transaction was lost: end it with ROLLBACK")
}

// pause waits a moment, for a change of the view, or until the deadline. It
// returns false once the deadline has passed.
func (c *session) pause(deadline bbrtype.Mono, d time.Duration) bool {
	left := deadline.Sub(c.srv.deps.Clock.Now())
	if left <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(c.srv.ctx, min(d, left))
	defer cancel()
	select {
	case <-c.srv.deps.Registry.ViewChanged():
	case <-ctx.Done():
	}
	return true
}

// send passes a plan to a member and reads the answers.
func (c *session) exchange(p *plan, conn *bbrpool.Conn, address string, pm *pump) error {
	c.begin(address, conn)
	defer c.end()
	if err := conn.Write(p.wire); err != nil {
		conn.Taint()
		return err
	}
	if err := pm.run(p.steps); err != nil {
		conn.Taint()
		return err
	}
	return nil
}

// newPump prepares the reading of answers.
func (c *session) newPump(g *bbrgroup.Group, pool *bbrpool.Pool, conn *bbrpool.Conn, m bbrtype.MemberName) *pump {
	c.work.pump = pump{
		c: c, conn: conn, held: -1, base: len(c.out),
		watch: silentWatch{c: c, group: g, pool: pool, conn: conn, member: m},
	}
	if jg := c.srv.deps.Registry.View().Group(g.Name); jg != nil {
		l, _ := jg.LastPrimary()
		c.work.pump.watch.wasPrimary = l.Member == m
	}
	return &c.work.pump
}

// newPlan begins with the caller's session settings, if the connection has
// others.
func (c *session) newPlan(conn *bbrpool.Conn) *plan {
	p := &c.work.plan
	p.reset()
	if conn.Settings != c.digest {
		// A setting that the member refuses must not keep those of another caller in force.
		p.addQuery(roleSettings, 1, "RESET ALL")
		if len(c.settings) > 0 {
			p.addQuery(roleSettings, len(c.settings), settingsSQL(c.settings))
		}
		conn.Settings = c.digest
	}
	return p
}
