package plainhttp

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// TestWritesEndAfterAnAnswer guards against a client who takes one answer and then leaves
// the next one. The HTTP library clears the deadline of writes after each answer.
func TestWritesEndAfterAnAnswer(t *testing.T) {
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	a := NewListener(l, operator.NewClientTable(operator.ClientLimits{}, nil), nil, time.Second)
	defer func() { _ = a.Close() }()
	x, e := net.Dial("tcp", l.Addr().String())
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = x.Close() }()
	n, e := a.Accept()
	if e != nil {
		t.Fatal(e)
	}
	if _, e := n.Write([]byte("first")); e != nil {
		t.Fatal(e)
	}
	if e := n.SetWriteDeadline(time.Time{}); e != nil {
		t.Fatal(e)
	}
	g := make(chan error, 1)
	go func() {
		_, e := n.Write(make([]byte, 64<<20))
		g <- e
	}()
	select {
	case e := <-g:
		if !os.IsTimeout(e) {
			t.Errorf("the write ended with %v; want a timeout", e)
		}
	case <-time.After(20 * time.Second):
		_ = n.Close()
		t.Errorf("the write ended only with its connection: %v", <-g)
	}
	_ = n.Close()
}
