package peerhttp

import (
	"errors"
	"io"

	"github.com/lavenderridge/lavenderridge"
)

// receive reads a whole message of at most n bytes. It returns an error and no
// bytes if the message is truncated, empty or longer.
func receive(r io.Reader, n lavenderridge.ByteCount) ([]byte, error) {
	b, e := io.ReadAll(io.LimitReader(r, int64(n)+1))
	if e != nil {
		return nil, e
	}
	if lavenderridge.ByteCount(len(b)) > n {
		return nil, errors.New("peerhttp: message too large")
	}
	if len(b) == 0 {
		return nil, errors.New("peerhttp: empty message")
	}
	return b, nil
}
