package confighttp

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

func newTestClient(t *testing.T, f http.HandlerFunc) *Client {
	t.Helper()
	h := httptest.NewServer(f)
	t.Cleanup(h.Close)
	l, e := NewClient(t.Context(), lavenderridge.Address(strings.TrimPrefix(h.URL, "http://")))
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// It leaves 1.5 s of 6 s for the next watch and the way to the other daemons.
func TestHalfOpenWatch(t *testing.T) {
	const longestWait = 3 * time.Second
	c := make(chan struct{})
	l := newTestClient(t, func(http.ResponseWriter, *http.Request) { <-c })
	t.Cleanup(func() { close(c) })
	b := time.Now()
	if _, e := l.Read(t.Context(), lavenderridge.DocumentCatalogue, 1, longestWait); e == nil {
		t.Error("a watch without a response succeeded")
	}
	if d := time.Since(b); d > 4500*time.Millisecond {
		t.Errorf("the watch took %s", d)
	}
}

// The document takes 2 s to arrive.
func TestLargestDocumentOverSlowLink(t *testing.T) {
	const chunks = 20
	l := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(VersionHeader, "2")
		for range chunks {
			time.Sleep(100 * time.Millisecond)
			_, _ = w.Write(bytes.Repeat([]byte("#"), int(maxDocument)/chunks))
			_ = http.NewResponseController(w).Flush()
		}
	})
	d, e := l.Read(t.Context(), lavenderridge.DocumentCatalogue, 1, 0)
	if e != nil || len(d.Body) != int(maxDocument)/chunks*chunks {
		t.Errorf("%v", e)
	}
}
