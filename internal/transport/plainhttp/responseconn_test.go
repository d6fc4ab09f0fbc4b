package plainhttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// settleTime is the time until what one side did has reached the other.
const settleTime = 20 * time.Millisecond

// newResponsePair returns a ResponseConn and the server's side of it.
func newResponsePair(t *testing.T) (*ResponseConn, *net.TCPConn) {
	t.Helper()
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = l.Close() }()
	c, e := net.Dial("tcp", l.Addr().String())
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = c.Close() })
	s, e := l.Accept()
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = s.Close() })
	return newResponseConn(c), s.(*net.TCPConn)
}

// TestEndOfResponse guards against a lost connection that looks like a complete response
// because a write got the error.
func TestEndOfResponse(t *testing.T) {
	datadriven.RunTest(t, "testdata/responseconn", func(t *testing.T, d *datadriven.TestData) string {
		c, s := newResponsePair(t)
		var o strings.Builder
		sent, received := make(chan string, 1), make(chan string, 1)
		r := newSentRequest()
		for l := range strings.Lines(d.Input) {
			switch strings.TrimSpace(l) {
			case "server writes":
				_, _ = io.WriteString(s, "part")
			case "server ends its side":
				_ = s.CloseWrite()
			case "server reads":
				_, _ = s.Read(make([]byte, 1<<20))
			case "server resets":
				_ = s.SetLinger(0)
				_ = s.Close()
			case "server closes":
				_ = s.Close()
			case "request begins":
				c.send(r)
			case "request has been written":
				r.end(nil)
			case "client reads meanwhile":
				go func() { received <- readOnce(c) }()
			case "client's read ends":
				o.WriteString(<-received)
			case "client's read has ended":
				_, _ = fmt.Fprintf(&o, "%t\n", len(received) > 0)
			case "client closes":
				_ = c.Close()
			case "client writes":
				_, e := c.Write(make([]byte, 1<<10))
				_, _ = fmt.Fprintf(&o, "write: %s\n", errorName(e))
			case "client writes more than fits":
				go func() {
					_, e := c.Write(make([]byte, 64<<20))
					sent <- errorName(e)
				}()
				for c.writes.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
			case "client's write ends":
				_, _ = fmt.Fprintf(&o, "write: %s\n", <-sent)
			case "client reads":
				o.WriteString(readOnce(c))
			default:
				t.Fatalf("unknown step %q", l)
			}
			time.Sleep(settleTime)
		}
		return o.String()
	})
}

func readOnce(c net.Conn) string {
	b := make([]byte, 16)
	n, e := c.Read(b)
	return fmt.Sprintf("read %q: %s\n", b[:n], errorName(e))
}

// errorName returns a name of the error e without addresses.
func errorName(e error) string {
	var n syscall.Errno
	switch {
	case e == nil:
		return "no error"
	case errors.As(e, &n):
		return n.Error()
	case errors.Is(e, io.EOF):
		return "end"
	case errors.Is(e, net.ErrClosed):
		return "closed"
	}
	var v net.Error
	if errors.As(e, &v) && v.Timeout() {
		return "timeout"
	}
	return e.Error()
}

// lateConn is a connection whose write has got an error that it returns only after a read
// has returned the end.
type lateConn struct {
	net.Conn
	writing, read chan struct{}
}

func (n *lateConn) Write([]byte) (int, error) {
	close(n.writing)
	<-n.read
	time.Sleep(settleTime)
	return 0, syscall.ECONNRESET
}

func (n *lateConn) Read([]byte) (int, error) {
	<-n.writing
	close(n.read)
	return 0, io.EOF
}

func (n *lateConn) SetWriteDeadline(time.Time) error { return nil }

// The write that got the loss of the connection is still running when reading ends.
func TestEndOfResponseDuringAWrite(t *testing.T) {
	n := newResponseConn(&lateConn{writing: make(chan struct{}), read: make(chan struct{})})
	go func() { _, _ = n.Write([]byte("request")) }()
	if _, e := n.Read(make([]byte, 1)); !errors.Is(e, syscall.ECONNRESET) {
		t.Errorf("the read returned %v; want %v", e, syscall.ECONNRESET)
	}
	if _, e := n.Write([]byte("request")); !errors.Is(e, net.ErrClosed) {
		t.Errorf("a write after the end returned %v; want %v", e, net.ErrClosed)
	}
}
