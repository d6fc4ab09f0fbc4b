package backendserver_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// The customers of TestFairness: c0 and c1 are large and send as much as twelve others each.
const (
	customerCount = 24
	largeFactor   = 12
)

// usualRate returns the usual load of the customer i, as a multiple of a small one's.
func usualRate(i int) float64 {
	if i < 2 {
		return largeFactor
	}
	return 1
}

// playCustomers plays customers that usually cause x times the load that the slots can run.
// The customer h sends m times its usual. Requests count for their customers if f is set;
// their quotas are in proportion to what they usually send if quotas is set.
func playCustomers(x float64, h int, m float64, f, quotas bool) []overload {
	c := &lavenderridge.Catalogue{}
	var a []float64 // the load of the customers up to each one
	var sum, usual float64
	for i := range customerCount {
		v := lavenderridge.Customer{ID: lavenderridge.CustomerID(fmt.Sprintf("c%d", i))}
		if quotas {
			v.Quota.Rate = lavenderridge.Rate(1.6 * usualRate(i))
		}
		c.Customers = append(c.Customers, v)
		usual += usualRate(i)
		r := usualRate(i)
		if i == h {
			r *= m
		}
		sum += r
		a = append(a, sum)
	}
	s := backendserver.NewFairShares(c)
	o := make([]overload, customerCount)
	index := map[time.Time]int{} // by the time of arrival, for requests that don't count
	playOverload(x*sum/usual, func(k *rand.Rand, n time.Time) backendserver.Arrival {
		q := backendserver.Arrival{Class: lavenderridge.ClassNormal, Deadline: n.Add(500 * time.Millisecond), Objective: n.Add(500 * time.Millisecond)}
		u, i := k.Float64()*sum, 0
		for a[i] < u {
			i++
		}
		index[q.Deadline] = i
		if f {
			q.Customer = c.Customers[i].ID
			q.Cost = s.Cost(q.Customer)
		}
		return q
	}, func(q backendserver.Arrival) *overload { return &o[index[q.Deadline]] })
	return o
}

// describeShares returns the shares of the requests that are served: of all, of the large
// customers, and of the others the mean and the worst; and the same of the one that sends
// more. With the number of all requests that are served.
func describeShares(o []overload, h int) string {
	var b strings.Builder
	share := func(a ...overload) float64 {
		var n, s int
		for _, v := range a {
			n, s = n+v.served+v.refusedAtOnce+v.refusedLater, s+v.served-v.late
		}
		return 100 * float64(s) / float64(max(n, 1))
	}
	var large, small []overload
	worst := 100.0
	for i, v := range o {
		switch {
		case i == h:
			continue
		case i < 2:
			large = append(large, v)
		default:
			small = append(small, v)
		}
		worst = min(worst, share(v))
	}
	n := 0
	for _, v := range o {
		n += v.served
	}
	fmt.Fprintf(&b, "%d served, of all %.0f%%; large customers %.0f%%, small ones %.0f%%, the worst %.0f%%", n, share(o...), share(large...), share(small...), worst)
	if h >= 0 {
		fmt.Fprintf(&b, "; the one that sends more %.0f%%, refused later after a mean wait of %s", share(o[h]),
			(o[h].wasted / time.Duration(max(1, o[h].refusedLater))).Round(time.Millisecond))
	}
	return b.String() + "\n"
}

// TestFairness guards against a customer that sends many times its usual and takes the room
// of the others: without turns, all are refused alike. It plays 60 s of simulated time.
func TestFairness(t *testing.T) {
	datadriven.RunTest(t, "testdata/fairness", func(t *testing.T, d *datadriven.TestData) string {
		var load, times string
		h := -1
		d.ScanArgs(t, "load", &load)
		d.MaybeScanArgs(t, "hot", &h)
		d.MaybeScanArgs(t, "times", &times)
		x, m := 1.0, 1.0
		_, _ = fmt.Sscan(load, &x)
		_, _ = fmt.Sscan(times, &m)
		return "without turns:      " + describeShares(playCustomers(x, h, m, false, false), h) +
			"equal turns:        " + describeShares(playCustomers(x, h, m, true, false), h) +
			"turns by the quota: " + describeShares(playCustomers(x, h, m, true, true), h)
	})
}

// playPublic plays requests without a customer that cause u times the load that the slots
// can run, beside those of equal customers that cause x times it, of which one sends m times
// as much as another. It returns the requests without a customer, those of the customer that
// sends more, and those of the others.
func playPublic(u, x, m float64, f bool) (public, hot, others overload) {
	index := map[time.Time]*overload{}
	playOverload(u+x, func(k *rand.Rand, n time.Time) backendserver.Arrival {
		q := backendserver.Arrival{Class: lavenderridge.ClassNormal, Deadline: n.Add(500 * time.Millisecond), Objective: n.Add(500 * time.Millisecond)}
		o, i := &public, 0
		if k.Float64()*(u+x) >= u {
			o = &hot
			if v := k.Float64() * (customerCount - 1 + m); v >= m {
				o, i = &others, 1+int(v-m)
			}
			if f {
				q.Customer, q.Cost = lavenderridge.CustomerID(fmt.Sprintf("c%d", i)), 1
			}
		}
		index[q.Deadline] = o
		return q
	}, func(q backendserver.Arrival) *overload { return index[q.Deadline] })
	return public, hot, others
}

// TestFairnessBesidePublic guards against requests without a customer that take the room of
// all customers: each new one had its turn in the present round, which only those of
// customers moved on. A few of them, such as calls below running requests, go first.
func TestFairnessBesidePublic(t *testing.T) {
	datadriven.RunTest(t, "testdata/fairness_public", func(t *testing.T, d *datadriven.TestData) string {
		var public, customers, times string
		d.ScanArgs(t, "public", &public)
		d.ScanArgs(t, "customers", &customers)
		d.ScanArgs(t, "times", &times)
		var u, x, m float64
		_, _ = fmt.Sscan(public+" "+customers+" "+times, &u, &x, &m)
		var b strings.Builder
		for _, f := range []bool{false, true} {
			var a []any
			p, h, o := playPublic(u, x, m, f)
			for _, v := range []overload{p, h, o} {
				a = append(a, 100*float64(v.served-v.late)/float64(v.served+v.refusedAtOnce+v.refusedLater))
			}
			fmt.Fprintf(&b, "turns %t: without a customer %.0f%%, the customer that sends more %.0f%%, the others %.0f%%\n", append([]any{f}, a...)...)
		}
		return b.String()
	})
}
