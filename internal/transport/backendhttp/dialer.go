package backendhttp

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	dialTimeout = time.Second
	// A dead path is noticed after keepAliveIdle and keepAliveCount times
	// keepAliveInterval.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// closeDelay is how long a closed connection keeps its place, since the
	// backend server may notice the end a little later.
	closeDelay = 20 * time.Millisecond
)

var errTooManyConnections = errors.New("backendhttp: too many connections")

// dialer opens connections to the backend server, up to a bound.
type dialer struct {
	net  net.Dialer
	max  lavenderridge.Connections
	open atomic.Int64
}

func newDialer(n lavenderridge.Connections) *dialer {
	return &dialer{max: n, net: net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}}
}

func (d *dialer) dial(c context.Context, n, a string) (net.Conn, error) {
	if d.open.Add(1) > int64(d.max) {
		d.open.Add(-1)
		return nil, errTooManyConnections
	}
	v, e := d.net.DialContext(c, n, a)
	if e != nil {
		d.open.Add(-1)
		return nil, e
	}
	return &countedConn{Conn: v, closed: d.release}, nil
}

func (d *dialer) release() {
	time.AfterFunc(closeDelay, func() { d.open.Add(-1) })
}
