package bbrstandindb

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"
)

const (
	// shipBatch bounds the entries in one message.
	shipBatch = 256
	// shipHeartbeat is the time after which an idle primary sends an empty
	// message.
	shipHeartbeat = 500 * time.Millisecond
	// followRetry is the pause before a replica connects again.
	followRetry = 100 * time.Millisecond
	// replayPause bounds the pause between two looks at received entries.
	replayPause = time.Millisecond
	// followTimeout is the silence after which a replica connects again.
	followTimeout = 3 * time.Second
)

// followRequest is what a replica sends to its primary.
type followRequest struct {
	Lineage  []Fork `json:"lineage"`
	Position uint64 `json:"position"`
}

// shipment is what a primary sends to its replica. Rewind is set in the first.
type shipment struct {
	Rewind  *uint64    `json:"rewind,omitempty"`
	Lineage []Fork     `json:"lineage"`
	Entries []LogEntry `json:"entries,omitempty"`
}

// shipLog sends the log to one replica until the connection ends.
func shipLog(c *session) {
	c.be.Send(&pgproto3.AuthenticationOk{})
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if c.be.Flush() != nil {
		return
	}
	msg, err := c.be.Receive()
	if err != nil {
		return
	}
	q, ok := msg.(*pgproto3.Query)
	if !ok {
		return
	}
	var req followRequest
	if json.Unmarshal([]byte(q.String), &req) != nil {
		return
	}
	position := c.db.forkPoint(req.Lineage, req.Position)
	first := &position
	for {
		entries, grown := c.db.entriesAfter(position, shipBatch)
		c.db.mu.RLock()
		s := shipment{Rewind: first, Lineage: append([]Fork(nil), c.db.lineage...), Entries: entries}
		c.db.mu.RUnlock()
		first = nil
		b, err := json.Marshal(s)
		if err != nil {
			return
		}
		c.be.Send(&pgproto3.CopyData{Data: b})
		if c.be.Flush() != nil {
			return
		}
		if len(entries) > 0 {
			position = entries[len(entries)-1].Position
			continue
		}
		select {
		case <-grown:
		case <-time.After(shipHeartbeat):
		}
	}
}

// follow keeps a replica connected to the primary that it was told to follow.
func follow(ctx context.Context, d *Database) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := func() {}
	defer func() { stop(); _ = group.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-d.refollow:
			stop()
			child, cancel := context.WithCancel(ctx)
			stop = cancel
			group.Go(func() error {
				for child.Err() == nil && !d.State().Primary {
					receiveLog(child, d, addr)
					select {
					case <-child.Done():
					case <-time.After(followRetry):
					}
				}
				return nil
			})
		}
	}
}

// receiveLog replays a primary's log until the connection ends.
func receiveLog(ctx context.Context, d *Database, addr string) {
	dialer := net.Dialer{Timeout: followTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	fe := pgproto3.NewFrontend(conn, conn)
	fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "replica", "database": replicationDatabase},
	})
	d.mu.RLock()
	req := followRequest{Lineage: append([]Fork(nil), d.lineage...), Position: d.stateLocked().Received}
	d.mu.RUnlock()
	b, err := json.Marshal(req)
	if err != nil {
		return
	}
	fe.Send(&pgproto3.Query{String: string(b)})
	if fe.Flush() != nil {
		return
	}
	for ctx.Err() == nil {
		_ = conn.SetReadDeadline(time.Now().Add(followTimeout))
		msg, err := fe.Receive()
		if err != nil {
			return
		}
		m, ok := msg.(*pgproto3.CopyData)
		if !ok {
			continue
		}
		var s shipment
		if json.Unmarshal(m.Data, &s) != nil {
			return
		}
		if !replayShipment(ctx, d, &s) {
			return
		}
	}
}

// replayShipment takes a message over.
func replayShipment(ctx context.Context, d *Database, s *shipment) bool {
	if d.State().Primary || ctx.Err() != nil {
		return false
	}
	if s.Rewind != nil {
		d.rewind(*s.Rewind, s.Lineage)
	}
	return d.receive(s.Entries, s.Lineage)
}

// replayAll replays received entries as their lag passes.
func replayAll(ctx context.Context, d *Database) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(d.replayDue(time.Now())):
		}
	}
}
