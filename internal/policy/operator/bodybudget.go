package operator

import (
	"errors"

	"github.com/lavenderridge/lavenderridge"
)

// LargeBody is the size in bytes above which the body of a request counts as large.
const LargeBody = lavenderridge.Mebibyte

// The shares of a budget. A large request needs most of it, because it is held whole.
const (
	smallShare    = 0.1
	largeShare    = 0.6
	responseShare = 0.3
)

// ErrBodyTooLarge is the error for a body that doesn't fit into its part of the budget
// even if there is no other one.
var ErrBodyTooLarge = errors.New("operator: the body is larger than the memory for bodies")

// bodyKind is a part of a budget.
type bodyKind int

const (
	smallRequests bodyKind = iota
	largeRequests
	responses
	bodyKinds // the number of kinds
)

// A BodyBudget bounds the memory of the bodies that a daemon holds at the same time.
// Small requests, large requests and responses have parts of their own: a large request
// doesn't delay small ones, and responses are delivered however many requests arrive.
type BodyBudget struct {
	pools [bodyKinds]bodyPool
}

// NewBodyBudget returns a budget of n bytes; zero stands for no bound.
func NewBodyBudget(n lavenderridge.ByteCount) *BodyBudget {
	b := &BodyBudget{}
	for k, s := range [bodyKinds]float64{smallRequests: smallShare, largeRequests: largeShare, responses: responseShare} {
		b.pools[k].limit = int64(float64(n) * s)
	}
	return b
}

// LargestRequest returns the size of the largest body of a request that fits into the
// budget, at most m.
func (b *BodyBudget) LargestRequest(m lavenderridge.ByteCount) lavenderridge.ByteCount {
	return b.largest(largeRequests, m)
}

// LargestResponse returns the size of the largest body of a response that fits into the
// budget, at most m.
func (b *BodyBudget) LargestResponse(m lavenderridge.ByteCount) lavenderridge.ByteCount {
	return b.largest(responses, m)
}

func (b *BodyBudget) largest(k bodyKind, m lavenderridge.ByteCount) lavenderridge.ByteCount {
	if l := lavenderridge.ByteCount(b.pools[k].limit); l > 0 {
		return min(l, m)
	}
	return m
}

// Used returns the bytes that bodies currently hold.
func (b *BodyBudget) Used() lavenderridge.ByteCount {
	var n int64
	for k := range b.pools {
		n += b.pools[k].used.Load()
	}
	return lavenderridge.ByteCount(n)
}

// NewAccount returns an account for the bodies of one request.
func (b *BodyBudget) NewAccount() *BodyAccount {
	return &BodyAccount{budget: b}
}
