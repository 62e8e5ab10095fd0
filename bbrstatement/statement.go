// Package bbrstatement classifies SQL texts with PostgreSQL's parser. For each
// text it reports whether the text reads or writes, which tables it writes,
// whether it begins or ends a transaction, which session setting it changes,
// and whether it must be rejected because it depends on connection state that
// a pooled connection can't keep. A text may hold several statements. Results
// are cached by text.
//
// The classification is conservative. A text counts as a read only if every
// part of it is known not to write; a call of an unknown function counts as a
// write, because the function may change data.
//
// # Usage
//
//	c := bbrstatement.NewClassifier(4096)
//	info, err := c.Classify("SELECT balance FROM accounts WHERE id = 7")
//	if info.Kind == bbrstatement.KindRead { ... }
package bbrstatement

import (
	"strings"

	lru "github.com/hashicorp/golang-lru/v2"
	pgquery "github.com/pganalyze/pg_query_go/v6"
	"github.com/pkg/errors"
)

// Kind is the class of a whole text. A text with several statements has the
// kind with the highest precedence among them.
type Kind string

// The kinds of a text. A KindEmpty text has no statements. A KindControl text
// only controls a transaction, such as BEGIN, COMMIT, SAVEPOINT or SET LOCAL. A
// KindSession text sets, resets or shows a setting of the caller's session; the
// proxy answers it itself. A KindRefused text is rejected: it needs state that
// a pooled connection can't keep, changes the whole database server, uses a
// feature that isn't supported or has an invalid request key.
const (
	KindEmpty   Kind = "empty"
	KindRead    Kind = "read"
	KindWrite   Kind = "write"
	KindControl Kind = "control"
	KindSession Kind = "session"
	KindRefused Kind = "refused"
)

// Control is the effect of a statement on the current transaction.
type Control string

// The effects on a transaction. ControlOther covers statements that neither
// begin nor end it, such as SAVEPOINT or SET LOCAL.
const (
	ControlNone     Control = ""
	ControlBegin    Control = "begin"
	ControlCommit   Control = "commit"
	ControlRollback Control = "rollback"
	ControlOther    Control = "other"
)

// maxCachedTextBytes is the length of the longest text that is cached.
const maxCachedTextBytes = 16 << 10

// Info is the classification of a text.
type Info struct {
	Kind Kind
	// Statements is the number of statements in the text.
	Statements int
	// Control is the effect on the transaction if the text has exactly one
	// statement. It is ControlNone for texts with several statements.
	Control Control
	// HasControl is set if any statement of the text controls a transaction.
	HasControl bool
	// BeginsReadOnly is set if the text is a single BEGIN or START TRANSACTION
	// with the READ ONLY option.
	BeginsReadOnly bool
	// WrittenTables holds the names, without schema, of the tables that the text
	// writes with INSERT, UPDATE, DELETE, MERGE or COPY FROM.
	WrittenTables []string
	// Setting is the session setting that is changed or shown if the text has
	// exactly one statement.
	Setting SettingCommand
	// CopyIn is set if the text contains COPY FROM STDIN, for which the caller
	// sends the rows.
	CopyIn bool
	// RequestKey is the key in the comment at the start of the text, if any.
	RequestKey string
	// Reason says why a KindRefused text is rejected.
	Reason string
}

// SettingCommand describes a SET, RESET, DISCARD or SHOW.
type SettingCommand struct {
	// Name is the setting's name in lower case. It is "all" for RESET ALL and
	// for DISCARD.
	Name  string
	Value string
	// Show is set for SHOW. Reset is set for RESET, SET TO DEFAULT and DISCARD.
	Show, Reset bool
}

// Classifier classifies texts and caches the results by text.
type Classifier struct {
	cache *lru.Cache[string, *Info]
}

// NewClassifier returns a classifier that caches the results of up to size
// texts and evicts the least recently used ones.
func NewClassifier(size int) (*Classifier, error) {
	cache, err := lru.New[string, *Info](size)
	if err != nil {
		return nil, errors.Wrap(err, "make the cache of statements")
	}
	return &Classifier{cache: cache}, nil
}

// Classify returns the classification of a text, or an error if the text
// can't be parsed. The result is shared through the cache: callers must not
// modify it.
func (c *Classifier) Classify(text string) (*Info, error) {
	if info, ok := c.cache.Get(text); ok {
		return info, nil
	}
	info, err := classify(text)
	if err != nil {
		return nil, err
	}
	if len(text) <= maxCachedTextBytes {
		// The key is cloned because text may be a slice of a larger buffer,
		// which the cache would otherwise keep in memory.
		c.cache.Add(strings.Clone(text), info)
	}
	return info, nil
}

func classify(text string) (*Info, error) {
	tree, err := pgquery.Parse(text)
	if err != nil {
		return nil, errors.Wrap(err, "parse the statement")
	}
	info := &Info{Kind: KindEmpty, Statements: len(tree.GetStmts())}
	for _, s := range tree.GetStmts() {
		info.add(s.GetStmt())
	}
	if info.RequestKey, err = parseRequestKey(text); err != nil {
		// A request with an invalid key is rejected: without its key it would
		// lose the protection against running twice.
		info.Kind, info.Reason = KindRefused, err.Error()
	}
	return info, nil
}

// add merges the classification of the next statement into i. SET, RESET and
// SHOW are rejected in a text with several statements.
func (i *Info) add(n *pgquery.Node) {
	stmt := classifyStatement(n)
	i.WrittenTables = append(i.WrittenTables, stmt.WrittenTables...)
	i.CopyIn = i.CopyIn || stmt.CopyIn
	if stmt.Control != ControlNone {
		i.HasControl = true
		i.Control = stmt.Control
		i.BeginsReadOnly = stmt.BeginsReadOnly
	}
	if i.Statements > 1 {
		i.Control = ControlNone
		i.BeginsReadOnly = false
		if stmt.Kind == KindSession {
			stmt = Info{Kind: KindRefused, Reason: "SET, RESET and SHOW can't stand with other statements in one text"}
		}
	} else {
		i.Setting = stmt.Setting
	}
	if precedence(stmt.Kind) > precedence(i.Kind) {
		i.Kind = stmt.Kind
	}
	if stmt.Reason != "" && i.Reason == "" {
		i.Reason = stmt.Reason
	}
}

// precedence orders kinds: a text gets the kind of its statement with the
// highest precedence.
func precedence(k Kind) int {
	switch k {
	case KindSession:
		return 1
	case KindControl:
		return 2
	case KindRead:
		return 3
	case KindWrite:
		return 4
	case KindRefused:
		return 5
	}
	return 0
}

// refused returns the classification of a statement that is rejected.
func refused(reason string) Info { return Info{Kind: KindRefused, Reason: reason} }

// classifyStatement classifies a single statement. Statements without a case of
// their own, such as DDL, count as writes.
func classifyStatement(n *pgquery.Node) Info {
	switch s := n.GetNode().(type) {
	case *pgquery.Node_SelectStmt, *pgquery.Node_InsertStmt, *pgquery.Node_UpdateStmt, *pgquery.Node_DeleteStmt, *pgquery.Node_MergeStmt:
		return classifyQuery(n)
	case *pgquery.Node_ExplainStmt:
		return classifyQuery(s.ExplainStmt.GetQuery())
	case *pgquery.Node_TransactionStmt:
		return classifyTransaction(s.TransactionStmt)
	case *pgquery.Node_VariableSetStmt:
		return classifySet(s.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		return Info{Kind: KindSession, Setting: SettingCommand{Name: strings.ToLower(s.VariableShowStmt.GetName()), Show: true}}
	case *pgquery.Node_DiscardStmt:
		return Info{Kind: KindSession, Setting: SettingCommand{Name: settingAll, Reset: true}}
	case *pgquery.Node_CopyStmt:
		return classifyCopy(s.CopyStmt)
	case *pgquery.Node_ListenStmt, *pgquery.Node_UnlistenStmt:
		return refused("LISTEN needs a connection of its own: connect to the database directly")
	case *pgquery.Node_PrepareStmt, *pgquery.Node_ExecuteStmt, *pgquery.Node_DeallocateStmt:
		return refused("PREPARE in SQL is not carried by pooled connections: use the driver's prepared statements")
	case *pgquery.Node_DeclareCursorStmt:
		if s.DeclareCursorStmt.GetOptions()&cursorOptionHold != 0 {
			return refused("a cursor WITH HOLD needs a connection of its own")
		}
		return Info{Kind: KindWrite}
	case *pgquery.Node_CreateStmt:
		if s.CreateStmt.GetRelation().GetRelpersistence() == "t" {
			return refused("a temporary table needs a connection of its own")
		}
	case *pgquery.Node_LoadStmt, *pgquery.Node_AlterSystemStmt:
		return refused("the statement changes the whole database server: connect to it directly")
	}
	return Info{Kind: KindWrite}
}

// cursorOptionHold is the flag CURSOR_OPT_HOLD of PostgreSQL's parser.
const cursorOptionHold = 0x0020

// classifyQuery classifies a SELECT, INSERT, UPDATE, DELETE or MERGE by all
// nodes of its parse tree, so that a write in a subquery or CTE is found.
func classifyQuery(n *pgquery.Node) Info {
	w := walker{}
	w.walk(n.ProtoReflect())
	switch {
	case w.refused != "":
		return refused(w.refused)
	case w.writes:
		return Info{Kind: KindWrite, WrittenTables: w.tables}
	}
	return Info{Kind: KindRead}
}

func classifyCopy(s *pgquery.CopyStmt) Info {
	switch {
	case s.GetFilename() != "" || s.GetIsProgram():
		return refused("COPY takes STDIN and STDOUT only")
	case s.GetIsFrom():
		return Info{Kind: KindWrite, CopyIn: true, WrittenTables: []string{s.GetRelation().GetRelname()}}
	case s.GetQuery() != nil:
		return classifyQuery(s.GetQuery())
	}
	return Info{Kind: KindRead}
}

func classifyTransaction(s *pgquery.TransactionStmt) Info {
	switch s.GetKind() {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		return Info{Kind: KindControl, Control: ControlBegin, BeginsReadOnly: isReadOnlyBegin(s)}
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return Info{Kind: KindControl, Control: ControlCommit}
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return Info{Kind: KindControl, Control: ControlRollback}
	case pgquery.TransactionStmtKind_TRANS_STMT_PREPARE, pgquery.TransactionStmtKind_TRANS_STMT_COMMIT_PREPARED,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_PREPARED:
		return refused("two-phase commit is not supported")
	}
	return Info{Kind: KindControl, Control: ControlOther}
}

// isReadOnlyBegin reports whether a BEGIN has the READ ONLY option.
func isReadOnlyBegin(s *pgquery.TransactionStmt) bool {
	for _, o := range s.GetOptions() {
		e := o.GetDefElem()
		if e.GetDefname() == "transaction_read_only" {
			return e.GetArg().GetAConst().GetIval().GetIval() != 0
		}
	}
	return false
}

// CombineKinds returns the kind of a batch that consists of two texts with the
// kinds a and b: the one with the higher precedence.
func CombineKinds(a, b Kind) Kind {
	if precedence(b) > precedence(a) {
		return b
	}
	return a
}
