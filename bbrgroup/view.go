package bbrgroup

import (
	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// View is an immutable snapshot of the journal's state, of the instance's
// authority, and of the configuration in force. Every change replaces the whole
// view.
type View struct {
	State *bbrjournal.State
	// Until is the end of the instance's authority. Before it, no change of
	// primary that the instance has not applied can be complete, so the instance
	// may acknowledge writes.
	Until bbrtype.Mono
	// Config is the configuration in force, nil before the first.
	Config *bbrconfig.Config
	// Version and Hash identify Config.
	Version uint64
	Hash    string
}

// Group returns the state of a group in the journal, or nil if there is none.
func (v *View) Group(name bbrtype.GroupName) *bbrjournal.Group { return v.State.Groups[name] }

// MayAcknowledge reports whether the instance may acknowledge a commit that
// member m made in a term: the instance has authority, and m is the primary of
// that term.
func (v *View) MayAcknowledge(now bbrtype.Mono, name bbrtype.GroupName, m bbrtype.MemberName, term bbrtype.Term) bool {
	g := v.Group(name)
	if g == nil || now >= v.Until {
		return false
	}
	l, ok := g.Primary()
	return ok && l.Member == m && l.Term == term
}
