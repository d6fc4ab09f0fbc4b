package peerhttp

import (
	"context"
	"errors"
	"time"
)

var errConnecting = errors.New("still connecting")

// dial is an attempt to connect that several calls wait for.
type dial struct {
	done       chan struct{}
	connection *connection
	failure    error
}

func newDial() *dial {
	return &dial{done: make(chan struct{})}
}

func (d *dial) finish(n *connection, e error) {
	d.connection, d.failure = n, e
	close(d.done)
}

// wait returns the connection, or an error when there is none by the end of c
// or when the calls have waited enough.
func (d *dial) wait(c context.Context) (*connection, error) {
	t := time.NewTimer(connectPatience)
	defer t.Stop()
	select {
	case <-d.done:
		return d.connection, d.failure
	case <-c.Done():
		return nil, c.Err()
	case <-t.C:
		return nil, errConnecting
	}
}
