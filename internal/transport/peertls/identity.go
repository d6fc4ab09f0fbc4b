package peertls

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"

	"github.com/lavenderridge/lavenderridge"
)

// identityScheme is the scheme of the URI that holds an identity in a certificate.
const identityScheme = "lavenderridge"

// An Identity is the instance and the data centre that a daemon's certificate
// proves.
type Identity struct {
	Instance   lavenderridge.InstanceID
	DataCentre lavenderridge.DataCentreID
}

// URL returns the identity as the URI in a certificate, such as
// lavenderridge://dc-1/instance-1.
func (i Identity) URL() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(i.DataCentre), Path: "/" + string(i.Instance)}
}

// ParseIdentity returns the identity in the certificate c, without verifying c.
func ParseIdentity(c *x509.Certificate) (Identity, error) {
	for _, u := range c.URIs {
		if u.Scheme == identityScheme && u.Host != "" && len(u.Path) > 1 {
			return Identity{
				Instance:   lavenderridge.InstanceID(strings.TrimPrefix(u.Path, "/")),
				DataCentre: lavenderridge.DataCentreID(u.Host),
			}, nil
		}
	}
	return Identity{}, fmt.Errorf("peertls: certificate %q has no URI with an instance", c.Subject.CommonName)
}
