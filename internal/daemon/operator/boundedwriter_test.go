package operator_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge/internal/daemon/operator"
)

// stuckWriter blocks each write until release is closed.
type stuckWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	bytes.Buffer
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.Buffer.Write(b)
}

// TestBoundedWriter checks that writes do not wait for a blocked output, and that
// dropped lines are counted.
func TestBoundedWriter(t *testing.T) {
	s := &stuckWriter{release: make(chan struct{})}
	w := operator.NewBoundedWriter(s)
	c, f := context.WithCancel(t.Context())
	var g sync.WaitGroup
	g.Go(func() { w.Run(c) })
	b := time.Now()
	for range 5000 {
		if n, e := w.Write([]byte("line\n")); n != 5 || e != nil {
			t.Fatal(n, e)
		}
	}
	if d := time.Since(b); d > time.Second {
		t.Errorf("5000 lines took %s", d)
	}
	close(s.release)
	f()
	g.Wait()
	l := strings.Count(s.String(), "line\n")
	if l == 0 || l > 1024 || !strings.Contains(s.String(), "\"LogLinesLeftOut\",\"Count\":4500}") {
		t.Errorf("%d lines; end %q", l, s.String()[max(0, s.Len()-80):])
	}
}
