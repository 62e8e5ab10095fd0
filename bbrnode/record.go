package bbrnode

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// errStoreRestored means that the store was restored since the record was read. The store
// may have written the record nevertheless, if it gave out the record's version again.
var errStoreRestored = errors.New("the store was restored since the record was read")

// recordWrite is a write of a group's record, for which the row must have the known
// version.
type recordWrite struct {
	group  bbrtype.GroupName
	known  bbrsuccession.VersionedRecord
	record bbrsuccession.Record
}

// writeRecord writes a group's record if its version in the store is still the known one,
// and returns what is known of the record then. If there is no reply, it reads the record
// back to find out whether the write took effect.
func (n *Node) writeRecord(ctx context.Context, w recordWrite) (bbrsuccession.VersionedRecord, error) {
	era := n.currentEra().Era
	version, err := n.writeRecords(ctx, era, w)
	if err != nil && !errors.Is(err, errStoreRestored) {
		version, err = n.readBackRecord(ctx, w, err)
	}
	if err != nil {
		return w.known, err
	}
	if err := n.applyWritten(version, w); err != nil {
		return w.known, err
	}
	if version.Era != era {
		return w.known, errStoreRestored
	}
	return n.knownRecord(w.group), nil
}

// writeRecords writes the records of several groups in an era of the store, all or none,
// and returns the version written.
func (n *Node) writeRecords(ctx context.Context, era bbrrows.Era, writes ...recordWrite) (bbrrows.Version, error) {
	c := bbrrows.ConditionalWrite{ExpectedVersions: map[bbrrows.RowKey]bbrrows.Version{}, Set: map[bbrrows.RowKey][]byte{}}
	for _, w := range writes {
		if w.known.Exists && w.known.Version.Era != era {
			return bbrrows.Version{}, errStoreRestored
		}
		value, err := json.Marshal(w.record)
		if err != nil {
			return bbrrows.Version{}, errors.Wrap(err, "encode the record")
		}
		c.ExpectedVersions[recordKey(w.group)] = w.known.ExpectedVersion()
		c.Set[recordKey(w.group)] = value
	}
	if era != 0 {
		guard, err := n.guardOf(ctx, era)
		if err != nil {
			return bbrrows.Version{}, errors.Wrap(err, "read the guard of the store's era")
		}
		c.ExpectedVersions[guard.row] = guard.version
	}
	return n.platform.Store.Write(ctx, c)
}

// applyWritten applies records that were written at a version.
func (n *Node) applyWritten(version bbrrows.Version, writes ...recordWrite) error {
	rows := make([]bbrrows.Row, 0, len(writes))
	for _, w := range writes {
		value, err := json.Marshal(w.record)
		if err != nil {
			return errors.Wrap(err, "encode the record")
		}
		rows = append(rows, bbrrows.Row{RowKey: recordKey(w.group), Value: value, Version: version})
	}
	n.applyRows(rows)
	return nil
}

// recordKey is the key of a group's record.
func recordKey(group bbrtype.GroupName) bbrrows.RowKey {
	return bbrrows.RowKey{Table: groupTable, Key: string(group)}
}

// readBackRecord reads a group's record to find out whether a write without a reply took
// effect. It returns the version written, or cause if the record differs or cannot be
// read.
func (n *Node) readBackRecord(ctx context.Context, w recordWrite, cause error) (bbrrows.Version, error) {
	if errors.Is(cause, bbrrows.ErrRejected) {
		return bbrrows.Version{}, cause
	}
	rows, _, err := n.platform.Store.Read(ctx, groupTable)
	if err != nil {
		return bbrrows.Version{}, cause
	}
	for _, r := range rows {
		if r.Key != string(w.group) {
			continue
		}
		var have bbrsuccession.Record
		if json.Unmarshal(r.Value, &have) == nil && have.Equal(w.record) {
			return r.Version, nil
		}
		n.applyRows([]bbrrows.Row{r})
	}
	return bbrrows.Version{}, cause
}
