package peertls

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"

	"github.com/lavenderridge/lavenderridge"
)

const scheme = "lavenderridge"

// An Identity is what a daemon's certificate proves.
type Identity struct {
	Instance   lavenderridge.InstanceID
	DataCentre lavenderridge.DataCentreID
}

// URL returns the form in which a certificate holds the identity.
func (i Identity) URL() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(i.DataCentre), Path: "/" + string(i.Instance)}
}

// ParseIdentity returns the identity that the certificate c holds.
func ParseIdentity(c *x509.Certificate) (Identity, error) {
	for _, u := range c.URIs {
		if u.Scheme == scheme && u.Host != "" && len(u.Path) > 1 {
			return Identity{
				Instance:   lavenderridge.InstanceID(strings.TrimPrefix(u.Path, "/")),
				DataCentre: lavenderridge.DataCentreID(u.Host),
			}, nil
		}
	}
	return Identity{}, fmt.Errorf("peertls: certificate %q names no instance", c.Subject.CommonName)
}
