// Package bbrtype defines the types for identifiers, log positions and monotonic
// time that the other packages share.
//
// # Usage
//
//	p, err := bbrtype.ParsePosition("0/16B3748")
//	fmt.Println(p + 8)
package bbrtype

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// InstanceID identifies one run of an instance. A process gets a new ID at each start.
type InstanceID string

// DataCentre names the data centre of an instance or a member.
type DataCentre string

// GroupName names a database group.
type GroupName string

// MemberName names a member: one database server of a group.
type MemberName string

// TenantName names a tenant, the owner of a set of callers.
type TenantName string

// CallerName is the user name with which a caller authenticates.
type CallerName string

// RouteName names a route in the configuration.
type RouteName string

// RequestKey is an idempotency key: a request with a request key runs at most once.
type RequestKey string

// Index is the index of an entry in the journal that the instances share. The first entry
// has index 1.
type Index uint64

// Term counts the changes of primary of a group. It is incremented when a primary is
// fenced.
type Term uint64

// History identifies a branch of a group's log, as a PostgreSQL timeline does. A
// promotion starts a new one.
type History uint64

// Position is a byte offset in the write-ahead log of a group's primary.
type Position uint64

// String formats the position as PostgreSQL does, such as 0/16B3748.
func (p Position) String() string {
	return fmt.Sprintf("%X/%X", uint64(p)>>32, uint64(p)&0xFFFFFFFF)
}

// ParsePosition parses a position in PostgreSQL's notation, such as 0/16B3748.
func ParsePosition(s string) (Position, error) {
	hi, lo, ok := strings.Cut(s, "/")
	if !ok {
		return 0, errors.Errorf("position %q: expected two hexadecimal numbers and a slash between them", s)
	}
	h, err := strconv.ParseUint(hi, 16, 32)
	if err != nil {
		return 0, errors.Errorf("position %q: %q is not a hexadecimal number of 32 bits", s, hi)
	}
	l, err := strconv.ParseUint(lo, 16, 32)
	if err != nil {
		return 0, errors.Errorf("position %q: %q is not a hexadecimal number of 32 bits", s, lo)
	}
	return Position(h<<32 | l), nil
}
