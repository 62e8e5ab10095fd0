// Package bbrstandindb is a small stand-in for one member of a database
// group. It speaks PostgreSQL's protocol, keeps its rows in memory, ships its
// log to replicas asynchronously and can be promoted or told to follow another
// member. It shares no decision code with the product.
//
// Transactions are optimistic: a transaction keeps its writes to itself and
// fails at COMMIT with SQLSTATE 40001 if a row that it changed has been changed
// by somebody else.
//
// # Usage
//
//	db := bbrstandindb.New(bbrstandindb.Options{Name: "m1", Primary: true})
//	srv, err := bbrstandindb.Listen(db, "127.0.0.1:0")
//	defer srv.Close()
package bbrstandindb

import (
	"sync"
	"sync/atomic"
	"time"
)

// positionStep is the distance between the positions of two transactions, in
// bytes.
const positionStep = 8

// Options are the settings of a member. The zero value is a replica that
// follows nobody.
type Options struct {
	Name string
	// Primary makes the member start as the primary.
	Primary bool
	// Follow is the address of the primary that a replica follows at start.
	Follow string
	// Lag delays the replay of each transaction after its commit.
	Lag time.Duration
	// MaxConnections bounds the connections of clients. 0 means 100.
	MaxConnections int
	// ConnectDelay is the time that a new connection takes.
	ConnectDelay time.Duration
	// Slots bounds the statements at work at once. 0 means no bound.
	Slots int
	// ServiceTime is the time that each statement occupies a slot.
	ServiceTime time.Duration
	// DataCentre is where the member runs. A client whose application name
	// ends in another data centre is FarDelay away, one way.
	DataCentre string
	FarDelay   time.Duration
	// Password, if set, is asked from each client by SCRAM-SHA-256.
	Password string
}

// Change is one row written by a transaction. Values is nil for a deletion.
type Change struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Values []any  `json:"values,omitempty"`
}

// LogEntry is one committed transaction.
type LogEntry struct {
	Position  uint64    `json:"position"`
	History   uint64    `json:"history"`
	Committed time.Time `json:"committed"`
	// Statement is the definition of a table, if the transaction made one.
	Statement string   `json:"statement,omitempty"`
	Changes   []Change `json:"changes,omitempty"`
}

// Fork is the start of a history within a member's log.
type Fork struct {
	History uint64 `json:"history"`
	Start   uint64 `json:"start"`
}

// Database is the state of one member.
type Database struct {
	opts Options

	mu     sync.RWMutex
	tables map[string]*table
	log    []LogEntry
	// pending are received transactions that wait for their replay.
	pending  []LogEntry
	lineage  []Fork
	position uint64
	primary  bool
	lag      time.Duration
	// term is the highest term in which the member was ordered to promote
	// or to follow.
	term uint64
	// grown is closed and replaced when the log grows.
	grown chan struct{}
	// rewound is called, without the lock, after a tail was discarded.
	rewound func()
	// terminate ends a connection.
	terminate func(pid uint32) bool
	// activity returns what each connection does.
	activity func() map[uint32]string
	// refollow receives the address of a new primary.
	refollow chan string

	slots chan struct{}

	readsAsPrimary atomic.Int64
	readsAsReplica atomic.Int64
}

// Reads returns how many reads of tables the member has served as a primary and
// as a replica.
func (d *Database) Reads() (asPrimary, asReplica int64) {
	return d.readsAsPrimary.Load(), d.readsAsReplica.Load()
}

// countRead notes a read of a table outside of writing transactions.
func (d *Database) countRead() {
	if d.State().Primary {
		d.readsAsPrimary.Add(1)
	} else {
		d.readsAsReplica.Add(1)
	}
}

// New returns a member with an empty database.
func New(opts Options) *Database {
	d := &Database{
		opts:      opts,
		tables:    map[string]*table{},
		lineage:   []Fork{{History: 1}},
		primary:   opts.Primary,
		lag:       opts.Lag,
		grown:     make(chan struct{}),
		refollow:  make(chan string, 16),
		rewound:   func() {},
		terminate: func(uint32) bool { return false },
		activity:  func() map[uint32]string { return nil },
	}
	if d.opts.MaxConnections == 0 {
		d.opts.MaxConnections = 100
	}
	if opts.Slots > 0 {
		d.slots = make(chan struct{}, opts.Slots)
	}
	if opts.Follow != "" && !opts.Primary {
		d.refollow <- opts.Follow
	}
	return d
}

// SetLag changes the delay of replay.
func (d *Database) SetLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

// State is what a member reports of itself.
type State struct {
	Primary  bool
	Position uint64
	// Received is the end of what a replica has received.
	Received uint64
	History  uint64
}

// State returns the member's role, position and history.
func (d *Database) State() State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.stateLocked()
}

func (d *Database) stateLocked() State {
	s := State{Primary: d.primary, Position: d.position, Received: d.position, History: d.lineage[len(d.lineage)-1].History}
	if n := len(d.pending); n > 0 {
		s.Received = d.pending[n-1].Position
	}
	return s
}

// Log returns the committed transactions of the member's present history.
func (d *Database) Log() []LogEntry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return append([]LogEntry(nil), d.log...)
}

// Promote makes a replica the primary of a new history. A term of 0 takes the
// next history and makes no check.
func (d *Database) Promote(term uint64) (State, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term != 0 && term <= d.term {
		return State{}, sqlErrorf(codeState, "promotion for term %d refused: term %d was ordered before", term, d.term)
	}
	if d.primary {
		return State{}, sqlErrorf(codeState, "the member is a primary already")
	}
	// All that was received is replayed before the new history begins.
	for _, e := range d.pending {
		d.replayLocked(&e)
		d.appendLocked(e)
	}
	d.pending = nil
	history := d.lineage[len(d.lineage)-1].History + 1
	if term != 0 {
		d.term = term
		history = max(history, term)
	}
	d.primary = true
	d.lineage = append(d.lineage, Fork{History: history, Start: d.position})
	return d.stateLocked(), nil
}

// Follow makes the member a replica of the primary at addr. It is refused for
// a term lower than one ordered before.
func (d *Database) Follow(addr string, term uint64) error {
	d.mu.Lock()
	if term < d.term || (term == d.term && d.primary) {
		d.mu.Unlock()
		return sqlErrorf(codeState, "following for term %d refused: term %d was ordered before", term, d.term)
	}
	d.term = term
	wasPrimary := d.primary
	d.primary = false
	d.mu.Unlock()
	if wasPrimary {
		d.rewound()
	}
	d.refollow <- addr
	return nil
}

// entriesAfter returns log entries behind a position, at most limit, with a
// channel that is closed when there are more.
func (d *Database) entriesAfter(position uint64, limit int) ([]LogEntry, <-chan struct{}) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	i := len(d.log)
	for i > 0 && d.log[i-1].Position > position {
		i--
	}
	end := min(i+limit, len(d.log))
	return d.log[i:end:end], d.grown
}

// forkPoint returns the last position that a follower with the given lineage
// and position has in common with this member.
func (d *Database) forkPoint(lineage []Fork, position uint64) uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	common := min(position, d.position)
	for i := 0; i < len(lineage) || i < len(d.lineage); i++ {
		if i < len(lineage) && i < len(d.lineage) && lineage[i] == d.lineage[i] {
			continue
		}
		if i < len(lineage) {
			common = min(common, lineage[i].Start)
		}
		if i < len(d.lineage) {
			common = min(common, d.lineage[i].Start)
		}
		break
	}
	return common
}

// rewind discards the log behind a position and takes over a lineage.
func (d *Database) rewind(position uint64, lineage []Fork) {
	d.mu.Lock()
	for len(d.pending) > 0 && d.pending[len(d.pending)-1].Position > position {
		d.pending = d.pending[:len(d.pending)-1]
	}
	discards := d.position > position
	if discards {
		kept := d.log
		for len(kept) > 0 && kept[len(kept)-1].Position > position {
			kept = kept[:len(kept)-1]
		}
		d.tables = map[string]*table{}
		d.log = append([]LogEntry(nil), kept...)
		d.position = position
		for i := range d.log {
			d.replayLocked(&d.log[i])
		}
	}
	d.lineage = lineage
	d.mu.Unlock()
	if discards {
		d.rewound()
	}
}

// receive keeps entries that came from the primary until they are replayed. It
// returns false on a member that is a primary itself.
func (d *Database) receive(entries []LogEntry, lineage []Fork) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primary {
		return false
	}
	d.lineage = lineage
	end := d.stateLocked().Received
	for _, e := range entries {
		if e.Position > end {
			d.pending = append(d.pending, e)
		}
	}
	return true
}

// replayDue replays the received entries whose lag is over. It returns the time
// until the next one is due.
func (d *Database) replayDue(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.pending) > 0 && !d.primary {
		e := d.pending[0]
		if wait := e.Committed.Add(d.lag).Sub(now); wait > 0 {
			return min(wait, replayPause)
		}
		d.pending = d.pending[1:]
		d.replayLocked(&e)
		d.appendLocked(e)
	}
	return replayPause
}

func (d *Database) appendLocked(e LogEntry) {
	d.log = append(d.log, e)
	d.position = e.Position
	close(d.grown)
	d.grown = make(chan struct{})
}

func (d *Database) replayLocked(e *LogEntry) {
	if e.Statement != "" {
		if p, err := parse(e.Statement); err == nil {
			_ = d.defineLocked(p.nodes[0])
		}
	}
	for i := range e.Changes {
		c := &e.Changes[i]
		t := d.tables[c.Table]
		if t == nil {
			continue
		}
		if c.Values == nil {
			t.drop(c.Key)
			continue
		}
		c.Values = normalize(c.Values, t)
		t.put(c.Key, &row{values: c.Values, version: e.Position})
	}
}

// normalize restores the value types that JSON has lost on the way.
func normalize(values []any, t *table) []any {
	out := make([]any, len(values))
	for i, v := range values {
		if i < len(t.columns) {
			if c, err := coerce(v, t.columns[i].oid); err == nil {
				v = c
			}
		}
		out[i] = v
	}
	return out
}
