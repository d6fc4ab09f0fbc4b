package peerhttp

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/http2"
	"golang.org/x/sync/semaphore"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

const (
	// defaultMaxMessage holds the longest documents and most responses.
	defaultMaxMessage = 8 * lavenderridge.Mebibyte
	// defaultSilence is above the time of most requests, so that few are probed.
	defaultSilence = 150 * time.Millisecond

	// dialTimeout bounds a dial with its handshake and ping, many times the
	// longest round trip between regions (100 ms, assumed).
	dialTimeout = time.Second
	// connectPatience bounds how long a call waits for a connection: several
	// times what a handshake takes on a slow processor. The dial goes on.
	connectPatience = 200 * time.Millisecond
	// redialTimeout bounds a dial that follows a failed one.
	redialTimeout = 300 * time.Millisecond
	// idleTimeout closes unused connections; neighbours exchange every second.
	idleTimeout = 30 * time.Second
	// writeTimeout is how long a connection may take no byte before it is closed:
	// longer than most outages of links, well below the stop timeouts.
	writeTimeout = 2 * time.Second
	// maxDials bounds the handshakes at once in a herd restart.
	maxDials = 64
	// maxStreams bounds the running calls of one daemon at another: far above the
	// slots of a backend server and the requests that wait for them.
	maxStreams = 1024
	// remoteAlert is the operation of errors by which the TLS library tells of
	// an alert of the peer.
	remoteAlert = "remote error"
)

// A Transport reaches other daemons and accepts them on one TCP address.
type Transport struct {
	listener   net.Listener
	http       *http2.Transport
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
	l, e := net.Listen("tcp", string(a))
	if e != nil {
		return nil, fmt.Errorf("peerhttp: %w", e)
	}
	t := &Transport{
		http:       &http2.Transport{DisableCompression: true, IdleConnTimeout: idleTimeout, WriteByteTimeout: writeTimeout},
		keys:       k,
		maxMessage: defaultMaxMessage, silence: defaultSilence, registry: metrics.NewRegistry(),
		start: time.Now(), dials: semaphore.NewWeighted(maxDials),
	}
	t.listener = &countingListener{Listener: l, traffic: &t.traffic}
	for _, f := range o {
		f(t)
	}
	t.counters = newCounters(t.registry)
	t.context, t.cancel = context.WithCancel(context.Background())
	t.work.Go(func() { t.sweep(t.context) })
	return t, nil
}

// Address returns where the transport accepts connections.
func (t *Transport) Address() lavenderridge.Address {
	return lavenderridge.Address(t.listener.Addr().String())
}

// Dial implements lavenderridge.PeerDialer.
func (t *Transport) Dial(n *lavenderridge.Instance) lavenderridge.Peer {
	v, o := t.links.Load(n.ID)
	if o && v.(*link).address == n.Peer {
		return v.(*link)
	}
	l := newLink(t, n.ID, n.Peer)
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

// Close ends every connection to other daemons and stops accepting.
func (t *Transport) Close() error {
	t.cancel()
	t.links.Range(func(_, v any) bool {
		v.(*link).connection.Swap(nil).close()
		return true
	})
	t.work.Wait()
	if e := t.listener.Close(); e != nil && !errors.Is(e, net.ErrClosed) {
		return fmt.Errorf("peerhttp: close: %w", e)
	}
	return nil
}

// dial connects to the daemon of the link l within the time d.
func (t *Transport) dial(l *link, d time.Duration) (*connection, error) {
	c, f := context.WithTimeout(t.context, d)
	defer f()
	if e := t.dials.Acquire(c, 1); e != nil {
		return nil, e
	}
	defer t.dials.Release(1)
	n, e := t.handshake(c, l)
	if e != nil {
		t.countFailure(e)
		return nil, e
	}
	t.counters.opened.Inc(1)
	return n, nil
}

// handshake opens a connection. The ping shows that the peer has accepted this
// daemon's certificate, which TLS tells a client only afterwards.
func (t *Transport) handshake(c context.Context, l *link) (*connection, error) {
	var d net.Dialer
	s, e := d.DialContext(c, "tcp", string(l.address))
	if e != nil {
		return nil, e
	}
	v := tls.Client(&countedConn{Conn: s, traffic: &t.traffic}, t.keys.Client(http2.NextProtoTLS, l.instance))
	if e := v.HandshakeContext(c); e != nil {
		return nil, errors.Join(e, s.Close())
	}
	n := newConnection()
	if n.http, e = t.http.NewClientConn(&heardConn{Conn: v, connection: n, now: t.now}); e != nil {
		return nil, errors.Join(e, s.Close())
	}
	if e := n.http.Ping(c); e != nil {
		e = n.reason(c, e)
		return nil, errors.Join(e, n.http.Close())
	}
	return n, nil
}

func (t *Transport) countFailure(e error) {
	t.counters.dialFailures.Inc(1)
	var v *net.OpError
	if errors.As(e, &v) && v.Op == remoteAlert {
		t.counters.tlsRefused.Inc(1)
	}
}

// now returns the time since the transport's start.
func (t *Transport) now() time.Duration {
	return time.Since(t.start)
}
