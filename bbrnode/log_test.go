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
