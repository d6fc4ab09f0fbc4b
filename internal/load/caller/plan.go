package caller

import (
	"fmt"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// Bounds of a load.
const (
	maxRate        lavenderridge.Rate = 100_000
	maxConcurrency                    = 10_000
	maxDuration                       = time.Hour
)

// A Plan describes a load.
type Plan struct {
	// Targets are the daemons that the callers meet, in turn.
	Targets []lavenderridge.Address
	Mix     []Share
	// Rate is the number of requests begun in a second.
	Rate lavenderridge.Rate
	// Concurrency bounds the requests in flight.
	Concurrency int
	Duration    time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// Resends is the part of the keyed requests that are sent again, through
	// another target, with the same key.
	Resends lavenderridge.Ratio
	// Seed fixes the choice of requests.
	Seed uint64
}

// Check returns every fault of the plan.
func (p *Plan) Check() lavenderridge.Findings {
	var f lavenderridge.Findings
	if len(p.Targets) == 0 {
		f.Add("Targets", "no target")
	}
	if len(p.Mix) == 0 {
		f.Add("Mix", "no request")
	}
	for i, s := range p.Mix {
		if s.Weight < 1 {
			f.Add(fmt.Sprintf("Mix[%d].Weight", i), "%d is below 1", s.Weight)
		}
	}
	if p.Rate <= 0 || p.Rate > maxRate {
		f.Add("Rate", "%g is not above 0 and at most %g", p.Rate, maxRate)
	}
	if p.Concurrency < 1 || p.Concurrency > maxConcurrency {
		f.Add("Concurrency", "%d is not from 1 to %d", p.Concurrency, maxConcurrency)
	}
	if p.Duration <= 0 || p.Duration > maxDuration {
		f.Add("Duration", "%s is not above 0 and at most %s", p.Duration, maxDuration)
	}
	if p.Timeout <= 0 {
		f.Add("Timeout", "%s is not above 0", p.Timeout)
	}
	if p.Resends < 0 || p.Resends > 1 {
		f.Add("Resends", "%g is not from 0 to 1", p.Resends)
	}
	return f
}
