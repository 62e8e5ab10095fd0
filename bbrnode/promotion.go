package bbrnode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// The promotion of the chosen member is a step of a change of primary, see primaryChange.
// Its request may take effect long after it was given up, so it is entered in the group's
// record first, and stays there for as long as that may happen.

const (
	// pauseAgainInterval is the interval at which replicas are ordered to pause replication
	// again while a promotion is awaited. One that was restarted receives until then.
	pauseAgainInterval = 200 * time.Millisecond
	// promotionRetryDelay is how long after the platform accepted a promotion
	// request the request is sent again, if the member has not become the primary.
	promotionRetryDelay = 2500 * time.Millisecond
)

// errPromotionPending means that a promotion was requested and may still take
// effect.
var errPromotionPending = errors.New("the promoted member does not lead in time")

// announce enters the promotion of a member in the record before it is requested.
func (c *primaryChange) announce(ctx context.Context, member bbrtype.MemberName) error {
	order := bbrsuccession.Order{Member: member, FencingToken: c.fence}
	for c.keepClaim(ctx) {
		err := c.writeRecord(ctx, bbrsuccession.WithOrder(c.known, order, c.node.clock.Now()))
		if err == nil {
			return nil
		}
		c.log.WithError(err).Info("cannot enter the promotion in the record; retrying")
		if errors.Is(err, bbrrows.ErrConflict) || errors.Is(err, errStoreRestored) {
			return errors.Wrap(err, "enter the promotion in the record")
		}
		bbrtype.Sleep(ctx, stepRetryDelay)
	}
	return errors.New("the claim ran out before the promotion was entered in the record")
}

// promote requests the promotion, and retries, until the member reports that it is
// the primary of a newer term, which is stored in choice.Term. It returns
// errPromotionPending if a requested promotion may still take effect.
func (c *primaryChange) promote(ctx context.Context, choice *bbrsuccession.Choice) error {
	request := bbrsuccession.PromotionRequest{Group: c.group.Name(), Member: choice.Member, FencingToken: c.fence}
	var requestedAt bbrtype.Mono
	isPending := false
	defer c.keepPaused(ctx, choice.Member)()
	for c.keepClaim(ctx) {
		if now := c.node.clock.Now(); requestedAt == 0 || now.Sub(requestedAt) > promotionRetryDelay {
			err := c.node.platform.Promoter.Promote(ctx, request)
			log := c.log.WithFields(logrus.Fields{"member": request.Member, "tookMs": c.node.clock.Now().Sub(now).Milliseconds()})
			switch {
			case errors.Is(err, bbrsuccession.ErrPromotionRefused) && !isPending:
				return err
			case errors.Is(err, bbrsuccession.ErrPromotionRefused):
				log.Info("promotion refused, but an earlier request may take effect")
				return errPromotionPending
			case errors.Is(err, bbrsuccession.ErrPromotionNotSent):
				log.WithError(err).Warn("promotion request not sent; retrying")
			case err != nil:
				log.WithError(err).Warn("promotion request failed and may have taken effect; retrying")
				c.mayBePromoted, isPending = true, true
			default:
				log.Info("promotion accepted")
				requestedAt, isPending = now, true
			}
		}
		status, err := c.group.QueryStatus(ctx, choice.Member)
		if err == nil && status.Role == bbrmessage.RolePrimary && status.Term > c.oldPrimary.Term {
			choice.Term = status.Term
			return nil
		}
		bbrtype.Sleep(ctx, stepRetryDelay)
	}
	if isPending {
		return errPromotionPending
	}
	return errors.New("the claim ran out before the promotion was ordered")
}

// keepPaused orders the replicas that were paused at the barrier to pause replication again at
// intervals, but for the one that is promoted, until the function that it returns is called.
// That one waits for the replies, so that the orders arrive before those to resume.
func (c *primaryChange) keepPaused(ctx context.Context, promoted bbrtype.MemberName) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var pauses errgroup.Group
	for _, m := range c.barrier {
		if m.ID == promoted || !bbrsuccession.IsPaused(m, c.pauseTerm) {
			continue
		}
		pauses.Go(func() error {
			for bbrtype.Sleep(ctx, pauseAgainInterval); ctx.Err() == nil; bbrtype.Sleep(ctx, pauseAgainInterval) {
				c.pauseOnceMore(ctx, m)
			}
			return nil
		})
	}
	return func() {
		cancel()
		_ = pauses.Wait()
	}
}

// pauseOnceMore orders a replica to pause replication again, and logs if it has received
// commits since the barrier.
func (c *primaryChange) pauseOnceMore(ctx context.Context, m bbrsuccession.Candidate) {
	status, err := c.group.PauseReplication(ctx, m.ID, c.pauseTerm)
	if err == nil && m.Status.Received.IsBefore(status.Received) {
		c.log.WithFields(logrus.Fields{"member": m.ID, "received": status.Received, "atBarrier": m.Status.Received}).Warn("a paused replica has received commits, and was ordered to pause again")
	}
}

// recordAfterOrders returns the record without the orders that can no longer take effect.
func (c *primaryChange) recordAfterOrders() bbrsuccession.Record {
	if c.mayBePromoted {
		r := c.known.Record
		r.Orders = c.known.PendingOrders(c.node.clock.Now())
		return r
	}
	return bbrsuccession.WithoutOrders(c.known, c.fence, c.node.clock.Now())
}
