package bbrnode

import (
	"context"
	"encoding/json"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// askKnownInterval is the interval at which other instances are asked whether they know of
	// a promotion.
	askKnownInterval = 20 * time.Millisecond
	// listTimeout bounds the read of the list of instances that are asked.
	listTimeout = 300 * time.Millisecond
)

// awaitKnown waits until no instance acknowledges commits that the member lacks whose promotion
// was just entered in the record: all others that the store lists were told the record and have
// shown that they know it, or all reads of the records have run out that do not show it. It returns an error if
// the change may not go on.
func (c *primaryChange) awaitKnown(ctx context.Context) error {
	startedAt := c.node.clock.Now()
	entered := c.known.Version
	pending, areListed := c.node.otherInstances(ctx)
	asked := len(pending)
	for {
		if areListed {
			pending = c.notKnowing(ctx, pending, entered)
		}
		if areListed && len(pending) == 0 {
			c.log.WithFields(logrus.Fields{"asked": asked, "tookMs": c.node.clock.Now().Sub(startedAt).Milliseconds()}).Info("all instances know of the promotion")
			return nil
		}
		if c.node.clock.Now().Sub(startedAt) >= bbrproof.LeaseDuration {
			c.log.WithFields(logrus.Fields{"instances": pending, "listed": areListed}).Info("instances may not know of the promotion; their reads of the records have run out")
			return nil
		}
		if !c.keepClaim(ctx) {
			return errors.New("the claim ran out before all instances knew of the promotion")
		}
		bbrtype.Sleep(ctx, askKnownInterval)
	}
}

// notKnowing tells instances the group's record and asks for it, and returns those that have not
// shown that they know it as it was entered. One that refuses connections has ended.
func (c *primaryChange) notKnowing(ctx context.Context, addresses []string, entered bbrrows.Version) []string {
	isKnown := make([]bool, len(addresses))
	var asks errgroup.Group
	for i, address := range addresses {
		asks.Go(func() error {
			err := c.node.askRecord(ctx, address, c, entered)
			isKnown[i] = err == nil || errors.Is(err, syscall.ECONNREFUSED)
			return nil
		})
	}
	_ = asks.Wait()
	var left []string
	for i, address := range addresses {
		if !isKnown[i] {
			left = append(left, address)
		}
	}
	return left
}

// errRecordNotKnown means that an instance does not know a group's record as it was entered.
var errRecordNotKnown = errors.New("the instance does not know the record")

// askRecord tells an instance a group's record, and asks whether it knows it as it was entered.
// The record may come from elsewhere by then, and an older version takes none from others.
func (n *Node) askRecord(ctx context.Context, address string, c *primaryChange, entered bbrrows.Version) error {
	ctx, cancel := context.WithTimeout(ctx, fetchProofsTimeout)
	defer cancel()
	value, err := json.Marshal(c.known.Record)
	if err != nil {
		return errors.Wrap(err, "encode the record")
	}
	before := entered
	before.Number--
	reply, err := n.peerClient.Pull(ctx, address, bbrshare.Question{
		Versions: bbrshare.Versions{groupTable: before},
		Rows:     []bbrrows.Row{{RowKey: recordKey(c.group.Name()), Value: value, Version: c.known.Version}},
		Groups:   []bbrshare.GroupPrimary{{Group: c.group.Name(), Primary: c.oldPrimary.Member, Term: c.oldPrimary.Term}},
	})
	if err != nil {
		return err
	}
	// After a restore of the store a row of a newer version may be of before the entry.
	isKnown := slices.ContainsFunc(reply.Rows, func(r bbrrows.Row) bool {
		return r.RowKey == recordKey(c.group.Name()) && r.Version.Era == entered.Era && !entered.IsNewerThan(r.Version)
	})
	if !isKnown {
		return errRecordNotKnown
	}
	return nil
}

// otherInstances reads the addresses of the other instances that may run. It returns false if
// they are not known.
func (n *Node) otherInstances(ctx context.Context) (addresses []string, areKnown bool) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, version, err := n.platform.Store.Read(ctx, instanceTable)
	if err != nil {
		n.log.WithError(err).Info("cannot read the list of instances that may know of no promotion")
		return nil, false
	}
	n.recordEra(version.Era)
	era := n.currentEra()
	for _, r := range rows {
		if r.Key == n.settings.Name {
			continue
		}
		e, err := decodeInstance(r.Value)
		if err != nil || e.Address == "" {
			n.log.WithField("instance", r.Key).WithError(err).Info("an instance cannot be asked whether it knows of a promotion")
			return nil, false
		}
		if e.counts(era, n.clock.Now()) {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses, true
}
