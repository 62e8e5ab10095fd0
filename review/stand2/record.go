package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the seconds since its beginning.
type record struct {
	mu      sync.Mutex
	file    *os.File
	beganAt time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, beganAt: time.Now()}, nil
}

// add notes a line.
func (r *record) add(format string, values ...any) {
	r.at(time.Now(), format, values...)
}

// at notes a line of a moment.
func (r *record) at(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", at.Sub(r.beganAt).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() { _ = r.file.Close() }
