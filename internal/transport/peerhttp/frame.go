package peerhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

const (
	// bodyField is the header field with the size of the body that follows the message,
	// in bytes. In a request, it also says that the sender understands such a reply.
	// Daemons of earlier versions neither send nor read it.
	bodyField = "Lavenderridge-Body"
	// followingField is the header field of the reply to an exchange with the instance
	// that followed the source, and how long ago in milliseconds, rounded up. Daemons of
	// earlier versions neither send nor read it.
	followingField = "Lavenderridge-Following"
	// proofField is the header field of the reply to an exchange with the sender's proof of
	// its catalogue: the version and the age in milliseconds, rounded up. Daemons of
	// earlier versions neither send nor read it.
	proofField = "Lavenderridge-Catalogue-Proof"
	// minFramedBody is the size from which a body follows its message. A smaller one is
	// a part of it, which copies the body, but earlier versions understand.
	minFramedBody = 64 * lavenderridge.Kibibyte
	// memoryRetryAfter is what the refusal of a request advises for whose body there is
	// no memory.
	memoryRetryAfter = time.Second
	// callMemory is what a call of another daemon takes beside its message: a goroutine
	// and the buffers of its stream.
	callMemory = 32 * lavenderridge.Kibibyte
	// smallMessage is the size up to which a message has no further buffer.
	smallMessage = 4 * lavenderridge.Kibibyte
	// maxCallHeader bounds, in bytes, the header of a call, which has a few fields of this
	// package.
	maxCallHeader = 8 << 10
)

var (
	errFrame          = errors.New("peerhttp: the size of the body is wrong")
	errCallMemory     = errors.New("peerhttp: the calls of daemons need too much memory")
	errResponseMemory = errors.New("peerhttp: the bodies of responses need too much memory")
)

// frame is an encoded message with the body that follows it, which may be empty.
type frame struct {
	message, body []byte
	// heard is the text of heardField.
	heard string
	// customer is the text of customerField.
	customer string
	// proof is the text of proofField, and following that of followingField.
	proof, following string
}

// size returns the size in bytes on the wire.
func (f *frame) size() int {
	return len(f.message) + len(f.body)
}

// noBody is the value of bodyField of most requests.
var noBody = []string{"0"}

// bodySizeField returns the value of bodyField for a body of n bytes.
func bodySizeField(n int) []string {
	if n == 0 {
		return noBody
	}
	return []string{strconv.Itoa(n)}
}

// bodySize returns the size of the body that follows the message, by the header h of a
// message of n bytes in all. It reports false if the header has no such size.
func bodySize(h http.Header, n int64) (int64, bool, error) {
	s := h.Get(bodyField)
	if s == "" {
		return 0, false, nil
	}
	v, e := strconv.ParseInt(s, 10, 64)
	if e != nil || v < 0 || v >= max(n, 1) {
		return 0, false, errFrame
	}
	return v, true, nil
}

// receiveFrame reads a message of at most m bytes from r, and the body of b bytes that
// follows it. Together they have n bytes. Before a further buffer is allocated for the
// message, the function f is called with its size.
func receiveFrame(r io.Reader, n, b int64, m lavenderridge.ByteCount, f func(lavenderridge.ByteCount) error) (*frame, error) {
	if b == 0 {
		v, e := receive(r, n, m, f)
		return &frame{message: v}, e
	}
	v, e := receive(io.LimitReader(r, n-b), n-b, m, f)
	if e != nil {
		return nil, e
	}
	d := &frame{message: v, body: make([]byte, b)}
	_, e = io.ReadFull(r, d.body)
	return d, e
}

// reserveRequest reserves the memory for the body of n bytes of a request of the client k.
// If there is too little, it closes clients whose bodies have stopped, and returns a
// refusal if that doesn't suffice.
func reserveRequest(c context.Context, a *operator.BodyAccount, n int64, k *operator.Client) error {
	v := lavenderridge.ByteCount(n)
	e := a.ReserveRequest(c, v)
	if errors.Is(e, context.DeadlineExceeded) && k.Relieve(v, time.Now()) {
		e = a.ReserveRequest(c, v)
	}
	if e == nil {
		return nil
	}
	r := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded, "the bodies of requests need too much memory")
	if errors.Is(e, operator.ErrBodyTooLarge) {
		r.Detail = "the body is larger than the memory for bodies"
	}
	r.RetryAfter = memoryRetryAfter
	return r
}
