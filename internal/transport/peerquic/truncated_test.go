package peerquic

import (
	"context"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/lavenderridge/lavenderridge"
)

// TestTruncatedReply checks that a reply that breaks off, or that ends too
// early, is never taken for a whole one.
func TestTruncatedReply(t *testing.T) {
	for n, c := range map[string]struct {
		end  func(*quic.Stream)
		want lavenderridge.Reason
	}{
		"reset":  {func(s *quic.Stream) { s.CancelWrite(codeCancelled) }, lavenderridge.ReasonConnectionLost},
		"closed": {func(s *quic.Stream) { _ = s.Close() }, lavenderridge.ReasonBadResponse},
	} {
		t.Run(n, func(t *testing.T) {
			s := newSession(t)
			u, e := NewTransport("127.0.0.1:0", s.keys("b", s.authority))
			if e != nil {
				t.Fatal(e)
			}
			defer func() { _ = u.Close() }()
			l, e := u.quic.Listen(u.keys.Server(protocol), quicConfig())
			if e != nil {
				t.Fatal(e)
			}
			go answerHalf(l, c.end)
			x, f := context.WithTimeout(context.Background(), 2*time.Second)
			defer f()
			p, e := s.client.Dial(&lavenderridge.Instance{ID: "b", Peer: u.Address()}).Handle(x, &lavenderridge.Request{ID: "r", Attempt: 1})
			if v := lavenderridge.AsRefusal(e); e == nil || v.Outcome != lavenderridge.OutcomeUnknown || v.Reason != c.want {
				t.Errorf("response %+v, error %v; want Unknown %s", p, e, c.want)
			}
		})
	}
}

// answerHalf answers one call with the first half of a response.
func answerHalf(l *quic.Listener, end func(*quic.Stream)) {
	n, e := l.Accept(context.Background())
	if e != nil {
		return
	}
	s, e := n.AcceptStream(context.Background())
	if e != nil {
		return
	}
	_, _ = receive(s, defaultMaxMessage, func() {})
	b, _ := encode(byte(statusReply), newWireResponse(&lavenderridge.Response{ID: "r", Attempt: 1, Status: 200, Body: make([]byte, 100)}))
	_, _ = s.Write(b[:len(b)/2])
	end(s)
}
