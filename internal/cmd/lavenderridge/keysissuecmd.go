package lavenderridge

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/cmd/settings"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// defaultValidity is the validity of a daemon's certificate: 90 days.
const defaultValidity = "2160h"

// keysIssueCmd creates the private key and the certificate of a daemon.
type keysIssueCmd struct {
	clause     *kingpin.CmdClause
	out        io.Writer
	files      keyFiles
	instance   string
	dataCentre string
	valid      time.Duration
}

var _ command = (*keysIssueCmd)(nil)

func newKeysIssueCmd(a *kingpin.CmdClause, w io.Writer) command {
	k := &keysIssueCmd{clause: a.Command("issue", "Make the key and the certificate of a daemon."), out: w}
	k.clause.Flag("dir", "Directory of the key files.").Default("keys").StringVar(&k.files.dir)
	k.clause.Flag("instance", "Instance beside which the daemon runs.").Required().StringVar(&k.instance)
	k.clause.Flag("data-centre", "Data centre of the instance.").Required().StringVar(&k.dataCentre)
	k.clause.Flag("valid", "Time for which the certificate is valid.").Default(defaultValidity).DurationVar(&k.valid)
	k.clause.Flag("overwrite", "Replace existing files.").BoolVar(&k.files.overwrite)
	return k
}

func (k *keysIssueCmd) name() string {
	return k.clause.FullCommand()
}

func (k *keysIssueCmd) run(context.Context) error {
	for _, s := range []string{k.instance, k.dataCentre} {
		if !settings.IsName(s) || s == authorityName {
			return fmt.Errorf("keys: %q is not a valid name of an instance or data centre", s)
		}
	}
	a, e := k.files.loadAuthority()
	if e != nil {
		return e
	}
	i := peertls.Identity{Instance: lavenderridge.InstanceID(k.instance), DataCentre: lavenderridge.DataCentreID(k.dataCentre)}
	c, e := a.Issue(i, time.Now(), k.valid)
	if e != nil {
		return e
	}
	b, e := peertls.EncodeKey(c)
	if e != nil {
		return e
	}
	if e := k.files.write(k.instance, peertls.EncodeCertificate(c.Leaf.Raw), b); e != nil {
		return e
	}
	return printValidity(k.out, k.files.certificatePath(k.instance), c.Leaf.NotAfter)
}
