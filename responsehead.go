package lavenderridge

import (
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// The lowest and the highest status of a response that ends a request.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// ErrMalformedHead is the error for a response with a malformed head. Neither the head nor
// the body can be relied on.
var ErrMalformedHead = errors.New("lavenderridge: the head of the response is malformed")

// CheckResponseHead returns an ErrMalformedHead if the status s and the header h can't be
// those of a response that ends a request. Other statuses are interim ones, a switch to
// another protocol, for which no daemon asks, or none at all. The HTTP library accepts
// blanks in the names of fields and ignores such a field, even if it says where the body
// ends.
func CheckResponseHead(s int, h Header) error {
	if s < minFinalStatus || s > maxFinalStatus {
		return fmt.Errorf("%w: the status %d ends no request", ErrMalformedHead, s)
	}
	for n := range h {
		if !httpguts.ValidHeaderFieldName(n) {
			return fmt.Errorf("%w: %q is no name of a field", ErrMalformedHead, n)
		}
	}
	return nil
}
