// Package bbrstatement classifies SQL texts with PostgreSQL's parser. For each
// text it reports whether the text reads or writes, which tables it writes,
// whether it begins or ends a transaction, which session setting it changes,
// and whether it must be rejected, for example because it depends on connection
// state, which is lost or leaks to other callers when connections are pooled. A
// text may hold several statements. Results are cached by text.
//
// The classification is conservative. A text counts as a read only if every
// part of it is known not to write; a call of an unknown function counts as a
// write, because the function may change data.
//
// # Usage
//
//	c, err := bbrstatement.NewClassifier(4096)
//	if err != nil { ... }
//	info, err := c.Classify("SELECT balance FROM accounts WHERE id = 7")
//	if err != nil { ... }
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

// The kinds of a text. A KindEmpty text has no statements. A KindTxControl text
// only controls a transaction, such as BEGIN, COMMIT, SAVEPOINT or SET LOCAL;
// its value is "control". A KindSetting text sets, resets or shows a setting of
// the caller's session, and the proxy answers it itself; its value is "session".
// A KindRejected text is rejected because it depends on connection state, which
// is lost or leaks to other callers when connections are pooled, because it
// changes the whole database server, because it uses a feature that isn't
// supported or because its request key is invalid; its value is "refused".
const (
	KindEmpty     Kind = "empty"
	KindRead      Kind = "read"
	KindWrite     Kind = "write"
	KindTxControl Kind = "control"
	KindSetting   Kind = "session"
	KindRejected  Kind = "refused"
)

// TxControl is the effect of a statement on the current transaction.
type TxControl string

// The effects on a transaction. TxOther covers statements that neither begin nor
// end it, such as SAVEPOINT or SET LOCAL.
const (
	TxNone     TxControl = ""
	TxBegin    TxControl = "begin"
	TxCommit   TxControl = "commit"
	TxRollback TxControl = "rollback"
	TxOther    TxControl = "other"
)

// maxCachedTextBytes is the length of the longest text that is cached.
const maxCachedTextBytes = 16 << 10

// Info is the classification of a text.
type Info struct {
	Kind Kind
	// Statements is the number of statements in the text.
	Statements int
	// TxControl is the effect on the transaction if the text has exactly one
	// statement. It is TxNone for texts with several statements.
	TxControl TxControl
	// HasTxControl is set if any statement of the text controls a transaction.
	HasTxControl bool
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
	// RequestKey is the idempotency key from the comment at the start of the
	// text. It is empty if there is none.
	RequestKey string
	// Reason says why a KindRejected text is rejected.
	Reason string
}

// SettingCommand describes a SET, RESET, DISCARD or SHOW.
type SettingCommand struct {
	// Name is the setting's name in lower case. It is "all" for RESET ALL and
	// for DISCARD.
	Name string
	// Value is the new value for SET, with several arguments joined by ", ". It
	// is empty for SHOW and RESET.
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
		info.addStatement(s.GetStmt())
	}
	if info.RequestKey, err = parseRequestKey(text); err != nil {
		// A text with an invalid key is rejected: if it ran without a key, a
		// retry could apply it twice.
		info.Kind, info.Reason = KindRejected, err.Error()
	}
	return info, nil
}

// addStatement classifies node, the next statement of the text, and merges the
// result into i. SET, RESET and SHOW are rejected in a text with several
// statements.
func (i *Info) addStatement(node *pgquery.Node) {
	stmtInfo := classifyStatement(node)
	i.WrittenTables = append(i.WrittenTables, stmtInfo.WrittenTables...)
	i.CopyIn = i.CopyIn || stmtInfo.CopyIn
	if stmtInfo.TxControl != TxNone {
		i.HasTxControl = true
		i.TxControl = stmtInfo.TxControl
		i.BeginsReadOnly = stmtInfo.BeginsReadOnly
	}
	if i.Statements > 1 {
		i.TxControl = TxNone
		i.BeginsReadOnly = false
		if stmtInfo.Kind == KindSetting {
			stmtInfo = Info{Kind: KindRejected, Reason: "SET, RESET and SHOW can't stand with other statements in one text"}
		}
	} else {
		i.Setting = stmtInfo.Setting
	}
	if precedence(stmtInfo.Kind) > precedence(i.Kind) {
		i.Kind = stmtInfo.Kind
	}
	if stmtInfo.Reason != "" && i.Reason == "" {
		i.Reason = stmtInfo.Reason
	}
}

// precedence orders kinds: a text gets the kind of its statement with the
// highest precedence.
func precedence(k Kind) int {
	switch k {
	case KindSetting:
		return 1
	case KindTxControl:
		return 2
	case KindRead:
		return 3
	case KindWrite:
		return 4
	case KindRejected:
		return 5
	}
	return 0
}

// rejected returns the classification of a statement that is rejected.
func rejected(reason string) Info { return Info{Kind: KindRejected, Reason: reason} }

// classifyStatement classifies a single statement. Statements without a case of
// their own, such as DDL, count as writes.
func classifyStatement(n *pgquery.Node) Info {
	switch s := n.GetNode().(type) {
	case *pgquery.Node_SelectStmt, *pgquery.Node_InsertStmt, *pgquery.Node_UpdateStmt, *pgquery.Node_DeleteStmt, *pgquery.Node_MergeStmt:
		return classifyQuery(n)
	case *pgquery.Node_ExplainStmt:
		// EXPLAIN counts like the explained query, even without ANALYZE.
		return classifyQuery(s.ExplainStmt.GetQuery())
	case *pgquery.Node_TransactionStmt:
		return classifyTransaction(s.TransactionStmt)
	case *pgquery.Node_VariableSetStmt:
		return classifySet(s.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		return Info{Kind: KindSetting, Setting: SettingCommand{Name: strings.ToLower(s.VariableShowStmt.GetName()), Show: true}}
	case *pgquery.Node_DiscardStmt:
		// Every form of DISCARD counts as RESET ALL.
		return Info{Kind: KindSetting, Setting: SettingCommand{Name: settingAll, Reset: true}}
	case *pgquery.Node_CopyStmt:
		return classifyCopy(s.CopyStmt)
	case *pgquery.Node_ListenStmt, *pgquery.Node_UnlistenStmt:
		return rejected("LISTEN needs a connection of its own: connect to the database directly")
	case *pgquery.Node_PrepareStmt, *pgquery.Node_ExecuteStmt, *pgquery.Node_DeallocateStmt:
		return rejected("PREPARE in SQL is not carried by pooled connections: use the driver's prepared statements")
	case *pgquery.Node_DeclareCursorStmt:
		if s.DeclareCursorStmt.GetOptions()&cursorOptionHold != 0 {
			return rejected("a cursor WITH HOLD needs a connection of its own")
		}
		return Info{Kind: KindWrite}
	case *pgquery.Node_CreateStmt:
		if s.CreateStmt.GetRelation().GetRelpersistence() == "t" {
			return rejected("a temporary table needs a connection of its own")
		}
	case *pgquery.Node_LoadStmt, *pgquery.Node_AlterSystemStmt:
		return rejected("the statement changes the whole database server: connect to it directly")
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
	case w.rejectReason != "":
		return rejected(w.rejectReason)
	case w.writes:
		return Info{Kind: KindWrite, WrittenTables: w.writtenTables}
	}
	return Info{Kind: KindRead}
}

func classifyCopy(s *pgquery.CopyStmt) Info {
	switch {
	case s.GetFilename() != "" || s.GetIsProgram():
		return rejected("COPY takes STDIN and STDOUT only")
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
		return Info{Kind: KindTxControl, TxControl: TxBegin, BeginsReadOnly: isReadOnlyBegin(s)}
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return Info{Kind: KindTxControl, TxControl: TxCommit}
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return Info{Kind: KindTxControl, TxControl: TxRollback}
	case pgquery.TransactionStmtKind_TRANS_STMT_PREPARE, pgquery.TransactionStmtKind_TRANS_STMT_COMMIT_PREPARED,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_PREPARED:
		return rejected("two-phase commit is not supported")
	}
	return Info{Kind: KindTxControl, TxControl: TxOther}
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
