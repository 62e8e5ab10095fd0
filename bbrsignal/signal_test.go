package bbrsignal

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// patience bounds waits for a signal that must come.
const patience = 10 * time.Second

func send(is *is.I, s syscall.Signal) {
	is.NoErr(syscall.Kill(os.Getpid(), s))
}

func TestSignalsBeforeAnybodyAsks(t *testing.T) {
	is := is.New(t)
	send(is, syscall.SIGHUP)
	send(is, syscall.SIGTERM)
	select {
	case <-Reload():
	case <-time.After(patience):
		t.Fatal("no reload")
	}
	for end := time.Now().Add(patience); len(stop) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := Stopped(context.Background())
	defer cancel()
	is.True(ctx.Err() != nil) // told to stop before
	<-stop
	later, cancel := Stopped(context.Background())
	defer cancel()
	is.NoErr(later.Err())
	send(is, syscall.SIGTERM)
	select {
	case <-later.Done():
	case <-time.After(patience):
		t.Fatal("not told to stop")
	}
}
