package bbrplace

import (
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// crowdedFactor is the multiple of a member's quick answers from which it has
	// more work than it needs to be kept busy.
	crowdedFactor = 2.5
	// calmFactor is the multiple up to which the usual number of statements may be
	// sent.
	calmFactor = 2
	// quickWeight is the weight of an answer that is slower in the time of quick
	// ones.
	quickWeight = 0.0005
	// leastPace is the number that is sent however slow the answers are.
	leastPace = 1
	// paceEvery is how often the pace is lowered or brought back.
	paceEvery = 100 * time.Millisecond
	// lowered is what stays of the pace each time that a member is crowded.
	lowered = 0.9
	// raised is what a statement that was turned away adds to the pace.
	raised = 0.1
)

// pace is how many statements an instance sends to a member at once. All
// instances together send about as many as keep the member busy: each one sends
// fewer while answers are slow, and more for each statement that it has to turn
// away, so that the places go where the callers are.
type pace struct {
	usual, most float64
	allowed     float64
	quick       time.Duration
	changedAt   bbrtype.Mono
}

// reset begins with the usual number.
func (p *pace) reset(m Member) {
	p.usual = float64(max(1, m.Limit))
	p.most = float64(max(1, m.Limit, m.Most))
	p.allowed = p.usual
	if p.quick == 0 {
		p.quick = usualAnswer
	}
}

// room is the number of statements that may be at work at once.
func (p *pace) room() int { return int(p.allowed + 0.5) }

// answered notes the average time of answers.
func (p *pace) answered(answer time.Duration, now bbrtype.Mono) {
	if answer < p.quick {
		p.quick = answer
	}
	p.quick += time.Duration(quickWeight * float64(answer-p.quick))
	if now.Sub(p.changedAt) < paceEvery {
		return
	}
	p.changedAt = now
	slow := float64(answer) / float64(p.quick)
	switch {
	case slow > crowdedFactor:
		p.allowed = max(leastPace, p.allowed*lowered)
	case slow < calmFactor && p.allowed < p.usual:
		p.allowed = min(p.usual, p.allowed+1)
	case slow < calmFactor && p.allowed > p.usual:
		p.allowed = max(p.usual, p.allowed*lowered)
	}
}

// turnedAway notes a statement that the member could have served.
func (p *pace) turnedAway() { p.allowed = min(p.most, p.allowed+raised) }
