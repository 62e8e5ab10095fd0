package bbrini

import (
	"fmt"
	"io"
	"strings"
)

// Key is a key that a file may have, as the code asks for it.
type Key struct {
	Section string
	Name    string
	// Kind tells what values the key takes, Default the value of a missing key.
	Kind    string
	Default string
}

// About describes keys, by section and name.
type About map[string]map[string]string

// note collects a key.
func (r *Reader) note(key, kind, fallback string) {
	if r.problems.Keys == nil {
		return
	}
	*r.problems.Keys = append(*r.problems.Keys, Key{Section: r.Name, Name: key, Kind: kind, Default: fallback})
}

// WriteReference writes a table of keys for each section as Markdown. intro
// opens a section by its name. Each key must be described, and each description
// belong to a key.
func WriteReference(w io.Writer, keys []Key, intro map[string]string, about About) error {
	written := 0
	for i, k := range keys {
		text, ok := about[k.Section][k.Name]
		if !ok {
			return fmt.Errorf("key %s of [%s] is not described", k.Name, k.Section)
		}
		written++
		if i == 0 || k.Section != keys[i-1].Section {
			title := k.Section
			if title == "" {
				title = "before the first section"
			} else {
				title = "[" + title + "]"
			}
			if _, err := fmt.Fprintf(w, "\n## %s\n\n%s\n\n| key | value | default | meaning |\n| --- | --- | --- | --- |\n", title, intro[k.Section]); err != nil {
				return err
			}
		}
		fallback := "—"
		if k.Default != "" {
			fallback = "`" + strings.ReplaceAll(k.Default, "|", "\\|") + "`"
		}
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", k.Name, k.Kind, fallback, text); err != nil {
			return err
		}
	}
	described := 0
	for _, keys := range about {
		described += len(keys)
	}
	if described != written {
		return fmt.Errorf("%d keys are described, %d exist", described, written)
	}
	return nil
}
