package bbrrows

// Mirror is an in-memory copy of rows. For each row it stores the highest version that
// was applied, so updates from several sources may be applied in any order. Rows of a
// newer era of the store replace those of an older one. The zero value is empty.
type Mirror struct {
	tables map[string]map[string]Row
	// maxVersions holds the highest row version of each table.
	maxVersions map[string]Version
}

// Ignored returns the rows that Apply would ignore although they differ from the stored
// ones: rows of another version that is not newer.
func (m *Mirror) Ignored(rows []Row) []Row {
	var out []Row
	for _, r := range rows {
		if old, ok := m.tables[r.Table][r.Key]; ok && r.Version != old.Version && !r.Version.IsNewerThan(old.Version) {
			out = append(out, r)
		}
	}
	return out
}

// Apply stores each row that is newer than the stored version of it, and returns the
// rows that it stored.
func (m *Mirror) Apply(rows []Row) []Row {
	var newer []Row
	for _, r := range rows {
		if m.putIfNewer(r) {
			newer = append(newer, r)
		}
	}
	return newer
}

// putIfNewer stores a row if it is newer than the stored version of it. It reports
// whether the row was stored.
func (m *Mirror) putIfNewer(r Row) bool {
	if m.tables == nil {
		m.tables = map[string]map[string]Row{}
		m.maxVersions = map[string]Version{}
	}
	t := m.tables[r.Table]
	if t == nil {
		t = map[string]Row{}
		m.tables[r.Table] = t
	}
	if old, ok := t[r.Key]; ok && !r.Version.IsNewerThan(old.Version) {
		return false
	}
	t[r.Key] = r
	if r.Version.IsNewerThan(m.maxVersions[r.Table]) {
		m.maxVersions[r.Table] = r.Version
	}
	return true
}

// ApplySnapshot applies a snapshot of a table that was read at a version, and returns the
// rows that changed. A stored row that is missing from the snapshot is marked as deleted,
// unless it is newer than the snapshot. If the snapshot is of a newer era of the store, the
// row is marked as lost as well.
func (m *Mirror) ApplySnapshot(table string, rows []Row, version Version) []Row {
	seen := map[string]bool{}
	for _, r := range rows {
		seen[r.Key] = true
	}
	changes := rows
	for key, r := range m.tables[table] {
		if !seen[key] && !r.Deleted && !r.Version.IsNewerThan(version) {
			changes = append(changes, Row{RowKey: r.RowKey, Version: version, Deleted: true, Lost: version.Era > r.Version.Era})
		}
	}
	return m.Apply(changes)
}

// Version returns the highest row version of a table.
func (m *Mirror) Version(table string) Version { return m.maxVersions[table] }

// ChangedSince returns the rows of a table that are newer than a version, deleted rows
// included, but not lost ones: who still has a row that the store has lost keeps it.
func (m *Mirror) ChangedSince(table string, version Version) []Row {
	var out []Row
	for _, r := range m.tables[table] {
		if r.Version.IsNewerThan(version) && !r.Lost {
			out = append(out, r)
		}
	}
	return out
}

// Snapshot returns the rows of a table that exist.
func (m *Mirror) Snapshot(table string) []Row {
	var out []Row
	for _, r := range m.tables[table] {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	return out
}
