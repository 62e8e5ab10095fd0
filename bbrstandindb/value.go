package bbrstandindb

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Object ids of the types that the stand-in knows, as PostgreSQL numbers them.
const (
	oidBool   uint32 = 16
	oidInt8   uint32 = 20
	oidInt4   uint32 = 23
	oidText   uint32 = 25
	oidFloat8 uint32 = 701
)

// oidOfType maps a type name of SQL to its object id. Unknown names are text.
func oidOfType(name string) uint32 {
	switch name {
	case "bool", "boolean":
		return oidBool
	case "int8", "bigint", "int4", "integer", "int2", "serial", "bigserial":
		return oidInt8
	case "float8", "float4", "numeric", "real", "double precision":
		return oidFloat8
	}
	return oidText
}

// oidOfValue returns the type under which a value is sent.
func oidOfValue(v any) uint32 {
	switch v.(type) {
	case bool:
		return oidBool
	case int64:
		return oidInt8
	case float64:
		return oidFloat8
	}
	return oidText
}

// coerce turns a value into the type of a column.
func coerce(v any, oid uint32) (any, error) {
	if v == nil {
		return nil, nil
	}
	s := textOf(v)
	switch oid {
	case oidInt8, oidInt4:
		if n, ok := v.(int64); ok {
			return n, nil
		}
		if f, ok := v.(float64); ok {
			return int64(math.Round(f)), nil
		}
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return nil, sqlErrorf(codeInvalidText, "invalid input syntax for type bigint: %q", s)
		}
		return n, nil
	case oidFloat8:
		f, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return nil, sqlErrorf(codeInvalidText, "invalid input syntax for type double precision: %q", s)
		}
		return f, nil
	case oidBool:
		switch strings.ToLower(s) {
		case "t", "true", "1", "on", "yes":
			return true, nil
		case "f", "false", "0", "off", "no":
			return false, nil
		}
		return nil, sqlErrorf(codeInvalidText, "invalid input syntax for type boolean: %q", s)
	}
	return s, nil
}

// textOf returns the text format of a value.
func textOf(v any) string {
	switch x := v.(type) {
	case string:
		return x
	case int64:
		return strconv.FormatInt(x, 10)
	case float64:
		return strconv.FormatFloat(x, 'g', -1, 64)
	case bool:
		if x {
			return "t"
		}
		return "f"
	}
	return fmt.Sprint(v)
}

// encodeValue returns the value in text or binary format; nil means NULL.
func encodeValue(v any, format int16) []byte {
	if v == nil {
		return nil
	}
	if format == 0 {
		return []byte(textOf(v))
	}
	switch x := v.(type) {
	case int64:
		return binary.BigEndian.AppendUint64(nil, uint64(x))
	case float64:
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(x))
	case bool:
		if x {
			return []byte{1}
		}
		return []byte{0}
	}
	return []byte(textOf(v))
}

// decodeParameter reads a parameter in text or binary format.
func decodeParameter(b []byte, format int16, oid uint32) (any, error) {
	if b == nil {
		return nil, nil
	}
	if format == 0 {
		return coerce(string(b), oid)
	}
	switch oid {
	case oidInt8, oidInt4:
		switch len(b) {
		case 8:
			return int64(binary.BigEndian.Uint64(b)), nil
		case 4:
			return int64(int32(binary.BigEndian.Uint32(b))), nil
		case 2:
			return int64(int16(binary.BigEndian.Uint16(b))), nil
		}
		return nil, sqlErrorf(codeProtocol, "integer parameter of %d bytes", len(b))
	case oidFloat8:
		if len(b) != 8 {
			return nil, sqlErrorf(codeProtocol, "float parameter of %d bytes", len(b))
		}
		return math.Float64frombits(binary.BigEndian.Uint64(b)), nil
	case oidBool:
		if len(b) != 1 {
			return nil, sqlErrorf(codeProtocol, "boolean parameter of %d bytes", len(b))
		}
		return b[0] != 0, nil
	}
	return string(b), nil
}

// compare orders two values: -1, 0 or 1. ok is false if either is NULL.
func compare(a, b any) (order int, ok bool) {
	if a == nil || b == nil {
		return 0, false
	}
	x, aNum := number(a)
	y, bNum := number(b)
	if aNum && bNum {
		switch {
		case x < y:
			return -1, true
		case x > y:
			return 1, true
		}
		return 0, true
	}
	return strings.Compare(textOf(a), textOf(b)), true
}

func number(v any) (float64, bool) {
	switch x := v.(type) {
	case int64:
		return float64(x), true
	case float64:
		return x, true
	}
	return 0, false
}
