package assembly_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/standin/mesh"
	"github.com/lavenderridge/lavenderridge/internal/transport/peerhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

const unlistedID lavenderridge.InstanceID = "stranger"

// writeKeys writes key files for the identity i, signed by a, to the paths f.
func writeKeys(t *testing.T, a *peertls.Authority, i peertls.Identity, f peertls.Files) {
	t.Helper()
	c, e := a.Issue(i, time.Now(), time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	k, e := peertls.EncodeKey(c)
	if e != nil {
		t.Fatal(e)
	}
	for p, b := range map[string][]byte{
		f.Authority: peertls.EncodeCertificate(a.Certificate().Raw), f.Certificate: peertls.EncodeCertificate(c.Leaf.Raw), f.Key: k,
	} {
		if e := os.WriteFile(p, b, 0o600); e != nil {
			t.Fatal(e)
		}
	}
}

// callAs calls the daemon of n once over a new connection, with a certificate
// signed by the authority a. It accepts servers whose certificate is signed by b.
func callAs(t *testing.T, a, b *peertls.Authority, n *mesh.Member) error {
	t.Helper()
	k, e := a.Issue(peertls.Identity{Instance: unlistedID, DataCentre: "fukuoka"}, time.Now(), time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	p, e := peerhttp.NewTransport("127.0.0.1:0", peertls.NewKeys(k, b.Pool()))
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = p.Close() }()
	c, f := context.WithTimeout(t.Context(), 5*time.Second)
	defer f()
	_, e = p.Dial(&n.Instance).Exchange(c, &lavenderridge.Exchange{Sender: lavenderridge.Sender{Instance: unlistedID, DataCentre: "fukuoka"}})
	return e
}

// TestKeysReload replaces the authority and the certificate of a running daemon.
// After that the daemon must accept peers of the new authority, and refuse and
// count those of the old one.
func TestKeysReload(t *testing.T) {
	d := t.TempDir()
	files := func(i lavenderridge.InstanceID) peertls.Files {
		p := filepath.Join(d, string(i))
		return peertls.Files{Authority: p + "-authority.pem", Certificate: p + ".pem", Key: p + "-key.pem"}
	}
	before, e := peertls.NewAuthority(time.Now(), 24*time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	after, e := peertls.NewAuthority(time.Now(), 24*time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	m, e := mesh.NewMesh(t.Context(), mesh.WithReplicas(1), mesh.WithConfig(func(f *assembly.Config) {
		f.KeyFiles, f.KeyReloadInterval = files(f.Instance), 10*time.Millisecond
	}))
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() {
		if e := m.Close(); e != nil {
			t.Error(e)
		}
	})
	n := m.Members[0]
	i := peertls.Identity{Instance: n.Instance.ID, DataCentre: n.Instance.DataCentre}
	for _, a := range []*peertls.Authority{before, after} {
		o := n.Daemon.Status().KeysNotAfter
		time.Sleep(time.Second) // times in certificates have a resolution of one second
		writeKeys(t, a, i, files(n.Instance.ID))
		c, f := context.WithTimeout(t.Context(), 10*time.Second)
		if e := m.Wait(c, func(v *assembly.Daemon) bool { return v != n.Daemon || !v.Status().KeysNotAfter.Equal(o) }); e != nil {
			t.Fatal(e)
		}
		f()
		if e := callAs(t, a, a, n); e != nil {
			t.Errorf("peer of the current authority: %v", e)
		}
	}
	r := n.Daemon.Status().PeersRefused
	if e := callAs(t, before, after, n); e == nil {
		t.Error("peer of the replaced authority was accepted")
	}
	if v := n.Daemon.Status().PeersRefused; v <= r {
		t.Errorf("%d refused peers counted, as before the call; want more", v)
	}
}
