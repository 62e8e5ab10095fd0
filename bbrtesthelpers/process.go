package bbrtesthelpers

import (
	"bufio"
	"bytes"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// startTimeout bounds the start of a process.
const startTimeout = 30 * time.Second

// Process is a program under test. It is killed when the test ends.
type Process struct {
	t    *testing.T
	Name string
	cmd  *exec.Cmd

	// Fields are the words of the line that the program prints when it is up.
	Fields []string

	mu     sync.Mutex
	output bytes.Buffer
	done   chan struct{}
	code   int
}

// Start runs a program and waits for its first line.
func Start(t *testing.T, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, Name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	t.Cleanup(p.cleanUp)
	lines := make(chan string, 1)
	first := sync.Once{}
	Go(func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			first.Do(func() { lines <- scanner.Text() })
			_, _ = p.Write(append(scanner.Bytes(), '\n'))
		}
		_ = p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.done)
	})
	select {
	case line := <-lines:
		p.Fields = strings.Fields(line)
	case <-p.done:
		t.Fatalf("%s ended at once:\n%s", name, p.Log())
	case <-time.After(startTimeout):
		t.Fatalf("%s did not start in time:\n%s", name, p.Log())
	}
	return p
}

// Field returns the word after a key in the program's first line.
func (p *Process) Field(key string) string {
	for i := 0; i+1 < len(p.Fields); i++ {
		if p.Fields[i] == key {
			return p.Fields[i+1]
		}
	}
	p.t.Fatalf("%s printed no %q: %v", p.Name, key, p.Fields)
	return ""
}

// Write takes the program's log.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

// Log returns what the program has logged.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// HasEnded reports whether the program has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the number of the program's process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Kill ends the program as kill -9 does.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause and Resume stop the program and let it go on.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume lets a paused program go on.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Terminate asks the program to end and returns its exit code.
func (p *Process) Terminate() int {
	p.Signal(syscall.SIGTERM)
	return p.Wait()
}

// Wait waits for the program's end and returns its exit code.
func (p *Process) Wait() int {
	<-p.done
	return p.code
}

func (p *Process) cleanUp() {
	p.Resume()
	p.Signal(syscall.SIGKILL)
	<-p.done
	if p.t.Failed() && os.Getenv("BBR_TEST_LOGS") != "" {
		p.t.Logf("log of %s:\n%s", p.Name, p.Log())
	}
}
