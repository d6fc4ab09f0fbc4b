package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
)

// EncodeCertificate returns the PEM form of the certificate with the DER bytes b.
func EncodeCertificate(b []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: b})
}

// EncodeKey returns the PEM form of c's private key, encoded as PKCS #8.
func EncodeKey(c *tls.Certificate) ([]byte, error) {
	b, e := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if e != nil {
		return nil, fmt.Errorf("peertls: %w", e)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: b}), nil
}
