package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// program is the program under review, as the deploy file runs it in the repository's root.
const program = "target/bbrnode"

// run is a statement that a member has run.
type run struct {
	member string
	// at is the newest commit that the member's log had for the statement.
	at   commit
	when time.Time
}

// answer is a request of a consumer and what came of it.
type answer struct {
	id, instance, database, text, outcome string
	sentAt, answeredAt                    time.Time
}

// trial is one run of a case.
type trial struct {
	began  time.Time
	folder string
	ended  chan struct{}
	work   errgroup.Group
	// loops are the consumers' loops, which end once stopped is set.
	loops   sync.WaitGroup
	stopped atomic.Bool

	mu     sync.Mutex
	record *bufio.Writer
	runs   map[string][]run
	// arrivals is when a member first received a request.
	arrivals  map[string]time.Time
	answers   []answer
	processes []*process
}

// newTrial begins a case, whose record goes to a file.
func newTrial(file string) (*trial, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	t := &trial{began: time.Now(), folder: folder, ended: make(chan struct{}), record: bufio.NewWriter(f), runs: map[string][]run{}, arrivals: map[string]time.Time{}}
	t.work.Go(t.endEarly)
	return t, nil
}

// timeLimit is how long a case may run.
const timeLimit = 110 * time.Second

// endEarly ends a case that takes too long, or that is to stop.
func (t *trial) endEarly() error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case <-t.ended:
		return nil
	case <-stop:
	case <-time.After(timeLimit):
	}
	t.note("the case is ended early")
	t.end()
	os.Exit(2)
	return nil
}

// cannotRun ends a case that could not run.
type cannotRun struct{ err error }

// must ends the case if it cannot run.
func (t *trial) must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

func (t *trial) running() bool {
	select {
	case <-t.ended:
		return false
	default:
		return true
	}
}

// end ends all processes and the record.
func (t *trial) end() {
	t.mu.Lock()
	processes := append([]*process(nil), t.processes...)
	t.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, p := range processes {
		for end := time.Now().Add(5 * time.Second); !p.hasEnded() && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
	}
	close(t.ended)
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.record.Flush()
	_ = os.RemoveAll(t.folder)
}

// note adds a line to the record.
func (t *trial) note(format string, args ...any) {
	t.noteAt(time.Now(), format, args...)
}

func (t *trial) noteAt(at time.Time, format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", at.Sub(t.began).Seconds(), fmt.Sprintf(format, args...))
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = t.record.WriteString(line)
}

// ran records that a member has run a statement.
func (t *trial) ran(id, member string, at commit) {
	if id == "-" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id] = append(t.runs[id], run{member: member, at: at, when: time.Now()})
}

// arrived records that a member has received a request.
func (t *trial) arrived(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.arrivals[id]; !ok {
		t.arrivals[id] = time.Now()
	}
}

// loopbackIPs returns n loopback addresses on which the fixed port of the metrics is free.
func (t *trial) loopbackIPs(n int) []string {
	base := os.Getpid()
	var out []string
	for i := 0; len(out) < n; i++ {
		if i > 2000 {
			t.must(fmt.Errorf("no %d free loopback addresses", n))
		}
		x := base + i*7
		ip := fmt.Sprintf("127.%d.%d.%d", 20+x/40000%200, x/200%200+1, x%200+2)
		l, err := net.Listen("tcp", ip+":9464")
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, ip)
	}
	return out
}

// freeAddress returns an address with a port that is free at an IP.
func (t *trial) freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	t.must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// process is an instance under review.
type process struct {
	name, zone, callers, ready, peers string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended bool
}

// placeholder is a field of the deploy file's template of the settings.
var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)

// deployment is the machines and the services of a small deployment.
type deployment struct {
	zones    []string
	store    func(instance int) string
	promoter func(instance int) string
	bounds   map[string]string
}

// startInstances starts an instance in each zone with the deploy file's command and its
// template of the settings, and waits until all are ready.
func (t *trial) startInstances(d deployment) []*process {
	template, err := os.ReadFile("deploy/settings.ini")
	t.must(err)
	ips := t.loopbackIPs(len(d.zones))
	var all []*process
	for i, zone := range d.zones {
		ip := ips[i]
		all = append(all, &process{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, callers: t.freeAddress(ip), ready: t.freeAddress(ip), peers: t.freeAddress(ip)})
	}
	var seeds []string
	for _, p := range all[:min(3, len(all))] {
		seeds = append(seeds, p.peers)
	}
	for i, p := range all {
		fields := map[string]string{
			"node": p.name, "zone": p.zone, "ip": ips[i], "listen.front": p.callers, "listen.ready": p.ready, "listen.control": p.peers,
			"seeds": strings.Join(seeds, ","), "platform.address": d.store(i), "cloud_api.address": d.promoter(i),
		}
		for k, v := range d.bounds {
			fields["bounds."+k] = v
		}
		text := placeholder.ReplaceAllStringFunc(string(template), func(s string) string { return fields[s[2:len(s)-2]] })
		file := filepath.Join(t.folder, p.name+".ini")
		t.must(os.WriteFile(file, []byte(text), 0o600))
		log, err := os.Create(filepath.Join(t.folder, p.name+".log"))
		t.must(err)
		p.cmd = exec.Command(program, "serve")
		p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + t.folder, "BLUEBELLROUTE_NODE_FILE=" + file, "GOGC=60"}
		p.cmd.Stdout, p.cmd.Stderr = log, log
		t.must(p.cmd.Start())
		t.mu.Lock()
		t.processes = append(t.processes, p)
		t.mu.Unlock()
		t.note("%s starts as process %d in %s, callers at %s", p.name, p.cmd.Process.Pid, p.zone, p.callers)
		t.work.Go(func() error {
			_ = p.cmd.Wait()
			p.mu.Lock()
			p.ended = true
			p.mu.Unlock()
			t.note("%s has ended", p.name)
			return nil
		})
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range all {
			if p.isReady() {
				ready++
			}
		}
		if ready == len(all) {
			t.note("all instances are ready")
			return all
		}
		if time.Now().After(end) {
			t.must(fmt.Errorf("%d of %d instances are ready", ready, len(all)))
		}
	}
}

// isReady asks as the platform's balancer does.
func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + p.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended && p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() { p.signal(syscall.SIGKILL) }

func (p *process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// consumer is a session of a consumer.
type consumer struct {
	t        *trial
	instance *process
	database string
	conn     net.Conn
	r        *bufio.Reader
	name     string
	n        int
	// state is the transaction's state in the last answer.
	state string
}

// answerTimeout is how long a consumer waits for an answer, beyond all route timeouts.
const answerTimeout = 8 * time.Second

// connect opens a session, nil if it is refused.
func (t *trial) connect(p *process, database, name string) *consumer {
	conn, err := net.DialTimeout("tcp", p.callers, 2*time.Second)
	if err != nil {
		return nil
	}
	c := &consumer{t: t, instance: p, database: database, conn: conn, r: bufio.NewReader(conn), name: name}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, name); err == nil {
		var line string
		if line, err = c.r.ReadString('\n'); err == nil && strings.HasPrefix(line, "READY") {
			return c
		}
	}
	_ = conn.Close()
	return nil
}

// lost is the outcome of a request without a complete answer.
const lost = "LOST"

// query sends a request and returns its answer.
func (c *consumer) query(text string) answer {
	c.n++
	a := answer{id: fmt.Sprintf("%s.%d", c.name, c.n), instance: c.instance.name, database: c.database, text: text, sentAt: time.Now(), outcome: lost}
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	_, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text)
	outcome := ""
	for err == nil {
		var line string
		if line, err = c.r.ReadString('\n'); err != nil {
			break
		}
		line = strings.TrimRight(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "COMPLETE":
			outcome = "COMPLETE " + rest
		case "ERROR":
			outcome = "ERROR " + rest
		case "READY":
			c.state, _, _ = strings.Cut(rest, " ")
			a.outcome = outcome
			err = errDone
		}
	}
	a.answeredAt = time.Now()
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	c.t.answers = append(c.t.answers, a)
	return a
}

// errDone ends the reading of an answer.
var errDone = fmt.Errorf("the answer is complete")

func (a answer) succeeded() bool { return strings.HasPrefix(a.outcome, "COMPLETE sig.") }

func (c *consumer) close() { _ = c.conn.Close() }

// writeAnswers adds the requests, their answers and their runs to the record.
func (t *trial) writeAnswers() {
	t.mu.Lock()
	answers := append([]answer(nil), t.answers...)
	t.mu.Unlock()
	for _, a := range answers {
		t.mu.Lock()
		runs := append([]run(nil), t.runs[a.id]...)
		arrived, passedOn := t.arrivals[a.id]
		t.mu.Unlock()
		var ran []string
		if passedOn {
			ran = append(ran, fmt.Sprintf("passed on to a member %.3f", arrived.Sub(t.began).Seconds()))
		}
		for _, r := range runs {
			ran = append(ran, fmt.Sprintf("run at %s %.3f on log %s", r.member, r.when.Sub(t.began).Seconds(), r.at.place()))
		}
		t.noteAt(a.sentAt, "%s to %s %s: %q answered %.3f %q; %s", a.id, a.instance, a.database, a.text, a.answeredAt.Sub(t.began).Seconds(), a.outcome, strings.Join(ran, "; "))
	}
}

// outcomes counts the answers by their first words.
func (t *trial) outcomes() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for _, a := range t.answers {
		word := a.outcome
		if f := strings.Fields(a.outcome); len(f) > 1 && f[0] == "ERROR" {
			word = f[0] + " " + f[1]
		} else if len(f) > 0 {
			word = f[0]
		}
		out[word]++
	}
	return out
}

// route is a route of the manifest.
type route struct {
	host, kind, service  string
	timeoutMs, sloMs, st int
}

// manifest returns a version of the operator's document.
func manifest(version int, routes []route, services []string, maxConnections int) map[string]any {
	var rs, ss []map[string]any
	for i, r := range routes {
		entry := map[string]any{
			"name": "r-" + strconv.Itoa(i), "host": r.host, "prefix": "/", "type": r.kind, "timeout_ms": r.timeoutMs,
			"slo_ms": r.sloMs, "priority": 1, "service": r.service, "max_attempts": 2,
		}
		if r.st > 0 {
			entry["max_stale_ms"] = r.st
		}
		rs = append(rs, entry)
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "health_path": "/health", "max_conns": maxConnections, "protocol": "h1", "tls": false, "sync_replicas": 1})
	}
	return map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_ms": 3000, "idle_ms": 15000, "tx_idle_ms": 3000},
	}
}

// loop lets a consumer repeat a request, with a pause after each answer, until stopLoops. A
// text with %d gets a number. A session that ends is opened again.
func (t *trial) loop(p *process, database, name, text string, pause time.Duration) {
	t.loops.Add(1)
	t.work.Go(func() error {
		defer t.loops.Done()
		var c *consumer
		for n, session := 0, 0; !t.stopped.Load(); n++ {
			if c == nil {
				session++
				if c = t.connect(p, database, fmt.Sprintf("%s.%d", name, session)); c == nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
			}
			if a := c.query(fmt.Sprintf(text, n)); a.outcome == lost {
				c.close()
				c = nil
			}
			time.Sleep(pause)
		}
		if c != nil {
			c.close()
		}
		return nil
	})
}

// stopLoops ends the loops and waits for them.
func (t *trial) stopLoops() {
	t.stopped.Store(true)
	t.loops.Wait()
}
