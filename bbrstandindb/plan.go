package bbrstandindb

import (
	pgquery "github.com/pganalyze/pg_query_go/v6"

	lru "github.com/hashicorp/golang-lru/v2"
)

// planCacheSize bounds the parsed texts that are kept.
const planCacheSize = 4096

// plan is a parsed text of SQL.
type plan struct {
	text  string
	nodes []*pgquery.Node
}

var planCache, _ = lru.New[string, *plan](planCacheSize)

// parse returns the statements of a text.
func parse(text string) (*plan, error) {
	if p, ok := planCache.Get(text); ok {
		return p, nil
	}
	res, err := pgquery.Parse(text)
	if err != nil {
		return nil, sqlErrorf(codeSyntax, "%s", err.Error())
	}
	p := &plan{text: text}
	for _, s := range res.GetStmts() {
		p.nodes = append(p.nodes, s.GetStmt())
	}
	planCache.Add(text, p)
	return p, nil
}

// parameterTypes infers the types of a statement's parameters from the columns
// that they meet.
func (d *Database) parameterTypes(n *pgquery.Node, declared []uint32) []uint32 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	w := &typeWalker{types: append([]uint32(nil), declared...)}
	switch s := n.GetNode().(type) {
	case *pgquery.Node_InsertStmt:
		w.insert(d.tables[s.InsertStmt.GetRelation().GetRelname()], s.InsertStmt)
	case *pgquery.Node_UpdateStmt:
		w.table = d.tables[s.UpdateStmt.GetRelation().GetRelname()]
		for _, target := range s.UpdateStmt.GetTargetList() {
			rt := target.GetResTarget()
			w.meet(rt.GetVal(), w.columnType(rt.GetName()))
		}
		w.walk(s.UpdateStmt.GetWhereClause())
	case *pgquery.Node_DeleteStmt:
		w.table = d.tables[s.DeleteStmt.GetRelation().GetRelname()]
		w.walk(s.DeleteStmt.GetWhereClause())
	case *pgquery.Node_SelectStmt:
		if from := s.SelectStmt.GetFromClause(); len(from) > 0 {
			w.table = d.tables[from[0].GetRangeVar().GetRelname()]
		}
		for _, target := range s.SelectStmt.GetTargetList() {
			w.walk(target.GetResTarget().GetVal())
		}
		w.walk(s.SelectStmt.GetWhereClause())
		w.meet(s.SelectStmt.GetLimitCount(), oidInt8)
	}
	for i, t := range w.types {
		if t == 0 {
			w.types[i] = oidText
		}
	}
	return w.types
}

// typeWalker collects parameter types.
type typeWalker struct {
	table *table
	types []uint32
}

func (w *typeWalker) columnType(name string) uint32 {
	if w.table != nil {
		if i := w.table.columnIndex(name); i >= 0 {
			return w.table.columns[i].oid
		}
	}
	return 0
}

func (w *typeWalker) insert(t *table, s *pgquery.InsertStmt) {
	w.table = t
	for _, list := range s.GetSelectStmt().GetSelectStmt().GetValuesLists() {
		for i, item := range list.GetList().GetItems() {
			var oid uint32
			if cols := s.GetCols(); i < len(cols) {
				oid = w.columnType(cols[i].GetResTarget().GetName())
			} else if len(cols) == 0 && t != nil && i < len(t.columns) {
				oid = t.columns[i].oid
			}
			w.meet(item, oid)
		}
	}
}

// meet records the type that an expression takes from its surroundings.
func (w *typeWalker) meet(n *pgquery.Node, oid uint32) {
	if p := n.GetParamRef(); p != nil {
		w.set(int(p.GetNumber()), oid)
		return
	}
	if e := n.GetAExpr(); e != nil {
		for _, side := range []*pgquery.Node{e.GetLexpr(), e.GetRexpr()} {
			w.meet(side, oid)
		}
		return
	}
	w.walk(n)
}

func (w *typeWalker) set(number int, oid uint32) {
	for len(w.types) < number {
		w.types = append(w.types, 0)
	}
	if w.types[number-1] == 0 {
		w.types[number-1] = oid
	}
}

func (w *typeWalker) walk(n *pgquery.Node) {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_ParamRef:
		w.set(int(x.ParamRef.GetNumber()), 0)
	case *pgquery.Node_BoolExpr:
		for _, a := range x.BoolExpr.GetArgs() {
			w.walk(a)
		}
	case *pgquery.Node_TypeCast:
		if p := x.TypeCast.GetArg().GetParamRef(); p != nil {
			w.set(int(p.GetNumber()), oidOfType(typeName(x.TypeCast.GetTypeName())))
		}
	case *pgquery.Node_FuncCall:
		for _, a := range x.FuncCall.GetArgs() {
			w.walk(a)
		}
	case *pgquery.Node_AExpr:
		oid := w.exprType(x.AExpr.GetLexpr())
		if oid == 0 {
			oid = w.exprType(x.AExpr.GetRexpr())
		}
		w.meet(x.AExpr.GetLexpr(), oid)
		if l := x.AExpr.GetRexpr().GetList(); l != nil {
			for _, item := range l.GetItems() {
				w.meet(item, oid)
			}
			return
		}
		w.meet(x.AExpr.GetRexpr(), oid)
	}
}

// exprType returns the type of a column or constant, 0 if unknown.
func (w *typeWalker) exprType(n *pgquery.Node) uint32 {
	if c := n.GetColumnRef(); c != nil {
		return w.columnType(columnName(c))
	}
	if c := n.GetAConst(); c != nil {
		return oidOfValue(constant(c))
	}
	return 0
}

// typeName returns the last part of a type's name.
func typeName(t *pgquery.TypeName) string {
	names := t.GetNames()
	if len(names) == 0 {
		return ""
	}
	return names[len(names)-1].GetString_().GetSval()
}

// columnName returns the last part of a column reference.
func columnName(c *pgquery.ColumnRef) string {
	fields := c.GetFields()
	return fields[len(fields)-1].GetString_().GetSval()
}
