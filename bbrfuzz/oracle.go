package bbrfuzz

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Promise names one of the things that must always hold.
type Promise string

// The promises that the joined run can break.
const (
	PromiseOwnWrites     Promise = "a caller sees its own writes"
	PromiseNoOldPrimary  Promise = "no write is acknowledged by a primary that was replaced"
	PromiseNotRun        Promise = "what was said not to have run has not run"
	PromiseOnce          Promise = "a keyed request runs at most once"
	PromiseKept          Promise = "an acknowledged write is kept"
	PromiseAge           Promise = "data is not older than stated"
	PromiseLeaving       Promise = "a member that was taken out gets no new work"
	PromiseConfiguration Promise = "an accepted configuration is in force and never reverts"
	PromiseService       Promise = "service resumes once the faults are over"
)

// BrokenError tells which promise was broken.
type BrokenError struct {
	Promise Promise
	At      time.Duration
	What    string
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("broken after %v: %s: %s", e.At, e.Promise, e.What)
}

// requestFate is what the oracle knows of a request.
type requestFate struct {
	req     *request
	outcome bbroutcome.Outcome
	ackedAt time.Duration
	acked   bool
	why     string
	// lost is set once a change of primary has lost an unconfirmed write.
	lost bool
	// tokenless is set once its caller has moved without its token, so that it
	// can't be told of a loss.
	tokenless bool
}

// removal is a member that a configuration has taken out.
type removal struct{ at time.Duration }

// oracle is the plain model that the run is compared with.
type oracle struct {
	w       *World
	fates   map[int]*requestFate
	byGroup map[bbrtype.GroupName][]*requestFate
	acks    map[*fakeCaller][]int
	removed map[bbrmember.Ref]removal
	// lastAck is the time of the last acknowledgement in each group.
	lastAck map[bbrtype.GroupName]time.Duration
	// versions are the times at which configurations were accepted.
	versions map[uint64]time.Duration
	nextReq  int

	reads, writes, unknowns, changes int
}

func newOracle(w *World) *oracle {
	return &oracle{
		w: w, fates: map[int]*requestFate{}, byGroup: map[bbrtype.GroupName][]*requestFate{},
		acks: map[*fakeCaller][]int{}, removed: map[bbrmember.Ref]removal{}, lastAck: map[bbrtype.GroupName]time.Duration{}, versions: map[uint64]time.Duration{},
	}
}

func (o *oracle) summary() string {
	return fmt.Sprintf("%d acknowledged writes, %d reads, %d unknown outcomes, %d changes of primary, %d journal records, %v of virtual time",
		o.writes, o.reads, o.unknowns, o.changes, len(o.w.store.records), o.w.now.Round(time.Second))
}

// newRequest enters a request before it is sent.
func (o *oracle) newRequest(c *fakeCaller, keyed bool) *request {
	o.nextReq++
	r := &request{id: o.nextReq, group: c.group, caller: c}
	if keyed {
		r.key = fmt.Sprintf("k%d", r.id)
	}
	f := &requestFate{req: r}
	o.fates[r.id] = f
	o.byGroup[c.group] = append(o.byGroup[c.group], f)
	return r
}

// acknowledged checks a write that is about to be acknowledged. The lineage is
// empty where an earlier run was found.
func (o *oracle) acknowledged(r *request, l bbrjournal.PrimaryTerm) {
	f := o.fates[r.id]
	if l.Term != 0 {
		if g := o.w.store.state.Groups[r.group]; g != nil {
			if last, ok := g.LastPrimary(); ok && last.Term > l.Term {
				o.w.fail(PromiseNoOldPrimary, "request %d was acknowledged in term %d of %s, but %s is the primary of term %d",
					r.id, l.Term, r.group, last.Member, last.Term)
			}
		}
	}
	if f.acked {
		return
	}
	f.acked, f.ackedAt = true, o.w.now
	o.acks[r.caller] = append(o.acks[r.caller], r.id)
	o.lastAck[r.group] = o.w.now
	o.writes++
}

// told notes what a caller was told. An answer that does not come from the
// request's key is about the present try only: it leaves the fate of earlier
// ones as it was.
func (o *oracle) told(r *request, outcome bbroutcome.Outcome, fromKey bool, why string) {
	f := o.fates[r.id]
	if f.outcome == bbroutcome.Done && outcome != bbroutcome.Done {
		return
	}
	if f.outcome == bbroutcome.Unknown && outcome == bbroutcome.NotRun && !fromKey {
		return
	}
	f.outcome, f.why = outcome, why
	if outcome == bbroutcome.NotRun && !f.acked && o.survives(f) {
		o.w.fail(PromiseNotRun, "request %d is said not to have run and has (%s)", r.id, why)
	}
	if outcome == bbroutcome.Unknown {
		o.unknowns++
	}
}

// movedWithoutToken notes that a caller brings nothing along.
func (o *oracle) movedWithoutToken(c *fakeCaller) {
	for _, id := range o.acks[c] {
		o.fates[id].tokenless = true
	}
}

// toldLost notes that a caller was told that it may miss what it has seen.
func (o *oracle) toldLost(c *fakeCaller) {
	for _, id := range o.acks[c] {
		if f := o.fates[id]; f.req.group == c.group && !o.survives(f) {
			f.acked = false
		}
	}
}

// present returns the log that counts: that of the journal's primary, or the
// last one's while there is none.
func (o *oracle) present(g bbrtype.GroupName) *fakeMember {
	jg := o.w.store.state.Groups[g]
	if jg == nil {
		return o.w.groups[g].members["m1"]
	}
	l, ok := jg.LastPrimary()
	if !ok {
		return o.w.groups[g].members["m1"]
	}
	return o.w.groups[g].members[l.Member]
}

func (o *oracle) survives(f *requestFate) bool {
	return o.present(f.req.group).has(f.req.id, false) > 0
}

// recorded looks at a record that was stored.
func (o *oracle) recorded(r bbrjournal.Record, effective []bbrjournal.Entry) {
	for _, e := range effective {
		switch e := e.(type) {
		case bbrjournal.PrimaryNamed:
			o.changes++
			o.w.note("journal %d: %s names %s primary of term %d from %s", r.Index, r.Writer, e.Member, e.Term, e.Start)
			o.checkKept(e.Group)
		case bbrjournal.Fenced:
			o.w.note("journal %d: %s fences %s for term %d", r.Index, r.Writer, e.Group, e.Term)
		case bbrjournal.StewardsNamed:
			o.w.note("journal %d: %s names stewards %v (taken over %v)", r.Index, r.Writer, e.Stewards, e.IsTakeover)
		case bbrjournal.InstancesChanged:
			o.w.note("journal %d: %s: joined %d, left %v", r.Index, r.Writer, len(e.Joined), e.Left)
		case bbrjournal.Configured:
			o.versions[e.Version] = o.w.now
			o.noteMembers(e)
		}
	}
}

// spreadWithin is the time in which a configuration is to be in force.
const spreadWithin = 5 * time.Second

// due returns the version that must be in force everywhere by now.
func (o *oracle) due() uint64 {
	version := uint64(0)
	for v, at := range o.versions {
		if o.w.now-at >= spreadWithin {
			version = max(version, v)
		}
	}
	return version
}

// noteMembers keeps which members a configuration takes out.
func (o *oracle) noteMembers(e bbrjournal.Configured) {
	for name, g := range o.w.groups {
		for _, m := range g.order {
			ref := bbrmember.Ref{Group: name, Member: m}
			if slices.Contains(e.Groups[name].Members, m) {
				delete(o.removed, ref)
			} else if _, ok := o.removed[ref]; !ok {
				o.removed[ref] = removal{at: o.w.now}
			}
		}
	}
}

// sent checks that a member may get work.
func (o *oracle) sent(n *node, ref bbrmember.Ref) {
	r, ok := o.removed[ref]
	// An instance that is cut off learns of it when what it knows is too old
	// to serve reads from.
	limit := maxAge + 5*time.Second
	if ok && o.w.now-r.at > limit {
		o.w.fail(PromiseLeaving, "%s sent work to %s/%s, which was taken out %v ago", n.name, ref.Group, ref.Member, o.w.now-r.at)
	}
}

// checkKept checks that all acknowledged writes of a group survive.
func (o *oracle) checkKept(g bbrtype.GroupName) {
	p := o.present(g)
	have := map[int]int{}
	for i := range p.log {
		have[p.log[i].write]++
	}
	for _, f := range o.byGroup[g] {
		n := have[f.req.id]
		switch {
		case f.acked && n == 0 && o.w.opts.Unconfirmed:
			f.lost = true
		case f.acked && n == 0:
			o.w.fail(PromiseKept, "request %d was acknowledged at %v and is not on %s (%s)", f.req.id, f.ackedAt, p.end, f.why)
		case n > 1 && f.req.key != "":
			o.w.fail(PromiseOnce, "request %d with a key ran %d times", f.req.id, n)
		}
	}
}

// checkNotRun checks what callers were told, once all is quiet.
func (o *oracle) checkNotRun(g bbrtype.GroupName) {
	p := o.present(g)
	have := map[int]int{}
	for i := range p.log {
		have[p.log[i].write]++
	}
	for _, f := range o.byGroup[g] {
		retried := f.req.caller.retry == f.req
		if f.outcome == bbroutcome.NotRun && !f.acked && !retried && have[f.req.id] > 0 && !o.underway(f) {
			o.w.fail(PromiseNotRun, "request %d was said not to have run and has (%s)", f.req.id, f.why)
		}
	}
}

// underway reports whether a request is being sent again at this moment.
func (o *oracle) underway(f *requestFate) bool { return f.outcome != bbroutcome.NotRun }

// read checks an answer that is passed on.
func (o *oracle) read(c *fakeCaller, m bbrtype.MemberName, entries []entry) {
	o.reads++
	have := make(map[int]bool, len(entries))
	for i := range entries {
		have[entries[i].write] = true
	}
	for _, id := range o.acks[c] {
		if f := o.fates[id]; f.acked && f.req.group == c.group && !have[id] && !(f.lost && f.tokenless) {
			o.w.fail(PromiseOwnWrites, "%s read from %s/%s and did not see its write %d, acknowledged at %v", c.name, c.group, m, id, f.ackedAt)
		}
	}
	limit := time.Duration(float64(maxAge) * (1 + 2*maxDrift))
	for _, f := range o.byGroup[c.group] {
		if f.acked && !f.lost && o.w.now-f.ackedAt > limit && !have[f.req.id] {
			o.w.fail(PromiseAge, "%s read from %s/%s and did not see write %d, acknowledged %v ago", c.name, c.group, m, f.req.id, o.w.now-f.ackedAt)
		}
	}
}

// checkCalm checks that all is in service after a time without faults.
func (o *oracle) checkCalm(since time.Duration) {
	for name := range o.w.groups {
		o.checkKept(name)
		o.checkNotRun(name)
		if o.w.opts.Termless {
			continue
		}
		if o.lastAck[name] < since+calmLength/2 {
			o.w.fail(PromiseService, "no write of %s was acknowledged in the last %v without faults", name, calmLength/2)
		}
	}
	if o.w.opts.Termless {
		return
	}
	for _, n := range o.w.nodes {
		if n.up && n.version < o.due() {
			o.w.fail(PromiseConfiguration, "%s has version %d in force, the journal has had %d for %v", n.name, n.version, o.due(), spreadWithin)
		}
	}
}
