package bbrstandindb

import (
	"fmt"
	"sort"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

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
