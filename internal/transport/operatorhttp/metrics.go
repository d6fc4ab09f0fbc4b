package operatorhttp

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/rcrowley/go-metrics"
)

const metricPrefix = "lavenderridge_"

// quantiles lists the quantiles that each summary contains.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// metricName is the parsed name of a registered metric. The registry has no
// labels, so they are part of the name, such as in "Requests{Good=true}".
type metricName struct {
	family string
	labels []string
}

// WriteMetrics writes the metrics of the registry r to w in the Prometheus
// text format. Names in Pascal case become snake case; counters end in _total.
func WriteMetrics(w io.Writer, r metrics.Registry) error {
	m := map[string]any{}
	r.Each(func(n string, v any) { m[n] = v })
	b := bufio.NewWriter(w)
	t := map[string]bool{}
	for _, n := range slices.Sorted(maps.Keys(m)) {
		writeMetric(b, t, parseMetricName(n), m[n])
	}
	return b.Flush()
}

func parseMetricName(n string) metricName {
	f, l, _ := strings.Cut(n, "{")
	m := metricName{family: metricPrefix + snakeCase(f)}
	for p := range strings.SplitSeq(strings.TrimSuffix(l, "}"), ",") {
		if k, v, o := strings.Cut(p, "="); o {
			m.labels = append(m.labels, snakeCase(k)+"="+strconv.Quote(v))
		}
	}
	return m
}

// series returns the name with the suffix s, its labels and the additional
// labels a.
func (m metricName) series(s string, a ...string) string {
	l := slices.Concat(m.labels, a)
	if len(l) == 0 {
		return m.family + s
	}
	return m.family + s + "{" + strings.Join(l, ",") + "}"
}

func writeMetric(w io.Writer, t map[string]bool, n metricName, v any) {
	switch v := v.(type) {
	case metrics.Counter:
		writeType(w, t, n.family+"_total", "counter")
		_, _ = fmt.Fprintf(w, "%s %d\n", n.series("_total"), v.Count())
	case metrics.Gauge:
		writeType(w, t, n.family, "gauge")
		_, _ = fmt.Fprintf(w, "%s %d\n", n.series(""), v.Value())
	case metrics.GaugeFloat64:
		writeType(w, t, n.family, "gauge")
		_, _ = fmt.Fprintf(w, "%s %g\n", n.series(""), v.Value())
	case metrics.Meter:
		writeType(w, t, n.family+"_total", "counter")
		_, _ = fmt.Fprintf(w, "%s %d\n", n.series("_total"), v.Snapshot().Count())
	case metrics.Timer:
		n.family += "_nanoseconds"
		s := v.Snapshot()
		writeSummary(w, t, n, s.Percentiles(quantiles), s.Sum(), s.Count())
	case metrics.Histogram:
		s := v.Snapshot()
		writeSummary(w, t, n, s.Percentiles(quantiles), s.Sum(), s.Count())
	}
}

// writeSummary writes a summary with the values q of the quantiles, the sum s
// and the count c.
func writeSummary(w io.Writer, t map[string]bool, n metricName, q []float64, s, c int64) {
	writeType(w, t, n.family, "summary")
	for i, v := range q {
		l := fmt.Sprintf("quantile=\"%g\"", quantiles[i])
		_, _ = fmt.Fprintf(w, "%s %g\n", n.series("", l), v)
	}
	_, _ = fmt.Fprintf(w, "%s %d\n%s %d\n", n.series("_sum"), s, n.series("_count"), c)
}

// writeType writes the TYPE line of the metric family f with the type k, unless
// t contains f. It adds f to t.
func writeType(w io.Writer, t map[string]bool, f, k string) {
	if t[f] {
		return
	}
	t[f] = true
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n", f, k)
}

// snakeCase returns the Pascal-case name s in snake case. Consecutive capitals
// form one word.
func snakeCase(s string) string {
	var b strings.Builder
	r := []rune(s)
	for i, c := range r {
		switch {
		case unicode.IsUpper(c):
			if i > 0 && startsWord(r, i) {
				b.WriteByte('_')
			}
			b.WriteRune(unicode.ToLower(c))
		case unicode.IsLower(c) || unicode.IsDigit(c):
			b.WriteRune(c)
		default:
			b.WriteByte('_')
		}
	}
	return b.String()
}

// startsWord reports whether the capital at the index i begins a word of r.
func startsWord(r []rune, i int) bool {
	if unicode.IsLower(r[i-1]) || unicode.IsDigit(r[i-1]) {
		return true
	}
	return unicode.IsUpper(r[i-1]) && i+1 < len(r) && unicode.IsLower(r[i+1])
}
