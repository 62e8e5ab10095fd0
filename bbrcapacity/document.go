package bbrcapacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// timedRuns is how often a document is taken to time it.
const timedRuns = 5

// firstPort is below the ports of the members in a measured configuration.
const firstPort = 10000

// timed returns the time of one run in milliseconds and what a result holds on
// the heap in KB.
func timed(run func() (any, error)) (takeMs, heapKB float64, err error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept, err := run()
	if err != nil {
		return 0, 0, err
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	heapKB = max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)) / 1000
	runtime.KeepAlive(kept)
	started := time.Now()
	for range timedRuns {
		if _, err := run(); err != nil {
			return 0, 0, err
		}
	}
	return time.Since(started).Seconds() * 1000 / timedRuns, heapKB, nil
}

// measureStates measures the journal's state: its stored size, what it holds in
// memory, and the time to copy it, which each record costs.
func measureStates() ([]Document, error) {
	var out []Document
	for _, d := range stateSteps {
		s, err := stateOf(d.Instances, d.Groups)
		if err != nil {
			return nil, err
		}
		b, err := json.Marshal(s)
		if err != nil {
			return nil, errors.Wrap(err, "encode a state")
		}
		d.Bytes = len(b)
		if d.TakeMs, d.HeapKB, err = timed(func() (any, error) { return s.Clone(), nil }); err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

// stateOf makes a state of a size by records, as a fleet would.
func stateOf(instances, groups int) (*bbrjournal.State, error) {
	var joined bbrjournal.InstancesChanged
	for n := range instances {
		name := fmt.Sprintf("instance%04d", n)
		joined.Joined = append(joined.Joined, bbrjournal.Instance{
			ID: bbrtype.InstanceID(name + "-0123456789abcdef"), Name: name, Address: fmt.Sprintf("10.0.%d.%d:7432", n/250, n%250), DataCentre: "nottingham",
		})
	}
	configured := bbrjournal.Configured{Version: 1, Hash: bbrconfig.Hash(nil), Author: "admin", Groups: map[bbrtype.GroupName]bbrjournal.ReplicationConfig{}}
	entries := []bbrjournal.Entry{joined, configured}
	for n := range groups {
		g := bbrtype.GroupName(fmt.Sprintf("group%04d", n))
		configured.Groups[g] = bbrjournal.ReplicationConfig{Members: []bbrtype.MemberName{"m1", "m2", "m3"}, MinConfirmations: 1}
		entries = append(entries, bbrjournal.Fenced{Group: g, Term: 1}, bbrjournal.PrimaryNamed{Group: g, Member: "m1", Term: 1, History: 1})
	}
	var s bbrjournal.State
	_, err := s.Apply(bbrjournal.Record{Index: 1, Writer: joined.Joined[0].ID, Nonce: "n", Entries: entries})
	return &s, errors.Wrap(err, "make a state")
}

// measureConfigurations measures the reading of a configuration.
func measureConfigurations() ([]Document, error) {
	var out []Document
	for _, d := range stateSteps {
		shape := shapeOf(Size{Instances: d.Instances, Groups: d.Groups, Members: 3})
		port := firstPort
		text, err := shape.ConfigText(func(bbrtype.GroupName, int) string {
			port++
			return fmt.Sprintf("10.0.0.1:%d", port)
		})
		if err != nil {
			return nil, err
		}
		d.Bytes = len(text)
		d.TakeMs, d.HeapKB, err = timed(func() (any, error) {
			cfg, problems := bbrconfig.Parse("fleet.ini", []byte(text))
			if len(problems) > 0 {
				return nil, problems[0]
			}
			return cfg, nil
		})
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}
