package peerhttp

import (
	"context"
	"errors"
)

var errConnecting = errors.New("peerhttp: still connecting")

// dial is an attempt to connect that several calls can wait for.
type dial struct {
	done       chan struct{}
	connection *connection
	err        error
}

func newDial() *dial {
	return &dial{done: make(chan struct{})}
}

func (d *dial) finish(n *connection, e error) {
	d.connection, d.err = n, e
	close(d.done)
}

// wait returns the result of the dial, or the cause if c ends before there is one.
func (d *dial) wait(c context.Context) (*connection, error) {
	select {
	case <-d.done:
		return d.connection, d.err
	case <-c.Done():
		return nil, context.Cause(c)
	}
}
