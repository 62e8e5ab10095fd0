// Package bbrtoken encodes what a caller has seen of a database group, so that
// a session that moves to another instance brings it along. A token names the
// group, the term and the position, and carries a code that only instances can
// make, bound to the caller's name.
//
// # Usage
//
//	s := bbrtoken.NewSigner(key)
//	text := s.Encode(bbrtoken.Token{Group: "billing", Term: 3, Position: p}, "portal")
//	t, err := s.Decode(text, "portal")
package bbrtoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// codeLength is the length of the code, in bytes.
const codeLength = 16

// maxLength bounds a token's text, in bytes.
const maxLength = 256

// ErrForged is returned for a token whose code is wrong: it was made for
// another caller, by somebody else, or under another key.
var ErrForged = errors.New("the token was not made for this caller by this system")

// Token is a place in a group's history. The zero value has seen nothing.
type Token struct {
	Group    bbrtype.GroupName
	Term     bbrtype.Term
	Position bbrtype.Position
}

// IsZero reports whether the token has seen nothing.
func (t Token) IsZero() bool { return t.Term == 0 }

// Max returns the later of two places of the same group.
func (t Token) Max(o Token) Token {
	if o.Term > t.Term || (o.Term == t.Term && o.Position > t.Position) {
		return o
	}
	return t
}

// Signer makes and checks tokens with a key that all instances share.
type Signer struct{ key []byte }

// NewSigner returns a signer for a key.
func NewSigner(key []byte) *Signer { return &Signer{key: key} }

// Encode returns the token's text, such as billing:3:0/16B3748:code.
func (s *Signer) Encode(t Token, caller bbrtype.CallerName) string {
	body := string(t.Group) + ":" + strconv.FormatUint(uint64(t.Term), 10) + ":" + t.Position.String()
	return body + ":" + s.code(body, caller)
}

// Decode reads a token's text. It returns ErrForged, or an error that tells
// what is malformed.
func (s *Signer) Decode(text string, caller bbrtype.CallerName) (Token, error) {
	if len(text) > maxLength {
		return Token{}, errors.Errorf("token of %d characters: at most %d", len(text), maxLength)
	}
	parts := strings.Split(text, ":")
	if len(parts) != 4 {
		return Token{}, errors.Errorf("token %q: expected group:term:position:code", text)
	}
	term, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil || term == 0 {
		return Token{}, errors.Errorf("token %q: %q is not a term", text, parts[1])
	}
	position, err := bbrtype.ParsePosition(parts[2])
	if err != nil {
		return Token{}, errors.Wrapf(err, "token %q", text)
	}
	body := strings.Join(parts[:3], ":")
	if !hmac.Equal([]byte(parts[3]), []byte(s.code(body, caller))) {
		return Token{}, ErrForged
	}
	return Token{Group: bbrtype.GroupName(parts[0]), Term: bbrtype.Term(term), Position: position}, nil
}

// code binds a body to a caller.
func (s *Signer) code(body string, caller bbrtype.CallerName) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(caller))
	mac.Write([]byte{0})
	mac.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:codeLength])
}
