package bbrkernel

import (
	"sort"
	"sync"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrinstance"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrproxy"
	"github.com/bluebellroute/bluebellroute/bbrstatus"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// reporter makes status reports.
type reporter struct {
	name     string
	instance *bbrinstance.Instance
	proxy    *bbrproxy.Server
	registry *bbrgroup.Registry

	mu sync.Mutex
	// downSince is when each group was first seen not to serve writes.
	downSince map[bbrtype.GroupName]bbrtype.Mono
	// lossAt is when a possible loss was first seen, by term.
	lossAt map[bbrtype.GroupName]lossSeen
}

// lossSeen is a possible loss and when it was seen.
type lossSeen struct {
	term bbrtype.Term
	at   bbrtype.Mono
}

// report returns the present state.
func (r *reporter) report() *bbrstatus.Report {
	v := r.registry.View()
	out := &bbrstatus.Report{
		Instance: r.name, Version: v.ConfigVersion, Index: v.Journal.AppliedIndex,
		Draining: r.proxy.IsDraining(), Callers: r.proxy.Callers(),
	}
	for _, id := range v.Journal.Stewards {
		out.Stewards = append(out.Stewards, v.Journal.Instances[id].Name)
	}
	for _, i := range v.Journal.SortedInstances() {
		out.Instances = append(out.Instances, i.Name)
	}
	r.instance.Control(func(c *bbrcontrol.Control, now bbrtype.Mono) {
		out.AuthorityMs = v.AuthorityUntil.Sub(now).Milliseconds()
		out.ViewAgeMs = c.JournalStaleness(now).Milliseconds()
		for _, g := range r.registry.Groups() {
			out.Groups = append(out.Groups, r.group(c, now, v, g))
		}
	})
	sort.Slice(out.Groups, func(i, j int) bool { return out.Groups[i].Name < out.Groups[j].Name })
	return out
}

// group reports one group.
func (r *reporter) group(c *bbrcontrol.Control, now bbrtype.Mono, v *bbrgroup.View, g *bbrgroup.Group) bbrstatus.Group {
	jg := v.Group(g.Name)
	if jg == nil {
		jg = &bbrjournal.Group{}
	}
	out := bbrstatus.Group{Name: g.Name, Term: jg.Term}
	out.Phase, _ = c.ChangePhaseOf(g.Name)
	out.Unknown, out.TurnedAway = r.proxy.Recent(g.Name)
	in := bbrstatus.Input{
		HasAuthority: now < v.AuthorityUntil, Unknown: out.Unknown, TurnedAway: out.TurnedAway, Members: len(jg.Members),
	}
	l, ok := jg.Primary()
	if ok {
		in.HasPrimary = true
		out.Primary = l.Member
		in.Primary = c.Reachability(now, bbrmember.Ref{Group: g.Name, Member: l.Member})
	}
	maxAge := r.maxAge(v, g.Name)
	for _, m := range jg.Members {
		ref := bbrmember.Ref{Group: g.Name, Member: m}
		member := bbrstatus.Member{Name: m, Opinion: c.Reachability(now, ref), LagMs: g.Tracker.AverageLag(m).Milliseconds()}
		if p := g.Pool(m); p != nil {
			st := p.Stats()
			member.Open, member.Granted, member.Waiting = st.Open, st.Granted, st.Waiting
		}
		age, known := g.Tracker.DataAge(now, jg, m)
		if known {
			member.AgeMs = age.Milliseconds()
		}
		if m != l.Member && known && age <= maxAge && member.Opinion == bbrfailover.ReachabilityResponding {
			in.Replicas++
		}
		out.Members = append(out.Members, member)
	}
	out.Replicas = in.Replicas
	r.remember(now, g.Name, jg, &in)
	out.Verdict, out.Cause = bbrstatus.Judge(in)
	return out
}

// maxAge returns the most patient read policy's age for a group.
func (r *reporter) maxAge(v *bbrgroup.View, name bbrtype.GroupName) (d time.Duration) {
	if v.Config == nil {
		return 0
	}
	for _, route := range v.Config.Routes {
		if p := v.Config.Policies[route.Policy]; p != nil && route.Group == name {
			d = max(d, p.MaxAge)
		}
	}
	return d
}

// remember keeps since when a group does not serve and has a possible loss.
func (r *reporter) remember(now bbrtype.Mono, name bbrtype.GroupName, jg *bbrjournal.Group, in *bbrstatus.Input) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.downSince == nil {
		r.downSince = map[bbrtype.GroupName]bbrtype.Mono{}
		r.lossAt = map[bbrtype.GroupName]lossSeen{}
	}
	if in.HasAuthority && in.HasPrimary && in.Primary != bbrfailover.ReachabilityFailing {
		delete(r.downSince, name)
	} else if _, ok := r.downSince[name]; !ok {
		r.downSince[name] = now
	}
	if at, ok := r.downSince[name]; ok {
		in.DownFor = now.Sub(at)
	}
	if jg.PossibleLossTerm != 0 {
		if r.lossAt[name].term != jg.PossibleLossTerm {
			r.lossAt[name] = lossSeen{term: jg.PossibleLossTerm, at: now}
		}
		in.LossAgo = max(1, now.Sub(r.lossAt[name].at))
	}
}

// notReady tells why callers should not be sent here, empty if they should.
func (r *reporter) notReady() string {
	v := r.registry.View()
	switch {
	case r.proxy.IsDraining():
		return "draining"
	case v.Config == nil:
		return "no configuration in force"
	case !r.instance.HasAuthority():
		return "no authority to acknowledge writes"
	}
	return ""
}
