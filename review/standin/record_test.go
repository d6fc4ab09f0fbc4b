//go:build review

package review_test

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(p string) (*record, error) {
	f, e := os.Create(p)
	if e != nil {
		return nil, e
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// line writes a line with the time in seconds since the start.
func (r *record) line(f string, a ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(f, a...))
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
