package bbrgroup

import (
	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// View is what an instance knows at one moment. It is replaced as a whole and
// never changed.
type View struct {
	State *bbrjournal.State
	// Until is the end of the instance's authority.
	Until bbrtype.Mono
	// Config is the configuration in force, nil before the first.
	Config *bbrconfig.Config
	// Version and Hash name it.
	Version uint64
	Hash    string
}

// Group returns what the journal knows of a group, nil if nothing.
func (v *View) Group(name bbrtype.GroupName) *bbrjournal.Group { return v.State.Groups[name] }

// MayAcknowledge reports whether the success of a commit on a member in a term
// may be passed on.
func (v *View) MayAcknowledge(now bbrtype.Mono, name bbrtype.GroupName, m bbrtype.MemberName, term bbrtype.Term) bool {
	g := v.Group(name)
	if g == nil || now >= v.Until {
		return false
	}
	l, ok := g.Primary()
	return ok && l.Member == m && l.Term == term
}
