package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// Files holds the paths of the PEM files with a daemon's keys.
type Files struct {
	// Authority holds the certificates of the trusted authorities.
	Authority   string
	Certificate string
	Key         string
}

// Load reads the files and checks that the certificate belongs to the daemon i and
// is valid at the time t. Its error is a lavenderridge.Findings whose places are
// names of fields of Files.
func (l Files) Load(i Identity, t time.Time) (*Keys, error) {
	var f lavenderridge.Findings
	a := l.read(&f, "Authority", l.Authority)
	c := l.read(&f, "Certificate", l.Certificate)
	k := l.read(&f, "Key", l.Key)
	p := x509.NewCertPool()
	if a != nil && !p.AppendCertsFromPEM(a) {
		f.Add("Authority", "%s holds no certificate", l.Authority)
		a = nil
	}
	if c == nil || k == nil {
		return nil, f.Err()
	}
	x, e := tls.X509KeyPair(c, k)
	if e != nil {
		f.Add("Key", "%s and %s are no pair: %v", l.Certificate, l.Key, e)
		return nil, f.Err()
	}
	if a != nil {
		checkCertificate(&f, x.Leaf, p, i, t)
	}
	if len(f) > 0 {
		return nil, f
	}
	return NewKeys(&x, p), nil
}

// read returns the content of the file p. If that fails it adds a finding at the
// place k and returns nil.
func (l Files) read(f *lavenderridge.Findings, k, p string) []byte {
	b, e := os.ReadFile(p)
	if e != nil {
		var x *os.PathError
		if errors.As(e, &x) {
			e = x.Err
		}
		f.Add(k, "cannot read %s: %v", p, e)
		return nil
	}
	return b
}

// checkCertificate adds a finding if c is not valid at the time t, not signed by an
// authority in p, or not for the daemon i.
func checkCertificate(f *lavenderridge.Findings, c *x509.Certificate, p *x509.CertPool, i Identity, t time.Time) {
	_, e := c.Verify(x509.VerifyOptions{Roots: p, CurrentTime: t, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if e != nil {
		f.Add("Certificate", "%v", e)
		return
	}
	d, e := ParseIdentity(c)
	if e != nil {
		f.Add("Certificate", "%v", e)
		return
	}
	if d != i {
		f.Add("Certificate", "is for instance %q in data centre %q; the settings name %q in %q", d.Instance, d.DataCentre, i.Instance, i.DataCentre)
	}
}

// states returns the states of the three files, by which a change is detected. The
// second result is false if one of the files can't be accessed.
func (l Files) states() ([3]fileState, bool) {
	var a [3]fileState
	for i, p := range []string{l.Authority, l.Certificate, l.Key} {
		f, e := os.Stat(p)
		if e != nil {
			return a, false
		}
		a[i] = fileState{modified: f.ModTime().UnixNano(), size: f.Size()}
	}
	return a, true
}

// fileState is the modification time of a file, in nanoseconds since the Unix
// epoch, and its size in bytes.
type fileState struct {
	modified int64
	size     int64
}
