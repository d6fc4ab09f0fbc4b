package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// strangerCount is the number of concurrent clients that keep to no limits.
	strangerCount = 4
	// maxStay bounds how long one of them keeps a connection, and strangerPause how long
	// it stays away.
	maxStay       = time.Second
	strangerPause = 50 * time.Millisecond
	dialTimeout   = time.Second
	// strangerLines is how many lines it sends, and strangerBody how many bytes.
	strangerLines = 5000
	strangerBody  = 900 << 10
)

// strangerKinds is the number of things that a stranger sends. None of them is a whole
// request, so that none runs.
const strangerKinds = 6

// intrude runs the stranger i until c ends. It sends odd heads and bodies that stop
// short to daemons, and keeps the connections for a while.
func (f *Fleet) intrude(c context.Context, i int) error {
	r := rand.New(rand.NewPCG(f.plan.Seed, uint64(callerCount+i)))
	for c.Err() == nil {
		p := f.processes[r.IntN(len(f.processes))]
		a := []lavenderridge.Address{p.caller, p.operator}[r.IntN(2)]
		t := strangerText(r.IntN(strangerKinds), r)
		d := time.Duration(r.Int64N(int64(maxStay)))
		if n, e := net.DialTimeout("tcp", string(a), dialTimeout); e == nil {
			_ = n.SetDeadline(time.Now().Add(maxStay))
			_, _ = io.WriteString(n, t)
			_ = lavenderridge.Sleep(c, d)
			_ = n.Close()
		}
		if lavenderridge.Sleep(c, strangerPause) != nil {
			break
		}
	}
	return nil
}

// strangerHead begins most of what strangers send.
const strangerHead = "POST /" + writePath + " HTTP/1.1\r\nHost: a\r\n"

// strangerText returns the text of the kind k, which is drawn with r.
func strangerText(k int, r *rand.Rand) string {
	var b strings.Builder
	switch k {
	case 0:
		return ""
	case 1:
		return strings.Repeat("\r\n", strangerLines)
	case 2:
		b.WriteString(strangerHead + "Content-Length: 10\r\n")
		for j := range strangerLines {
			_, _ = fmt.Fprintf(&b, "%x:\r\n", j)
		}
		b.WriteString("\r\nx")
	case 3:
		b.WriteString(strangerHead + strings.Repeat("a:\r\n", r.IntN(4*strangerLines)))
	case 4:
		_, _ = fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n%s", strangerHead, strangerBody, strings.Repeat("x", strangerBody-10))
	default:
		_, _ = fmt.Fprintf(&b, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", strangerHead, strangerBody, strings.Repeat("x", r.IntN(strangerBody)))
	}
	return b.String()
}
