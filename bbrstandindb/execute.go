package bbrstandindb

import (
	"fmt"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// parserVersion is the version of PostgreSQL whose trees the parser makes.
const parserVersion = 170007

// result is what a statement returns.
type result struct {
	names []string
	types []uint32
	rows  [][]any
	tag   string
}

// execute runs one statement within a transaction.
func (tx *transaction) execute(n *pgquery.Node, params []any) (*result, error) {
	d := tx.db
	switch s := n.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		return tx.selectRows(s.SelectStmt, params)
	case *pgquery.Node_InsertStmt:
		return tx.writing(func() (*result, error) { return tx.insert(s.InsertStmt, params) })
	case *pgquery.Node_UpdateStmt:
		return tx.writing(func() (*result, error) { return tx.update(s.UpdateStmt, params) })
	case *pgquery.Node_DeleteStmt:
		return tx.writing(func() (*result, error) { return tx.remove(s.DeleteStmt, params) })
	case *pgquery.Node_CreateStmt, *pgquery.Node_DropStmt, *pgquery.Node_IndexStmt:
		if !d.State().Primary {
			return nil, sqlErrorf(codeReadOnly, "cannot execute a definition on a replica")
		}
		text, err := pgquery.Deparse(&pgquery.ParseResult{Version: parserVersion, Stmts: []*pgquery.RawStmt{{Stmt: n}}})
		if err != nil {
			return nil, sqlErrorf(codeSyntax, "%s", err.Error())
		}
		if tx.define != "" {
			return nil, sqlErrorf(codeUnsupported, "one definition a transaction")
		}
		if c := n.GetCreateStmt(); c != nil && c.GetIfNotExists() && d.tableNamed(c.GetRelation()) != nil {
			return &result{tag: "CREATE TABLE"}, nil
		}
		tx.define, tx.node = text, n
		return &result{tag: "CREATE TABLE"}, nil
	case *pgquery.Node_VariableSetStmt:
		return &result{tag: "SET"}, nil
	case *pgquery.Node_DiscardStmt:
		return &result{tag: "DISCARD ALL"}, nil
	}
	return nil, sqlErrorf(codeUnsupported, "statement %T is not supported", n.GetNode())
}

func (d *Database) tableNamed(r *pgquery.RangeVar) *table {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.tables[r.GetRelname()]
}

// writing runs f under the read lock if the member is the primary.
func (tx *transaction) writing(f func() (*result, error)) (*result, error) {
	tx.db.mu.RLock()
	defer tx.db.mu.RUnlock()
	if !tx.db.primary {
		return nil, sqlErrorf(codeReadOnly, "cannot execute a write on a replica")
	}
	return f()
}

func (tx *transaction) find(r *pgquery.RangeVar) (*table, error) {
	t := tx.db.tables[r.GetRelname()]
	if t == nil {
		return nil, sqlErrorf(codeNoTable, "relation %q does not exist", r.GetRelname())
	}
	return t, nil
}

func (tx *transaction) insert(s *pgquery.InsertStmt, params []any) (*result, error) {
	t, err := tx.find(s.GetRelation())
	if err != nil {
		return nil, err
	}
	sc := &scope{db: tx.db, table: t, params: params}
	out := newReturning(t, s.GetReturningList())
	count := 0
	for _, list := range s.GetSelectStmt().GetSelectStmt().GetValuesLists() {
		values, err := sc.newRow(t, s.GetCols(), list.GetList().GetItems())
		if err != nil {
			return nil, err
		}
		key := t.newKey(tx.db, values)
		if tx.isTaken(t, key, values) {
			if s.GetOnConflictClause().GetAction() == pgquery.OnConflictAction_ONCONFLICT_NOTHING {
				continue
			}
			return nil, sqlErrorf(codeUnique, "duplicate key value violates unique constraint %q", t.name+"_pkey")
		}
		tx.record(t, key, nil, values)
		count++
		if err := out.add(sc, values); err != nil {
			return nil, err
		}
	}
	return out.result(fmt.Sprintf("INSERT 0 %d", count)), nil
}

// newRow computes the values of an inserted row.
func (s *scope) newRow(t *table, cols, items []*pgquery.Node) ([]any, error) {
	values := make([]any, len(t.columns))
	for i := range t.columns {
		values[i] = t.columns[i].defaultTo
	}
	for i, item := range items {
		at := i
		if len(cols) > 0 {
			at = -1
			if i < len(cols) {
				at = t.columnIndex(cols[i].GetResTarget().GetName())
			}
		}
		if at < 0 || at >= len(t.columns) {
			return nil, sqlErrorf(codeNoColumn, "value %d has no column in %q", i+1, t.name)
		}
		if item.GetSetToDefault() != nil {
			continue
		}
		v, err := s.eval(item)
		if err != nil {
			return nil, err
		}
		if values[at], err = coerce(v, t.columns[at].oid); err != nil {
			return nil, err
		}
	}
	for i, c := range t.columns {
		if c.notNull && values[i] == nil {
			return nil, sqlErrorf(codeNotNull, "null value in column %q of %q", c.name, t.name)
		}
	}
	return values, nil
}

// isTaken reports whether a row with the same key is visible.
func (tx *transaction) isTaken(t *table, key string, values []any) bool {
	if w, ok := tx.writes[writeKey{t.name, key}]; ok {
		return w.after != nil
	}
	if t.rows[key] != nil {
		return true
	}
	for _, u := range t.unique {
		holder, ok := u.keys[keyOf(values, u.columns)]
		if !ok {
			continue
		}
		if w, mine := tx.writes[writeKey{t.name, holder}]; !mine || w.after != nil {
			return true
		}
	}
	return false
}

func (tx *transaction) update(s *pgquery.UpdateStmt, params []any) (*result, error) {
	t, err := tx.find(s.GetRelation())
	if err != nil {
		return nil, err
	}
	out := newReturning(t, s.GetReturningList())
	count := 0
	err = tx.each(t, s.GetWhereClause(), params, func(key string, base *row, values []any) error {
		sc := &scope{db: tx.db, table: t, values: values, params: params}
		after := append([]any(nil), values...)
		for _, target := range s.GetTargetList() {
			rt := target.GetResTarget()
			i := t.columnIndex(rt.GetName())
			if i < 0 {
				return sqlErrorf(codeNoColumn, "column %q does not exist", rt.GetName())
			}
			v, err := sc.eval(rt.GetVal())
			if err != nil {
				return err
			}
			if after[i], err = coerce(v, t.columns[i].oid); err != nil {
				return err
			}
		}
		tx.record(t, key, base, after)
		count++
		return out.add(sc, after)
	})
	if err != nil {
		return nil, err
	}
	return out.result(fmt.Sprintf("UPDATE %d", count)), nil
}

func (tx *transaction) remove(s *pgquery.DeleteStmt, params []any) (*result, error) {
	t, err := tx.find(s.GetRelation())
	if err != nil {
		return nil, err
	}
	out := newReturning(t, s.GetReturningList())
	count := 0
	err = tx.each(t, s.GetWhereClause(), params, func(key string, base *row, values []any) error {
		tx.record(t, key, base, nil)
		count++
		return out.add(&scope{db: tx.db, table: t, params: params}, values)
	})
	if err != nil {
		return nil, err
	}
	return out.result(fmt.Sprintf("DELETE %d", count)), nil
}

// returning collects the rows of a RETURNING clause.
type returning struct {
	targets []*pgquery.Node
	res     result
}

func newReturning(t *table, targets []*pgquery.Node) *returning {
	r := &returning{}
	r.targets, r.res.names, r.res.types = expandTargets(t, targets)
	return r
}

func (r *returning) add(sc *scope, values []any) error {
	if len(r.targets) == 0 {
		return nil
	}
	old := sc.values
	sc.values = values
	defer func() { sc.values = old }()
	out := make([]any, len(r.targets))
	for i, n := range r.targets {
		v, err := sc.eval(n)
		if err != nil {
			return err
		}
		out[i] = v
	}
	r.res.rows = append(r.res.rows, out)
	return nil
}

func (r *returning) result(tag string) *result {
	r.res.tag = tag
	return &r.res
}

// expandTargets resolves a target list: a star becomes all columns.
func expandTargets(t *table, targets []*pgquery.Node) (exprs []*pgquery.Node, names []string, types []uint32) {
	w := &typeWalker{table: t}
	for _, target := range targets {
		rt := target.GetResTarget()
		if c := rt.GetVal().GetColumnRef(); c != nil && c.GetFields()[0].GetAStar() != nil && t != nil {
			for _, col := range t.columns {
				exprs = append(exprs, pgquery.MakeColumnRefNode([]*pgquery.Node{pgquery.MakeStrNode(col.name)}, 0))
				names = append(names, col.name)
				types = append(types, col.oid)
			}
			continue
		}
		exprs = append(exprs, rt.GetVal())
		names = append(names, targetName(rt))
		types = append(types, resultType(w, rt.GetVal()))
	}
	return exprs, names, types
}

func targetName(rt *pgquery.ResTarget) string {
	if rt.GetName() != "" {
		return rt.GetName()
	}
	if c := rt.GetVal().GetColumnRef(); c != nil {
		return columnName(c)
	}
	if f := rt.GetVal().GetFuncCall(); f != nil {
		return f.GetFuncname()[len(f.GetFuncname())-1].GetString_().GetSval()
	}
	return "?column?"
}

// resultType tells the type of a target before it is computed.
func resultType(w *typeWalker, n *pgquery.Node) uint32 {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_TypeCast:
		return oidOfType(typeName(x.TypeCast.GetTypeName()))
	case *pgquery.Node_FuncCall:
		name := x.FuncCall.GetFuncname()[len(x.FuncCall.GetFuncname())-1].GetString_().GetSval()
		switch strings.ToLower(name) {
		case "count", "length":
			return oidInt8
		case "sum", "max", "min", "coalesce":
			if args := x.FuncCall.GetArgs(); len(args) > 0 {
				return resultType(w, args[0])
			}
		case "pg_is_in_recovery", "pg_promote", "pg_terminate_backend", "standin_promote", "standin_follow":
			return oidBool
		}
		return oidText
	case *pgquery.Node_CoalesceExpr:
		return resultType(w, x.CoalesceExpr.GetArgs()[0])
	case *pgquery.Node_AExpr:
		switch x.AExpr.GetName()[0].GetString_().GetSval() {
		case "+", "-", "*", "/", "%":
			return resultType(w, x.AExpr.GetLexpr())
		case "||":
			return oidText
		}
		return oidBool
	}
	if t := w.exprType(n); t != 0 {
		return t
	}
	return oidText
}
