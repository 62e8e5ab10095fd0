package bbrproxy

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrreply"
	"github.com/bluebellroute/bluebellroute/bbrstatement"
)

// itemKind is the kind of a message in a batch.
type itemKind = bbrreply.Request

const (
	itemQuery             = bbrreply.Query
	itemParse             = bbrreply.Parse
	itemBind              = bbrreply.Bind
	itemDescribeStatement = bbrreply.DescribeStatement
	itemDescribePortal    = bbrreply.DescribePortal
	itemExecute           = bbrreply.Execute
	itemCloseStatement    = bbrreply.CloseStatement
	itemClosePortal       = bbrreply.ClosePortal
)

// item is one message of a batch, encoded in the batch's buffer.
type item struct {
	kind       itemKind
	start, end int
	stmt       *prepared
	// callerName is the caller's name of a parsed statement.
	callerName string
}

// prepared is a statement that a caller has prepared. It is shared between
// connections to members under a name made from its text.
type prepared struct {
	name string
	// parse is the encoded Parse message under that name.
	parse []byte
	text  string
	info  *bbrstatement.Info
}

// batch is what the caller wants done before it expects to be ready again: one
// simple query, or the messages up to Sync.
type batch struct {
	simple bool
	// partial is set if Flush ended the batch instead of Sync.
	partial bool
	items   []item
	buf     []byte
	// texts are the texts that are run.
	texts []string
	info  bbrstatement.Info
	runs  int
}

// reset makes a batch ready for use.
func (b *batch) reset() {
	if cap(b.buf) > keepBuffer {
		b.buf = nil
	}
	*b = batch{items: b.items[:0], buf: b.buf[:0], texts: b.texts[:0]}
	b.info.Kind = bbrstatement.KindEmpty
}

// maxItems bounds the messages of one batch.
const maxItems = 10000

// waitFor returns the state in which the session waits for the next message of a batch.
func (c *session) waitFor(b *batch) wait {
	switch {
	case len(b.items) > 0:
		return waitInRequest
	case c.tx != nil || c.aborted:
		return waitInTransaction
	}
	return waitIdle
}

// readBatch collects the caller's messages up to a query, Sync or Flush.
func (c *session) readBatch() (*batch, error) {
	b := &c.work.batch
	b.reset()
	for {
		msg, err := c.receive(c.waitFor(b))
		if err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.Terminate:
			return nil, errEnded
		case *pgproto3.Query:
			b.simple = true
			b.addQuery(c, m)
			return b, nil
		case *pgproto3.Sync:
			return b, nil
		case *pgproto3.Flush:
			if len(b.items) == 0 {
				continue
			}
			b.partial = true
			return b, nil
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
			// Left over from a COPY that ended in an error.
		case *pgproto3.FunctionCall:
			return nil, bbroutcome.New(bbroutcome.ReasonUnsupported, "function calls by the protocol are not supported")
		default:
			if err := b.add(c, msg); err != nil {
				return nil, err
			}
		}
		if len(b.items) > maxItems || len(b.buf) > c.srv.opts.MaxMessage {
			return nil, bbroutcome.New(bbroutcome.ReasonTooLarge, "more than %d messages or %d bytes without Sync", maxItems, c.srv.opts.MaxMessage)
		}
	}
}

// encode appends a message to the batch's buffer.
func (b *batch) encode(kind itemKind, m pgproto3.FrontendMessage, stmt *prepared) error {
	start := len(b.buf)
	buf, err := m.Encode(b.buf)
	if err != nil {
		return bbroutcome.New(bbroutcome.ReasonTooLarge, "message can't be passed on: %v", err)
	}
	b.buf = buf
	b.items = append(b.items, item{kind: kind, start: start, end: len(buf), stmt: stmt})
	return nil
}

// addQuery takes a simple query.
func (b *batch) addQuery(c *session, m *pgproto3.Query) {
	_ = b.encode(itemQuery, m, nil)
	b.join(m.String, c.classify(m.String))
}

// classify returns what is known of a text. A text that can't be parsed counts
// as a write, so that the primary reports the error, of an unknown number of
// statements.
func (c *session) classify(text string) *bbrstatement.Info {
	info, err := c.srv.classifier.Classify(text)
	if err != nil {
		return &bbrstatement.Info{Kind: bbrstatement.KindWrite}
	}
	return info
}

// join adds a text that the batch runs.
func (b *batch) join(text string, info *bbrstatement.Info) {
	b.texts = append(b.texts, text)
	b.runs++
	if b.runs == 1 {
		b.info = *info
		return
	}
	b.info.Statements += info.Statements
	b.info.WrittenTables = append(b.info.WrittenTables[:len(b.info.WrittenTables):len(b.info.WrittenTables)], info.WrittenTables...)
	b.info.HasTxControl = b.info.HasTxControl || info.HasTxControl
	b.info.TxControl = bbrstatement.TxNone
	b.info.Kind = bbrstatement.CombineKinds(b.info.Kind, info.Kind)
	if b.info.Reason == "" {
		b.info.Reason = info.Reason
	}
	if info.RequestKey != "" {
		b.info.RequestKey = info.RequestKey
	}
}

// add takes a message of the extended protocol.
func (b *batch) add(c *session, msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		p, err := c.prepare(m)
		if err != nil {
			return err
		}
		c.prepared[m.Name] = p
		b.items = append(b.items, item{kind: itemParse, stmt: p, callerName: m.Name})
		return nil
	case *pgproto3.Bind:
		p, err := c.findPrepared(m.PreparedStatement)
		if err != nil {
			return err
		}
		m.PreparedStatement = p.name
		b.join(p.text, p.info)
		return b.encode(itemBind, m, p)
	case *pgproto3.Describe:
		if m.ObjectType != 'S' {
			return b.encode(itemDescribePortal, m, nil)
		}
		p, err := c.findPrepared(m.Name)
		if err != nil {
			return err
		}
		m.Name = p.name
		return b.encode(itemDescribeStatement, m, p)
	case *pgproto3.Execute:
		return b.encode(itemExecute, m, nil)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.prepared, m.Name)
			b.items = append(b.items, item{kind: itemCloseStatement})
			return nil
		}
		return b.encode(itemClosePortal, m, nil)
	}
	return bbroutcome.New(bbroutcome.ReasonProtocolViolation, "unexpected message %T", msg)
}

// prepare makes a statement out of a Parse message.
func (c *session) prepare(m *pgproto3.Parse) (*prepared, error) {
	p := &prepared{text: strings.Clone(m.Query)}
	p.name = serverName(m)
	parse := &pgproto3.Parse{Name: p.name, Query: p.text, ParameterOIDs: m.ParameterOIDs}
	var err error
	if p.parse, err = parse.Encode(nil); err != nil {
		return nil, bbroutcome.New(bbroutcome.ReasonTooLarge, "statement can't be passed on: %v", err)
	}
	p.info = c.classify(p.text)
	return p, nil
}

// serverName is the name of a statement on the members. Equal statements share
// it.
func serverName(m *pgproto3.Parse) string {
	h := sha256.New()
	var oid [4]byte
	for _, o := range m.ParameterOIDs {
		binary.BigEndian.PutUint32(oid[:], o)
		_, _ = h.Write(oid[:])
	}
	_, _ = h.Write([]byte(m.Query))
	return "bbr" + hex.EncodeToString(h.Sum(nil)[:16])
}

// findPrepared returns a statement that the caller has prepared. For a name
// that it has not, the statement fails in the member's place.
func (c *session) findPrepared(name string) (*prepared, error) {
	if p, ok := c.prepared[name]; ok {
		return p, nil
	}
	return &prepared{name: name, info: &bbrstatement.Info{Kind: bbrstatement.KindRead}}, nil
}

// isPrepareOnly reports whether a batch runs nothing.
func (b *batch) isPrepareOnly() bool { return b.runs == 0 }
