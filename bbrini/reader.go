// Package bbrini reads typed values from INI files and collects every problem
// with the file, the section, the key and a hint.
//
// # Usage
//
//	var list bbrini.Problems
//	r := bbrini.NewReader("instance.ini", section, &list)
//	port := r.Integer("port", 6432, 1, 65535)
//	r.Finish()
package bbrini

import (
	"fmt"
	"net"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// maxDuration bounds durations of the configuration.
const maxDuration = 24 * time.Hour

// maxPort is the highest port of TCP.
const maxPort = 65535

// Problem is one error of a file.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	What    string `json:"what"`
	// Hint tells how to mend it.
	Hint string `json:"hint,omitempty"`
}

// Error returns the problem on one line.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Section != "" {
		fmt.Fprintf(&b, ": [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.What)
	if p.Hint != "" {
		fmt.Fprintf(&b, "; %s", p.Hint)
	}
	return b.String()
}

// Problems collects the errors of a file.
type Problems struct {
	List []Problem
	// Keys collects the keys that are asked for, if it is not nil.
	Keys *[]Key
}

// Add notes an error.
func (p *Problems) Add(file, section, key, what, hint string) {
	p.List = append(p.List, Problem{File: file, Section: section, Key: key, What: what, Hint: hint})
}

// Load reads a file's sections. It returns nil and notes a problem if the text
// is not INI.
func Load(file string, text []byte, problems *Problems) *ini.File {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true, AllowShadows: true, SpaceBeforeInlineComment: true, IgnoreContinuation: true,
	}, text)
	if err != nil {
		problems.Add(file, "", "", strings.TrimSpace(err.Error()), "write sections as [name] and keys as key = value")
		return nil
	}
	return f
}

// Reader takes typed values from a section and notes which keys it knows.
type Reader struct {
	// Name is the section's name, empty for keys before the first section.
	Name     string
	file     string
	problems *Problems
	s        *ini.Section
	known    []string
}

// NewReader returns a reader of a section.
func NewReader(file string, s *ini.Section, problems *Problems) *Reader {
	r := &Reader{file: file, s: s, problems: problems, Name: s.Name()}
	if r.Name == ini.DefaultSection {
		r.Name = ""
	}
	return r
}

// Problem notes an error of a key.
func (r *Reader) Problem(key, what, hint string) { r.problems.Add(r.file, r.Name, key, what, hint) }

// get returns a key's value.
func (r *Reader) get(key string) (string, bool) {
	r.known = append(r.known, key)
	if !r.s.HasKey(key) {
		return "", false
	}
	k := r.s.Key(key)
	if n := len(k.ValueWithShadows()); n > 1 {
		r.Problem(key, "the key stands twice", "keep one of the two")
	}
	return strings.TrimSpace(k.String()), true
}

// Text returns a key's value, or a default.
func (r *Reader) Text(key, fallback string) string {
	r.note(key, "text", fallback)
	if v, ok := r.get(key); ok {
		return v
	}
	return fallback
}

// Integer returns a whole number within bounds.
func (r *Reader) Integer(key string, fallback, low, high int) int {
	r.note(key, fmt.Sprintf("whole number from %d to %d", low, high), strconv.Itoa(fallback))
	v, ok := r.get(key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		r.Problem(key, fmt.Sprintf("%q is not a whole number from %d to %d", v, low, high), "")
		return fallback
	}
	return n
}

// Boolean returns true or false.
func (r *Reader) Boolean(key string, fallback bool) bool {
	r.note(key, "true or false", strconv.FormatBool(fallback))
	v, ok := r.get(key)
	if !ok {
		return fallback
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.Problem(key, fmt.Sprintf("%q is neither true nor false", v), "")
		return fallback
	}
	return b
}

// Duration returns a time with a unit, at most a day.
func (r *Reader) Duration(key string, fallback time.Duration) time.Duration {
	r.note(key, "duration", fallback.String())
	v, ok := r.get(key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || d > maxDuration {
		r.Problem(key, fmt.Sprintf("%q is not a duration from 0s to 24h", v), "write it with a unit, such as 500ms or 10s")
		return fallback
	}
	return d
}

// sizeUnits are the units of amounts of memory, in bytes.
var sizeUnits = map[string]int64{"kB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}

// maxSize bounds amounts of memory, in bytes.
const maxSize = 1 << 40

// Size returns an amount of memory in bytes, 0 if the key is missing. A unit has 1024 of the
// smaller one.
func (r *Reader) Size(key string) int64 {
	r.note(key, "amount of memory", "")
	v, ok := r.get(key)
	if !ok {
		return 0
	}
	number, unit := v, int64(1)
	for suffix, bytes := range sizeUnits {
		if n, found := strings.CutSuffix(v, suffix); found {
			number, unit = n, bytes
		}
	}
	n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
	if err != nil || n < 0 || n > maxSize/unit {
		r.Problem(key, fmt.Sprintf("%q is not an amount of memory", v), "write it with a unit, such as 184MB")
		return 0
	}
	return n * unit
}

// List returns the parts of a value between commas.
func (r *Reader) List(key string) []string {
	r.note(key, "names between commas", "")
	v, _ := r.get(key)
	var out []string
	for _, part := range strings.Split(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// Address returns an IP number with a port. Without a default it must be given.
func (r *Reader) Address(key, fallback string) string {
	r.note(key, "IP number and port", fallback)
	v, ok := r.get(key)
	if !ok && fallback == "" {
		r.Problem(key, "the address is missing", "write it as 10.0.0.1:5432")
		return ""
	}
	if !ok {
		return fallback
	}
	host, port, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(port)
	if err != nil || perr != nil || n < 0 || n > maxPort || net.ParseIP(host) == nil {
		r.Problem(key, fmt.Sprintf("%q is not an IP number and a port", v), "write it as 10.0.0.1:5432")
	}
	return v
}

// Choice reads one of some values.
func Choice[T ~string](r *Reader, key string, fallback T, allowed ...T) T {
	names := make([]string, len(allowed))
	for i, a := range allowed {
		names[i] = string(a)
	}
	r.note(key, "one of "+strings.Join(names, ", "), string(fallback))
	v, ok := r.get(key)
	if !ok {
		return fallback
	}
	for _, a := range allowed {
		if T(v) == a {
			return a
		}
	}
	r.Problem(key, fmt.Sprintf("%q is not one of %s", v, strings.Join(names, ", ")), Suggest(v, names))
	return fallback
}

// Finish reports the keys that nobody asked for.
func (r *Reader) Finish() {
	known := map[string]bool{}
	for _, k := range r.known {
		known[k] = true
	}
	for _, k := range r.s.KeyStrings() {
		if !known[k] {
			sort.Strings(r.known)
			r.Problem(k, "unknown key", Suggest(k, r.known))
		}
	}
}

// Suggest returns a hint with the known name that is nearest to a wrong one.
func Suggest(wrong string, known []string) string {
	best, bestDistance := "", 1+len(wrong)/2
	for _, k := range known {
		if d := distance(strings.ToLower(wrong), strings.ToLower(k)); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return "known are " + strings.Join(known, ", ")
	}
	return fmt.Sprintf("did you mean %s?", best)
}

// distance is the number of single changes that turn a into b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
