package peerquic

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

const (
	defaultMaxMessage = 8 * lavenderridge.Mebibyte
	handshakeTimeout  = 2 * time.Second
	idleTimeout       = 30 * time.Second
	maxStreams        = 4096
)

// A Transport reaches other daemons and accepts them over one UDP socket.
type Transport struct {
	quic       *quic.Transport
	keys       *peertls.Keys
	maxMessage lavenderridge.ByteCount
	counters   Counters
	links      sync.Map // of lavenderridge.InstanceID to *link
}

var _ lavenderridge.PeerDialer = (*Transport)(nil)

// WithMaxMessage bounds the size of one message; the default is 8 MiB.
func WithMaxMessage(n lavenderridge.ByteCount) func(*Transport) {
	return func(t *Transport) { t.maxMessage = n }
}

// NewTransport returns a transport on the address a with the keys k.
func NewTransport(a lavenderridge.Address, k *peertls.Keys, o ...func(*Transport)) (*Transport, error) {
	u, e := net.ResolveUDPAddr("udp", string(a))
	if e != nil {
		return nil, fmt.Errorf("peerquic: %w", e)
	}
	s, e := net.ListenUDP("udp", u)
	if e != nil {
		return nil, fmt.Errorf("peerquic: %w", e)
	}
	t := &Transport{keys: k, maxMessage: defaultMaxMessage}
	t.quic = &quic.Transport{Conn: newCountingConn(s, &t.counters)}
	for _, f := range o {
		f(t)
	}
	return t, nil
}

// Address returns the address of the socket.
func (t *Transport) Address() lavenderridge.Address {
	return lavenderridge.Address(t.quic.Conn.LocalAddr().String())
}

// Dial implements lavenderridge.PeerDialer.
func (t *Transport) Dial(n *lavenderridge.Instance) lavenderridge.Peer {
	if v, o := t.links.Load(n.ID); o && v.(*link).address == n.Peer {
		return v.(*link)
	}
	l := newLink(t, n.ID, n.Peer)
	t.links.Store(n.ID, l)
	return l
}

// Close ends every connection and the socket.
func (t *Transport) Close() error {
	e := t.quic.Close()
	return joinClose(e, t.quic.Conn.Close())
}

func joinClose(a, b error) error {
	if a != nil {
		return fmt.Errorf("peerquic: close: %w", a)
	}
	if b != nil {
		return fmt.Errorf("peerquic: close: %w", b)
	}
	return nil
}

func (t *Transport) dial(c context.Context, n lavenderridge.InstanceID, a lavenderridge.Address) (*quic.Conn, error) {
	u, e := net.ResolveUDPAddr("udp", string(a))
	if e != nil {
		return nil, e
	}
	return t.quic.Dial(c, u, t.keys.Client(protocol, n), quicConfig())
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}
