// Package bbrgroup holds what an instance needs to serve the database groups of
// the configuration in force: the pools of the members, the knowledge about
// replicas, and the present view of the journal.
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
	// pollPause is the pause between two looks at a replica that is awaited.
	pollPause = time.Millisecond
	// pollPatience bounds the wait for a connection to look at a replica.
	pollPatience = 2 * time.Second
)

// Group serves one database group.
type Group struct {
	Name    bbrtype.GroupName
	Tracker *bbrroute.Tracker

	registry *Registry

	mu  sync.Mutex
	cfg *bbrconfig.Group
	// stateQuery is the encoded query for a member's state.
	stateQuery []byte
	pools      map[bbrtype.MemberName]*bbrpool.Pool
	waits      int
	polled     map[bbrtype.MemberName]bool
	// moved is closed and replaced when a replica's state is observed while
	// somebody waits for it.
	moved chan struct{}
}

// Config returns the group's configuration in force.
func (g *Group) Config() *bbrconfig.Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg
}

// StateQuery returns the encoded query for a member's state.
func (g *Group) StateQuery() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stateQuery
}

// Pool returns the pool of a member, nil if it is none.
func (g *Group) Pool(m bbrtype.MemberName) *bbrpool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[m]
}

// Pools returns all pools.
func (g *Group) Pools() []*bbrpool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*bbrpool.Pool, 0, len(g.pools))
	for _, p := range g.pools {
		out = append(out, p)
	}
	return out
}

// Suspect is called when a connection to a member was found silent. Whatever lost
// track of it may have lost track of those to the other members as well, and a
// read that is sent to them next must not find out by waiting again.
func (g *Group) Suspect() {
	for _, p := range g.Pools() {
		p.Suspect()
		p.Interrupt()
	}
}

// Observe takes a member's state as read after a request sent at asOf, 0 if
// unknown.
func (g *Group) Observe(m bbrtype.MemberName, st bbrmember.State, asOf bbrtype.Mono) {
	v := g.registry.View()
	jg := v.Group(g.Name)
	if jg == nil {
		return
	}
	g.Tracker.Observe(jg, m, st, asOf, v.Until > asOf)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waits > 0 {
		close(g.moved)
		g.moved = make(chan struct{})
	}
}

// AwaitCopies waits until n replicas hold a position of the present history.
// It returns an error if they do not in time.
func (g *Group) AwaitCopies(ctx context.Context, p bbrtype.Position, n int) error {
	return g.await(ctx, func() bool {
		jg := g.registry.View().Group(g.Name)
		return jg != nil && g.Tracker.Copies(jg, p) >= n
	})
}

// AwaitMove waits until a member's state was observed. It returns false if the
// time is over before.
func (g *Group) AwaitMove(ctx context.Context) bool {
	moved, done := g.startWait()
	defer done()
	select {
	case <-moved:
		return true
	case <-ctx.Done():
		return false
	}
}

// startWait counts a waiter, so that replicas are looked at. It returns the
// channel that the next observation closes, and a function that ends the wait.
func (g *Group) startWait() (moved <-chan struct{}, done func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waits++
	g.pollLocked()
	return g.moved, func() {
		g.mu.Lock()
		g.waits--
		g.mu.Unlock()
	}
}

// await waits until a condition holds that depends on the replicas' states.
func (g *Group) await(ctx context.Context, holds func() bool) error {
	if holds() {
		return nil
	}
	moved, done := g.startWait()
	defer done()
	for !holds() {
		select {
		case <-moved:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for a replica")
		}
		g.mu.Lock()
		moved = g.moved
		g.mu.Unlock()
	}
	return nil
}

// pollLocked starts a poller for each replica that has none.
func (g *Group) pollLocked() {
	jg := g.registry.View().Group(g.Name)
	if jg == nil {
		return
	}
	l, _ := jg.Last()
	for m, pool := range g.pools {
		if m == l.Member || g.polled[m] {
			continue
		}
		g.polled[m] = true
		g.registry.group.Go(func() error {
			g.poll(m, pool)
			return nil
		})
	}
}

// poll looks at a replica's state again and again while somebody waits.
func (g *Group) poll(m bbrtype.MemberName, pool *bbrpool.Pool) {
	ctx, cancel := context.WithTimeout(context.Background(), pollPatience)
	defer cancel()
	defer func() {
		g.mu.Lock()
		delete(g.polled, m)
		if g.waits > 0 && ctx.Err() != nil {
			g.pollLocked()
		}
		g.mu.Unlock()
	}()
	conn, err := pool.Acquire(ctx, bbrpool.Ticket{Look: true, Deadline: g.registry.clock.Now().Add(pollPatience)})
	if err != nil {
		return
	}
	defer pool.Release(conn, 0)
	sql := g.Config().StateSQL
	for ctx.Err() == nil {
		g.mu.Lock()
		wanted := g.waits > 0
		g.mu.Unlock()
		if !wanted {
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
		time.Sleep(pollPause)
	}
}

// stateColumns is the number of columns of a group's state statement.
const stateColumns = 4

// ParseState reads the answer of a group's state statement: in recovery,
// visible position, received position, history.
func ParseState(rows [][]string) (bbrmember.State, error) {
	if len(rows) != 1 {
		return bbrmember.State{}, errors.Errorf("the state statement returned %d rows: expected 1", len(rows))
	}
	return ParseStateRow(rows[0])
}

// ParseStateRow reads one row of a group's state statement.
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
