// Package bbrrows is the store of versioned rows that the platform keeps, as the
// engine sees it: conditional changes, readings of one moment, a feed of changes.
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

// Errors of a store.
var (
	// ErrConflict means that a row had another version; nothing was changed.
	ErrConflict = errors.New("a row has another version")
	// ErrForgotten means that the store no longer has the changes asked for.
	ErrForgotten = errors.New("the store has forgotten the changes")
	// ErrTurnedAway means that the store did nothing.
	ErrTurnedAway = errors.New("the store turned the call away")
)

// RowName names a row of the platform's store.
type RowName struct {
	Table string
	Key   string
}

// Row is a row with the version of its last change.
type Row struct {
	RowName
	Value   []byte
	Version int64
	// Deleted is set in a feed for a row that is gone.
	Deleted bool
}

// Change is a conditional change of rows: all of it is made or nothing.
type Change struct {
	// Expected are rows with the version that each must have, 0 for none.
	Expected map[RowName]int64
	Set      map[RowName][]byte
	Remove   []RowName
}

// Feed is a part of the changes of a table.
type Feed struct {
	Rows []Row
	// Version is where to go on.
	Version int64
}

// Rows is a store of versioned rows with conditional changes and a feed.
type Rows interface {
	// Read returns all rows of a table and the store's version. It returns a
	// reading of one moment.
	Read(ctx context.Context, table string) ([]Row, int64, error)
	// Follow returns the changes after a version. It waits for the first one, at
	// most for a time. It returns ErrForgotten if the store no longer has them.
	Follow(ctx context.Context, table string, after int64, wait time.Duration) (Feed, error)
	// Write makes a change. It returns ErrConflict if a row had another version;
	// after any other error the change may have been made.
	Write(ctx context.Context, c Change) (int64, error)
}
