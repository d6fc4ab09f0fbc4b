package lavenderridge

import (
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead is the error for a response with a malformed head. Neither the head nor
// the body can be relied on.
var ErrMalformedHead = errors.New("lavenderridge: the head of the response is malformed")

// CheckResponseHead returns an ErrMalformedHead if h can't be the header of a response. The
// HTTP library accepts blanks in the names of fields and ignores such a field, even if it
// says where the body ends.
func CheckResponseHead(h Header) error {
	for n := range h {
		if !httpguts.ValidHeaderFieldName(n) {
			return fmt.Errorf("%w: %q is no name of a field", ErrMalformedHead, n)
		}
	}
	return nil
}
