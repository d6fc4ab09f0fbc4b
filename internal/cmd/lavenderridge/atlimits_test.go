package lavenderridge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// pagesHeader is the limit of a header in the users' configurations, and pagesBody that
// of a body in the settings of the test, in bytes.
const (
	pagesHeader = 16384
	pagesBody   = 1 << 20
)

// exchange sends the requests that f writes on one connection to the address a, and
// returns the status of the response.
func exchange(t *testing.T, a string, f func(w io.Writer) error) int {
	t.Helper()
	n, e := net.DialTimeout("tcp", a, time.Second)
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = n.Close() }()
	_ = n.SetDeadline(time.Now().Add(time.Minute))
	if e := f(n); e != nil {
		t.Fatal(e)
	}
	r, e := http.ReadResponse(bufio.NewReader(n), nil)
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = r.Body.Close() }()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// wholeHeader returns a request with a header of pagesHeader bytes of the lines that f
// returns.
func wholeHeader(f func(j int) string) func(w io.Writer) error {
	const first = "Host: a\r\n"
	h := first + lines(pagesHeader-len(first)-40, f)
	return func(w io.Writer) error {
		_, e := fmt.Fprintf(w, "GET /roster/1 HTTP/1.1\r\n%s\r\n", h)
		return e
	}
}

// slowBody returns a request with the largest body, in pieces after the pauses d, with a
// length or in chunks.
func slowBody(d time.Duration, p int, chunks bool) func(w io.Writer) error {
	return func(w io.Writer) error {
		k := pagesBody / p
		h := fmt.Sprintf("Content-Length: %d", p*k)
		if chunks {
			h = "Transfer-Encoding: chunked"
		}
		if _, e := fmt.Fprintf(w, "POST /roster/1 HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n", h); e != nil {
			return e
		}
		for range p {
			time.Sleep(d)
			b := strings.Repeat("x", k)
			if chunks {
				b = fmt.Sprintf("%x\r\n%s\r\n", k, b)
			}
			if _, e := io.WriteString(w, b); e != nil {
				return e
			}
		}
		if chunks {
			_, e := io.WriteString(w, "0\r\n\r\n")
			return e
		}
		return nil
	}
}

// TestAtTheLimits guards against limits that a client inside the pages' limits meets: in
// calm, the largest heads and bodies are served by the daemon beside the backend server
// and through another daemon, also when they come slowly.
func TestAtTheLimits(t *testing.T) {
	s := newCrowdSite(t, buildBinary(t), "front", "roster")
	remote, local := s.start(t, s.instances[0]), s.start(t, s.instances[1])
	for _, p := range []*crowdProcess{remote, local} {
		if !p.answered("/roster/1", "callers") {
			t.Fatalf("the daemon doesn't serve\n%s", p.output)
		}
	}
	cases := []struct {
		name string
		send func(w io.Writer) error
	}{
		{"one long field", wholeHeader(func(int) string { return "X-A: " + strings.Repeat("v", pagesHeader-60) + "\r\n" })},
		{"one name in the shortest lines", wholeHeader(func(int) string { return "a:\n" })},
		{"many names", wholeHeader(func(j int) string { return fmt.Sprintf("%x:\r\n", j) })},
		{"new names", wholeHeader(func(j int) string { return fmt.Sprintf("x-%x-a: b\r\n", j) })},
		{"the largest body", slowBody(0, 1, false)},
		{"the largest body in chunks", slowBody(0, 64, true)},
		{"a slow body", slowBody(2500*time.Millisecond, 2, false)},
		{"a slow body in chunks", slowBody(2500*time.Millisecond, 2, true)},
		{"a slow head", func(w io.Writer) error {
			for _, v := range []string{"GET /roster/1 HTTP/1.1\r\n", "Host: a\r", "\nX-A: b\r\n", "\r", "\n"} {
				if _, e := io.WriteString(w, v); e != nil {
					return e
				}
				time.Sleep(500 * time.Millisecond)
			}
			return nil
		}},
	}
	for _, c := range cases {
		for n, p := range map[string]*crowdProcess{"local": local, "remote": remote} {
			t.Run(c.name+" "+n, func(t *testing.T) {
				if v := exchange(t, p.doors["callers"], c.send); v != http.StatusOK {
					t.Errorf("status %d; want 200", v)
				}
			})
		}
	}
}
