package lavenderridge

import (
	"fmt"
	"strings"
)

// Findings is an error that lists every fault found in one value. An empty
// list means that the value is valid.
type Findings []Finding

var _ error = Findings(nil)

// Add appends a finding at the place p with a formatted message.
func (f *Findings) Add(p, m string, a ...any) {
	*f = append(*f, Finding{Place: p, Message: fmt.Sprintf(m, a...)})
}

// Err returns f as an error, or nil when there is no finding.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error returns the findings, one on each line.
func (f Findings) Error() string {
	s := make([]string, len(f))
	for i, v := range f {
		s[i] = v.String()
	}
	return strings.Join(s, "\n")
}
