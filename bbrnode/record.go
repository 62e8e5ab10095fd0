package bbrnode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// confirmStagger is the delay by which each further instance, in the order of its rank
// for a group, tries to confirm the group's record later.
const confirmStagger = 150 * time.Millisecond

// errStoreRestored means that the store was restored since the record was read. The store
// may have written the record nevertheless, if it gave out the record's version again.
var errStoreRestored = errors.New("the store was restored since the record was read")

// writeRecord writes a group's record if its version in the store is still the known one,
// and returns what is known of the record then. If there is no reply, it reads the record
// back to find out whether the write took effect.
func (n *Node) writeRecord(ctx context.Context, group bbrtype.GroupName, known bbrsuccession.VersionedRecord, r bbrsuccession.Record) (bbrsuccession.VersionedRecord, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return known, errors.Wrap(err, "encode the record")
	}
	era := n.currentEra().Era
	if known.Exists && known.Version.Era != era {
		return known, errStoreRestored
	}
	row := bbrrows.RowKey{Table: groupTable, Key: string(group)}
	expected := map[bbrrows.RowKey]bbrrows.Version{row: known.ExpectedVersion()}
	if era != 0 {
		guard, err := n.guardOf(ctx, era)
		if err != nil {
			return known, errors.Wrap(err, "read the guard of the store's era")
		}
		expected[guard.row] = guard.version
	}
	version, err := n.platform.Store.Write(ctx, bbrrows.ConditionalWrite{ExpectedVersions: expected, Set: map[bbrrows.RowKey][]byte{row: value}})
	if err != nil {
		if version, err = n.readBackRecord(ctx, group, r, err); err != nil {
			return known, err
		}
	}
	n.applyRows([]bbrrows.Row{{RowKey: row, Value: value, Version: version}})
	if version.Era != era {
		return known, errStoreRestored
	}
	return n.knownRecord(group), nil
}

// readBackRecord reads a group's record to find out whether a write without a reply took
// effect. It returns the version written, or cause if the record differs or cannot be
// read.
func (n *Node) readBackRecord(ctx context.Context, group bbrtype.GroupName, want bbrsuccession.Record, cause error) (bbrrows.Version, error) {
	if errors.Is(cause, bbrrows.ErrRejected) {
		return bbrrows.Version{}, cause
	}
	rows, _, err := n.platform.Store.Read(ctx, groupTable)
	if err != nil {
		return bbrrows.Version{}, cause
	}
	for _, r := range rows {
		if r.Key != string(group) {
			continue
		}
		var have bbrsuccession.Record
		if json.Unmarshal(r.Value, &have) == nil && have == want {
			return r.Version, nil
		}
		n.applyRows([]bbrrows.Row{r})
	}
	return bbrrows.Version{}, cause
}

// isConfirmDue reports whether this instance is to confirm a group's record in the
// store's era: it has a proof that is good enough, and the instances that rank before it
// have had their turn.
func (n *Node) isConfirmDue(g *bbrlink.Group, p bbrlink.Primary, now bbrtype.Mono) bool {
	known, era := n.knownRecord(g.Name()), n.currentEra()
	if era.Since == 0 || known.IsConfirmedIn(era.Era) || !n.hasLoaded(groupTable) {
		return false
	}
	from := bbrsuccession.ConfirmableFrom(known, era)
	if now < from || g.ProofSentAt(p) < from {
		return false
	}
	return now.Sub(from) >= confirmStagger*time.Duration(n.inspectionRank(g.Name()))
}

// confirmRecord writes the proven primary of a group to the group's record, so that the
// record is confirmed in the store's era.
func (n *Node) confirmRecord(ctx context.Context, g *bbrlink.Group, p bbrlink.Primary) {
	if !n.beginChange(g.Name()) {
		return
	}
	defer n.endChange(g.Name())
	known, era := n.knownRecord(g.Name()), n.currentEra()
	if known.IsConfirmedIn(era.Era) || g.ProofSentAt(p) < bbrsuccession.ConfirmableFrom(known, era) {
		return
	}
	log := n.log.WithFields(logrus.Fields{"group": g.Name(), "primary": p.Member, "term": p.Term, "era": era.Era})
	if _, err := n.writeRecord(ctx, g.Name(), known, bbrsuccession.Confirm(known, p.Member, p.Term, era.Era)); err != nil {
		log.WithError(err).Info("the group's record is not confirmed yet")
		return
	}
	log.Info("the group's record is confirmed")
}
