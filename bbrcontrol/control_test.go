package bbrcontrol

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const start = bbrtype.Mono(time.Hour)

// newSteward returns the control logic of instance a, which is the only steward
// among three instances.
func newSteward(t *testing.T) (*Control, bbrtype.Mono) {
	t.Helper()
	o := DefaultOptions(bbrjournal.Instance{ID: "a", Address: "a"})
	n := 0
	o.StewardCount = 1
	o.Nonce = func() string { n++; return string(rune('0' + n)) }
	c := New(o)
	entries := []bbrjournal.Entry{
		bbrjournal.InstancesChanged{Joined: []bbrjournal.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}},
		bbrjournal.StewardsNamed{Stewards: []bbrtype.InstanceID{"a"}},
		bbrjournal.Configured{Version: 1, Groups: map[bbrtype.GroupName]bbrjournal.ReplicationConfig{"g": {Members: []bbrtype.MemberName{"m1", "m2"}}}},
		bbrjournal.Fenced{Group: "g", Term: 1},
		bbrjournal.PrimaryNamed{Group: "g", Member: "m1", Term: 1, History: 1},
	}
	var records []bbrjournal.Record
	for i, e := range entries {
		records = append(records, bbrjournal.Record{Index: bbrtype.Index(i + 1), Writer: "a", Nonce: "x", Entries: []bbrjournal.Entry{e}})
	}
	c.Step(start, JournalRead{SentAt: start, Records: records})
	return c, start
}

// nextRecord returns a record that follows the applied ones.
func nextRecord(c *Control, writer bbrtype.InstanceID, nonce string, entries ...bbrjournal.Entry) bbrjournal.Record {
	return bbrjournal.Record{Index: c.State().AppliedIndex + 1, Writer: writer, Nonce: nonce, Entries: entries}
}

func applyRecord(c *Control, now bbrtype.Mono, r bbrjournal.Record) []Action {
	return c.Step(now, JournalRead{SentAt: now, After: c.State().AppliedIndex, Records: []bbrjournal.Record{r}})
}

func findAction[A Action](actions []Action) (A, bool) {
	for _, a := range actions {
		if x, ok := a.(A); ok {
			return x, true
		}
	}
	var none A
	return none, false
}

// receiveMessage passes a peer's message with its applied index and its reports
// to the control logic.
func receiveMessage(c *Control, now bbrtype.Mono, id bbrtype.InstanceID, applied bbrtype.Index, reports ...MemberReport) {
	c.HandleExchange(now, Message{From: bbrjournal.Instance{ID: id, Address: string(id)}, AppliedIndex: applied, Reports: reports})
}

func TestAuthorityNeedsAReadThatShowsNothingUnknown(t *testing.T) {
	is := is.New(t)
	c, now := newSteward(t)
	until := c.AuthorityUntil()
	is.Equal(until, start.Add(c.opts.Authority.Duration-c.opts.Authority.Margin))
	now = now.Add(time.Second)
	c.Step(now, JournalRead{SentAt: now, After: 3, Records: nil, Failed: true})
	is.Equal(c.AuthorityUntil(), until) // a failed read does not renew the lease
	c.Step(now, JournalRead{SentAt: now, After: c.State().AppliedIndex + 5})
	is.Equal(c.AuthorityUntil(), until) // the read started after an index that is not applied
	c.Step(now, JournalRead{SentAt: now, After: c.State().AppliedIndex})
	is.Equal(c.AuthorityUntil(), now.Add(c.opts.Authority.Duration-c.opts.Authority.Margin))
}

func TestARemovedInstanceHasNoAuthority(t *testing.T) {
	is := is.New(t)
	c, now := newSteward(t)
	applyRecord(c, now, nextRecord(c, "b", "y", bbrjournal.InstancesChanged{Left: []bbrtype.InstanceID{"a"}}))
	is.Equal(c.AuthorityUntil(), bbrtype.Mono(0))
}

func TestALostReplyIsToldApartByItsNonce(t *testing.T) {
	cases := map[string]struct {
		nonce func(own string) string
		want  ConfigureResult
	}{
		"own record":               {func(own string) string { return own }, ConfigureInForce},
		"record of another writer": {func(string) string { return "other" }, ConfigureConflict},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, now := newSteward(t)
			entry := bbrjournal.Configured{Version: 2, Hash: "h", Groups: map[bbrtype.GroupName]bbrjournal.ReplicationConfig{"g": {Members: []bbrtype.MemberName{"m1", "m2"}}}}
			a, ok := findAction[Append](c.Step(now, ConfigurationRequested{ID: "r", Entry: entry}))
			is.True(ok)
			actions := c.Step(now, Appended{Record: a.Record, Result: AppendUnknown})
			_, done := findAction[ConfigureDone](actions)
			is.True(!done) // the record may be stored
			stored := a.Record
			stored.Nonce = tc.nonce(a.Record.Nonce)
			actions = c.Step(now, JournalRead{SentAt: now, After: c.State().AppliedIndex, Records: []bbrjournal.Record{stored}})
			d, done := findAction[ConfigureDone](actions)
			is.True(done)
			is.Equal(d.Result, tc.want)
		})
	}
}

// appendFence makes the primary fail until the steward appends a fence, and
// returns the stored record.
func appendFence(t *testing.T, c *Control, now bbrtype.Mono) bbrjournal.Record {
	t.Helper()
	ref := bbrmember.Ref{Group: "g", Member: "m1"}
	replica := bbrmember.Ref{Group: "g", Member: "m2"}
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		c.Step(now, JournalRead{SentAt: now, After: c.State().AppliedIndex})
		c.Step(now, MemberFailed{Ref: ref, Kind: bbrmember.FailureRefused, Probed: true})
		c.Step(now, MemberAnswered{Ref: replica, SentAt: now, State: &bbrmember.State{History: 1}, Probed: true})
		failing := MemberReport{Ref: ref, Reachability: bbrfailover.ReachabilityFailing}
		receiveMessage(c, now, "b", c.State().AppliedIndex, failing)
		if a, ok := findAction[Append](c.Step(now, Tick{})); ok {
			c.Step(now, Appended{Record: a.Record, Result: AppendStored})
			return a.Record
		}
	}
	t.Fatal("no fence was appended")
	return bbrjournal.Record{}
}

func TestAFenceWaitsForEveryHolder(t *testing.T) {
	is := is.New(t)
	c, now := newSteward(t)
	now = now.Add(5 * time.Second)
	receiveMessage(c, now, "b", c.State().AppliedIndex)
	receiveMessage(c, now, "c", c.State().AppliedIndex)
	r := appendFence(t, c, now)
	is.Equal(r.Entries, []bbrjournal.Entry{bbrjournal.Fenced{Group: "g", Term: 2}})
	phase, _ := c.ChangePhaseOf("g")
	is.Equal(phase, bbrfailover.PhaseDraining)
	receiveMessage(c, now, "b", r.Index)
	phase, _ = c.ChangePhaseOf("g")
	is.Equal(phase, bbrfailover.PhaseDraining) // c may still acknowledge writes
	receiveMessage(c, now, "c", r.Index)
	phase, _ = c.ChangePhaseOf("g")
	is.Equal(phase, bbrfailover.PhaseReading)
}

func TestAFenceWaitsForInstancesThatOthersRemoved(t *testing.T) {
	is := is.New(t)
	c, now := newSteward(t)
	now = now.Add(5 * time.Second)
	applyRecord(c, now, nextRecord(c, "b", "y", bbrjournal.InstancesChanged{Left: []bbrtype.InstanceID{"c"}}))
	r := appendFence(t, c, now)
	receiveMessage(c, now, "b", r.Index)
	phase, _ := c.ChangePhaseOf("g")
	is.Equal(phase, bbrfailover.PhaseDraining) // c may not have applied its removal
	c.Step(now.Add(5*time.Second), Tick{})
	phase, _ = c.ChangePhaseOf("g")
	is.Equal(phase, bbrfailover.PhaseReading)
}

func TestAStewardThatAloneFailsDoesNotFence(t *testing.T) {
	is := is.New(t)
	c, now := newSteward(t)
	ref := bbrmember.Ref{Group: "g", Member: "m1"}
	now = now.Add(5 * time.Second)
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		c.Step(now, MemberFailed{Ref: ref, Kind: bbrmember.FailureNoResponse, Probed: true})
		receiveMessage(c, now, "b", c.State().AppliedIndex, MemberReport{Ref: ref, Reachability: bbrfailover.ReachabilityResponding})
		receiveMessage(c, now, "c", c.State().AppliedIndex, MemberReport{Ref: ref, Reachability: bbrfailover.ReachabilityFailing})
		_, appends := findAction[Append](c.Step(now, Tick{}))
		is.True(!appends)
	}
}

func TestAStewardVouchesForNothingWhileItsAppendIsOpen(t *testing.T) {
	is := is.New(t)
	c, now := newSteward(t)
	c.Step(now, HeartbeatStored{SentAt: now, OK: true})
	request := Message{From: bbrjournal.Instance{ID: "b"}, AppliedIndex: c.State().AppliedIndex, GrantRequested: true}
	reply, _ := c.HandleExchange(now, request)
	is.True(reply.Granted)
	laggingRequest := Message{From: bbrjournal.Instance{ID: "c"}, AppliedIndex: c.State().AppliedIndex - 1, GrantRequested: true}
	reply, _ = c.HandleExchange(now, laggingRequest)
	is.True(!reply.Granted) // c lacks a record
	is.Equal(len(reply.Records), 1)
	c.Step(now, ConfigurationRequested{ID: "r", Entry: bbrjournal.Configured{Version: 2, Groups: c.groupConfigs()}})
	reply, _ = c.HandleExchange(now, request)
	is.True(!reply.Granted)
}

// groupConfigs returns the current replication config of each group.
func (c *Control) groupConfigs() map[bbrtype.GroupName]bbrjournal.ReplicationConfig {
	out := map[bbrtype.GroupName]bbrjournal.ReplicationConfig{}
	for name, g := range c.state.Groups {
		out[name] = g.ReplicationConfig
	}
	return out
}

func TestAConfigurationThatTakesThePrimaryAwayWaitsForAChange(t *testing.T) {
	is := is.New(t)
	c, now := newSteward(t)
	now = now.Add(5 * time.Second)
	c.Step(now, MemberAnswered{Ref: bbrmember.Ref{Group: "g", Member: "m2"}, SentAt: now, State: &bbrmember.State{History: 1}, Probed: true})
	entry := bbrjournal.Configured{Version: 2, Hash: "h", Groups: map[bbrtype.GroupName]bbrjournal.ReplicationConfig{"g": {Members: []bbrtype.MemberName{"m2"}}}}
	actions := c.Step(now, ConfigurationRequested{ID: "r", Entry: entry})
	actions = append(actions, c.Step(now, Tick{})...)
	a, ok := findAction[Append](actions)
	is.True(ok)
	is.Equal(a.Record.Entries, []bbrjournal.Entry{bbrjournal.Fenced{Group: "g", Term: 2, Excluded: "m1"}})
	c.Step(now, Appended{Record: a.Record, Result: AppendStored})
	a, ok = findAction[Append](applyRecord(c, now, nextRecord(c, "a", "z", bbrjournal.PrimaryNamed{Group: "g", Member: "m2", Term: 2, History: 2})))
	is.True(ok)
	is.Equal(a.Record.Entries, []bbrjournal.Entry{entry})
}
