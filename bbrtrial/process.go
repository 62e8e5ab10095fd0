package bbrtrial

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrstandindb"
	"github.com/bluebellroute/bluebellroute/bbrstandinplatform"
	"github.com/bluebellroute/bluebellroute/bbrstatus"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Programs tells how the processes of a fleet are started: the beginning of
// each command line.
type Programs struct {
	Instance []string
	Standin  []string
}

// child is a process of a fleet.
type child struct {
	cmd    *exec.Cmd
	fields []string
	done   chan struct{}
}

// field returns the word after a key in the process's first line.
func (c *child) field(key string) string {
	for i := 0; i+1 < len(c.fields); i++ {
		if c.fields[i] == key {
			return c.fields[i+1]
		}
	}
	return ""
}

// ProcessMember is a stand-in database that runs as a process.
type ProcessMember struct {
	Name  bbrtype.MemberName
	child *child
	link  *Link
}

// Address returns where the member is reached.
func (m *ProcessMember) Address() string { return m.address() }

// address is where instances reach the member.
func (m *ProcessMember) address() string {
	if m.link != nil {
		return m.link.Addr()
	}
	return m.child.field("listen")
}

// Kill ends the member's process at once.
func (m *ProcessMember) Kill() { _ = m.child.cmd.Process.Kill() }

// Link returns the link before the member, nil if the shape has none.
func (m *ProcessMember) Link() *Link { return m.link }

// ProcessFleet is a fleet whose parts are processes.
type ProcessFleet struct {
	shape    Shape
	programs Programs
	dir      string
	group    errgroup.Group

	mu        sync.Mutex
	platform  *child
	instances []*child
	members   map[bbrtype.GroupName][]*ProcessMember
	// text is the configuration in force.
	text string
}

// NewProcessFleet starts a fleet and waits until it serves.
func NewProcessFleet(ctx context.Context, s Shape, p Programs) (*ProcessFleet, error) {
	dir, err := os.MkdirTemp("", "bbrtrial")
	if err != nil {
		return nil, errors.Wrap(err, "make a directory for the fleet's settings")
	}
	f := &ProcessFleet{shape: s, programs: p, dir: dir, members: map[bbrtype.GroupName][]*ProcessMember{}}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *ProcessFleet) start(ctx context.Context) error {
	var err error
	if f.platform, err = f.spawn(nil, append(f.programs.Standin[:len(f.programs.Standin):len(f.programs.Standin)], "platform")...); err != nil {
		return err
	}
	for _, g := range f.shape.Groups {
		if err := f.startGroup(g); err != nil {
			return err
		}
	}
	for n := range f.shape.Instances {
		if err := f.StartInstance(n); err != nil {
			return err
		}
	}
	if f.text, err = f.shape.ConfigText(func(g bbrtype.GroupName, n int) string { return f.members[g][n].address() }); err != nil {
		return err
	}
	if err := f.Apply(ctx, f.text); err != nil {
		return err
	}
	return f.AwaitService(ctx)
}

// startGroup starts the members of a group. The first is the primary.
func (f *ProcessFleet) startGroup(g bbrtype.GroupName) error {
	primary := ""
	for n := range f.shape.Members {
		m := &ProcessMember{Name: memberName(n)}
		if f.shape.Canned {
			if err := f.startCanned(g, m, n == 0); err != nil {
				return err
			}
			continue
		}
		args := append([]string(nil), f.programs.Standin...)
		args = append(args, "database", "--name", string(g)+"-"+string(m.Name), "--lag", f.shape.Lag.String(),
			"--max-connections", fmt.Sprint(f.shape.Connections), "--connect-delay", f.shape.ConnectDelay.String(),
			"--slots", fmt.Sprint(f.shape.Slots), "--service-time", f.shape.ServiceTime.String(),
			"--data-centre", string(f.shape.centreOfMember(n)), "--far-delay", f.shape.FarDelay.String())
		if n == 0 {
			args = append(args, "--primary")
		} else {
			args = append(args, "--follow", primary)
		}
		var err error
		if m.child, err = f.spawn(nil, args...); err != nil {
			return err
		}
		if n == 0 {
			primary = m.child.field("listen")
		}
		if f.shape.Links {
			if m.link, err = NewLink(m.child.field("listen")); err != nil {
				return err
			}
		}
		f.members[g] = append(f.members[g], m)
	}
	return nil
}

// startCanned starts a member that answers at once.
func (f *ProcessFleet) startCanned(g bbrtype.GroupName, m *ProcessMember, primary bool) error {
	args := append(f.programs.Standin[:len(f.programs.Standin):len(f.programs.Standin)], "canned")
	if primary {
		args = append(args, "--primary")
	}
	var err error
	m.child, err = f.spawn(nil, args...)
	f.members[g] = append(f.members[g], m)
	return err
}

// spawn starts a process and waits for its first line.
func (f *ProcessFleet) spawn(env []string, args ...string) (*child, error) {
	c := &child{cmd: exec.Command(args[0], args[1:]...), done: make(chan struct{})}
	c.cmd.Env = append(os.Environ(), env...)
	c.cmd.Stderr = f.shape.Stderr
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "start a process")
	}
	if err := c.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start a process")
	}
	lines := make(chan string, 1)
	f.group.Go(func() error {
		defer close(c.done)
		scanner := bufio.NewScanner(out)
		for first := true; scanner.Scan(); first = false {
			if first {
				lines <- scanner.Text()
			}
		}
		_ = c.cmd.Wait()
		return nil
	})
	select {
	case line := <-lines:
		c.fields = strings.Fields(line)
		return c, nil
	case <-time.After(startTimeout):
	case <-c.done:
	}
	_ = c.cmd.Process.Kill()
	return nil, errors.Errorf("%s did not start", strings.Join(args, " "))
}

// StartInstance starts the n-th instance, or starts it again.
func (f *ProcessFleet) StartInstance(n int) error {
	file := filepath.Join(f.dir, fmt.Sprintf("i%d.ini", n+1))
	text := f.shape.settingsText(n, f.platform.field("listen"))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write the settings of an instance")
	}
	var env []string
	if f.shape.Cores > 0 {
		env = append(env, fmt.Sprintf("GOMAXPROCS=%d", f.shape.Cores))
	}
	c, err := f.spawn(env, append(f.programs.Instance[:len(f.programs.Instance):len(f.programs.Instance)], "serve", "--settings", file)...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.instances) <= n {
		f.instances = append(f.instances, nil)
	}
	f.instances[n] = c
	return nil
}

// RestartInstance stops an instance in order and starts it again. It returns
// the stopped process's exit code.
func (f *ProcessFleet) RestartInstance(n int) (int, error) {
	c := f.instance(n)
	if err := c.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, errors.Wrap(err, "stop an instance")
	}
	<-c.done
	return c.cmd.ProcessState.ExitCode(), f.StartInstance(n)
}

// KillInstance ends an instance at once.
func (f *ProcessFleet) KillInstance(n int) { _ = f.instance(n).cmd.Process.Kill() }

func (f *ProcessFleet) instance(n int) *child {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[n]
}

// Apply puts a configuration in force.
func (f *ProcessFleet) Apply(ctx context.Context, text string) error {
	file := filepath.Join(f.dir, "fleet.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write a configuration")
	}
	for {
		args := append(f.programs.Instance[1:len(f.programs.Instance):len(f.programs.Instance)], "apply", "--wait", "--control", f.instance(0).field("control"), file)
		cmd := exec.CommandContext(ctx, f.programs.Instance[0], args...)
		cmd.Env = append(os.Environ(), "BLUEBELLROUTE_KEY="+trialKey)
		out, err := cmd.CombinedOutput()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("apply: %v: %s", err, out)
		}
		time.Sleep(reconnectPause)
	}
}

// Text returns the configuration that the fleet was started with.
func (f *ProcessFleet) Text() string { return f.text }

// Status returns an instance's report.
func (f *ProcessFleet) Status(n int) (*bbrstatus.Report, error) {
	var r bbrstatus.Report
	return &r, getJSON("http://"+f.instance(n).field("control")+"/status.json", &r)
}

// getJSON reads a document.
func getJSON(url string, v any) error {
	client := http.Client{Timeout: operationTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(v)
}

// AwaitService waits until all instances serve all groups.
func (f *ProcessFleet) AwaitService(ctx context.Context) error {
	for {
		err := f.notServing()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrap(err, "the fleet is not in service in time")
		}
		time.Sleep(reconnectPause)
	}
}

func (f *ProcessFleet) notServing() error {
	for n := range f.shape.Instances {
		r, err := f.Status(n)
		if err != nil {
			return err
		}
		if len(r.Groups) != len(f.shape.Groups) || len(r.Instances) < f.shape.Instances || len(r.Stewards) == 0 {
			return errors.Errorf("instance %d knows %d groups and %d instances", n+1, len(r.Groups), len(r.Instances))
		}
		for _, g := range r.Groups {
			if g.Verdict != bbrstatus.VerdictOK || g.Replicas < f.shape.Members-1 {
				return errors.Errorf("instance %d says of group %s: %s, %s, %d replicas", n+1, g.Name, g.Verdict, g.Cause, g.Replicas)
			}
			for _, m := range g.Members {
				if m.Granted == 0 {
					return errors.Errorf("instance %d has no connections to %s/%s", n+1, g.Name, m.Name)
				}
			}
		}
	}
	return nil
}

// Groups implements System.
func (f *ProcessFleet) Groups() []bbrtype.GroupName { return f.shape.Groups }

// Instances implements System.
func (f *ProcessFleet) Instances() int { return f.shape.Instances }

// URL implements System.
func (f *ProcessFleet) URL(n int, caller string, g bbrtype.GroupName) string {
	return callerURL(f.instance(n).field("callers"), caller, g)
}

// Primary returns the member that the instances call a group's primary.
func (f *ProcessFleet) Primary(g bbrtype.GroupName) (*ProcessMember, error) {
	var best bbrstatus.Group
	for n := range f.shape.Instances {
		r, err := f.Status(n)
		if err != nil {
			continue
		}
		for _, group := range r.Groups {
			if group.Name == g && group.Primary != "" && group.Term >= best.Term {
				best = group
			}
		}
	}
	for _, m := range f.members[g] {
		if m.Name == best.Primary {
			return m, nil
		}
	}
	return nil, errors.Errorf("no instance knows a primary of %s", g)
}

// SurvivingLog implements System.
func (f *ProcessFleet) SurvivingLog(g bbrtype.GroupName) ([]bbrstandindb.LogEntry, error) {
	m, err := f.Primary(g)
	if err != nil {
		return nil, err
	}
	var log []bbrstandindb.LogEntry
	return log, getJSON("http://"+m.child.field("control")+"/log", &log)
}

// memberNumbers are what a stand-in counts.
type memberNumbers struct {
	PeakConnections int   `json:"peakConnections"`
	ReadsAsPrimary  int64 `json:"readsAsPrimary"`
	ReadsAsReplica  int64 `json:"readsAsReplica"`
}

// numbers collects the counts of all members that answer.
func (f *ProcessFleet) numbers() []memberNumbers {
	var out []memberNumbers
	for _, members := range f.members {
		for _, m := range members {
			var n memberNumbers
			if getJSON("http://"+m.child.field("control")+"/state", &n) == nil {
				out = append(out, n)
			}
		}
	}
	return out
}

// Reads implements System. What a killed member has served is not counted.
func (f *ProcessFleet) Reads() (primary, replica int64) {
	for _, n := range f.numbers() {
		primary += n.ReadsAsPrimary
		replica += n.ReadsAsReplica
	}
	return primary, replica
}

// PeakConnections implements System.
func (f *ProcessFleet) PeakConnections() int {
	peak := 0
	for _, n := range f.numbers() {
		peak = max(peak, n.PeakConnections)
	}
	return peak
}

// Members returns a group's members.
func (f *ProcessFleet) Members(g bbrtype.GroupName) []*ProcessMember { return f.members[g] }

// SetLag changes the delay of replay of all members of a group.
func (f *ProcessFleet) SetLag(g bbrtype.GroupName, lag time.Duration) {
	for _, m := range f.members[g] {
		resp, err := http.Post("http://"+m.child.field("control")+"/lag?lag="+lag.String(), "", nil)
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

// Fault begins or ends a fault of the platform.
func (f *ProcessFleet) Fault(fault bbrstandinplatform.Fault) error {
	b, err := json.Marshal(fault)
	if err != nil {
		return errors.Wrap(err, "encode a fault")
	}
	resp, err := http.Post("http://"+f.platform.field("listen")+"/standin/fault", "application/json", strings.NewReader(string(b)))
	if err != nil {
		return errors.Wrap(err, "switch a fault")
	}
	return resp.Body.Close()
}

// ControlAddress returns the address of an instance's control port.
func (f *ProcessFleet) ControlAddress(n int) string { return f.instance(n).field("control") }

// PID returns the id of an instance's process.
func (f *ProcessFleet) PID(n int) int { return f.instance(n).cmd.Process.Pid }

// Close ends all processes.
func (f *ProcessFleet) Close() {
	children := append([]*child(nil), f.instances...)
	for _, members := range f.members {
		for _, m := range members {
			children = append(children, m.child)
			if m.link != nil {
				m.link.Close()
			}
		}
	}
	for _, c := range append(children, f.platform) {
		if c != nil {
			_ = c.cmd.Process.Kill()
			<-c.done
		}
	}
	_ = f.group.Wait()
	_ = os.RemoveAll(f.dir)
}
