package lavenderridge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/load/caller"
)

// loadCmd sends requests to daemons at a limited rate and concurrency, and
// reports latencies and outcomes.
type loadCmd struct {
	clause    *kingpin.CmdClause
	out       io.Writer
	plan      caller.Plan
	targets   []string
	reads     []string
	writes    []string
	rate      float64
	resends   float64
	plotFile  string
	perSecond bool
	json      bool
}

var _ command = (*loadCmd)(nil)

func newLoadCmd(a *kingpin.Application, w io.Writer) command {
	l := &loadCmd{clause: a.Command("load", "Send a bounded load and report latencies and outcomes."), out: w}
	f := l.clause
	f.Flag("target", "Caller address of a daemon; repeat for more.").Required().StringsVar(&l.targets)
	f.Flag("read", "Path of an idempotent request, with an optional weight: /path=3; repeat for more.").StringsVar(&l.reads)
	f.Flag("write", "Path of a keyed non-idempotent request, with an optional weight; repeat for more.").StringsVar(&l.writes)
	f.Flag("rate", "Requests in a second.").Default("100").Float64Var(&l.rate)
	f.Flag("concurrency", "Requests in flight at most.").Default("64").IntVar(&l.plan.Concurrency)
	f.Flag("duration", "How long to send.").Default("10s").DurationVar(&l.plan.Duration)
	f.Flag("timeout", "Time for one request.").Default("2s").DurationVar(&l.plan.Timeout)
	f.Flag("resends", "Fraction of the keyed requests to send twice, from 0 to 1.").Default("0").Float64Var(&l.resends)
	f.Flag("seed", "Seed of the choice of requests.").Default("1").Uint64Var(&l.plan.Seed)
	f.Flag("plot", "Write a plot by second to this .svg or .png file.").StringVar(&l.plotFile)
	f.Flag("seconds", "Print one line for each second.").BoolVar(&l.perSecond)
	f.Flag("json", "Print JSON.").BoolVar(&l.json)
	return l
}

func (l *loadCmd) name() string {
	return l.clause.FullCommand()
}

func (l *loadCmd) run(c context.Context) error {
	for _, t := range l.targets {
		l.plan.Targets = append(l.plan.Targets, lavenderridge.Address(t))
	}
	l.plan.Rate, l.plan.Resends = lavenderridge.Rate(l.rate), lavenderridge.Ratio(l.resends)
	if e := l.parseMix(); e != nil {
		return e
	}
	g, e := caller.NewGenerator(c, l.plan)
	if e != nil {
		return e
	}
	r := g.Run(c)
	if l.plotFile != "" {
		if e := r.SavePlot(l.plotFile); e != nil {
			return e
		}
	}
	if l.json {
		return json.NewEncoder(l.out).Encode(r)
	}
	e = r.WriteTable(l.out)
	if l.perSecond {
		e = errors.Join(e, r.WriteSeconds(l.out))
	}
	return e
}

// parseMix adds the requests of the flags --read and --write to the plan.
func (l *loadCmd) parseMix() error {
	var f lavenderridge.Findings
	for i, s := range l.reads {
		l.addShare(&f, fmt.Sprintf("--read[%d]", i), s, false)
	}
	for i, s := range l.writes {
		l.addShare(&f, fmt.Sprintf("--write[%d]", i), s, true)
	}
	return f.Err()
}

// addShare adds the request s, "/path" or "/path=weight", to the plan, and its
// findings to f with the place p. The requests are keyed if k is set.
func (l *loadCmd) addShare(f *lavenderridge.Findings, p, s string, k bool) {
	v, w, o := strings.Cut(s, "=")
	n := 1
	if o {
		x, e := strconv.Atoi(w)
		if e != nil {
			f.Add(p, "%q is not a weight", w)
		}
		n = x
	}
	if !strings.HasPrefix(v, "/") {
		f.Add(p, "%q does not begin with a slash", v)
	}
	l.plan.Mix = append(l.plan.Mix, caller.Share{Path: v, Weight: n, Keyed: k})
}
