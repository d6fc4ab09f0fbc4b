package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

// schedulePeriod is the interval at which the generator looks for requests that
// have become due.
const schedulePeriod = time.Millisecond

// A Generator sends the requests of a plan.
type Generator struct {
	plan   Plan
	pool   *plainhttp.Transport
	client *kratoshttp.Client
	// mix contains each share of the plan as often as its weight, so that a
	// uniform draw follows the weights.
	mix []Share
}

// scheduledRequest is one request of the plan. Its offset is the time at which it
// is due, from the start of the load.
type scheduledRequest struct {
	number int
	offset time.Duration
}

// NewGenerator returns a generator for the plan p. The error holds Findings if the
// plan is not valid.
func NewGenerator(c context.Context, p Plan) (*Generator, error) {
	if e := p.Check().Err(); e != nil {
		return nil, e
	}
	t := plainhttp.NewTransport(&http.Transport{MaxIdleConnsPerHost: p.Concurrency, MaxConnsPerHost: p.Concurrency})
	k, e := plainhttp.NewClient(c, t, p.Timeout)
	if e != nil {
		return nil, fmt.Errorf("load: create HTTP client: %w", e)
	}
	g := &Generator{plan: p, pool: t, client: k}
	for _, s := range p.Mix {
		for range s.Weight {
			g.mix = append(g.mix, s)
		}
	}
	return g, nil
}

// Run sends requests until the plan's duration has passed or c ends, waits for
// the requests in flight and returns the report.
func (g *Generator) Run(c context.Context) *Report {
	t := time.Now()
	q := make(chan scheduledRequest, g.plan.Concurrency)
	a := make([]*worker, g.plan.Concurrency)
	var w sync.WaitGroup
	for i := range a {
		a[i] = newWorker(g, t)
		w.Go(func() { a[i].run(c, q) })
	}
	g.schedule(c, t, q)
	close(q)
	w.Wait()
	g.pool.CloseIdleConnections()
	return merge(time.Since(t), a)
}

// schedule sends each request to q as soon as it is due. It blocks while all
// workers are busy and q is full; requests that become due meanwhile follow late.
func (g *Generator) schedule(c context.Context, t time.Time, q chan<- scheduledRequest) {
	k := time.NewTicker(schedulePeriod)
	defer k.Stop()
	n := 0
	for {
		d := min(time.Since(t), g.plan.Duration)
		for ; ; n++ {
			o := time.Duration(float64(n) / float64(g.plan.Rate) * float64(time.Second))
			if o >= d {
				break
			}
			select {
			case q <- scheduledRequest{number: n, offset: o}:
			case <-c.Done():
				return
			}
		}
		if d == g.plan.Duration {
			return
		}
		select {
		case <-k.C:
		case <-c.Done():
			return
		}
	}
}

// chooseShare returns the share to which the request n belongs, and the request's
// random generator, which later decides whether the request is sent again. The
// generator depends on the plan's seed and n only, not on which worker sends the
// request.
func (g *Generator) chooseShare(n int) (Share, *rand.Rand) {
	r := rand.New(rand.NewPCG(g.plan.Seed, uint64(n)))
	return g.mix[r.IntN(len(g.mix))], r
}

// target returns the address for the request n: the plan's targets take turns.
func (g *Generator) target(n int) lavenderridge.Address {
	return g.plan.Targets[n%len(g.plan.Targets)]
}

// merge returns the report on the workers a after the load ran for the time d.
func merge(d time.Duration, a []*worker) *Report {
	var b []*bin
	s, x := 0, 0
	for _, w := range a {
		for i, v := range w.bins {
			for len(b) <= i {
				b = append(b, newBin())
			}
			if v != nil {
				b[i].add(v)
			}
		}
		s += w.resent
		x += w.differing
	}
	r := newReport(d, b)
	r.Resent, r.Differing = s, x
	return r
}
