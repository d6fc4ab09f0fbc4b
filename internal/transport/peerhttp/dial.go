package peerhttp

import (
	"context"
	"errors"
	"time"
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

// wait returns the result of the dial, or an error if c ends or connectWait passes
// before there is one.
func (d *dial) wait(c context.Context) (*connection, error) {
	t := time.NewTimer(connectWait)
	defer t.Stop()
	select {
	case <-d.done:
		return d.connection, d.err
	case <-c.Done():
		return nil, c.Err()
	case <-t.C:
		return nil, errConnecting
	}
}
