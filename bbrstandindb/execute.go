package bbrstandindb

import (
	"fmt"
	"sort"
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

func (tx *transaction) selectRows(s *pgquery.SelectStmt, params []any) (*result, error) {
	d := tx.db
	if len(s.GetFromClause()) == 0 {
		return tx.selectWithoutTable(s, params)
	}
	if f := s.GetFromClause()[0].GetRangeFunction(); f != nil {
		return tx.selectControl(s, params)
	}
	if s.GetFromClause()[0].GetRangeVar().GetRelname() == activityTable {
		return tx.selectActivity(s, params)
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	t, err := tx.find(s.GetFromClause()[0].GetRangeVar())
	if err != nil {
		return nil, err
	}
	if len(s.GetFromClause()) > 1 || s.GetGroupClause() != nil {
		return nil, sqlErrorf(codeUnsupported, "joins and GROUP BY are not supported")
	}
	var found [][]any
	err = tx.each(t, s.GetWhereClause(), params, func(_ string, _ *row, values []any) error {
		found = append(found, values)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if hasAggregate(s.GetTargetList()) {
		return aggregate(t, s.GetTargetList(), found, params, d)
	}
	if err := sortRows(t, s.GetSortClause(), found); err != nil {
		return nil, err
	}
	sc := &scope{db: d, table: t, params: params}
	if n := s.GetLimitCount(); n != nil {
		v, err := sc.eval(n)
		if err != nil {
			return nil, err
		}
		if limit, ok := v.(int64); ok && int(limit) < len(found) {
			found = found[:limit]
		}
	}
	out := newReturning(t, s.GetTargetList())
	for _, values := range found {
		if err := out.add(sc, values); err != nil {
			return nil, err
		}
	}
	return out.result(fmt.Sprintf("SELECT %d", len(found))), nil
}

func (tx *transaction) selectWithoutTable(s *pgquery.SelectStmt, params []any) (*result, error) {
	out := newReturning(nil, s.GetTargetList())
	if err := out.add(&scope{db: tx.db, params: params}, nil); err != nil {
		return nil, err
	}
	return out.result("SELECT 1"), nil
}

// selectControl answers a SELECT from pg_control_checkpoint().
func (tx *transaction) selectControl(s *pgquery.SelectStmt, params []any) (*result, error) {
	control := &table{columns: []column{{name: "timeline_id", oid: oidInt8}}}
	sc := &scope{db: tx.db, table: control, params: params}
	out := newReturning(control, s.GetTargetList())
	if err := out.add(sc, []any{int64(tx.db.State().History)}); err != nil {
		return nil, err
	}
	return out.result("SELECT 1"), nil
}

// activityTable is the name of the view of what connections do.
const activityTable = "pg_stat_activity"

// selectActivity answers a SELECT from pg_stat_activity with the columns pid
// and state.
func (tx *transaction) selectActivity(s *pgquery.SelectStmt, params []any) (*result, error) {
	t := &table{name: activityTable, columns: []column{{name: "pid", oid: oidInt8}, {name: "state", oid: oidText}}, rows: map[string]*row{}}
	for pid, state := range tx.db.activity() {
		t.rows[textOf(int64(pid))] = &row{values: []any{int64(pid), state}}
	}
	out := newReturning(t, s.GetTargetList())
	sc := &scope{db: tx.db, table: t, params: params}
	err := tx.each(t, s.GetWhereClause(), params, func(_ string, _ *row, values []any) error {
		return out.add(sc, values)
	})
	if err != nil {
		return nil, err
	}
	return out.result(fmt.Sprintf("SELECT %d", len(out.res.rows))), nil
}

func sortRows(t *table, by []*pgquery.Node, rows [][]any) error {
	for i := len(by) - 1; i >= 0; i-- {
		sb := by[i].GetSortBy()
		c := sb.GetNode().GetColumnRef()
		if c == nil {
			return sqlErrorf(codeUnsupported, "ORDER BY takes columns only")
		}
		at := t.columnIndex(columnName(c))
		if at < 0 {
			return sqlErrorf(codeNoColumn, "column %q does not exist", columnName(c))
		}
		desc := sb.GetSortbyDir() == pgquery.SortByDir_SORTBY_DESC
		sort.SliceStable(rows, func(a, b int) bool {
			order, _ := compare(rows[a][at], rows[b][at])
			if desc {
				return order > 0
			}
			return order < 0
		})
	}
	return nil
}

func aggregateName(n *pgquery.Node) string {
	f := n.GetResTarget().GetVal().GetFuncCall()
	if f == nil {
		return ""
	}
	name := strings.ToLower(f.GetFuncname()[len(f.GetFuncname())-1].GetString_().GetSval())
	switch name {
	case "count", "sum", "min", "max":
		return name
	}
	return ""
}

func hasAggregate(targets []*pgquery.Node) bool {
	for _, t := range targets {
		n := t
		if c := t.GetResTarget().GetVal().GetCoalesceExpr(); c != nil {
			n = &pgquery.Node{Node: &pgquery.Node_ResTarget{ResTarget: &pgquery.ResTarget{Val: c.GetArgs()[0]}}}
		}
		if aggregateName(n) != "" {
			return true
		}
	}
	return false
}

// aggregate computes a target list of aggregates over the found rows.
func aggregate(t *table, targets []*pgquery.Node, rows [][]any, params []any, d *Database) (*result, error) {
	out := newReturning(t, targets)
	values := make([]any, len(targets))
	for i, target := range targets {
		val := target.GetResTarget().GetVal()
		var fallback *pgquery.Node
		if c := val.GetCoalesceExpr(); c != nil {
			val, fallback = c.GetArgs()[0], c.GetArgs()[1]
		}
		sc := &scope{db: d, table: t, params: params}
		v, err := sc.fold(val.GetFuncCall(), rows)
		if err != nil {
			return nil, err
		}
		if v == nil && fallback != nil {
			if v, err = sc.eval(fallback); err != nil {
				return nil, err
			}
		}
		values[i] = v
	}
	out.res.rows = [][]any{values}
	return out.result("SELECT 1"), nil
}

// fold computes one aggregate.
func (s *scope) fold(f *pgquery.FuncCall, rows [][]any) (any, error) {
	if f == nil {
		return nil, sqlErrorf(codeUnsupported, "columns beside aggregates are not supported")
	}
	name := strings.ToLower(f.GetFuncname()[len(f.GetFuncname())-1].GetString_().GetSval())
	if f.GetAggStar() {
		return int64(len(rows)), nil
	}
	var acc any
	count := int64(0)
	for _, values := range rows {
		s.values = values
		v, err := s.eval(f.GetArgs()[0])
		if err != nil {
			return nil, err
		}
		if v == nil {
			continue
		}
		count++
		order, _ := compare(v, acc)
		switch {
		case acc == nil, name == "min" && order < 0, name == "max" && order > 0:
			acc = v
		case name == "sum":
			if acc, err = arithmetic("+", acc, v); err != nil {
				return nil, err
			}
		}
	}
	if name == "count" {
		return count, nil
	}
	return acc, nil
}
