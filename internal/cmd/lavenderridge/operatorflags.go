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
	// queryTimeout bounds the queries of all daemons together.
	queryTimeout         = 5 * time.Second
	maxConcurrentQueries = 32
	tablePadding         = 2
)

// operatorFlags contains the flags of a command that queries the operator
// addresses of daemons.
type operatorFlags struct {
	addresses []string
	json      bool
}

// queryResult is the response of one daemon, or the error of its query.
// Operator is the queried address.
type queryResult[T any] struct {
	Operator string
	Value    T      `json:",omitzero"`
	Error    string `json:",omitempty"`
}

// register adds the flags to the command k.
func (o *operatorFlags) register(k *kingpin.CmdClause) {
	k.Flag("operator", "Operator address of a daemon; may be repeated.").Default("127.0.0.1:7300").StringsVar(&o.addresses)
	k.Flag("json", "Print JSON.").BoolVar(&o.json)
}

// queryAll runs the query f at all daemons of o concurrently. It returns the
// results in the order of the addresses, and the joined errors of the queries
// that failed.
func queryAll[T any](c context.Context, o *operatorFlags, f func(c context.Context, l *operatorhttp.Client) (T, error)) ([]queryResult[T], error) {
	c, n := context.WithTimeout(c, queryTimeout)
	defer n()
	a := make([]queryResult[T], len(o.addresses))
	x := make([]error, len(a))
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	for i, s := range o.addresses {
		g.Go(func() error {
			a[i].Operator = s
			if a[i].Value, x[i] = queryDaemon(c, s, f); x[i] != nil {
				a[i].Error = x[i].Error()
			}
			return nil
		})
	}
	_ = g.Wait()
	return a, errors.Join(x...)
}

// queryDaemon runs the query f at the operator address s.
func queryDaemon[T any](c context.Context, s string, f func(c context.Context, l *operatorhttp.Client) (T, error)) (T, error) {
	l, e := operatorhttp.NewClient(c, lavenderridge.Address(s))
	if e != nil {
		var v T
		return v, e
	}
	defer func() { _ = l.Close() }()
	return f(c, l)
}

// printJSON writes v to w as indented JSON.
func printJSON(w io.Writer, v any) error {
	j := json.NewEncoder(w)
	j.SetIndent("", "  ")
	return j.Encode(v)
}

// newTable returns a writer that aligns tab-separated columns and writes the
// table to w when flushed.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
}
