package bbrnode

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// gate is an output that blocks until it is opened.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
	buf  bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &gate{open: make(chan struct{})}
	log := NewLog(out, logrus.InfoLevel)
	for range 2 * logQueue {
		log.Info("a line") // the output takes none of them
	}
	close(out.open)
	for !strings.Contains(out.text(), "log lines dropped") {
		Flush(log)
	}
	is.True(strings.Contains(out.text(), `"msg":"a line"`))
}
