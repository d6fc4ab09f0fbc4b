package peerquic

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

const (
	defaultMaxMessage = 8 * lavenderridge.Mebibyte
	defaultSilence    = 150 * time.Millisecond

	dialTimeout = time.Second
	// connectPatience bounds how long a call waits for a connection: several
	// times what a handshake takes on a slow processor. The dial goes on.
	connectPatience = 200 * time.Millisecond
	// redialTimeout bounds a dial that follows a failed one.
	redialTimeout = 300 * time.Millisecond
	idleTimeout   = 30 * time.Second
	maxDials      = 64
	maxStreams    = 1024

	maxStreamWindow     = uint64(lavenderridge.Mebibyte)
	maxConnectionWindow = uint64(4 * lavenderridge.Mebibyte)
)

// A Transport reaches other daemons and accepts them over one UDP socket.
type Transport struct {
	quic       *quic.Transport
	keys       *peertls.Keys
	maxMessage lavenderridge.ByteCount
	silence    time.Duration
	registry   metrics.Registry
	counters   counters
	traffic    Traffic
	start      time.Time
	dials      *semaphore.Weighted
	links      sync.Map // of lavenderridge.InstanceID to *link

	context context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup
}

var _ lavenderridge.PeerDialer = (*Transport)(nil)

// NewTransport returns a transport on the address a with the keys k.
func NewTransport(a lavenderridge.Address, k *peertls.Keys, o ...Option) (*Transport, error) {
	u, e := net.ResolveUDPAddr("udp", string(a))
	if e != nil {
		return nil, fmt.Errorf("peerquic: %w", e)
	}
	r, e := resetKey(k)
	if e != nil {
		return nil, e
	}
	s, e := net.ListenUDP("udp", u)
	if e != nil {
		return nil, fmt.Errorf("peerquic: %w", e)
	}
	t := &Transport{
		keys:       k,
		maxMessage: defaultMaxMessage, silence: defaultSilence, registry: metrics.NewRegistry(),
		start: time.Now(), dials: semaphore.NewWeighted(maxDials),
	}
	t.quic = &quic.Transport{Conn: newCountingConn(s, &t.traffic), StatelessResetKey: r}
	for _, f := range o {
		f(t)
	}
	t.counters = newCounters(t.registry)
	t.context, t.cancel = context.WithCancel(context.Background())
	t.work.Go(func() { t.sweep(t.context) })
	return t, nil
}

// resetKey derives the key of stateless resets from the certificate's key, so
// that a daemon that starts anew ends the connections to its earlier run.
func resetKey(k *peertls.Keys) (*quic.StatelessResetKey, error) {
	c, e := k.Server(protocol).GetCertificate(&tls.ClientHelloInfo{})
	if e != nil {
		return nil, fmt.Errorf("peerquic: %w", e)
	}
	b, e := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if e != nil {
		return nil, fmt.Errorf("peerquic: %w", e)
	}
	v := quic.StatelessResetKey(sha256.Sum256(append([]byte("stateless reset "), b...)))
	return &v, nil
}

// Address returns the address of the socket.
func (t *Transport) Address() lavenderridge.Address {
	return lavenderridge.Address(t.quic.Conn.LocalAddr().String())
}

// Dial implements lavenderridge.PeerDialer.
func (t *Transport) Dial(n *lavenderridge.Instance) lavenderridge.Peer {
	v, o := t.links.Load(n.ID)
	if o && v.(*link).address == n.Peer {
		return v.(*link)
	}
	l := newLink(t, n.ID, n.Peer)
	l.hear()
	if o {
		t.links.CompareAndSwap(n.ID, v, l)
		return l
	}
	v, _ = t.links.LoadOrStore(n.ID, l)
	if v.(*link).address != n.Peer {
		return l
	}
	return v.(*link)
}

// Close ends every connection and the socket.
func (t *Transport) Close() error {
	t.cancel()
	e := t.quic.Close()
	t.work.Wait()
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

// dial connects to the instance n at the address a within the time d, from a
// socket of its own if o is set.
func (t *Transport) dial(n lavenderridge.InstanceID, a lavenderridge.Address, d time.Duration, o bool) (*quic.Conn, error) {
	u, e := net.ResolveUDPAddr("udp", string(a))
	if e != nil {
		return nil, e
	}
	c, f := context.WithTimeout(t.context, d)
	defer f()
	if e := t.dials.Acquire(c, 1); e != nil {
		return nil, e
	}
	defer t.dials.Release(1)
	g := t.quic.Dial
	if o {
		g = t.dialFresh
	}
	v, e := g(c, u, t.keys.Client(protocol, n), quicConfig())
	if e != nil {
		t.countFailure(e)
		return nil, e
	}
	t.counters.opened.Inc(1)
	return v, nil
}

// dialFresh connects from a socket of its own, because what lost track of a
// connection may have lost the whole path between two sockets.
func (t *Transport) dialFresh(c context.Context, u net.Addr, k *tls.Config, q *quic.Config) (*quic.Conn, error) {
	s, e := net.ListenUDP("udp", &net.UDPAddr{IP: t.quic.Conn.LocalAddr().(*net.UDPAddr).IP})
	if e != nil {
		return nil, e
	}
	r := &quic.Transport{Conn: newCountingConn(s, &t.traffic)}
	n, e := r.Dial(c, u, k, q)
	if e != nil {
		return nil, errors.Join(e, r.Close(), s.Close())
	}
	f := context.AfterFunc(t.context, func() { discard(n) })
	context.AfterFunc(n.Context(), func() {
		f()
		_ = joinClose(r.Close(), s.Close())
	})
	return n, nil
}

func (t *Transport) countFailure(e error) {
	t.counters.dialFailures.Inc(1)
	var v *quic.TransportError
	if errors.As(e, &v) && v.ErrorCode.IsCryptoError() {
		t.counters.tlsRefused.Inc(1)
	}
}

// now returns the time since the transport's start.
func (t *Transport) now() time.Duration {
	return time.Since(t.start)
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       dialTimeout,
		MaxIdleTimeout:             idleTimeout,
		MaxIncomingStreams:         maxStreams,
		MaxIncomingUniStreams:      -1,
		MaxStreamReceiveWindow:     maxStreamWindow,
		MaxConnectionReceiveWindow: maxConnectionWindow,
	}
}
