package bbrrows

// Mirror keeps the newest version of each row that was seen, whatever way it came.
// The zero value is empty.
type Mirror struct {
	tables map[string]map[string]Row
	// versions are the versions up to which each table is known.
	versions map[string]int64
}

// Apply enters rows and returns those that were news.
func (m *Mirror) Apply(rows []Row) []Row {
	var news []Row
	for _, r := range rows {
		if m.put(r) {
			news = append(news, r)
		}
	}
	return news
}

// put enters a row if it is newer than the one known.
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

// Replace enters a whole reading of a table at a version, and returns what was
// news: rows that the reading lacks are gone, unless they are newer than it.
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

// Version returns the newest version seen of a table's rows.
func (m *Mirror) Version(table string) int64 { return m.versions[table] }

// Since returns the rows of a table that are newer than a version.
func (m *Mirror) Since(table string, version int64) []Row {
	var out []Row
	for _, r := range m.tables[table] {
		if r.Version > version {
			out = append(out, r)
		}
	}
	return out
}
