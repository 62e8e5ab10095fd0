package bbrsoak

import (
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// sleeper runs a process that does nothing.
type sleeper struct {
	process Process
	work    errgroup.Group
	starts  int
}

func (s *sleeper) Process() Process { return s.process }

func (s *sleeper) Start() error {
	cmd := exec.Command("sleep", "600")
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	s.work.Go(func() error {
		_ = cmd.Wait()
		close(done)
		return nil
	})
	s.starts++
	s.process = Process{Cmd: cmd, Done: done}
	return nil
}

func newSleeper(t *testing.T) *sleeper {
	t.Helper()
	s := &sleeper{}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.process.Signal(syscall.SIGKILL)
		_ = s.work.Wait()
	})
	return s
}

// TestStrikesOverlap lets two faults strike one process: it is started once.
func TestStrikesOverlap(t *testing.T) {
	is := is.New(t)
	s := newSleeper(t)
	stopped := StrikeDown(syscall.SIGTERM, time.Minute, s)
	killed := StrikeDown(syscall.SIGKILL, time.Minute, s)
	is.NoErr(killed())
	is.NoErr(stopped())
	is.Equal(s.starts, 2)
	is.True(!s.process.HasEnded())
}

// TestStubbornProcess is killed when it does not end.
func TestStubbornProcess(t *testing.T) {
	is := is.New(t)
	s := newSleeper(t)
	frozen := Freeze(s)
	old := s.process
	is.NoErr(StrikeDown(syscall.SIGTERM, time.Millisecond, s)())
	is.True(old.HasEnded())
	is.NoErr(frozen()) // the process that it froze is gone
	is.Equal(s.starts, 2)
}

func TestFaultsEndOnce(t *testing.T) {
	is := is.New(t)
	var s Strikes
	ended := 0
	begin := func(f Fault) (func() error, error) {
		if f.Kind == KindReload {
			return nil, nil
		}
		return func() error { ended++; return nil }, nil
	}
	a, b := Fault{Kind: KindFreeze}, Fault{Kind: KindReload}
	is.NoErr(s.Begin(a, begin))
	is.NoErr(s.Begin(b, begin))
	is.NoErr(s.End(a))
	is.NoErr(s.End(a))
	is.NoErr(s.End(b))
	is.Equal(ended, 1)
}
