package lavenderridge

import (
	"bufio"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge"
)

// maxKeyText bounds the length of a customer's key in bytes.
const maxKeyText = 4 << 10

// hashKeyCmd shows the hash of a customer's key. It reads the key from a stream, because
// arguments are visible to other users of the machine.
type hashKeyCmd struct {
	clause *kingpin.CmdClause
	in     io.Reader
	out    io.Writer
}

var _ command = (*hashKeyCmd)(nil)

func newHashKeyCmd(a *kingpin.Application, r io.Reader, w io.Writer) command {
	return &hashKeyCmd{clause: a.Command("hash-key", "Show the hash of a customer's key, which is read from standard input, for a catalogue."), in: r, out: w}
}

func (h *hashKeyCmd) name() string {
	return h.clause.FullCommand()
}

func (h *hashKeyCmd) run(context.Context) error {
	s, e := bufio.NewReader(io.LimitReader(h.in, maxKeyText)).ReadString('\n')
	if e != nil && !errors.Is(e, io.EOF) {
		return fmt.Errorf("standard input: %w", e)
	}
	s = strings.TrimSpace(s)
	if s == "" {
		return errors.New("standard input has no key")
	}
	k := lavenderridge.NewCustomerKey([]byte(s))
	_, e = fmt.Fprintln(h.out, hex.EncodeToString(k[:]))
	return e
}
