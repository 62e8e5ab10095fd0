package bbrbench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrtrial"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Throughput is the result of a measurement of one instance before members that
// answer at once.
type Throughput struct {
	Machine   Machine `json:"machine"`
	Cores     int     `json:"cores"`
	Callers   int     `json:"callers"`
	PerSecond float64 `json:"perSecond"`
	// DirectUs and ProxyUs are median round trips of a single caller, in
	// microseconds, to a member directly and through the instance.
	DirectUs float64 `json:"directUs"`
	ProxyUs  float64 `json:"proxyUs"`
	P99Us    float64 `json:"p99Us"`
}

// AddedUs is what the instance adds to the median round trip.
func (t *Throughput) AddedUs() float64 { return t.ProxyUs - t.DirectUs }

const (
	throughputGroup bbrtype.GroupName = "orders"
	throughputText                    = "SELECT last FROM balances WHERE caller = 7"
	roundTrips                        = 20000
)

func throughputCommand(programs bbrtrial.Programs) *cli.Command {
	return &cli.Command{
		Name:  "throughput",
		Usage: "measure one instance before members that answer at once",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "callers", Value: 64},
			&cli.IntFlag{Name: "cores", Value: 2, Usage: "cores of the instance"},
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Second},
			&cli.BoolFlag{Name: "verbose", Usage: "show the instance's log"},
			&cli.StringFlag{Name: "profile", Usage: "`FILE` for a processor profile of the instance under load"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			t, err := MeasureThroughput(ctx, programs, cmd.Int("callers"), cmd.Int("cores"), cmd.Duration("duration"), cmd.Bool("verbose"), cmd.String("profile"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "%.0f statements/s through one instance on %d cores, %d callers\nmedian round trip: direct %.0f us, through the instance %.0f us (+%.0f us), p99 %.0f us\n",
				t.PerSecond, t.Cores, t.Callers, t.DirectUs, t.ProxyUs, t.AddedUs(), t.P99Us)
			return err
		},
	}
}

// MeasureThroughput starts one instance before canned members and loads it.
func MeasureThroughput(ctx context.Context, programs bbrtrial.Programs, callers, cores int, d time.Duration, verbose bool, profile string) (*Throughput, error) {
	s := bbrtrial.Small()
	s.Instances, s.Slots, s.Connections, s.Cores, s.Canned = 1, 256, 300, cores, true
	if verbose {
		s.Stderr = os.Stderr
	}
	f, err := bbrtrial.NewProcessFleet(ctx, s, programs)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t := &Throughput{Machine: thisMachine(), Cores: cores, Callers: callers}
	members := f.Members(throughputGroup)
	if t.DirectUs, _, err = roundTrip(ctx, "postgres://x:x@"+members[1].Address()+"/orders?sslmode=disable"); err != nil {
		return nil, err
	}
	url := f.URL(0, "staff", throughputGroup)
	if t.ProxyUs, t.P99Us, err = roundTrip(ctx, url); err != nil {
		return nil, err
	}
	var group errgroup.Group
	if profile != "" {
		group.Go(func() error { return saveProfile(f.ControlAddress(0), d, profile) })
	}
	if t.PerSecond, err = saturate(ctx, url, callers, d); err != nil {
		return nil, err
	}
	return t, group.Wait()
}

// saveProfile takes a processor profile of an instance.
func saveProfile(control string, d time.Duration, file string) error {
	resp, err := http.Get(fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", control, int(d.Seconds())))
	if err != nil {
		return errors.Wrap(err, "take a profile")
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "save the profile")
	}
	defer func() { _ = out.Close() }()
	_, err = io.Copy(out, resp.Body)
	return errors.Wrap(err, "save the profile")
}

// client sends the same statement again and again.
type client struct {
	conn net.Conn
	fe   *pgproto3.Frontend
	text []byte
}

func newClient(ctx context.Context, url string) (*client, error) {
	pc, err := pgconn.Connect(ctx, url)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "take over the connection")
	}
	c := &client{conn: h.Conn, fe: pgproto3.NewFrontend(h.Conn, h.Conn)}
	c.text, err = (&pgproto3.Query{String: throughputText}).Encode(nil)
	return c, err
}

// ask sends the statement and reads its answer.
func (c *client) ask() error {
	if _, err := c.conn.Write(c.text); err != nil {
		return err
	}
	for {
		msg, err := c.fe.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.ErrorResponse:
			return errors.Errorf("%s: %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// roundTrip measures a single caller's round trips.
func roundTrip(ctx context.Context, url string) (medianUs, p99Us float64, err error) {
	c, err := newClient(ctx, url)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.conn.Close() }()
	took := make([]time.Duration, 0, roundTrips)
	for range roundTrips {
		before := time.Now()
		if err := c.ask(); err != nil {
			return 0, 0, errors.Wrap(err, "ask")
		}
		took = append(took, time.Since(before))
	}
	slices.Sort(took)
	us := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
	return us(took[len(took)/2]), us(took[len(took)*99/100]), nil
}

// saturate lets many callers ask as fast as they can.
func saturate(ctx context.Context, url string, callers int, d time.Duration) (float64, error) {
	var group errgroup.Group
	var mu sync.Mutex
	total := 0
	until := time.Now().Add(d)
	for range callers {
		group.Go(func() error {
			c, err := newClient(ctx, url)
			if err != nil {
				return err
			}
			defer func() { _ = c.conn.Close() }()
			n := 0
			for time.Now().Before(until) {
				if err := c.ask(); err != nil {
					return errors.Wrap(err, "ask")
				}
				n++
			}
			mu.Lock()
			total += n
			mu.Unlock()
			return nil
		})
	}
	err := group.Wait()
	return float64(total) / d.Seconds(), err
}
