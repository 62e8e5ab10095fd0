package bbrsoak

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// Outcome is what a caller was told of a write.
type Outcome string

// The outcomes.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Policy is what a read may miss.
type Policy string

// The policies.
const (
	// PolicyPrimary misses nothing that was acknowledged before the read began.
	PolicyPrimary Policy = "primary"
	// PolicyOwn misses nothing of its own session, and nothing older than the stated
	// age.
	PolicyOwn Policy = "own"
	// PolicyBounded misses nothing older than the stated age.
	PolicyBounded Policy = "bounded"
)

// Write is a write of one item. Each item is written once.
type Write struct {
	Item string
	// Value is what was written. It differs from those of all other items, or is empty if
	// reads do not tell values.
	Value   string
	Session int
	Outcome Outcome
	// AckedAt is when the caller had the answer.
	AckedAt time.Time
	// Note tells who served it, for the report.
	Note string
}

// Read is a read of one item.
type Read struct {
	Item string
	// Value is what was read, if Found is set.
	Value   string
	Session int
	Policy  Policy
	SentAt  time.Time
	// Found is set if the item was there.
	Found bool
	// Note tells who served it, for the report.
	Note string
}

const (
	// maxExamples bounds the examples that are kept of each broken promise.
	maxExamples = 3
	// maxExampleSize bounds the size of an example, in bytes.
	maxExampleSize = 600
)

// History is what callers of a run were told. The zero value is empty.
type History struct {
	// MaxAge is the stated age of reads by PolicyOwn and PolicyBounded.
	MaxAge time.Duration

	mu     sync.Mutex
	writes map[string]Write
	order  []string
	reads  int
	broken map[string]int
	texts  []string
}

// AddWrite notes a write once its outcome is known.
func (h *History) AddWrite(w Write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.writes == nil {
		h.writes = map[string]Write{}
	}
	h.writes[w.Item] = w
	h.order = append(h.order, w.Item)
}

// Sample returns the item of a write whose outcome is known, by a number that the
// caller draws. It returns false if there is none.
func (h *History) Sample(n int) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.order) == 0 {
		return "", false
	}
	// Mostly new ones: they are what may be missing.
	return h.order[len(h.order)-1-n%min(len(h.order), recentWrites)], true
}

// recentWrites is the number of newest writes that reads look for.
const recentWrites = 40

// AddRead checks a read against what is known of the item.
func (h *History) AddRead(r Read) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads++
	w, ok := h.writes[r.Item]
	if !ok {
		return
	}
	if r.Found && r.Value != w.Value {
		h.fail("a read returned what was not written", fmt.Sprintf("%s is %q, written %q, read from %s", r.Item, r.Value, w.Value, r.Note))
	}
	if r.Found && w.Outcome == OutcomeNotRun {
		h.fail("a write that was told not to have run is there", r.Item)
	}
	if !r.Found && w.Outcome == OutcomeDone && h.mustSee(w, r) {
		h.fail("a "+string(r.Policy)+" read lacks an acknowledged write", fmt.Sprintf("%s, acknowledged %v before by %s, read at %s from %s", r.Item, r.SentAt.Sub(w.AckedAt), w.Note, r.SentAt.Format(time.StampMicro), r.Note))
	}
}

// mustSee reports whether a read may not miss an acknowledged write.
func (h *History) mustSee(w Write, r Read) bool {
	age := r.SentAt.Sub(w.AckedAt)
	switch {
	case r.Policy == PolicyPrimary || r.Policy == PolicyOwn && r.Session == w.Session:
		return age > 0
	}
	return age > h.MaxAge
}

// fail notes a broken promise. The caller holds mu.
func (h *History) fail(what, example string) {
	if h.broken == nil {
		h.broken = map[string]int{}
	}
	h.broken[what]++
	if len(example) > maxExampleSize {
		example = example[:maxExampleSize] + "…"
	}
	if h.broken[what] <= maxExamples {
		h.texts = append(h.texts, what+": "+example)
	}
}

// AddMixed notes an answer that was not the statement's own or not whole.
func (h *History) AddMixed(example string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fail("MIXED", example)
}

// AddUnasked notes a statement that a member received although no caller sent it so.
func (h *History) AddUnasked(example string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fail("UNASKED", example)
}

// AddPromotion checks that a promoted member lacked nothing that was acknowledged. lacks
// are the items that it lacked of those that any member had.
func (h *History) AddPromotion(member string, lacks []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, item := range lacks {
		if w := h.writes[item]; w.Outcome == OutcomeDone {
			h.fail("a promoted member lacks an acknowledged write", fmt.Sprintf("%s, promoted, lacks %s, acknowledged at %s by %s", member, item, w.AckedAt.Format(time.StampMicro), w.Note))
		}
	}
}

// Judge compares what callers were told with how often each item is in the log of
// the present primary.
func (h *History) Judge(runs map[string]int) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Result{Reads: h.reads}
	var acked []time.Time
	for _, item := range h.order {
		w, n := h.writes[item], runs[item]
		switch w.Outcome {
		case OutcomeDone:
			r.Done++
			acked = append(acked, w.AckedAt)
			if n == 0 {
				h.fail("an acknowledged write is lost", item)
			}
		case OutcomeNotRun:
			r.NotRun++
			if n > 0 {
				h.fail("a write that was told not to have run is kept", item)
			}
		case OutcomeUnknown:
			r.Unknown++
		}
		if n > 1 {
			h.fail("a write ran more than once", item)
		}
	}
	r.LongestGap = longestGap(acked)
	r.Broken = append(r.Broken, h.texts...)
	return r
}

// longestGap is the longest time between two acknowledged writes.
func longestGap(acked []time.Time) time.Duration {
	sort.Slice(acked, func(i, j int) bool { return acked[i].Before(acked[j]) })
	longest := time.Duration(0)
	for i := 1; i < len(acked); i++ {
		longest = max(longest, acked[i].Sub(acked[i-1]))
	}
	return longest
}
