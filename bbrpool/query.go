package bbrpool

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrreply"
)

// Query runs a text by the simple protocol and returns the rows of its last
// statement. A *MemberError tells that the member refused it; any other error
// leaves the connection tainted.
func (c *Conn) Query(ctx context.Context, sql string) ([][]string, error) {
	c.fe.Send(&pgproto3.Query{String: sql})
	return c.ask(ctx, bbrreply.Query)
}

// QueryPrepared does the same for a single statement that is asked often: it is
// sent once and then named, which makes later calls small.
func (c *Conn) QueryPrepared(ctx context.Context, sql string) ([][]string, error) {
	name := "look" + strconv.FormatUint(xxhash.Sum64String(sql), 36)
	requests := make([]bbrreply.Request, 0, 5)
	if !c.IsPrepared(name) {
		for _, evicted := range c.NotePrepared(name) {
			c.fe.Send(&pgproto3.Close{ObjectType: 'S', Name: evicted})
			requests = append(requests, bbrreply.CloseStatement)
		}
		c.fe.Send(&pgproto3.Parse{Name: name, Query: sql})
		requests = append(requests, bbrreply.Parse)
	}
	c.fe.Send(&pgproto3.Bind{PreparedStatement: name})
	c.fe.Send(&pgproto3.Execute{})
	c.fe.Send(&pgproto3.Sync{})
	rows, err := c.ask(ctx, append(requests, bbrreply.Bind, bbrreply.Execute, bbrreply.Sync)...)
	if err != nil {
		c.ForgetPrepared(name)
	}
	return rows, err
}

// ask sends the messages that are pending and takes their replies. The last one ends with
// ReadyForQuery.
func (c *Conn) ask(ctx context.Context, requests ...bbrreply.Request) ([][]string, error) {
	if err := c.CheckQuiet(); err != nil {
		c.tainted = true
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	if err := c.net.SetDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set the deadline of a query")
	}
	c.writeBy = time.Time{}
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	rows, err := c.takeRows(requests)
	var refused *MemberError
	if err != nil && !errors.As(err, &refused) {
		c.tainted = true
	}
	return rows, err
}

// takeRows reads the replies to requests. After an error the member skips those up to the
// last one.
func (c *Conn) takeRows(requests []bbrreply.Request) ([][]string, error) {
	if err := c.fe.Flush(); err != nil {
		return nil, errors.Wrap(err, "send a query")
	}
	var rows [][]string
	var refused error
	for i, r := range requests {
		if refused != nil && i < len(requests)-1 {
			continue
		}
		if err := c.takeReply(r, &rows, &refused); err != nil {
			return nil, errors.Wrap(err, "read a query's answer")
		}
	}
	return rows, refused
}

// takeReply reads the reply to one request.
func (c *Conn) takeReply(r bbrreply.Request, rows *[][]string, refused *error) error {
	check := bbrreply.Checker{Request: r}
	for {
		msg, err := c.fe.Receive()
		if err != nil {
			return err
		}
		ended, err := check.Next(msg)
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.RowDescription:
			*rows = nil
		case *pgproto3.DataRow:
			*rows = append(*rows, textRow(m))
		case *pgproto3.ErrorResponse:
			*refused = NewMemberError(m)
		}
		if ended {
			return nil
		}
	}
}

func textRow(m *pgproto3.DataRow) []string {
	row := make([]string, len(m.Values))
	for i, v := range m.Values {
		row[i] = string(v)
	}
	return row
}
