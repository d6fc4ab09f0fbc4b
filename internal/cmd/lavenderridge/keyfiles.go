package lavenderridge

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

const (
	authorityName   = "authority"
	keyFileMode     = 0o600
	keyDirMode      = 0o700
	shortDateLayout = "2006-01-02 15:04 UTC"
)

// keyFiles is the directory in which the keys commands keep their files.
type keyFiles struct {
	dir       string
	overwrite bool
}

func (k keyFiles) certificate(n string) string {
	return filepath.Join(k.dir, n+".pem")
}

func (k keyFiles) key(n string) string {
	return filepath.Join(k.dir, n+"-key.pem")
}

// authority loads the authority.
func (k keyFiles) authority() (*peertls.Authority, error) {
	c, e := os.ReadFile(k.certificate(authorityName))
	if e != nil {
		return nil, fmt.Errorf("keys: %w", e)
	}
	b, e := os.ReadFile(k.key(authorityName))
	if e != nil {
		return nil, fmt.Errorf("keys: %w", e)
	}
	return peertls.ParseAuthority(c, b)
}

// write writes the certificate c and the key b of n. Existing files stay as
// they are, unless overwriting is allowed.
func (k keyFiles) write(n string, c, b []byte) error {
	if e := os.MkdirAll(k.dir, keyDirMode); e != nil {
		return fmt.Errorf("keys: %w", e)
	}
	for _, p := range []string{k.certificate(n), k.key(n)} {
		if _, e := os.Lstat(p); !k.overwrite && !errors.Is(e, os.ErrNotExist) {
			return fmt.Errorf("keys: %s exists; --overwrite replaces it", p)
		}
	}
	return errors.Join(replaceFile(k.key(n), b), replaceFile(k.certificate(n), c))
}

// replaceFile writes b to the file p so that readers see either the old or the
// new content.
func replaceFile(p string, b []byte) error {
	f, e := os.CreateTemp(filepath.Dir(p), ".keys-*")
	if e != nil {
		return fmt.Errorf("keys: %w", e)
	}
	_, e = f.Write(b)
	e = errors.Join(e, f.Chmod(keyFileMode), f.Close())
	if e == nil {
		e = os.Rename(f.Name(), p)
	}
	if e != nil {
		_ = os.Remove(f.Name())
		return fmt.Errorf("keys: %w", e)
	}
	return nil
}

func reportKey(w io.Writer, p string, t time.Time) error {
	_, e := fmt.Fprintf(w, "%s is valid until %s\n", p, t.UTC().Format(shortDateLayout))
	return e
}
