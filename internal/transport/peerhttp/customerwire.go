package peerhttp

import (
	"context"
	"encoding/base64"
	"errors"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// customerField is the header field of a request between daemons with the customer
	// that the sender has authenticated. Daemons of earlier versions ignore it.
	customerField = "Lavenderridge-Customer"
	// maxCustomerText bounds the length of the field in bytes.
	maxCustomerText = 1 << 10
)

var errCustomer = errors.New("peerhttp: the customer of the request is malformed")

// encodeCustomer returns the text of the field for d. The name of a customer may have
// characters that no header field may contain.
func encodeCustomer(d lavenderridge.CustomerID) string {
	return base64.RawStdEncoding.EncodeToString([]byte(d))
}

// customerTextKey is the context key of the text of the field in a call.
type customerTextKey struct{}

// customer returns the customer that came with the call of the context c, or "".
func customer(c context.Context) (lavenderridge.CustomerID, error) {
	s, _ := c.Value(customerTextKey{}).(string)
	if len(s) > maxCustomerText {
		return "", errCustomer
	}
	b, e := base64.RawStdEncoding.DecodeString(s)
	if e != nil {
		return "", errCustomer
	}
	return lavenderridge.CustomerID(b), nil
}
