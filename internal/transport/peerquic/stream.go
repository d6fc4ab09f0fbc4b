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

// hearingReader calls heard for each part that it reads, so that a long message
// on a slow link is not taken for silence.
type hearingReader struct {
	next  io.Reader
	heard func()
}

func (r hearingReader) Read(b []byte) (int, error) {
	n, e := r.next.Read(b)
	if n > 0 {
		r.heard()
	}
	return n, e
}

// receive reads a whole message of at most n bytes and calls f for each part of
// it. A stream that breaks off gives an error and never a part.
func receive(s *quic.Stream, n lavenderridge.ByteCount, f func()) ([]byte, error) {
	b, e := io.ReadAll(io.LimitReader(hearingReader{next: s, heard: f}, int64(n)+1))
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
