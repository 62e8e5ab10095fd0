package bbrstandindb

import (
	"sort"
	"strings"
)

// column is one column of a table.
type column struct {
	name      string
	oid       uint32
	notNull   bool
	defaultTo any
}

// row is one stored version of a row. Rows are never changed in place.
type row struct {
	values []any
	// version is the position of the transaction that wrote the row.
	version uint64
}

// uniqueIndex maps the values of some columns to the key of the row.
type uniqueIndex struct {
	columns []int
	keys    map[string]string
}

// table holds the committed rows by their key: the values of the primary
// key's columns, or a number where there is none.
type table struct {
	name    string
	columns []column
	primary []int
	unique  []*uniqueIndex
	rows    map[string]*row
	nextID  int64
}

func (t *table) columnIndex(name string) int {
	for i := range t.columns {
		if t.columns[i].name == name {
			return i
		}
	}
	return -1
}

// keyOf joins the values of some columns into a map key.
func keyOf(values []any, columns []int) string {
	if len(columns) == 1 {
		return textOf(values[columns[0]])
	}
	parts := make([]string, len(columns))
	for i, c := range columns {
		parts[i] = textOf(values[c])
	}
	return strings.Join(parts, "\x00")
}

// put stores a row and keeps the unique indexes in step.
func (t *table) put(key string, r *row) {
	t.drop(key)
	t.rows[key] = r
	for _, u := range t.unique {
		u.keys[keyOf(r.values, u.columns)] = key
	}
}

// drop removes a row, if there is one.
func (t *table) drop(key string) {
	old, ok := t.rows[key]
	if !ok {
		return
	}
	for _, u := range t.unique {
		delete(u.keys, keyOf(old.values, u.columns))
	}
	delete(t.rows, key)
}

// sortedKeys returns the keys in a stable order.
func sortedKeys(rows map[string]*row) []string {
	keys := make([]string, 0, len(rows))
	for k := range rows {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
