package bbrrows

import (
	"testing"

	"github.com/matryer/is"
)

func row(key string, version int64) Row {
	return Row{RowKey: RowKey{Table: "t", Key: key}, Value: []byte(key), Version: Version{Number: version}}
}

func TestMirror(t *testing.T) {
	is := is.New(t)
	var m Mirror
	is.Equal(len(m.Apply([]Row{row("a", 1), row("b", 2)})), 2)
	is.Equal(len(m.Apply([]Row{row("a", 1)})), 0) // same version
	is.Equal(len(m.Apply([]Row{row("b", 1)})), 0) // older version
	is.Equal(m.Version("t"), Version{Number: 2})
	is.Equal(len(m.ChangedSince("t", Version{Number: 1})), 1)

	// ApplySnapshot marks a row that is not in the snapshot as deleted, unless the row
	// is newer than the snapshot.
	is.Equal(len(m.Apply([]Row{row("c", 9)})), 1)
	changed := m.ApplySnapshot("t", []Row{row("b", 2)}, Version{Number: 5})
	is.Equal(len(changed), 1)
	is.Equal(changed[0].Key, "a")
	is.True(changed[0].Deleted)
	is.Equal(len(m.Apply([]Row{row("a", 4)})), 0) // an older update does not restore the deleted row
	is.Equal(len(m.ChangedSince("t", Version{Number: 8})), 1)
}

// TestMirrorAfterRestore applies rows of a new era, in which the store gives out again the
// versions that it lost.
func TestMirrorAfterRestore(t *testing.T) {
	inEra := func(era Era, key string, number int64, value string) Row {
		return Row{RowKey: RowKey{Table: "t", Key: key}, Value: []byte(value), Version: Version{Era: era, Number: number}}
	}
	tests := map[string]struct {
		known, rows []Row
		want        string
	}{
		"the number was given out before":   {[]Row{inEra(1, "a", 9, "lost")}, []Row{inEra(2, "a", 9, "new")}, "new"},
		"a lower number":                    {[]Row{inEra(1, "a", 9, "lost")}, []Row{inEra(2, "a", 5, "new")}, "new"},
		"a late row of the old era":         {[]Row{inEra(2, "a", 5, "new")}, []Row{inEra(1, "a", 9, "lost")}, "new"},
		"restored twice":                    {[]Row{inEra(2, "a", 5, "once")}, []Row{inEra(3, "a", 4, "twice")}, "twice"},
		"the same row in the restored copy": {[]Row{inEra(1, "a", 3, "same")}, []Row{inEra(2, "a", 3, "same")}, "same"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m Mirror
			m.Apply(tt.known)
			m.Apply(tt.rows)
			got := m.ChangedSince("t", Version{})
			is.Equal(len(got), 1)
			is.Equal(string(got[0].Value), tt.want)
		})
	}

	t.Run("a row that the copy lacks", func(t *testing.T) {
		is := is.New(t)
		var m Mirror
		m.Apply([]Row{inEra(1, "a", 3, "kept"), inEra(1, "b", 9, "lost")})
		changed := m.ApplySnapshot("t", []Row{inEra(2, "a", 3, "kept")}, Version{Era: 2, Number: 4})
		is.Equal(len(changed), 2)
		is.Equal(changed[1].Key, "b")
		is.True(changed[1].Deleted && changed[1].Lost)
		is.Equal(len(m.ChangedSince("t", Version{})), 1)
	})
}
