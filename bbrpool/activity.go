package bbrpool

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// activitySQL asks a member what its connections do.
const activitySQL = "SELECT pid, state FROM pg_stat_activity"

// activityFresh is how long a look at the connections serves others.
const activityFresh = 100 * time.Millisecond

// activityWatch looks at what a member's connections do. Those who ask at about
// the same time share a look, because each costs a new connection.
type activityWatch struct {
	mu     sync.Mutex
	at     bbrtype.Mono
	active map[uint32]bool
	err    error
}

// IsActive asks the member, over a new connection, whether it runs a statement
// of a connection. A *MemberError tells that the member lives and did not
// answer the question; any other error that it can't be reached.
func (p *Pool) IsActive(ctx context.Context, c *Conn) (bool, error) {
	w := &p.activity
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := p.opts.Clock.Now(); w.at == 0 || now.Sub(w.at) >= activityFresh {
		w.active, w.err = p.look(ctx)
		w.at = p.opts.Clock.Now()
	}
	return w.active[c.PID], w.err
}

// look reads what all connections do.
func (p *Pool) look(ctx context.Context) (map[uint32]bool, error) {
	probe, err := p.opts.Dialer.Dial(ctx, p.opts.Endpoint)
	if err != nil {
		return nil, err
	}
	defer probe.Close()
	rows, err := probe.Query(ctx, activitySQL)
	if err != nil {
		return nil, err
	}
	out := map[uint32]bool{}
	for _, row := range rows {
		if len(row) != 2 {
			return nil, errors.Errorf("the member's activity has %d columns: expected 2", len(row))
		}
		if pid, err := strconv.ParseUint(row[0], 10, 32); err == nil {
			out[uint32(pid)] = strings.HasPrefix(row[1], "active")
		}
	}
	return out, nil
}
