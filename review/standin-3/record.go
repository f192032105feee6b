package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what a case writes to record.txt, one line an event.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begin: time.Now()}, nil
}

// add writes a line with the milliseconds since the begin.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.1f ms  %s\n", float64(time.Since(r.begin).Microseconds())/1000, fmt.Sprintf(format, args...))
}
