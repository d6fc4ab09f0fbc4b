package peerquic

import (
	"context"

	"github.com/quic-go/quic-go"
)

// dial is an attempt to connect that several calls wait for.
type dial struct {
	done       chan struct{}
	connection *quic.Conn
	failure    error
}

func newDial() *dial {
	return &dial{done: make(chan struct{})}
}

func (d *dial) finish(n *quic.Conn, e error) {
	d.connection, d.failure = n, e
	close(d.done)
}

// wait returns the connection, or an error when there is none by the end of c.
func (d *dial) wait(c context.Context) (*quic.Conn, error) {
	select {
	case <-d.done:
		return d.connection, d.failure
	case <-c.Done():
		return nil, c.Err()
	}
}
