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
	// TCP detects a broken connection after keepAliveIdle + keepAliveCount *
	// keepAliveInterval.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// releaseDelay is how long a closed connection still counts towards the
	// limit, since the backend server may see the close a little later.
	releaseDelay = 20 * time.Millisecond
)

var errTooManyConnections = errors.New("backendhttp: too many connections")

// dialer opens connections to the backend server, at most max at a time.
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
	return &countedConn{Conn: v, onClose: d.release}, nil
}

func (d *dialer) release() {
	time.AfterFunc(releaseDelay, func() { d.open.Add(-1) })
}
