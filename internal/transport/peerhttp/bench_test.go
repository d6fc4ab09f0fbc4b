package peerhttp

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// benchmarkPair returns two transports, the second of which has a running server.
func benchmarkPair(b *testing.B) (client, server *Transport) {
	b.Helper()
	a, e := peertls.NewAuthority(time.Now(), time.Hour)
	if e != nil {
		b.Fatal(e)
	}
	var p [2]*Transport
	for i, n := range []lavenderridge.InstanceID{"a", "b"} {
		c, e := a.Issue(peertls.Identity{Instance: n, DataCentre: "dc"}, time.Now(), time.Hour)
		if e != nil {
			b.Fatal(e)
		}
		if p[i], e = NewTransport("127.0.0.1:0", peertls.NewKeys(c, a.Pool())); e != nil {
			b.Fatal(e)
		}
		b.Cleanup(func() { _ = p[i].Close() })
	}
	c, f := context.WithCancel(context.Background())
	b.Cleanup(f)
	go func() { _ = NewServer(p[1], &slowPeer{}, func(lavenderridge.ByteCount) {}).Serve(c) }()
	return p[0], p[1]
}

// BenchmarkCall measures one call over HTTP/2, with client and server in one
// process.
func BenchmarkCall(b *testing.B) {
	c, s := benchmarkPair(b)
	l := c.Dial(&lavenderridge.Instance{ID: "b", Peer: s.Address()})
	r := &lavenderridge.Request{ID: "r", Attempt: 1, Path: "0s", Method: "GET", Header: lavenderridge.Header{"Accept": {"*/*"}}}
	b.ReportAllocs()
	for b.Loop() {
		if _, e := l.Handle(context.Background(), r); e != nil {
			b.Fatal(e)
		}
	}
}

// BenchmarkConnections reports the memory of one connection, client and server
// together.
func BenchmarkConnections(b *testing.B) {
	const n = 200
	for b.Loop() {
		c, s := benchmarkPair(b)
		var m, v runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		a := make([]*connection, n)
		for i := range a {
			var e error
			if a[i], e = c.dial(newLink(c, "b", s.Address()), dialTimeout); e != nil {
				b.Fatal(e)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&v)
		b.ReportMetric(float64(v.HeapInuse+v.StackInuse-m.HeapInuse-m.StackInuse)/n, "B/connection")
		runtime.KeepAlive(a)
	}
}
