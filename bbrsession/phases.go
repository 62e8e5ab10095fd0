package bbrsession

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrforward"
)

// Phases is where the time of a statement went at this instance. A statement may pass
// through a phase more than once; the times are sums.
type Phases struct {
	// Queue is the time in the queue for a free slot at a member.
	Queue time.Duration
	// Connect is the time to open connections, and ConnectFailures counts those that
	// could not be opened, refused ones included.
	Connect         time.Duration
	ConnectFailures int
	// Proof is the time spent waiting for a proof of the primary or for its position.
	Proof time.Duration
	// Member is the time until members replied, and Attempts counts the statements sent.
	Member   time.Duration
	Attempts int
	// Pause is the time between attempts.
	Pause time.Duration
	// Forward is the time that forwarding took beyond the work of the holder, and
	// Forwards counts the requests to holders.
	Forward  time.Duration
	Forwards int
}

// addForwarded adds a request to a holder that took the given time, and the phases at the
// holder.
func (p *Phases) addForwarded(r bbrforward.Result, took time.Duration) {
	p.Queue += r.Phases.Queue
	p.Connect += r.Phases.Connect
	p.Proof += r.Phases.Proof
	p.Member += r.Phases.Member
	p.Pause += r.Phases.Pause
	p.Attempts += r.Phases.Attempts
	p.ConnectFailures += r.Phases.ConnectFailures
	p.Forward += max(0, took-r.Took)
	p.Forwards++
}

// forForward returns the phases as a holder reports them.
func (p Phases) forForward() bbrforward.Phases {
	return bbrforward.Phases{
		Queue: p.Queue, Connect: p.Connect, Proof: p.Proof, Member: p.Member, Pause: p.Pause,
		Attempts: p.Attempts, ConnectFailures: p.ConnectFailures,
	}
}

// Each calls f for each phase with its name and its time.
func (p Phases) Each(f func(name string, spent time.Duration)) {
	f("queue", p.Queue)
	f("connect", p.Connect)
	f("proof", p.Proof)
	f("member", p.Member)
	f("pause", p.Pause)
	f("forward", p.Forward)
}

// logFields returns the phases that took time, and the counts that are not 0.
func (p Phases) logFields() logrus.Fields {
	fields := logrus.Fields{"attempts": p.Attempts}
	if p.ConnectFailures > 0 {
		fields["connectFailures"] = p.ConnectFailures
	}
	p.Each(func(name string, spent time.Duration) {
		if spent >= time.Millisecond {
			fields[name+"Ms"] = spent.Milliseconds()
		}
	})
	return fields
}
