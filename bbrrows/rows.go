// Package bbrrows defines the interface of the platform's table store, which holds
// versioned rows. The store supports consistent snapshot reads of a table, conditional
// writes of several rows, and watching a table for changes. Versions
// increase with each write to the store; a row has the version of its last change.
//
// The package also has a Mirror, an in-memory copy of rows.
//
// # Usage
//
//	rows, version, err := store.Read(ctx, "groups")
//	feed, err := store.Follow(ctx, "groups", version, 10*time.Second)
//	version, err = store.Write(ctx, bbrrows.Change{Expected: …, Set: …})
package bbrrows

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The errors that a store returns.
var (
	// ErrConflict means that a row does not have the expected version; nothing was
	// changed.
	ErrConflict = errors.New("a row has another version")
	// ErrForgotten means that the changes after the given version are no longer
	// available. The table has to be read again.
	ErrForgotten = errors.New("the store has forgotten the changes")
	// ErrTurnedAway means that the store rejected the request without executing it.
	ErrTurnedAway = errors.New("the store turned the call away")
)

// RowName identifies a row of the store.
type RowName struct {
	Table string
	Key   string
}

// Row is a row with the version of its last change.
type Row struct {
	RowName
	Value   []byte
	Version int64
	// Deleted marks a row that was deleted. Read returns no such rows.
	Deleted bool
}

// Change is an atomic conditional write: either all of it is applied or nothing.
type Change struct {
	// Expected holds the versions that rows must have for the write to be applied. 0
	// means that the row must not exist.
	Expected map[RowName]int64
	Set      map[RowName][]byte
	Remove   []RowName
}

// Feed is a batch of row changes of a table.
type Feed struct {
	Rows []Row
	// Version is the version to pass to the call for the next batch.
	Version int64
}

// Rows is a client of the table store.
type Rows interface {
	// Read returns a consistent snapshot of all rows of a table, and the version of
	// the snapshot.
	Read(ctx context.Context, table string) ([]Row, int64, error)
	// Follow returns the changes of a table after a version. If there is no
	// change yet, it waits for the first one, at most for the duration wait. It returns
	// ErrForgotten if the changes are no longer available.
	Follow(ctx context.Context, table string, after int64, wait time.Duration) (Feed, error)
	// Write applies a change and returns its version. It returns ErrConflict or
	// ErrTurnedAway if nothing was applied. After any other error the change may have
	// been applied.
	Write(ctx context.Context, c Change) (int64, error)
}
