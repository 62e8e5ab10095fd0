package bbrfuzz

import (
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrrequest"
)

// write sends the request to the primary.
func (o *operation) write() {
	keyed := o.req.key != "" && o.w.opts.Mutation != MutateKey
	o.onPrimary(func(m *fakeMember) written {
		if keyed {
			if row, found := m.row(o.req.key); found {
				return written{row: row, found: true}
			}
		}
		e := entry{write: o.req.id}
		if keyed {
			e.key, e.row = o.req.key, bbrrequest.Row{Outcome: bbrrequest.OutcomeDone}
		}
		return written{done: m.commit(e)}
	}, func(wr written, l bbrjournal.PrimaryTerm) {
		if wr.found {
			o.taken(wr, l)
			return
		}
		o.acknowledge(wr, l)
	}, o.lost, func() {
		o.again(o.write, bbroutcome.NotRun, "no primary")
	})
}

// acknowledge tells the caller that its write is done.
func (o *operation) acknowledge(wr written, l bbrjournal.PrimaryTerm) {
	o.done(l, "acknowledged", func() { o.raise(l.Term, wr.state.Position) })
}

// done tells the caller that its request has run. The lineage is empty where an
// earlier run was found.
func (o *operation) done(l bbrjournal.PrimaryTerm, why string, raise func()) {
	if !o.abandoned && !o.n.drained {
		raise()
		o.w.oracle.acknowledged(o.req, l)
	}
	o.tell(bbroutcome.Done, why)
}

// lost goes on after an answer was lost.
func (o *operation) lost() {
	if o.req.key == "" || o.w.opts.Mutation == MutateKey {
		o.tell(bbroutcome.Unknown, "the answer was lost")
		return
	}
	if o.w.opts.Mutation == MutateTombstone {
		o.settled("mutation: no tombstone")
		return
	}
	o.deadline = o.n.clock().Add(resolvePatience)
	o.resolve()
}

// unresolved tries again to find out the fate of a request.
func (o *operation) unresolved() { o.again(o.resolve, bbroutcome.Unknown, "not resolved") }

// resolve finds out the fate of a keyed request.
func (o *operation) resolve() {
	o.onPrimary(func(m *fakeMember) written {
		if row, found := m.row(o.req.key); found {
			return written{row: row, found: true}
		}
		return written{done: m.commit(entry{key: o.req.key, row: bbrrequest.Row{Outcome: bbrrequest.OutcomeNotRun, Attempt: 1}})}
	}, func(wr written, l bbrjournal.PrimaryTerm) {
		if wr.done {
			o.settled("closed by a tombstone")
			return
		}
		switch decision := bbrrequest.OnUnknownOutcome(wr.row, wr.found, bbrrequest.AnyFingerprint); decision.Action {
		case bbrrequest.ReportAlreadyRun:
			o.done(bbrjournal.PrimaryTerm{}, "found run", func() { o.raise(l.Term, wr.state.Position) })
		case bbrrequest.InvalidateAttempt:
			o.closeKey(decision.Attempt)
		default:
			o.unresolved()
		}
	}, o.unresolved, o.unresolved)
}

// closeKey makes the present attempt under the key impossible.
func (o *operation) closeKey(attempt uint64) {
	o.onPrimary(func(m *fakeMember) written {
		row, found := m.row(o.req.key)
		if !found || row.Outcome != bbrrequest.OutcomeNotRun || row.Attempt != attempt {
			return written{row: row, found: true}
		}
		return written{done: m.commit(entry{key: o.req.key, row: bbrrequest.Row{Outcome: bbrrequest.OutcomeNotRun, Attempt: attempt + 1}})}
	}, func(wr written, _ bbrjournal.PrimaryTerm) {
		if wr.done {
			o.settled("closed")
			return
		}
		o.unresolved()
	}, o.unresolved, o.unresolved)
}

// taken goes on after the key was found taken.
func (o *operation) taken(wr written, l bbrjournal.PrimaryTerm) {
	arrived := o.n.clock().Sub(o.startedAt)
	switch decision := bbrrequest.OnKeyConflict(wr.row, true, "", arrived); decision.Action {
	case bbrrequest.ReportAlreadyRun:
		o.done(bbrjournal.PrimaryTerm{}, "was run before", func() { o.raise(l.Term, wr.state.Position) })
	case bbrrequest.RunAttempt:
		o.claim(decision.Attempt)
	default:
		o.deadline = o.n.clock().Add(resolvePatience)
		o.resolve()
	}
}

// claim runs a request whose earlier attempts did not run.
func (o *operation) claim(attempt uint64) {
	o.onPrimary(func(m *fakeMember) written {
		row, found := m.row(o.req.key)
		if !found || row.Outcome != bbrrequest.OutcomeNotRun || row.Attempt != attempt {
			return written{row: row, found: true}
		}
		return written{done: m.commit(entry{
			write: o.req.id, key: o.req.key, row: bbrrequest.Row{Outcome: bbrrequest.OutcomeDone, Attempt: attempt},
		})}
	}, func(wr written, l bbrjournal.PrimaryTerm) {
		if wr.done {
			o.acknowledge(wr, l)
			return
		}
		o.tell(bbroutcome.NotRun, "somebody else claimed the key")
	}, o.lost, func() {
		o.tell(bbroutcome.NotRun, "the claim was refused")
	})
}
