package operator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// requestWait bounds how long a request waits for memory for its body. It may still
	// be served elsewhere after that.
	requestWait = 250 * time.Millisecond
	// minCountedResponse is the size in bytes from which the body of a response counts.
	minCountedResponse = 64 * lavenderridge.Kibibyte
)

// A BodyAccount holds what the bodies of one request and of the responses to it take out
// of a budget, until it is closed. A nil account has no bound.
type BodyAccount struct {
	budget *BodyBudget
	held   [bodyKinds]atomic.Int64 // bytes
	closed atomic.Bool
}

// accountKey is the context key of the account of a request.
type accountKey struct{}

// WithBodyAccount returns a context that carries the account a.
func WithBodyAccount(c context.Context, a *BodyAccount) context.Context {
	return context.WithValue(c, accountKey{}, a)
}

// BodyAccountOf returns the account that c carries, or nil.
func BodyAccountOf(c context.Context) *BodyAccount {
	a, _ := c.Value(accountKey{}).(*BodyAccount)
	return a
}

// ReserveRequest reserves n bytes for the body of the request. If too much memory is in
// use, it waits until c ends, for requestWait at most, and returns the error of its
// context. It returns ErrBodyTooLarge if n bytes are never available.
func (a *BodyAccount) ReserveRequest(c context.Context, n lavenderridge.ByteCount) error {
	if n > LargeBody {
		return a.reserve(c, largeRequests, n, requestWait)
	}
	return a.reserve(c, smallRequests, n, requestWait)
}

// ReserveResponse is like ReserveRequest, for the body of a response, which waits until c
// ends. Bodies below minCountedResponse take nothing: the number of requests bounds them.
func (a *BodyAccount) ReserveResponse(c context.Context, n lavenderridge.ByteCount) error {
	if n < minCountedResponse {
		return nil
	}
	return a.reserve(c, responses, n, 0)
}

// GrowResponse is like ReserveResponse for a further buffer for the same body. It doesn't
// wait, because those who hold a buffer would wait for each other.
func (a *BodyAccount) GrowResponse(n lavenderridge.ByteCount) error {
	c, f := context.WithCancel(context.Background())
	f()
	return a.ReserveResponse(c, n)
}

// LargestResponse returns the size of the largest body of a response that fits into the
// budget, at most m.
func (a *BodyAccount) LargestResponse(m lavenderridge.ByteCount) lavenderridge.ByteCount {
	if a == nil {
		return m
	}
	return a.budget.LargestResponse(m)
}

// reserve reserves n bytes of the part k. It waits until c ends, and for d at most unless
// that is zero.
func (a *BodyAccount) reserve(c context.Context, k bodyKind, n lavenderridge.ByteCount, d time.Duration) error {
	if a == nil || n <= 0 {
		return nil
	}
	if e := a.budget.pools[k].reserve(c, int64(n), d); e != nil {
		return e
	}
	a.held[k].Add(int64(n))
	// Work that outlives the request holds nothing.
	if a.closed.Load() {
		a.giveBack()
	}
	return nil
}

// Close gives everything back.
func (a *BodyAccount) Close() {
	if a == nil {
		return
	}
	a.closed.Store(true)
	a.giveBack()
}

func (a *BodyAccount) giveBack() {
	for k := range a.held {
		if n := a.held[k].Swap(0); n > 0 {
			a.budget.pools[k].release(n)
		}
	}
}
