package lavenderridge

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// keysRenewCmd replaces the certificate of a daemon and keeps its key, so that
// only one file changes and a running daemon never sees half of a pair.
type keysRenewCmd struct {
	clause   *kingpin.CmdClause
	out      io.Writer
	files    keyFiles
	instance string
	valid    time.Duration
}

var _ command = (*keysRenewCmd)(nil)

func newKeysRenewCmd(a *kingpin.CmdClause, w io.Writer) command {
	k := &keysRenewCmd{clause: a.Command("renew", "Renew the certificate of a daemon for the key it has."), out: w}
	k.clause.Flag("dir", "Directory of the key files.").Default("keys").StringVar(&k.files.dir)
	k.clause.Flag("instance", "Instance beside which the daemon runs.").Required().StringVar(&k.instance)
	k.clause.Flag("valid", "Time for which the certificate is valid.").Default(defaultValidity).DurationVar(&k.valid)
	return k
}

func (k *keysRenewCmd) name() string {
	return k.clause.FullCommand()
}

func (k *keysRenewCmd) run(context.Context) error {
	a, e := k.files.authority()
	if e != nil {
		return e
	}
	o, e := tls.LoadX509KeyPair(k.files.certificate(k.instance), k.files.key(k.instance))
	if e != nil {
		return fmt.Errorf("keys: %w", e)
	}
	c, e := a.Renew(&o, time.Now(), k.valid)
	if e != nil {
		return e
	}
	if e := replaceFile(k.files.certificate(k.instance), peertls.EncodeCertificate(c.Leaf.Raw)); e != nil {
		return e
	}
	return reportKey(k.out, k.files.certificate(k.instance), c.Leaf.NotAfter)
}
