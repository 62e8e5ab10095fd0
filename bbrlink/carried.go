package bbrlink

import (
	"fmt"
	"hash/maphash"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
)

var replySeed = maphash.MakeSeed()

// replySet is the contents of the replies that a connection has carried, as hashes. The zero
// value is empty.
type replySet struct {
	hashes map[uint64]struct{}
}

// add adds a content. It returns false if the connection has carried it before.
func (s *replySet) add(content string) bool {
	if s.hashes == nil {
		s.hashes = map[uint64]struct{}{}
	}
	h := maphash.String(replySeed, content)
	_, known := s.hashes[h]
	s.hashes[h] = struct{}{}
	return !known
}

// has reports whether the connection has carried a content.
func (s *replySet) has(content string) bool {
	_, known := s.hashes[maphash.String(replySeed, content)]
	return known
}

// len returns the number of contents.
func (s *replySet) len() int { return len(s.hashes) }

// contentOf returns what no other reply shares: the signature, or all that a reply without one
// tells.
func contentOf(r bbrmessage.Reply) string {
	if isSigned(r) {
		return r.Signature
	}
	failure := ""
	if r.Failure != nil {
		failure = r.Failure.Error()
	}
	return fmt.Sprintf("%q %q %s %d.%d", failure, r.Rows, r.State, r.Position.Term, r.Position.Index)
}

// isSigned reports whether a member has signed a reply.
func isSigned(r bbrmessage.Reply) bool {
	return r.Failure == nil && r.Signature != "" && r.Signature != bbrmessage.NoSignature
}
