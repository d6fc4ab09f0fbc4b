package lavenderridge

import (
	"context"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// keysAuthorityCmd creates a certificate authority.
type keysAuthorityCmd struct {
	clause *kingpin.CmdClause
	out    io.Writer
	files  keyFiles
	valid  time.Duration
}

var _ command = (*keysAuthorityCmd)(nil)

func newKeysAuthorityCmd(a *kingpin.CmdClause, w io.Writer) command {
	k := &keysAuthorityCmd{clause: a.Command("authority", "Make an authority that signs the certificates of daemons."), out: w}
	k.clause.Flag("dir", "Directory of the key files.").Default("keys").StringVar(&k.files.dir)
	k.clause.Flag("valid", "Time for which the authority is valid.").Default("87600h").DurationVar(&k.valid)
	k.clause.Flag("overwrite", "Replace existing files.").BoolVar(&k.files.overwrite)
	return k
}

func (k *keysAuthorityCmd) name() string {
	return k.clause.FullCommand()
}

func (k *keysAuthorityCmd) run(context.Context) error {
	a, e := peertls.NewAuthority(time.Now(), k.valid)
	if e != nil {
		return e
	}
	b, e := a.EncodeKey()
	if e != nil {
		return e
	}
	if e := k.files.write(authorityName, peertls.EncodeCertificate(a.Certificate().Raw), b); e != nil {
		return e
	}
	return printValidity(k.out, k.files.certificatePath(authorityName), a.Certificate().NotAfter)
}
