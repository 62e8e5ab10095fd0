// Package bbrtype holds the named types for identifiers and units that the
// other packages share. It has no behaviour beyond parsing and printing.
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

// InstanceID names one incarnation of an instance. A restarted process has a
// new one.
type InstanceID string

// DataCentre names the data centre of an instance or a member.
type DataCentre string

// GroupName names a database group.
type GroupName string

// MemberName names one database of a group.
type MemberName string

// TenantName names the owner of callers.
type TenantName string

// CallerName is the user name under which a caller authenticates.
type CallerName string

// RouteName names a route of the configuration.
type RouteName string

// RequestKey identifies a request that may run at most once.
type RequestKey string

// Index is the number of an entry in the journal. The first entry is 1.
type Index uint64

// Term numbers the primaries of a group. It grows by one with each fence.
type Term uint64

// History is the number under which a member reports the history it belongs
// to, such as a timeline of PostgreSQL.
type History uint64

// Position is a place in the log of a group's primary, in bytes.
type Position uint64

// String returns the position in the notation of PostgreSQL, such as 0/16B3748.
func (p Position) String() string {
	return fmt.Sprintf("%X/%X", uint64(p)>>32, uint64(p)&0xFFFFFFFF)
}

// ParsePosition reads the notation of PostgreSQL, such as 0/16B3748.
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
