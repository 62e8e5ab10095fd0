package bbrnode

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// blockingWriter blocks writes until unblock is closed.
type blockingWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	buf     bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

func (w *blockingWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockingWriter{unblock: make(chan struct{})}
	log := NewLogger(out, logrus.InfoLevel)
	for range 2 * logQueueLen {
		log.Info("a line") // the output is blocked
	}
	close(out.unblock)
	for !strings.Contains(out.text(), "log lines dropped") {
		FlushLog(log)
	}
	is.True(strings.Contains(out.text(), `"msg":"a line"`))
}

// TestLongLogLinesAreDropped guards against a queue of lines that hold what callers send.
func TestLongLogLinesAreDropped(t *testing.T) {
	is := is.New(t)
	out := &blockingWriter{unblock: make(chan struct{})}
	close(out.unblock)
	log := NewLogger(out, logrus.InfoLevel)
	log.Info(strings.Repeat("x", maxLogLine))
	log.Info("a line")
	for !strings.Contains(out.text(), `"msg":"log lines dropped","count":1`) {
		FlushLog(log)
	}
	is.True(strings.Contains(out.text(), `"msg":"a line"`))
	is.True(!strings.Contains(out.text(), "xxx"))
}
