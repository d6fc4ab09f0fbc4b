package peerhttp

import (
	"context"
	"encoding/base64"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// heardField is the header field of a request between daemons that carries what the
	// sender has heard of the backend server. It is a field, and not a part of the
	// message, because a daemon of an earlier version would reject a longer message.
	heardField = "Lavenderridge-Heard"
	// maxHeardText bounds the length of the field in bytes, and maxHeardAge the age that
	// is accepted.
	maxHeardText = 1 << 10
	maxHeardAge  = time.Hour
)

// encodeHeard returns the text of the field for n, or "" if there is nothing to tell.
func encodeHeard(n *lavenderridge.HeardNotice) string {
	if n == nil {
		return ""
	}
	b, e := cbor.Marshal(n)
	if e != nil || base64.RawStdEncoding.EncodedLen(len(b)) > maxHeardText {
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// decodeHeard returns the notice in the text s, or nil if there is none that can be
// used.
func decodeHeard(s string) *lavenderridge.HeardNotice {
	if s == "" || len(s) > maxHeardText {
		return nil
	}
	b, e := base64.RawStdEncoding.DecodeString(s)
	if e != nil {
		return nil
	}
	var n lavenderridge.HeardNotice
	if e := cborDecoder.Unmarshal(b, &n); e != nil {
		return nil
	}
	v := float64(n.Limit)
	if !(v >= 0) || math.IsInf(v, 0) || n.Age < 0 || n.Age > maxHeardAge {
		return nil
	}
	return &n
}

// heardKey is the context key of the text of the field in a call.
type heardKey struct{}

// heard returns the notice that came with the call of the context c, or nil.
func heard(c context.Context) *lavenderridge.HeardNotice {
	s, _ := c.Value(heardKey{}).(string)
	return decodeHeard(s)
}
