package bbrproxy

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrrequest"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// SQLSTATE codes of members that the key's protocol depends on.
const (
	codeUnique  = "23505"
	codeNoTable = "42P01"
)

// createKeySQL makes the table that holds request keys.
const createKeySQL = "CREATE TABLE IF NOT EXISTS bbr_request (request_key text PRIMARY KEY, fingerprint text NOT NULL," +
	" attempt bigint NOT NULL, outcome text NOT NULL, written_ms bigint NOT NULL)"

// clockSQL is the member's clock, in milliseconds.
const clockSQL = "(extract(epoch from clock_timestamp()) * 1000)::bigint"

// keyName is the key as it is stored: tenants have keys of their own.
func keyName(t bbrtype.TenantName, k bbrtype.RequestKey) string { return string(t) + "/" + string(k) }

func insertKeySQL(t bbrtype.TenantName, k bbrtype.RequestKey, mark string) string {
	return newRowSQL(t, k, mark, 0, bbrrequest.OutcomeDone)
}

func tombstoneSQL(t bbrtype.TenantName, k bbrtype.RequestKey, mark string) string {
	return newRowSQL(t, k, mark, 1, bbrrequest.OutcomeNotRun)
}

func newRowSQL(t bbrtype.TenantName, k bbrtype.RequestKey, mark string, attempt uint64, o bbrrequest.Outcome) string {
	return fmt.Sprintf("INSERT INTO bbr_request (request_key, fingerprint, attempt, outcome, written_ms) VALUES (%s, %s, %d, '%s', %s)",
		quoteText(keyName(t, k)), quoteText(mark), attempt, o, clockSQL)
}

// claimSQL lets a request run whose earlier attempt was found not to have run.
func claimSQL(t bbrtype.TenantName, k bbrtype.RequestKey, mark string, attempt uint64) string {
	return fmt.Sprintf("UPDATE bbr_request SET outcome = '%s', fingerprint = %s WHERE request_key = %s AND outcome = '%s' AND attempt = %d",
		bbrrequest.OutcomeDone, quoteText(mark), quoteText(keyName(t, k)), bbrrequest.OutcomeNotRun, attempt)
}

// closeSQL makes such an attempt impossible.
func closeSQL(t bbrtype.TenantName, k bbrtype.RequestKey, attempt uint64) string {
	return fmt.Sprintf("UPDATE bbr_request SET attempt = %d, written_ms = %s WHERE request_key = %s AND outcome = '%s' AND attempt = %d",
		attempt+1, clockSQL, quoteText(keyName(t, k)), bbrrequest.OutcomeNotRun, attempt)
}

func lookupSQL(t bbrtype.TenantName, k bbrtype.RequestKey) string {
	return "SELECT outcome, attempt, fingerprint, " + clockSQL + " - written_ms FROM bbr_request WHERE request_key = " +
		quoteText(keyName(t, k))
}

// fingerprint tells requests apart that come under the same key.
func fingerprint(b *batch) string {
	h := sha256.New()
	for _, text := range b.texts {
		_, _ = h.Write([]byte(text))
		_, _ = h.Write([]byte{0})
	}
	for i := range b.items {
		if it := &b.items[i]; it.kind == itemBind {
			_, _ = h.Write(b.buf[it.start:it.end])
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// runKeyed runs a write with a request key: the key goes into the database in
// the same transaction, so that its unique index makes a second run fail.
func (c *session) runKeyed(r *request, l bbrjournal.PrimaryTerm, pool *bbrpool.Pool, conn *bbrpool.Conn) error {
	p := c.newPlan(conn)
	p.addQuery(roleKey, 2, "BEGIN; "+insertKeySQL(c.tenant, r.key, fingerprint(r.batch)))
	c.addKeyedBody(p, r, conn)
	return c.runKeyedPlan(r, l, pool, conn, p)
}

// addKeyedBody adds the caller's batch, the commit and the look at the state.
func (c *session) addKeyedBody(p *plan, r *request, conn *bbrpool.Conn) {
	p.addBatch(r.batch, conn)
	p.addQuery(roleCommit, 1, "COMMIT")
	p.addState(r.group)
}

// runKeyedPlan sends a keyed write and decides what the caller is told.
func (c *session) runKeyedPlan(r *request, l bbrjournal.PrimaryTerm, pool *bbrpool.Pool, conn *bbrpool.Conn, p *plan) error {
	pm := c.newPump(r.group, pool, conn, l.Member)
	pm.holdTags = true
	sentAt := c.srv.deps.Clock.Now()
	err := c.exchange(p, conn, pool.Endpoint().Address, pm)
	took := c.srv.deps.Clock.Now().Sub(sentAt)
	if err != nil {
		pm.withdraw()
		pool.Discard(conn)
		c.connectionLost(r.group, l.Member, err)
		return c.resolve(r)
	}
	c.answered(r.group, l.Member)
	pool.Release(conn, took)
	switch {
	case pm.ans.keyRefused != nil:
		pm.withdraw()
		return c.keyRefused(r, pm.ans.keyRefused)
	case pm.ans.refused != nil:
		// The member rolled everything back, the key too.
		return nil
	case pm.ans.commitRefused != nil:
		pm.withdraw()
		return c.keyRefused(r, pm.ans.commitRefused)
	case pm.ans.commitTag != "COMMIT":
		pm.withdraw()
		return bbroutcome.New(bbroutcome.ReasonRolledBack, "the member rolled the request back")
	}
	err = c.acknowledge(r.group, l, pm, sentAt, true)
	var told *bbroutcome.Error
	if errors.As(err, &told) && told.Reason == bbroutcome.ReasonOutcomeUnknown {
		return c.resolve(r)
	}
	return err
}

// keyRefused decides what to do when the key could not be stored.
func (c *session) keyRefused(r *request, refused *bbrpool.MemberError) error {
	switch {
	case refused.Code == codeNoTable:
		if err := c.createKeyTable(r); err != nil {
			return err
		}
		if r.batch.info.TxControl == "" {
			return c.serveWrite(r)
		}
		return bbroutcome.New(bbroutcome.ReasonRolledBack, "the table for request keys was missing and has been made")
	case refused.Code != codeUnique:
		return bbroutcome.New(bbroutcome.ReasonRolledBack, "the member refused the commit: %s (%s)", refused.Message, refused.Code)
	}
	return c.reconsider(r)
}

// reconsider looks up a key that is taken. A request that was found not to have
// run before is run now.
func (c *session) reconsider(r *request) error {
	for {
		row, found, err := c.lookup(r)
		if err != nil {
			return err
		}
		arrived := c.srv.deps.Clock.Now().Sub(r.startedAt)
		switch decision := bbrrequest.OnKeyConflict(row, found, fingerprint(r.batch), arrived); decision.Action {
		case bbrrequest.ReportAlreadyRun:
			return bbroutcome.New(bbroutcome.ReasonAlreadyRun, "request %q was run before", r.key)
		case bbrrequest.ReportKeyReused:
			return bbroutcome.New(bbroutcome.ReasonKeyReused, "request key %q belongs to another request", r.key)
		case bbrrequest.InvalidateAttempt:
			return c.resolve(r)
		case bbrrequest.RunAttempt:
			if r.batch.info.TxControl != "" {
				return bbroutcome.New(bbroutcome.ReasonRolledBack, "request key %q is marked as not run: give the new try a key of its own", r.key)
			}
			return c.runClaimed(r, decision.Attempt)
		case bbrrequest.Undecided:
			return bbroutcome.New(bbroutcome.ReasonRolledBack, "request key %q was taken and given back", r.key)
		}
		if !c.pause(r.deadline, gatePause) {
			return bbroutcome.New(bbroutcome.ReasonRolledBack, "request key %q is in use", r.key)
		}
	}
}

// runClaimed runs a request whose earlier attempt did not run.
func (c *session) runClaimed(r *request, attempt uint64) error {
	l, pool, err := c.awaitPrimary(r, 0)
	if err != nil {
		return err
	}
	conn, err := c.acquire(r, pool)
	if err != nil {
		return c.notSent(r, err)
	}
	ctx, cancel := context.WithTimeout(c.srv.ctx, commitTimeout)
	defer cancel()
	claim := claimSQL(c.tenant, r.key, fingerprint(r.batch), attempt)
	rows, err := conn.Query(ctx, "BEGIN; "+claim+" RETURNING attempt")
	if err == nil {
		err = conn.CheckQuiet()
	}
	if err != nil || len(rows) != 1 {
		// Somebody else was faster, or the connection broke: nothing is
		// committed without COMMIT.
		pool.Discard(conn)
		return bbroutcome.New(bbroutcome.ReasonRolledBack, "request key %q is in use", r.key)
	}
	p := c.newPlan(conn)
	if len(p.steps) > 0 {
		// A rollback takes the settings back.
		conn.Settings = bbrpool.SettingsUnknown
	}
	c.addKeyedBody(p, r, conn)
	return c.runKeyedPlan(r, l, pool, conn, p)
}

// notSent turns an error before anything was sent into the caller's.
func (c *session) notSent(r *request, err error) error {
	var told *bbroutcome.Error
	if errors.As(err, &told) {
		return err
	}
	return bbroutcome.New(bbroutcome.ReasonNoPrimary, "the primary of group %q can't be reached: %v", r.group.Name, err)
}

// resolve finds out the fate of a keyed request whose answer was lost. A
// tombstone under the key makes a request that has not run impossible to run
// later. Until it succeeds the fate is unknown.
func (c *session) resolve(r *request) error {
	now := c.srv.deps.Clock.Now()
	r.deadline = now.Add(c.srv.opts.ResolvePatience)
	mark := fingerprint(r.batch)
	for {
		verdict, err := c.tryResolve(r, mark)
		if err == nil {
			return verdict
		}
		if !c.pause(r.deadline, bbrpool.Jitter(2*gatePause)) {
			return bbroutcome.New(bbroutcome.ReasonOutcomeUnknown, "the fate of request %q could not be found out: %v", r.key, err)
		}
	}
}

// tryResolve makes one try. It returns what the caller is told, or an error if
// the fate is still unknown.
func (c *session) tryResolve(r *request, mark string) (*bbroutcome.Error, error) {
	notRun := bbroutcome.New(bbroutcome.ReasonConfirmedNotRun, "request %q was not run", r.key)
	_, err := c.runSystem(r, tombstoneSQL(c.tenant, r.key, mark))
	var refused *bbrpool.MemberError
	switch {
	case errors.As(err, &refused) && refused.Code == codeNoTable:
		if err := c.createKeyTable(r); err != nil {
			return nil, err
		}
		return nil, refused
	case errors.As(err, &refused) && refused.Code == codeUnique:
	case err != nil:
		return nil, err
	default:
		return notRun, nil
	}
	row, found, err := c.lookup(r)
	if err != nil {
		return nil, err
	}
	switch decision := bbrrequest.OnUnknownOutcome(row, found, mark); decision.Action {
	case bbrrequest.ReportAlreadyRun:
		return bbroutcome.New(bbroutcome.ReasonAlreadyRun, "request %q was run; its answer is lost", r.key), nil
	case bbrrequest.ReportKeyReused:
		return bbroutcome.New(bbroutcome.ReasonKeyReused, "request key %q belongs to another request", r.key), nil
	case bbrrequest.InvalidateAttempt:
		rows, err := c.runSystem(r, closeSQL(c.tenant, r.key, decision.Attempt)+" RETURNING attempt")
		if err != nil {
			return nil, err
		}
		if len(rows) == 1 {
			return notRun, nil
		}
	}
	return nil, errors.Errorf("request key %q is in flux", r.key)
}

// createKeyTable makes the table for request keys.
func (c *session) createKeyTable(r *request) error {
	_, err := c.runSystem(r, createKeySQL)
	var told *bbroutcome.Error
	if err == nil || errors.As(err, &told) {
		return err
	}
	return bbroutcome.New(bbroutcome.ReasonRolledBack, "the table for request keys can't be made: %v", err)
}

// lookup reads a key's row from the primary.
func (c *session) lookup(r *request) (bbrrequest.Row, bool, error) {
	rows, err := c.runSystem(r, lookupSQL(c.tenant, r.key))
	if err != nil || len(rows) == 0 {
		return bbrrequest.Row{}, false, err
	}
	row, err := parseKeyRow(rows[0])
	return row, err == nil, err
}

// parseKeyRow reads the columns of lookupSQL.
func parseKeyRow(cols []string) (bbrrequest.Row, error) {
	if len(cols) != 4 {
		return bbrrequest.Row{}, errors.Errorf("the table of request keys returned %d columns: expected 4", len(cols))
	}
	attempt, err := strconv.ParseUint(cols[1], 10, 64)
	if err != nil {
		return bbrrequest.Row{}, errors.Wrap(err, "read the attempt of a request key")
	}
	ms, err := strconv.ParseInt(cols[3], 10, 64)
	if err != nil {
		return bbrrequest.Row{}, errors.Wrap(err, "read the age of a request key")
	}
	return bbrrequest.Row{
		Outcome: bbrrequest.Outcome(cols[0]), Attempt: attempt, Fingerprint: cols[2], Age: time.Duration(ms) * time.Millisecond,
	}, nil
}

// runSystem runs a statement of the system's own on the primary. It succeeds
// only if the result holds under the rules for acknowledgements.
func (c *session) runSystem(r *request, sql string) ([][]string, error) {
	l, pool, err := c.awaitPrimary(r, 0)
	if err != nil {
		return nil, err
	}
	t := r.ticket()
	t.Priority, t.Queue = 0, systemQueue
	conn, err := pool.Acquire(c.srv.ctx, t)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(c.srv.ctx, commitTimeout)
	defer cancel()
	sentAt := c.srv.deps.Clock.Now()
	rows, err := conn.Query(ctx, sql)
	pm := &pump{c: c, held: -1, base: len(c.out)}
	if err == nil {
		pm.ans.state, err = readState(ctx, conn, r.group)
		pm.ans.hasState = err == nil
	}
	pool.Release(conn, c.srv.deps.Clock.Now().Sub(sentAt))
	if err != nil {
		return nil, err
	}
	if err := c.confirm(r.group, l, pm, sentAt, true); err != nil {
		return nil, errors.New(err.Error())
	}
	return rows, nil
}
