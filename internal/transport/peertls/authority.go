package peertls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"net/url"
	"time"
)

const (
	serialBits = 120
	clockSkew  = 5 * time.Minute
)

// An Authority signs the certificates of daemons.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns a new authority that is valid for the time d from t.
func NewAuthority(t time.Time, d time.Duration) (*Authority, error) {
	k, e := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	m, e := template("lavenderridge authority", t, d)
	if e != nil {
		return nil, e
	}
	m.IsCA, m.BasicConstraintsValid, m.KeyUsage = true, true, x509.KeyUsageCertSign
	b, e := x509.CreateCertificate(rand.Reader, m, m, &k.PublicKey, k)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	x, e := x509.ParseCertificate(b)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	return &Authority{certificate: x, key: k}, nil
}

// Issue returns a certificate for the daemon i, valid for the time d from t.
func (a *Authority) Issue(i Identity, t time.Time, d time.Duration) (*tls.Certificate, error) {
	k, e := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	m, e := template(string(i.Instance), t, d)
	if e != nil {
		return nil, e
	}
	m.URIs = []*url.URL{i.URL()}
	m.KeyUsage = x509.KeyUsageDigitalSignature
	m.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	b, e := x509.CreateCertificate(rand.Reader, m, a.certificate, &k.PublicKey, a.key)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	return &tls.Certificate{Certificate: [][]byte{b}, PrivateKey: k}, nil
}

// Certificate returns the authority's own certificate.
func (a *Authority) Certificate() *x509.Certificate {
	return a.certificate
}

// Pool returns a pool that holds only the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.certificate)
	return p
}

func template(n string, t time.Time, d time.Duration) (*x509.Certificate, error) {
	s, e := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	return &x509.Certificate{
		SerialNumber: s,
		Subject:      pkix.Name{CommonName: n},
		NotBefore:    t.Add(-clockSkew),
		NotAfter:     t.Add(d),
	}, nil
}
