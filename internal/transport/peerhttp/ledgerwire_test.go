package peerhttp

import (
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// TestRecordKeepsTimeLeft checks that a record keeps its remaining time to the
// fraction of a second if the clocks of sender and receiver differ.
func TestRecordKeepsTimeLeft(t *testing.T) {
	a := time.Unix(1_800_000_000, 123_456_789)
	b := a.Add(-time.Hour)
	q := &lavenderridge.HandOver{Records: []lavenderridge.LedgerRecord{{
		Key: "k", State: lavenderridge.LedgerDone, Fingerprint: 1 << 63, Expires: a.Add(1500 * time.Millisecond),
		Response: &lavenderridge.Response{Status: 201, Body: []byte("paid"), Header: lavenderridge.Header{"A": {"b"}}},
	}}}
	x, e := encode(byte(kindHandOver), newWireHandOver(q, a))
	if e != nil {
		t.Fatal(e)
	}
	var w wireHandOver
	if e := decode(x[1:], &w); e != nil {
		t.Fatal(e)
	}
	v, e := w.handOver(b)
	if e != nil {
		t.Fatal(e)
	}
	r := v.Records[0]
	if d := r.Expires.Sub(b); d != 1500*time.Millisecond {
		t.Errorf("remaining time %s; want 1.5s", d)
	}
	if r.Fingerprint != 1<<63 || string(r.Response.Body) != "paid" || r.Response.Header.Get("A") != "b" {
		t.Errorf("record differs from the one sent: %+v", r)
	}
	if l, e := withExpiry(q.Records, nil, b); e == nil || l != nil {
		t.Errorf("records without remaining times: %v, %v; want an error", l, e)
	}
}
