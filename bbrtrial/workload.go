package bbrtrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Operation is what a caller of the workload does.
type Operation string

// The operations.
const (
	OperationWrite Operation = "write"
	OperationOwn   Operation = "readOwn"
	OperationView  Operation = "readView"
	// OperationConnect is the making of a caller's connection.
	OperationConnect Operation = "connect"
)

// Load describes a workload.
type Load struct {
	// Callers is the number of concurrent callers.
	Callers int
	// Rate is the number of operations a second of all callers together. 0
	// lets each caller go on as soon as it has its answer.
	Rate float64
	// WriteShare is the part of operations that write, KeyedShare the part of
	// those that carry a request key. OwnShare is the part of reads that look
	// for the caller's own last write.
	WriteShare, KeyedShare, OwnShare float64
	// MoveShare is the chance that a caller moves to another instance before
	// an operation. It brings its token along with the chance TokenShare.
	MoveShare, TokenShare float64
	// Caller is the name under which the callers connect.
	Caller string
	Seed   uint64
	// Instances restricts the callers to some instances. Empty means all.
	Instances []int
}

// Timeouts of a caller.
const (
	operationTimeout = 30 * time.Second
	connectTimeout   = 3 * time.Second
	reconnectPause   = 20 * time.Millisecond
)

// Bounds of the latency histograms, in microseconds.
const (
	histogramLow    = 1
	histogramHigh   = 60 * 1000 * 1000
	histogramDigits = 3
)

// attempt is one write that a caller has sent.
type attempt struct {
	id      int64
	group   bbrtype.GroupName
	keyed   bool
	outcome bbroutcome.Outcome
	ackedAt time.Time
}

// Workload runs callers against a fleet and remembers what they were told.
type Workload struct {
	s    System
	load Load

	nextID     atomic.Int64
	statements atomic.Int64
	stale      atomic.Int64
	lostTokens atomic.Int64

	mu       sync.Mutex
	attempts []attempt
	latency  map[Operation]*hdrhistogram.Histogram
	failures map[string]int
	examples []string
}

// NewWorkload prepares a workload. Its table is made by Prepare.
func NewWorkload(s System, load Load) *Workload {
	w := &Workload{s: s, load: load, latency: map[Operation]*hdrhistogram.Histogram{}, failures: map[string]int{}}
	for _, op := range []Operation{OperationWrite, OperationOwn, OperationView, OperationConnect} {
		w.latency[op] = hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
	}
	w.nextID.Store(int64(load.Seed%1000) * 1e9)
	return w
}

// Prepare makes the workload's table in every group. It has no key, so that a
// write that runs twice shows.
func (w *Workload) Prepare(ctx context.Context) error {
	for _, g := range w.s.Groups() {
		conn, err := pgx.Connect(ctx, w.s.URL(0, "staff", g))
		if err != nil {
			return errors.Wrap(err, "connect to prepare the workload")
		}
		_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS payments (id bigint, caller bigint, amount bigint)")
		if err == nil {
			_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS balances (caller bigint PRIMARY KEY, last bigint)")
		}
		_ = conn.Close(ctx)
		if err != nil {
			return errors.Wrap(err, "make the workload's tables")
		}
	}
	return nil
}

// Run runs the callers until the context ends.
func (w *Workload) Run(ctx context.Context) {
	var group errgroup.Group
	for n := range w.load.Callers {
		group.Go(func() error {
			c := &caller{w: w, id: int64(n) + 1, r: rand.New(rand.NewPCG(w.load.Seed, uint64(n)))}
			c.run(ctx)
			return nil
		})
	}
	_ = group.Wait()
}

// caller is one caller of a workload.
type caller struct {
	w  *Workload
	id int64
	r  *rand.Rand

	group    bbrtype.GroupName
	instance int
	conn     *pgx.Conn
	token    string
	// last is the caller's last acknowledged write. Its row must be seen.
	last int64
}

func (c *caller) run(ctx context.Context) {
	groups := c.w.s.Groups()
	c.group = groups[int(c.id)%len(groups)]
	c.instance = c.pickInstance()
	defer c.close()
	due := time.Now()
	for ctx.Err() == nil {
		if c.w.load.Rate > 0 {
			gap := c.r.ExpFloat64() * float64(c.w.load.Callers) / c.w.load.Rate
			due = due.Add(time.Duration(gap * float64(time.Second)))
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(due)):
			}
		} else {
			due = time.Now()
		}
		c.step(ctx, due)
	}
}

func (c *caller) pickInstance() int {
	if only := c.w.load.Instances; len(only) > 0 {
		return only[c.r.IntN(len(only))]
	}
	return c.r.IntN(c.w.s.Instances())
}

func (c *caller) close() {
	if c.conn != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = c.conn.Close(ctx)
		cancel()
		c.conn = nil
	}
}

// step runs one operation that was due at a time.
func (c *caller) step(ctx context.Context, due time.Time) {
	if c.conn != nil && c.r.Float64() < c.w.load.MoveShare {
		c.move()
	}
	if c.conn == nil && !c.connect(ctx) {
		return
	}
	octx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	c.w.statements.Add(1)
	op := OperationView
	var err error
	switch x := c.r.Float64(); {
	case x < c.w.load.WriteShare:
		op = OperationWrite
		err = c.write(octx)
	case c.last != 0 && c.r.Float64() < c.w.load.OwnShare:
		op = OperationOwn
		err = c.readOwn(octx)
	default:
		err = c.readView(octx)
	}
	if err == nil {
		c.w.record(op, time.Since(due))
		return
	}
	c.failed(op, err)
}

// move leaves the instance for another one.
func (c *caller) move() {
	c.token = c.conn.PgConn().ParameterStatus("bbr.token")
	c.close()
	c.instance = c.pickInstance()
	if c.r.Float64() >= c.w.load.TokenShare {
		c.token = ""
	}
}

// connect connects to the caller's instance, or to another one.
func (c *caller) connect(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	name := c.w.load.Caller
	if name == "" {
		name = []string{"staff", "public"}[c.id%2]
	}
	before := time.Now()
	conn, err := c.dial(ctx, name)
	c.w.record(OperationConnect, time.Since(before))
	if err != nil {
		c.w.fail("connect", err)
		c.instance = c.pickInstance()
		time.Sleep(reconnectPause)
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) dial(ctx context.Context, name string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(c.w.s.URL(c.instance, name, c.group))
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		cfg.RuntimeParams["bbr.token"] = c.token
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// write inserts a row with an id of its own.
func (c *caller) write(ctx context.Context) error {
	a := attempt{id: c.w.nextID.Add(1), group: c.group, keyed: c.r.Float64() < c.w.load.KeyedShare}
	prefix := ""
	if a.keyed {
		prefix = fmt.Sprintf("/* bbr requestKey=k%d */ ", a.id)
	}
	_, err := c.conn.Exec(ctx, fmt.Sprintf("%sINSERT INTO payments (id, caller, amount) VALUES (%d, %d, 1)", prefix, a.id, c.id))
	a.outcome = outcomeOf(err)
	if a.outcome == bbroutcome.Done {
		a.ackedAt = time.Now()
		c.last = a.id
	}
	c.w.mu.Lock()
	c.w.attempts = append(c.w.attempts, a)
	c.w.mu.Unlock()
	return err
}

// readOwn looks for the caller's last acknowledged write.
func (c *caller) readOwn(ctx context.Context) error {
	var n int64
	if err := c.conn.QueryRow(ctx, "SELECT count(*) FROM payments WHERE id = $1", c.last).Scan(&n); err != nil {
		return err
	}
	if n == 0 {
		c.w.stale.Add(1)
		c.w.example("stale read", fmt.Errorf("caller %d did not see its write %d", c.id, c.last))
	}
	return nil
}

// readView reads what somebody else may have written.
func (c *caller) readView(ctx context.Context) error {
	var last *int64
	err := c.conn.QueryRow(ctx, "SELECT last FROM balances WHERE caller = $1", c.r.Int64N(1000)).Scan(&last)
	if errors.Is(err, pgx.ErrNoRows) {
		return nil
	}
	return err
}

// failed notes an error and decides whether the connection can stay.
func (c *caller) failed(op Operation, err error) {
	var pe *pgconn.PgError
	if errors.As(err, &pe) && pe.Code == bbroutcome.New(bbroutcome.ReasonPositionLost, "").SQLState() {
		// The caller was told that it may miss what it has seen.
		c.last, c.token = 0, ""
		c.w.lostTokens.Add(1)
	}
	c.w.fail(string(op), err)
	if c.conn.IsClosed() || pe == nil {
		c.token = c.conn.PgConn().ParameterStatus("bbr.token")
		c.close()
		c.instance = c.pickInstance()
		return
	}
	c.token = c.conn.PgConn().ParameterStatus("bbr.token")
}

// outcomeOf tells what an error says about a write.
func outcomeOf(err error) bbroutcome.Outcome {
	if err == nil {
		return bbroutcome.Done
	}
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		return bbroutcome.Unknown
	}
	for _, d := range bbroutcome.Reasons() {
		if d.SQLState == pe.Code && pe.Detail == "outcome: "+string(d.Outcome) {
			return d.Outcome
		}
	}
	// An error of the member: it rolled the statement back.
	return bbroutcome.NotRun
}

func (w *Workload) record(op Operation, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.latency[op].RecordValue(min(max(took.Microseconds(), histogramLow), histogramHigh))
}

// maxExamples bounds the kept examples of what went wrong.
const maxExamples = 20

func (w *Workload) fail(what string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var pe *pgconn.PgError
	key := what + " connection"
	if errors.As(err, &pe) {
		key = what + " " + pe.Code
	}
	w.failures[key]++
}

func (w *Workload) example(what string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.examples) < maxExamples {
		w.examples = append(w.examples, what+": "+err.Error())
	}
}
