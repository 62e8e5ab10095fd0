package bbrrows

// Mirror is an in-memory copy of rows. It keeps the newest version of each row that it
// was given, so rows may arrive out of order and from several sources. The zero value
// is empty.
type Mirror struct {
	tables map[string]map[string]Row
	// versions holds the highest row version of each table.
	versions map[string]int64
}

// Apply stores the rows that are newer than the stored ones, and returns them.
func (m *Mirror) Apply(rows []Row) []Row {
	var newer []Row
	for _, r := range rows {
		if m.put(r) {
			newer = append(newer, r)
		}
	}
	return newer
}

// put stores a row if it is newer than the stored one, and reports whether it did.
func (m *Mirror) put(r Row) bool {
	if m.tables == nil {
		m.tables = map[string]map[string]Row{}
		m.versions = map[string]int64{}
	}
	t := m.tables[r.Table]
	if t == nil {
		t = map[string]Row{}
		m.tables[r.Table] = t
	}
	if old, ok := t[r.Key]; ok && old.Version >= r.Version {
		return false
	}
	t[r.Key] = r
	m.versions[r.Table] = max(m.versions[r.Table], r.Version)
	return true
}

// Replace applies a snapshot of a table that was read at a version, and returns the
// rows that changed. A stored row that is missing in the snapshot is marked as deleted,
// unless it is newer than the snapshot.
func (m *Mirror) Replace(table string, rows []Row, version int64) []Row {
	seen := map[string]bool{}
	for _, r := range rows {
		seen[r.Key] = true
	}
	all := rows
	for key, r := range m.tables[table] {
		if !seen[key] && !r.Deleted && r.Version <= version {
			all = append(all, Row{RowName: r.RowName, Version: version, Deleted: true})
		}
	}
	return m.Apply(all)
}

// Version returns the highest row version of a table.
func (m *Mirror) Version(table string) int64 { return m.versions[table] }

// Since returns the rows of a table that are newer than a version, deleted rows
// included.
func (m *Mirror) Since(table string, version int64) []Row {
	var out []Row
	for _, r := range m.tables[table] {
		if r.Version > version {
			out = append(out, r)
		}
	}
	return out
}
