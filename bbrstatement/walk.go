package bbrstatement

import (
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// readOnlyFunctions lists the built-in functions that are known not to write.
var readOnlyFunctions = setOf(
	"abs", "age", "array_agg", "avg", "bool_and", "bool_or", "btrim", "cardinality", "ceil", "ceiling", "char_length",
	"clock_timestamp", "coalesce", "concat", "concat_ws", "count", "current_database", "current_schema", "date_part",
	"date_trunc", "dense_rank", "every", "extract", "first_value", "floor", "format", "generate_series", "greatest",
	"initcap", "json_agg", "json_build_object", "jsonb_agg", "jsonb_build_object", "lag", "last_value", "lead", "least",
	"left", "length", "lower", "lpad", "ltrim", "make_date", "max", "md5", "min", "mod", "now", "nullif",
	"pg_current_wal_lsn", "pg_is_in_recovery", "pg_last_wal_receive_lsn", "pg_last_wal_replay_lsn", "pg_sleep",
	"pg_typeof", "position", "power", "random", "rank", "regexp_replace", "repeat", "replace", "reverse", "right",
	"round", "row_number", "row_to_json", "rpad", "rtrim", "sign", "split_part", "sqrt", "stddev", "string_agg",
	"strpos", "substr", "substring", "sum", "to_char", "to_date", "to_json", "to_jsonb", "to_number", "to_timestamp",
	"trim", "trunc", "unnest", "upper", "variance", "version",
)

func setOf(names ...string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// walker traverses a statement's parse tree and records what the statement
// writes and why it must be rejected.
type walker struct {
	writes bool
	// writtenTables holds the names of the tables that the statement writes.
	writtenTables []string
	// rejectReason is the reason for rejecting the statement. It is empty if the
	// statement is accepted.
	rejectReason string
}

// walk visits a message of the parse tree and all messages nested in it.
func (w *walker) walk(m protoreflect.Message) {
	w.visit(m.Interface())
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if f.Kind() != protoreflect.MessageKind {
			return true
		}
		if f.IsList() {
			for i := range v.List().Len() {
				w.walk(v.List().Get(i).Message())
			}
			return true
		}
		w.walk(v.Message())
		return true
	})
}

// visit records the effects of one node of the parse tree.
func (w *walker) visit(m any) {
	switch n := m.(type) {
	case *pgquery.InsertStmt:
		w.addWrite(n.GetRelation())
	case *pgquery.UpdateStmt:
		w.addWrite(n.GetRelation())
	case *pgquery.DeleteStmt:
		w.addWrite(n.GetRelation())
	case *pgquery.MergeStmt:
		w.addWrite(n.GetRelation())
	case *pgquery.IntoClause, *pgquery.LockingClause:
		// SELECT INTO creates a table. FOR UPDATE and FOR SHARE lock rows, which
		// a replica can't do.
		w.writes = true
	case *pgquery.FuncCall:
		w.visitCall(n)
	}
}

// addWrite records a write to the table r.
func (w *walker) addWrite(r *pgquery.RangeVar) {
	w.writes = true
	w.writtenTables = append(w.writtenTables, r.GetRelname())
}

// visitCall records the effects of a function call. A function in a schema other
// than pg_catalog counts as a write whatever its name. Functions for
// session-level advisory locks are rejected: the pooled connection would still
// hold the lock after it has been returned to the pool.
func (w *walker) visitCall(f *pgquery.FuncCall) {
	names := f.GetFuncname()
	name := strings.ToLower(names[len(names)-1].GetString_().GetSval())
	if strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_") {
		if !strings.Contains(name, "xact") {
			w.rejectReason = "an advisory lock of the session needs a connection of its own: use pg_advisory_xact_lock"
		}
	}
	inOtherSchema := len(names) > 1 && !strings.EqualFold(names[0].GetString_().GetSval(), "pg_catalog")
	if inOtherSchema || !readOnlyFunctions[name] {
		w.writes = true
	}
}
