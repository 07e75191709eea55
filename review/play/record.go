package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run, each line with the seconds since the start of the script.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// line writes one line to the record and to standard output.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	fmt.Print(text)
	_, _ = r.file.WriteString(text) // a lost line changes no verdict
}
