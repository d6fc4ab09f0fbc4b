package assembly_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
)

const (
	// limitWindow, limitFactor and limitSlack are those of the rule LIMIT.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostInWindow returns the largest number of runs of a that began in a window after t.
func mostInWindow(a []backendserver.Run, t time.Time) int {
	n, b := 0, 0
	for i := range a {
		for a[i].Begun.Sub(a[b].Begun) >= limitWindow || b < i && a[b].Begun.Before(t) {
			b++
		}
		if !a[b].Begun.Before(t) {
			n = max(n, i-b+1)
		}
	}
	return n
}

// load sends requests through the daemons in turn, one each period for the time d, and
// returns the number of responses by status.
func (f *platformFleet) load(p, d time.Duration) map[int]int {
	var w sync.WaitGroup
	var m sync.Mutex
	c := map[int]int{}
	k := time.NewTicker(p)
	defer k.Stop()
	for i, e := 0, time.Now().Add(d); time.Now().Before(e); i++ {
		<-k.C
		w.Go(func() {
			// The daemon n-1 is restarted during the test.
			s := f.get(i%2*2, fmt.Sprintf("/read/%d", i))
			m.Lock()
			defer m.Unlock()
			c[s]++
		})
	}
	w.Wait()
	return c
}

// TestBackendServerGetsNoMoreThanItsNamedLimit guards against requests beyond the limit
// that a backend server names, also after the daemon beside it has restarted.
func TestBackendServerGetsNoMoreThanItsNamedLimit(t *testing.T) {
	f := newPlatformFleet(t, 3)
	// The backend server without a limit is so busy that the others are needed.
	for _, b := range f.backends {
		b.SetServiceTime(30 * time.Millisecond)
	}
	f.load(5*time.Millisecond, time.Second)
	limits := []float64{10, 2}
	for i, v := range limits {
		f.backends[i].Announce(false, strconv.FormatFloat(v, 'g', -1, 64))
	}
	f.load(5*time.Millisecond, 500*time.Millisecond)
	b := time.Now()
	go func() {
		time.Sleep(2 * time.Second)
		f.stop[1]()
		f.start(1)
	}()
	c := f.load(5*time.Millisecond, 6*time.Second)
	for i, v := range limits {
		n := mostInWindow(f.backends[i].RunLog(), b)
		if a := int(limitFactor*v*limitWindow.Seconds() + limitSlack); n > a || n == 0 {
			t.Errorf("%d requests in %s at a backend server with a limit of %g a second; want 1 to %d", n, limitWindow, v, a)
		}
	}
	if c[http.StatusOK] == 0 || len(c) != 1 {
		t.Errorf("statuses %v; want 200 only, because one backend server has room", c)
	}
}
