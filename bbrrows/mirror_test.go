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
