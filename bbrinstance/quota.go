package bbrinstance

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrpeer"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrquota"
	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// quotaTick is the pause between two looks at the pools' demand.
const quotaTick = 100 * time.Millisecond

// quota asks the granters for connections, and is the granter of some members.
type quota struct {
	i    *Instance
	kick chan struct{}

	mu       sync.Mutex
	granters map[bbrmember.Ref]*bbrquota.Granter
	// epoch is the set of instances that the granters were chosen from.
	epoch []bbrtype.InstanceID
	// hash names the configuration that the granters were made from.
	hash string
	// renewedAt and asked are about the last request to each granter.
	renewedAt map[bbrtype.InstanceID]bbrtype.Mono
	asked     map[bbrmember.Ref]bbrquota.Demand
	busy      map[bbrtype.InstanceID]bool
	released  bool
}

func newQuota(i *Instance) *quota {
	return &quota{
		i: i, kick: make(chan struct{}, 1), granters: map[bbrmember.Ref]*bbrquota.Granter{},
		renewedAt: map[bbrtype.InstanceID]bbrtype.Mono{}, asked: map[bbrmember.Ref]bbrquota.Demand{}, busy: map[bbrtype.InstanceID]bool{},
	}
}

// wake asks for a renewal at once.
func (q *quota) wake() {
	select {
	case q.kick <- struct{}{}:
	default:
	}
}

// run renews the grants until the instance stops.
func (q *quota) run() {
	t := time.NewTicker(quotaTick)
	defer t.Stop()
	for {
		select {
		case <-q.i.ctx.Done():
			return
		case <-t.C:
		case <-q.kick:
		}
		q.renew()
	}
}

// granterOf returns the instance that lends a member's connections.
func granterOf(ref bbrmember.Ref, ids []bbrtype.InstanceID) bbrtype.InstanceID {
	top := bbrrendezvous.Top("quota/"+string(ref.Group)+"/"+string(ref.Member), ids, 1)
	if len(top) == 0 {
		return ""
	}
	return top[0]
}

func instanceIDs(s *bbrjournal.State) []bbrtype.InstanceID {
	return slices.Sorted(maps.Keys(s.Instances))
}

// renew asks each granter whose renewal is due, or whose members' demand has
// grown.
func (q *quota) renew() {
	v := q.i.deps.Registry.View()
	if _, member := v.Journal.Instances[q.i.self.ID]; !member {
		return
	}
	ids := instanceIDs(v.Journal)
	now := q.i.deps.Clock.Now()
	byGranter := map[bbrtype.InstanceID]map[bbrmember.Ref]bbrquota.Demand{}
	grown := map[bbrtype.InstanceID]bool{}
	pools := map[bbrmember.Ref]*bbrpool.Pool{}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, g := range q.i.deps.Registry.Groups() {
		for _, p := range g.Pools() {
			p.Tick()
			ref := p.Ref()
			held, want := p.Demand()
			granter := granterOf(ref, ids)
			if byGranter[granter] == nil {
				byGranter[granter] = map[bbrmember.Ref]bbrquota.Demand{}
			}
			ask := bbrquota.Demand{Open: held, Wanted: want}
			byGranter[granter][ref] = ask
			grown[granter] = grown[granter] || ask.Wanted > q.asked[ref].Wanted
			pools[ref] = p
		}
	}
	for granter, asks := range byGranter {
		due := now.Sub(q.renewedAt[granter]) >= bbrquota.RenewInterval
		if q.busy[granter] || q.released || !(due || grown[granter]) {
			continue
		}
		q.busy[granter] = true
		q.renewedAt[granter] = now
		for ref, a := range asks {
			q.asked[ref] = a
		}
		q.i.deps.Group.Go(func() error {
			q.ask(v.Journal.Instances[granter], asks, pools)
			return nil
		})
	}
}

// ask sends one request and passes the grants to the pools.
func (q *quota) ask(granter bbrjournal.Instance, asks map[bbrmember.Ref]bbrquota.Demand, pools map[bbrmember.Ref]*bbrpool.Pool) {
	defer func() {
		q.mu.Lock()
		q.busy[granter.ID] = false
		q.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(q.i.ctx, exchangeTimeout)
	defer cancel()
	r := bbrpeer.RenewRequest{From: q.i.self.ID, Applied: q.i.deps.Registry.View().Journal.AppliedIndex, Asks: asks}
	askedAt := q.i.deps.Clock.Now()
	grants, err := q.send(ctx, granter, r)
	if err != nil {
		q.i.deps.Log.WithError(err).Debug("grants not renewed")
		return
	}
	ids := instanceIDs(q.i.deps.Registry.View().Journal)
	for ref, n := range grants {
		// A reply of an earlier granter must not outlive its office.
		if p := pools[ref]; p != nil && granterOf(ref, ids) == granter.ID {
			p.Grant(n, askedAt.Add(bbrquota.LeaseDuration))
		}
	}
}

func (q *quota) send(ctx context.Context, granter bbrjournal.Instance, r bbrpeer.RenewRequest) (map[bbrmember.Ref]int, error) {
	if granter.ID == q.i.self.ID {
		return q.i.Renew(ctx, r)
	}
	return q.i.deps.Peers.Renew(ctx, granter.Address, r)
}

// release gives all connections back, as far as the granters can be reached.
func (q *quota) release(ctx context.Context) {
	q.mu.Lock()
	q.released = true
	q.mu.Unlock()
	for _, p := range q.i.deps.Registry.View().Journal.Instances {
		child, cancel := context.WithTimeout(ctx, exchangeTimeout)
		_, err := q.send(child, p, bbrpeer.RenewRequest{From: q.i.self.ID, Release: true})
		cancel()
		if err != nil {
			q.i.deps.Log.WithError(err).Debug("grants not given back")
		}
	}
}

// errNotGranter tells that another instance lends the member's connections, or
// that this one can't be sure to.
var errNotGranter = errors.New("this instance does not lend these connections now")

// Renew lends connections. It implements bbrpeer.Service.
func (i *Instance) Renew(_ context.Context, r bbrpeer.RenewRequest) (map[bbrmember.Ref]int, error) {
	return i.quota.lend(r)
}

// lend answers a request as the granter.
func (q *quota) lend(r bbrpeer.RenewRequest) (map[bbrmember.Ref]int, error) {
	v := q.i.deps.Registry.View()
	now := q.i.deps.Clock.Now()
	if now >= v.AuthorityUntil {
		// Without authority another instance may have become the granter.
		return nil, errNotGranter
	}
	ids := instanceIDs(v.Journal)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.follow(v, ids, now)
	if r.Release {
		for _, g := range q.granters {
			g.Release(r.From)
		}
		return map[bbrmember.Ref]int{}, nil
	}
	if _, member := v.Journal.Instances[r.From]; !member {
		return nil, errNotGranter
	}
	out := map[bbrmember.Ref]int{}
	for ref, a := range r.Asks {
		if q.i.opts.FixedQuota {
			a.Wanted = v.Config.Groups[ref.Group].Connections
		}
		if g := q.granters[ref]; g != nil {
			out[ref] = g.Renew(now, r.From, a)
			g.EndHandover(ids)
		}
	}
	return out, nil
}

// follow makes and drops granters as the instances and the configuration
// change.
func (q *quota) follow(v *bbrgroup.View, ids []bbrtype.InstanceID, now bbrtype.Mono) {
	if v.Config == nil || (v.ConfigHash == q.hash && slices.Equal(ids, q.epoch)) {
		return
	}
	q.epoch, q.hash = ids, v.ConfigHash
	for ref := range q.granters {
		if granterOf(ref, ids) != q.i.self.ID {
			delete(q.granters, ref)
		}
	}
	handover := bbrquota.LeaseDuration + q.i.opts.Control.Authority.Duration
	for name, g := range v.Config.Groups {
		for member := range g.Members {
			ref := bbrmember.Ref{Group: name, Member: member}
			limit := g.Connections - bbrconfig.ReservedConnections
			if cur := q.granters[ref]; cur != nil {
				cur.SetLimit(limit)
				continue
			}
			if granterOf(ref, ids) == q.i.self.ID {
				q.granters[ref] = bbrquota.NewGranter(limit, now, handover)
			}
		}
	}
}
