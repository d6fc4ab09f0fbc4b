//go:build review

package review_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// lastID numbers the requests of all callers.
var lastID atomic.Int64

// outgoing is one request of a caller.
type outgoing struct {
	method, target, host string
	header               []string
	body                 []byte
	deadline             time.Duration
}

// reply is what a caller saw of one request.
type reply struct {
	id     string
	status int
	body   string
	sealed bool
	err    error
	// sentAt is when the last byte was sent.
	sentAt time.Time
	// kept is set if the connection had carried an earlier request.
	kept bool
}

// caller sends requests over one connection, which it keeps. It never resends one by
// itself.
type caller struct {
	address string
	record  *record
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

func newCaller(a string, r *record) *caller {
	return &caller{address: a, record: r}
}

func (l *caller) close() {
	if l.conn != nil {
		_ = l.conn.Close()
	}
	l.conn, l.used = nil, false
}

// send sends q and returns what came back.
func (l *caller) send(q *outgoing) reply {
	p := reply{id: fmt.Sprintf("%016x", lastID.Add(1)), kept: l.used}
	l.record.line("sent         %s to %s, %s %s%s, %d bytes", p.id, l.address, q.method, q.host, q.target, len(q.body))
	if l.conn == nil {
		n, e := net.DialTimeout("tcp", l.address, time.Second)
		if e != nil {
			p.err = e
			l.record.line("no connection %s: %v", p.id, e)
			return p
		}
		l.conn, l.reader = n, bufio.NewReader(n)
	}
	l.exchange(q, &p)
	if p.err != nil {
		l.record.line("no answer    %s: %v", p.id, p.err)
		l.close()
		return p
	}
	l.record.line("answered     %s: %d, seal %t", p.id, p.status, p.sealed)
	l.used = l.conn != nil
	return p
}

func (l *caller) exchange(q *outgoing, p *reply) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.target, q.host, p.id, q.deadline.Milliseconds())
	for _, h := range q.header {
		b.WriteString(h + "\r\n")
	}
	if len(q.body) > 0 || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	_ = l.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, p.err = l.conn.Write(b.Bytes()); p.err != nil {
		return
	}
	p.sentAt = time.Now()
	a, e := http.ReadResponse(l.reader, &http.Request{Method: q.method})
	if e != nil {
		p.err = e
		return
	}
	defer func() { _ = a.Body.Close() }()
	v, e := io.ReadAll(a.Body)
	p.status, p.body, p.sealed, p.err = a.StatusCode, strings.TrimSpace(string(v)), a.Header.Get("Server-Seal") != "", e
	if a.Close {
		l.close()
	}
}
