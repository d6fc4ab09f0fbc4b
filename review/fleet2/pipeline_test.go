//go:build review

package fleet2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// clientWindow is the receive buffer of a client, in bytes.
	clientWindow = 8 << 10
	// linkBytes is what a link of 10 Mbit/s carries in a millisecond.
	linkBytes = 1250
)

// pipelined is the result of the first of two requests on a connection.
type pipelined struct {
	id          string
	got, length int
	err         string
}

func (p pipelined) whole() bool { return p.err == "" && p.got == p.length && p.length > 0 }

// slowReader reads at the rate of a link.
type slowReader struct{ net.Conn }

// Read implements io.Reader.
func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.Conn.Read(b[:min(len(b), linkBytes)])
}

// sendPipelined sends a request, and a second one before the first has been answered.
func (m *machine) sendPipelined(path string) pipelined {
	p := pipelined{id: fmt.Sprintf("%016x", rand.Uint64())}
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientWindow)
		})
	}}
	n, err := d.Dial("tcp", m.outbound())
	if err != nil {
		p.err = err.Error()
		return p
	}
	defer func() { _ = n.Close() }()
	for i, id := range []string{p.id, fmt.Sprintf("%016x", rand.Uint64())} {
		time.Sleep(time.Duration(i) * 100 * time.Millisecond)
		_, _ = fmt.Fprintf(n, "GET %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", path, id, host, id)
	}
	_ = n.SetReadDeadline(time.Now().Add(5 * time.Second))
	r, err := http.ReadResponse(bufio.NewReaderSize(slowReader{n}, linkBytes), nil)
	if err != nil {
		p.err = err.Error()
		return p
	}
	defer func() { _ = r.Body.Close() }()
	p.length = int(r.ContentLength)
	b, err := io.ReadAll(r.Body)
	p.got = len(b)
	if err != nil {
		p.err = err.Error()
	} else if r.StatusCode != http.StatusOK {
		p.err = r.Status
	}
	return p
}
