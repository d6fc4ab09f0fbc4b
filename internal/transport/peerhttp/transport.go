package peerhttp

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/http2"
	"golang.org/x/sync/semaphore"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

const (
	// defaultMaxMessage is enough for the largest documents and most responses.
	defaultMaxMessage = 8 * lavenderridge.Mebibyte
	// defaultProbeDelay is longer than most requests take, so that few of them
	// cause a probe.
	defaultProbeDelay = 150 * time.Millisecond

	// dialTimeout bounds a dial including its TLS handshake and first ping. It is
	// many times the longest round trip between regions (100 ms, assumed).
	dialTimeout = time.Second
	// connectWait bounds how long a call waits for a connection. It is several
	// times what a TLS handshake takes on a slow processor. The dial continues
	// after that, so that later calls can use its connection.
	connectWait = 200 * time.Millisecond
	// redialTimeout bounds a dial that follows a failed dial.
	redialTimeout = 300 * time.Millisecond
	// idleTimeout closes unused connections. Neighbours exchange versions every
	// second, so theirs stay open.
	idleTimeout = 30 * time.Second
	// writeTimeout is how long a write may make no progress before its connection
	// is closed. It is longer than most link outages and well below the stop
	// timeouts.
	writeTimeout = 2 * time.Second
	// The windows bound what a connection and a call buffer of responses that this
	// daemon has not read yet. A call's is enough for most responses.
	connectionWindow = 2 * lavenderridge.Mebibyte
	streamWindow     = 512 * lavenderridge.Kibibyte
	// maxDials bounds the concurrent dials when many daemons restart together.
	maxDials = 64
	// maxStreams bounds the concurrent calls of one daemon to another. It is far
	// above the slots of a backend server plus the requests queued for them.
	maxStreams = 256
	// remoteAlertOperation is the Op of the net.OpError with which crypto/tls
	// reports an alert that the peer sent.
	remoteAlertOperation = "remote error"
)

// A Transport connects to other daemons and listens for their connections on one
// TCP address.
type Transport struct {
	listener   net.Listener
	http       *http2.Transport
	keys       *peertls.Keys
	maxMessage lavenderridge.ByteCount
	bodies     *operator.BodyBudget
	clients    *operator.ClientTable
	probeDelay time.Duration
	registry   metrics.Registry
	counters   counters
	traffic    Traffic
	start      time.Time
	dials      *semaphore.Weighted
	links      sync.Map // of lavenderridge.InstanceID to *link

	lifetime   context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

var _ lavenderridge.PeerDialer = (*Transport)(nil)

// NewTransport returns a transport that listens on the address a and uses the
// keys k in both directions.
func NewTransport(a lavenderridge.Address, k *peertls.Keys, o ...Option) (*Transport, error) {
	l, e := net.Listen("tcp", string(a))
	if e != nil {
		return nil, fmt.Errorf("peerhttp: %w", e)
	}
	h, e := newHTTPTransport()
	if e != nil {
		return nil, errors.Join(e, l.Close())
	}
	t := &Transport{
		http: h, keys: k, bodies: operator.NewBodyBudget(0), clients: operator.NewClientTable(operator.ClientLimits{}, nil),
		maxMessage: defaultMaxMessage, probeDelay: defaultProbeDelay, registry: metrics.NewRegistry(),
		start: time.Now(), dials: semaphore.NewWeighted(maxDials),
	}
	t.listener = &countingListener{Listener: l, traffic: &t.traffic}
	for _, f := range o {
		f(t)
	}
	t.counters = newCounters(t.registry)
	t.lifetime, t.cancel = context.WithCancel(context.Background())
	t.goroutines.Go(func() { t.probeLoop(t.lifetime) })
	return t, nil
}

// newHTTPTransport returns the HTTP/2 client. Responses that wait for memory are held
// back at the daemon that sends them, because the client buffers only a window of each.
func newHTTPTransport() (*http2.Transport, error) {
	h, e := http2.ConfigureTransports(&http.Transport{HTTP2: &http.HTTP2Config{
		MaxReceiveBufferPerConnection: int(connectionWindow), MaxReceiveBufferPerStream: int(streamWindow),
	}})
	if e != nil {
		return nil, fmt.Errorf("peerhttp: %w", e)
	}
	h.DisableCompression, h.IdleConnTimeout, h.WriteByteTimeout, h.MaxHeaderListSize = true, idleTimeout, writeTimeout, plainhttp.MaxResponseHead
	return h, nil
}

// Address returns the address on which the transport listens.
func (t *Transport) Address() lavenderridge.Address {
	return lavenderridge.Address(t.listener.Addr().String())
}

// Dial implements lavenderridge.PeerDialer. There is one link for each instance;
// a new one replaces it when the address of the instance has changed.
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

// Close closes the connections to other daemons and the listener.
func (t *Transport) Close() error {
	t.cancel()
	t.links.Range(func(_, v any) bool {
		v.(*link).connection.Swap(nil).close()
		return true
	})
	t.goroutines.Wait()
	if e := t.listener.Close(); e != nil && !errors.Is(e, net.ErrClosed) {
		return fmt.Errorf("peerhttp: close: %w", e)
	}
	return nil
}

// dial connects to the daemon of the link l within the time d, which includes
// the wait while maxDials other dials are running.
func (t *Transport) dial(l *link, d time.Duration) (*connection, error) {
	c, f := context.WithTimeout(t.lifetime, d)
	defer f()
	if e := t.dials.Acquire(c, 1); e != nil {
		return nil, e
	}
	defer t.dials.Release(1)
	n, e := t.connect(c, l)
	if e != nil {
		t.countDialFailure(e)
		return nil, e
	}
	t.counters.opened.Inc(1)
	return n, nil
}

// connect opens a connection and pings the peer. A TLS 1.3 client completes the
// handshake before the server has checked the client's certificate, so only the
// reply to the ping shows that the peer has accepted it.
func (t *Transport) connect(c context.Context, l *link) (*connection, error) {
	var d net.Dialer
	s, e := d.DialContext(c, "tcp", string(l.address))
	if e != nil {
		return nil, e
	}
	v := tls.Client(&countedConn{Conn: s, traffic: &t.traffic}, t.keys.ClientConfig(http2.NextProtoTLS, l.instance))
	if e := v.HandshakeContext(c); e != nil {
		return nil, errors.Join(e, s.Close())
	}
	n := newConnection()
	if n.http, e = t.http.NewClientConn(&monitoredConn{Conn: v, connection: n, sinceStart: t.sinceStart}); e != nil {
		return nil, errors.Join(e, s.Close())
	}
	if e := n.http.Ping(c); e != nil {
		e = n.closeReason(c, e)
		return nil, errors.Join(e, n.http.Close())
	}
	return n, nil
}

// countDialFailure counts a failed dial, and separately those that the peer
// refused with a TLS alert.
func (t *Transport) countDialFailure(e error) {
	t.counters.dialFailures.Inc(1)
	var v *net.OpError
	if errors.As(e, &v) && v.Op == remoteAlertOperation {
		t.counters.tlsRefused.Inc(1)
	}
}

// sinceStart returns the time since the transport's start.
func (t *Transport) sinceStart() time.Duration {
	return time.Since(t.start)
}
