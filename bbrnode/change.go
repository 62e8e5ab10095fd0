package bbrnode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// stepPause is the pause between two tries of a step of a change.
	stepPause = 60 * time.Millisecond
	// stepDownAfter is how long a change waits for all replicas before the old
	// primary is told to step down.
	stepDownAfter = 300 * time.Millisecond
	// oldPatience is how much longer than for the others is waited for the old
	// primary's answer.
	oldPatience = 40 * time.Millisecond
	// promoteAgain is how long a promotion may take before it is ordered again.
	promoteAgain = 2500 * time.Millisecond
	// changeTime bounds a change. One that takes longer is given up and tried anew.
	changeTime = 8 * time.Second
)

// oldOrder is what the old primary is asked while the replicas are to hold.
type oldOrder string

// The orders.
const (
	orderLook     oldOrder = "look"
	orderStepDown oldOrder = "stepDown"
	// orderHold is for one that follows a newer primary.
	orderHold oldOrder = "hold"
)

// errUndecided means that a promotion was ordered and may still take effect.
var errUndecided = errors.New("the promoted member does not lead in time")

// change is a change of primary that this instance makes.
type change struct {
	node  *Node
	group *bbrlink.Group
	old   bbrlink.Primary
	known bbrsuccession.Known
	term  bbrtype.Term
	began bbrtype.Mono
	// welcome is set if the old primary may go on, should it answer again.
	welcome bool
	// claimed is when the claim was last written.
	claimed bbrtype.Mono
	log     logrus.FieldLogger
}

// change replaces the primary of a group, if no other instance does.
func (n *Node) change(ctx context.Context, g *bbrlink.Group, old bbrlink.Primary, why string) {
	if !n.enter(g.Name()) {
		return
	}
	defer n.leave(g.Name())
	known := n.known(g.Name())
	if !bbrsuccession.MayClaim(known, n.settings.Name, n.clock.Now()) {
		return
	}
	c := &change{
		node: n, group: g, old: old, known: known, began: n.clock.Now(), welcome: g.Failing(old.Member) != 0,
		log: n.log.WithFields(logrus.Fields{"group": g.Name(), "old": old.Member, "oldTerm": old.Term, "why": why}),
	}
	if err := c.run(ctx); err != nil {
		c.log.WithError(err).Warn("change of primary given up")
	}
}

// enter notes that this instance makes a change of a group.
func (n *Node) enter(name bbrtype.GroupName) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changing[name] || n.stopping {
		return false
	}
	n.changing[name] = true
	return true
}

func (n *Node) leave(name bbrtype.GroupName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.changing, name)
}

// run makes the change.
func (c *change) run(ctx context.Context) error {
	record := bbrsuccession.Claim(c.known, c.node.settings.Name)
	if err := c.write(ctx, record); err != nil {
		return errors.Wrap(err, "claim the record")
	}
	c.log.WithField("fence", record.Fence).Info("change of primary begins")
	choice, barrier, err := c.reachBarrier(ctx)
	if err != nil {
		c.giveUp(ctx)
		return err
	}
	if choice.Term > c.old.Term && choice.Member != c.old.Member {
		// From here on nothing that the old primary does may count.
		c.node.aside(func() { _, _ = c.group.StepDown(ctx, c.old.Member, c.term) })
	}
	if choice.Decision == bbrsuccession.DecisionPromote {
		if err := c.promote(ctx, &choice, record.Fence); err != nil {
			if !errors.Is(err, errUndecided) {
				c.giveUp(ctx)
			}
			// Otherwise the claim and the holds stay for the next change: whatever
			// counted for the old primary now could be lost.
			return err
		}
	}
	if choice.Term > c.old.Term {
		// Older proofs of other instances have to run out first.
		bbrtype.Sleep(ctx, barrier.Add(bbrproof.Lease).Sub(c.node.clock.Now()))
	}
	return c.name(ctx, choice)
}

// inTime reports whether the claim still counts and the change may go on. It
// writes the claim again before it runs out.
func (c *change) inTime(ctx context.Context) bool {
	now := c.node.clock.Now()
	if ctx.Err() != nil || now.Sub(c.began) > changeTime {
		return false
	}
	if now.Sub(c.claimed) > bbrsuccession.RenewAfter {
		r := c.known.Record
		r.Renewed++
		if err := c.write(ctx, r); err != nil {
			c.log.WithError(err).Warn("the claim could not be renewed")
		}
	}
	return c.counts()
}

// counts reports whether the claim has not run out. Another instance may act on one
// of its own after that.
func (c *change) counts() bool {
	return c.node.clock.Now().Sub(c.claimed) < bbrsuccession.ClaimTime
}

// write changes the group's record if it is as known. A lost reply is read back.
func (c *change) write(ctx context.Context, r bbrsuccession.Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode the record")
	}
	row := bbrrows.RowName{Table: groupTable, Key: string(c.group.Name())}
	sentAt := c.node.clock.Now()
	version, err := c.node.ports.Rows.Write(ctx, bbrrows.Change{
		Expected: map[bbrrows.RowName]int64{row: c.known.Version},
		Set:      map[bbrrows.RowName][]byte{row: value},
	})
	if err != nil {
		if version, err = c.readBack(ctx, r, err); err != nil {
			return err
		}
	}
	c.node.takeRows([]bbrrows.Row{{RowName: row, Value: value, Version: version}})
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	c.known = c.node.records[c.group.Name()]
	c.claimed = sentAt
	return nil
}

// readBack looks whether a write without a reply was made.
func (c *change) readBack(ctx context.Context, want bbrsuccession.Record, cause error) (int64, error) {
	if errors.Is(cause, bbrrows.ErrTurnedAway) {
		return 0, cause
	}
	rows, _, err := c.node.ports.Rows.Read(ctx, groupTable)
	if err != nil {
		return 0, cause
	}
	for _, r := range rows {
		if r.Key != string(c.group.Name()) {
			continue
		}
		var have bbrsuccession.Record
		if json.Unmarshal(r.Value, &have) == nil && have == want {
			return r.Version, nil
		}
		c.node.takeRows([]bbrrows.Row{r})
	}
	return 0, cause
}

// reachBarrier holds replication until nothing more can be acknowledged by the
// old primary. It returns the choice and when the barrier was reached.
func (c *change) reachBarrier(ctx context.Context) (bbrsuccession.Choice, bbrtype.Mono, error) {
	c.term = c.old.Term + 1
	var why string
	asOld := orderLook
	for c.inTime(ctx) {
		looks := c.hold(ctx, asOld)
		question := bbrsuccession.Question{
			Members: looks, Old: c.old.Member, OldTerm: c.old.Term, Term: c.term, Welcome: c.welcome,
			Sync: c.group.Service().SyncReplicas, Acked: c.group.Acked(),
		}
		choice := bbrsuccession.Choose(question)
		if choice.Decision != bbrsuccession.DecisionWait {
			c.log.WithFields(logrus.Fields{"decision": choice.Decision, "member": choice.Member, "term": choice.Term, "looks": looks}).Info("barrier reached")
			return choice, c.node.clock.Now(), nil
		}
		why = choice.Why
		c.term = max(c.term, bbrsuccession.HoldTerm(looks, c.old.Member))
		asOld = c.orderToOld(question)
		bbrtype.Sleep(ctx, stepPause)
	}
	return bbrsuccession.Choice{}, 0, errors.Errorf("the barrier was not reached: %s", why)
}

// orderToOld tells what the old primary is asked next.
func (c *change) orderToOld(q bbrsuccession.Question) oldOrder {
	switch {
	case bbrsuccession.IsOvertaken(q.Members, q.Old, q.OldTerm):
		return orderHold
	case c.node.clock.Now().Sub(c.began) > stepDownAfter && bbrsuccession.MayStepDown(q):
		return orderStepDown
	}
	return orderLook
}

// hold asks every replica to hold replication and returns what they told.
func (c *change) hold(ctx context.Context, asOld oldOrder) []bbrsuccession.Candidate {
	before := c.group.MayBeAtWork()
	out := c.node.ask(ctx, c.group, c.old.Member, func(ctx context.Context, id bbrtype.MemberName) (bbrmessage.Look, error) {
		switch {
		case id != c.old.Member || asOld == orderHold:
			return c.group.Hold(ctx, id, c.term)
		case asOld == orderStepDown:
			return c.group.StepDown(ctx, id, c.term)
		}
		return c.group.LookAt(ctx, id)
	})
	return bbrsuccession.Complete(out, append(before, c.group.MayBeAtWork()...)...)
}

// promote orders the promotion until the member leads.
func (c *change) promote(ctx context.Context, choice *bbrsuccession.Choice, fence bbrsuccession.Fence) error {
	order := bbrsuccession.Order{Group: c.group.Name(), Member: choice.Member, Fence: fence}
	var ordered bbrtype.Mono
	undecided := false
	for c.inTime(ctx) {
		if now := c.node.clock.Now(); ordered == 0 || now.Sub(ordered) > promoteAgain {
			err := c.node.ports.Promoter.Promote(ctx, order)
			switch {
			case errors.Is(err, bbrsuccession.ErrRefused) && !undecided:
				return err
			case errors.Is(err, bbrsuccession.ErrRefused):
				return errUndecided
			case err != nil:
				c.log.WithError(err).Warn("promotion unanswered")
			default:
				ordered = now
			}
			undecided = true
		}
		look, err := c.group.LookAt(ctx, choice.Member)
		if err == nil && look.Role == bbrmessage.RolePrimary && look.Term > c.old.Term {
			choice.Term = look.Term
			return nil
		}
		bbrtype.Sleep(ctx, stepPause)
	}
	if undecided {
		return errUndecided
	}
	return errors.New("the claim ran out before the promotion was ordered")
}

// name enters the new primary in the record and tidies up.
func (c *change) name(ctx context.Context, choice bbrsuccession.Choice) error {
	record := c.known.Record
	record.Phase, record.Primary, record.Term = bbrsuccession.PhaseNamed, choice.Member, choice.Term
	c.group.SetPrimary(bbrlink.Primary{Member: choice.Member, Term: choice.Term})
	c.log.WithFields(logrus.Fields{"member": choice.Member, "term": choice.Term, "tookMs": c.node.clock.Now().Sub(c.began).Milliseconds()}).Info("change of primary done")
	err := c.write(ctx, record)
	for err != nil && !errors.Is(err, bbrrows.ErrConflict) && ctx.Err() == nil {
		c.log.WithError(err).Warn("the new primary is not named yet")
		bbrtype.Sleep(ctx, storePauseMost)
		err = c.write(ctx, record)
	}
	if err != nil {
		// Another change may have begun, and what it holds stays held.
		return errors.Wrap(err, "name the new primary")
	}
	c.release(ctx, choice)
	return nil
}

// release lets the replicas receive again and tells the old primary to follow.
func (c *change) release(ctx context.Context, choice bbrsuccession.Choice) {
	c.node.ask(ctx, c.group, c.old.Member, func(ctx context.Context, id bbrtype.MemberName) (bbrmessage.Look, error) {
		if id == choice.Member {
			return bbrmessage.Look{}, nil
		}
		if id == c.old.Member && choice.Term > c.old.Term {
			return c.group.StepDown(ctx, id, choice.Term)
		}
		return c.group.Resume(ctx, id)
	})
}

// giveUp undoes what a change has done so far, while its claim counts. After that
// another change may need the holds.
func (c *change) giveUp(ctx context.Context) {
	if !c.counts() {
		return
	}
	c.node.ask(ctx, c.group, c.old.Member, func(ctx context.Context, id bbrtype.MemberName) (bbrmessage.Look, error) {
		if id == c.old.Member {
			return bbrmessage.Look{}, nil
		}
		return c.group.Resume(ctx, id)
	})
	r := c.known.Record
	r.Phase = bbrsuccession.PhaseNamed
	if r.Primary == "" {
		r.Primary, r.Term = c.old.Member, c.old.Term
	}
	if err := c.write(ctx, r); err != nil {
		c.log.WithError(err).Warn("the claim stays until it runs out")
	}
}

// looks asks all members of a group for their state.
func (n *Node) looks(ctx context.Context, g *bbrlink.Group) []bbrsuccession.Candidate {
	return n.ask(ctx, g, "", g.LookAt)
}

// ask puts a question to all members of a group at once. For one of them, which
// may not answer, it waits little longer than for the others.
func (n *Node) ask(ctx context.Context, g *bbrlink.Group, impatient bbrtype.MemberName, question func(context.Context, bbrtype.MemberName) (bbrmessage.Look, error)) []bbrsuccession.Candidate {
	members := g.Members()
	answers := make(chan bbrsuccession.Candidate, len(members))
	waiting := map[bbrtype.MemberName]bbrsuccession.Candidate{}
	for _, m := range members {
		waiting[m.ID] = bbrsuccession.Candidate{ID: m.ID, Draining: m.Draining}
		n.aside(func() {
			look, err := question(ctx, m.ID)
			answers <- bbrsuccession.Candidate{ID: m.ID, Draining: m.Draining, Answered: err == nil, Look: look}
		})
	}
	out := make([]bbrsuccession.Candidate, 0, len(members))
	var enough <-chan time.Time
	for len(waiting) > 0 {
		if c, ok := waiting[impatient]; ok && len(waiting) == 1 {
			if enough == nil {
				enough = time.After(oldPatience)
			}
			select {
			case c = <-answers:
			case <-enough:
			}
			return append(out, c)
		}
		c := <-answers
		delete(waiting, c.ID)
		out = append(out, c)
	}
	return out
}
