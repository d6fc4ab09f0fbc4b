package operatorhttp

import (
	"fmt"
	"net/url"
	"strconv"

	"github.com/lavenderridge/lavenderridge"
)

const (
	defaultLimit = 100
	maxLimit     = 10_000
)

// A DecisionQuery selects decisions.
type DecisionQuery struct {
	// Subject and Event select decisions with equal values; an empty one selects
	// all.
	Subject string
	Event   string
	// Limit is the maximum number of decisions; zero means the default.
	Limit int
}

// parseDecisionQuery returns the query in the URL parameters v.
func parseDecisionQuery(v url.Values) (DecisionQuery, error) {
	q := DecisionQuery{Subject: v.Get("subject"), Event: v.Get("event"), Limit: defaultLimit}
	l := v.Get("limit")
	if l == "" {
		return q, nil
	}
	n, e := strconv.Atoi(l)
	if e != nil || n < 1 || n > maxLimit {
		return q, fmt.Errorf("operatorhttp: limit %q is not a number from 1 to %d", l, maxLimit)
	}
	q.Limit = n
	return q, nil
}

// values returns the query as URL parameters.
func (q DecisionQuery) values() url.Values {
	v := url.Values{}
	if q.Subject != "" {
		v.Set("subject", q.Subject)
	}
	if q.Event != "" {
		v.Set("event", q.Event)
	}
	if q.Limit > 0 {
		v.Set("limit", strconv.Itoa(q.Limit))
	}
	return v
}

// Match reports whether the query selects d.
func (q DecisionQuery) Match(d *lavenderridge.Decision) bool {
	return (q.Subject == "" || q.Subject == d.Subject) && (q.Event == "" || q.Event == d.Event)
}
