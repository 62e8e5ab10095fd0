// Package bbrgroup contains the runtime objects with which an instance serves the
// database groups of the configuration in force: a connection pool per member, a
// tracker per group (the reported states and the load of its members), and the
// view, a snapshot of the journal's state, the instance's authority and the
// configuration.
//
// Statements can wait until replicas have received a position. While any
// statement waits, the replicas of the group are polled for their state.
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
	// pollInterval is the pause between two state queries to a replica.
	pollInterval = time.Millisecond
	// pollTimeout bounds one run of a poller, which includes the wait for a
	// connection to the replica. A poller that times out is restarted while
	// there are waiters.
	pollTimeout = 2 * time.Second
)

// Group contains the pools and the tracker of one database group.
type Group struct {
	Name    bbrtype.GroupName
	Tracker *bbrroute.Tracker

	registry *Registry

	mu  sync.Mutex
	cfg *bbrconfig.Group
	// encodedStateQuery is the encoded message of the state query.
	encodedStateQuery []byte
	pools             map[bbrtype.MemberName]*bbrpool.Pool
	// waiterCount counts the statements that wait for the next observation of
	// a member's state.
	waiterCount int
	// pollers is the set of replicas that have a running poller.
	pollers map[bbrtype.MemberName]bool
	// nextObservation is closed and replaced when a member's state is observed
	// while there are waiters.
	nextObservation chan struct{}
}

// Config returns the group's configuration in force.
func (g *Group) Config() *bbrconfig.Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg
}

// EncodedStateQuery returns the encoded message of the state query, which
// reads a member's state.
func (g *Group) EncodedStateQuery() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.encodedStateQuery
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

// SuspectConnections is called when a connection to a member stopped
// responding without being closed. Whatever lost the state of that connection
// may have lost that of connections to the other members as well. Every pool
// therefore closes its idle connections, probes a connection in use before it
// is used again, and checks at once the connections of statements in flight.
// Otherwise, a read that is sent to another member next could run into the
// same timeout.
func (g *Group) SuspectConnections() {
	for _, p := range g.Pools() {
		p.Suspect()
		p.Interrupt()
	}
}

// Observe records a state that a member reported. sentAt is when the request
// for the state was sent, 0 if unknown.
func (g *Group) Observe(m bbrtype.MemberName, st bbrmember.State, sentAt bbrtype.Mono) {
	v := g.registry.View()
	journalGroup := v.Group(g.Name)
	if journalGroup == nil {
		return
	}
	g.Tracker.Observe(journalGroup, m, st, sentAt, v.AuthorityUntil > sentAt)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiterCount > 0 {
		close(g.nextObservation)
		g.nextObservation = make(chan struct{})
	}
}

// AwaitReplicas waits until n replicas have received position p of the current
// history. It returns an error if ctx ends first.
func (g *Group) AwaitReplicas(ctx context.Context, p bbrtype.Position, n int) error {
	return g.awaitCondition(ctx, func() bool {
		journalGroup := g.registry.View().Group(g.Name)
		return journalGroup != nil && g.Tracker.ReplicasAt(journalGroup, p) >= n
	})
}

// AwaitObservation waits until the state of any member is observed, changed or
// not. It returns false if ctx ends first.
func (g *Group) AwaitObservation(ctx context.Context) bool {
	nextObservation, removeWaiter := g.addWaiter()
	defer removeWaiter()
	select {
	case <-nextObservation:
		return true
	case <-ctx.Done():
		return false
	}
}

// addWaiter registers a waiter, so that the replicas are polled. It returns a
// channel that is closed at the next observation, and a function that removes
// the waiter.
func (g *Group) addWaiter() (nextObservation <-chan struct{}, removeWaiter func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiterCount++
	g.startPollersLocked()
	return g.nextObservation, func() {
		g.mu.Lock()
		g.waiterCount--
		g.mu.Unlock()
	}
}

// awaitCondition waits until a condition on the replicas' states holds. The
// condition is checked after each observation.
func (g *Group) awaitCondition(ctx context.Context, condition func() bool) error {
	if condition() {
		return nil
	}
	nextObservation, removeWaiter := g.addWaiter()
	defer removeWaiter()
	for !condition() {
		select {
		case <-nextObservation:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for a replica")
		}
		g.mu.Lock()
		nextObservation = g.nextObservation
		g.mu.Unlock()
	}
	return nil
}

// startPollersLocked starts a poller for each member, other than the last
// primary, that has none. g.mu must be held.
func (g *Group) startPollersLocked() {
	journalGroup := g.registry.View().Group(g.Name)
	if journalGroup == nil {
		return
	}
	primary, _ := journalGroup.LastPrimary()
	for m, pool := range g.pools {
		if m == primary.Member || g.pollers[m] {
			continue
		}
		g.pollers[m] = true
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
		delete(g.pollers, m)
		if g.waiterCount > 0 && ctx.Err() != nil {
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
		hasWaiters := g.waiterCount > 0
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

// stateColumns is the number of columns that a state query returns.
const stateColumns = 4

// ParseState parses the result of a state query. Its columns are: whether the
// member is in recovery (t or f), replayed position, received position,
// history.
func ParseState(rows [][]string) (bbrmember.State, error) {
	if len(rows) != 1 {
		return bbrmember.State{}, errors.Errorf("the state statement returned %d rows: expected 1", len(rows))
	}
	return ParseStateRow(rows[0])
}

// ParseStateRow parses one row of the result of a state query. An empty
// received position means that it equals the replayed position.
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
