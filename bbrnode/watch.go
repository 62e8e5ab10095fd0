package bbrnode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrrows"
)

const (
	// storePause is the pause after a call to the store that failed.
	storePause = 200 * time.Millisecond
	// storePauseMost bounds the pause as failures go on.
	storePauseMost = time.Second
	// configWait, memberWait and recordWait bound questions for changes. The record
	// of a group is also read with each proof.
	configWait = 2500 * time.Millisecond
	memberWait = 4 * time.Second
	recordWait = 12 * time.Second
)

// table is a table of the store that an instance follows.
type table struct {
	name string
	// wait is how long a question for changes is left with the store. One that is
	// lost on a silent connection is noticed not much later.
	wait time.Duration
	// replace takes in a whole reading, apply a few changes.
	replace func(rows []bbrrows.Row)
	apply   func(rows []bbrrows.Row)
	// trouble is called when the table can't be read.
	trouble func()
}

// follow keeps up with a table until ctx ends.
func follow(ctx context.Context, store bbrrows.Rows, log logrus.FieldLogger, t table) {
	version := int64(-1)
	pause := storePause
	lost := false
	for ctx.Err() == nil {
		next, err := step(ctx, store, t, version)
		version = next
		if err == nil {
			if lost {
				log.WithFields(logrus.Fields{"table": t.name, "version": version}).Info("store regained")
			}
			lost, pause = false, storePause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !lost && !errors.Is(err, bbrrows.ErrForgotten) {
			log.WithField("table", t.name).WithError(err).Warn("store lost")
			lost = true
		}
		if errors.Is(err, bbrrows.ErrForgotten) {
			version = -1
		} else if t.trouble != nil {
			t.trouble()
		}
		sleep(ctx, pause)
		pause = min(2*pause, storePauseMost)
	}
}

// step reads the whole table if version is negative, else the changes since. It
// returns where to go on.
func step(ctx context.Context, store bbrrows.Rows, t table, version int64) (int64, error) {
	if version < 0 {
		rows, v, err := store.Read(ctx, t.name)
		if err != nil {
			return version, err
		}
		t.replace(rows)
		return v, nil
	}
	feed, err := store.Follow(ctx, t.name, version, t.wait)
	if err != nil {
		return version, err
	}
	t.apply(feed.Rows)
	return max(feed.Version, version), nil
}

// sleep waits or returns early when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
