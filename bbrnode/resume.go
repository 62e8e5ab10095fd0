package bbrnode

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// At its end a change of primary resumes replication at the replicas that it has paused.
// Those at which that fails are found later, see unpause.go.

// resumeReplication resumes replication at the replicas and orders the old primary
// to step down, so that it follows the new primary.
func (c *primaryChange) resumeReplication(ctx context.Context, choice bbrsuccession.Choice) {
	c.resumeReplicas(ctx, choice.Member, func(ctx context.Context, id bbrtype.MemberName) (bbrmessage.MemberStatus, error) {
		if id != c.oldPrimary.Member || choice.Term <= c.oldPrimary.Term {
			return c.resume(ctx, id)
		}
		status, err := c.group.StepDown(ctx, id, choice.Term)
		if err == nil && status.PausedTerm > 0 {
			return c.resume(ctx, id)
		}
		return status, err
	}, func() bool { return true })
}

// resumeReplicas calls resume for all members but the primary. While the promotion of a
// replica may still take effect, the other replicas stay paused until that one has resumed:
// what they confirm before would be lost by the promotion. They also stay paused if mayGoOn
// returns false by then.
func (c *primaryChange) resumeReplicas(ctx context.Context, primary bbrtype.MemberName, resume func(context.Context, bbrtype.MemberName) (bbrmessage.MemberStatus, error), mayGoOn func() bool) {
	ordered := c.orderedReplicas(primary)
	var first errgroup.Group
	for _, id := range ordered {
		first.Go(func() error {
			_, err := resume(ctx, id)
			return errors.Wrapf(err, "member %s", id)
		})
	}
	err := first.Wait()
	if err != nil {
		c.log.WithError(err).WithField("orders", c.known.Record.Orders).Warn("replicas stay paused: one whose promotion may take effect has not resumed")
	}
	stayPaused := err != nil || !mayGoOn()
	c.node.callMembers(ctx, c.group, c.oldPrimary.Member, func(ctx context.Context, id bbrtype.MemberName) (bbrmessage.MemberStatus, error) {
		if id == primary || slices.Contains(ordered, id) || stayPaused && id != c.oldPrimary.Member {
			return bbrmessage.MemberStatus{}, nil
		}
		return resume(ctx, id)
	})
}

// orderedReplicas returns the replicas that possibly run and whose promotion may still take
// effect.
func (c *primaryChange) orderedReplicas(primary bbrtype.MemberName) []bbrtype.MemberName {
	running := c.group.PossiblyRunningMembers()
	var ordered []bbrtype.MemberName
	for _, o := range c.recordAfterOrders().Orders {
		isReplica := o.Member != primary && o.Member != c.oldPrimary.Member
		if isReplica && slices.Contains(running, o.Member) && !slices.Contains(ordered, o.Member) {
			ordered = append(ordered, o.Member)
		}
	}
	return ordered
}

// resume resumes replication at a replica.
func (c *primaryChange) resume(ctx context.Context, id bbrtype.MemberName) (bbrmessage.MemberStatus, error) {
	status, err := c.group.ResumeReplication(ctx, id)
	if err != nil {
		c.log.WithField("member", id).WithError(err).Info("replication not resumed at a replica, which may stay paused")
	}
	return status, err
}
