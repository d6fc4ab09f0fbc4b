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

// Descriptions of the form of a value, used in findings.
const (
	nameForm    = "a name of letters, digits, '.', '_' and '-'"
	addressForm = "an IP address and a port such as \"127.0.0.1:7100\""
)

// namePattern matches instance, data centre and service names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// IsName reports whether s has the form of an instance, data centre or service
// name.
func IsName(s string) bool {
	return namePattern.MatchString(s)
}

// reader returns the values of a TOML document by key path, such as
// "Caller.Address", and collects findings. A value of the wrong type or outside its
// bounds gives a finding.
type reader struct {
	file     string
	values   map[string]any
	lines    map[string]int
	used     map[string]bool // key paths that have been requested
	findings []keyFinding
}

// keyFinding is a finding about a key path. The line is zero if the document does
// not contain the key path.
type keyFinding struct {
	line    int
	key     string
	message string
}

// newReader returns a reader of the document b of the file p, or nil and a finding
// if b is not valid TOML.
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

// flatten adds the values of the table m, whose key path is p. An empty table
// counts as a value, so that checkUnknown can find it.
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

// withoutFindings returns a reader of the same document that has no findings.
func (r *reader) withoutFindings() *reader {
	return &reader{file: r.file, values: r.values, lines: r.lines, used: r.used}
}

// add adds a finding about the key path k with the format m and its arguments a.
func (r *reader) add(k, m string, a ...any) {
	r.findings = append(r.findings, keyFinding{line: r.lines[k], key: k, message: fmt.Sprintf(m, a...)})
}

// sortedFindings returns the findings sorted by line. Findings about missing keys
// have no line and come last.
func (r *reader) sortedFindings() lavenderridge.Findings {
	a := slices.Clone(r.findings)
	slices.SortStableFunc(a, func(a, b keyFinding) int {
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

// checkUnknown adds a finding for each value that has not been requested.
func (r *reader) checkUnknown() {
	for _, k := range slices.Sorted(maps.Keys(r.values)) {
		t, o := r.values[k].(map[string]any)
		if r.used[k] || o && len(t) == 0 && r.isSection(k) {
			continue
		}
		r.add(k, "unknown name")
	}
}

// isSection reports whether k is a section of which a key has been requested.
func (r *reader) isSection(k string) bool {
	for u := range r.used {
		if strings.HasPrefix(u, k+".") {
			return true
		}
	}
	return false
}

// text returns the string at k. It reports false if there is no value or one of
// another type; the latter gives a finding with the description w of the form.
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

// requiredText is like text, but a missing value gives a finding too.
func (r *reader) requiredText(k, w string) (string, bool) {
	_, o := r.values[k]
	if !o {
		r.used[k] = true
		r.add(k, "missing; want %s", w)
		return "", false
	}
	return r.text(k, w)
}

// name returns the name at k, which is required.
func (r *reader) name(k string) string {
	s, o := r.requiredText(k, nameForm)
	if o && !IsName(s) {
		r.add(k, "%q is not %s", s, nameForm)
	}
	return s
}

// path returns the file path at k, which is required, resolved relative to the
// directory of the settings file.
func (r *reader) path(k string) string {
	s, o := r.requiredText(k, "a file name")
	if o && s == "" {
		r.add(k, "empty; want a file name")
	}
	return resolvePath(r.file, s)
}

// address returns the address at k, or the default d if there is none. If d is
// empty, the address is required.
func (r *reader) address(k, d string) lavenderridge.Address {
	var s string
	var o bool
	if d == "" {
		s, o = r.requiredText(k, addressForm)
	} else if s, o = r.text(k, addressForm); !o {
		return lavenderridge.Address(d)
	}
	if !o {
		return ""
	}
	a, e := netip.ParseAddrPort(s)
	if e != nil || a.Port() == 0 {
		r.add(k, "%q is not %s", s, addressForm)
		return ""
	}
	return lavenderridge.Address(s)
}

// checkDistinct adds a finding for each of the key paths a whose address equals
// that of an earlier one.
func (r *reader) checkDistinct(a ...string) {
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

// checkLoopback adds a finding about k if a is not a loopback address.
func (r *reader) checkLoopback(k string, a lavenderridge.Address) {
	if a != "" && !isLoopback(a) {
		r.add(k, "%s is not a loopback address; set Operator.AllowRemote to allow it", a)
	}
}

func isLoopback(a lavenderridge.Address) bool {
	p, e := netip.ParseAddrPort(string(a))
	return e == nil && p.Addr().IsLoopback()
}

// checkFree adds a finding about k if it is not possible to listen on the address
// a.
func (r *reader) checkFree(k string, a lavenderridge.Address) {
	l, e := net.Listen("tcp", string(a))
	if e == nil {
		e = l.Close()
	}
	if e != nil {
		r.add(k, "cannot listen: %v", e)
	}
}

// boolean returns the truth value at k, or the default d if there is none.
func (r *reader) boolean(k string, d bool) bool {
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

// table returns the strings of the section k by key.
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

// optionalAddress returns the address at k, or "" if there is none.
func (r *reader) optionalAddress(k string) lavenderridge.Address {
	r.used[k] = true
	if _, o := r.values[k]; !o {
		return ""
	}
	return r.address(k, "")
}

// number returns the number at k, which must be from 0 to m, or the default d.
func (r *reader) number(k string, d, m float64) float64 {
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

// integer returns the whole number at k, which must be from a to b, or the default
// d.
func (r *reader) integer(k string, d, a, b int) int {
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

// duration returns the duration at k, which must be from a to b, or the default d.
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

// size returns the size at k, which must be from a to b, or the default d.
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

// choice returns the string at k, which must be one of a, or the default d.
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
		return 0, errors.New("settings: size without a unit (B, KiB or MiB)")
	}
	n, e := strconv.ParseInt(s[:i], 10, 32)
	if e != nil {
		return 0, fmt.Errorf("settings: %w", e)
	}
	return lavenderridge.ByteCount(n) * u[s[i:]], nil
}
