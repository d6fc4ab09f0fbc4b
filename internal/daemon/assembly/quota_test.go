package assembly_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestQuotaOverAllDaemons guards against daemons that together run more of a customer's
// requests than its quota allows, and against refusals beyond it that say nothing of a
// retry, that hit other customers, or that last.
func TestQuotaOverAllDaemons(t *testing.T) {
	const (
		window = 5 * time.Second
		most   = (2*5+1)*5/4 + 20 // rate * window + burst, a quarter more, and the slack
	)
	f := newCustomerFleet(t, 0)
	f.publish("small k1 rate=2 burst=1\nfree k2\n")
	var run []time.Time
	send := func(n, k string) (int, string) {
		t.Helper()
		q, e := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+string(f.daemons[n].CallerAddress())+"/run", http.NoBody)
		if e != nil {
			t.Fatal(e)
		}
		q.Host = "run.example"
		q.Header.Set("Request-Id", "r-1")
		q.Header.Set("Authorization", "Token "+k)
		b := time.Now()
		p, e := http.DefaultClient.Do(q)
		if e != nil {
			t.Fatal(e)
		}
		_, e = io.Copy(io.Discard, p.Body)
		if e != nil {
			t.Fatal(e)
		}
		_ = p.Body.Close()
		if p.StatusCode == http.StatusOK {
			if g := <-f.received; k == "k1" {
				run = append(run, b)
				if g.Get("Tenant") != "small" {
					t.Errorf("ran for customer %q", g.Get("Tenant"))
				}
			}
		}
		return p.StatusCode, p.Header.Get("Retry-After")
	}
	refused := map[string]int{}
	for b := time.Now(); time.Since(b) < 2*window; time.Sleep(20 * time.Millisecond) {
		for _, n := range []string{"a", "b"} {
			switch c, r := send(n, "k1"); c {
			case http.StatusOK:
			case http.StatusTooManyRequests:
				refused[n]++
				if s, e := strconv.ParseFloat(r, 64); e != nil || s <= 0 {
					t.Fatalf("status 429 with Retry-After %q", r)
				}
			default:
				t.Fatalf("status %d", c)
			}
			if c, _ := send(n, "k2"); c != http.StatusOK {
				t.Fatalf("a customer without a quota: status %d", c)
			}
		}
	}
	if refused["a"] == 0 || refused["b"] == 0 {
		t.Errorf("refused %v; want refusals at both daemons", refused)
	}
	for i, b := range run {
		n := 0
		for _, v := range run[i:] {
			if v.Sub(b) < window {
				n++
			}
		}
		if n > most {
			t.Errorf("%d requests ran within %s; want at most %d", n, window, most)
			break
		}
	}
	if len(run) < 2*2*5 {
		t.Errorf("%d requests ran in two windows; want at least %d", len(run), 2*2*5)
	}
	t.Logf("run %d, refused %v", len(run), refused)
	// What the customer may use comes back once it asks for less.
	for e := time.Now().Add(2 * window); ; time.Sleep(500 * time.Millisecond) {
		if c, _ := send("a", "k1"); c == http.StatusOK {
			break
		}
		if time.Now().After(e) {
			t.Fatal("still refused after the customer asked for less")
		}
	}
}
