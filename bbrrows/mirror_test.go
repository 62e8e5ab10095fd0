package bbrrows

import (
	"testing"

	"github.com/matryer/is"
)

func row(key string, version int64) Row {
	return Row{RowName: RowName{Table: "t", Key: key}, Value: []byte(key), Version: version}
}

func TestMirror(t *testing.T) {
	is := is.New(t)
	var m Mirror
	is.Equal(len(m.Apply([]Row{row("a", 1), row("b", 2)})), 2)
	is.Equal(len(m.Apply([]Row{row("a", 1)})), 0) // known
	is.Equal(len(m.Apply([]Row{row("b", 1)})), 0) // older
	is.Equal(m.Version("t"), int64(2))
	is.Equal(len(m.Since("t", 1)), 1)

	// A row that a whole reading lacks is gone, and one that came later is not.
	is.Equal(len(m.Apply([]Row{row("c", 9)})), 1)
	news := m.Replace("t", []Row{row("b", 2)}, 5)
	is.Equal(len(news), 1)
	is.Equal(news[0].Key, "a")
	is.True(news[0].Deleted)
	is.Equal(len(m.Apply([]Row{row("a", 4)})), 0) // an older message does not bring it back
	is.Equal(len(m.Since("t", 8)), 1)
}
