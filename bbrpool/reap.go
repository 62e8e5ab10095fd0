package bbrpool

import (
	"context"
	"strconv"
	"time"
)

const (
	// reapTries bounds the tries to reach the member.
	reapTries = 20
	// reapPause is the pause between two tries.
	reapPause = 250 * time.Millisecond
)

// terminateSQL makes a member end a connection.
const terminateSQL = "SELECT pg_terminate_backend("

// Reap asks the member to end connections that went silent. The member does not
// notice by itself for long, and they count against its limit.
func (p *Pool) Reap(pids ...uint32) {
	if len(pids) == 0 {
		return
	}
	p.opts.Group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), reapTries*reapPause)
		defer cancel()
		for ctx.Err() == nil {
			if p.terminate(ctx, pids) == nil {
				return nil
			}
			time.Sleep(Jitter(2 * reapPause))
		}
		return nil
	})
}

// terminate ends connections over a new one.
func (p *Pool) terminate(ctx context.Context, pids []uint32) error {
	c, err := p.opts.Dialer.Dial(ctx, p.opts.Endpoint)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, pid := range pids {
		if _, err := c.Query(ctx, terminateSQL+strconv.FormatUint(uint64(pid), 10)+")"); err != nil {
			return err
		}
	}
	return nil
}
