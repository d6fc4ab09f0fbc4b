package backendserver_test

import (
	"runtime"
	"testing"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// BenchmarkLedger admits and finishes new keys, and reports the heap memory
// per entry with a response of 256 bytes.
func BenchmarkLedger(b *testing.B) {
	l := backendserver.NewLedger(backendserver.LedgerLimits{Entries: b.N + 1, Body: 1 << 10, Bytes: 1 << 40, Lifetime: testLifetime})
	var h testAuthority
	k := make([]lavenderridge.IdempotencyKey, b.N)
	for i := range k {
		k[i] = testKey(testStart, i)
	}
	var m, n runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range k {
		e, _, x := l.Admit(h.authority, k[i], 1, lavenderridge.Versions{}, testStart)
		if x != nil {
			b.Fatal(x)
		}
		l.Finish(e, &lavenderridge.Response{Body: make([]byte, 256)}, nil)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&n)
	b.ReportMetric(float64(n.HeapAlloc-m.HeapAlloc)/float64(b.N), "heap-B/entry")
	runtime.KeepAlive(l)
}
