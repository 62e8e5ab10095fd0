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
	// logQueueLen is the number of lines that may wait to be written.
	logQueueLen = 1024
	// maxLogLine is the length of the longest line, in bytes: lines hold what callers send.
	maxLogLine = 16 << 10
	// logFlushTimeout bounds the wait for the last lines when the process exits.
	logFlushTimeout = 200 * time.Millisecond
)

// logWriter queues lines and writes them in the background, so that logging never
// blocks. Lines that are too long or find the queue full are dropped and counted.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	writer  errgroup.Group
}

// NewLogger returns a logger that writes JSON lines and never blocks.
func NewLogger(out io.Writer, level logrus.Level) *logrus.Logger {
	w := &logWriter{lines: make(chan []byte, logQueueLen)}
	w.writer.Go(func() error {
		w.run(out)
		return nil
	})
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log
}

// FlushLog waits until the queue of a logger from NewLogger is empty, for at most
// logFlushTimeout.
func FlushLog(log *logrus.Logger) {
	if w, ok := log.Out.(*logWriter); ok {
		w.flush()
	}
}

// Write queues a line, or drops it if it is too long or the queue is full.
func (w *logWriter) Write(line []byte) (int, error) {
	if len(line) > maxLogLine {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines to out for the life of the process. If lines were
// dropped, it also writes their number.
func (w *logWriter) run(out io.Writer) {
	for line := range w.lines {
		_, _ = out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(out, `{"level":"warning","msg":"log lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n")
		}
	}
}

// flush waits until the queue is empty, for at most logFlushTimeout.
func (w *logWriter) flush() {
	for deadline := time.Now().Add(logFlushTimeout); len(w.lines) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}
