package bbrinstance

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// probers keeps one connection to each member that is probed. They lie outside
// the quota: a few connections of each member are set aside for them.
type probers struct {
	i *Instance

	mu    sync.Mutex
	conns map[bbrmember.Ref]keptConn
}

// keptConn is a connection that waits for the next probe.
type keptConn struct {
	conn *bbrpool.Conn
	at   bbrtype.Mono
}

// keepProbe is how long a connection waits for the next probe. Members that were
// probed only while they were suspected get their connections back then.
const keepProbe = 3 * time.Second

func newProbers(i *Instance) *probers {
	return &probers{i: i, conns: map[bbrmember.Ref]keptConn{}}
}

// sweep closes the connections that no probe has used for long.
func (p *probers) sweep() {
	now := p.i.deps.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for ref, k := range p.conns {
		if now.Sub(k.at) > keepProbe {
			k.conn.Close()
			delete(p.conns, ref)
		}
	}
}

// take returns the connection kept for a member, if there is one.
func (p *probers) take(ref bbrmember.Ref) *bbrpool.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.conns[ref]
	delete(p.conns, ref)
	return k.conn
}

// keep puts a connection back.
func (p *probers) keep(ref bbrmember.Ref, c *bbrpool.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.conns[ref]; ok {
		old.conn.Close()
		delete(p.conns, ref)
	}
	if p.i.ctx.Err() != nil {
		c.Close()
		return
	}
	p.conns[ref] = keptConn{conn: c, at: p.i.deps.Clock.Now()}
}

func (p *probers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ref, k := range p.conns {
		k.conn.Close()
		delete(p.conns, ref)
	}
}

// probe reads a member's state and reports the outcome.
func (p *probers) probe(a bbrcontrol.Probe) {
	ctx, cancel := context.WithTimeout(p.i.ctx, a.Timeout)
	defer cancel()
	sentAt := p.i.deps.Clock.Now()
	st, err := p.read(ctx, a.Ref)
	var refused *bbrpool.MemberError
	switch {
	case err == nil:
		if g, ok := p.i.deps.Registry.Group(a.Ref.Group); ok {
			g.Observe(a.Ref.Member, st, sentAt)
		}
		p.i.step(bbrcontrol.MemberAnswered{Ref: a.Ref, SentAt: sentAt, State: &st, Probed: true})
	case errors.As(err, &refused):
		// It answers, if only to say that it has no room.
		p.i.step(bbrcontrol.MemberAnswered{Ref: a.Ref, SentAt: sentAt, Probed: true})
	case errors.Is(err, errNoEndpoint):
		p.i.step(bbrcontrol.MemberFailed{Ref: a.Ref, Kind: bbrmember.FailureNone, Probed: true})
	default:
		p.i.step(bbrcontrol.MemberFailed{Ref: a.Ref, Kind: bbrpool.FailureKind(err), Probed: true, SentAt: sentAt})
	}
}

// errNoEndpoint tells that the configuration in force does not have the member.
var errNoEndpoint = errors.New("the member's address is not known yet")

// read asks a member for its state, over a new connection if the kept one
// fails.
func (p *probers) read(ctx context.Context, ref bbrmember.Ref) (bbrmember.State, error) {
	g, ok := p.i.deps.Registry.Group(ref.Group)
	if !ok {
		return bbrmember.State{}, errNoEndpoint
	}
	sql := g.Config().StateSQL
	if c := p.take(ref); c != nil {
		// The kept connection may have gone silent: a new one gets its time.
		deadline, _ := ctx.Deadline()
		half, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		rows, err := c.QueryPrepared(half, sql)
		cancel()
		if err == nil {
			p.keep(ref, c)
			return bbrgroup.ParseState(rows)
		}
		c.Close()
		if pool := g.Pool(ref.Member); pool != nil && bbrpool.FailureKind(err) == bbrmember.FailureNoResponse {
			pool.Reap(c.PID)
		}
	}
	c, err := p.i.dial(ctx, ref)
	if err != nil {
		return bbrmember.State{}, err
	}
	rows, err := c.QueryPrepared(ctx, sql)
	if err != nil {
		c.Close()
		return bbrmember.State{}, err
	}
	p.keep(ref, c)
	return bbrgroup.ParseState(rows)
}

// dial connects to a member.
func (i *Instance) dial(ctx context.Context, ref bbrmember.Ref) (*bbrpool.Conn, error) {
	e, ok := i.deps.Registry.Endpoint(ref)
	if !ok {
		return nil, errNoEndpoint
	}
	return i.dialer.Dial(ctx, e)
}

// promote orders a promotion and reads the state before and after it.
func (i *Instance) promote(a bbrcontrol.Promote) {
	ev := bbrcontrol.PromotionFinished{Ref: a.Ref, Term: a.Term}
	ctx, cancel := context.WithTimeout(i.ctx, a.Timeout)
	defer cancel()
	if err := i.orderPromotion(ctx, a, &ev); err != nil {
		ev.Failed = true
		i.deps.Log.WithError(err).WithField("group", a.Ref.Group).WithField("member", a.Ref.Member).Warn("promotion failed")
	}
	i.step(ev)
}

func (i *Instance) orderPromotion(ctx context.Context, a bbrcontrol.Promote, ev *bbrcontrol.PromotionFinished) error {
	g, ok := i.deps.Registry.Group(a.Ref.Group)
	if !ok {
		return errNoEndpoint
	}
	c, err := i.dial(ctx, a.Ref)
	if err != nil {
		return err
	}
	defer c.Close()
	gc := g.Config()
	if ev.Before, err = queryState(ctx, c, gc.StateSQL); err != nil {
		return err
	}
	if !ev.Before.Primary {
		if _, err = c.Query(ctx, expand(gc.PromoteSQL, a.Term, "", "")); err != nil {
			return errors.Wrap(err, "order the promotion")
		}
	}
	for {
		if ev.After, err = queryState(ctx, c, gc.StateSQL); err != nil || ev.After.Primary {
			return err
		}
		time.Sleep(tickEvery)
	}
}

func queryState(ctx context.Context, c *bbrpool.Conn, sql string) (bbrmember.State, error) {
	rows, err := c.Query(ctx, sql)
	if err != nil {
		return bbrmember.State{}, errors.Wrap(err, "read the state")
	}
	return bbrgroup.ParseState(rows)
}

// expand fills in the placeholders of a group's statement.
func expand(sql string, term bbrtype.Term, host, port string) string {
	return strings.NewReplacer("{term}", strconv.FormatUint(uint64(term), 10), "{host}", host, "{port}", port).Replace(sql)
}

// follow orders a member to follow the primary.
func (i *Instance) follow(a bbrcontrol.Follow) {
	ctx, cancel := context.WithTimeout(i.ctx, orderTimeout)
	defer cancel()
	err := i.orderFollowing(ctx, a)
	log := i.deps.Log.WithField("group", a.Ref.Group).WithField("member", a.Ref.Member).WithField("target", a.Primary)
	if err != nil {
		log.WithError(err).Debug("member not repointed")
		return
	}
	log.Info("member told to follow the primary")
}

func (i *Instance) orderFollowing(ctx context.Context, a bbrcontrol.Follow) error {
	g, ok := i.deps.Registry.Group(a.Ref.Group)
	if !ok {
		return errNoEndpoint
	}
	target, ok := i.deps.Registry.Endpoint(bbrmember.Ref{Group: a.Ref.Group, Member: a.Primary})
	if !ok {
		return errNoEndpoint
	}
	host, port, err := net.SplitHostPort(target.Address)
	if err != nil {
		return errors.Wrap(err, "address of the primary")
	}
	c, err := i.dial(ctx, a.Ref)
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = c.Query(ctx, expand(g.Config().FollowSQL, a.Term, host, port))
	return errors.Wrap(err, "order the following")
}
