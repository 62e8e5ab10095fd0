package bbrtoken

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

func TestTokensAreBoundToTheirCaller(t *testing.T) {
	is := is.New(t)
	s := NewSigner([]byte("a key for tests only"))
	token := Token{Group: "billing", Term: 3, Position: 0x16B3748}
	text := s.Encode(token, "portal")
	is.True(strings.HasPrefix(text, "billing:3:0/16B3748:"))
	got, err := s.Decode(text, "portal")
	is.NoErr(err)
	is.Equal(got, token)
	forged := map[string]struct {
		text   string
		caller bbrtype.CallerName
		key    string
	}{
		"another caller":   {text, "crew", "a key for tests only"},
		"another key":      {text, "portal", "another key"},
		"another position": {strings.Replace(text, "16B3748", "16B3749", 1), "portal", "a key for tests only"},
		"another group":    {strings.Replace(text, "billing", "orders", 1), "portal", "a key for tests only"},
		"an empty MAC":     {"billing:3:0/16B3748:", "portal", "a key for tests only"},
	}
	for name, c := range forged {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewSigner([]byte(c.key)).Decode(c.text, c.caller)
			is.True(errors.Is(err, ErrBadSignature))
		})
	}
}

func TestMaxIsTheLaterPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() Token {
			return Token{Term: bbrtype.Term(rapid.IntRange(0, 3).Draw(t, "term")), Position: bbrtype.Position(rapid.IntRange(0, 3).Draw(t, "p"))}
		}
		a, b := draw(), draw()
		m := a.Later(b)
		if m != b.Later(a) || (m != a && m != b) || m.Term < max(a.Term, b.Term) {
			t.Fatalf("%v.Later(%v) = %v", a, b, m)
		}
	})
}

func FuzzDecode(f *testing.F) {
	s := NewSigner([]byte("a key for tests only"))
	f.Add("billing:3:0/16B3748:abc")
	f.Add(s.Encode(Token{Group: "g", Term: 1, Position: 8}, "c"))
	f.Fuzz(func(t *testing.T, text string) {
		token, err := s.Decode(text, "c")
		if err == nil && s.Encode(token, "c") != text {
			t.Fatalf("%q decodes to a token that encodes as %q", text, s.Encode(token, "c"))
		}
	})
}
