package bbrnode

import (
	"context"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrproof"
	"github.com/bluebellroute/bluebellroute/bbrsuccession"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// keepEvery is how often an instance looks after its groups.
	keepEvery = 100 * time.Millisecond
	// countSoon is when the instances are counted for the second time: many may
	// have started at once. The time doubles up to countEvery.
	countSoon  = 500 * time.Millisecond
	countEvery = 20 * time.Second
	// sampleBefore is the age of the newest sample of the primary's position at
	// which another one is taken.
	sampleBefore = 1100 * time.Millisecond
	// lookEvery is how often members are looked at while the primary is unknown or
	// does not answer.
	lookEvery = 150 * time.Millisecond
	// silenceBeforeLook is how long a primary may owe answers before it is looked
	// at.
	silenceBeforeLook = 250 * time.Millisecond
	// receivedFresh is how long a look at replicas may serve to see them move.
	receivedFresh = longestTurn + 500*time.Millisecond
	// vouchTimeout bounds the question to the store whether a change has begun.
	vouchTimeout = 350 * time.Millisecond
	// speakerVouchGap is the least time between two such questions of the instance
	// that asks for its data centre, vouchGap that of the others.
	speakerVouchGap = 300 * time.Millisecond
	vouchGap        = time.Second
)

// keep looks after the groups until ctx ends.
func (n *Node) keep(ctx context.Context) {
	turns := map[bbrtype.GroupName]*turn{}
	for ctx.Err() == nil {
		n.mu.Lock()
		if n.directory.Expire(n.clock.Now()) {
			n.refreshGroups()
		}
		n.mu.Unlock()
		for _, g := range n.allGroups() {
			g.Trim()
			t := turns[g.Name()]
			if t == nil {
				t = &turn{}
				turns[g.Name()] = t
			}
			n.look(ctx, g, t)
		}
		bbrtype.Sleep(ctx, keepEvery)
	}
}

// look does for a group what is due. What concerns all instances alike is looked
// into by few of them first.
func (n *Node) look(ctx context.Context, g *bbrlink.Group, t *turn) {
	p := g.Primary()
	now := n.clock.Now()
	common := p.Member == "" || g.Failing(p.Member) != 0 || g.Demoted() != 0 || g.Stalled() != 0 || n.mayBeDue(g, p)
	t.note(common, now)
	switch {
	case p.Member == "" && (t.lookedAt == 0 || t.isDue(n.rank(g.Name()), now)):
		n.aside(func() { n.identify(ctx, g) })
	case p.Member != "" && common && t.isDue(n.rank(g.Name()), now):
		n.aside(func() { n.examine(ctx, g, p) })
	case p.Member != "" && n.isSilent(g, p.Member) && t.isDue(0, now):
		n.aside(func() { _, _ = g.LookAt(ctx, p.Member) })
	case !common && now.Sub(g.Newest()) > sampleBefore && t.isDue(0, now):
		n.aside(func() { g.Prove(ctx) })
	default:
		return
	}
	t.lookedAt = now
}

// aside runs work without waiting for it.
func (n *Node) aside(f func()) {
	n.work.Go(func() error {
		f()
		return nil
	})
}

// identify finds the primary by looking at all members.
func (n *Node) identify(ctx context.Context, g *bbrlink.Group) {
	loaded := n.hasLoaded(groupTable)
	if !loaded && !n.isLost(groupTable) {
		return
	}
	known := n.known(g.Name())
	if r := known.Record; r.Phase == bbrsuccession.PhaseNamed {
		g.SetPrimary(bbrlink.Primary{Member: r.Primary, Term: r.Term})
	}
	best := bbrsuccession.Candidate{}
	for _, c := range n.looks(ctx, g) {
		if c.Answered && c.Look.Role == bbrmessage.RolePrimary && c.Look.Term >= best.Look.Term {
			best = c
		}
	}
	now := g.Primary()
	if best.ID == "" || best.ID == now.Member || best.Look.Term < now.Term {
		return
	}
	p := bbrlink.Primary{Member: best.ID, Term: best.Look.Term}
	if !loaded || !bbrsuccession.Proves(known.Record, known.Version != 0, p.Term) {
		// The change may not be over: older proofs have to run out first.
		p.UsableFrom = n.clock.Now().Add(bbrproof.Lease)
	}
	g.SetPrimary(p)
}

// isSilent reports whether a member has owed answers for so long that it is to be
// looked at.
func (n *Node) isSilent(g *bbrlink.Group, id bbrtype.MemberName) bool {
	since := g.Silent(id)
	return since != 0 && n.clock.Now().Sub(since) > silenceBeforeLook
}

// examine looks at members while the primary does not answer or does not confirm
// commits, and changes it if that is due.
func (n *Node) examine(ctx context.Context, g *bbrlink.Group, p bbrlink.Primary) {
	acked := g.Acked()
	members := n.looks(ctx, g)
	n.noteReceived(g.Name(), p, members)
	for _, c := range members {
		if c.Answered && c.Look.Role == bbrmessage.RolePrimary && c.ID != p.Member && c.Look.Term >= p.Term {
			n.identify(ctx, g)
			return
		}
	}
	s := n.situation(g, p)
	s.Successor = bbrsuccession.HasSuccessor(members, p.Member, acked)
	s.Ahead = bbrsuccession.IsAhead(members, p.Member)
	why, due := bbrsuccession.Due(s, n.clock.Now())
	if due && g.Primary() == p {
		n.change(ctx, g, p, why)
	}
}

// beforeAll stands for a moment long ago.
const beforeAll bbrtype.Mono = 1

// mayBeDue reports whether the primary is to be replaced, should a successor
// answer.
func (n *Node) mayBeDue(g *bbrlink.Group, p bbrlink.Primary) bool {
	s := n.situation(g, p)
	s.Successor, s.Ahead, s.WatchedFrom = true, true, beforeAll
	_, due := bbrsuccession.Due(s, n.clock.Now())
	return due
}

// received is the newest position of a primary that a replica was seen to have.
type received struct {
	primary bbrlink.Primary
	place   bbrmessage.Place
	// at is when it was last seen to move, lookedAt when it was last looked at, from
	// when it was first looked at in this series.
	at, lookedAt, from bbrtype.Mono
}

// noteReceived notes how far replicas have received from a primary.
func (n *Node) noteReceived(name bbrtype.GroupName, p bbrlink.Primary, members []bbrsuccession.Candidate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	r := n.received[name]
	if r.primary != p || now.Sub(r.lookedAt) > receivedFresh {
		r = received{primary: p, from: now}
	}
	for _, c := range members {
		if !c.Answered || c.ID == p.Member || !r.place.IsBefore(c.Look.Received) {
			continue
		}
		if !r.place.IsZero() {
			r.at = now
		}
		r.place = c.Look.Received
	}
	r.lookedAt = now
	n.received[name] = r
}

// seen returns when replicas were last seen to receive from a primary, and since
// when they are looked at.
func (n *Node) seen(name bbrtype.GroupName, p bbrlink.Primary) (at, from bbrtype.Mono) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.received[name]; r.primary == p {
		return r.at, r.from
	}
	return 0, 0
}

// situation tells what is known of a primary without a look at its members.
func (n *Node) situation(g *bbrlink.Group, p bbrlink.Primary) bbrsuccession.Situation {
	receivedAt, watchedFrom := n.seen(g.Name(), p)
	s := bbrsuccession.Situation{
		FailingSince: g.Failing(p.Member), DemotedSince: g.Demoted(),
		StalledSince: g.Stalled(), ReceivedAt: receivedAt, WatchedFrom: watchedFrom,
		Gone: true, Informed: !g.Acked().IsZero(),
	}
	for _, m := range g.Members() {
		if m.ID == p.Member {
			s.Gone, s.Draining = false, m.Draining
		}
	}
	return s
}

func (n *Node) isLost(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost[name]
}

func (n *Node) hasLoaded(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loaded[name]
}

// vouch asks the store whether changes of primary have begun. One reading serves
// all groups and all that ask meanwhile.
func (n *Node) vouch(ctx context.Context) error {
	gap := speakerVouchGap
	if _, other := n.speaker(); other {
		gap = vouchGap
	}
	return n.voucher.doAfter(ctx, n.clock.Now(), gap, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
		defer cancel()
		sentAt := n.clock.Now()
		rows, _, err := n.ports.Rows.Read(ctx, groupTable)
		if err != nil {
			return err
		}
		known := map[bbrtype.GroupName]bool{}
		n.takeRows(rows)
		for _, r := range rows {
			known[bbrtype.GroupName(r.Key)] = true
		}
		for _, g := range n.allGroups() {
			p := g.Primary()
			if bbrsuccession.Proves(n.known(g.Name()).Record, known[g.Name()], p.Term) {
				g.ProveTerm(p.Term, sentAt)
			}
		}
		return nil
	})
}
