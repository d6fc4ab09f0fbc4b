package peerhttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// callURL has a placeholder as its host, because each connection leads to exactly
// one daemon.
const callURL = "https://daemon/"

// link is the client side of the connection to one daemon. Its times are
// durations since the transport's start.
type link struct {
	transport *Transport
	instance  lavenderridge.InstanceID
	address   lavenderridge.Address

	connection  atomic.Pointer[connection]
	pendingDial atomic.Pointer[dial]
	// failedDials is the number of dials that failed since the last success.
	failedDials  atomic.Int32
	runningCalls atomic.Int64
	// busySince is when runningCalls last rose from 0 to 1, or when the link was
	// created if there has been no call.
	busySince atomic.Int64
	probing   atomic.Bool
}

var _ lavenderridge.Peer = (*link)(nil)

func newLink(t *Transport, n lavenderridge.InstanceID, a lavenderridge.Address) *link {
	l := &link{transport: t, instance: n, address: a}
	l.busySince.Store(int64(t.sinceStart()))
	return l
}

// Handle implements lavenderridge.Handler.
func (l *link) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	w, f := newWireRequest(r, time.Now()), &frame{heard: encodeHeard(r.Heard), customer: encodeCustomer(r.Customer)}
	if lavenderridge.ByteCount(len(r.Body)) >= minFramedBody {
		f.body, w.Body = r.Body, nil
	}
	var v wireResponse
	p, e := l.callFramed(c, kindHandle, w, &v, f)
	if e != nil {
		return nil, e
	}
	if e := lavenderridge.CheckResponseHead(v.Status, v.Header); e != nil {
		return nil, l.refusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, e)
	}
	if len(p.body) > 0 {
		v.Body = p.body
	}
	return v.response(l.instance), nil
}

// Exchange implements lavenderridge.Peer.
func (l *link) Exchange(c context.Context, q *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	var v lavenderridge.Exchange
	p, e := l.callFramed(c, kindExchange, q, &v, &frame{})
	if e != nil {
		return nil, e
	}
	v.Proof, v.Following = decodeProof(p.proof), decodeFollowing(p.following)
	return &v, nil
}

// Pull implements lavenderridge.Peer.
func (l *link) Pull(c context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	return roundTrip[lavenderridge.PullReply](c, l, kindPull, q)
}

// Activate implements lavenderridge.Peer.
func (l *link) Activate(c context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	return l.activate(c, q)
}

// HandOver implements lavenderridge.Peer.
func (l *link) HandOver(c context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	return l.handOver(c, q)
}

// roundTrip makes a call whose reply is decoded into a T.
func roundTrip[T any](c context.Context, l *link, k kind, q any) (*T, error) {
	var v T
	if e := l.call(c, k, q, &v); e != nil {
		return nil, e
	}
	return &v, nil
}

// call sends q as a call of kind k and decodes the reply into v. The outcome of a
// failed call is NotRun if the peer can't have read the whole message, and
// Unknown otherwise.
func (l *link) call(c context.Context, k kind, q, v any) error {
	_, e := l.callFramed(c, k, q, v, &frame{})
	return e
}

// callFramed is like call, with what f has beside the message. It returns the reply with
// what travels beside its message.
func (l *link) callFramed(c context.Context, k kind, q, v any, f *frame) (*frame, error) {
	b, e := encode(byte(k), q)
	if e != nil {
		return nil, l.refusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonInternal, e)
	}
	f.message = b
	l.beginCall()
	defer l.endCall()
	p, o, e := l.send(c, k, f)
	switch {
	case e == nil:
	case errors.Is(e, errResponseMemory):
		return nil, l.refusal(lavenderridge.OutcomeUnknown, contextReason(c, lavenderridge.ReasonTooLarge), e)
	case o:
		return nil, l.refusal(lavenderridge.OutcomeUnknown, contextReason(c, lavenderridge.ReasonConnectionLost), e)
	default:
		return nil, l.refusal(lavenderridge.OutcomeNotRun, contextReason(c, lavenderridge.ReasonUnreachable), e)
	}
	l.transport.traffic.countCall(k, f.size(), p.size())
	return p, l.decodeReply(p.message, v)
}

// send sends the call f of kind k and returns the reply. If that fails, the second
// result is true if the peer may have read the whole message.
func (l *link) send(c context.Context, k kind, f *frame) (*frame, bool, error) {
	n, e := l.connect(c)
	if e != nil {
		return nil, false, e
	}
	p, o, e := l.post(c, n, k, f)
	if e == nil || o || c.Err() != nil {
		return p, o, e
	}
	// The connection failed before the whole message was handed to it, so the
	// call has not run and can be sent again over a new connection.
	l.connection.CompareAndSwap(n, nil)
	if n, e = l.connect(c); e != nil {
		return nil, false, e
	}
	return l.post(c, n, k, f)
}

// post sends the call f of kind k over the connection n. Its results are those of send.
func (l *link) post(c context.Context, n *connection, k kind, f *frame) (*frame, bool, error) {
	o := newRequestBody(f)
	q, e := http.NewRequestWithContext(c, http.MethodPost, callURL, o)
	if e != nil {
		return nil, false, e
	}
	q.ContentLength = int64(f.size())
	if f.heard != "" {
		q.Header.Set(heardField, f.heard)
	}
	if f.customer != "" {
		q.Header.Set(customerField, f.customer)
	}
	if k == kindHandle {
		q.Header[bodyField] = bodySizeField(len(f.body))
	}
	p, e := n.http.RoundTrip(q)
	if e != nil {
		return nil, o.fullyRead.Load(), e
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		return nil, true, fmt.Errorf("peerhttp: HTTP status %d", p.StatusCode)
	}
	v, e := l.receiveReply(c, k, p)
	return v, true, e
}

// receiveReply reads the reply p to a call of kind k. The body of a response waits until
// there is memory for it.
func (l *link) receiveReply(c context.Context, k kind, p *http.Response) (*frame, error) {
	b, _, e := bodySize(p.Header, p.ContentLength)
	if e != nil {
		return nil, e
	}
	if k == kindHandle {
		a := operator.BodyAccountOf(c)
		if e := a.ReserveResponse(c, lavenderridge.ByteCount(p.ContentLength)); e != nil {
			return nil, errors.Join(errResponseMemory, e)
		}
	}
	f, e := receiveFrame(p.Body, p.ContentLength, b, l.transport.maxMessage, unbounded)
	if e == nil && k == kindExchange {
		f.proof, f.following = p.Header.Get(proofField), p.Header.Get(followingField)
	}
	return f, e
}

func (l *link) beginCall() {
	if l.runningCalls.Add(1) == 1 {
		l.busySince.Store(int64(l.transport.sinceStart()))
	}
}

func (l *link) endCall() {
	l.runningCalls.Add(-1)
}

// connect returns the current connection, or waits at most connectWait for a new one.
// All waiting calls share one dial, and each waits no longer than its own context
// lasts.
func (l *link) connect(c context.Context) (*connection, error) {
	if n := l.usableConnection(); n != nil {
		return n, nil
	}
	c, f := context.WithTimeoutCause(c, connectWait, errConnecting)
	defer f()
	n, o, e := l.awaitDial(c)
	if e == nil || o || c.Err() != nil {
		return n, e
	}
	// The failed dial began before this call, and the peer may have come back since.
	if n := l.usableConnection(); n != nil {
		return n, nil
	}
	n, _, e = l.awaitDial(c)
	return n, e
}

// usableConnection returns the current connection, or nil if it takes no new calls.
func (l *link) usableConnection() *connection {
	if n := l.connection.Load(); n != nil && n.http.CanTakeNewRequest() {
		return n
	}
	return nil
}

// awaitDial waits for the pending dial, or begins one if there is none. The second
// result is true if it began one.
func (l *link) awaitDial(c context.Context) (*connection, bool, error) {
	for {
		if d := l.pendingDial.Load(); d != nil {
			n, e := d.wait(c)
			return n, false, e
		}
		if d := newDial(); l.pendingDial.CompareAndSwap(nil, d) {
			l.transport.goroutines.Go(func() { l.dial(d) })
			n, e := d.wait(c)
			return n, true, e
		}
	}
}

// dial opens a connection and passes it to the calls that wait for d. It uses the
// transport's context, so that it continues when these calls have given up.
func (l *link) dial(d *dial) {
	n, e := l.transport.dial(l, l.nextDialTimeout())
	if e != nil {
		l.failedDials.Add(1)
	} else {
		l.failedDials.Store(0)
		l.connection.Store(n)
	}
	l.pendingDial.Store(nil)
	d.finish(n, e)
}

// nextDialTimeout returns the timeout of the next dial, which is shorter after a
// failed dial.
func (l *link) nextDialTimeout() time.Duration {
	if l.failedDials.Load() > 0 {
		return redialTimeout
	}
	return dialTimeout
}

// decodeReply decodes the reply b into v, or returns the refusal that b holds. The
// place of a refusal that has none becomes the peer's instance.
func (l *link) decodeReply(b []byte, v any) error {
	if status(b[0]) != statusRefusal {
		if e := decode(b[1:], v); e != nil {
			return l.refusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, e)
		}
		return nil
	}
	var w wireRefusal
	if e := decode(b[1:], &w); e != nil {
		return l.refusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, e)
	}
	if w.Refusal.Place == "" {
		w.Refusal.Place = l.instance
	}
	return &w.Refusal
}

// refusal returns a refusal that this daemon makes itself. Its place stays empty,
// because the refusal does not come from the peer.
func (l *link) refusal(o lavenderridge.Outcome, r lavenderridge.Reason, e error) error {
	return lavenderridge.NewRefusal(o, r, string(l.instance)+": "+e.Error())
}

// contextReason returns the reason for which c has ended, or r if it has not.
func contextReason(c context.Context, r lavenderridge.Reason) lavenderridge.Reason {
	switch {
	case errors.Is(c.Err(), context.DeadlineExceeded):
		return lavenderridge.ReasonDeadline
	case c.Err() != nil:
		return lavenderridge.ReasonCancelled
	}
	return r
}

// unbounded allows any buffer.
func unbounded(lavenderridge.ByteCount) error {
	return nil
}
