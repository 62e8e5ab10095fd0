// Package bbrgroup holds the state with which an instance serves the database
// groups of the configuration in force: a connection pool for each member, a
// tracker of each group's members (their reported states and their load), and
// the view, which combines the journal's state with the configuration.
//
// A caller can wait until a replica has received a position. While any caller
// waits, the replicas of the group are polled for their state.
//
// # Usage
//
//	r := bbrgroup.NewRegistry(deps)
//	r.SetConfig(cfg, version, hash)
//	g, ok := r.Group("billing")
//	conn, err := g.Pool("m1").Acquire(ctx, ticket)
package bbrgroup

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrroute"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// pollInterval is the pause between two queries for the state of a replica
	// that a caller waits for.
	pollInterval = time.Millisecond
	// pollTimeout bounds one run of a poller, which includes the wait for a
	// connection to the replica.
	pollTimeout = 2 * time.Second
)

// Group holds the pools and the tracker of one database group.
type Group struct {
	Name    bbrtype.GroupName
	Tracker *bbrroute.Tracker

	registry *Registry

	mu  sync.Mutex
	cfg *bbrconfig.Group
	// stateQuery is the encoded message that queries a member's state.
	stateQuery []byte
	pools      map[bbrtype.MemberName]*bbrpool.Pool
	// waiters counts the callers that wait for a change of a member's state.
	waiters int
	// polling holds the replicas that have a running poller.
	polling map[bbrtype.MemberName]bool
	// observed is closed and replaced when a member's state is observed while
	// there are waiters.
	observed chan struct{}
}

// Config returns the group's configuration in force.
func (g *Group) Config() *bbrconfig.Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg
}

// StateQuery returns the encoded message that queries a member's state.
func (g *Group) StateQuery() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stateQuery
}

// Pool returns the pool of a member, or nil if the group has no such member.
func (g *Group) Pool(m bbrtype.MemberName) *bbrpool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[m]
}

// Pools returns the pools of all members.
func (g *Group) Pools() []*bbrpool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*bbrpool.Pool, 0, len(g.pools))
	for _, p := range g.pools {
		out = append(out, p)
	}
	return out
}

// Suspect is called when a connection to a member stopped responding without
// being closed. Whatever dropped the state of that connection in the network may
// have dropped that of the connections to the other members as well. Each pool
// therefore closes its idle connections, probes those in use before their next
// use, and rechecks the statements that wait for an answer. Otherwise, a read
// that is sent to another member next would have to time out to detect the same
// fault.
func (g *Group) Suspect() {
	for _, p := range g.Pools() {
		p.Suspect()
		p.Interrupt()
	}
}

// Observe records a state that a member reported. asOf is when the request for
// it was sent, 0 if unknown.
func (g *Group) Observe(m bbrtype.MemberName, st bbrmember.State, asOf bbrtype.Mono) {
	v := g.registry.View()
	jg := v.Group(g.Name)
	if jg == nil {
		return
	}
	g.Tracker.Observe(jg, m, st, asOf, v.Until > asOf)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiters > 0 {
		close(g.observed)
		g.observed = make(chan struct{})
	}
}

// AwaitCopies waits until n replicas have received position p of the current
// history. It returns an error if ctx ends first.
func (g *Group) AwaitCopies(ctx context.Context, p bbrtype.Position, n int) error {
	return g.awaitCondition(ctx, func() bool {
		jg := g.registry.View().Group(g.Name)
		return jg != nil && g.Tracker.Copies(jg, p) >= n
	})
}

// AwaitMove waits until a state of any member is observed. It returns false if
// ctx ends first.
func (g *Group) AwaitMove(ctx context.Context) bool {
	observed, done := g.addWaiter()
	defer done()
	select {
	case <-observed:
		return true
	case <-ctx.Done():
		return false
	}
}

// addWaiter registers a waiter, so that the replicas are polled. It returns a
// channel that the next observation closes, and a function that removes the
// waiter.
func (g *Group) addWaiter() (observed <-chan struct{}, done func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiters++
	g.startPollersLocked()
	return g.observed, func() {
		g.mu.Lock()
		g.waiters--
		g.mu.Unlock()
	}
}

// awaitCondition waits until a condition on the replicas' states holds. The
// condition is checked after each observation.
func (g *Group) awaitCondition(ctx context.Context, condition func() bool) error {
	if condition() {
		return nil
	}
	observed, done := g.addWaiter()
	defer done()
	for !condition() {
		select {
		case <-observed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for a replica")
		}
		g.mu.Lock()
		observed = g.observed
		g.mu.Unlock()
	}
	return nil
}

// startPollersLocked starts a poller for each replica that has none. g.mu must
// be held.
func (g *Group) startPollersLocked() {
	jg := g.registry.View().Group(g.Name)
	if jg == nil {
		return
	}
	l, _ := jg.Last()
	for m, pool := range g.pools {
		if m == l.Member || g.polling[m] {
			continue
		}
		g.polling[m] = true
		g.registry.tasks.Go(func() error {
			g.pollReplica(m, pool)
			return nil
		})
	}
}

// pollReplica queries a replica's state repeatedly while there are waiters.
func (g *Group) pollReplica(m bbrtype.MemberName, pool *bbrpool.Pool) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	defer func() {
		g.mu.Lock()
		delete(g.polling, m)
		if g.waiters > 0 && ctx.Err() != nil {
			g.startPollersLocked()
		}
		g.mu.Unlock()
	}()
	conn, err := pool.Acquire(ctx, bbrpool.Ticket{Look: true, Deadline: g.registry.clock.Now().Add(pollTimeout)})
	if err != nil {
		return
	}
	defer pool.Release(conn, 0)
	sql := g.Config().StateSQL
	for ctx.Err() == nil {
		g.mu.Lock()
		hasWaiters := g.waiters > 0
		g.mu.Unlock()
		if !hasWaiters {
			return
		}
		sentAt := g.registry.clock.Now()
		rows, err := conn.QueryPrepared(ctx, sql)
		if err != nil {
			conn.Taint()
			return
		}
		if st, err := ParseState(rows); err == nil {
			g.Observe(m, st, sentAt)
		}
		time.Sleep(pollInterval)
	}
}

// stateColumns is the number of columns that a group's state statement returns.
const stateColumns = 4

// ParseState parses the result of a group's state statement. Its columns are:
// in recovery, visible position, received position, history.
func ParseState(rows [][]string) (bbrmember.State, error) {
	if len(rows) != 1 {
		return bbrmember.State{}, errors.Errorf("the state statement returned %d rows: expected 1", len(rows))
	}
	return ParseStateRow(rows[0])
}

// ParseStateRow parses one row of the result of a group's state statement. An
// empty received position means that it equals the visible position.
func ParseStateRow[T ~string | ~[]byte](row []T) (bbrmember.State, error) {
	var st bbrmember.State
	if len(row) != stateColumns {
		return st, errors.Errorf("the state statement returned %d columns: expected %d", len(row), stateColumns)
	}
	switch string(row[0]) {
	case "t", "true":
	case "f", "false":
		st.Primary = true
	default:
		return st, errors.Errorf("the state statement's first column is %q: expected t or f", row[0])
	}
	var err error
	if st.Position, err = bbrtype.ParsePosition(string(row[1])); err != nil {
		return st, err
	}
	st.Received = st.Position
	if len(row[2]) > 0 {
		if st.Received, err = bbrtype.ParsePosition(string(row[2])); err != nil {
			return st, err
		}
	}
	h, err := strconv.ParseUint(string(row[3]), 10, 64)
	if err != nil {
		return st, errors.Errorf("the state statement's history is %q: expected a number", row[3])
	}
	st.History = bbrtype.History(h)
	return st, nil
}
