package settings

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/lavenderridge/lavenderridge"
)

// What findings say of a value's form.
const (
	wantName    = "a name of letters, digits, '.', '_' and '-'"
	wantAddress = "an IP number and a port such as \"127.0.0.1:7100\""
)

// namePattern is the form of instance, data centre and service names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// IsName reports whether s has the form of an instance, data centre or service
// name.
func IsName(s string) bool {
	return namePattern.MatchString(s)
}

// reader reads typed values of a TOML document by key path and collects the
// findings.
type reader struct {
	file     string
	values   map[string]any
	lines    map[string]int
	used     map[string]bool
	findings []placed
}

// placed is a finding with what it is sorted by.
type placed struct {
	line    int
	key     string
	message string
}

func newReader(p string, b []byte) (*reader, lavenderridge.Findings) {
	var m map[string]any
	if e := toml.Unmarshal(b, &m); e != nil {
		var d *toml.DecodeError
		l := p
		if errors.As(e, &d) {
			n, _ := d.Position()
			l = fmt.Sprintf("%s:%d", p, n)
		}
		return nil, lavenderridge.Findings{{Place: l, Message: strings.TrimPrefix(e.Error(), "toml: ")}}
	}
	r := &reader{file: p, values: map[string]any{}, lines: keyLines(b), used: map[string]bool{}}
	r.flatten("", m)
	return r, nil
}

// flatten fills the values by key path. An empty table is a value itself.
func (r *reader) flatten(p string, m map[string]any) {
	for k, v := range m {
		k = joinPath(p, k)
		if t, o := v.(map[string]any); o && len(t) > 0 {
			r.flatten(k, t)
			continue
		}
		r.values[k] = v
	}
}

// empty returns a reader of the same file without findings.
func (r *reader) empty() *reader {
	return &reader{file: r.file, values: r.values, lines: r.lines, used: r.used}
}

func (r *reader) add(k, m string, a ...any) {
	r.findings = append(r.findings, placed{line: r.lines[k], key: k, message: fmt.Sprintf(m, a...)})
}

// sorted returns the findings by line; those of missing keys, which have no
// line, come last.
func (r *reader) sorted() lavenderridge.Findings {
	a := slices.Clone(r.findings)
	slices.SortStableFunc(a, func(a, b placed) int {
		if (a.line == 0) != (b.line == 0) {
			return cmp.Compare(b.line, a.line)
		}
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.key, b.key))
	})
	var f lavenderridge.Findings
	for _, v := range a {
		p := r.file
		if v.line > 0 {
			p = fmt.Sprintf("%s:%d", r.file, v.line)
		}
		f.Add(p+": "+v.key, "%s", v.message)
	}
	return f
}

// unknown adds a finding for each value that nothing has read.
func (r *reader) unknown() {
	for _, k := range slices.Sorted(maps.Keys(r.values)) {
		t, o := r.values[k].(map[string]any)
		if r.used[k] || o && len(t) == 0 && r.section(k) {
			continue
		}
		r.add(k, "unknown name")
	}
}

// section reports whether k is a section of which a key has been asked for.
func (r *reader) section(k string) bool {
	for u := range r.used {
		if strings.HasPrefix(u, k+".") {
			return true
		}
	}
	return false
}

// text returns the string at k. It reports false when there is none, and adds
// a finding when the value has another type.
func (r *reader) text(k, w string) (string, bool) {
	r.used[k] = true
	v, o := r.values[k]
	if !o {
		return "", false
	}
	s, o := v.(string)
	if !o {
		r.add(k, "want %s", w)
	}
	return s, o
}

// required returns the string at k, which must be there.
func (r *reader) required(k, w string) (string, bool) {
	_, o := r.values[k]
	if !o {
		r.used[k] = true
		r.add(k, "missing; want %s", w)
		return "", false
	}
	return r.text(k, w)
}

func (r *reader) name(k string) string {
	s, o := r.required(k, wantName)
	if o && !IsName(s) {
		r.add(k, "%q is not %s", s, wantName)
	}
	return s
}

func (r *reader) path(k string) string {
	s, o := r.required(k, "a file name")
	if o && s == "" {
		r.add(k, "empty; want a file name")
	}
	return beside(r.file, s)
}

// address returns the address at k, or d. Without d the address is required.
func (r *reader) address(k, d string) lavenderridge.Address {
	var s string
	var o bool
	if d == "" {
		s, o = r.required(k, wantAddress)
	} else if s, o = r.text(k, wantAddress); !o {
		return lavenderridge.Address(d)
	}
	if !o {
		return ""
	}
	a, e := netip.ParseAddrPort(s)
	if e != nil || a.Port() == 0 {
		r.add(k, "%q is not %s", s, wantAddress)
		return ""
	}
	return lavenderridge.Address(s)
}

// distinct adds a finding for each address that clashes with an earlier one.
func (r *reader) distinct(a ...string) {
	m := map[string]string{}
	for _, k := range a {
		s, o := r.values[k].(string)
		if !o && k == "Operator.Address" {
			s = defaultOperator
		}
		p, e := netip.ParseAddrPort(s)
		if e != nil {
			continue
		}
		if f, o := m[p.String()]; o {
			r.add(k, "clashes with %s, which is %s as well", f, p)
			continue
		}
		m[p.String()] = k
	}
}

func (r *reader) loopback(k string, a lavenderridge.Address) {
	if a != "" && !isLoopback(a) {
		r.add(k, "%s is not a loopback address; set Operator.AllowRemote to allow it", a)
	}
}

func isLoopback(a lavenderridge.Address) bool {
	p, e := netip.ParseAddrPort(string(a))
	return e == nil && p.Addr().IsLoopback()
}

func (r *reader) free(k string, a lavenderridge.Address) {
	l, e := net.Listen("tcp", string(a))
	if e == nil {
		e = l.Close()
	}
	if e != nil {
		r.add(k, "cannot listen: %v", e)
	}
}

func (r *reader) flag(k string, d bool) bool {
	r.used[k] = true
	v, o := r.values[k]
	if !o {
		return d
	}
	b, o := v.(bool)
	if !o {
		r.add(k, "want true or false")
	}
	return b
}

// table returns the strings in the section k by their names.
func (r *reader) table(k string) map[string]string {
	m := make(map[string]string)
	for p := range r.values {
		n, o := strings.CutPrefix(p, k+".")
		if !o {
			continue
		}
		if s, o := r.text(p, "a name"); o {
			m[n] = s
		}
	}
	return m
}

// optionalAddress returns the address at k, or "" when there is none.
func (r *reader) optionalAddress(k string) lavenderridge.Address {
	r.used[k] = true
	if _, o := r.values[k]; !o {
		return ""
	}
	return r.address(k, "")
}

// fraction returns the number at k, from 0 to m, or d.
func (r *reader) fraction(k string, d, m float64) float64 {
	r.used[k] = true
	v, o := r.values[k]
	if !o {
		return d
	}
	if n, o := v.(int64); o {
		v = float64(n)
	}
	n, o := v.(float64)
	if !o || !(n >= 0 && n <= m) {
		r.add(k, "want a number from 0 to %v", m)
		return d
	}
	return n
}

// count returns the number at k, from a to b, or d.
func (r *reader) count(k string, d, a, b int) int {
	r.used[k] = true
	v, o := r.values[k]
	if !o {
		return d
	}
	n, o := v.(int64)
	if !o || n < int64(a) || n > int64(b) {
		r.add(k, "want a whole number from %d to %d", a, b)
		return d
	}
	return int(n)
}

func (r *reader) duration(k string, d, a, b time.Duration) time.Duration {
	w := fmt.Sprintf("a time from %q to %q with its unit", a, b)
	s, o := r.text(k, w)
	if !o {
		return d
	}
	t, e := time.ParseDuration(s)
	if e != nil || t < a || t > b {
		r.add(k, "%q is not %s", s, w)
		return d
	}
	return t
}

func (r *reader) size(k string, d, a, b lavenderridge.ByteCount) lavenderridge.ByteCount {
	w := fmt.Sprintf("a size from %q to %q with its unit (B, KiB or MiB)", formatSize(a), formatSize(b))
	s, o := r.text(k, w)
	if !o {
		return d
	}
	n, e := parseSize(s)
	if e != nil || n < a || n > b {
		r.add(k, "%q is not %s", s, w)
		return d
	}
	return n
}

func (r *reader) choice(k, d string, a ...string) string {
	w := "one of " + strings.Join(a, ", ")
	s, o := r.text(k, w)
	if !o {
		return d
	}
	if !slices.Contains(a, s) {
		r.add(k, "%q is not %s", s, w)
		return d
	}
	return s
}

func formatSize(n lavenderridge.ByteCount) string {
	switch {
	case n%lavenderridge.Mebibyte == 0:
		return fmt.Sprintf("%dMiB", n/lavenderridge.Mebibyte)
	case n%lavenderridge.Kibibyte == 0:
		return fmt.Sprintf("%dKiB", n/lavenderridge.Kibibyte)
	default:
		return fmt.Sprintf("%dB", n)
	}
}

func parseSize(s string) (lavenderridge.ByteCount, error) {
	u := map[string]lavenderridge.ByteCount{"B": 1, "KiB": lavenderridge.Kibibyte, "MiB": lavenderridge.Mebibyte}
	i := strings.IndexFunc(s, func(c rune) bool { return c < '0' || c > '9' })
	if i < 0 || u[s[i:]] == 0 {
		return 0, errors.New("settings: no unit")
	}
	n, e := strconv.ParseInt(s[:i], 10, 32)
	if e != nil {
		return 0, fmt.Errorf("settings: %w", e)
	}
	return lavenderridge.ByteCount(n) * u[s[i:]], nil
}
