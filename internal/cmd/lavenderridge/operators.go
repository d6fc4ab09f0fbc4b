package lavenderridge

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

const (
	askTimeout   = 5 * time.Second
	maxAsked     = 32
	tablePadding = 2
)

// operators holds the flags of a command that asks daemons.
type operators struct {
	addresses []string
	json      bool
}

// answer is what one daemon answered.
type answer[T any] struct {
	Operator string
	Value    T      `json:",omitzero"`
	Error    string `json:",omitempty"`
}

func (o *operators) flags(k *kingpin.CmdClause) {
	k.Flag("operator", "Operator address of a daemon; may be repeated.").Default("127.0.0.1:7300").StringsVar(&o.addresses)
	k.Flag("json", "Print JSON.").BoolVar(&o.json)
}

// ask puts the question f to every daemon of o. With the answers, in the order
// of the addresses, it returns an error for the daemons that gave none.
func ask[T any](c context.Context, o *operators, f func(c context.Context, l *operatorhttp.Client) (T, error)) ([]answer[T], error) {
	c, n := context.WithTimeout(c, askTimeout)
	defer n()
	a := make([]answer[T], len(o.addresses))
	x := make([]error, len(a))
	var g errgroup.Group
	g.SetLimit(maxAsked)
	for i, s := range o.addresses {
		g.Go(func() error {
			a[i].Operator = s
			if a[i].Value, x[i] = askOne(c, s, f); x[i] != nil {
				a[i].Error = x[i].Error()
			}
			return nil
		})
	}
	_ = g.Wait()
	return a, errors.Join(x...)
}

func askOne[T any](c context.Context, s string, f func(c context.Context, l *operatorhttp.Client) (T, error)) (T, error) {
	l, e := operatorhttp.NewClient(c, lavenderridge.Address(s))
	if e != nil {
		var v T
		return v, e
	}
	defer func() { _ = l.Close() }()
	return f(c, l)
}

// printJSON writes v to w, indented.
func printJSON(w io.Writer, v any) error {
	j := json.NewEncoder(w)
	j.SetIndent("", "  ")
	return j.Encode(v)
}

// newTable returns a writer that aligns columns separated by tabs.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
}
