package bbrlink

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrdirectory"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrplace"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Errors of Acquire. In each case nothing was sent to a member. In the texts, a
// member has room if it has a free slot.
var (
	// ErrAcquireTimeout means that no member had a free slot before the deadline.
	ErrAcquireTimeout = errors.New("no member had room in time")
	// ErrOverloaded means that the statement was rejected early, because the members
	// are overloaded and would not reply in time.
	ErrOverloaded = errors.New("the members have more work than they can do in time")
	// ErrConnectionsRefused means that the statement was rejected early, because all
	// members that may serve it refuse connections of this instance.
	ErrConnectionsRefused = errors.New("the members refuse connections")
	// ErrNotAMember means that the selected member is no longer in the group.
	ErrNotAMember = errors.New("the member took no connection")
)

const (
	// dialTimeout is the timeout for opening a connection to a member.
	dialTimeout = 400 * time.Millisecond
	// burstConnections is how many connections an instance may open to a member
	// beyond its share. An instance with more callers than others uses them.
	burstConnections = 1
	// burstIdleTimeout is how long a connection beyond the share may stay idle.
	burstIdleTimeout = 200 * time.Millisecond
	// idleTimeout is how long a connection beyond the first one to a member may stay
	// idle.
	idleTimeout = 2 * time.Second
	// unsharedIdleTimeout is how long any connection may stay idle if other instances
	// hold the connections to the members.
	unsharedIdleTimeout = 500 * time.Millisecond
)

// Acquire returns a connection to a member that may serve a statement. It waits for
// one until the deadline in req.
func (g *Group) Acquire(ctx context.Context, req bbrplace.Requirements) (*Conn, error) {
	granted := make(chan bbrtype.MemberName, 1)
	rejected := make(chan bbrplace.RejectReason, 1)
	w := &bbrplace.Waiter{
		Requirements: req,
		OnGrant:      func(id bbrtype.MemberName) { granted <- id },
		OnReject:     func(r bbrplace.RejectReason) { rejected <- r },
	}
	g.mu.Lock()
	now := g.Clock.Now()
	g.scheduler.Submit(w, now)
	g.scheduleWake(now)
	g.mu.Unlock()
	select {
	case id := <-granted:
		return g.connectFor(ctx, id, req.Tenant)
	case reason := <-rejected:
		return nil, g.reject(req, reason)
	default:
	}
	timer := time.NewTimer(req.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case id := <-granted:
		return g.connectFor(ctx, id, req.Tenant)
	case reason := <-rejected:
		return nil, g.reject(req, reason)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.cancelWait(w, granted)
	return nil, g.reject(req, reasonTimeout)
}

// cancelWait withdraws a queued statement, and releases its slot if one was granted
// in the meantime.
func (g *Group) cancelWait(w *bbrplace.Waiter, granted <-chan bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduler.Remove(w) {
		return
	}
	select {
	case id := <-granted:
		g.scheduler.Release(id, g.Clock.Now())
	default:
	}
}

// releaseSlot releases a slot that was granted but is not used by a connection.
func (g *Group) releaseSlot(id bbrtype.MemberName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Release(id, g.Clock.Now())
}

// connect returns an idle connection to a member or opens a new one, for statements that
// the instance issues itself. On an error the slot at the member is released.
func (g *Group) connect(ctx context.Context, id bbrtype.MemberName) (*Conn, error) {
	return g.connectFor(ctx, id, "")
}

// connectNew opens a connection for statements that the instance issues itself. On an
// error the slot at the member is released.
func (g *Group) connectNew(ctx context.Context, id bbrtype.MemberName) (*Conn, error) {
	return g.connectNewFor(ctx, id, "")
}

// connectFor returns an idle connection of a tenant to a member or opens a new one. On an
// error the slot at the member is released.
func (g *Group) connectFor(ctx context.Context, id bbrtype.MemberName, tenant bbrtype.TenantName) (*Conn, error) {
	g.mu.Lock()
	g.usage.Record(tenant, g.Clock.Now())
	c := g.takeIdle(id, tenant)
	g.mu.Unlock()
	if c != nil {
		return c, nil
	}
	return g.connectNewFor(ctx, id, tenant)
}

// connectNewFor opens a connection of a tenant to a member. On an error the slot at the
// member is released.
func (g *Group) connectNewFor(ctx context.Context, id bbrtype.MemberName, tenant bbrtype.TenantName) (*Conn, error) {
	g.mu.Lock()
	m, ok := g.members[id]
	if ok {
		g.makeRoom(m, tenant)
		g.dialing[id]++
	}
	g.mu.Unlock()
	if !ok {
		g.releaseSlot(id)
		return nil, &ConnectError{Member: id, err: ErrNotAMember}
	}
	c, err := g.dial(ctx, m, tenant)
	if err != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.recordDialFailure(id, err)
		g.scheduler.Release(id, g.Clock.Now())
		return nil, &ConnectError{Member: id, err: err}
	}
	return c, nil
}

// recordPosition records a position that a member's log has reached.
func (g *Group) recordPosition(id bbrtype.MemberName, position bbrmessage.LogPosition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reached[id] = bbrmessage.LaterPosition(g.reached[id], position)
}

// ForWrite returns a connection for a write in place of one that was acquired: the same, unless
// a failure of the write could not be told from an earlier one there. Then it is an idle one to
// the same member, or a new one that takes its place. On an error the slot is released.
func (g *Group) ForWrite(ctx context.Context, c *Conn) (*Conn, error) {
	id := c.member.ID
	g.mu.Lock()
	newest := g.reached[id]
	if !c.doubtsFailure(newest) {
		g.mu.Unlock()
		return c, nil
	}
	i := slices.IndexFunc(g.idle[id], func(o *Conn) bool { return o.tenant == c.tenant && !o.doubtsFailure(newest) })
	if i >= 0 {
		defer g.mu.Unlock()
		other := g.idle[id][i]
		c.idleSince, c.dialTime = g.Clock.Now(), 0
		g.idle[id][i] = c
		return other, nil
	}
	g.closeConn(c)
	g.mu.Unlock()
	return g.connectNewFor(ctx, id, c.tenant)
}

// dial opens a connection of a tenant to a member.
func (g *Group) dial(ctx context.Context, m bbrdirectory.Member, tenant bbrtype.TenantName) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	startedAt := g.Clock.Now()
	conn, err := g.dialAs(ctx, m, tenant)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dialing[m.ID]--
	if err != nil {
		return nil, err
	}
	g.open[m.ID]++
	g.dials.Opened++
	g.scheduler.SetOpenConnections(m.ID, g.open[m.ID])
	return &Conn{group: g, member: m, conn: conn, tenant: tenant, dialTime: g.Clock.Now().Sub(startedAt)}, nil
}

// ConnectError reports that no connection to a member could be opened. No statement
// was sent.
type ConnectError struct {
	Member bbrtype.MemberName
	err    error
}

// Error returns the member's name and the cause.
func (e *ConnectError) Error() string { return "member " + string(e.Member) + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.err }

// recordDialFailure records that a connection to a member could not be opened. A
// member at its connection limit is not counted as failing. The caller holds mu.
func (g *Group) recordDialFailure(id bbrtype.MemberName, err error) {
	now := g.Clock.Now()
	var f *bbrmessage.Failure
	if errors.As(err, &f) && f.Class == bbrmessage.ClassTooManyConnections {
		g.dials.Refused++
		g.replied[id] = true
		if pause := g.scheduler.RecordConnectionRefused(id, g.open[id], now); pause > 0 {
			// The jitter keeps instances from retrying at the same moment.
			time.AfterFunc(pause+time.Duration(rand.Int64N(int64(pause/2))), g.RefreshScheduler)
		}
		return
	}
	g.dials.Failed++
	g.recordNoReplyLocked(id, now)
	g.Log.WithFields(logrus.Fields{"group": g.name, "member": id}).WithError(err).Info("member unreachable")
}

// recordNoReplyLocked records that a member did not reply. failingSince becomes the
// time at which the oldest statement without a reply was sent, else now. The caller
// holds mu.
func (g *Group) recordNoReplyLocked(id bbrtype.MemberName, now bbrtype.Mono) {
	g.scheduler.RecordNoReply(id, now)
	g.scheduleWake(now)
	h := g.health[id]
	if h.failingSince == 0 {
		h.failingSince = now
		if since := g.unansweredSinceLocked(id); since != 0 {
			h.failingSince = since
		}
	}
	g.health[id] = h
}

// Release returns a connection to the pool, or closes it if it may not be reused or its
// member has restarted or left the group.
func (g *Group) Release(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	id := c.member.ID
	if c.idleInTx {
		c.idleInTx = false
		g.scheduler.ResumeTransaction(id)
	}
	m, known := g.members[id]
	if !c.mayBeReused() || !known || m.StartedAtMs != c.member.StartedAtMs {
		g.closeConn(c)
	} else {
		c.idleSince, c.dialTime = now, 0
		g.addIdle(c)
	}
	g.scheduler.Release(id, now)
	g.scheduleWake(now)
}

// ReplyTimeout returns the time after which a member's reply is considered lost.
func (g *Group) ReplyTimeout(id bbrtype.MemberName) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.ReplyTimeout(id)
}

// markOverdue releases the slot of a connection whose reply is overdue. Most likely
// the member has finished the statement and only its reply was lost, so the slot is
// used for other statements.
func (g *Group) markOverdue(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.replyOverdue {
		c.replyOverdue = true
		g.scheduler.Release(c.member.ID, g.Clock.Now())
	}
}

// clearOverdue ends the overdue state: the connection occupies a slot again.
func (g *Group) clearOverdue(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.replyOverdue {
		c.replyOverdue = false
		g.scheduler.ForceAcquire(c.member.ID)
	}
}

// beginIdleInTx releases the slot of a connection while its transaction has no
// statement in flight.
func (g *Group) beginIdleInTx(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.idleInTx {
		c.idleInTx = true
		g.scheduler.PauseTransaction(c.member.ID, g.Clock.Now())
	}
}

// endIdleInTx lets the connection occupy a slot again for the transaction's next
// statement.
func (g *Group) endIdleInTx(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.idleInTx {
		c.idleInTx = false
		g.scheduler.ResumeTransaction(c.member.ID)
	}
}

// closeIdleTo closes the idle connections to a member. The caller holds mu.
func (g *Group) closeIdleTo(id bbrtype.MemberName) {
	conns := g.idle[id]
	delete(g.idle, id)
	for _, c := range conns {
		g.closeConn(c)
		g.countIdle(id, c.tenant)
	}
}

// closeConn closes a connection. The caller holds mu.
func (g *Group) closeConn(c *Conn) {
	_ = c.conn.Close()
	id := c.member.ID
	g.open[id]--
	g.scheduler.SetOpenConnections(id, g.open[id])
	if g.open[id] <= 0 {
		delete(g.open, id)
	}
}

// CloseStale closes connections after their idle timeout: burstIdleTimeout beyond the
// instance's share, tenantIdleTimeout for those of a tenant, else idleTimeout. One connection
// to each member stays open unless other instances hold the connections.
func (g *Group) CloseStale() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for id, conns := range g.idle {
		share := g.shareIn(g.members[id])
		keep := 0
		if share.KeepsIdle {
			keep = 1
		}
		kept := conns[:0]
		var closed []bbrtype.TenantName
		for i, c := range conns {
			idleTime := now.Sub(c.idleSince)
			isBeyondShare := g.open[id] > share.Connections && idleTime > burstIdleTimeout
			left := len(kept) + len(conns) - i
			if isBeyondShare || left > keep && idleTime > c.idleTimeout(share) {
				g.closeConn(c)
				closed = append(closed, c.tenant)
				continue
			}
			kept = append(kept, c)
		}
		clear(conns[len(kept):])
		g.idle[id] = kept
		for _, tenant := range closed {
			g.countIdle(id, tenant)
		}
	}
}

// CloseIdle closes all idle connections.
func (g *Group) CloseIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.idle {
		g.closeIdleTo(id)
	}
}
