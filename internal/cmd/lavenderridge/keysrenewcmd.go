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

// keysRenewCmd replaces the certificate of a daemon and keeps its private key.
// Only one file changes, so a running daemon that reloads its key files never
// reads a certificate and a key that do not match.
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
	a, e := k.files.loadAuthority()
	if e != nil {
		return e
	}
	o, e := tls.LoadX509KeyPair(k.files.certificatePath(k.instance), k.files.keyPath(k.instance))
	if e != nil {
		return fmt.Errorf("keys: %w", e)
	}
	c, e := a.Renew(&o, time.Now(), k.valid)
	if e != nil {
		return e
	}
	if e := replaceFile(k.files.certificatePath(k.instance), peertls.EncodeCertificate(c.Leaf.Raw)); e != nil {
		return e
	}
	return printValidity(k.out, k.files.certificatePath(k.instance), c.Leaf.NotAfter)
}
