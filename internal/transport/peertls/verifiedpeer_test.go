package peertls_test

import (
	"crypto/tls"
	"crypto/x509"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// TestVerifiedPeer checks that an open connection stays accepted no longer than its
// certificate is valid by the current keys.
func TestVerifiedPeer(t *testing.T) {
	n := time.Now()
	a, e := peertls.NewAuthority(n, time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	o, e := peertls.NewAuthority(n, time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	i := peertls.Identity{Instance: "client", DataCentre: "kumamoto"}
	c, e := a.Issue(i, n, time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	k := peertls.NewKeys(c, a.Pool())
	s := tls.ConnectionState{PeerCertificates: []*x509.Certificate{c.Leaf}}
	var p peertls.VerifiedPeer
	for range 2 {
		if g, e := p.Verify(k, s, n); e != nil || g != i {
			t.Fatalf("%v, %v; want %v", g, e, i)
		}
	}
	k.Replace(c, o.Pool())
	if _, e := p.Verify(k, s, n); e == nil {
		t.Error("accepted with keys that do not trust the peer's authority")
	}
	k.Replace(c, a.Pool())
	if _, e := p.Verify(k, s, n); e != nil {
		t.Error(e)
	}
	s.PeerCertificates = nil
	if _, e := p.Verify(k, s, n.Add(time.Minute)); e == nil {
		t.Error("not verified again after a minute")
	}
}
