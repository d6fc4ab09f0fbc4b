package peerquic

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lavenderridge/lavenderridge"
)

// wireRequest carries the time left in place of the deadline, because the
// clocks of two daemons differ.
type wireRequest struct {
	Request   lavenderridge.Request
	Remaining time.Duration
}

// wireRefusal is the form of a refusal in a reply.
type wireRefusal struct {
	Refusal lavenderridge.Refusal
}

func newWireRequest(r *lavenderridge.Request) *wireRequest {
	w := &wireRequest{Request: *r}
	if !r.Deadline.IsZero() {
		w.Remaining = max(time.Until(r.Deadline), time.Nanosecond)
	}
	w.Request.Deadline = time.Time{}
	return w
}

func (w *wireRequest) request(t time.Time) *lavenderridge.Request {
	r := w.Request
	if w.Remaining > 0 {
		r.Deadline = t.Add(w.Remaining)
	}
	return &r
}

func encode(k byte, v any) ([]byte, error) {
	b, e := cbor.Marshal(compact(v))
	if e != nil {
		return nil, fmt.Errorf("peerquic: encode: %w", e)
	}
	return append([]byte{k}, b...), nil
}

func decode(b []byte, v any) error {
	if e := decodeCompact(b, v); e != nil {
		return fmt.Errorf("peerquic: decode: %w", e)
	}
	return nil
}
