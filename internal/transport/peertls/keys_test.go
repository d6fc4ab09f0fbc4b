package peertls_test

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// keyFixture holds two authorities, of which the server trusts one, and the server's
// keys with the files from which they are reloaded.
type keyFixture struct {
	trusted   *peertls.Authority
	untrusted *peertls.Authority
	files     peertls.Files
	server    *peertls.Keys
	reloader  *peertls.Reloader
	logs      *observer.ObservedLogs
	identity  peertls.Identity
}

func newKeyFixture(t *testing.T) *keyFixture {
	t.Helper()
	d := t.TempDir()
	b := &keyFixture{
		trusted: newAuthority(t), untrusted: newAuthority(t),
		files:    peertls.Files{Authority: filepath.Join(d, "a"), Certificate: filepath.Join(d, "c"), Key: filepath.Join(d, "k")},
		identity: peertls.Identity{Instance: "server", DataCentre: "fukuoka"},
	}
	b.write(t, b.files.Authority, peertls.EncodeCertificate(b.trusted.Certificate().Raw))
	b.issue(t, b.trusted, b.identity, 100*time.Hour)
	k, e := b.files.Load(b.identity, time.Now())
	if e != nil {
		t.Fatal(e)
	}
	c, l := observer.New(zapcore.InfoLevel)
	b.server, b.logs = k, l
	b.reloader = peertls.NewReloader(b.files, b.identity, k, zap.New(c))
	return b
}

func newAuthority(t *testing.T) *peertls.Authority {
	t.Helper()
	a, e := peertls.NewAuthority(time.Now(), 1000*time.Hour)
	if e != nil {
		t.Fatal(e)
	}
	return a
}

func (b *keyFixture) write(t *testing.T, p string, c []byte) {
	t.Helper()
	if e := os.WriteFile(p, c, 0o600); e != nil {
		t.Fatal(e)
	}
}

func (b *keyFixture) issue(t *testing.T, a *peertls.Authority, i peertls.Identity, d time.Duration) {
	t.Helper()
	c, e := a.Issue(i, time.Now(), d)
	if e != nil {
		t.Fatal(e)
	}
	k, e := peertls.EncodeKey(c)
	if e != nil {
		t.Fatal(e)
	}
	b.write(t, b.files.Certificate, peertls.EncodeCertificate(c.Leaf.Raw))
	b.write(t, b.files.Key, k)
}

// connected returns both ends of a TCP connection. In a handshake both sides may write
// at the same time, which needs buffers between them.
func connected(t testing.TB) (x, y net.Conn) {
	t.Helper()
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = l.Close() }()
	if y, e = net.Dial("tcp", l.Addr().String()); e != nil {
		t.Fatal(e)
	}
	if x, e = l.Accept(); e != nil {
		t.Fatal(e)
	}
	return x, y
}

// connect performs a handshake of a client that expects the server n. The client's
// certificate is from the authority a; if a is nil it has none.
func (b *keyFixture) connect(t *testing.T, a *peertls.Authority, n lavenderridge.InstanceID) string {
	t.Helper()
	x, y := connected(t)
	s := tls.Server(x, b.server.ServerConfig("test"))
	k := peertls.NewKeys(&tls.Certificate{}, b.trusted.Pool())
	if a != nil {
		c, e := a.Issue(peertls.Identity{Instance: "client", DataCentre: "kumamoto"}, time.Now(), time.Hour)
		if e != nil {
			t.Fatal(e)
		}
		k = peertls.NewKeys(c, b.trusted.Pool())
	}
	f := make(chan error, 1)
	go func() {
		e := s.Handshake()
		f <- e
		_ = x.Close()
	}()
	c := tls.Client(y, k.ClientConfig("test", n))
	if c.Handshake() == nil {
		_, _ = c.Read(make([]byte, 1))
	}
	_ = y.Close()
	r := "accepted"
	if v := <-f; v != nil {
		r = "refused by the server"
	} else if k.RefusedHandshakes() > 0 {
		r = "refused by the client"
	}
	return fmt.Sprintf("%s; refused at the server %d, at the client %d\n", r, b.server.RefusedHandshakes(), k.RefusedHandshakes())
}

// check runs the reloader's check. It returns the logged messages and whether the
// server's certificate has changed.
func (b *keyFixture) check() string {
	n := b.server.NotAfter()
	b.reloader.Check(time.Now())
	var a []string
	for _, l := range b.logs.TakeAll() {
		a = append(a, l.Message)
	}
	return fmt.Sprintf("logged %v; certificate changed %t\n", a, !n.Equal(b.server.NotAfter()))
}

// TestKeys runs the golden file testdata/keys.
func TestKeys(t *testing.T) {
	b := newKeyFixture(t)
	datadriven.RunTest(t, "testdata/keys", func(t *testing.T, x *datadriven.TestData) string {
		switch x.Cmd {
		case "connect":
			a := map[string]*peertls.Authority{"trusted": b.trusted, "untrusted": b.untrusted}
			var c, w string
			x.ScanArgs(t, "certificate", &c)
			x.ScanArgs(t, "want", &w)
			return b.connect(t, a[c], lavenderridge.InstanceID(w))
		case "issue":
			var h int
			x.ScanArgs(t, "hours", &h)
			a, i := b.trusted, b.identity
			if x.HasArg("untrusted") {
				a = b.untrusted
			}
			if x.HasArg("other-instance") {
				i.Instance = "other"
			}
			b.issue(t, a, i, time.Duration(h)*time.Hour)
			return ""
		case "corrupt":
			b.write(t, b.files.Certificate, []byte("corrupted"))
			return ""
		case "remove":
			if e := os.Remove(b.files.Key); e != nil {
				t.Fatal(e)
			}
			return ""
		case "check":
			return b.check()
		default:
			t.Fatalf("unknown command %s", x.Cmd)
			return ""
		}
	})
}
