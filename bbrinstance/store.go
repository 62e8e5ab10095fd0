package bbrinstance

import (
	"context"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrstore"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// timed runs a call of the store under a timeout and notes how long it took.
func (i *Instance) timed(call string, timeout time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(i.ctx, timeout)
	defer cancel()
	before := time.Now()
	err := f(ctx)
	i.deps.Metrics.StoreCall(call, err == nil, time.Since(before))
	return err
}

func (i *Instance) readHead(a bbrcontrol.ReadJournal) {
	ev := bbrcontrol.JournalRead{SentAt: i.deps.Clock.Now(), After: a.After}
	err := i.timed("read", readTimeout, func(ctx context.Context) error {
		var err error
		ev.Records, ev.More, err = i.deps.Journal.Read(ctx, a.After, readLimit)
		return err
	})
	if err != nil {
		i.deps.Log.WithError(err).Debug("journal not read")
		ev.Failed = true
	}
	i.step(ev)
}

func (i *Instance) append(a bbrcontrol.Append) {
	result := bbrcontrol.AppendUnknown
	err := i.timed("append", appendTimeout, func(ctx context.Context) error {
		var err error
		result, err = i.deps.Journal.Append(ctx, a.Record)
		return err
	})
	if err != nil {
		i.deps.Log.WithError(err).Warn("append without a reply")
	}
	i.step(bbrcontrol.Appended{Record: a.Record, Result: result})
}

func (i *Instance) loadSnapshot() {
	var index bbrtype.Index
	err := i.timed("snapshotIndex", readTimeout, func(ctx context.Context) error {
		var err error
		index, err = i.deps.Journal.SnapshotIndex(ctx)
		return err
	})
	if err != nil || index == 0 {
		return
	}
	err = i.timed("loadSnapshot", objectTimeout, func(ctx context.Context) error {
		s, err := i.deps.Bodies.Snapshot(ctx, index)
		if err == nil {
			i.step(bbrcontrol.SnapshotLoaded{State: s})
		}
		return err
	})
	if err != nil {
		i.deps.Log.WithError(err).Warn("snapshot not loaded")
	}
}

func (i *Instance) saveSnapshot(a bbrcontrol.SaveSnapshot) {
	err := i.timed("saveSnapshot", objectTimeout, func(ctx context.Context) error {
		if err := i.deps.Bodies.PutSnapshot(ctx, a.State); err != nil {
			return err
		}
		return i.deps.Journal.NoteSnapshot(ctx, a.State.AppliedIndex, keepRecords)
	})
	if err != nil {
		i.deps.Log.WithError(err).Warn("snapshot not saved")
		return
	}
	i.step(bbrcontrol.SnapshotSaved{Index: a.State.AppliedIndex})
}

func (i *Instance) beat(a bbrcontrol.StoreHeartbeat) {
	ev := bbrcontrol.HeartbeatStored{SentAt: i.deps.Clock.Now()}
	err := i.timed("beat", readTimeout, func(ctx context.Context) error {
		var err error
		ev.OK, err = i.deps.Journal.Beat(ctx, i.self.ID, a.Heartbeat)
		return err
	})
	if err != nil {
		i.deps.Log.WithError(err).Debug("heartbeat not stored")
	}
	i.step(ev)
}

func (i *Instance) readBeats(a bbrcontrol.ReadHeartbeats) {
	ev := bbrcontrol.HeartbeatsRead{Heartbeats: map[bbrtype.InstanceID]uint64{}}
	for _, id := range a.Stewards {
		err := i.timed("readBeat", readTimeout, func(ctx context.Context) error {
			var err error
			ev.Heartbeats[id], err = i.deps.Journal.ReadBeat(ctx, id)
			return err
		})
		ev.Failed = ev.Failed || err != nil
	}
	i.step(ev)
}

func (i *Instance) revokeBeats(a bbrcontrol.RevokeHeartbeats) {
	ev := bbrcontrol.HeartbeatsRevoked{OK: true}
	for id, seen := range a.Heartbeats {
		err := i.timed("revoke", readTimeout, func(ctx context.Context) error {
			ok, err := i.deps.Journal.Revoke(ctx, id, seen)
			ev.OK = ev.OK && ok
			return err
		})
		ev.OK = ev.OK && err == nil
	}
	i.deps.Log.WithField("revoked", ev.OK).Warn("no steward was heard for longer than a holdover: taking over")
	i.step(ev)
}

// readList enters the instance in the platform's list and takes the others'
// addresses from it.
func (i *Instance) readList() {
	ctx, cancel := context.WithTimeout(i.ctx, listTimeout)
	defer cancel()
	addresses := append([]string(nil), i.opts.Seeds...)
	listed, err := i.deps.List.Instances(ctx)
	if err != nil {
		i.deps.Log.WithError(err).Debug("list of instances not read")
	}
	found := false
	for _, l := range listed {
		found = found || l.Name == i.self.Name && l.Address == i.self.Address
		if !l.Leaving && l.Address != i.self.Address {
			addresses = append(addresses, l.Address)
		}
	}
	if !found && err == nil {
		if err := i.deps.List.Set(ctx, bbrstore.Listed{Name: i.self.Name, Address: i.self.Address}); err != nil {
			i.deps.Log.WithError(err).Debug("instance not listed")
		}
	}
	i.step(bbrcontrol.PeerAddressesListed{Addresses: addresses})
}

// exchange calls a peer.
func (i *Instance) exchange(a bbrcontrol.Exchange) {
	ctx, cancel := context.WithTimeout(i.ctx, exchangeTimeout)
	defer cancel()
	sentAt := i.deps.Clock.Now()
	reply, err := i.deps.Peers.Exchange(ctx, a.To.Address, a.Message)
	if err != nil {
		i.step(bbrcontrol.ExchangeFailed{To: a.To.ID})
		return
	}
	i.step(bbrcontrol.ExchangeReplied{To: a.To.ID, SentAt: sentAt, Reply: reply})
}
