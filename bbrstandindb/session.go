package bbrstandindb

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// implicitRetries bounds how often a single statement is run again after a
// concurrent update.
const implicitRetries = 50

// statement is a prepared statement.
type statement struct {
	node  *pgquery.Node
	types []uint32
}

// portal is a bound statement.
type portal struct {
	stmt    *statement
	params  []any
	formats []int16
}

// session is one client's connection.
type session struct {
	db     *Database
	server *Server
	conn   net.Conn
	be     *pgproto3.Backend
	id     uint32
	secret uint32

	tx         *transaction
	failed     bool
	skipping   bool
	statements map[string]*statement
	portals    map[string]*portal
	cancelled  atomic.Bool
	// active is set while a message is worked on.
	active atomic.Bool
}

// startup reads the first message. It returns nil for a cancel request.
func (c *session) startup() (*pgproto3.StartupMessage, error) {
	for {
		msg, err := c.be.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			c.server.cancelSession(m.ProcessID, binaryKey(m.SecretKey))
			return nil, nil
		}
	}
}

func binaryKey(b []byte) uint32 {
	var n uint32
	for _, x := range b {
		n = n<<8 | uint32(x)
	}
	return n
}

// fail reports an error.
func (c *session) fail(err error) {
	var e *SQLError
	if !errors.As(err, &e) {
		e = sqlErrorf("XX000", "%s", err.Error())
	}
	severity := "ERROR"
	if e.Code == codeTooMany || e.Code == codeAuthentication {
		severity = "FATAL"
	}
	c.be.Send(&pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.Code, Message: e.Message})
	if severity == "FATAL" {
		_ = c.be.Flush()
	}
}

func (c *session) ready() error {
	status := byte('I')
	if c.tx != nil {
		status = 'T'
		if c.failed {
			status = 'E'
		}
	}
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return c.be.Flush()
}

// run answers messages until the client leaves.
func (c *session) run() {
	for {
		msg, err := c.be.Receive()
		if err != nil {
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		c.active.Store(true)
		err = c.handle(msg)
		c.active.Store(false)
		if err != nil {
			return
		}
	}
}

func (c *session) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		c.query(m.String)
		return c.ready()
	case *pgproto3.Sync:
		c.skipping = false
		return c.ready()
	case *pgproto3.Flush:
		return c.be.Flush()
	}
	if c.skipping {
		return nil
	}
	var err error
	switch m := msg.(type) {
	case *pgproto3.Parse:
		err = c.parse(m)
	case *pgproto3.Bind:
		err = c.bind(m)
	case *pgproto3.Describe:
		err = c.describe(m)
	case *pgproto3.Execute:
		err = c.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.statements, m.Name)
		}
		c.be.Send(&pgproto3.CloseComplete{})
	default:
		err = sqlErrorf(codeProtocol, "message %T is not supported", msg)
	}
	if err != nil {
		c.skipping = true
		c.failed = c.tx != nil
		c.fail(err)
	}
	return nil
}

func (c *session) query(text string) {
	p, err := parse(text)
	if err != nil {
		c.failed = c.tx != nil
		c.fail(err)
		return
	}
	if len(p.nodes) == 0 {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, n := range p.nodes {
		res, err := c.execute(n, nil)
		if err != nil {
			c.failed = c.tx != nil
			c.fail(err)
			return
		}
		c.describeRows(res, nil)
		c.sendRows(res, nil)
	}
}

// execute runs a statement within the open transaction or one of its own.
func (c *session) execute(n *pgquery.Node, params []any) (*result, error) {
	c.occupySlot(n)
	if c.cancelled.Swap(false) {
		return nil, sqlErrorf(codeCancelled, "canceling statement due to user request")
	}
	if t := n.GetTransactionStmt(); t != nil {
		return c.transactionStatement(t)
	}
	if show := n.GetVariableShowStmt(); show != nil {
		return &result{names: []string{show.GetName()}, types: []uint32{oidText}, rows: [][]any{{""}}, tag: "SHOW"}, nil
	}
	if n.GetSelectStmt() != nil && !isStateQuery(n) && c.tx == nil {
		c.db.countRead()
	}
	if c.tx != nil {
		if c.failed {
			return nil, sqlErrorf(codeAborted, "current transaction is aborted, commands ignored until end of transaction block")
		}
		return c.tx.execute(n, params)
	}
	for try := 0; ; try++ {
		tx := newTransaction(c.db)
		res, err := tx.execute(n, params)
		if err == nil {
			err = tx.commit()
		}
		if err == nil {
			return res, nil
		}
		var e *SQLError
		if !errors.As(err, &e) || e.Code != codeSerialization || try >= implicitRetries {
			return nil, err
		}
	}
}

// occupySlot models the time that a statement keeps the member busy.
func (c *session) occupySlot(n *pgquery.Node) {
	if c.db.slots == nil || n.GetTransactionStmt() != nil || isStateQuery(n) {
		return
	}
	c.db.slots <- struct{}{}
	time.Sleep(c.db.opts.ServiceTime)
	<-c.db.slots
}

// isStateQuery reports whether a statement only calls functions: it occupies
// no slot.
func isStateQuery(n *pgquery.Node) bool {
	s := n.GetSelectStmt()
	if s == nil {
		return false
	}
	from := s.GetFromClause()
	return len(from) == 0 || from[0].GetRangeFunction() != nil
}

func (c *session) transactionStatement(t *pgquery.TransactionStmt) (*result, error) {
	switch t.GetKind() {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		if c.tx == nil {
			c.tx = newTransaction(c.db)
		}
		return &result{tag: "BEGIN"}, nil
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		tx, failed := c.tx, c.failed
		c.tx, c.failed = nil, false
		if tx == nil {
			return &result{tag: "COMMIT"}, nil
		}
		if failed {
			return &result{tag: "ROLLBACK"}, nil
		}
		if err := tx.commit(); err != nil {
			return nil, err
		}
		return &result{tag: "COMMIT"}, nil
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		c.tx, c.failed = nil, false
		return &result{tag: "ROLLBACK"}, nil
	}
	return nil, sqlErrorf(codeUnsupported, "savepoints are not supported")
}

func formatOf(formats []int16, i int) int16 {
	switch len(formats) {
	case 0:
		return 0
	case 1:
		return formats[0]
	}
	if i < len(formats) {
		return formats[i]
	}
	return 0
}

func (c *session) describeRows(res *result, formats []int16) {
	if len(res.names) == 0 {
		return
	}
	fields := make([]pgproto3.FieldDescription, len(res.names))
	for i := range res.names {
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(res.names[i]), DataTypeOID: res.types[i], DataTypeSize: -1, TypeModifier: -1, Format: formatOf(formats, i),
		}
	}
	c.be.Send(&pgproto3.RowDescription{Fields: fields})
}

func (c *session) sendRows(res *result, formats []int16) {
	for _, r := range res.rows {
		values := make([][]byte, len(r))
		for i, v := range r {
			if t, err := coerce(v, res.types[i]); err == nil {
				v = t
			}
			values[i] = encodeValue(v, formatOf(formats, i))
		}
		c.be.Send(&pgproto3.DataRow{Values: values})
	}
	c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
}

func (c *session) parse(m *pgproto3.Parse) error {
	p, err := parse(m.Query)
	if err != nil {
		return err
	}
	s := &statement{}
	if len(p.nodes) > 1 {
		return sqlErrorf(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if len(p.nodes) == 1 {
		s.node = p.nodes[0]
		s.types = c.db.parameterTypes(s.node, m.ParameterOIDs)
	}
	if _, taken := c.statements[m.Name]; taken && m.Name != "" {
		return sqlErrorf("42P05", "prepared statement %q already exists", m.Name)
	}
	c.statements[m.Name] = s
	c.be.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *session) bind(m *pgproto3.Bind) error {
	s, ok := c.statements[m.PreparedStatement]
	if !ok {
		return sqlErrorf(codeNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(s.types) {
		return sqlErrorf(codeProtocol, "%d parameters given, the statement takes %d", len(m.Parameters), len(s.types))
	}
	p := &portal{stmt: s, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, b := range m.Parameters {
		v, err := decodeParameter(b, formatOf(m.ParameterFormatCodes, i), s.types[i])
		if err != nil {
			return err
		}
		p.params = append(p.params, v)
	}
	c.portals[m.DestinationPortal] = p
	c.be.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) describe(m *pgproto3.Describe) error {
	var s *statement
	var formats []int16
	if m.ObjectType == 'S' {
		if s = c.statements[m.Name]; s == nil {
			return sqlErrorf(codeNoStatement, "prepared statement %q does not exist", m.Name)
		}
		c.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: s.types})
	} else {
		p := c.portals[m.Name]
		if p == nil {
			return sqlErrorf("34000", "portal %q does not exist", m.Name)
		}
		s, formats = p.stmt, p.formats
	}
	res := c.db.resultShape(s.node)
	if len(res.names) == 0 {
		c.be.Send(&pgproto3.NoData{})
		return nil
	}
	c.describeRows(res, formats)
	return nil
}

// resultShape returns the names and types of a statement's rows.
func (d *Database) resultShape(n *pgquery.Node) *result {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var t *table
	var targets []*pgquery.Node
	switch s := n.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		targets = s.SelectStmt.GetTargetList()
		if from := s.SelectStmt.GetFromClause(); len(from) > 0 {
			t = d.tables[from[0].GetRangeVar().GetRelname()]
			if from[0].GetRangeFunction() != nil {
				t = &table{columns: []column{{name: "timeline_id", oid: oidInt8}}}
			}
		}
	case *pgquery.Node_InsertStmt:
		t, targets = d.tables[s.InsertStmt.GetRelation().GetRelname()], s.InsertStmt.GetReturningList()
	case *pgquery.Node_UpdateStmt:
		t, targets = d.tables[s.UpdateStmt.GetRelation().GetRelname()], s.UpdateStmt.GetReturningList()
	case *pgquery.Node_DeleteStmt:
		t, targets = d.tables[s.DeleteStmt.GetRelation().GetRelname()], s.DeleteStmt.GetReturningList()
	case *pgquery.Node_VariableShowStmt:
		return &result{names: []string{s.VariableShowStmt.GetName()}, types: []uint32{oidText}}
	}
	return &newReturning(t, targets).res
}

func (c *session) executePortal(m *pgproto3.Execute) error {
	p := c.portals[m.Portal]
	if p == nil {
		return sqlErrorf("34000", "portal %q does not exist", m.Portal)
	}
	if p.stmt.node == nil {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	res, err := c.execute(p.stmt.node, p.params)
	if err != nil {
		return err
	}
	c.sendRows(res, p.formats)
	return nil
}
