package bbrconfig

import (
	"fmt"
	"sort"
	"strings"

	"github.com/bluebellroute/bluebellroute/bbrini"
)

// ChangeKind tells how a section differs between two configurations.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// Change is a section that differs.
type Change struct {
	Kind    ChangeKind
	Section string
	// Owners are the teams that own the section before and after. A section
	// without an owner is owned by "".
	Owners []string
	// Keys are lines of the form "key: old -> new".
	Keys []string
}

// String returns the change as lines of text.
func (c Change) String() string {
	sign := map[ChangeKind]string{ChangeAdded: "+", ChangeRemoved: "-", ChangeChanged: "~"}[c.Kind]
	name := c.Section
	if name == "" {
		name = "(top)"
	}
	out := fmt.Sprintf("%s [%s]", sign, name)
	for _, k := range c.Keys {
		out += "\n    " + k
	}
	return out
}

// sections reads a text's keys by section.
func sections(text []byte) map[string]map[string]string {
	var problems bbrini.Problems
	out := map[string]map[string]string{}
	f := bbrini.Load("", text, &problems)
	if f == nil {
		return out
	}
	for _, s := range f.Sections() {
		name := s.Name()
		if name == "DEFAULT" {
			name = ""
		}
		out[name] = s.KeysHash()
	}
	return out
}

// Diff lists the sections that differ between two configurations, in order.
func Diff(from, to []byte) []Change {
	a, b := sections(from), sections(to)
	names := map[string]bool{}
	for n := range a {
		names[n] = true
	}
	for n := range b {
		names[n] = true
	}
	sorted := make([]string, 0, len(names))
	for n := range names {
		sorted = append(sorted, n)
	}
	sort.Strings(sorted)
	var out []Change
	for _, n := range sorted {
		if c, ok := diffSection(n, a, b); ok {
			out = append(out, c)
		}
	}
	return out
}

// diffSection compares one section.
func diffSection(name string, a, b map[string]map[string]string) (Change, bool) {
	before, had := a[name]
	after, has := b[name]
	c := Change{Kind: ChangeChanged, Section: name}
	if had {
		c.Owners = append(c.Owners, ownerOf(name, a))
	}
	if has {
		c.Owners = append(c.Owners, ownerOf(name, b))
	}
	switch {
	case !had:
		c.Kind = ChangeAdded
	case !has:
		c.Kind = ChangeRemoved
	}
	keys := map[string]bool{}
	for k := range before {
		keys[k] = true
	}
	for k := range after {
		keys[k] = true
	}
	sorted := make([]string, 0, len(keys))
	for k := range keys {
		sorted = append(sorted, k)
	}
	sort.Strings(sorted)
	for _, k := range sorted {
		x, okX := before[k]
		y, okY := after[k]
		switch {
		case okX && okY && x != y:
			c.Keys = append(c.Keys, fmt.Sprintf("%s: %s -> %s", k, shown(k, x), shown(k, y)))
		case !okX && c.Kind == ChangeChanged:
			c.Keys = append(c.Keys, fmt.Sprintf("%s: (unset) -> %s", k, shown(k, y)))
		case !okY && c.Kind == ChangeChanged:
			c.Keys = append(c.Keys, fmt.Sprintf("%s: %s -> (unset)", k, shown(k, x)))
		}
	}
	return c, c.Kind != ChangeChanged || len(c.Keys) > 0
}

// shown hides verifiers and key hashes.
func shown(key, value string) string {
	if key == "verifier" || key == "keyHash" {
		return "(hidden)"
	}
	return value
}

// ownerOf returns a section's owner. A member's is that of its group.
func ownerOf(name string, all map[string]map[string]string) string {
	if owner := all[name]["owner"]; owner != "" {
		return owner
	}
	if rest, ok := strings.CutPrefix(name, "member "); ok {
		group, _, _ := strings.Cut(rest, "/")
		return all["group "+group]["owner"]
	}
	return ""
}

// FormatDiff returns changes as text.
func FormatDiff(changes []Change) string {
	lines := make([]string, len(changes))
	for i, c := range changes {
		lines[i] = c.String()
	}
	return strings.Join(lines, "\n")
}
