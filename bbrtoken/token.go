// Package bbrtoken encodes session tokens. A token records the log position
// of a database group up to which a session has read or written, so that the session
// can continue at another instance without reading older data than before. The token
// contains the group, the term, the position, and a message authentication code
// (MAC): a truncated HMAC-SHA256 over these values and the caller's name, keyed with
// a secret that all instances share.
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

// macLength is the length of the MAC, in bytes.
const macLength = 16

// maxTokenLength is the maximum length of an encoded token, in bytes.
const maxTokenLength = 256

// ErrBadSignature is returned for a token whose MAC does not match: the token was
// issued to another caller, signed with another key, or altered.
var ErrBadSignature = errors.New("the token was not made for this caller by this system")

// Token is a position in a group's log, with the term of the primary that wrote
// the log entry. The zero value is the token of a session that has neither read nor
// written.
type Token struct {
	Group    bbrtype.GroupName
	Term     bbrtype.Term
	Position bbrtype.Position
}

// IsZero reports whether the token contains no position.
func (t Token) IsZero() bool { return t.Term == 0 }

// Later returns the later of two tokens of the same group.
func (t Token) Later(o Token) Token {
	if o.Term > t.Term || (o.Term == t.Term && o.Position > t.Position) {
		return o
	}
	return t
}

// Signer encodes tokens and verifies them with a key that all instances share.
type Signer struct{ key []byte }

// NewSigner returns a signer that uses key.
func NewSigner(key []byte) *Signer { return &Signer{key: key} }

// Encode returns the text of a token with its MAC, in the form group:term:position:MAC,
// such as billing:3:0/16B3748:MAC.
func (s *Signer) Encode(t Token, caller bbrtype.CallerName) string {
	body := string(t.Group) + ":" + strconv.FormatUint(uint64(t.Term), 10) + ":" + t.Position.String()
	return body + ":" + s.mac(body, caller)
}

// Decode parses and verifies a token. It returns ErrBadSignature if the MAC does not
// match, and an error that names the malformed part if parsing fails.
func (s *Signer) Decode(text string, caller bbrtype.CallerName) (Token, error) {
	if len(text) > maxTokenLength {
		return Token{}, errors.Errorf("token of %d characters: at most %d", len(text), maxTokenLength)
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
	if !hmac.Equal([]byte(parts[3]), []byte(s.mac(body, caller))) {
		return Token{}, ErrBadSignature
	}
	return Token{Group: bbrtype.GroupName(parts[0]), Term: bbrtype.Term(term), Position: position}, nil
}

// mac returns the encoded MAC of a token body and a caller's name.
func (s *Signer) mac(body string, caller bbrtype.CallerName) string {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(caller))
	h.Write([]byte{0})
	h.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macLength])
}
