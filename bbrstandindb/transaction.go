package bbrstandindb

import (
	"fmt"
	"strconv"
	"time"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// writeKey names a row within a transaction.
type writeKey struct {
	table, key string
}

// write is an uncommitted change. after is nil for a deletion.
type write struct {
	base  *row
	after []any
}

// transaction keeps the uncommitted writes of one session.
type transaction struct {
	db     *Database
	writes map[writeKey]*write
	order  []writeKey
	// define is the definition of a table, at most one in a transaction.
	define string
	node   *pgquery.Node
}

func newTransaction(d *Database) *transaction {
	return &transaction{db: d, writes: map[writeKey]*write{}}
}

// record keeps a change; after is nil for a deletion.
func (tx *transaction) record(t *table, key string, base *row, after []any) {
	k := writeKey{t.name, key}
	if w, ok := tx.writes[k]; ok {
		w.after = after
		return
	}
	tx.writes[k] = &write{base: base, after: after}
	tx.order = append(tx.order, k)
}

// commit makes the writes visible and appends them to the log. It fails if a
// changed row was changed by somebody else, or a key is taken.
func (tx *transaction) commit() error {
	if len(tx.order) == 0 && tx.define == "" {
		return nil
	}
	d := tx.db
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.primary {
		return sqlErrorf(codeReadOnly, "cannot execute a write on a replica")
	}
	if err := tx.checkLocked(); err != nil {
		return err
	}
	st := d.stateLocked()
	e := LogEntry{Position: st.Position + positionStep, History: st.History, Committed: time.Now(), Statement: tx.define}
	if tx.define != "" {
		if err := d.defineLocked(tx.node); err != nil {
			return err
		}
	}
	for _, k := range tx.order {
		w := tx.writes[k]
		t := d.tables[k.table]
		e.Changes = append(e.Changes, Change{Table: k.table, Key: k.key, Values: w.after})
		if w.after == nil {
			t.drop(k.key)
			continue
		}
		t.put(k.key, &row{values: w.after, version: e.Position})
	}
	d.appendLocked(e)
	return nil
}

// checkLocked looks for rows changed by others and for taken keys.
func (tx *transaction) checkLocked() error {
	for _, k := range tx.order {
		w := tx.writes[k]
		t := tx.db.tables[k.table]
		if t == nil {
			return sqlErrorf(codeNoTable, "relation %q does not exist", k.table)
		}
		now := t.rows[k.key]
		if w.base == nil && now != nil && w.after != nil {
			return sqlErrorf(codeUnique, "duplicate key value violates unique constraint %q", k.table+"_pkey")
		}
		if w.base != nil && (now == nil || now.version != w.base.version) {
			return sqlErrorf(codeSerialization, "could not serialize access due to concurrent update")
		}
		if err := tx.uniqueLocked(t, k, w); err != nil {
			return err
		}
	}
	return nil
}

func (tx *transaction) uniqueLocked(t *table, k writeKey, w *write) error {
	if w.after == nil {
		return nil
	}
	for _, u := range t.unique {
		holder, taken := u.keys[keyOf(w.after, u.columns)]
		if !taken || holder == k.key {
			continue
		}
		if other, mine := tx.writes[writeKey{t.name, holder}]; mine && other.after == nil {
			continue
		}
		return sqlErrorf(codeUnique, "duplicate key value violates unique constraint on table %q", t.name)
	}
	return nil
}

// each calls f with the rows that a WHERE clause selects, as the transaction
// sees them, in the order of their keys.
func (tx *transaction) each(t *table, where *pgquery.Node, params []any, f func(key string, base *row, values []any) error) error {
	sc := &scope{db: tx.db, table: t, params: params}
	keys, err := tx.candidates(t, where, sc)
	if err != nil {
		return err
	}
	for _, key := range keys {
		base := t.rows[key]
		var values []any
		if base != nil {
			values = base.values
		}
		if w, ok := tx.writes[writeKey{t.name, key}]; ok {
			base, values = w.base, w.after
		}
		if values == nil {
			continue
		}
		sc.values = values
		if where != nil {
			v, err := sc.eval(where)
			if err != nil {
				return err
			}
			if b, _ := v.(bool); !b {
				continue
			}
		}
		if err := f(key, base, values); err != nil {
			return err
		}
	}
	return nil
}

// candidates returns the keys that may match: one if the primary key is given
// by equality, else all.
func (tx *transaction) candidates(t *table, where *pgquery.Node, sc *scope) ([]string, error) {
	if len(t.primary) == 1 {
		if n := equalTo(where, t.columns[t.primary[0]].name); n != nil {
			v, err := sc.eval(n)
			if err != nil || v == nil {
				return nil, err
			}
			if v, err = coerce(v, t.columns[t.primary[0]].oid); err != nil {
				return nil, err
			}
			return []string{textOf(v)}, nil
		}
	}
	keys := sortedKeys(t.rows)
	for _, k := range tx.order {
		if _, stored := t.rows[k.key]; k.table == t.name && !stored {
			keys = append(keys, k.key)
		}
	}
	return keys, nil
}

// equalTo finds the expression that a clause compares a column with.
func equalTo(where *pgquery.Node, column string) *pgquery.Node {
	if b := where.GetBoolExpr(); b != nil && b.GetBoolop() == pgquery.BoolExprType_AND_EXPR {
		for _, a := range b.GetArgs() {
			if n := equalTo(a, column); n != nil {
				return n
			}
		}
		return nil
	}
	e := where.GetAExpr()
	if e == nil || e.GetKind() != pgquery.A_Expr_Kind_AEXPR_OP || e.GetName()[0].GetString_().GetSval() != "=" {
		return nil
	}
	if c := e.GetLexpr().GetColumnRef(); c != nil && columnName(c) == column && e.GetRexpr().GetColumnRef() == nil {
		return e.GetRexpr()
	}
	return nil
}

// defineLocked creates or drops a table, or adds a unique index.
func (d *Database) defineLocked(n *pgquery.Node) error {
	switch s := n.GetNode().(type) {
	case *pgquery.Node_CreateStmt:
		return d.createLocked(s.CreateStmt)
	case *pgquery.Node_DropStmt:
		for _, o := range s.DropStmt.GetObjects() {
			items := o.GetList().GetItems()
			delete(d.tables, items[len(items)-1].GetString_().GetSval())
		}
		return nil
	case *pgquery.Node_IndexStmt:
		t := d.tables[s.IndexStmt.GetRelation().GetRelname()]
		if t == nil {
			return sqlErrorf(codeNoTable, "relation %q does not exist", s.IndexStmt.GetRelation().GetRelname())
		}
		if !s.IndexStmt.GetUnique() {
			return nil
		}
		var cols []int
		for _, p := range s.IndexStmt.GetIndexParams() {
			cols = append(cols, t.columnIndex(p.GetIndexElem().GetName()))
		}
		t.addUnique(cols)
		return nil
	}
	return sqlErrorf(codeUnsupported, "definition %T is not supported", n.GetNode())
}

func (t *table) addUnique(cols []int) {
	u := &uniqueIndex{columns: cols, keys: map[string]string{}}
	for k, r := range t.rows {
		u.keys[keyOf(r.values, cols)] = k
	}
	t.unique = append(t.unique, u)
}

func (d *Database) createLocked(s *pgquery.CreateStmt) error {
	name := s.GetRelation().GetRelname()
	if _, ok := d.tables[name]; ok {
		if s.GetIfNotExists() {
			return nil
		}
		return sqlErrorf(codeDuplicateTable, "relation %q already exists", name)
	}
	t := &table{name: name, rows: map[string]*row{}}
	sc := &scope{db: d}
	var uniques [][]int
	for _, e := range s.GetTableElts() {
		if def := e.GetColumnDef(); def != nil {
			c := column{name: def.GetColname(), oid: oidOfType(typeName(def.GetTypeName()))}
			t.columns = append(t.columns, c)
			own := []int{len(t.columns) - 1}
			for _, cn := range def.GetConstraints() {
				switch con := cn.GetConstraint(); con.GetContype() {
				case pgquery.ConstrType_CONSTR_PRIMARY:
					t.primary = own
				case pgquery.ConstrType_CONSTR_UNIQUE:
					uniques = append(uniques, own)
				case pgquery.ConstrType_CONSTR_NOTNULL:
					t.columns[own[0]].notNull = true
				case pgquery.ConstrType_CONSTR_DEFAULT:
					t.columns[own[0]].defaultTo, _ = sc.eval(con.GetRawExpr())
				}
			}
		}
		if con := e.GetConstraint(); con != nil {
			var cols []int
			for _, k := range con.GetKeys() {
				cols = append(cols, t.columnIndex(k.GetString_().GetSval()))
			}
			if con.GetContype() == pgquery.ConstrType_CONSTR_PRIMARY {
				t.primary = cols
			} else if con.GetContype() == pgquery.ConstrType_CONSTR_UNIQUE {
				uniques = append(uniques, cols)
			}
		}
	}
	for _, cols := range uniques {
		t.addUnique(cols)
	}
	d.tables[name] = t
	return nil
}

// newKey returns the key of a new row.
func (t *table) newKey(d *Database, values []any) string {
	if len(t.primary) > 0 {
		return keyOf(values, t.primary)
	}
	t.nextID++
	return fmt.Sprintf("%s-%d-%s", d.opts.Name, t.nextID, strconv.FormatInt(time.Now().UnixNano(), 36))
}
