package bbrnode

import (
	"context"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrrows"
)

// eraTable has one row, whose key is the store's era. Each write of a group's record
// expects the row's version, and the first write of an era replaces the row of the older
// one. A write that the store makes late, after a restore, therefore fails, also if the
// store has given out again the version of the record that it expects.
const eraTable = "eras"

// eraGuard is the row of an era, as a write expects it.
type eraGuard struct {
	row     bbrrows.RowKey
	version bbrrows.Version
}

// guardOf returns the guard of an era of the store, which it creates if the store has none.
// It returns errStoreRestored if the store is in another era.
func (n *Node) guardOf(ctx context.Context, era bbrrows.Era) (eraGuard, error) {
	n.mu.Lock()
	guard := n.guard
	n.mu.Unlock()
	if guard.version.Era == era {
		return guard, nil
	}
	guard, err := n.findGuard(ctx, era)
	if err != nil {
		return eraGuard{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.guard = guard
	return guard, nil
}

// findGuard reads the guard of an era from the store, or creates it.
func (n *Node) findGuard(ctx context.Context, era bbrrows.Era) (eraGuard, error) {
	rows, version, err := n.platform.Store.Read(ctx, eraTable)
	if err != nil {
		return eraGuard{}, err
	}
	n.recordEra(version.Era)
	if version.Era != era {
		return eraGuard{}, errStoreRestored
	}
	guard := eraGuard{row: bbrrows.RowKey{Table: eraTable, Key: strconv.FormatInt(int64(era), 10)}}
	var older []bbrrows.RowKey
	for _, r := range rows {
		if r.Key == guard.row.Key {
			guard.version = r.Version
			return guard, nil
		}
		older = append(older, r.RowKey)
	}
	guard.version, err = n.platform.Store.Write(ctx, bbrrows.ConditionalWrite{
		ExpectedVersions: map[bbrrows.RowKey]bbrrows.Version{guard.row: {}},
		Set:              map[bbrrows.RowKey][]byte{guard.row: []byte(n.settings.Name)},
		Delete:           older,
	})
	if err != nil {
		return eraGuard{}, err
	}
	n.recordEra(guard.version.Era)
	if guard.version.Era != era {
		return eraGuard{}, errStoreRestored
	}
	n.log.WithFields(logrus.Fields{"era": era, "version": guard.version.Number, "older": len(older)}).Info("guard of the store's era created")
	return guard, nil
}
