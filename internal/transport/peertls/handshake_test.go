package peertls

import (
	"crypto/tls"
	"net"
	"testing"
	"time"
)

// BenchmarkHandshake measures the handshake of two daemons, both sides together.
func BenchmarkHandshake(b *testing.B) {
	k, e := NewEphemeralKeys(Identity{Instance: "a", DataCentre: "d"}, time.Now())
	if e != nil {
		b.Fatal(e)
	}
	s, c := k.ServerConfig("h2"), k.ClientConfig("h2", "a")
	b.ReportAllocs()
	for b.Loop() {
		p, q := net.Pipe()
		d := make(chan error)
		go func() { d <- tls.Server(p, s).Handshake() }()
		v := tls.Client(q, c)
		if e := v.Handshake(); e != nil {
			b.Fatal(e)
		}
		go func() { _, _ = v.Read(make([]byte, 1)) }()
		if e := <-d; e != nil {
			b.Fatal(e)
		}
		_ = p.Close()
	}
}
