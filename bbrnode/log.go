package bbrnode

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// logQueue is the number of lines that wait to be written.
	logQueue = 1024
	// logFlush bounds the wait for the last lines at the end.
	logFlush = 200 * time.Millisecond
)

// logWriter writes lines without ever blocking those who log: lines that find the
// queue full are dropped and counted.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	group   errgroup.Group
}

// NewLog returns a log of structured lines that never blocks.
func NewLog(out io.Writer, level logrus.Level) *logrus.Logger {
	w := &logWriter{lines: make(chan []byte, logQueue)}
	w.group.Go(func() error {
		w.run(out)
		return nil
	})
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log
}

// Flush waits a bounded time until the lines of a log are written.
func Flush(log *logrus.Logger) {
	if w, ok := log.Out.(*logWriter); ok {
		w.flush()
	}
}

// Write queues a line.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines as long as the process lives.
func (w *logWriter) run(out io.Writer) {
	for line := range w.lines {
		_, _ = out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(out, `{"level":"warning","msg":"log lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n")
		}
	}
}

// flush waits a bounded time until the queue is empty.
func (w *logWriter) flush() {
	for until := time.Now().Add(logFlush); len(w.lines) > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
}
