package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the small deployment tvmwp-route.
const (
	graceSeconds     = 6
	applyMs          = 3000
	drainMs          = 7000
	stableWindowMs   = 4000
	memoryMb         = 284
	descriptors      = 4200
	statementTimeout = 2000
	maxStaleMs       = 1500
)

// instance is a process of the deploy file's program, or the place where one was.
type instance struct {
	name, zone                     string
	callers, ready, metrics, peers string
	store, promoter                string
	dir                            string

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{}
	startedAt time.Time
}

// freeAddresses returns addresses that nobody listens on.
func freeAddresses(host string, n int) ([]string, error) {
	var held []net.Listener
	var out []string
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// newInstances prepares instances, each at an address of its own, one in each zone by turns.
func newInstances(dir string, n int, store, promoter string) ([]*instance, error) {
	zones := append(slices.Clone(zones), "loughborough-store")
	var out []*instance
	for k := range n {
		host := fmt.Sprintf("127.%d.%d.%d", 40+os.Getpid()%60, 1+os.Getpid()/60%200, k+1)
		a, err := freeAddresses(host, 4)
		if err != nil {
			return nil, err
		}
		out = append(out, &instance{
			name: fmt.Sprintf("front-%s-%d", zones[k%len(zones)], 1+k/len(zones)), zone: zones[k%len(zones)],
			callers: a[0], ready: a[1], metrics: a[2], peers: a[3], store: store, promoter: promoter, dir: dir,
		})
	}
	return out, nil
}

// settings returns the settings as the platform makes them from deploy/settings.ini.
func (i *instance) settings(seeds []string) (string, error) {
	b, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return "", err
	}
	// Addresses of the stand-in take the place of those that the machine would have.
	text := strings.ReplaceAll(string(b), "{{ip}}:9464", i.metrics)
	for name, value := range map[string]string{
		"node": i.name, "zone": i.zone, "bounds.grace_s": strconv.Itoa(graceSeconds),
		"listen.front": i.callers, "listen.ready": i.ready, "listen.control": i.peers, "seeds": strings.Join(seeds, ","),
		"platform.address": i.store, "cloud_api.address": i.promoter,
		"bounds.apply_ms": strconv.Itoa(applyMs), "bounds.drain_ms": strconv.Itoa(drainMs),
		"limits.memory_mb": strconv.Itoa(memoryMb), "limits.max_fds": strconv.Itoa(descriptors),
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template of the settings has a field that the stand-in does not know:\n%s", text)
	}
	return text, nil
}

// start starts the process with the deploy file's command.
func (i *instance) start(seeds []string) error {
	text, err := i.settings(seeds)
	if err != nil {
		return err
	}
	file := filepath.Join(i.dir, i.name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/bbrnode", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GOGC=60", "BLUEBELLROUTE_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	var wait errgroup.Group
	wait.Go(func() error {
		defer close(done)
		defer func() { _ = log.Close() }()
		return cmd.Wait()
	})
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd, i.done, i.startedAt = cmd, done, time.Now()
	return nil
}

// running returns the process, and a channel that is closed at its end.
func (i *instance) running() (*os.Process, chan struct{}, time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return nil, nil, time.Time{}
	}
	return i.cmd.Process, i.done, i.startedAt
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	if p, _, _ := i.running(); p != nil {
		_ = p.Signal(s)
	}
}

// kill ends the process and waits for that.
func (i *instance) kill() {
	if p, done, _ := i.running(); p != nil {
		_ = p.Signal(syscall.SIGKILL)
		<-done
	}
}

// isReady reports whether the instance takes callers.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + i.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until the instance takes callers.
func (i *instance) awaitReady(patience time.Duration) error {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if i.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", i.name)
}

// residentMb returns the memory that the process holds, 0 if it is not known.
func (i *instance) residentMb() int {
	p, _, _ := i.running()
	if p == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// seedsOf returns the addresses of at most three instances.
func seedsOf(all []*instance) []string {
	var out []string
	for _, i := range all[:min(3, len(all))] {
		out = append(out, i.peers)
	}
	return out
}
