package bbrconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"github.com/bluebellroute/bluebellroute/bbrini"
)

// allTeams lets an operator change everything.
const allTeams = "*"

// OperatorName names an operator.
type OperatorName string

// Operator is somebody who may change the configuration.
type Operator struct {
	Name OperatorName
	// KeyHash is the SHA-256 of the operator's key, in hexadecimal.
	KeyHash string
	// Teams are the owners whose objects the operator may change.
	Teams []string
	Owner string
}

// HashKey returns the form in which an operator's key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// HasKey reports whether a key is the operator's.
func (o *Operator) HasKey(key string) bool {
	return subtle.ConstantTimeCompare([]byte(HashKey(key)), []byte(o.KeyHash)) == 1
}

// MayChange reports whether an operator may make a change.
func (o *Operator) MayChange(c Change) bool {
	if slices.Contains(o.Teams, allTeams) {
		return true
	}
	for _, owner := range c.Owners {
		if owner == "" || !slices.Contains(o.Teams, owner) {
			return false
		}
	}
	return true
}

func (p *parser) operator(r *bbrini.Reader, name string) {
	o := &Operator{
		Name:    OperatorName(name),
		KeyHash: r.Text("keyHash", ""),
		Teams:   r.List("teams"),
		Owner:   r.Text("owner", ""),
	}
	if b, err := hex.DecodeString(o.KeyHash); err != nil || len(b) != sha256.Size {
		r.Problem("keyHash", "the key's hash is not SHA-256 in hexadecimal", "make one with: bluebellroute operator-key")
	}
	if len(o.Teams) == 0 {
		r.Problem("teams", "the operator may change nothing", "name the teams, or * for all")
	}
	p.cfg.Operators[o.Name] = o
}
