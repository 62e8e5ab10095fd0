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
	// Journal is the state that results from the applied journal records.
	Journal *bbrjournal.State
	// AuthorityUntil is the end of the instance's authority, which is a lease.
	// Until then, no change of primary can complete unless the instance has
	// applied its fence, so the instance may acknowledge writes of the term
	// that it has applied.
	AuthorityUntil bbrtype.Mono
	// Config is the configuration in force, nil before the first
	// configuration.
	Config *bbrconfig.Config
	// ConfigVersion and ConfigHash identify Config.
	ConfigVersion uint64
	ConfigHash    string
}

// Group returns the state of a group in the journal, or nil if there is none.
func (v *View) Group(name bbrtype.GroupName) *bbrjournal.Group { return v.Journal.Groups[name] }

// MayAcknowledge reports whether the instance may acknowledge a commit on
// member m in the given term. This requires that the instance has authority,
// and that m is the primary of that term, which must be the current one.
func (v *View) MayAcknowledge(now bbrtype.Mono, group bbrtype.GroupName, m bbrtype.MemberName, term bbrtype.Term) bool {
	g := v.Group(group)
	if g == nil || now >= v.AuthorityUntil {
		return false
	}
	primary, ok := g.Primary()
	return ok && primary.Member == m && primary.Term == term
}
