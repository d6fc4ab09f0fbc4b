package peerquic

import (
	"errors"
	"io"

	"github.com/quic-go/quic-go"

	"github.com/lavenderridge/lavenderridge"
)

// send writes the whole message and ends the stream's sending side. After an
// error the other side can't have read the message to its end.
func send(s *quic.Stream, b []byte) error {
	if _, e := s.Write(b); e != nil {
		cancel(s)
		return e
	}
	return s.Close()
}

// receive reads a whole message of at most n bytes. A stream that breaks off
// gives an error and never a part.
func receive(s *quic.Stream, n lavenderridge.ByteCount) ([]byte, error) {
	b, e := io.ReadAll(io.LimitReader(s, int64(n)+1))
	if e != nil {
		return nil, e
	}
	if lavenderridge.ByteCount(len(b)) > n {
		cancel(s)
		return nil, errors.New("message too large")
	}
	if len(b) == 0 {
		return nil, errors.New("empty message")
	}
	return b, nil
}

func cancel(s *quic.Stream) {
	s.CancelRead(codeCancelled)
	s.CancelWrite(codeCancelled)
}
