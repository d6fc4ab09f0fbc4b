package caller

import (
	"fmt"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// Upper bounds of the fields of a Plan.
const (
	maxRate        lavenderridge.Rate = 100_000
	maxConcurrency                    = 10_000
	maxDuration                       = time.Hour
)

// A Plan describes a load: its requests, their rate and its duration.
type Plan struct {
	// Targets are the caller addresses of the daemons. Successive requests go to
	// them in turn.
	Targets []lavenderridge.Address
	// Mix is the kinds of requests with their weights.
	Mix []Share
	// Rate is the number of requests per second.
	Rate lavenderridge.Rate
	// Concurrency is the maximum number of requests in flight.
	Concurrency int
	Duration    time.Duration
	// Timeout bounds each send of a request.
	Timeout time.Duration
	// Resends is the fraction of the keyed requests that are sent a second time
	// with the same key, to the next target.
	Resends lavenderridge.Ratio
	// Seed determines which share of the mix each request belongs to and which
	// keyed requests are sent again.
	Seed uint64
}

// Check returns every error in the plan.
func (p *Plan) Check() lavenderridge.Findings {
	var f lavenderridge.Findings
	if len(p.Targets) == 0 {
		f.Add("Targets", "must contain at least one address")
	}
	if len(p.Mix) == 0 {
		f.Add("Mix", "must contain at least one kind of request")
	}
	for i, s := range p.Mix {
		if s.Weight < 1 {
			f.Add(fmt.Sprintf("Mix[%d].Weight", i), "%d is below 1", s.Weight)
		}
	}
	if p.Rate <= 0 || p.Rate > maxRate {
		f.Add("Rate", "%g must be above 0 and at most %g", p.Rate, maxRate)
	}
	if p.Concurrency < 1 || p.Concurrency > maxConcurrency {
		f.Add("Concurrency", "%d must be from 1 to %d", p.Concurrency, maxConcurrency)
	}
	if p.Duration <= 0 || p.Duration > maxDuration {
		f.Add("Duration", "%s must be above 0 and at most %s", p.Duration, maxDuration)
	}
	if p.Timeout <= 0 {
		f.Add("Timeout", "%s must be above 0", p.Timeout)
	}
	if p.Resends < 0 || p.Resends > 1 {
		f.Add("Resends", "%g must be from 0 to 1", p.Resends)
	}
	return f
}
