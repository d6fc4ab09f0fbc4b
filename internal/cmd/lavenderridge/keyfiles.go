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
	authorityName = "authority"
	keyFileMode   = 0o600
	keyDirMode    = 0o700
	minuteLayout  = "2006-01-02 15:04 UTC"
)

// keyFiles is the directory that contains the key files of the keys commands.
// The method write replaces existing files only if overwrite is set.
type keyFiles struct {
	dir       string
	overwrite bool
}

// certificatePath returns the path of the certificate of n, an instance or the
// authority.
func (k keyFiles) certificatePath(n string) string {
	return filepath.Join(k.dir, n+".pem")
}

// keyPath returns the path of the private key of n, an instance or the
// authority.
func (k keyFiles) keyPath(n string) string {
	return filepath.Join(k.dir, n+"-key.pem")
}

// loadAuthority reads the certificate and the private key of the authority.
func (k keyFiles) loadAuthority() (*peertls.Authority, error) {
	c, e := os.ReadFile(k.certificatePath(authorityName))
	if e != nil {
		return nil, fmt.Errorf("keys: %w", e)
	}
	b, e := os.ReadFile(k.keyPath(authorityName))
	if e != nil {
		return nil, fmt.Errorf("keys: %w", e)
	}
	return peertls.ParseAuthority(c, b)
}

// write writes the certificate c and the private key b of n. It fails if either
// file exists and overwrite is not set.
func (k keyFiles) write(n string, c, b []byte) error {
	if e := os.MkdirAll(k.dir, keyDirMode); e != nil {
		return fmt.Errorf("keys: %w", e)
	}
	for _, p := range []string{k.certificatePath(n), k.keyPath(n)} {
		if _, e := os.Lstat(p); !k.overwrite && !errors.Is(e, os.ErrNotExist) {
			return fmt.Errorf("keys: %s already exists; use --overwrite to replace it", p)
		}
	}
	return errors.Join(replaceFile(k.keyPath(n), b), replaceFile(k.certificatePath(n), c))
}

// replaceFile writes b to the file p through a temporary file, so that readers
// see either the old or the new content.
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

// printValidity prints until when the certificate in the file p is valid.
func printValidity(w io.Writer, p string, t time.Time) error {
	_, e := fmt.Fprintf(w, "%s is valid until %s\n", p, t.UTC().Format(minuteLayout))
	return e
}
