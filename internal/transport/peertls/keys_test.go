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

// bench holds two authorities and the keys of a server whose files can change.
type bench struct {
	ours     *peertls.Authority
	theirs   *peertls.Authority
	files    peertls.Files
	server   *peertls.Keys
	reloader *peertls.Reloader
	logs     *observer.ObservedLogs
	identity peertls.Identity
}

func newBench(t *testing.T) *bench {
	t.Helper()
	d := t.TempDir()
	b := &bench{
		ours: newAuthority(t), theirs: newAuthority(t),
		files:    peertls.Files{Authority: filepath.Join(d, "a"), Certificate: filepath.Join(d, "c"), Key: filepath.Join(d, "k")},
		identity: peertls.Identity{Instance: "server", DataCentre: "fukuoka"},
	}
	b.write(t, b.files.Authority, peertls.EncodeCertificate(b.ours.Certificate().Raw))
	b.issue(t, b.ours, b.identity, 100*time.Hour)
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

func (b *bench) write(t *testing.T, p string, c []byte) {
	t.Helper()
	if e := os.WriteFile(p, c, 0o600); e != nil {
		t.Fatal(e)
	}
}

func (b *bench) issue(t *testing.T, a *peertls.Authority, i peertls.Identity, d time.Duration) {
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

// connect makes a handshake as a client with a certificate from a, or without
// one, that wants the server n.
func (b *bench) connect(t *testing.T, a *peertls.Authority, n lavenderridge.InstanceID) string {
	t.Helper()
	x, y := net.Pipe()
	s := tls.Server(x, b.server.Server("test"))
	k := peertls.NewKeys(&tls.Certificate{}, b.ours.Pool())
	if a != nil {
		c, e := a.Issue(peertls.Identity{Instance: "client", DataCentre: "kumamoto"}, time.Now(), time.Hour)
		if e != nil {
			t.Fatal(e)
		}
		k = peertls.NewKeys(c, b.ours.Pool())
	}
	f := make(chan error, 1)
	go func() {
		e := s.Handshake()
		f <- e
		_ = x.Close()
	}()
	c := tls.Client(y, k.Client("test", n))
	if c.Handshake() == nil {
		_, _ = c.Read(make([]byte, 1))
	}
	_ = y.Close()
	r := "accepted"
	if v := <-f; v != nil {
		r = "refused by the server"
	} else if k.Refused() > 0 {
		r = "refused by the client"
	}
	return fmt.Sprintf("%s; refused at the server %d, at the client %d\n", r, b.server.Refused(), k.Refused())
}

// check lets the reloader look at the files and prints what it logged.
func (b *bench) check() string {
	n := b.server.NotAfter()
	b.reloader.Check(time.Now())
	var a []string
	for _, l := range b.logs.TakeAll() {
		a = append(a, l.Message)
	}
	return fmt.Sprintf("logged %v; certificate changed %t\n", a, !n.Equal(b.server.NotAfter()))
}

// TestKeys runs the sessions of testdata/keys.
func TestKeys(t *testing.T) {
	b := newBench(t)
	datadriven.RunTest(t, "testdata/keys", func(t *testing.T, x *datadriven.TestData) string {
		switch x.Cmd {
		case "connect":
			a := map[string]*peertls.Authority{"ours": b.ours, "theirs": b.theirs}
			var c, w string
			x.ScanArgs(t, "certificate", &c)
			x.ScanArgs(t, "want", &w)
			return b.connect(t, a[c], lavenderridge.InstanceID(w))
		case "issue":
			var h int
			x.ScanArgs(t, "hours", &h)
			a, i := b.ours, b.identity
			if x.HasArg("theirs") {
				a = b.theirs
			}
			if x.HasArg("instance") {
				i.Instance = "other"
			}
			b.issue(t, a, i, time.Duration(h)*time.Hour)
			return ""
		case "spoil":
			b.write(t, b.files.Certificate, []byte("spoiled"))
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
