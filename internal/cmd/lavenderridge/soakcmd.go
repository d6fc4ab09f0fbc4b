package lavenderridge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/soak/fleet"
	"github.com/lavenderridge/lavenderridge/internal/soak/judge"
	"github.com/lavenderridge/lavenderridge/internal/soak/plan"
)

// soakCmd runs daemons as processes, injects random faults and checks the
// guarantees of the system against what was observed from outside.
type soakCmd struct {
	clause      *kingpin.CmdClause
	out         io.Writer
	firstSeed   uint64
	seedCount   int
	daemons     int
	dataCentres int
	duration    time.Duration
	logRoot     string
	printSteps  bool
	customers   bool
}

var _ command = (*soakCmd)(nil)

func newSoakCmd(a *kingpin.Application, w io.Writer) command {
	s := &soakCmd{clause: a.Command("soak", "Run daemons as processes on this machine, disturb them by random faults and check the promises."), out: w}
	s.clause.Flag("seed", "First seed; zero draws one.").Uint64Var(&s.firstSeed)
	s.clause.Flag("seeds", "Number of runs, each with the next seed.").Default("1").IntVar(&s.seedCount)
	s.clause.Flag("daemons", "Number of daemons.").Default("8").IntVar(&s.daemons)
	s.clause.Flag("data-centres", "Number of data centres.").Default("3").IntVar(&s.dataCentres)
	s.clause.Flag("duration", "Period during which new faults start.").Default("15s").DurationVar(&s.duration)
	s.clause.Flag("keep", "Directory for the logs of the daemons, with a subdirectory for each seed; without it the logs are deleted.").StringVar(&s.logRoot)
	s.clause.Flag("customers", "Publish catalogues with customers, which daemons of earlier versions reject.").Default("true").BoolVar(&s.customers)
	s.clause.Flag("steps", "Print the faults.").BoolVar(&s.printSteps)
	return s
}

func (s *soakCmd) name() string {
	return s.clause.FullCommand()
}

func (s *soakCmd) run(c context.Context) error {
	if s.daemons < s.dataCentres || s.dataCentres < 2 {
		return errors.New("soak: need at least two data centres, and at least one daemon for each")
	}
	if s.firstSeed == 0 {
		s.firstSeed = uint64(rand.Uint32()) + 1
	}
	n := 0
	for i := range uint64(s.seedCount) {
		o, e := s.runSeed(c, s.firstSeed+i)
		if e != nil {
			return e
		}
		if !o {
			n++
		}
	}
	if n > 0 {
		return fmt.Errorf("soak: %d of %d seeds failed", n, s.seedCount)
	}
	return nil
}

// runSeed runs the plan drawn from the seed n and reports whether all
// guarantees held.
func (s *soakCmd) runSeed(c context.Context, n uint64) (bool, error) {
	d, e := s.logDirectory(n)
	if e != nil {
		return false, fmt.Errorf("soak: %w", e)
	}
	if s.logRoot == "" {
		defer func() { _ = os.RemoveAll(d) }()
	}
	b, e := os.Executable()
	if e != nil {
		return false, fmt.Errorf("soak: %w", e)
	}
	p := plan.NewPlan(n, s.daemons, s.dataCentres, s.duration)
	if !s.customers {
		p.Customers, p.Revocations = 0, nil
	}
	if s.printSteps {
		for _, v := range p.Steps {
			_, _ = fmt.Fprintln(s.out, v)
		}
	}
	c, f := context.WithCancel(c)
	defer f()
	l, e := fleet.NewFleet(c, p, b, d)
	if e != nil {
		return false, e
	}
	v, e := l.Run(c)
	if e != nil {
		return false, e
	}
	return s.printResult(p, v), nil
}

// logDirectory creates and returns the directory for the logs of the seed n. It
// is a temporary directory unless --keep is set.
func (s *soakCmd) logDirectory(n uint64) (string, error) {
	if s.logRoot == "" {
		return os.MkdirTemp("", "lavenderridge-soak")
	}
	d := filepath.Join(s.logRoot, fmt.Sprintf("seed-%d", n))
	return d, os.MkdirAll(d, 0o700)
}

// printResult prints the counts and findings of a run of the plan p, and
// reports whether there were no findings.
func (s *soakCmd) printResult(p *plan.Plan, v *judge.History) bool {
	r := map[judge.Result]int{}
	for _, x := range v.Sends {
		r[x.Result]++
	}
	a := judge.Judge(v)
	_, _ = fmt.Fprintf(s.out, "seed %d: %d faults, %d stops, %d requests (%d answered, %d not run, %d unknown, %d broken, %d unsent), %d runs, %d findings\n",
		p.Seed, len(p.Steps), len(v.Stops), len(v.Sends), r[judge.Answered], r[judge.NotRun], r[judge.Unknown], r[judge.Broken], r[judge.Unsent], len(v.Runs), len(a))
	for _, x := range a {
		_, _ = fmt.Fprintf(s.out, "  %s: %s\n", x.Place, x.Message)
	}
	return len(a) == 0
}
