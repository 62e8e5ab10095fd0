package bbrsoak

import (
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Strikes remembers what ends each fault that has begun. The zero value is empty.
type Strikes struct {
	mu   sync.Mutex
	ends map[Fault]func() error
}

// Begin lets a fault begin and keeps what ends it.
func (s *Strikes) Begin(f Fault, begin func(Fault) (end func() error, err error)) error {
	end, err := begin(f)
	if err != nil || end == nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends == nil {
		s.ends = map[Fault]func() error{}
	}
	s.ends[f] = end
	return nil
}

// End ends a fault. One that found nothing to strike needs no end.
func (s *Strikes) End(f Fault) error {
	s.mu.Lock()
	end := s.ends[f]
	delete(s.ends, f)
	s.mu.Unlock()
	if end == nil {
		return nil
	}
	return end()
}

// Process is a process of a fleet.
type Process struct {
	Cmd *exec.Cmd
	// Done is closed when it has ended.
	Done <-chan struct{}
}

// Signal sends a signal, unless the process has ended.
func (p Process) Signal(s syscall.Signal) {
	if !p.HasEnded() {
		_ = p.Cmd.Process.Signal(s)
	}
}

// HasEnded reports whether the process has ended.
func (p Process) HasEnded() bool {
	select {
	case <-p.Done:
		return true
	default:
		return false
	}
}

// Instance is a place in a fleet where one process after another runs.
type Instance interface {
	// Process returns the process that runs there, or the last one that did.
	Process() Process
	// Start starts another one.
	Start() error
}

// StrikeDown ends the processes of instances by a signal, after a patience by
// SIGKILL. What it returns waits until they have ended and starts others, unless
// another fault has done so.
func StrikeDown(s syscall.Signal, patience time.Duration, instances ...Instance) (end func() error) {
	struck := make([]Process, len(instances))
	for n, i := range instances {
		struck[n] = i.Process()
		struck[n].Signal(s)
	}
	return func() error {
		for n, i := range instances {
			struck[n].awaitEnd(patience)
			if i.Process().Done != struck[n].Done {
				continue
			}
			if err := i.Start(); err != nil {
				return err
			}
		}
		return nil
	}
}

// awaitEnd waits until a process has ended, and ends it after a patience.
func (p Process) awaitEnd(patience time.Duration) {
	select {
	case <-p.Done:
	case <-time.After(patience):
		p.Signal(syscall.SIGKILL)
		<-p.Done
	}
}

// Freeze pauses an instance's process. What it returns lets it go on.
func Freeze(i Instance) (end func() error) {
	p := i.Process()
	p.Signal(syscall.SIGSTOP)
	return func() error {
		p.Signal(syscall.SIGCONT)
		return nil
	}
}
