package bbrfuzz

import (
	"fmt"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Durations of operators.
const (
	operatorThink    = 6 * time.Second
	operatorPatience = 15 * time.Second
)

// operators are two people who change the configuration at the same time.
type operators struct {
	w      *World
	nextID int
	asked  map[bbrcontrol.RequestID]string
}

// newOperators applies the first configuration and lets the operators begin.
func newOperators(w *World) *operators {
	o := &operators{w: w, asked: map[bbrcontrol.RequestID]string{}}
	for n := range 2 {
		w.after(time.Duration(n+1)*500*time.Millisecond, o.act)
	}
	return o
}

// act submits a configuration through some instance.
func (o *operators) act() {
	w := o.w
	w.after(time.Duration(w.r.Int64N(int64(2*operatorThink))), o.act)
	n := w.nodes[w.r.IntN(len(w.nodes))]
	if !n.up || n.leaving {
		return
	}
	last, _ := n.control.State().CurrentConfig()
	if last.Version == 0 && len(o.asked) > 0 && w.now < 10*time.Second {
		return
	}
	o.nextID++
	id := bbrcontrol.RequestID(fmt.Sprintf("r%d", o.nextID))
	hash := fmt.Sprintf("h%d", o.nextID)
	entry := bbrjournal.Configured{Version: last.Version + 1, Hash: hash, Author: "operator", Groups: o.members(n, last.Version == 0)}
	o.asked[id] = hash
	incarnation := n.incarnation
	n.run(incarnation, func() { n.step(bbrcontrol.ConfigurationRequested{ID: id, Entry: entry}) })
	w.after(operatorPatience, func() {
		n.run(incarnation, func() { n.step(bbrcontrol.ConfigurationAbandoned{ID: id}) })
	})
}

// members lists the members of a configuration. Once in a while a member is
// left out, now and then the primary.
func (o *operators) members(n *node, all bool) map[bbrtype.GroupName]bbrjournal.ReplicationConfig {
	out := map[bbrtype.GroupName]bbrjournal.ReplicationConfig{}
	for i := range len(o.w.groups) {
		name := bbrtype.GroupName(fmt.Sprintf("g%d", i+1))
		g := o.w.groups[name]
		config := bbrjournal.ReplicationConfig{Members: append([]bbrtype.MemberName(nil), g.order...), MinConfirmations: o.w.opts.Confirm}
		if o.w.opts.Mutation == MutateCoverage {
			config.MinConfirmations = 0
		}
		out[name] = config
		if all || len(g.order) < 3 || o.w.calm || o.w.r.IntN(4) > 0 {
			continue
		}
		drop := o.w.r.IntN(len(g.order))
		if jg := n.view.Group(name); jg != nil && o.w.r.IntN(3) > 0 {
			if l, ok := jg.Primary(); ok && l.Member == g.order[drop] {
				drop = (drop + 1) % len(g.order)
			}
		}
		config.Members = append(config.Members[:drop], config.Members[drop+1:]...)
		out[name] = config
	}
	return out
}

// done checks what an operator was told.
func (o *operators) done(d bbrcontrol.ConfigureDone) {
	hash := o.asked[d.ID]
	inJournal := false
	for _, v := range o.w.store.state.ConfigVersions {
		inJournal = inJournal || v.Hash == hash
	}
	switch {
	case d.Result == bbrcontrol.ConfigureInForce && !inJournal:
		o.w.fail(PromiseConfiguration, "%s was said to be in force and is not in the journal", hash)
	case d.Result == bbrcontrol.ConfigureConflict && inJournal:
		o.w.fail(PromiseConfiguration, "%s was said to be refused and is in the journal", hash)
	}
}
