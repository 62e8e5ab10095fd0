package bbrstandindb

import (
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"
)

// Canned is a member that gives the same answer to everything at once, to
// measure what lies before it. It is a primary or a replica at a fixed
// position.
type Canned struct {
	listener net.Listener
	group    errgroup.Group
	row      []byte
	state    []byte
	// stateRow is the state's answer without a description.
	stateRow []byte
}

// ListenCanned starts a canned member.
func ListenCanned(addr string, primary bool) (*Canned, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Canned{listener: l}
	role := "t"
	if primary {
		role = "f"
	}
	c.row = encodeAnswer([]string{"last"}, []string{"42"})
	c.state = encodeAnswer([]string{"r", "p", "q", "h"}, []string{role, "0/100", "0/100", "1"})
	c.stateRow = encodeRow([]string{role, "0/100", "0/100", "1"}, nil)
	c.group.Go(c.accept)
	return c, nil
}

// Addr returns the address that the member listens at.
func (c *Canned) Addr() string { return c.listener.Addr().String() }

// Close ends the listener.
func (c *Canned) Close() { _ = c.listener.Close() }

// encodeAnswer encodes a row with its description.
func encodeAnswer(names, values []string) []byte {
	fields := make([]pgproto3.FieldDescription, len(names))
	for i := range names {
		fields[i] = pgproto3.FieldDescription{Name: []byte(names[i]), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1}
	}
	b, _ := (&pgproto3.RowDescription{Fields: fields}).Encode(nil)
	return encodeRow(values, b)
}

// encodeRow adds a row and the end of its answer to b.
func encodeRow(values []string, b []byte) []byte {
	row := make([][]byte, len(values))
	for i := range values {
		row[i] = []byte(values[i])
	}
	b, _ = (&pgproto3.DataRow{Values: row}).Encode(b)
	b, _ = (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}).Encode(b)
	return b
}

// asksState reports whether a text asks for the member's state.
func asksState(text string) bool { return strings.Contains(text, "pg_is_in_recovery") }

func (c *Canned) accept() error {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return nil
		}
		c.group.Go(func() error {
			defer func() { _ = conn.Close() }()
			return c.serve(conn)
		})
	}
}

// serve answers one connection. Answers are written when nothing more is
// expected: after a query or Sync.
func (c *Canned) serve(conn net.Conn) error {
	be := pgproto3.NewBackend(conn, conn)
	for {
		msg, err := be.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		if _, ok := msg.(*pgproto3.StartupMessage); ok {
			break
		}
		if _, err := conn.Write([]byte{'N'}); err != nil {
			return err
		}
	}
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := be.Flush(); err != nil {
		return err
	}
	ready, _ := (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(nil)
	var out []byte
	looks := map[string]bool{}
	bound := ""
	for {
		msg, err := be.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.Query:
			if asksState(m.String) {
				out = append(out, c.state...)
			} else {
				out = append(out, c.row...)
			}
			out = append(out, ready...)
		case *pgproto3.Sync:
			out = append(out, ready...)
		case *pgproto3.Parse:
			looks[m.Name] = asksState(m.Query)
			out, _ = (&pgproto3.ParseComplete{}).Encode(out)
			continue
		case *pgproto3.Bind:
			bound = m.PreparedStatement
			out, _ = (&pgproto3.BindComplete{}).Encode(out)
			continue
		case *pgproto3.Describe:
			out, _ = (&pgproto3.NoData{}).Encode(out)
			continue
		case *pgproto3.Execute:
			if looks[bound] {
				out = append(out, c.stateRow...)
				continue
			}
			out, _ = (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}).Encode(out)
			continue
		case *pgproto3.Terminate:
			return nil
		}
		if _, err := conn.Write(out); err != nil {
			return err
		}
		out = out[:0]
	}
}
