package bbrnode

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// storePause is the pause after a call to the store that failed.
	storePause = 200 * time.Millisecond
	// storePauseMost bounds the pause as failures go on.
	storePauseMost = time.Second
	// boundMargin is taken off the bound of a configuration, for the answer itself.
	boundMargin = 500 * time.Millisecond
	// recordWait bounds questions for changes of the groups' records, which are
	// read with each proof as well.
	recordWait = 12 * time.Second
)

// table is a table of the store that an instance follows.
type table struct {
	name string
	// wait is how long a question for changes is left with the store. One that is
	// lost on a silent connection is noticed not much later.
	wait time.Duration
}

// follow keeps up with a table until ctx ends.
func (n *Node) follow(ctx context.Context, t table) {
	version := int64(-1)
	pause := storePause
	log := n.log.WithField("table", t.name)
	for ctx.Err() == nil {
		next, err := n.step(ctx, t, version)
		version = next
		if err == nil {
			if n.setLost(t.name, false) {
				log.WithField("version", version).Info("store regained")
			}
			pause = storePause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, bbrrows.ErrForgotten) {
			log.WithField("version", version).Info("the store has forgotten changes; the table is read whole")
			version = -1
		} else if !n.setLost(t.name, true) {
			log.WithError(err).Warn("store lost")
		}
		bbrtype.Sleep(ctx, pause)
		pause = min(2*pause, storePauseMost)
	}
}

// step reads the whole table if version is negative, else the changes since. It
// returns where to go on.
func (n *Node) step(ctx context.Context, t table, version int64) (int64, error) {
	if version < 0 {
		rows, v, err := n.ports.Rows.Read(ctx, t.name)
		if err != nil {
			return version, err
		}
		n.takeReading(t.name, rows, v)
		return v, nil
	}
	feed, err := n.ports.Rows.Follow(ctx, t.name, version, t.wait)
	if err != nil {
		return version, err
	}
	n.takeRows(feed.Rows)
	return max(feed.Version, version), nil
}

// setLost notes whether a table can't be read, and returns what it was before.
func (n *Node) setLost(name string, lost bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	was := n.lost[name]
	if lost {
		n.lost[name] = true
		n.directory.Trouble(n.clock.Now())
	} else {
		delete(n.lost, name)
	}
	return was
}

// takeReading takes in a whole reading of a table.
func (n *Node) takeReading(name string, rows []bbrrows.Row, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takeNews(n.mirror.Replace(name, rows, version))
	n.loaded[name] = true
}

// takeRows takes in rows, whoever told them.
func (n *Node) takeRows(rows []bbrrows.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takeNews(n.mirror.Apply(rows))
}

// takeNews puts new rows in force. The caller holds mu.
func (n *Node) takeNews(rows []bbrrows.Row) {
	for _, r := range rows {
		switch r.Table {
		case n.ports.ConfigTable:
			n.takeCatalogue(r)
		case n.ports.MemberTable:
			n.takeMember(r)
		case groupTable:
			n.takeRecord(r)
		}
	}
	if len(rows) > 0 {
		n.refreshGroups()
	}
}
