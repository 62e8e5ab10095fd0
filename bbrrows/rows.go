// Package bbrrows defines the interface of the platform's table store, which holds
// versioned rows. The store supports consistent snapshot reads of a table, conditional
// writes of several rows, and watching a table for changes. Versions
// increase with each write to the store; a row has the version of its last change.
// A store that is restored from a copy begins a new era, see Version.
//
// The package also has a Mirror, an in-memory copy of rows.
//
// # Usage
//
//	rows, version, err := store.Read(ctx, "groups")
//	batch, err := store.Watch(ctx, "groups", version, 10*time.Second)
//	version, err = store.Write(ctx, bbrrows.ConditionalWrite{ExpectedVersions: …, Set: …})
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
	// ErrCompacted means that the changes after the given version are no longer
	// available. The table has to be read again.
	ErrCompacted = errors.New("the store has forgotten the changes")
	// ErrRejected means that the store rejected the request without executing it.
	ErrRejected = errors.New("the store turned the call away")
)

// RowKey identifies a row of the store.
type RowKey struct {
	Table string
	Key   string
}

// Row is a row with the version of its last change.
type Row struct {
	RowKey
	Value   []byte
	Version Version
	// Deleted marks a row that was deleted. Read returns no such rows.
	Deleted bool
	// Lost is set with Deleted if the row was not removed by a write, but is missing
	// since the store was restored.
	Lost bool
}

// ConditionalWrite is an atomic conditional write: either all of it is applied or nothing.
type ConditionalWrite struct {
	// ExpectedVersions holds the versions that rows must have for the write to be
	// applied. A version of number 0 means that the row must not exist. The store
	// compares the numbers only.
	ExpectedVersions map[RowKey]Version
	Set              map[RowKey][]byte
	Delete           []RowKey
}

// ChangeBatch is a batch of row changes of a table.
type ChangeBatch struct {
	Rows []Row
	// NextVersion is the version to pass to Watch for the next batch.
	NextVersion Version
}

// Store is a client of the table store.
type Store interface {
	// Read returns a consistent snapshot of all rows of a table, and the version of
	// the snapshot.
	Read(ctx context.Context, table string) ([]Row, Version, error)
	// Watch returns the changes of a table after a version. If there is no
	// change yet, it waits for the first one, at most for the duration wait. It returns
	// ErrCompacted if the changes are no longer available.
	Watch(ctx context.Context, table string, after Version, wait time.Duration) (ChangeBatch, error)
	// Write applies a conditional write and returns its version. It returns ErrConflict or
	// ErrRejected if nothing was applied. After any other error the change may have
	// been applied.
	Write(ctx context.Context, c ConditionalWrite) (Version, error)
}
