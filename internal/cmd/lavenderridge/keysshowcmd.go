package lavenderridge

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// keysShowCmd shows the identity and the validity of a certificate.
type keysShowCmd struct {
	clause *kingpin.CmdClause
	out    io.Writer
	file   string
	json   bool
}

var _ command = (*keysShowCmd)(nil)

// certificateInfo contains the printed properties of a certificate. The
// certificate of an authority has neither instance nor data centre.
type certificateInfo struct {
	Authority  bool
	Instance   lavenderridge.InstanceID   `json:",omitempty"`
	DataCentre lavenderridge.DataCentreID `json:",omitempty"`
	NotBefore  time.Time
	NotAfter   time.Time
}

func newKeysShowCmd(a *kingpin.CmdClause, w io.Writer) command {
	k := &keysShowCmd{clause: a.Command("show", "Show the identity and the validity period of a certificate."), out: w}
	k.clause.Arg("file", "Certificate file (PEM).").Required().StringVar(&k.file)
	k.clause.Flag("json", "Print JSON.").BoolVar(&k.json)
	return k
}

func (k *keysShowCmd) name() string {
	return k.clause.FullCommand()
}

func (k *keysShowCmd) run(context.Context) error {
	b, e := os.ReadFile(k.file)
	if e != nil {
		return fmt.Errorf("keys: %w", e)
	}
	p, _ := pem.Decode(b)
	if p == nil || p.Type != "CERTIFICATE" {
		return fmt.Errorf("keys: %s does not contain a PEM certificate", k.file)
	}
	c, e := x509.ParseCertificate(p.Bytes)
	if e != nil {
		return fmt.Errorf("keys: %s: %w", k.file, e)
	}
	s := certificateInfo{Authority: c.IsCA, NotBefore: c.NotBefore, NotAfter: c.NotAfter}
	if !c.IsCA {
		i, e := peertls.ParseIdentity(c)
		if e != nil {
			return e
		}
		s.Instance, s.DataCentre = i.Instance, i.DataCentre
	}
	if k.json {
		return json.NewEncoder(k.out).Encode(s)
	}
	return s.print(k.out)
}

func (s certificateInfo) print(w io.Writer) error {
	n := "certificate of an authority\n"
	if !s.Authority {
		n = fmt.Sprintf("instance     %s\ndata centre  %s\n", s.Instance, s.DataCentre)
	}
	_, e := fmt.Fprintf(w, "%svalid from   %s\nvalid until  %s\n", n, s.NotBefore.UTC().Format(minuteLayout), s.NotAfter.UTC().Format(minuteLayout))
	return e
}
