package bbrproxy

import (
	"sort"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrstatement"
)

// plan is what is sent to a member for one batch.
type plan struct {
	wire  []byte
	steps []step
	// expects is the room for the replies to the caller's messages.
	expects []expect
}

// reset makes a plan ready for use.
func (p *plan) reset() {
	if cap(p.wire) > keepBuffer {
		p.wire = nil
	}
	p.wire, p.steps, p.expects = p.wire[:0], p.steps[:0], p.expects[:0]
}

// addQuery adds a simple query of the system's own, with a number of statements.
func (p *plan) addQuery(r role, statements int, sql string) {
	// A text without a zero byte can always be encoded.
	if b, err := (&pgproto3.Query{String: sql}).Encode(p.wire); err == nil {
		p.wire = b
		expects := []expect{{kind: itemQuery, swallow: true, results: statements}}
		p.steps = append(p.steps, step{role: r, expects: expects, tags: systemTags[r]})
	}
}

// systemTags are the command tags of the system's own steps.
var systemTags = map[role][]string{
	roleKey:    {"BEGIN", "INSERT 0 1"},
	roleCommit: {"COMMIT", "ROLLBACK"},
}

// controlTags are the command tags of statements that begin or end a transaction.
var controlTags = map[bbrstatement.TxControl][]string{
	bbrstatement.TxBegin:    {"BEGIN", "START TRANSACTION"},
	bbrstatement.TxCommit:   {"COMMIT", "ROLLBACK"},
	bbrstatement.TxRollback: {"ROLLBACK"},
}

// stateExpects is the reply to the query for the member's state.
var stateExpects = []expect{{kind: itemQuery, swallow: true, results: 1}}

// addState adds the query for the member's state.
func (p *plan) addState(g *bbrgroup.Group) {
	p.wire = append(p.wire, g.EncodedStateQuery()...)
	p.steps = append(p.steps, step{role: roleState, expects: stateExpects})
}

// addBatch adds the caller's messages. Statements that are not prepared on the
// connection are prepared in passing.
func (p *plan) addBatch(b *batch, conn *bbrpool.Conn) {
	s := step{role: roleCaller, expects: p.expects[:0], tags: controlTags[b.info.TxControl]}
	for i := range b.items {
		it := &b.items[i]
		switch it.kind {
		case itemCloseStatement:
			s.expects = append(s.expects, expect{kind: itemCloseStatement, synthetic: true})
			continue
		case itemParse:
			p.addParse(conn, it, &s)
			continue
		}
		if it.stmt != nil && it.stmt.parse != nil && !conn.IsPrepared(it.stmt.name) {
			p.wire = append(p.wire, it.stmt.parse...)
			s.expects = append(s.expects, expect{kind: itemParse, swallow: true, stmt: it.stmt})
			p.evict(conn.NotePrepared(it.stmt.name), &s)
		}
		p.wire = append(p.wire, b.buf[it.start:it.end]...)
		s.expects = append(s.expects, expect{kind: it.kind, results: b.info.Statements})
	}
	if !b.simple {
		// Sync always encodes.
		p.wire, _ = (&pgproto3.Sync{}).Encode(p.wire)
	}
	p.expects = s.expects
	p.steps = append(p.steps, s)
}

// addParse adds a caller's Parse, or answers it if the statement is prepared.
func (p *plan) addParse(conn *bbrpool.Conn, it *item, s *step) {
	if conn.IsPrepared(it.stmt.name) {
		s.expects = append(s.expects, expect{kind: itemParse, synthetic: true})
		return
	}
	p.evict(conn.NotePrepared(it.stmt.name), s)
	p.wire = append(p.wire, it.stmt.parse...)
	s.expects = append(s.expects, expect{kind: itemParse, stmt: it.stmt, callerName: it.callerName})
}

// evict closes statements that had to make room.
func (p *plan) evict(names []string, s *step) {
	for _, name := range names {
		b, err := (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(p.wire)
		if err != nil {
			continue
		}
		p.wire = b
		s.expects = append(s.expects, expect{kind: itemCloseStatement, swallow: true})
	}
}

// settingsSQL returns the statements that make settings, at least one.
func settingsSQL(settings map[string]string) string {
	names := make([]string, 0, len(settings))
	for n := range settings {
		names = append(names, n)
	}
	sort.Strings(names)
	var b strings.Builder
	for i, n := range names {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString("SET ")
		b.WriteString(quoteName(n))
		b.WriteString(" = ")
		b.WriteString(quoteText(settings[n]))
	}
	return b.String()
}

// quoteName quotes a setting's name, part by part.
func quoteName(s string) string {
	parts := strings.Split(s, ".")
	for i, p := range parts {
		parts[i] = `"` + strings.ReplaceAll(p, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}

// quoteText quotes a text for SQL under standard_conforming_strings.
func quoteText(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }
