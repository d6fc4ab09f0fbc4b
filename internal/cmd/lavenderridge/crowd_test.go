package lavenderridge_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of what the clients of a crowd send, in bytes.
const (
	legalHead = 63 << 10
	largeHead = 15 << 10 // of the door of operators, whose limit is lower
	legalBody = 1000 << 10
)

// Times of a crowd.
const (
	settlePause   = 700 * time.Millisecond
	settleTimeout = 5 * time.Second
	returnPause   = 100 * time.Millisecond
)

// maxReturns is how often a client comes back whose connection was closed.
const maxReturns = 10

// A crowd is a number of clients that all send the same kind of thing to one door, and
// keep their connections.
type crowd struct {
	door, kind string
	size       int
	// send sends what the client i sends on a new connection. It returns when it has
	// nothing more to send.
	send  func(n net.Conn, i int)
	stop  chan struct{}
	ended sync.WaitGroup
	sent  atomic.Int64
}

// countedCrowdConn counts the bytes that a crowd sends.
type countedCrowdConn struct {
	net.Conn
	sent *atomic.Int64
}

// Write implements net.Conn.
func (n countedCrowdConn) Write(b []byte) (int, error) {
	k, e := n.Conn.Write(b)
	n.sent.Add(int64(k))
	return k, e
}

// start starts the clients, who go to the address a.
func (c *crowd) start(a string) {
	for i := range c.size {
		c.ended.Go(func() {
			for range maxReturns {
				c.visit(a, i)
				select {
				case <-c.stop:
					return
				case <-time.After(returnPause):
				}
			}
		})
	}
}

// visit lets the client i make one connection to a. It returns when the connection is
// closed by the daemon, or when the crowd ends.
func (c *crowd) visit(a string, i int) {
	n, e := net.DialTimeout("tcp", a, time.Second)
	if e != nil {
		return
	}
	d := make(chan struct{})
	go func() {
		defer close(d)
		c.send(countedCrowdConn{Conn: n, sent: &c.sent}, i)
	}()
	select {
	case <-c.stop:
		_ = n.Close()
		<-d
		return
	case <-d:
	}
	defer func() { _ = n.Close() }()
	for t := time.NewTicker(returnPause); ; {
		select {
		case <-c.stop:
			t.Stop()
			return
		case <-t.C:
			if peerClosed(n) {
				t.Stop()
				return
			}
		}
	}
}

// peerClosed reports whether the other side has closed the connection n, without
// reading more than one byte of what has arrived.
func peerClosed(n net.Conn) bool {
	var b [1]byte
	_ = n.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, e := n.Read(b[:])
	if e == nil {
		return false
	}
	var v net.Error
	return !errors.As(e, &v) || !v.Timeout()
}

// settle waits until the crowd has sent all that it can send, and calls f all the while.
func (c *crowd) settle(f func()) {
	t, s, w := time.Now(), int64(-1), time.Now()
	for time.Since(t) < settleTimeout && time.Since(w) < settlePause {
		if v := c.sent.Load(); v != s {
			s, w = v, time.Now()
		}
		f()
		time.Sleep(20 * time.Millisecond)
	}
}

// end closes the connections of the crowd.
func (c *crowd) end() {
	close(c.stop)
	c.ended.Wait()
}

// plainCrowds are the kinds of crowds at the doors that speak HTTP/1.
var plainCrowds = map[string]func(n net.Conn, _ int){
	// A head of legal size with a body that stops short.
	"many-names": func(n net.Conn, _ int) {
		stopShort(n, legalHead, func(j int) string { return fmt.Sprintf("%x:\r\n", j) })
	},
	"new-names": func(n net.Conn, i int) {
		stopShort(n, legalHead, func(j int) string { return fmt.Sprintf("x-%x-%x: y\r\n", i, j) })
	},
	"one-name":       func(n net.Conn, _ int) { stopShort(n, legalHead, func(int) string { return "a:\r\n" }) },
	"one-known-name": func(n net.Conn, _ int) { stopShort(n, legalHead, func(int) string { return "Accept: b\r\n" }) },
	"empty-values": func(n net.Conn, _ int) {
		stopShort(n, legalHead, func(j int) string { return fmt.Sprintf("x%d:   \r\n", j%1000) })
	},
	"long-values": func(n net.Conn, _ int) {
		stopShort(n, legalHead, func(j int) string { return fmt.Sprintf("x%d: %s\r\n", j, strings.Repeat("v", 1000)) })
	},
	"operators-names": func(n net.Conn, _ int) {
		stopShort(n, largeHead, func(j int) string { return fmt.Sprintf("%x:\r\n", j) })
	},
	"names-unfinished": func(n net.Conn, _ int) {
		_, _ = io.WriteString(n, "POST /roster/1 HTTP/1.1\r\nHost: a\r\n"+lines(legalHead, func(j int) string { return fmt.Sprintf("%x:\r\n", j) }))
	},
	"many-cookies": func(n net.Conn, _ int) {
		stopShort(n, legalHead, func(j int) string { return fmt.Sprintf("Cookie: %x\r\n", j) })
	},
	// Heads over the limit.
	"large-head": func(n net.Conn, _ int) {
		_, _ = io.WriteString(n, "GET /roster/1 HTTP/1.1\r\nHost: a\r\n"+lines(1<<20, func(j int) string { return fmt.Sprintf("x-%x: y\r\n", j) })+"\r\n")
	},
	"head-without-end":       func(n net.Conn, _ int) { endless(n, "GET /roster/1 HTTP/1.1\r\nHost: a\r\n", "x-y: z\r\n") },
	"line-without-end":       func(n net.Conn, _ int) { endless(n, "GET /roster/", "aaaaaaaaaaaaaaaa") },
	"value-without-end":      func(n net.Conn, _ int) { endless(n, "GET /roster/1 HTTP/1.1\r\nHost: a\r\nX: ", "aaaaaaaaaaaaaaaa") },
	"empty-lines":            func(n net.Conn, _ int) { endless(n, "", "\r\n") },
	"empty-lines-kept":       func(n net.Conn, _ int) { endless(n, "GET /roster/1 HTTP/1.1\r\nHost: a\r\n\r\n", "\r\n") },
	"trailers-without-end":   func(n net.Conn, _ int) { endless(n, chunked+"1\r\nx\r\n0\r\n", "x-y: z\r\n") },
	"extensions-without-end": func(n net.Conn, _ int) { endless(n, chunked+"1", ";x=yyyyyyyyyyyyyyyy") },
	"many-extensions":        func(n net.Conn, _ int) { endless(n, chunked, "1;"+strings.Repeat("e", 1000)+"\r\nx\r\n") },
	// Bodies.
	"short-of-length": func(n net.Conn, _ int) {
		_, _ = io.WriteString(n, fmt.Sprintf("POST /roster/1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", legalBody)+strings.Repeat("x", legalBody-10))
	},
	"short-of-chunks": func(n net.Conn, _ int) {
		_, _ = io.WriteString(n, fmt.Sprintf("%s%x\r\n%s", chunked, legalBody, strings.Repeat("x", legalBody-10)))
	},
	"little-chunks": func(n net.Conn, _ int) { _, _ = io.WriteString(n, chunked+strings.Repeat("1\r\nx\r\n", 40<<10)) },
	"byte-by-byte": func(n net.Conn, _ int) {
		if _, e := io.WriteString(n, fmt.Sprintf("POST /roster/1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", legalBody)); e != nil {
			return
		}
		for {
			if _, e := io.WriteString(n, "x"); e != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	},
	// Responses that nobody reads.
	"unread": func(n net.Conn, _ int) {
		_, _ = io.WriteString(n, "GET "+largeResponsePath+" HTTP/1.1\r\nHost: a\r\n\r\n")
	},
	"unread-behind": func(n net.Conn, _ int) {
		_, _ = io.WriteString(n, strings.Repeat("GET "+largeResponsePath+" HTTP/1.1\r\nHost: a\r\n\r\n", 50))
	},
	"unread-operators": func(n net.Conn, _ int) {
		_, _ = io.WriteString(n, strings.Repeat("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 2000))
	},
	"silent": func(net.Conn, int) {},
	"kept":   func(n net.Conn, _ int) { _, _ = io.WriteString(n, "GET /roster/1 HTTP/1.1\r\nHost: a\r\n\r\n") },
}

const chunked = "POST /roster/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

// lines returns the header lines that f returns, of n bytes in all.
func lines(n int, f func(j int) string) string {
	var b strings.Builder
	for j := 0; b.Len() < n; j++ {
		b.WriteString(f(j))
	}
	return b.String()
}

// stopShort sends a head of m bytes with the lines that f returns, and a body that stops
// short of its end.
func stopShort(n net.Conn, m int, f func(j int) string) {
	const head = "POST /roster/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n"
	_, _ = io.WriteString(n, head+lines(m-len(head), f)+"\r\nx")
}

// endless sends b and then v again and again until the connection fails.
func endless(n net.Conn, b, v string) {
	if _, e := io.WriteString(n, b); e != nil {
		return
	}
	for v = strings.Repeat(v, 1+4096/len(v)); ; {
		if _, e := io.WriteString(n, v); e != nil {
			return
		}
		// Many of these clients share the processor with the daemon.
		time.Sleep(time.Millisecond)
	}
}
